"""What every part of the decisions shares: settings, clock, random numbers, pending actions and timers."""

from collections.abc import Callable
from random import Random
from typing import Any

from . import interface
from .pending_requests import PendingRequest
from .timers import Timers


class DecisionContext:
    """The state of one call of `DispatchPolicy.handle`, and the settings in force."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        """`seed` determines every random choice."""
        self.settings = settings
        self.random = Random(seed)
        self.now = 0
        """The clock of the current event (microseconds)."""
        self.first_event_at = 0
        self.actions: list[interface.Action] = []
        """Actions decided since they were last taken, in order."""
        self.timers = Timers()

    def advance(self, now: int) -> None:
        """Set the clock to that of the next event (microseconds)."""
        self.now = now
        self.first_event_at = self.first_event_at or now

    def schedule(self, when: int, callback: Callable[[], Any], request: PendingRequest | None = None) -> None:
        """Call `callback` at `when` (microseconds), unless `request` is finished by then."""
        self.timers.add(when, callback, request, self.now, self.actions)

    def fire_timer(self, token: int) -> None:
        """Run the callbacks that are due, after the timer `token` fired."""
        self.timers.fire(token, self.now, self.actions)

    def take_actions(self) -> list[interface.Action]:
        """Return the pending actions and start an empty list."""
        actions, self.actions = self.actions, []
        return actions
