"""State shared by all parts of the policy: settings, clock, random numbers, pending actions and timers."""

from collections.abc import Callable
from random import Random
from typing import Any

from . import interface
from .pending_requests import PendingRequest
from .timers import Timers


class DecisionContext:
    """Clock and pending actions of the current call of `DispatchPolicy.handle`, current settings, and timers."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        """`seed` determines every random choice."""
        self.settings = settings
        self.random = Random(seed)
        self.now = 0
        """Time of the current event (microseconds)."""
        self.first_event_at = 0
        self.actions: list[interface.Action] = []
        """Actions added since the last `take_actions`, in the order in which they are to be performed."""
        self.timers = Timers()

    def advance(self, now: int) -> None:
        """Set the clock to the time of the next event (microseconds)."""
        self.now = now
        self.first_event_at = self.first_event_at or now

    def schedule(self, when: int, callback: Callable[[], Any], request: PendingRequest | None = None) -> None:
        """Schedule `callback` at `when` (microseconds); it is dropped if `request` is finished by then."""
        self.timers.add(when, callback, request, self.now, self.actions)

    def fire_timer(self, token: int) -> None:
        """Run the callbacks that are due after the timer `token` has fired."""
        self.timers.fire(token, self.now, self.actions)

    def take_actions(self) -> list[interface.Action]:
        """Return the pending actions, and remove them from `actions`."""
        actions, self.actions = self.actions, []
        return actions
