"""An owner's token bucket of one team, which also counts the credit that zones have. Amounts are micro-requests.

Invariant after each call: level + outstanding + suspended + unknown <= depth, unless the depth was lowered below what
had been granted. So all credit that zones have, or may bring back after a lost session or a change of owner, has its
capacity in the bucket, and nothing is minted for that capacity twice.
"""

from __future__ import annotations

MICRO = 1_000_000


class Bucket:
    """A token bucket.

    `level`: may be granted. `outstanding`: granted under running leases and not reported used. `suspended`: the same
    under ended leases that may be revived. `unknown`: what zones may carry over from the term before.
    """

    __slots__ = ("depth", "level", "outstanding", "suspended", "unknown")

    def __init__(self, depth: int, unknown: int) -> None:
        """Start empty. `unknown`: what zones may carry over from the term before."""
        self.depth = depth
        self.level = 0
        self.outstanding = 0
        self.suspended = 0
        self.unknown = min(unknown, depth)

    @property
    def total(self) -> int:
        """All four amounts together."""
        return self.level + self.outstanding + self.suspended + self.unknown

    def refill(self, amount: int) -> None:
        """Fill the free capacity, then replace `unknown`."""
        free = max(0, self.depth - self.total)
        filled = min(amount, free)
        exchanged = min(amount - filled, self.unknown)
        self.unknown -= exchanged
        self.level += filled + exchanged

    def set_depth(self, depth: int) -> None:
        """Change the depth. An excess is taken from `level`, then from `unknown`."""
        self.depth = depth
        excess = max(0, self.total - depth)
        from_level = min(excess, self.level)
        self.level -= from_level
        self.unknown -= min(excess - from_level, self.unknown)

    def grant(self, amount: int) -> None:
        """Move `amount` from the level to the outstanding credit."""
        self.level -= amount
        self.outstanding += amount

    def spend(self, amount: int) -> None:
        """`amount` of the outstanding credit was used."""
        self.outstanding -= amount

    def put_back(self, amount: int) -> None:
        """`amount` of the outstanding credit came back unused."""
        self.outstanding -= amount
        self.level += min(amount, max(0, self.depth - self.total))

    def suspend(self, amount: int) -> None:
        """The lease of `amount` of the outstanding credit ended."""
        self.outstanding -= amount
        self.suspended += amount

    def revive(self, amount: int) -> None:
        """The session of `amount` of the suspended credit continues."""
        self.suspended -= amount
        self.outstanding += amount

    def forget(self, amount: int) -> None:
        """`amount` of the suspended credit can no longer be revived."""
        self.suspended -= amount

    def carry(self, requests: int) -> int:
        """A zone carries over `requests` from the term before; returns how many are accepted."""
        accepted = min(requests, self.unknown // MICRO)
        self.unknown -= accepted * MICRO
        self.outstanding += accepted * MICRO
        return accepted

    def forget_unknown(self) -> None:
        """Nothing can be carried over any more."""
        self.unknown = 0
