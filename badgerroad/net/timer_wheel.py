"""The clock, and the timer wheel with coarse ticks that runs all timers of the program."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

from badgerroad.net import logs

TICK_US = 1_000
SLOT_COUNT = 1_024
# An event loop that wakes more than this many ticks late has stalled: the process was stopped or had no CPU, or a
# callback took that long.
STALL_TICKS = 100
# For this many ticks after a stall, timers that await a peer are postponed: reading what peers sent during the stall
# takes several loop iterations.
PEER_GRACE_TICKS = 25
log = logs.get("badgerroad")


class Clock:
    """A monotonic clock in microseconds since the Unix epoch.

    Workers report their start in Unix time, so the monotonic clock is anchored to Unix time once.
    """

    def __init__(self) -> None:
        """Anchor the clock to the current Unix time."""
        self._anchor = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        """Return the current time in microseconds."""
        return self._anchor + time.monotonic_ns() // 1000


class Loop(Protocol):
    """The interface through which the timer wheel uses the event loop."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> object:
        """Call `callback` after `delay` seconds; returns a handle for `remove_timeout`."""

    def remove_timeout(self, timeout: object) -> None:
        """Cancel the call with the handle `timeout`."""


class Timer:
    """A timer, owned by the caller of `TimerWheel.after` until it fires or is cancelled.

    `due_at` is in microseconds, `tick` is the wheel's tick at which it fires.
    """

    __slots__ = ("due_at", "tick", "awaits_peer", "_callback", "_timers")

    def __init__(
        self, due_at: int, tick: int, callback: Callable[[], None], timers: TimerWheel, awaits_peer: bool = False
    ) -> None:
        """Create a timer; only `TimerWheel.after` does so."""
        self.due_at = due_at
        self.tick = tick
        self.awaits_peer = awaits_peer
        self._callback: Callable[[], None] | None = callback
        self._timers = timers

    def cancel(self) -> None:
        """Cancel the timer; no effect once it has fired."""
        if self._callback is not None:
            self._callback = None
            self._timers.remove(self)

    def fire(self) -> None:
        """Run the callback, unless it has run or the timer is cancelled."""
        callback = self._callback
        self._callback = None
        if callback is not None:
            callback()


class TimerWheel:
    """Timers in slots by the tick at which they are due (hashed wheel, Varghese and Lauck 1987, scheme 6)."""

    def __init__(self, clock: Clock, loop: Loop) -> None:
        """Create an empty wheel. It schedules wakeups on `loop` only while it has timers."""
        self.clock = clock
        self._loop = loop
        self._slots: list[dict[Timer, None]] = [{} for _ in range(SLOT_COUNT)]
        self._last_fired_tick = clock.now() // TICK_US  # the timers of all ticks up to this one have been fired
        self._count = 0
        self._wakeup: object = None
        self._wakeup_tick = 0
        self._firing = False
        self._peer_grace_end_tick = 0  # timers that await a peer are postponed to this tick after a stall
        self.stall_count = 0

    def after(self, delay: int, callback: Callable[[], None], awaits_peer: bool = False) -> Timer:
        """Call `callback` after `delay` microseconds.

        `awaits_peer` means that the callback concludes that a peer has sent nothing. This is certain only once the
        process has had time to read its sockets, so such a timer is postponed after a stall of the event loop.
        """
        due_at = self.clock.now() + max(delay, 0)
        # The tick is rounded up: a timer may fire up to one tick late, but never early.
        timer = Timer(due_at, max(-(-due_at // TICK_US), self._last_fired_tick + 1), callback, self, awaits_peer)
        self._insert(timer)
        if not self._firing and (self._wakeup is None or timer.tick < self._wakeup_tick):
            self._schedule_wakeup(timer.tick)
        return timer

    def remove(self, timer: Timer) -> None:
        """Remove a timer if it is in the wheel."""
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
        """Fire the timers that are due and schedule the next wakeup, one revolution ahead at most."""
        self._wakeup = None
        self._firing = True
        now_tick = self.clock.now() // TICK_US
        if now_tick - self._wakeup_tick > STALL_TICKS:
            self.stall_count += 1
            self._peer_grace_end_tick = now_tick + PEER_GRACE_TICKS
            log.warning("event_loop_stalled", ms=(now_tick - self._wakeup_tick) * TICK_US // 1000)
        due = self._take_due(now_tick)
        if now_tick < self._peer_grace_end_tick:
            due = self._postpone_peer_timers(due)
        for timer in due:
            _fire_safely(timer)
        self._firing = False
        if self._count:
            self._schedule_wakeup(self._next_tick())

    def _take_due(self, now_tick: int) -> list[Timer]:
        due: list[Timer] = []
        for tick in range(max(self._last_fired_tick + 1, now_tick - SLOT_COUNT + 1), now_tick + 1):
            due += [timer for timer in self._slots[tick % SLOT_COUNT] if timer.tick <= now_tick]
        self._last_fired_tick = max(now_tick, self._last_fired_tick)
        due.sort(key=lambda timer: timer.due_at)
        for timer in due:
            self.remove(timer)
        return due

    def _postpone_peer_timers(self, due: list[Timer]) -> list[Timer]:
        """Postpone the timers that await a peer to the end of the grace period; returns the others."""
        ready = []
        for timer in due:
            if timer.awaits_peer:
                timer.tick = self._peer_grace_end_tick
                self._insert(timer)
            else:
                ready.append(timer)
        return ready

    def _next_tick(self) -> int:
        ahead = range(self._last_fired_tick + 1, self._last_fired_tick + SLOT_COUNT)
        return next((tick for tick in ahead if self._slots[tick % SLOT_COUNT]), self._last_fired_tick + SLOT_COUNT)


def _fire_safely(timer: Timer) -> None:
    """Fire `timer` and log an exception of its callback, so that the other timers still fire."""
    try:
        timer.fire()
    except Exception:
        log.exception("unexpected_exception_in_timer")
