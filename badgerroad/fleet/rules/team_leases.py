"""What a dispatcher holds of one team, from each controller that it has asked."""

from __future__ import annotations

from badgerroad.fleet.rules.actions import Peer
from badgerroad.fleet.rules.credits import HolderCredit
from badgerroad.fleet.rules.demand import Demand

PREFETCH_S = 0.5  # so many seconds of recent demand are held in advance
INHERITED = Peer("", 0)  # the account of what was taken over from another process


class DispatcherLease(HolderCredit):
    """The account with one life of one controller. `end`: by this process's clock. `told`: how many used and returned
    requests the controller has been told of. `passed_on`: held by another process on this machine until `end`."""

    __slots__ = ("end", "reported_total", "transferred")

    def __init__(self) -> None:
        super().__init__()
        self.end = 0
        self.reported_total = 0
        self.transferred = 0

    @property
    def unused(self) -> int:
        return super().unused - self.transferred

    def transfer(self) -> int:
        """Returns how many; the other process may use them as long as the lease runs."""
        count = self.unused
        self.transferred += count
        return count

    def runs(self, now: int) -> bool:
        """The lease's end is checked at each use."""
        return now < self.end

    def drop_ended(self, now: int) -> None:
        """What is left of an ended lease was not used, and can't be."""
        if self.runs(now):
            return
        self.use(self.transferred)
        self.transferred = 0
        self.give_back(self.unused)

    @property
    def unreported(self) -> bool:
        return self.used + self.returned > self.reported_total


class TeamLeases:
    """`demand`: of requests within quota. `waiting`: requests with their deadlines, in order. `refused_until`: no use
    asking before; `no_prefetch_until`: no use asking for more than what waits. `asked`: sequence of the open ask, or
    None."""

    __slots__ = ("accounts", "demand", "waiting", "rejected_until", "no_prefetch_until", "open_request")

    def __init__(self, now: int) -> None:
        self.accounts: dict[Peer, DispatcherLease] = {}
        self.demand = Demand(now)
        self.waiting: dict[int, int] = {}
        self.rejected_until = self.no_prefetch_until = now
        self.open_request: int | None = None

    def account(self, peer: Peer) -> DispatcherLease:
        account = self.accounts.get(peer)
        if account is None:
            account = self.accounts[peer] = DispatcherLease()
        return account

    def unused(self, now: int) -> int:
        return sum(account.unused for account in self.accounts.values() if account.runs(now))

    def take(self, now: int) -> bool:
        """Uses one request, of the lease that ends first. Returns whether there was one."""
        usable = [account for account in self.accounts.values() if account.unused and account.runs(now)]
        if not usable:
            return False
        min(usable, key=lambda account: account.end).use(1)
        self.demand.add(now, 1)
        return True

    def drop_ended(self, now: int) -> None:
        for account in self.accounts.values():
            account.drop_ended(now)

    def prefetch(self, now: int) -> int:
        return int(self.demand.rate(now) * PREFETCH_S)
