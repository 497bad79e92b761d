"""A voter: grants each shard to one candidate at a time and keeps its state in memory only."""

from __future__ import annotations

from badgerroad.fleet.messages import Claim, Holding, VoteRelease, VoteReply, VoteRequest
from badgerroad.fleet.rules.actions import Peer
from badgerroad.fleet.rules.view import MAX_TERM
from badgerroad.fleet.settings import US_PER_MS, FleetSettings


class Grant:
    """A voter's state of one shard.

    `term`: the highest term known. `holder`: the last candidate that was granted the shard, None after a release.
    `end`: end of that grant in microseconds.
    """

    __slots__ = ("term", "holder", "end")

    def __init__(self) -> None:
        """Start without a holder."""
        self.term = 0
        self.holder: Peer | None = None
        self.end = 0


class Voter:
    """Grants ownership of shards, each to one candidate at a time.

    A voter has no storage. After a start it therefore denies all votes until every grant of an earlier incarnation has
    ended.
    """

    def __init__(self, settings: FleetSettings, now: int) -> None:
        """Start at `now` (microseconds) without any grants."""
        self._settings = settings
        self._no_votes_until = now + settings.longer(settings.ownership_lease_ms * US_PER_MS)
        self._grants: dict[int, Grant] = {}

    def vote(self, now: int, candidate: Peer, request: VoteRequest) -> VoteReply:
        """Decide on each claim of the request. The reply contains this voter's full table."""
        granted = tuple(
            claim.shard for claim in request.claims if self._vote_on(now, candidate, claim, request.duration_ms)
        )
        return VoteReply(request.sequence, granted, self.table(now))

    def release(self, candidate: Peer, release: VoteRelease) -> None:
        """Free the candidate's grants whose terms match the release exactly."""
        for claim in release.claims:
            grant = self._grants.get(claim.shard)
            if grant is not None and grant.term == claim.term and grant.holder == candidate:
                grant.holder = None

    def table(self, now: int) -> tuple[Holding, ...]:
        """Return the state of each shard known to this voter."""
        return tuple(self._holding(now, shard, grant) for shard, grant in self._grants.items())

    def _vote_on(self, now: int, candidate: Peer, claim: Claim, duration_ms: int) -> bool:
        if claim.shard >= self._settings.shards or duration_ms > self._settings.ownership_lease_ms:
            return False
        grant = self._grants.setdefault(claim.shard, Grant())
        if (
            self._abstaining(now)
            or not self._free(now, grant, candidate)
            or not self._term_allowed(grant, candidate, claim)
        ):
            return False
        grant.term = claim.term
        grant.holder = candidate
        grant.end = now + self._settings.longer(duration_ms * US_PER_MS)
        return True

    def _abstaining(self, now: int) -> bool:
        """Whether grants of an earlier incarnation of this voter may still be valid."""
        return now < self._no_votes_until

    def _free(self, now: int, grant: Grant, candidate: Peer) -> bool:
        return grant.holder is None or grant.holder == candidate or grant.end <= now

    def _term_allowed(self, grant: Grant, candidate: Peer, claim: Claim) -> bool:
        """Whether the term is above the highest known term of the shard, or the holder renews its own term."""
        if claim.term > MAX_TERM:
            return False
        return claim.term > grant.term or (claim.term == grant.term and grant.holder == candidate)

    def _holding(self, now: int, shard: int, grant: Grant) -> Holding:
        if grant.holder is None or grant.end <= now:
            return Holding(shard, grant.term, "", 0, 0)
        left_ms = -(-(grant.end - now) // US_PER_MS)
        return Holding(shard, grant.term, grant.holder.name, grant.holder.incarnation, left_ms)
