"""The choice of the controller that a dispatcher sends lease requests to.

The zone's own controller is preferred. While it does not reply, the next controller of the region is used.
"""

from __future__ import annotations

from badgerroad.fleet.rules.order import controller_order
from badgerroad.fleet.settings import FleetSettings

LATE_REPLY_US = 200_000  # age at which a request without a reply counts as late
MAX_LATE_REPLIES = 3  # number of late requests, without a reply in between, at which the next controller is chosen
REPLY_TIMEOUT_US = 1_000_000  # age at which a single request without a reply suffices to choose the next controller
POLL_OWN_INTERVAL_US = 5_000_000  # interval of polls of the zone's own controller while another one is in use
STALL_US = 500_000  # after a longer gap between ticks this process was stalled, so missing replies do not count


class ControllerChoice:
    """Selects the controller to send lease requests to; `current` is its name."""

    def __init__(self, settings: FleetSettings, zone: str, dispatcher: str, now: int) -> None:
        """Start with the zone's own controller."""
        self._order = controller_order(settings, zone, dispatcher)
        self._index = 0
        self._open: dict[int, int] = {}  # sequence -> sending time of each open request to the current controller
        self._next_poll = now + POLL_OWN_INTERVAL_US
        self._last_tick = now

    @property
    def current(self) -> str:
        """The name of the controller to send lease requests to."""
        return self._order[self._index]

    @property
    def own(self) -> str:
        """The name of the zone's own controller."""
        return self._order[0]

    def request_sent(self, now: int, sequence: int) -> None:
        """Record that the request `sequence` was sent to the current controller."""
        self._open[sequence] = now

    def reply_received(self, name: str) -> bool:
        """Record a reply from `name`. Returns whether it switched the choice back to the zone's own controller."""
        if name == self.current:
            self._open.clear()
            return False
        if name != self.own:
            return False
        self._select(0)
        return True

    def connection_lost(self, now: int, name: str) -> bool:
        """Record that the connection to `name` closed. Returns whether the choice changed."""
        if name != self.current:
            return False
        self._select_next(now)
        return self.current != name

    def tick(self, now: int) -> bool:
        """Switch to the next controller if replies are missing. Returns whether the choice changed."""
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
        """Whether a poll of the zone's own controller is due because another controller is in use."""
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
