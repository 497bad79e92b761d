"""A voter: grants shards to candidates, each to one at a time, from memory alone."""

from __future__ import annotations

from badgerroad.fleet.messages import Claim, Holding, VoteRelease, VoteReply, VoteRequest
from badgerroad.fleet.rules.actions import Peer
from badgerroad.fleet.rules.view import MAX_TERM
from badgerroad.fleet.settings import US_PER_MS, FleetSettings


class Grant:
    """The state of one shard.

    `term`: the highest term seen; `holder`: who has it, or had it last unless released; `end`: microseconds.
    """

    __slots__ = ("term", "holder", "end")

    def __init__(self) -> None:
        """Start without a holder."""
        self.term = 0
        self.holder: Peer | None = None
        self.end = 0


class Voter:
    """Grants ownership of shards, each to one candidate at a time.

    It has no storage: after a start it votes for nobody until all grants of an earlier incarnation have ended.
    """

    def __init__(self, settings: FleetSettings, now: int) -> None:
        """Start at `now` (microseconds) without memory of earlier grants."""
        self._settings = settings
        self._no_votes_until = now + settings.longer(settings.ownership_lease_ms * US_PER_MS)
        self._grants: dict[int, Grant] = {}

    def vote(self, now: int, candidate: Peer, request: VoteRequest) -> VoteReply:
        """Decide on each claim of the request. The reply carries the whole table of this voter."""
        granted = tuple(
            claim.shard for claim in request.claims if self._vote_on(now, candidate, claim, request.duration_ms)
        )
        return VoteReply(request.sequence, granted, self.table(now))

    def release(self, candidate: Peer, release: VoteRelease) -> None:
        """Free the candidate's grants of exactly the named terms."""
        for claim in release.claims:
            grant = self._grants.get(claim.shard)
            if grant is not None and grant.term == claim.term and grant.holder == candidate:
                grant.holder = None

    def table(self, now: int) -> tuple[Holding, ...]:
        """What this voter knows of each shard."""
        return tuple(self._holding(now, shard, grant) for shard, grant in self._grants.items())

    def _vote_on(self, now: int, candidate: Peer, claim: Claim, duration_ms: int) -> bool:
        if claim.shard >= self._settings.shards or duration_ms > self._settings.ownership_lease_ms:
            return False
        grant = self._grants.setdefault(claim.shard, Grant())
        if (
            self._silent(now)
            or not self._free(now, grant, candidate)
            or not self._term_allowed(grant, candidate, claim)
        ):
            return False
        grant.term = claim.term
        grant.holder = candidate
        grant.end = now + self._settings.longer(duration_ms * US_PER_MS)
        return True

    def _silent(self, now: int) -> bool:
        """Whether an earlier incarnation of this voter may have granted leases that still run."""
        return now < self._no_votes_until

    def _free(self, now: int, grant: Grant, candidate: Peer) -> bool:
        return grant.holder is None or grant.holder == candidate or grant.end <= now

    def _term_allowed(self, grant: Grant, candidate: Peer, claim: Claim) -> bool:
        """Whether the term is higher than all seen, or the holder renews its own."""
        if claim.term > MAX_TERM:
            return False
        return claim.term > grant.term or (claim.term == grant.term and grant.holder == candidate)

    def _holding(self, now: int, shard: int, grant: Grant) -> Holding:
        if grant.holder is None or grant.end <= now:
            return Holding(shard, grant.term, "", 0, 0)
        left_ms = -(-(grant.end - now) // US_PER_MS)
        return Holding(shard, grant.term, grant.holder.name, grant.holder.incarnation, left_ms)
