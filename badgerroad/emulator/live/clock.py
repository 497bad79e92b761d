"""The model's kernel on the wall clock: events are played by the asyncio loop when they are due."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from badgerroad.emulator.model.kernel import Kernel, ScheduledCall


class LiveKernel(Kernel):
    """Time stands below zero while the dispatchers start; `begin` moves it to zero, where the scenario begins."""

    LEAD = 120_000_000

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """`loop`: the event loop that plays the events."""
        self.loop = loop
        self._zero = time.monotonic_ns() // 1000 + self.LEAD
        self._alarm: asyncio.TimerHandle | None = None
        self._alarm_at = 0
        self._playing = False
        super().__init__()

    @property
    def now(self) -> int:
        """Microseconds since the scenario began."""
        return time.monotonic_ns() // 1000 - self._zero

    @now.setter
    def now(self, value: int) -> None:
        """The wall clock moves by itself."""

    def begin(self) -> None:
        """Time is zero now: the scenario begins."""
        self._zero = time.monotonic_ns() // 1000
        self.turn()

    def at(self, when: int, call: Callable[..., Any], *args: Any) -> ScheduledCall:
        """Play `call(*args)` at `when` (microseconds of the run)."""
        entry = super().at(when, call, *args)
        if not self._playing and (self._alarm is None or entry.when < self._alarm_at):
            self._arm()
        return entry

    def _arm(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
            self._alarm = None
        if self.next != -1 or self._queue:
            self._alarm_at = self._queue[0][0]
            self._alarm = self.loop.call_later(max(self._alarm_at - self.now, 0) / 1e6, self.turn)

    def turn(self) -> None:
        """Play all that is due and set the timer for the next event."""
        self._playing = True
        try:
            self.run(self.now)
        finally:
            self._playing = False
            self._arm()
