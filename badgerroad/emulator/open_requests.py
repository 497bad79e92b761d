"""State of open requests in a virtual dispatcher, and the interface of decision modules."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from badgerroad.emulator.model.clients import Try
from badgerroad.emulator.model.jobs import Job
from badgerroad.emulator.model.kernel import ScheduledCall
from badgerroad.emulator.model.nodes import RenderNode
from badgerroad.emulator.model.rule_checker import Attempt as CheckedAttempt
from badgerroad.load_balancing import interface


class DecisionModule(Protocol):
    """Interface of a decision module; the baseline policies implement it too."""

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]:
        """Handle an event at `now` (microseconds) and return the actions to perform."""


DecisionModuleFactory = Callable[[interface.Settings, int], DecisionModule]


class Attempt:
    """An attempt of a virtual dispatcher."""

    __slots__ = (
        "number",
        "node",
        "ended",
        "accepted",
        "event_received",
        "started",
        "timer",
        "accept_timer",
        "checked_attempt",
        "job",
        "sent_at",
        "new_connection",
        "node_started_at",
    )

    def __init__(self, number: int, node: RenderNode, sent_at: int) -> None:
        """`sent_at` is in microseconds of the run."""
        self.number, self.node, self.sent_at = number, node, sent_at
        self.ended = self.accepted = self.event_received = self.started = self.new_connection = False
        self.timer: ScheduledCall | None = None
        self.accept_timer: ScheduledCall | None = None
        self.checked_attempt: CheckedAttempt | None = None
        self.job: Job | None = None
        self.node_started_at = 0


class OpenRequest:
    """An open request of a virtual dispatcher."""

    __slots__ = ("number", "client_try", "attempts", "answered", "open_attempts", "deadline")

    def __init__(self, number: int, client_try: Try, deadline: int) -> None:
        """`deadline` in microseconds of the run."""
        self.number, self.client_try, self.deadline = number, client_try, deadline
        self.attempts: list[Attempt] = []
        self.answered, self.open_attempts = False, 0
