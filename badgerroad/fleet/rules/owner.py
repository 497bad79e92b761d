"""The owner of a shard: one token bucket per team and one session per zone controller.

All state belongs to one term of ownership and is dropped at its end. The caller checks that the term is still valid at
`now`. Times are microseconds of the owner's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping

from badgerroad.fleet.messages import NotOwner, QuotaCredit, QuotaGrant, QuotaNeed, QuotaRequest, QuotaReturn
from badgerroad.fleet.rules.actions import Peer, SendMessage
from badgerroad.fleet.rules.bucket import MICRO_PER_REQUEST, Bucket
from badgerroad.fleet.rules.credits import GrantorCredit, is_newest
from badgerroad.fleet.rules.reserve import Lending
from badgerroad.fleet.rules.sharing import FairShares
from badgerroad.fleet.settings import US_PER_MS, FleetSettings

SHARING_INTERVAL_US = 100_000  # minimum time between two distributions of scarce credit

REFRESH_INTERVAL_US = 10_000_000  # interval at which each zone is sent all its credit again, even if acknowledged


class Account:
    """The credit of one team in one session.

    `wanted`: the stock that the zone requested. `changed`: number of the first grant that carries the current state.
    `carried`: whether credit of the previous term was already accepted.
    """

    __slots__ = ("credit", "wanted", "changed", "carried")

    def __init__(self) -> None:
        """Start without credit and without demand."""
        self.credit = GrantorCredit()
        self.wanted = 0
        self.changed = 0
        self.carried = False

    @property
    def shortfall(self) -> int:
        """The number of requests that the zone wants beyond its outstanding credit."""
        return max(0, self.wanted - self.credit.outstanding)


class Session:
    """The session of one zone controller in this term.

    `end`: end of the quota lease by the owner's clock. Afterwards the session's credit is suspended, and dropped once
    the zone can no longer carry it over. `grants`: number of the last grant. `acknowledged`: number of the last grant
    that the zone confirmed.
    """

    __slots__ = ("peer", "number", "sequence", "end", "suspended", "grants", "acknowledged", "refresh_at", "accounts")

    def __init__(self, peer: Peer, number: int) -> None:
        """Open a session for `peer` with the session number `number`."""
        self.peer = peer
        self.number = number
        self.sequence = 0
        self.end = 0
        self.suspended = False
        self.grants = 0
        self.acknowledged = 0
        self.refresh_at = 0
        self.accounts: dict[str, Account] = {}


class Team:
    """The quota of one team, with its bucket.

    `refilled`: the value of `Lending.refilled` up to which the bucket was refilled. `waiting`: sessions whose
    outstanding credit is below what they want.
    """

    __slots__ = ("quota", "known", "bucket", "refilled", "waiting", "shares")

    def __init__(self, bucket: Bucket, refilled: float) -> None:
        """Start with `bucket`. `refilled`: the current value of `Lending.refilled`, which later refills count from."""
        self.quota = 0.0
        self.known = True
        self.bucket = bucket
        self.refilled = refilled
        self.waiting: dict[Peer, Session] = {}
        self.shares: FairShares[Peer] = FairShares()


class ShardOwner:
    """Grants the quotas of one shard to zone controllers during one term of ownership."""

    def __init__(
        self, settings: FleetSettings, shard: int, term: int, quotas: Mapping[str, float], now: int, first_session: int
    ) -> None:
        """Start the term at `now` with the quotas of this shard in requests per second.

        `first_session`: the session number to count up from. It is random, so that session numbers do not recur when
        voters that restarted without their state grant the same term number again.
        """
        self._settings = settings
        self.shard = shard
        self.term = term
        self.start = now
        self.lending = Lending(settings, now)
        self.sessions: dict[Peer, Session] = {}
        self._next_session = first_session
        self.teams: dict[str, Team] = {}
        self._scarce_teams: dict[str, None] = {}  # teams with waiting sessions, a set in insertion order
        self._carry_until = now + settings.longer(settings.carry_ms * US_PER_MS)
        self._carrying = True
        self._next_sharing = now
        self._remaining_distributed = False
        for name, quota in quotas.items():
            self._add_team(name, quota, carrying=True)

    @property
    def session_count(self) -> int:
        """The number of sessions, including suspended ones."""
        return len(self.sessions)

    def total_granted(self) -> int:
        """Return the requests granted in all known sessions, for log lines."""
        return sum(
            account.credit.granted for session in self.sessions.values() for account in session.accounts.values()
        )

    def set_quotas(self, now: int, quotas: Mapping[str, float]) -> None:
        """Replace the quotas (requests per second). Only teams of this shard may be given."""
        self.lending.advance(now)
        for name in [name for name in self.teams if name not in quotas]:
            self._change_quota(name, 0.0, known=False)
        for name, quota in quotas.items():
            if name not in self.teams:
                self._add_team(name, quota, carrying=False)
            elif self.teams[name].quota != quota or not self.teams[name].known:
                self._change_quota(name, quota, known=True)

    def request(self, now: int, sender: Peer, request: QuotaRequest, remaining: int) -> SendMessage:
        """Answer a quota request. `remaining`: microseconds left of the ownership."""
        if request.term != self.term:
            return SendMessage(sender.name, NotOwner(request.shard, request.term))
        self.lending.advance(now)
        session = self._session(now, sender)
        if request.session in (0, session.number):
            self._apply(now, session, request)
        valid_ms = self._valid_ms(remaining)
        session.end = max(session.end, now + self._settings.longer(valid_ms * US_PER_MS))
        return self._grant(now, session, valid_ms)

    def receive_return(self, now: int, sender: Peer, message: QuotaReturn) -> None:
        """Apply the final totals of used and returned requests of a zone controller that shuts down."""
        session = self.sessions.get(sender)
        if session is None or message.term != self.term or message.session != session.number:
            return
        self.lending.advance(now)
        if session.suspended or self._forgotten(now, session):
            return
        for usage in message.usages:
            account = session.accounts.get(usage.team)
            if account is not None:
                account.wanted = 0
                self._report(session, usage.team, account, usage.used, usage.returned)

    def tick(self, now: int) -> list[SendMessage]:
        """Distribute refilled credit to the sessions that wait for credit. Returns the grants to send."""
        self.lending.advance(now)
        self._end_sessions(now)
        if self._carrying and now >= self._carry_until:
            self._carrying = False
            for team in self.teams.values():
                team.bucket.end_carry_over()
        if now < self._next_sharing:
            return []
        self._next_sharing = now + SHARING_INTERVAL_US
        changed: dict[Peer, Session] = {}
        for name in list(self._scarce_teams):
            changed |= self._distribute(now, name)
        return [self._grant(now, session, 0) for session in changed.values()]

    def distribute_remaining(self, now: int, leaving: Peer | None) -> list[SendMessage]:
        """Grant the buckets' remaining credit to the zones before a planned release, in equal parts.

        The zones get more than they want; they carry the credit over to the next owner and return it there. `leaving`:
        a zone controller that shuts down and therefore gets no credit.
        """
        self.lending.advance(now)
        live = [session for session in self.sessions.values() if now < session.end and not session.suspended]
        live = [session for session in live if session.peer != leaving]
        if self._remaining_distributed or not live:
            return []
        self._remaining_distributed = True
        for name in self.teams:
            self._distribute_team(name, [session for session in live if name in session.accounts])
        return [self._grant(now, session, 0) for session in live]

    def _distribute_team(self, name: str, sessions: list[Session]) -> None:
        team = self._refresh(name)
        if not sessions or not team.known:
            return
        each, rest = divmod(team.bucket.level // MICRO_PER_REQUEST, len(sessions))
        for number, session in enumerate(sessions):
            count = each + (number < rest)
            if count:
                self._grant_credit(session, name, session.accounts[name], count)

    def _valid_ms(self, remaining: int) -> int:
        """Return the duration of a quota lease in milliseconds. `remaining`: microseconds left of the ownership.

        No quota lease outlasts the ownership, so that none is still valid when the next owner starts.
        """
        return min(self._settings.quota_lease_ms, self._settings.shorter(remaining // US_PER_MS))

    # Sessions

    def _session(self, now: int, peer: Peer) -> Session:
        session = self.sessions.get(peer)
        if session is not None and self._forgotten(now, session):
            self._forget(session)
            session = None
        if session is None:
            session = self.sessions[peer] = Session(peer, self._next_session)
            self._next_session += 1
        elif now >= session.end:
            self._suspend(session)
        if session.suspended:
            self._revive(session)
        return session

    def _end_sessions(self, now: int) -> None:
        for session in list(self.sessions.values()):
            if now >= session.end and not session.suspended:
                self._suspend(session)
            if self._forgotten(now, session):
                self._forget(session)

    def _forgotten(self, now: int, session: Session) -> bool:
        """Whether the session ended so long ago that its zone can no longer carry credit over to the next owner."""
        return now >= session.end + self._settings.longer(self._settings.carry_ms * US_PER_MS)

    def _suspend(self, session: Session) -> None:
        if session.suspended:
            return
        session.suspended = True
        for name, account in session.accounts.items():
            self._refresh(name).bucket.suspend(account.credit.outstanding * MICRO_PER_REQUEST)
            self.teams[name].waiting.pop(session.peer, None)

    def _revive(self, session: Session) -> None:
        session.suspended = False
        for name, account in session.accounts.items():
            self._refresh(name).bucket.revive(account.credit.outstanding * MICRO_PER_REQUEST)

    def _forget(self, session: Session) -> None:
        self._suspend(session)
        for name, account in session.accounts.items():
            self._refresh(name).bucket.forget(account.credit.outstanding * MICRO_PER_REQUEST)
        del self.sessions[session.peer]

    # Requests

    def _apply(self, now: int, session: Session, request: QuotaRequest) -> None:
        newest = is_newest(request.sequence, session.sequence)
        if newest:
            session.sequence = request.sequence
            session.acknowledged = min(request.acknowledged, session.grants)
        if now >= session.refresh_at:
            session.refresh_at = now + REFRESH_INTERVAL_US
            session.acknowledged = 0
        if request.lending:
            self.lending.lend(now, session.peer.name, request.stamp, self.start)
        opening = request.session == 0
        for need in request.needs:
            self._apply_need(now, session, need, newest, opening)

    def _apply_need(self, now: int, session: Session, need: QuotaNeed, newest: bool, opening: bool) -> None:
        account = session.accounts.get(need.team)
        if account is None:
            account = session.accounts[need.team] = Account()
            account.changed = session.grants + 1
        if need.team not in self.teams:
            self._add_team(need.team, 0.0, carrying=False, known=False)
        if opening and self._may_carry(account):
            account.carried = True
            self._carry(session, need.team, account, need.carried)
        self._report(session, need.team, account, need.used, need.returned)
        if newest:
            account.wanted = need.wanted
        self._update_waiting(session, need.team, account)
        if account.shortfall:
            self._grant_at_once(now, session, need.team, account)

    def _may_carry(self, account: Account) -> bool:
        """Whether credit of the previous term may be accepted, which is allowed once per team and session."""
        return not account.carried

    def _carry(self, session: Session, name: str, account: Account, count: int) -> None:
        accepted = self._refresh(name).bucket.carry(count)
        if accepted:
            account.credit.grant(accepted)
            account.changed = session.grants + 1

    def _report(self, session: Session, name: str, account: Account, used: int, returned: int) -> None:
        bucket = self._refresh(name).bucket
        progress = account.credit.report(used, returned)
        bucket.spend(progress.used * MICRO_PER_REQUEST)
        bucket.put_back(progress.returned * MICRO_PER_REQUEST)
        self._update_waiting(session, name, account)

    def _update_waiting(self, session: Session, name: str, account: Account) -> None:
        team = self.teams[name]
        if account.shortfall and team.known and not session.suspended:
            team.waiting[session.peer] = session
            self._scarce_teams[name] = None
        else:
            team.waiting.pop(session.peer, None)

    def _grant_at_once(self, now: int, session: Session, name: str, account: Account) -> None:
        """Grant the shortfall if the bucket covers all waiting sessions; otherwise the next tick shares its credit."""
        team = self._refresh(name)
        needed = sum(waiting.accounts[name].shortfall for waiting in team.waiting.values())
        if session.peer in team.waiting and needed * MICRO_PER_REQUEST <= team.bucket.level:
            self._grant_credit(session, name, account, account.shortfall)
            self._update_waiting(session, name, account)

    def _distribute(self, now: int, name: str) -> dict[Peer, Session]:
        """Share the available credit of one team among its waiting sessions. Returns the sessions that got credit."""
        team = self._refresh(name)
        needs = {
            peer: session.accounts[name].shortfall
            for peer, session in team.waiting.items()
            if now < session.end and not session.suspended
        }
        available = team.bucket.level // MICRO_PER_REQUEST
        if not needs:
            team.waiting.clear()
            self._scarce_teams.pop(name, None)
        if not needs or not available:
            return {}
        served = {}
        for peer, count in team.shares.share(available, needs).items():
            session = team.waiting[peer]
            if count:
                self._grant_credit(session, name, session.accounts[name], count)
                served[peer] = session
            self._update_waiting(session, name, session.accounts[name])
        return served

    def _grant_credit(self, session: Session, name: str, account: Account, count: int) -> None:
        self.teams[name].bucket.grant(count * MICRO_PER_REQUEST)
        account.credit.grant(count)
        account.changed = session.grants + 1

    def _grant(self, now: int, session: Session, valid_ms: int) -> SendMessage:
        session.grants += 1
        changed = tuple(
            self._credit(name, account)
            for name, account in session.accounts.items()
            if account.changed > session.acknowledged
        )
        grant = QuotaGrant(
            self.shard, self.term, session.number, session.sequence, session.grants, now, valid_ms, changed
        )
        return SendMessage(session.peer.name, grant)

    def _credit(self, name: str, account: Account) -> QuotaCredit:
        team = self.teams[name]
        return QuotaCredit(name, account.credit.granted, team.quota, team.known)

    # Teams

    def _depth(self, quota: float) -> int:
        return int(self._settings.depth(quota) * MICRO_PER_REQUEST)

    def _add_team(self, name: str, quota: float, carrying: bool, known: bool = True) -> None:
        depth = self._depth(quota)
        team = Team(Bucket(depth, depth if carrying else 0), self.lending.refilled)
        team.quota = quota
        team.known = known
        self.teams[name] = team

    def _change_quota(self, name: str, quota: float, known: bool) -> None:
        team = self._refresh(name)
        if team.quota == quota and team.known == known:
            return
        team.quota = quota
        team.known = known
        team.bucket.set_depth(self._depth(quota))
        for session in self.sessions.values():
            account = session.accounts.get(name)
            if account is not None:
                account.changed = session.grants + 1
                self._update_waiting(session, name, account)

    def _refresh(self, name: str) -> Team:
        """Refill the team's bucket for the time up to the last call of `self.lending.advance`; return the team."""
        team = self.teams[name]
        refilled = self.lending.refilled
        if refilled > team.refilled:
            team.bucket.refill(int(team.quota * (refilled - team.refilled)))
            team.refilled = refilled
        return team
