"""Schedules the callbacks of the policy on a single timer of its host."""

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from . import interface
from .pending_requests import PendingRequest


class Timers:
    """Scheduled callbacks in order of time, with one timer for the earliest. Times are in microseconds."""

    def __init__(self) -> None:
        """Starts without callbacks."""
        self.entries: list[tuple[int, int, Callable[[], Any], PendingRequest | None]] = []
        self.order = 0
        """Number of callbacks added so far; callbacks with equal times run in the order in which they were added."""
        self.fires_at = 0
        """Time when the current timer fires, which is also its token; 0 if no timer is set."""

    def __len__(self) -> int:
        """Return the number of scheduled callbacks."""
        return len(self.entries)

    def add(
        self,
        when: int,
        callback: Callable[[], Any],
        request: PendingRequest | None,
        now: int,
        actions: list[interface.Action],
    ) -> None:
        """Schedule `callback` at `when`; it is dropped if `request` is finished by then.

        A `SetTimer` is appended to `actions` if this is the earliest callback.
        """
        self.order += 1
        heappush(self.entries, (when, self.order, callback, request))
        self._set(when, now, actions)

    def fire(self, token: int, now: int, actions: list[interface.Action]) -> None:
        """Run the callbacks that are due after the timer `token` has fired, and set the next timer."""
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
