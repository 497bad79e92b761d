"""Frees memory of clients' connections while the memory for messages is short.

In this order: responses that their clients have left unread beyond their deadlines, incomplete requests (the longest
inactive first), then nothing more is read of large requests, and at last small requests are rejected too. A request
that has been received completely is kept.
"""

from __future__ import annotations

from collections.abc import Iterable

from badgerroad.frontend import eviction
from badgerroad.frontend.client import ClientConnection
from badgerroad.net import logs
from badgerroad.net.memory_budget import MemoryBudget
from badgerroad.net.process_memory import BYTES_PER_KB, resident_bytes
from badgerroad.net.timer_wheel import Clock

log = logs.get("badgerroad")

SEARCH_INTERVAL_US = 10_000  # time between two searches of all connections for memory that can be freed


class MemoryRelief:
    """Knows whether the memory for messages is short, and which connections wait for it."""

    def __init__(self, clock: Clock, memory: MemoryBudget, connections: Iterable[ClientConnection]) -> None:
        """Free memory of `connections`, a live view."""
        self.paused: set[ClientConnection] = set()  # not read until there is memory
        self._clock = clock
        self._memory = memory
        self._connections = connections
        self._is_short = False
        self._next_search_at = 0

    def make_room(self) -> bool:
        """Whether incomplete requests may take more memory; if not, first reject those that have been inactive."""
        if self._memory.has_room:
            return True
        now = self._clock.now()
        if now >= self._next_search_at:
            self._next_search_at = now + SEARCH_INTERVAL_US
            self._set_short(True)
            eviction.free_memory(self._connections, self._memory, now)
        return self._memory.has_room

    def check(self) -> None:
        """Free memory if it is short, or else let the connections go on that wait for it; called periodically."""
        if self.make_room() and self._memory.has_headroom:
            self._set_short(False)
        for connection in list(self.paused):
            connection.check_paused()

    def _set_short(self, is_short: bool) -> None:
        if is_short == self._is_short:
            return
        self._is_short = is_short
        log.warning(
            "memory_short" if is_short else "memory_recovered",
            used_kb=self._memory.used // BYTES_PER_KB,
            limit_kb=self._memory.limit // BYTES_PER_KB,
            resident_kb=resident_bytes() // BYTES_PER_KB,
            paused=len(self.paused),
        )
