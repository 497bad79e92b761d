"""The number of open sockets against the process's descriptor limit."""

from __future__ import annotations

# Parts of the limit at which a measure starts, in the order of their severity.
HEADROOM_PART = 0.8
SCARCE_PART = 0.9
NEARLY_EXHAUSTED_PART = 0.95
RESERVED_PART = 0.975
SMALLEST_LIMIT = 8


class DescriptorBudget:
    """Counts open sockets. Each connection takes one descriptor and gives it back in `close`."""

    RESERVE = 24  # standard streams, the event loop's own, the listener, discovery, a few about to be closed

    def __init__(self, limit: int, reserved: int = 0) -> None:
        """`limit`: descriptors of the process; `reserved`: those that other parts of the program use."""
        self.total = max(limit - self.RESERVE - reserved, SMALLEST_LIMIT)
        self.limit = self.total
        self.used = 0

    def set_used_elsewhere(self, count: int) -> None:
        """Leave `count` descriptors to another process of this dispatcher, which shares the limit."""
        self.limit = max(self.total - count, SMALLEST_LIMIT)

    @property
    def scarce(self) -> bool:
        """Whether idle connections should be closed."""
        return self.used >= self.limit * SCARCE_PART

    def has_headroom(self, closing: int) -> bool:
        """Whether enough idle connections are closed or `closing` for eviction to stop."""
        return self.used - closing <= self.limit * HEADROOM_PART

    @property
    def nearly_exhausted(self) -> bool:
        """Whether new requests should be rejected: each may need one more socket for its attempt."""
        return self.used >= self.limit * NEARLY_EXHAUSTED_PART

    @property
    def reserved_for_attempts(self) -> bool:
        """Whether the remaining descriptors are for attempts only: silent clients must not take the last ones."""
        return self.used >= self.limit * RESERVED_PART

    @property
    def exhausted(self) -> bool:
        """Whether no descriptor is left."""
        return self.used >= self.limit
