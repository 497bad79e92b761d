"""A controller's view of the other controllers: which are alive, and which owns each shard.

The view serves only to find owners and to time claims. The voters ensure that no two controllers own a shard at the
same time. Times are microseconds.
"""

from __future__ import annotations

from typing import NamedTuple

from badgerroad.fleet.messages import Claim, Holding, OwnerAnnouncement
from badgerroad.fleet.rules.actions import Peer
from badgerroad.fleet.settings import US_PER_MS, FleetSettings

# Terms above this value are ignored as invalid. The lowest 20 bits of a term are random (`TERM_BITS` in ownership.py),
# so this is the lowest term of election number 2**23 of a shard; no installation reaches that many elections.
MAX_TERM = 1 << 43
ALIVE_PERIODS = 3  # renewal periods for which a controller counts as alive after its last announcement


class Owner(NamedTuple):
    """The owner of a shard in one term."""

    peer: Peer
    term: int


class OwnerRecord(NamedTuple):
    """An owner, and the time until which this information is valid."""

    owner: Owner
    until: int


class Presence(NamedTuple):
    """The announcements of a controller: its incarnation, and when their uninterrupted series began and last grew."""

    incarnation: int
    alive_since: int
    last_seen: int


class View:
    """Collects announcements and the tables of voters."""

    def __init__(self, settings: FleetSettings) -> None:
        """Start without any information."""
        self._settings = settings
        self._alive_for = ALIVE_PERIODS * settings.renew_ms * US_PER_MS
        self._presences: dict[str, Presence] = {}
        self._announced: dict[int, OwnerRecord] = {}
        self._tables: dict[str, dict[int, OwnerRecord]] = {}
        self._table_times: dict[str, int] = {}
        self.highest_terms: dict[int, int] = {}

    def alive(self, now: int, name: str, at_least: int = 0) -> bool:
        """Whether `name` sent announcements recently, and without interruption for at least `at_least` microseconds."""
        presence = self._presences.get(name)
        if presence is None or now - presence.last_seen > self._alive_for:
            return False
        return now - presence.alive_since >= at_least

    def owner_of(self, now: int, shard: int) -> Owner | None:
        """Return the owner by majority of the voters' tables or by announcement, whichever has the higher term."""
        announced = self._announced.get(shard)
        if announced is not None and announced.until <= now:
            announced = None
        elected = self._elected(now, shard)
        if announced is None or (elected is not None and elected.term > announced.owner.term):
            return elected
        return announced.owner

    def informed(self, now: int) -> bool:
        """Whether recent tables of a majority of voters have been received."""
        fresh = [time for time in self._table_times.values() if now - time <= self._alive_for]
        return len(fresh) >= self._settings.majority

    def receive_announcement(self, now: int, sender: Peer, announcement: OwnerAnnouncement) -> None:
        """Record the shards that a controller owns, and that it is alive."""
        if announcement.leaving:
            self._presences.pop(sender.name, None)
        else:
            self._record_presence(now, sender)
        claims = {claim.shard: claim.term for claim in announcement.claims}
        for shard in [shard for shard, record in self._announced.items() if record.owner.peer == sender]:
            if shard not in claims:
                self.forget(Owner(sender, self._announced[shard].owner.term), shard)
        until = now + self._settings.ownership_lease_ms * US_PER_MS
        for shard, term in claims.items():
            self._announce(shard, OwnerRecord(Owner(sender, term), until), now)

    def receive_table(self, now: int, voter: str, table: tuple[Holding, ...]) -> None:
        """Replace the recorded table of a voter."""
        self._table_times[voter] = now
        records: dict[int, OwnerRecord] = {}
        for holding in table:
            self.record_term(holding.shard, holding.term)
            if holding.holder and holding.left_ms and holding.term <= MAX_TERM:
                owner = Owner(Peer(holding.holder, holding.incarnation), holding.term)
                left_ms = min(holding.left_ms, self._settings.longer(self._settings.ownership_lease_ms))
                records[holding.shard] = OwnerRecord(owner, now + left_ms * US_PER_MS)
        self._tables[voter] = records

    def record_term(self, shard: int, term: int) -> None:
        """Record a term of a shard. Terms above MAX_TERM are ignored."""
        if shard < self._settings.shards and term <= MAX_TERM:
            self.highest_terms[shard] = max(self.highest_terms.get(shard, 0), term)

    def record_own(self, now: int, self_peer: Peer, claim: Claim, end: int) -> None:
        """Record an ownership of this controller."""
        self._announced[claim.shard] = OwnerRecord(Owner(self_peer, claim.term), end)
        self.record_term(claim.shard, claim.term)

    def forget(self, owner: Owner, shard: int) -> None:
        """Record that `owner` no longer owns the shard in its term."""
        for records in (self._announced, *self._tables.values()):
            record = records.get(shard)
            if record is not None and record.owner == owner:
                del records[shard]

    def _record_presence(self, now: int, sender: Peer) -> None:
        presence = self._presences.get(sender.name)
        if presence is not None and presence.incarnation > sender.incarnation and self.alive(now, sender.name):
            return
        unbroken = self.alive(now, sender.name) and presence is not None and presence.incarnation == sender.incarnation
        since = presence.alive_since if unbroken and presence is not None else now
        self._presences[sender.name] = Presence(sender.incarnation, since, now)

    def _announce(self, shard: int, record: OwnerRecord, now: int) -> None:
        if record.owner.term > MAX_TERM:
            return
        self.record_term(shard, record.owner.term)
        known = self._announced.get(shard)
        if known is None or known.until <= now or known.owner.term <= record.owner.term:
            self._announced[shard] = record

    def _elected(self, now: int, shard: int) -> Owner | None:
        counts: dict[Owner, int] = {}
        for records in self._tables.values():
            record = records.get(shard)
            if record is not None and record.until > now:
                counts[record.owner] = counts.get(record.owner, 0) + 1
                if counts[record.owner] >= self._settings.majority:
                    return record.owner
        return None
