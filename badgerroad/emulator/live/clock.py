"""Event kernel on the wall clock: the asyncio loop runs each event when it is due."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from badgerroad.emulator.model.kernel import Kernel, ScheduledCall


class LiveKernel(Kernel):
    """Runs the emulator's events in real time.

    Time is negative while the dispatchers start; `begin` sets it to zero, which is the start of the scenario.
    """

    STARTUP_OFFSET_US = 120_000_000  # microseconds from the kernel's creation to time zero, until `begin` is called

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a kernel whose events run on `loop`."""
        self.loop = loop
        self._zero_us = time.monotonic_ns() // 1000 + self.STARTUP_OFFSET_US
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0
        self._running_events = False
        super().__init__()

    @property
    def now(self) -> int:
        """Microseconds since the scenario began; negative before that."""
        return time.monotonic_ns() // 1000 - self._zero_us

    @now.setter
    def now(self, value: int) -> None:
        """Ignore the value: the wall clock cannot be set."""

    def begin(self) -> None:
        """Set the time to zero, which starts the scenario."""
        self._zero_us = time.monotonic_ns() // 1000
        self.run_due_events()

    def at(self, when: int, call: Callable[..., Any], *args: Any) -> ScheduledCall:
        """Schedule `call(*args)` at `when`, in microseconds since the scenario began."""
        entry = super().at(when, call, *args)
        if not self._running_events and (self._timer is None or entry.when < self._timer_at):
            self._set_timer()
        return entry

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.next != -1 or self._queue:
            self._timer_at = self._queue[0][0]
            self._timer = self.loop.call_later(max(self._timer_at - self.now, 0) / 1e6, self.run_due_events)

    def run_due_events(self) -> None:
        """Run all events that are due and set the timer for the next one."""
        self._running_events = True
        try:
            self.run(self.now)
        finally:
            self._running_events = False
            self._set_timer()
