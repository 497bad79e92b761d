"""Which controller a dispatcher asks: its zone's, or while that does not answer the next one of the region."""

from __future__ import annotations

from badgerroad.fleet.rules.order import controller_order
from badgerroad.fleet.settings import FleetSettings

LATE_REPLY_US = 200_000  # a request counts as unanswered after this time
MAX_LATE_REPLIES = 3  # unanswered requests in a row
REPLY_TIMEOUT_US = 1_000_000  # longest wait for the reply to an open request
POLL_OWN_INTERVAL_US = 5_000_000  # interval of polls of the zone's own controller
STALL_US = 500_000  # after so long without a tick, missing replies mean nothing


class ControllerChoice:
    """Chooses the controller to ask: `current`."""

    def __init__(self, settings: FleetSettings, zone: str, dispatcher: str, now: int) -> None:
        """Start with the zone's own controller."""
        self._order = controller_order(settings, zone, dispatcher)
        self._index = 0
        self._open: dict[int, int] = {}  # open requests to the current controller: sequence to sending time
        self._next_poll = now + POLL_OWN_INTERVAL_US
        self._last_tick = now

    @property
    def current(self) -> str:
        """The controller to ask."""
        return self._order[self._index]

    @property
    def own(self) -> str:
        """The zone's own controller."""
        return self._order[0]

    def request_sent(self, now: int, sequence: int) -> None:
        """Record that the request `sequence` was sent to the current controller."""
        self._open[sequence] = now

    def reply_received(self, name: str) -> bool:
        """Record a reply of `name`. Returns whether this changed the choice to the zone's own controller."""
        if name == self.current:
            self._open.clear()
            return False
        if name != self.own:
            return False
        self._select(0)
        return True

    def connection_lost(self, now: int, name: str) -> bool:
        """Record that the connection to `name` closed. Returns whether this changed the choice."""
        if name != self.current:
            return False
        self._select_next(now)
        return self.current != name

    def tick(self, now: int) -> bool:
        """Check for missing replies. Returns whether the choice changed."""
        stalled = now - self._last_tick > STALL_US
        self._last_tick = now
        if stalled:
            self._open.clear()
        late = [sent for sent in self._open.values() if now - sent >= LATE_REPLY_US]
        if len(late) < MAX_LATE_REPLIES and not any(now - sent >= REPLY_TIMEOUT_US for sent in late):
            return False
        self._select_next(now)
        return True

    def should_poll_own(self, now: int) -> bool:
        """Whether it is time to poll the zone's own controller while another one is in use."""
        if self._index == 0 or now < self._next_poll:
            return False
        self._next_poll = now + POLL_OWN_INTERVAL_US
        return True

    def _select_next(self, now: int) -> None:
        if self._index == 0:
            self._next_poll = now + POLL_OWN_INTERVAL_US
        self._select((self._index + 1) % len(self._order))

    def _select(self, index: int) -> None:
        self._index = index
        self._open.clear()
