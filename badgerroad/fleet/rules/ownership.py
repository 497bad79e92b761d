"""A candidate: acquires, renews and releases the ownership of shards.

An ownership lease starts when the candidate sends its vote request, by the candidate's own clock, and is checked at
each use. Times are microseconds.
"""

from __future__ import annotations

from typing import NamedTuple

from badgerroad.fleet.messages import Claim, OwnerAnnouncement, VoteRelease, VoteReply, VoteRequest
from badgerroad.fleet.rules.actions import Peer, Randomness, SendMessage
from badgerroad.fleet.rules.order import shard_order
from badgerroad.fleet.rules.view import Owner, View
from badgerroad.fleet.settings import US_PER_MS, FleetSettings

RANK_DELAY_US = 300_000  # delay of a claim per live controller that is preferred for the shard
BACKOFF_RANGE_US = (100_000, 500_000)  # minimum and maximum backoff after a lost election
ALIVE_BEFORE_HANDOVER_US = 10_000_000  # time for which a preferred owner must have been alive before a handover
HANDOVER_PAUSE_US = 2_000_000  # time for which a former owner does not claim a shard that it released
HANDOVER_INTERVAL_US = 60_000_000  # minimum time between two handovers of the same shard
TERM_BITS = 20  # number of random low bits in a term
MAX_REMEMBERED_ROUNDS = 16  # number of latest vote rounds whose replies are still counted
STALL_US = 1_000_000  # after a longer gap between ticks this process was stalled and may have missed announcements


class Ownership:
    """This process's ownership of one shard.

    `end`: end of the ownership lease. `closing`: time of the planned release, or None. Both are by this process's
    clock.
    """

    __slots__ = ("term", "start", "end", "closing")

    def __init__(self, term: int, start: int, end: int) -> None:
        """Start an ownership without a planned release."""
        self.term = term
        self.start = start
        self.end = end
        self.closing: int | None = None

    @property
    def valid_until(self) -> int:
        """The end of the lease or the planned release, whichever is earlier."""
        return self.end if self.closing is None else min(self.end, self.closing)


class VoteRound:
    """A VoteRequest sent to all voters, and the voters that granted each shard."""

    __slots__ = ("sent", "terms", "granted", "replied")

    def __init__(self, sent: int, terms: dict[int, int]) -> None:
        """Start a round that was sent at `sent`, with the requested term of each shard."""
        self.sent = sent
        self.terms = terms
        self.granted: dict[int, set[str]] = {shard: set() for shard in terms}
        self.replied: set[str] = set()


class Candidacy(NamedTuple):
    """A claim to a shard whose election is still open.

    `sequence`: the number of the VoteRequest with the claim. `since`: the time at which that request was sent.
    """

    term: int
    sequence: int
    since: int


class Candidate:
    """Stands for election as owner of shards.

    `won` and `lost` count elections; `dropped` counts ownerships that expired without a planned release.
    """

    def __init__(self, settings: FleetSettings, self_peer: Peer, view: View, now: int, random: Randomness) -> None:
        """Start at `now` without ownerships. `random` is seeded by the caller."""
        self._settings = settings
        self._self_peer = self_peer
        self._view = view
        self._random = random
        self._lease = settings.ownership_lease_ms * US_PER_MS
        self._orders = [shard_order(settings, shard) for shard in range(settings.shards)]
        self._owned: dict[int, Ownership] = {}
        self._candidacies: dict[int, Candidacy] = {}
        self._rounds: dict[int, VoteRound] = {}
        self._sequence = 0
        self._vacant_since: dict[int, int] = {}
        self._no_claim_before: dict[int, int] = {}
        self._handed_over: dict[int, int] = {}
        self._claim_after = now + settings.longer(self._lease) + settings.claim_ms * US_PER_MS
        self._next_renewal = now
        self._last_tick = now
        self.leaving = False
        self.won = 0
        self.lost = 0
        self.dropped = 0

    def owns(self, now: int, shard: int) -> bool:
        """Whether this process owns the shard. The end of the lease is checked at each use."""
        ownership = self._owned.get(shard)
        return ownership is not None and now < ownership.valid_until

    def ownership(self, now: int, shard: int) -> Ownership | None:
        """Return the ownership of the shard; None if this process does not own it."""
        return self._owned.get(shard) if self.owns(now, shard) else None

    def owned(self, now: int) -> dict[int, Ownership]:
        """Return all valid ownerships by shard."""
        return {shard: ownership for shard, ownership in self._owned.items() if self.owns(now, shard)}

    @property
    def owns_any(self) -> bool:
        """Whether this process owns a shard or has yet to send the release of a shard."""
        return bool(self._owned)

    def expire(self, now: int) -> None:
        """Drop ownerships that have ended. Call before anything else is done at `now`."""
        for shard in [shard for shard in self._owned if not self.owns(now, shard)]:
            ownership = self._owned[shard]
            if ownership.closing is None or now >= ownership.end:
                self._drop(shard)
                self.dropped += 1

    def tick(self, now: int) -> list[SendMessage]:
        """Release, renew, hand over and claim the shards for which that is due. Returns the messages to send."""
        self.expire(now)
        if now - self._last_tick > STALL_US:
            self._claim_after = max(self._claim_after, now + 2 * self._settings.renew_ms * US_PER_MS)
        self._last_tick = now
        actions = self._finish_closing(now)
        actions += self._abandon_timed_out_candidacies(now)
        if now >= self._next_renewal:
            self._next_renewal = now + self._settings.renew_ms * US_PER_MS
            actions += self._renew(now)
            self._hand_over(now)
        return actions + self._claim_vacant(now)

    def receive_reply(self, now: int, sender: Peer, reply: VoteReply) -> list[SendMessage]:
        """Count a voter's reply. Replies from other peers or to old rounds grant nothing."""
        self.expire(now)
        if sender.name not in self._settings.voters:
            return []
        self._view.receive_table(now, sender.name, reply.table)
        vote_round = self._rounds.get(reply.sequence)
        if vote_round is None or now >= vote_round.sent + self._lease:
            return []
        vote_round.replied.add(sender.name)
        for shard in reply.granted:
            if shard in vote_round.granted:
                vote_round.granted[shard].add(sender.name)
        return self._count(now, reply.sequence, vote_round)

    def close(self, now: int, shard: int) -> None:
        """Plan the release of the shard.

        The shard stays owned until all quota leases have ended and credit from the previous term can no longer be
        carried over.
        """
        ownership = self._owned.get(shard)
        if ownership is not None and ownership.closing is None:
            quota_leases = now + self._settings.longer(self._settings.quota_lease_ms * US_PER_MS)
            carried = ownership.start + self._settings.longer(self._lease)
            ownership.closing = max(quota_leases, carried)

    def leave(self, now: int) -> None:
        """Release all shards and claim no more, because the process shuts down."""
        self.leaving = True
        for shard in list(self._owned):
            self.close(now, shard)

    def _count(self, now: int, sequence: int, vote_round: VoteRound) -> list[SendMessage]:
        actions: list[SendMessage] = []
        end = vote_round.sent + self._lease
        for shard, voters in vote_round.granted.items():
            ownership = self._owned.get(shard)
            candidacy = self._candidacies.get(shard)
            if ownership is not None and ownership.term == vote_round.terms[shard]:
                if len(voters) >= self._settings.majority:
                    ownership.end = max(ownership.end, end)
                    self._view.record_own(now, self._self_peer, Claim(shard, ownership.term), ownership.end)
            elif candidacy is not None and candidacy.sequence == sequence:
                if len(voters) >= self._settings.majority:
                    actions += self._win(now, shard, candidacy.term, end)
                elif len(vote_round.replied) - len(voters) > len(self._settings.voters) - self._settings.majority:
                    actions += self._lose(now, shard)
        return actions

    def _win(self, now: int, shard: int, term: int, end: int) -> list[SendMessage]:
        self.won += 1
        del self._candidacies[shard]
        self._vacant_since.pop(shard, None)
        self._owned[shard] = Ownership(term, now, end)
        self._view.record_own(now, self._self_peer, Claim(shard, term), end)
        return self._announce(now)

    def _lose(self, now: int, shard: int) -> list[SendMessage]:
        self.lost += 1
        candidacy = self._candidacies.pop(shard)
        self._no_claim_before[shard] = now + self._random.randint(*BACKOFF_RANGE_US)
        return self._to_voters(VoteRelease((Claim(shard, candidacy.term),)))

    def _abandon_timed_out_candidacies(self, now: int) -> list[SendMessage]:
        timeout_us = self._settings.claim_ms * US_PER_MS
        actions: list[SendMessage] = []
        for shard, candidacy in list(self._candidacies.items()):
            if now - candidacy.since >= timeout_us:
                actions += self._lose(now, shard)
        return actions

    def _drop(self, shard: int) -> None:
        ownership = self._owned.pop(shard)
        self._view.forget(Owner(self._self_peer, ownership.term), shard)

    def _finish_closing(self, now: int) -> list[SendMessage]:
        done = [shard for shard in self._owned if not self.owns(now, shard)]
        if not done:
            return []
        claims = tuple(Claim(shard, self._owned[shard].term) for shard in done)
        for shard in done:
            self._drop(shard)
            self._no_claim_before[shard] = now + HANDOVER_PAUSE_US
        return self._to_voters(VoteRelease(claims)) + self._announce(now)

    def _renew(self, now: int) -> list[SendMessage]:
        terms = {shard: ownership.term for shard, ownership in self.owned(now).items()}
        actions = self._request_votes(now, terms)
        return actions if self.leaving else actions + self._announce(now)

    def _hand_over(self, now: int) -> None:
        """Plan the release of shards for which a preferred owner has been alive for long enough."""
        for shard in self._owned:
            if now < self._handed_over.get(shard, now - HANDOVER_INTERVAL_US) + HANDOVER_INTERVAL_US:
                continue
            for name in self._orders[shard]:
                if name == self._self_peer.name:
                    break
                if self._view.alive(now, name, ALIVE_BEFORE_HANDOVER_US):
                    self._handed_over[shard] = now
                    self.close(now, shard)
                    break

    def _claim_vacant(self, now: int) -> list[SendMessage]:
        due = [shard for shard in range(self._settings.shards) if self._should_claim(now, shard)]
        if not due:
            return []
        terms = {shard: self._next_term(shard) for shard in due}
        actions = self._request_votes(now, terms)
        for shard, term in terms.items():
            self._view.record_term(shard, term)
            self._candidacies[shard] = Candidacy(term, self._sequence, now)
        return actions

    def _should_claim(self, now: int, shard: int) -> bool:
        if shard in self._owned or shard in self._candidacies:
            return False
        if self._view.owner_of(now, shard) is not None:
            self._vacant_since.pop(shard, None)
            return False
        since = max(self._vacant_since.setdefault(shard, now), self._claim_after)
        if self.leaving or now < since or now < self._no_claim_before.get(shard, 0):
            return False
        return self._view.informed(now) and now >= since + self._rank(now, shard) * RANK_DELAY_US

    def _next_term(self, shard: int) -> int:
        """Return a term above all known terms of the shard, with random low bits.

        The random bits keep terms unique even if all voters and candidates restarted and lost the previous terms.
        """
        count = (self._view.highest_terms.get(shard, 0) >> TERM_BITS) + 1
        return (count << TERM_BITS) | self._random.getrandbits(TERM_BITS)

    def _rank(self, now: int, shard: int) -> int:
        """Return how many live controllers precede this one in the preference order of the shard."""
        order = self._orders[shard]
        return sum(self._view.alive(now, name) for name in order[: order.index(self._self_peer.name)])

    def _request_votes(self, now: int, terms: dict[int, int]) -> list[SendMessage]:
        self._sequence += 1
        self._rounds[self._sequence] = VoteRound(now, terms)
        for sequence in [sequence for sequence in self._rounds if sequence <= self._sequence - MAX_REMEMBERED_ROUNDS]:
            del self._rounds[sequence]
        claims = tuple(Claim(shard, term) for shard, term in terms.items())
        return self._to_voters(VoteRequest(self._sequence, claims, self._settings.ownership_lease_ms))

    def _announce(self, now: int) -> list[SendMessage]:
        claims = tuple(Claim(shard, ownership.term) for shard, ownership in self.owned(now).items())
        announcement = OwnerAnnouncement(claims, self.leaving)
        return [SendMessage(name, announcement) for name in self._settings.names if name != self._self_peer.name]

    def _to_voters(self, message: VoteRequest | VoteRelease) -> list[SendMessage]:
        return [SendMessage(name, message) for name in self._settings.voters]
