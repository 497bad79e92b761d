"""The budget of the bytes that messages take in this process: received in part, waiting, being retried or written.

Like `DescriptorBudget`, it only counts. The owner of an account decides what to do when the budget is used up.
"""

from __future__ import annotations

from dataclasses import dataclass

from badgerroad.net.process_memory import BYTES_PER_MB

PROCESS_MB = 26  # resident memory of a process without clients
MIN_FREE_MB = 4  # with less beside the processes, the limits are those of a process with so much
CONNECTION_BYTES = 6 * 1024  # memory of an idle connection of a client
MAX_CONNECTIONS_SHARE = 0.4  # most of the free memory that idle connections may take
# Part of the memory beside processes and connections that messages may take; the rest is for copies and for gaps in
# the heap.
MESSAGES_SHARE = 0.4
MARGIN_SHARE = 0.06  # part of the limit that the resident memory must leave free
HEADROOM_FRACTION = 0.75  # memory is freed down to this fraction of the limit
SMALL_REQUESTS_SHARE = 0.25  # part of the total that small requests may take beyond the limit


@dataclass(frozen=True)
class MemoryPlan:
    """How the memory that the platform allows a dispatcher is divided."""

    message_bytes: int  # most that messages may take
    connections: int  # most connections
    resident_bytes: int  # most resident memory of all processes together
    reserved_bytes: int  # part of it that is left to the second process of an upgrade before there is one
    has_room_for_upgrade: bool  # whether a second process fits

    @classmethod
    def divide(cls, memory_mb: float, sockets: int, upgrades: bool) -> MemoryPlan:
        """Divide `memory_mb`; with `upgrades`, leave room for the second process of an upgrade if there is enough."""
        has_room_for_upgrade = memory_mb >= 2 * PROCESS_MB + MIN_FREE_MB
        reserved_mb = PROCESS_MB if upgrades and has_room_for_upgrade else 0
        free_bytes = max(memory_mb - PROCESS_MB - reserved_mb, MIN_FREE_MB) * BYTES_PER_MB
        connections = min(sockets, int(free_bytes * MAX_CONNECTIONS_SHARE / CONNECTION_BYTES))
        return cls(
            message_bytes=int((free_bytes - connections * CONNECTION_BYTES) * MESSAGES_SHARE),
            connections=connections,
            resident_bytes=int(memory_mb * (1 - MARGIN_SHARE) * BYTES_PER_MB),
            reserved_bytes=reserved_mb * BYTES_PER_MB,
            has_room_for_upgrade=has_room_for_upgrade,
        )


class MemoryBudget:
    """Counts the bytes in all accounts."""

    def __init__(self, total: int) -> None:
        """Create a budget of `total` bytes."""
        self.total = total
        self.used = 0
        # Resident memory of another process of this dispatcher that shares the limit; None if there is no such process.
        self.resident_elsewhere: int | None = None
        self._used_elsewhere = 0
        self._withheld = 0

    @property
    def limit(self) -> int:
        """How many bytes the accounts of this process may hold now."""
        return max(self.total - self._used_elsewhere - self._withheld, 0)

    def set_used_elsewhere(self, count: int) -> None:
        """Leave `count` bytes to another process of this dispatcher that shares the limit."""
        self._used_elsewhere = count

    def withhold(self, count: int) -> None:
        """Reduce the limit by `count` bytes, because the process takes more memory than is counted here."""
        self._withheld = count

    def account(self) -> MemoryAccount:
        """Open an account, which is empty."""
        return MemoryAccount(self)

    @property
    def has_room(self) -> bool:
        """Whether accounts may grow."""
        return self.used < self.limit

    @property
    def has_headroom(self) -> bool:
        """Whether enough is free that no more need be freed."""
        return self.used <= self.limit * HEADROOM_FRACTION

    @property
    def exhausted(self) -> bool:
        """Whether not even small requests fit."""
        return self.used > self.limit + self.total * SMALL_REQUESTS_SHARE


class MemoryAccount:
    """The bytes of one owner."""

    __slots__ = ("size", "_budget")

    def __init__(self, budget: MemoryBudget) -> None:
        """Open an empty account of `budget`."""
        self.size = 0
        self._budget = budget

    def resize(self, size: int) -> None:
        """Set the number of bytes in the account; 0 closes it."""
        self._budget.used += size - self.size
        self.size = size
