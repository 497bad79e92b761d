"""Watches the resident memory of this process: logs when it is high, and lets the frontend free memory for messages."""

from __future__ import annotations

from badgerroad.dispatcher import Dispatcher
from badgerroad.net import logs
from badgerroad.net.process_memory import BYTES_PER_KB, BYTES_PER_MB, resident_bytes
from badgerroad.net.timer_wheel import Timer, TimerWheel

log = logs.get("badgerroad")

CHECK_INTERVAL_US = 100_000
# Fractions of `limits.memory_mb` at which the memory counts as high, and as normal again.
HIGH_FRACTION = 0.85
NORMAL_FRACTION = 0.75


class MemoryMonitor:
    """Checks the resident memory periodically between `start` and `close`."""

    def __init__(self, dispatcher: Dispatcher, wheel: TimerWheel) -> None:
        """Create a monitor of the process that runs `dispatcher`."""
        self._dispatcher = dispatcher
        self._wheel = wheel
        self._limit = dispatcher.config.memory_mb * BYTES_PER_MB
        self._is_high = False
        self._timer: Timer | None = None

    def start(self) -> None:
        """Check now and at every interval."""
        self._check()
        self._timer = self._wheel.after(CHECK_INTERVAL_US, self.start)

    def close(self) -> None:
        """Check no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        self._dispatcher.frontend.memory_relief.check()
        resident = resident_bytes()
        if resident > self._limit * (NORMAL_FRACTION if self._is_high else HIGH_FRACTION):
            if not self._is_high:
                log.warning("memory_high", **self._log_fields(resident))
            self._is_high = True
        elif self._is_high:
            self._is_high = False
            log.info("memory_normal", **self._log_fields(resident))

    def _log_fields(self, resident: int) -> dict[str, int]:
        return {
            "resident_kb": resident // BYTES_PER_KB,
            "limit_kb": int(self._limit) // BYTES_PER_KB,
            "messages_kb": self._dispatcher.memory.used // BYTES_PER_KB,
            "clients": len(self._dispatcher.frontend.connections),
            "open_requests": len(self._dispatcher.open_requests),
            "descriptors": self._dispatcher.descriptors.used,
        }
