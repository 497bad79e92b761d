"""The other process of an upgrade, as this one knows it."""

from __future__ import annotations

from collections.abc import Callable

from badgerroad.hot_restart import rules
from badgerroad.load_balancing import state
from badgerroad.net.timer_wheel import Timer, TimerWheel
from badgerroad.net.unix_channel import Link


class Peer:
    """The process at the other end of one link."""

    def __init__(self, link: Link, attempts: state.PeerAttempts) -> None:
        self.link, self.attempts = link, attempts
        self.timer: Timer | None = None  # until its next word is overdue
        self.open: set[bytes] = set()  # the ids of requests that it had when this process took over

    def wait(self, wheel: TimerWheel, time: int, back: Callable[[str], None]) -> None:
        """For its next message, so many microseconds; then `back` hears that it is overdue."""
        self.waits_no_longer()
        self.timer = wheel.after(time, lambda: back(rules.TIMED_OUT), awaits_peer=True)

    def waits_no_longer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
