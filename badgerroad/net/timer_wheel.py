"""The clock, and a wheel of coarse ticks on which all timers of the program lie."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

from badgerroad.net import logs

TICK_US = 1_000  # microseconds
SLOT_COUNT = 1_024
# A loop that wakes this late was not awake: the process was stopped, its core taken, or one callback took as long.
STALL_TICKS = 100  # ticks
# What peers said meanwhile lies unread on the sockets, several turns of the loop deep. So long it is heard first.
PEER_GRACE_TICKS = 25  # ticks
log = logs.get("badgerroad")


class Clock:
    """Microseconds since the Unix epoch that never go back: workers' starts are told in Unix time, so the
    monotonic clock is anchored to it once."""

    def __init__(self) -> None:
        self._anchor = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        return self._anchor + time.monotonic_ns() // 1000


class Loop(Protocol):
    """What the wheel needs of the event loop."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> object: ...

    def remove_timeout(self, timeout: object) -> None: ...


class Timer:
    """One entry. Who asked for it owns it; it is given back by `cancel` or by firing."""

    __slots__ = ("due_at", "tick", "awaits_peer", "_call", "_wheel")

    def __init__(
        self, due: int, tick: int, call: Callable[[], None], wheel: TimerWheel, awaits_peer: bool = False
    ) -> None:
        self.due_at, self.tick, self.awaits_peer = due, tick, awaits_peer
        self._call: Callable[[], None] | None = call
        self._wheel = wheel

    def cancel(self) -> None:
        if self._call is not None:
            self._call = None
            self._wheel.remove(self)

    def fire(self) -> None:
        call, self._call = self._call, None
        if call is not None:
            call()


class TimerWheel:
    def __init__(self, clock: Clock, loop: Loop) -> None:
        self.clock, self._loop = clock, loop
        self._slots: list[dict[Timer, None]] = [{} for _ in range(SLOT_COUNT)]
        self._at = clock.now() // TICK_US  # all ticks up to this one are done
        self._count = 0
        self._wake: object = None
        self._wake_tick = 0
        self._turning = False
        self._hear_until = 0  # a tick: until then patient timers wait
        self.stall_count = 0

    def after(self, delay: int, call: Callable[[], None], awaits_peer: bool = False) -> Timer:
        """Call after `delay` microseconds. `patient`: the call concludes that a peer has said nothing, which is known
        only once this process has been awake to hear it."""
        due = self.clock.now() + max(delay, 0)
        # Rounded up: a timer may be late by a tick, never early.
        timer = Timer(due, max(-(-due // TICK_US), self._at + 1), call, self, awaits_peer)
        self._slots[timer.tick % SLOT_COUNT][timer] = None
        self._count += 1
        if not self._turning and (self._wake is None or timer.tick < self._wake_tick):
            self._arm(timer.tick)
        return timer

    def remove(self, timer: Timer) -> None:
        if self._slots[timer.tick % SLOT_COUNT].pop(timer, 0) is None:
            self._count -= 1

    def _arm(self, tick: int) -> None:
        if self._wake is not None:
            self._loop.remove_timeout(self._wake)
        self._wake_tick = tick
        self._wake = self._loop.call_later(max(tick * TICK_US - self.clock.now(), 0) / 1e6, self.turn)

    def turn(self) -> None:
        """Fire what is due and sleep until the next entry, a revolution at most."""
        self._wake, self._turning = None, True
        now = self.clock.now() // TICK_US
        if now - self._wake_tick > STALL_TICKS:
            self.stall_count += 1
            self._hear_until = now + PEER_GRACE_TICKS
            log.warning("stalled", ms=(now - self._wake_tick) * TICK_US // 1000)
        ready: list[Timer] = []
        for tick in range(max(self._at + 1, now - SLOT_COUNT + 1), now + 1):
            ready += [t for t in self._slots[tick % SLOT_COUNT] if t.tick <= now]
        self._at = max(now, self._at)
        ready.sort(key=lambda t: t.due_at)
        for timer in ready:
            self.remove(timer)
        if now < self._hear_until:
            for timer in [t for t in ready if t.awaits_peer]:
                ready.remove(timer)
                timer.tick = self._hear_until
                self._slots[timer.tick % SLOT_COUNT][timer] = None
                self._count += 1
        for timer in ready:
            try:
                timer.fire()
            except Exception:
                # One broken callback must not take the other timers with it.
                log.exception("unexpected exception in a timer")
        self._turning = False
        if self._count:
            ahead = (t for t in range(self._at + 1, self._at + SLOT_COUNT) if self._slots[t % SLOT_COUNT])
            self._arm(next(ahead, self._at + SLOT_COUNT))
