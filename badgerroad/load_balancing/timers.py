"""What is to be done when. Nothing is decided here: the policy schedules callbacks and owns them."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from . import interface
from .pending_requests import PendingRequest


class Timers:
    """Callbacks by time, with one timer set at most, for the earliest. Times are microseconds."""

    def __init__(self) -> None:
        """Nothing is scheduled."""
        self.entries: list[tuple[int, int, Callable[[], Any], PendingRequest | None]] = []
        self.order = 0
        """Entries so far; those of equal times fire in the order in which they were added."""
        self.fires_at = 0
        """When the timer that is set fires; 0 for none."""

    def __len__(self) -> int:
        """The number of scheduled callbacks."""
        return len(self.entries)

    def add(
        self,
        when: int,
        callback: Callable[[], Any],
        request: PendingRequest | None,
        now: int,
        actions: list[interface.Action],
    ) -> None:
        """Call `callback` at `when`, unless `request` is finished by then; `actions` takes the timer to set."""
        self.order += 1
        heappush(self.entries, (when, self.order, callback, request))
        self._set(when, now, actions)

    def fire(self, token: int, now: int, actions: list[interface.Action]) -> None:
        """The timer `token` fired: run what is due now and set the next one."""
        self.fires_at = 0 if token == self.fires_at else self.fires_at
        while self.entries:
            when, _, callback, request = self.entries[0]
            is_obsolete = request is not None and request.finished
            if when > now and not is_obsolete:
                self._set(when, now, actions)
                return
            heappop(self.entries)
            if not is_obsolete:
                callback()

    def _set(self, when: int, now: int, actions: list[interface.Action]) -> None:
        if not self.fires_at or when < self.fires_at:
            self.fires_at = when
            actions.append(interface.SetTimer(max(when - now, 1), when))
