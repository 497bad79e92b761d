"""Tracks the number of open sockets against the process's limit of file descriptors."""

from __future__ import annotations

# Fractions of the limit. Eviction of idle connections stops once no more than the first is in use. At each of the
# others, a measure against exhaustion starts, the mildest at the smallest fraction.
HEADROOM_FRACTION = 0.8
SCARCE_FRACTION = 0.9
NEARLY_EXHAUSTED_FRACTION = 0.95
RESERVED_FRACTION = 0.975
MIN_LIMIT = 8


class DescriptorBudget:
    """Counts open sockets. Each connection takes one descriptor and releases it in `close`."""

    # Descriptors for standard streams, the event loop, the listener, discovery, and sockets about to be closed.
    RESERVE = 24

    def __init__(self, limit: int, reserved: int = 0) -> None:
        """Create the budget of a process that may open `limit` descriptors, `reserved` of them for other uses."""
        self.total = max(limit - self.RESERVE - reserved, MIN_LIMIT)
        self.limit = self.total
        self.used = 0

    def set_used_elsewhere(self, count: int) -> None:
        """Leave `count` descriptors to another process of this dispatcher that shares the limit."""
        self.limit = max(self.total - count, MIN_LIMIT)

    @property
    def scarce(self) -> bool:
        """Whether idle connections should be closed."""
        return self.used >= self.limit * SCARCE_FRACTION

    def has_headroom(self, closing: int) -> bool:
        """Whether eviction can stop, given that `closing` of the connections in use are about to close."""
        return self.used - closing <= self.limit * HEADROOM_FRACTION

    @property
    def nearly_exhausted(self) -> bool:
        """Whether new requests should be rejected, since each may need one more socket for its attempt."""
        return self.used >= self.limit * NEARLY_EXHAUSTED_FRACTION

    @property
    def reserved_for_attempts(self) -> bool:
        """Whether the remaining descriptors are reserved for attempts, so that inactive clients cannot take them."""
        return self.used >= self.limit * RESERVED_FRACTION

    @property
    def exhausted(self) -> bool:
        """Whether no descriptor is left."""
        return self.used >= self.limit
