"""The simulated processes. Each holds one rules object; the world kills, restarts, pauses and resumes them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from badgerroad.fleet.rules.controller import ControllerRules
from badgerroad.fleet.rules.dispatcher import DispatcherLeases
from tests.fleet.simulation.clock import Clock

Event = Callable[["Node"], list[Any]]
"""Handler of one event at a process; returns the rules' actions."""


@dataclass
class Node:
    """One process on one machine. `rules` is None while the process is dead."""

    name: str
    zone: str
    clock: Clock
    is_controller: bool
    rules: Any = None
    incarnation: int = 0
    stopped: bool = False
    stop_count: int = 0
    hold_output: bool = False
    """Whether the process pauses between reading its clock and sending at the next event, and sends when it resumes."""
    sending_held_output: bool = False
    """Whether the messages being sent now were decided before the process was paused."""
    held_actions: list[Any] = field(default_factory=list)
    backlog: deque[Event] = field(default_factory=deque)
    silent: bool = False
    """Whether the whole machine is dead, so that it does not refuse connections as the host of a dead process does."""
    connected: set[str] = field(default_factory=set)
    next_wakeup: int | None = None

    @property
    def alive(self) -> bool:
        """Whether the process exists, running or paused."""
        return self.rules is not None

    @property
    def controller(self) -> ControllerRules:
        """The rules of a controller that is alive."""
        assert isinstance(self.rules, ControllerRules)
        return self.rules

    @property
    def dispatcher(self) -> DispatcherLeases:
        """The rules of a dispatcher that is alive."""
        assert isinstance(self.rules, DispatcherLeases)
        return self.rules
