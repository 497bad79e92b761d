"""What a virtual dispatcher keeps of a request while it is open, and whose decisions it takes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from badgerroad.emulator.model.clients import Try
from badgerroad.emulator.model.jobs import Job
from badgerroad.emulator.model.kernel import Entry
from badgerroad.emulator.model.nodes import RenderNode
from badgerroad.emulator.model.rule_checker import Attempt as SeenAttempt
from badgerroad.load_balancing import interface


class Decisions(Protocol):
    """The module's interface, behind which baselines stand too."""

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]:
        """The actions after an event at `now` (microseconds)."""


Make = Callable[[interface.Settings, int], Decisions]


class Attempt:
    """One attempt of a virtual dispatcher."""

    __slots__ = (
        "number",
        "node",
        "over",
        "accepted",
        "heard",
        "started",
        "timer",
        "accept",
        "seen",
        "job",
        "sent",
        "fresh",
        "life",
    )

    def __init__(self, number: int, node: RenderNode, sent: int) -> None:
        """`sent` in microseconds of the run."""
        self.number, self.node, self.sent = number, node, sent
        self.over = self.accepted = self.heard = self.started = self.fresh = False
        self.timer: Entry | None = None
        self.accept: Entry | None = None
        self.seen: SeenAttempt | None = None
        self.job: Job | None = None
        self.life = 0


class Open:
    """A request that a virtual dispatcher has open."""

    __slots__ = ("number", "client_try", "attempts", "answered", "out", "deadline")

    def __init__(self, number: int, client_try: Try, deadline: int) -> None:
        """`deadline` in microseconds of the run."""
        self.number, self.client_try, self.deadline = number, client_try, deadline
        self.attempts: list[Attempt] = []
        self.answered, self.out = False, 0
