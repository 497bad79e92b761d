"""The zone controller: answers lease requests of its dispatchers at once, from credit granted by the shard owners."""

from __future__ import annotations

from collections.abc import Mapping
from heapq import heappop, heappush

from badgerroad.fleet.messages import LeaseCredit, LeaseGrant, LeaseNeed, LeaseRequest, LeaseReturn, QuotaGrant
from badgerroad.fleet.rules.actions import Peer, SendMessage
from badgerroad.fleet.rules.credits import GrantorCredit, is_newest
from badgerroad.fleet.rules.view import View
from badgerroad.fleet.rules.zone_session import Stock, ZoneShard
from badgerroad.fleet.settings import US_PER_MS, FleetSettings

IDLE_TIMEOUT_US = 60_000_000  # time without a message after which a dispatcher is dropped; far longer than any lease

READY_AFTER_US = 10_000_000  # time after the start from which dispatchers' polls are answered without open sessions


class Lease(GrantorCredit):
    """The lease of one team at one dispatcher.

    `end`: end of the lease by the zone controller's clock, later than its end by the dispatcher's clock. `scheduled`:
    whether the end is in the heap of lease ends.
    """

    __slots__ = ("end", "scheduled")

    def __init__(self) -> None:
        """Start without credit."""
        super().__init__()
        self.end = 0
        self.scheduled = False


class Dispatcher:
    """The state of one dispatcher.

    `sequence`: the number of its newest lease request. `last_message_at`: the time of its last message, in
    microseconds.
    """

    __slots__ = ("sequence", "last_message_at", "leases")

    def __init__(self, now: int) -> None:
        """Start without leases."""
        self.sequence = 0
        self.last_message_at = now
        self.leases: dict[str, Lease] = {}


class ZoneController:
    """Leases requests to the dispatchers of a zone.

    `granted`, `rejected` and `from_reserve` are totals of requests since the start.
    """

    def __init__(self, settings: FleetSettings, incarnation: int, view: View, now: int) -> None:
        """Start at `now` without sessions. `incarnation`: the incarnation of this process."""
        self._settings = settings
        self._incarnation = incarnation
        self._view = view
        self.shards = [ZoneShard(settings, shard, now) for shard in range(settings.shards)]
        self._dispatchers: dict[Peer, Dispatcher] = {}
        self._ends: list[tuple[int, int, Peer, str]] = []  # heap of lease ends: time, tie-breaker, dispatcher, team
        self._serial = 0
        self._next_review = now + IDLE_TIMEOUT_US
        self._ready_at = now + READY_AFTER_US
        self.ended = False
        self.granted = self.rejected = self.from_reserve = 0

    @property
    def dispatcher_count(self) -> int:
        """The number of dispatchers that sent a message within the idle timeout."""
        return len(self._dispatchers)

    def set_quotas(self, now: int, quotas: Mapping[str, float]) -> None:
        """Replace all quotas (requests per second)."""
        by_shard: list[dict[str, float]] = [{} for _ in self.shards]
        for name, quota in quotas.items():
            by_shard[self._settings.shard_of(name)][name] = quota
        for shard, part in zip(self.shards, by_shard, strict=False):
            shard.set_quotas(now, part)

    def expire(self, now: int) -> None:
        """End expired sessions and dispatcher leases. Call before anything else is done at `now`."""
        for shard in self.shards:
            shard.expire(now)
        while self._ends and self._ends[0][0] <= now:
            _, _, peer, team = heappop(self._ends)
            self._expire_lease(now, peer, team)

    def tick(self, now: int) -> list[SendMessage]:
        """Open sessions with new owners, and send the quota requests that are due."""
        self._forget_idle(now)
        if self.ended:
            return []
        actions: list[SendMessage] = []
        for shard in self.shards:
            shard.follow(now, self._view.owner_of(now, shard.shard))
            actions += shard.tick(now)
        return actions

    def receive_grant(self, now: int, sender: Peer, grant: QuotaGrant) -> None:
        """Apply an owner's grant."""
        if grant.shard < len(self.shards) and not self.ended:
            self.shards[grant.shard].receive(now, sender, grant)

    def lease(self, now: int, sender: Peer, request: LeaseRequest) -> list[SendMessage]:
        """Answer a lease request at once from the available credit.

        A request without needs polls whether this controller is ready. Such a poll stays unanswered shortly after the
        start, so that dispatchers stay with the controller that currently serves them.
        """
        if not request.needs and not self._ready(now):
            return []
        dispatcher = self._dispatcher(now, sender)
        same_incarnation = request.controller == self._incarnation
        newest = is_newest(request.sequence, dispatcher.sequence)
        if newest:
            dispatcher.sequence = request.sequence
        answers = tuple(self._answer(now, sender, dispatcher, need, newest, same_incarnation) for need in request.needs)
        return [SendMessage(sender.name, LeaseGrant(request.sequence, answers)), *self._replenish(now, request)]

    def receive_return(self, now: int, sender: Peer, message: LeaseReturn) -> None:
        """Apply the totals that a dispatcher reports without requesting more credit."""
        if message.controller != self._incarnation:
            return
        dispatcher = self._dispatcher(now, sender)
        for usage in message.usages:
            shard = self.shards[self._settings.shard_of(usage.team)]
            stock = shard.stocks.get(usage.team)
            if stock is not None:
                lease = self._lease(shard, sender, dispatcher, usage.team)
                self._report(shard, usage.team, stock, lease, usage.used, usage.returned)

    def end(self, now: int) -> list[SendMessage]:
        """Return all unused credit to the owners and grant no more leases, because the process shuts down."""
        if self.ended:
            return []
        self.ended = True
        actions: list[SendMessage] = []
        for shard in self.shards:
            actions += shard.give_back(now)
        return actions

    def _answer(
        self, now: int, sender: Peer, dispatcher: Dispatcher, need: LeaseNeed, newest: bool, same_incarnation: bool
    ) -> LeaseCredit:
        """Answer one need. `same_incarnation`: the reported totals belong to this incarnation of this controller."""
        shard = self.shards[self._settings.shard_of(need.team)]
        stock = shard.stocks.get(need.team)
        if stock is None or not stock.known:
            return LeaseCredit(need.team, 0, 0, False)
        lease = self._lease(shard, sender, dispatcher, need.team)
        if same_incarnation:
            self._report(shard, need.team, stock, lease, need.used, need.returned)
        shortfall = max(0, need.wanted - lease.outstanding) if newest and not self.ended else 0
        granted = self._share(shortfall, shard.available(now, need.team, stock))
        stock.demand.add(now, shortfall, stock.quota)
        if granted:
            shard.lease_out(now, need.team, stock, granted)
            lease.grant(granted)
            self.granted += granted
            self.from_reserve += 0 if shard.open else granted
        self.rejected += shortfall - granted
        shard.schedule_if_low(now, stock)
        valid_ms = self._extend(now, shard, sender, need.team, lease)
        return LeaseCredit(need.team, lease.granted, valid_ms)

    def _replenish(self, now: int, request: LeaseRequest) -> list[SendMessage]:
        """Request more credit from the owners of the teams in the lease request, where a quota request is due."""
        if self.ended:
            return []
        actions: list[SendMessage] = []
        for shard in dict.fromkeys(self._settings.shard_of(need.team) for need in request.needs):
            actions += self.shards[shard].tick(now)
        return actions

    def _ready(self, now: int) -> bool:
        """Whether every shard has an open session, or READY_AFTER_US has passed since the start."""
        return not self.ended and (now >= self._ready_at or all(shard.open for shard in self.shards))

    def _share(self, shortfall: int, available: int) -> int:
        """Return at most half of the available credit, but at least one request.

        The limit prevents one dispatcher from emptying the stock.
        """
        return min(shortfall, available, max(1, available // 2))

    def _extend(self, now: int, shard: ZoneShard, sender: Peer, team: str, lease: Lease) -> int:
        if not lease.outstanding:
            return 0
        valid_ms = shard.valid_ms(now)
        lease.end = max(lease.end, now + self._settings.longer(valid_ms * US_PER_MS))
        if not shard.open:
            shard.reserve.lease(lease.end)
        if not lease.scheduled:
            self._schedule(sender, team, lease)
        return valid_ms

    def _schedule(self, sender: Peer, team: str, lease: Lease) -> None:
        lease.scheduled = True
        self._serial += 1
        heappush(self._ends, (lease.end, self._serial, sender, team))

    def _expire_lease(self, now: int, peer: Peer, team: str) -> None:
        dispatcher = self._dispatchers.get(peer)
        lease = dispatcher.leases.get(team) if dispatcher is not None else None
        if lease is None:
            return
        lease.scheduled = False
        if now < lease.end:
            self._schedule(peer, team, lease)
            return
        shard = self.shards[self._settings.shard_of(team)]
        shard.settle(team, shard.stocks[team], lease.write_off(), 0)

    def _report(self, shard: ZoneShard, team: str, stock: Stock, lease: Lease, used: int, returned: int) -> None:
        lease.adopt_totals(used, returned)
        progress = lease.report(used, returned)
        if progress.used or progress.returned:
            shard.settle(team, stock, progress.used, progress.returned)

    def _lease(self, shard: ZoneShard, sender: Peer, dispatcher: Dispatcher, team: str) -> Lease:
        lease = dispatcher.leases.get(team)
        if lease is None:
            lease = dispatcher.leases[team] = Lease()
            shard.leases[sender, team] = lease
        return lease

    def _dispatcher(self, now: int, peer: Peer) -> Dispatcher:
        dispatcher = self._dispatchers.get(peer)
        if dispatcher is None:
            dispatcher = self._dispatchers[peer] = Dispatcher(now)
        dispatcher.last_message_at = now
        return dispatcher

    def _forget_idle(self, now: int) -> None:
        if now < self._next_review:
            return
        self._next_review = now + IDLE_TIMEOUT_US
        for peer in [
            peer for peer, known in self._dispatchers.items() if now - known.last_message_at >= IDLE_TIMEOUT_US
        ]:
            for team in self._dispatchers.pop(peer).leases:
                self.shards[self._settings.shard_of(team)].leases.pop((peer, team), None)
