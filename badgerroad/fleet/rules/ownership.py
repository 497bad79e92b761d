"""A candidate: gets, keeps and gives up the ownership of shards. Every lease is counted from before it was asked for,
by the candidate's own clock, and checked at each use."""

from __future__ import annotations

from typing import NamedTuple

from badgerroad.fleet.messages import Claim, OwnerAnnouncement, VoteRelease, VoteReply, VoteRequest
from badgerroad.fleet.rules.actions import Peer, Randomness, SendMessage
from badgerroad.fleet.rules.order import shard_order
from badgerroad.fleet.rules.view import Owner, View
from badgerroad.fleet.settings import MICROSECONDS, FleetSettings

RANK_DELAY = 300_000  # microseconds that each later in the order waits longer
BACK_OFF = (100_000, 500_000)  # microseconds, least and most, after a lost election
ALIVE_BEFORE_HANDOVER = 10_000_000  # microseconds that a better owner must have been alive
HANDOVER_PAUSE = 2_000_000  # microseconds for which one that has given a shard up leaves it to others
HANDOVER_AGAIN = 60_000_000  # microseconds after which the same shard may be handed over again, if it came back
TERM_BITS = 20  # of a term are random
ROUNDS_KEPT = 16
STALL = 1_000_000  # microseconds without a tick after which nothing is concluded from silence


class Ownership:
    """A shard owned. `end` and `closing` (when it is given up gracefully) by this process's clock."""

    __slots__ = ("term", "start", "end", "closing")

    def __init__(self, term: int, start: int, end: int) -> None:
        self.term = term
        self.start = start
        self.end = end
        self.closing: int | None = None

    @property
    def last(self) -> int:
        return self.end if self.closing is None else min(self.end, self.closing)


class VoteRound:
    """One VoteRequest to all voters, and who has granted what."""

    __slots__ = ("sent", "terms", "granted", "replied")

    def __init__(self, sent: int, terms: dict[int, int]) -> None:
        self.sent = sent
        self.terms = terms
        self.granted: dict[int, set[str]] = {shard: set() for shard in terms}
        self.replied: set[str] = set()


class Candidacy(NamedTuple):
    """A claim that isn't decided yet."""

    term: int
    sequence: int
    since: int


class Candidate:
    """`won` and `lost` count elections, `dropped` ownerships that ended without being given up."""

    def __init__(self, settings: FleetSettings, me: Peer, view: View, now: int, random: Randomness) -> None:
        self._settings = settings
        self._me = me
        self._view = view
        self._random = random
        self._lease = settings.ownership_lease_ms * MICROSECONDS
        self._orders = [shard_order(settings, shard) for shard in range(settings.shards)]
        self._owned: dict[int, Ownership] = {}
        self._standing: dict[int, Candidacy] = {}
        self._rounds: dict[int, VoteRound] = {}
        self._sequence = 0
        self._vacant_since: dict[int, int] = {}
        self._not_before: dict[int, int] = {}
        self._handed_over: dict[int, int] = {}
        self._stand_after = now + settings.longer(self._lease) + settings.claim_ms * MICROSECONDS
        self._next_renewal = now
        self._last_tick = now
        self.leaving = False
        self.won = self.lost = self.dropped = 0

    def owns(self, now: int, shard: int) -> bool:
        """The lease's end is checked at each use."""
        ownership = self._owned.get(shard)
        return ownership is not None and now < ownership.last

    def ownership(self, now: int, shard: int) -> Ownership | None:
        return self._owned.get(shard) if self.owns(now, shard) else None

    def owned(self, now: int) -> dict[int, Ownership]:
        return {shard: ownership for shard, ownership in self._owned.items() if self.owns(now, shard)}

    @property
    def owns_any(self) -> bool:
        """Owns a shard, or one that isn't given up yet."""
        return bool(self._owned)

    def expire(self, now: int) -> None:
        """Drops what has run out. To be called before anything else is done at `now`."""
        for shard in [shard for shard in self._owned if not self.owns(now, shard)]:
            ownership = self._owned[shard]
            if ownership.closing is None or now >= ownership.end:
                self._drop(shard)
                self.dropped += 1

    def tick(self, now: int) -> list[SendMessage]:
        self.expire(now)
        if now - self._last_tick > STALL:
            self._stand_after = max(self._stand_after, now + 2 * self._settings.renew_ms * MICROSECONDS)
        self._last_tick = now
        actions = self._finish_closing(now)
        actions += self._give_up_late(now)
        if now >= self._next_renewal:
            self._next_renewal = now + self._settings.renew_ms * MICROSECONDS
            actions += self._renew(now)
            self._hand_over(now)
        return actions + self._stand(now)

    def receive_reply(self, now: int, sender: Peer, reply: VoteReply) -> list[SendMessage]:
        self.expire(now)
        if sender.name not in self._settings.voters:
            return []
        self._view.receive_table(now, sender.name, reply.table)
        round_ = self._rounds.get(reply.sequence)
        if round_ is None or now >= round_.sent + self._lease:
            return []
        round_.replied.add(sender.name)
        for shard in reply.granted:
            if shard in round_.granted:
                round_.granted[shard].add(sender.name)
        return self._count(now, reply.sequence, round_)

    def close(self, now: int, shard: int) -> None:
        """Begins to give the shard up: it is owned until all quota leases have ended, and until nothing that was
        carried over from the term before can be carried further."""
        ownership = self._owned.get(shard)
        if ownership is not None and ownership.closing is None:
            quota_leases = now + self._settings.longer(self._settings.quota_lease_ms * MICROSECONDS)
            carried = ownership.start + self._settings.longer(self._lease)
            ownership.closing = max(quota_leases, carried)

    def leave(self, now: int) -> None:
        """The process ends: gives up all, and stands no more."""
        self.leaving = True
        for shard in list(self._owned):
            self.close(now, shard)

    def _count(self, now: int, sequence: int, round_: VoteRound) -> list[SendMessage]:
        actions: list[SendMessage] = []
        end = round_.sent + self._lease
        for shard, voters in round_.granted.items():
            ownership = self._owned.get(shard)
            standing = self._standing.get(shard)
            if ownership is not None and ownership.term == round_.terms[shard]:
                if len(voters) >= self._settings.majority:
                    ownership.end = max(ownership.end, end)
                    self._view.record_own(now, self._me, Claim(shard, ownership.term), ownership.end)
            elif standing is not None and standing.sequence == sequence:
                if len(voters) >= self._settings.majority:
                    actions += self._win(now, shard, standing.term, end)
                elif len(round_.replied) - len(voters) > len(self._settings.voters) - self._settings.majority:
                    actions += self._lose(now, shard)
        return actions

    def _win(self, now: int, shard: int, term: int, end: int) -> list[SendMessage]:
        self.won += 1
        del self._standing[shard]
        self._vacant_since.pop(shard, None)
        self._owned[shard] = Ownership(term, now, end)
        self._view.record_own(now, self._me, Claim(shard, term), end)
        return self._announce(now)

    def _lose(self, now: int, shard: int) -> list[SendMessage]:
        self.lost += 1
        standing = self._standing.pop(shard)
        self._not_before[shard] = now + self._random.randint(*BACK_OFF)
        return self._to_voters(VoteRelease((Claim(shard, standing.term),)))

    def _give_up_late(self, now: int) -> list[SendMessage]:
        patience = self._settings.claim_ms * MICROSECONDS
        actions: list[SendMessage] = []
        for shard, standing in list(self._standing.items()):
            if now - standing.since >= patience:
                actions += self._lose(now, shard)
        return actions

    def _drop(self, shard: int) -> None:
        ownership = self._owned.pop(shard)
        self._view.forget(Owner(self._me, ownership.term), shard)

    def _finish_closing(self, now: int) -> list[SendMessage]:
        done = [shard for shard in self._owned if not self.owns(now, shard)]
        if not done:
            return []
        claims = tuple(Claim(shard, self._owned[shard].term) for shard in done)
        for shard in done:
            self._drop(shard)
            self._not_before[shard] = now + HANDOVER_PAUSE
        return self._to_voters(VoteRelease(claims)) + self._announce(now)

    def _renew(self, now: int) -> list[SendMessage]:
        terms = {shard: ownership.term for shard, ownership in self.owned(now).items()}
        actions = self._ask(now, terms)
        return actions if self.leaving else actions + self._announce(now)

    def _hand_over(self, now: int) -> None:
        """Shards that have a better owner among those alive for long enough."""
        for shard in self._owned:
            if now < self._handed_over.get(shard, now - HANDOVER_AGAIN) + HANDOVER_AGAIN:
                continue
            for name in self._orders[shard]:
                if name == self._me.name:
                    break
                if self._view.alive(now, name, ALIVE_BEFORE_HANDOVER):
                    self._handed_over[shard] = now
                    self.close(now, shard)
                    break

    def _stand(self, now: int) -> list[SendMessage]:
        due = [shard for shard in range(self._settings.shards) if self._should_stand(now, shard)]
        if not due:
            return []
        terms = {shard: self._next_term(shard) for shard in due}
        actions = self._ask(now, terms)
        for shard, term in terms.items():
            self._view.record_term(shard, term)
            self._standing[shard] = Candidacy(term, self._sequence, now)
        return actions

    def _should_stand(self, now: int, shard: int) -> bool:
        if shard in self._owned or shard in self._standing:
            return False
        if self._view.owner_of(now, shard) is not None:
            self._vacant_since.pop(shard, None)
            return False
        since = max(self._vacant_since.setdefault(shard, now), self._stand_after)
        if self.leaving or now < since or now < self._not_before.get(shard, 0):
            return False
        return self._view.informed(now) and now >= since + self._rank(now, shard) * RANK_DELAY

    def _next_term(self, shard: int) -> int:
        """Higher than any seen, and with a random part: so none comes twice, though all voters and candidates had
        started anew and forgotten the terms before."""
        count = (self._view.highest_terms.get(shard, 0) >> TERM_BITS) + 1
        return (count << TERM_BITS) | self._random.getrandbits(TERM_BITS)

    def _rank(self, now: int, shard: int) -> int:
        """How many that are alive come before this one."""
        order = self._orders[shard]
        return sum(self._view.alive(now, name) for name in order[: order.index(self._me.name)])

    def _ask(self, now: int, terms: dict[int, int]) -> list[SendMessage]:
        self._sequence += 1
        self._rounds[self._sequence] = VoteRound(now, terms)
        for sequence in [sequence for sequence in self._rounds if sequence <= self._sequence - ROUNDS_KEPT]:
            del self._rounds[sequence]
        claims = tuple(Claim(shard, term) for shard, term in terms.items())
        return self._to_voters(VoteRequest(self._sequence, claims, self._settings.ownership_lease_ms))

    def _announce(self, now: int) -> list[SendMessage]:
        claims = tuple(Claim(shard, ownership.term) for shard, ownership in self.owned(now).items())
        announcement = OwnerAnnouncement(claims, self.leaving)
        return [SendMessage(name, announcement) for name in self._settings.names if name != self._me.name]

    def _to_voters(self, message: VoteRequest | VoteRelease) -> list[SendMessage]:
        return [SendMessage(name, message) for name in self._settings.voters]
