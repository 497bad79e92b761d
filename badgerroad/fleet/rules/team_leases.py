"""A dispatcher's leases of one team, one from each controller that it requested credit from."""

from __future__ import annotations

from badgerroad.fleet.rules.actions import Peer
from badgerroad.fleet.rules.credits import HolderCredit
from badgerroad.fleet.rules.demand import Demand

PREFETCH_S = 0.5  # seconds of recent demand to lease in advance
INHERITED = Peer("", 0)  # key of the account for credit inherited from another process


class DispatcherLease(HolderCredit):
    """The lease granted by one incarnation of one controller.

    `end`: end of the lease in microseconds of this process's clock. `reported_total`: used and returned requests
    already reported to the controller. `transferred`: requests that another process on this machine may use until
    `end`.
    """

    __slots__ = ("end", "reported_total", "transferred")

    def __init__(self) -> None:
        """Start without credit."""
        super().__init__()
        self.end = 0
        self.reported_total = 0
        self.transferred = 0

    @property
    def unused(self) -> int:
        """The number of requests that this process may use."""
        return super().unused - self.transferred

    def transfer(self) -> int:
        """Transfer all unused requests to another process on this machine; return their number.

        The other process may use them until the lease ends.
        """
        count = self.unused
        self.transferred += count
        return count

    def runs(self, now: int) -> bool:
        """Whether the lease is still valid. Checked at each use."""
        return now < self.end

    def drop_ended(self, now: int) -> None:
        """If the lease has ended, return the unused requests and count the transferred ones as used."""
        if self.runs(now):
            return
        self.use(self.transferred)
        self.transferred = 0
        self.give_back(self.unused)

    @property
    def unreported(self) -> bool:
        """Whether the controller does not know the current totals of used and returned requests."""
        return self.used + self.returned > self.reported_total


class TeamLeases:
    """The leases of one team, and its requests that wait for a lease.

    `demand`: the rate of requests within quota. `waiting`: deadline by request, in order of arrival.
    `rejected_until`: time until which requests are rejected without asking a controller. `no_prefetch_until`: time
    until which credit is not requested in advance. `open_request`: sequence of the open lease request, or None.
    """

    __slots__ = ("accounts", "demand", "waiting", "rejected_until", "no_prefetch_until", "open_request")

    def __init__(self, now: int) -> None:
        """Start without leases at `now` (microseconds)."""
        self.accounts: dict[Peer, DispatcherLease] = {}
        self.demand = Demand(now)
        self.waiting: dict[int, int] = {}
        self.rejected_until = self.no_prefetch_until = now
        self.open_request: int | None = None

    def account(self, peer: Peer) -> DispatcherLease:
        """Return the lease from `peer`; create it if there is none."""
        account = self.accounts.get(peer)
        if account is None:
            account = self.accounts[peer] = DispatcherLease()
        return account

    def unused(self, now: int) -> int:
        """Return how many more requests all valid leases together allow."""
        return sum(account.unused for account in self.accounts.values() if account.runs(now))

    def take(self, now: int) -> bool:
        """Use one request of the lease that ends first. Returns False if no valid lease has an unused request."""
        usable = [account for account in self.accounts.values() if account.unused and account.runs(now)]
        if not usable:
            return False
        min(usable, key=lambda account: account.end).use(1)
        self.demand.add(now, 1)
        return True

    def drop_ended(self, now: int) -> None:
        """Drop the remaining credit of ended leases."""
        for account in self.accounts.values():
            account.drop_ended(now)

    def prefetch(self, now: int) -> int:
        """Return how many requests to lease in advance, based on recent demand."""
        return int(self.demand.rate(now) * PREFETCH_S)
