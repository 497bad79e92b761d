"""The clock, and a timer wheel of coarse ticks on which all timers of the program lie."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

from badgerroad.net import logs

TICK_US = 1_000
SLOT_COUNT = 1_024
# An event loop that wakes this late was not running: process stopped, core taken, or one callback took as long.
STALL_TICKS = 100
# After a stall, what peers sent meanwhile is read first, which takes several loop iterations.
PEER_GRACE_TICKS = 25
log = logs.get("badgerroad")


class Clock:
    """Microseconds since the Unix epoch that never go back.

    Workers report their start in Unix time, so the monotonic clock is anchored to it once.
    """

    def __init__(self) -> None:
        """Anchor the clock to the present Unix time."""
        self._anchor = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        """The present time in microseconds."""
        return self._anchor + time.monotonic_ns() // 1000


class Loop(Protocol):
    """What the timer wheel needs of the event loop."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> object:
        """Call back after `delay` seconds; returns a handle for `remove_timeout`."""

    def remove_timeout(self, timeout: object) -> None:
        """Cancel a call."""


class Timer:
    """One entry, owned by whoever asked for it; it ends by `cancel` or by firing. `due_at` is in microseconds."""

    __slots__ = ("due_at", "tick", "awaits_peer", "_callback", "_timers")

    def __init__(
        self, due_at: int, tick: int, callback: Callable[[], None], timers: TimerWheel, awaits_peer: bool = False
    ) -> None:
        """Made by `TimerWheel.after` only."""
        self.due_at = due_at
        self.tick = tick
        self.awaits_peer = awaits_peer
        self._callback: Callable[[], None] | None = callback
        self._timers = timers

    def cancel(self) -> None:
        """Remove the entry; no effect once it has fired."""
        if self._callback is not None:
            self._callback = None
            self._timers.remove(self)

    def fire(self) -> None:
        """Call back, once."""
        callback = self._callback
        self._callback = None
        if callback is not None:
            callback()


class TimerWheel:
    """Timers by the tick at which they are due, modulo the number of slots (Varghese and Lauck, 1987, scheme 6)."""

    def __init__(self, clock: Clock, loop: Loop) -> None:
        """An empty wheel, which wakes `loop` only while it has timers."""
        self.clock = clock
        self._loop = loop
        self._slots: list[dict[Timer, None]] = [{} for _ in range(SLOT_COUNT)]
        self._done_tick = clock.now() // TICK_US  # all ticks up to this one are done
        self._count = 0
        self._wakeup: object = None
        self._wakeup_tick = 0
        self._firing = False
        self._peer_grace_until = 0  # a tick: until then timers that await a peer are put off
        self.stall_count = 0

    def after(self, delay: int, callback: Callable[[], None], awaits_peer: bool = False) -> Timer:
        """Call back after `delay` microseconds.

        `awaits_peer`: the callback concludes that a peer has sent nothing. This is known only once the process has had
        time to read from its sockets, so such a timer is put off after a stall of the event loop.
        """
        due_at = self.clock.now() + max(delay, 0)
        # Rounded up: a timer may be late by a tick, never early.
        timer = Timer(due_at, max(-(-due_at // TICK_US), self._done_tick + 1), callback, self, awaits_peer)
        self._insert(timer)
        if not self._firing and (self._wakeup is None or timer.tick < self._wakeup_tick):
            self._schedule_wakeup(timer.tick)
        return timer

    def remove(self, timer: Timer) -> None:
        """Take an entry out, if it is there."""
        if self._slots[timer.tick % SLOT_COUNT].pop(timer, 0) is None:
            self._count -= 1

    def _insert(self, timer: Timer) -> None:
        self._slots[timer.tick % SLOT_COUNT][timer] = None
        self._count += 1

    def _schedule_wakeup(self, tick: int) -> None:
        if self._wakeup is not None:
            self._loop.remove_timeout(self._wakeup)
        self._wakeup_tick = tick
        self._wakeup = self._loop.call_later(max(tick * TICK_US - self.clock.now(), 0) / 1e6, self.fire_due)

    def fire_due(self) -> None:
        """Fire the timers that are due and sleep until the next one, for one revolution at most."""
        self._wakeup = None
        self._firing = True
        now = self.clock.now() // TICK_US
        if now - self._wakeup_tick > STALL_TICKS:
            self.stall_count += 1
            self._peer_grace_until = now + PEER_GRACE_TICKS
            log.warning("event_loop_stalled", ms=(now - self._wakeup_tick) * TICK_US // 1000)
        due = self._take_due(now)
        if now < self._peer_grace_until:
            due = self._put_off_awaiting(due)
        for timer in due:
            _fire_safely(timer)
        self._firing = False
        if self._count:
            self._schedule_wakeup(self._next_tick())

    def _take_due(self, now: int) -> list[Timer]:
        due: list[Timer] = []
        for tick in range(max(self._done_tick + 1, now - SLOT_COUNT + 1), now + 1):
            due += [timer for timer in self._slots[tick % SLOT_COUNT] if timer.tick <= now]
        self._done_tick = max(now, self._done_tick)
        due.sort(key=lambda timer: timer.due_at)
        for timer in due:
            self.remove(timer)
        return due

    def _put_off_awaiting(self, due: list[Timer]) -> list[Timer]:
        """Put off the timers that await a peer; returns the others."""
        ready = []
        for timer in due:
            if timer.awaits_peer:
                timer.tick = self._peer_grace_until
                self._insert(timer)
            else:
                ready.append(timer)
        return ready

    def _next_tick(self) -> int:
        ahead = range(self._done_tick + 1, self._done_tick + SLOT_COUNT)
        return next((tick for tick in ahead if self._slots[tick % SLOT_COUNT]), self._done_tick + SLOT_COUNT)


def _fire_safely(timer: Timer) -> None:
    """A callback that raises must not take the other timers with it."""
    try:
        timer.fire()
    except Exception:
        log.exception("unexpected_exception_in_timer")
