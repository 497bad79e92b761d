"""The token bucket of one team at a shard's owner, including the credit held by zones. Amounts are micro-requests.

Invariant after each call: level + outstanding + suspended + carryable <= depth, unless the depth was lowered below the
amount already granted. Credit that zones hold, or may present again after a lost session or a change of owner,
therefore keeps its capacity in the bucket, and tokens for that capacity are not minted twice.
"""

from __future__ import annotations

MICRO_PER_REQUEST = 1_000_000


class Bucket:
    """A token bucket whose capacity is divided into four amounts.

    `level`: available for grants. `outstanding`: granted under running leases and not yet reported as used.
    `suspended`: granted under leases that ended but whose sessions may resume. `carryable`: capacity reserved for
    credit that zones may carry over from the previous term.
    """

    __slots__ = ("depth", "level", "outstanding", "suspended", "carryable")

    def __init__(self, depth: int, carryable: int) -> None:
        """Start with an empty level. `carryable`: the most that zones may carry over from the previous term."""
        self.depth = depth
        self.level = 0
        self.outstanding = 0
        self.suspended = 0
        self.carryable = min(carryable, depth)

    @property
    def total(self) -> int:
        """The sum of `level`, `outstanding`, `suspended` and `carryable`."""
        return self.level + self.outstanding + self.suspended + self.carryable

    def refill(self, amount: int) -> None:
        """Add `amount` to the level: first up to the depth, then in exchange for `carryable`. The rest is dropped."""
        free = max(0, self.depth - self.total)
        filled = min(amount, free)
        exchanged = min(amount - filled, self.carryable)
        self.carryable -= exchanged
        self.level += filled + exchanged

    def set_depth(self, depth: int) -> None:
        """Change the depth. Credit above the new depth is taken from `level` first, then from `carryable`."""
        self.depth = depth
        excess = max(0, self.total - depth)
        from_level = min(excess, self.level)
        self.level -= from_level
        self.carryable -= min(excess - from_level, self.carryable)

    def grant(self, amount: int) -> None:
        """Move `amount` from the level to the outstanding credit."""
        self.level -= amount
        self.outstanding += amount

    def spend(self, amount: int) -> None:
        """Remove `amount` of outstanding credit that was used."""
        self.outstanding -= amount

    def put_back(self, amount: int) -> None:
        """Move `amount` of outstanding credit that came back unused to the level, as far as the depth allows."""
        self.outstanding -= amount
        self.level += min(amount, max(0, self.depth - self.total))

    def suspend(self, amount: int) -> None:
        """Move `amount` from outstanding to suspended credit, because its lease ended."""
        self.outstanding -= amount
        self.suspended += amount

    def revive(self, amount: int) -> None:
        """Move `amount` from suspended back to outstanding credit, because its session resumed."""
        self.suspended -= amount
        self.outstanding += amount

    def forget(self, amount: int) -> None:
        """Remove `amount` of suspended credit whose session can no longer resume."""
        self.suspended -= amount

    def carry(self, requests: int) -> int:
        """Accept up to `requests` that a zone carries over from the previous term; return the number accepted."""
        accepted = min(requests, self.carryable // MICRO_PER_REQUEST)
        self.carryable -= accepted * MICRO_PER_REQUEST
        self.outstanding += accepted * MICRO_PER_REQUEST
        return accepted

    def end_carry_over(self) -> None:
        """Free the capacity reserved for credit that zones may carry over from the previous term."""
        self.carryable = 0
