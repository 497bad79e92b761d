"""What a controller knows of the others: which are alive, and who owns which shard.

Only for finding owners and for claiming shards at the right time. That no two controllers own a shard at once is
ensured by the voters. Times are microseconds.
"""

from __future__ import annotations

from typing import NamedTuple

from badgerroad.fleet.messages import Claim, Holding, OwnerAnnouncement
from badgerroad.fleet.rules.actions import Peer
from badgerroad.fleet.settings import US_PER_MS, FleetSettings

MAX_TERM = 1 << 43  # higher terms are impossible: no lifetime has that many elections
ALIVE_PERIODS = 3  # renewal periods after its last announcement in which a controller counts as alive


class Owner(NamedTuple):
    """Who owns a shard, and in which term."""

    peer: Peer
    term: int


class Sighting(NamedTuple):
    """An owner, and until when that information is valid."""

    owner: Owner
    until: int


class Presence(NamedTuple):
    """A controller that sends announcements: its incarnation, since when without a break, and when last."""

    incarnation: int
    since: int
    last: int


class View:
    """Gathers announcements and the tables of voters."""

    def __init__(self, settings: FleetSettings) -> None:
        """Start without any information."""
        self._settings = settings
        self._alive_for = ALIVE_PERIODS * settings.renew_ms * US_PER_MS
        self._presences: dict[str, Presence] = {}
        self._announced: dict[int, Sighting] = {}
        self._tables: dict[str, dict[int, Sighting]] = {}
        self._table_times: dict[str, int] = {}
        self.highest_terms: dict[int, int] = {}

    def alive(self, now: int, name: str, at_least: int = 0) -> bool:
        """Whether announcements of `name` arrived lately, and without a break for `at_least` microseconds."""
        presence = self._presences.get(name)
        if presence is None or now - presence.last > self._alive_for:
            return False
        return now - presence.since >= at_least

    def owner_of(self, now: int, shard: int) -> Owner | None:
        """The owner by a majority of the voters' tables or by an announcement, whichever has the higher term."""
        announced = self._announced.get(shard)
        if announced is not None and announced.until <= now:
            announced = None
        elected = self._elected(now, shard)
        if announced is None or (elected is not None and elected.term > announced.owner.term):
            return elected
        return announced.owner

    def informed(self, now: int) -> bool:
        """Whether the tables of a majority of voters arrived lately."""
        fresh = [time for time in self._table_times.values() if now - time <= self._alive_for]
        return len(fresh) >= self._settings.majority

    def receive_announcement(self, now: int, sender: Peer, announcement: OwnerAnnouncement) -> None:
        """Record which shards a controller owns, and that it is alive."""
        if announcement.leaving:
            self._presences.pop(sender.name, None)
        else:
            self._record_presence(now, sender)
        claims = {claim.shard: claim.term for claim in announcement.claims}
        for shard in [shard for shard, seen in self._announced.items() if seen.owner.peer == sender]:
            if shard not in claims:
                self.forget(Owner(sender, self._announced[shard].owner.term), shard)
        until = now + self._settings.ownership_lease_ms * US_PER_MS
        for shard, term in claims.items():
            self._announce(shard, Sighting(Owner(sender, term), until), now)

    def receive_table(self, now: int, voter: str, table: tuple[Holding, ...]) -> None:
        """Replace what is known of a voter's table."""
        self._table_times[voter] = now
        sightings: dict[int, Sighting] = {}
        for holding in table:
            self.record_term(holding.shard, holding.term)
            if holding.holder and holding.left_ms and holding.term <= MAX_TERM:
                owner = Owner(Peer(holding.holder, holding.incarnation), holding.term)
                left_ms = min(holding.left_ms, self._settings.longer(self._settings.ownership_lease_ms))
                sightings[holding.shard] = Sighting(owner, now + left_ms * US_PER_MS)
        self._tables[voter] = sightings

    def record_term(self, shard: int, term: int) -> None:
        """Record a term of a shard. Impossible terms are ignored."""
        if shard < self._settings.shards and term <= MAX_TERM:
            self.highest_terms[shard] = max(self.highest_terms.get(shard, 0), term)

    def record_own(self, now: int, self_peer: Peer, claim: Claim, end: int) -> None:
        """Record this controller's own ownership."""
        self._announced[claim.shard] = Sighting(Owner(self_peer, claim.term), end)
        self.record_term(claim.shard, claim.term)

    def forget(self, owner: Owner, shard: int) -> None:
        """Record that `owner` no longer owns the shard in its term."""
        for sightings in (self._announced, *self._tables.values()):
            seen = sightings.get(shard)
            if seen is not None and seen.owner == owner:
                del sightings[shard]

    def _record_presence(self, now: int, sender: Peer) -> None:
        presence = self._presences.get(sender.name)
        if presence is not None and presence.incarnation > sender.incarnation and self.alive(now, sender.name):
            return
        unbroken = self.alive(now, sender.name) and presence is not None and presence.incarnation == sender.incarnation
        since = presence.since if unbroken and presence is not None else now
        self._presences[sender.name] = Presence(sender.incarnation, since, now)

    def _announce(self, shard: int, sighting: Sighting, now: int) -> None:
        if sighting.owner.term > MAX_TERM:
            return
        self.record_term(shard, sighting.owner.term)
        known = self._announced.get(shard)
        if known is None or known.until <= now or known.owner.term <= sighting.owner.term:
            self._announced[shard] = sighting

    def _elected(self, now: int, shard: int) -> Owner | None:
        counts: dict[Owner, int] = {}
        for sightings in self._tables.values():
            seen = sightings.get(shard)
            if seen is not None and seen.until > now:
                counts[seen.owner] = counts.get(seen.owner, 0) + 1
                if counts[seen.owner] >= self._settings.majority:
                    return seen.owner
        return None
