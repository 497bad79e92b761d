"""A zone controller's session with the owner of one shard: the stock of each team, and the zone's reserve.

Times are microseconds of the zone controller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping

from badgerroad.fleet.messages import UNKNOWN_SESSION, QuotaGrant, QuotaNeed, QuotaRequest, QuotaReturn, Usage
from badgerroad.fleet.rules.actions import Peer, SendMessage
from badgerroad.fleet.rules.credits import LATE_WINDOW, GrantorCredit, HolderCredit, is_newest
from badgerroad.fleet.rules.demand import Demand, target_stock
from badgerroad.fleet.rules.reserve import Reserve, ReserveStock, zone_share
from badgerroad.fleet.rules.view import Owner
from badgerroad.fleet.settings import US_PER_MS, FleetSettings

URGENT_INTERVAL_US = 50_000  # minimum time between two requests to the owner
SCARCE_INTERVAL_US = 250_000  # that minimum while the owner has too little credit; it then also grants unprompted
REFRESH_INTERVAL_US = 10_000_000  # interval at which the owner is sent the totals of all teams again, even if known
FIRST_SESSION_LIMIT = 1 << 48  # exclusive upper bound of the first session number of a term
MAX_REMEMBERED_REQUESTS = 128  # number of latest requests to the owner whose sending times are kept
MAX_FORMER_OWNERS = 64  # number of former owners that are remembered, so that no second session is opened with them


class Stock:
    """The credit of one team in one zone.

    `quota`: the quota sent by the owner. `configured`: the quota in this controller's quotas file. The lower of the two
    applies. `credit`: the account with the owner. `leased_out`: requests of this credit that dispatchers have leased
    and not reported. `changed`: sequence of the first request that can carry the current state. `requested_stock`: the
    stock wanted in the last request. `below_requested`: whether the unused credit was below `requested_stock` after the
    last grant. `carried`: unused credit from the session of an earlier term.
    """

    __slots__ = (
        "quota",
        "configured",
        "known",
        "credit",
        "leased_out",
        "demand",
        "changed",
        "requested_stock",
        "below_requested",
        "carried",
    )

    def __init__(self, quota: float, now: int) -> None:
        """Start without credit. `quota`: requests per second."""
        self.quota = self.configured = quota
        self.known = True
        self.credit = HolderCredit()
        self.leased_out = 0
        self.demand = Demand(now)
        self.changed = 0
        self.requested_stock = 0
        self.below_requested = False
        self.carried = 0

    @property
    def available(self) -> int:
        """The number of requests that may still be leased to dispatchers."""
        return self.credit.unused - self.leased_out

    @property
    def served(self) -> bool:
        """Whether the team has a quota above zero."""
        return self.known and self.rate > 0

    @property
    def rate(self) -> float:
        """The effective quota in requests per second."""
        return min(self.quota, self.configured)

    def target(self, now: int, settings: FleetSettings) -> int:
        """Return the stock in requests that the zone should have, based on recent demand."""
        return target_stock(self.demand.rate(now), self.rate, settings) if self.served else 0


class ZoneShard:
    """A zone's session with the owner of one shard, with its stocks and its reserve.

    `open`: whether the owner's lease to the zone was valid when last checked, so that the stocks may be leased to
    dispatchers. `end`: end of that lease.
    """

    def __init__(self, settings: FleetSettings, shard: int, now: int) -> None:
        """Start without an owner and without a session."""
        self._settings = settings
        self.shard = shard
        self.owner: Owner | None = None
        self.number = UNKNOWN_SESSION
        self.open = False
        self.end = now
        self.stocks: dict[str, Stock] = {}
        self.leases: dict[tuple[Peer, str], GrantorCredit] = {}
        self.reserve = Reserve(settings, now)
        self._reserve_stocks: dict[str, ReserveStock] = {}
        self._former_owners: list[Owner] = []
        self._carry_until = 0
        self._sequence = 0
        self._sent: dict[int, int] = {}
        self._answered = 0
        self._acknowledged = 0
        self._stamp = 0
        self._last_request: int | None = None
        self._pending: dict[str, None] = {}  # teams to include in the next request, a set in insertion order
        self._urgent = False
        self._scarce = False
        self._next_trim = now
        self._next_refresh = now + REFRESH_INTERVAL_US

    # Quotas

    def set_quotas(self, now: int, quotas: Mapping[str, float]) -> None:
        """Replace the configured quotas of this shard's teams (requests per second)."""
        for name, stock in self.stocks.items():
            if name not in quotas:
                stock.known = False
                self._settle_unserved(name, stock)
        for name, quota in quotas.items():
            stock = self.stocks.get(name) or self.stocks.setdefault(name, Stock(quota, now))
            stock.quota = stock.configured = quota
            stock.known = True
            self._settle_unserved(name, stock)
            self.mark_changed(name, stock)

    def _settle_unserved(self, name: str, stock: Stock) -> None:
        """Return the unused credit of the team to the owner if it has no quota."""
        if not stock.served and stock.available > 0:
            stock.credit.give_back(stock.available)
        self.mark_changed(name, stock)

    # Credit that may be leased to dispatchers

    def expire(self, now: int) -> None:
        """End the session if its lease has ended. Call before anything else is done at `now`."""
        if self.open and not self._lease_runs(now):
            self._end_session()

    def _lease_runs(self, now: int) -> bool:
        """Whether the owner's lease is still valid. Checked at each use."""
        return now < self.end

    def available(self, now: int, name: str, stock: Stock) -> int:
        """Return the requests of the team that may be leased to dispatchers now, from the stock or from the reserve."""
        if not stock.served:
            return 0
        if self.open:
            return stock.available if self.valid_ms(now) > self._settings.ask_timeout_ms else 0
        if not self.reserve.usable(now):
            return 0
        return self._reserve_stock(name).available(now, self._zone_rate(stock))

    def lease_out(self, now: int, name: str, stock: Stock, count: int) -> None:
        """Lease `count` of the available requests to a dispatcher."""
        if self.open:
            stock.leased_out += count
        else:
            self._reserve_stock(name).take(count)

    def valid_ms(self, now: int) -> int:
        """Return the duration of a dispatcher's lease, which never outlasts the owner's lease to this zone."""
        if not self.open:
            return self._settings.dispatcher_lease_ms
        left_ms = (self.end - now) // US_PER_MS
        return min(self._settings.dispatcher_lease_ms, self._settings.shorter(left_ms))

    def settle(self, name: str, stock: Stock, used: int, returned: int) -> None:
        """Account for a dispatcher's leased requests, of which `used` were used and `returned` came back unused."""
        if self.open:
            stock.leased_out -= used + returned
            stock.credit.use(used)
            self.mark_changed(name, stock)
        elif returned:
            self._reserve_stock(name).put_back(returned)

    def mark_changed(self, name: str, stock: Stock) -> None:
        """Include the team in the next request to the owner."""
        stock.changed = self._sequence + 1
        self._pending[name] = None

    def schedule_if_low(self, now: int, stock: Stock) -> None:
        """Schedule an early request to the owner if the stock is below its target."""
        if not self.open or stock.available >= stock.target(now, self._settings):
            return
        if stock.below_requested:
            self._scarce = True
        else:
            self._urgent = True

    def _zone_rate(self, stock: Stock) -> float:
        return stock.rate * zone_share(self._settings)

    def _reserve_stock(self, name: str) -> ReserveStock:
        stock = self._reserve_stocks.get(name)
        if stock is None:
            stock = self._reserve_stocks[name] = ReserveStock(max(self.end, self.reserve.usable_from))
        return stock

    # The session

    def _end_session(self) -> None:
        """End the session.

        All leases of dispatchers ended before the session; their requests that were not reported count as used.
        """
        self.open = False
        self._carry_until = self.end + self._settings.carry_ms * US_PER_MS
        for (_, name), lease in self.leases.items():
            self.stocks[name].credit.use(lease.write_off())
        for name, stock in self.stocks.items():
            stock.leased_out = 0
            self.mark_changed(name, stock)

    def _begin_session(self) -> None:
        """Open the session, so that its stocks may be leased to dispatchers.

        Leases from the reserve do not belong to the session. They are written off: later reports on them count nothing.
        """
        self.open = True
        self._reserve_stocks.clear()
        for lease in self.leases.values():
            lease.write_off()

    def follow(self, now: int, owner: Owner | None) -> None:
        """Open a session with a new owner once the session with the previous one is over.

        A session is never opened twice with the same owner in the same term, because the owner would continue its
        earlier count of this zone's credit.
        """
        if owner is None or owner == self.owner or self.open or owner in self._former_owners:
            return
        if self.owner is not None:
            if owner.term < self.owner.term and now < self._carry_until + self._settings.carry_ms * US_PER_MS:
                return
            self._leave(now, self.owner, owner)
        self.owner = owner
        self._reset(UNKNOWN_SESSION)
        self._mark_all_changed()
        self._urgent = True
        self._last_request = None

    def _leave(self, now: int, old: Owner, new: Owner) -> None:
        self._former_owners = [*self._former_owners[1 - MAX_FORMER_OWNERS :], old]
        for stock in self.stocks.values():
            if self.number != UNKNOWN_SESSION:
                stock.carried = max(0, stock.available) if old.term != new.term else 0

    def _reset(self, number: int) -> None:
        self.number = number
        self._acknowledged = self._stamp = 0
        for stock in self.stocks.values():
            stock.credit = HolderCredit()
            stock.leased_out = 0

    def _mark_all_changed(self) -> None:
        for name, stock in self.stocks.items():
            self.mark_changed(name, stock)

    # Messages

    def tick(self, now: int) -> list[SendMessage]:
        """Return the request to the owner if one is due."""
        if self.owner is None or not self._request_due(now):
            return []
        return [SendMessage(self.owner.peer.name, self._request(now, self.owner))]

    def _request_due(self, now: int) -> bool:
        if self._last_request is None:
            return True
        waited = now - self._last_request
        if (self._urgent and waited >= URGENT_INTERVAL_US) or (self._scarce and waited >= SCARCE_INTERVAL_US):
            return True
        return waited >= self._settings.renew_ms * US_PER_MS

    def _request(self, now: int, owner: Owner) -> QuotaRequest:
        self._urgent = False
        self._scarce = False
        self._last_request = now
        self._review_stocks(now)
        if now >= self._next_refresh:
            self._next_refresh = now + REFRESH_INTERVAL_US
            self._mark_all_changed()
        lending = self.open and self._stamp > 0 and self.reserve.may_lend(now)
        if lending:
            self.reserve.lend(now)
        self._sequence += 1
        self._sent[self._sequence] = now
        self._sent.pop(self._sequence - MAX_REMEMBERED_REQUESTS, None)
        needs = tuple(self._need(now, name) for name in self._pending)
        return QuotaRequest(
            self.shard, owner.term, self.number, self._sequence, self._acknowledged, self._stamp, lending, needs
        )

    def _review_stocks(self, now: int) -> None:
        """Include the teams whose stock to request changed with demand in the next request to the owner.

        Once per renewal period, return credit above the target stock to the owner.
        """
        session_ending = self.end - now < self._settings.renew_ms * US_PER_MS  # credit returned this late would be lost
        trimming = self.open and now >= self._next_trim and not session_ending
        if trimming:
            self._next_trim = now + self._settings.renew_ms * US_PER_MS
        for name, stock in self.stocks.items():
            target = stock.target(now, self._settings)
            if trimming and stock.available > target:
                stock.credit.give_back(stock.available - target)
                self.mark_changed(name, stock)
            if stock.leased_out + target != stock.requested_stock:
                self.mark_changed(name, stock)

    def _need(self, now: int, name: str) -> QuotaNeed:
        stock = self.stocks[name]
        stock.requested_stock = stock.leased_out + stock.target(now, self._settings)
        carried = stock.carried if self.number == UNKNOWN_SESSION and now < self._carry_until else 0
        return QuotaNeed(name, stock.credit.used, stock.credit.returned, stock.requested_stock, carried)

    def receive(self, now: int, sender: Peer, grant: QuotaGrant) -> None:
        """Apply a grant. Grants of another owner, another term or an earlier session are ignored."""
        if self.owner is None or sender != self.owner.peer or grant.term != self.owner.term:
            return
        if grant.session != self.number and not self._adopt(grant.session):
            return
        newest = is_newest(grant.number, self._acknowledged)
        if newest:
            self._acknowledged = grant.number
            self._stamp = grant.stamp
        self._take_credits(grant, newest)
        self._record_answered(grant.sequence)
        sent = self._sent.get(grant.sequence)
        if sent is not None and grant.valid_ms:
            self._extend(now, sent + min(grant.valid_ms, self._settings.quota_lease_ms) * US_PER_MS)
        for stock in self.stocks.values():
            stock.below_requested = stock.credit.unused < stock.requested_stock

    def _adopt(self, number: int) -> bool:
        """Switch to the session `number`. Returns False if the number belongs to an older session or is invalid."""
        if number < self.number or number >= FIRST_SESSION_LIMIT + LATE_WINDOW:
            return False
        if self.number != UNKNOWN_SESSION and number > self.number + LATE_WINDOW:
            return False
        if self.open:
            self._end_session()
        replaces_session = self.number != UNKNOWN_SESSION
        self._reset(number)
        if replaces_session:
            self._mark_all_changed()
            self._urgent = True
        for stock in self.stocks.values():
            stock.carried = 0
        return True

    def _take_credits(self, grant: QuotaGrant, newest: bool) -> None:
        for credit in grant.credits:
            stock = self.stocks.get(credit.team)
            if stock is None:
                continue
            if credit.granted - stock.credit.granted <= self._settings.depth(max(stock.quota, stock.configured)):
                stock.credit.take(credit.granted)
            if newest:
                if credit.rate < stock.quota:
                    self._urgent, self._next_trim = True, 0  # return the credit above the lower target at once
                stock.quota = credit.rate
                stock.known = credit.known
            if not stock.served:
                self._settle_unserved(credit.team, stock)

    def _record_answered(self, sequence: int) -> None:
        if self._answered < sequence <= self._sequence:
            self._answered = sequence
            self._pending = {name: None for name in self._pending if self.stocks[name].changed > sequence}

    def _extend(self, now: int, end: int) -> None:
        self.end = max(self.end, end)
        if not self.open and now < self.end:
            self._begin_session()

    def give_back(self, now: int) -> list[SendMessage]:
        """Return to the owner all credit that no dispatcher has leased, because the process shuts down."""
        if self.owner is None or not self.open:
            return []
        for stock in self.stocks.values():
            stock.credit.give_back(max(0, stock.available))
        usages = tuple(Usage(name, stock.credit.used, stock.credit.returned) for name, stock in self.stocks.items())
        message = QuotaReturn(self.shard, self.owner.term, self.number, usages)
        return [SendMessage(self.owner.peer.name, message)]
