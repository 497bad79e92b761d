"""Which controller a dispatcher asks: its zone's, or while that is silent the next of the region."""

from __future__ import annotations

from badgerroad.fleet.rules.order import controller_order
from badgerroad.fleet.settings import FleetSettings

LATE = 200_000  # microseconds after which an ask counts as unanswered
MOST_LATE = 3  # asks in a row
SILENCE = 1_000_000  # microseconds without an answer to an open ask
RETURN_PERIOD = 5_000_000  # microseconds between tries of the zone's own controller
STALL = 500_000  # microseconds without a tick after which nothing is concluded from silence


class ControllerChoice:
    """`current`: whom to ask."""

    def __init__(self, settings: FleetSettings, zone: str, dispatcher: str, now: int) -> None:
        self._order = controller_order(settings, zone, dispatcher)
        self._index = 0
        self._open: dict[int, int] = {}  # asks of the current one that are open: sequence to sending time
        self._next_try = now + RETURN_PERIOD
        self._last_tick = now

    @property
    def current(self) -> str:
        return self._order[self._index]

    @property
    def own(self) -> str:
        return self._order[0]

    def request_sent(self, now: int, sequence: int) -> None:
        """The current one was asked."""
        self._open[sequence] = now

    def reply_received(self, name: str) -> bool:
        """Returns whether that brings a change: the own one is back."""
        if name == self.current:
            self._open.clear()
            return False
        if name != self.own:
            return False
        self._turn_to(0)
        return True

    def connection_lost(self, now: int, name: str) -> bool:
        """The connection to `name` closed. Returns whether that brings a change."""
        if name != self.current:
            return False
        self._next(now)
        return self.current != name

    def tick(self, now: int) -> bool:
        """Returns whether the current one has been silent for too long, and another is to be asked."""
        stalled = now - self._last_tick > STALL
        self._last_tick = now
        if stalled:
            self._open.clear()
        late = [sent for sent in self._open.values() if now - sent >= LATE]
        if len(late) < MOST_LATE and not any(now - sent >= SILENCE for sent in late):
            return False
        self._next(now)
        return True

    def should_poll_own(self, now: int) -> bool:
        """Time to ask the zone's own controller whether it is back?"""
        if self._index == 0 or now < self._next_try:
            return False
        self._next_try = now + RETURN_PERIOD
        return True

    def _next(self, now: int) -> None:
        if self._index == 0:
            self._next_try = now + RETURN_PERIOD
        self._turn_to((self._index + 1) % len(self._order))

    def _turn_to(self, index: int) -> None:
        self._index = index
        self._open.clear()
