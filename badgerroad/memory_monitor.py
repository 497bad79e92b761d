"""Keeps the resident memory of this process below its limit.

The memory budget counts the bytes of messages. This monitor sees all memory: it returns what is free to the system,
and reduces the budget while the process takes more than is counted. It also lets the frontend free memory of messages.
"""

from __future__ import annotations

from badgerroad.dispatcher import Dispatcher
from badgerroad.net import logs
from badgerroad.net.process_memory import BYTES_PER_KB, BYTES_PER_MB, resident_bytes, return_free_memory
from badgerroad.net.timer_wheel import Timer, TimerWheel

log = logs.get("badgerroad")

CHECK_INTERVAL_US = 100_000
# Fractions of `limits.memory_mb` at which the memory counts as high, and as normal again.
HIGH_FRACTION = 0.85
NORMAL_FRACTION = 0.75
# Least free memory in the heap that is returned: usually, and while memory is high or shared with another process.
MIN_FREE_BYTES = 4 * BYTES_PER_MB
MIN_FREE_BYTES_UNDER_PRESSURE = BYTES_PER_MB // 2
RETURN_INTERVAL_US = 500_000  # shortest time between two returns of free memory, except under pressure


class MemoryMonitor:
    """Checks the resident memory periodically between `start` and `close`."""

    def __init__(self, dispatcher: Dispatcher, wheel: TimerWheel) -> None:
        """Create a monitor of the process that runs `dispatcher`."""
        self._dispatcher = dispatcher
        self._wheel = wheel
        self._limit = dispatcher.config.memory_mb * BYTES_PER_MB
        self._is_high = False
        self._has_warned_of_upgrade = False
        self._next_return_at = 0
        self._uncounted_after_return = resident_bytes()  # resident memory beside messages after the last return
        self._timer: Timer | None = None

    def start(self) -> None:
        """Check now and at every interval."""
        self._check()
        self._timer = self._wheel.after(CHECK_INTERVAL_US, self.start)

    def close(self) -> None:
        """Check no more."""
        if self._timer is not None:
            self._timer.cancel()

    @property
    def _allowed(self) -> int:
        """How much resident memory this process may have, beside the other process of an upgrade."""
        plan, elsewhere = self._dispatcher.memory_plan, self._dispatcher.memory.resident_elsewhere
        if elsewhere is not None:
            return plan.resident_bytes - elsewhere
        return plan.resident_bytes if self._is_too_large_for_upgrade else plan.resident_bytes - plan.reserved_bytes

    @property
    def _is_too_large_for_upgrade(self) -> bool:
        """Whether the process itself, for example its endpoint list, leaves no room for messages and a second process.

        It then uses the memory that would be left to the second one.
        """
        plan, messages = self._dispatcher.memory_plan, self._dispatcher.memory.total
        return self._uncounted_after_return + messages // 2 > plan.resident_bytes - plan.reserved_bytes

    def _check(self) -> None:
        resident = resident_bytes()
        if self._should_return_memory(resident):
            resident = self._return_memory()
        self._dispatcher.memory.withhold(max(resident - self._allowed, 0))
        self._dispatcher.frontend.memory_relief.check()
        self._log_transition(resident)
        self._log_upgrade_room()

    def _should_return_memory(self, resident: int) -> bool:
        """Whether much memory has become free in the heap since it was last returned, as far as can be seen."""
        uncounted = self._uncounted(resident)
        self._uncounted_after_return = min(self._uncounted_after_return, uncounted)
        free = uncounted - self._uncounted_after_return
        if resident > self._allowed * HIGH_FRACTION or self._dispatcher.memory.resident_elsewhere is not None:
            return free > MIN_FREE_BYTES_UNDER_PRESSURE
        return free > MIN_FREE_BYTES and self._wheel.clock.now() >= self._next_return_at

    def _return_memory(self) -> int:
        """Return free memory to the system; return the resident memory after it."""
        return_free_memory()
        resident = resident_bytes()
        self._uncounted_after_return = self._uncounted(resident)
        self._next_return_at = self._wheel.clock.now() + RETURN_INTERVAL_US
        return resident

    def _uncounted(self, resident: int) -> int:
        return resident - self._dispatcher.memory.used

    def _log_transition(self, resident: int) -> None:
        if resident > self._limit * (NORMAL_FRACTION if self._is_high else HIGH_FRACTION):
            if not self._is_high:
                log.warning("memory_high", **self._log_fields(resident))
            self._is_high = True
        elif self._is_high:
            self._is_high = False
            log.info("memory_normal", **self._log_fields(resident))

    def _log_upgrade_room(self) -> None:
        """Warn once if a second process would take more memory than both may have."""
        dispatcher = self._dispatcher
        has_room = dispatcher.memory_plan.has_room_for_upgrade and not self._is_too_large_for_upgrade
        if dispatcher.config.admin is not None and not has_room and not self._has_warned_of_upgrade:
            self._has_warned_of_upgrade = True
            log.warning("no_memory_for_upgrade", **self._log_fields(resident_bytes()))

    def _log_fields(self, resident: int) -> dict[str, int]:
        return {
            "resident_kb": resident // BYTES_PER_KB,
            "limit_kb": int(self._limit) // BYTES_PER_KB,
            "messages_kb": self._dispatcher.memory.used // BYTES_PER_KB,
            "clients": len(self._dispatcher.frontend.connections),
            "open_requests": len(self._dispatcher.open_requests),
            "descriptors": self._dispatcher.descriptors.used,
        }
