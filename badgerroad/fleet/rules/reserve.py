"""The reserve: the share of each quota that a zone may use while it cannot reach an owner.

While a zone reaches the owner, it lends its share to the owner for a limited time. Owner and zone never mint (create
credit from) the same share at the same time: the owner counts the lending from a reading of its own clock that is older
than the zone's message, and the zone counts it from when it sent the message, longer by the clock margin.
"""

from __future__ import annotations

from badgerroad.fleet.rules.bucket import MICRO_PER_REQUEST
from badgerroad.fleet.settings import US_PER_MS, FleetSettings


class Lending:
    """The owner's side of the lending: until when the owner may mint each zone's share, and the resulting refill.

    `refilled`: microseconds for which the full quota would have been minted since the start of the term.
    """

    def __init__(self, settings: FleetSettings, now: int) -> None:
        """Start a term at `now` with no share lent."""
        self._settings = settings
        self._advanced = now
        self.lent_until: dict[str, int] = {}
        self.refilled = 0.0

    def advance(self, now: int) -> None:
        """Add to `refilled` the time since the last call, times the share of each quota that the owner may mint."""
        if now <= self._advanced:
            return
        lent = sum(max(0, min(now, until) - self._advanced) for until in self.lent_until.values())
        self.refilled += (now - self._advanced) * self._own_share() + lent * self._zone_share()
        self._advanced = now

    def lend(self, now: int, zone_controller: str, stamp: int, start: int) -> None:
        """Record that a zone lends its share until `stamp` + lending_ms.

        A stamp that was not issued in this term is ignored.
        """
        if start <= stamp <= now:
            until = stamp + self._settings.lending_ms * US_PER_MS
            self.lent_until[zone_controller] = max(self.lent_until.get(zone_controller, 0), until)

    def _own_share(self) -> float:
        """Return the share of each quota outside the reserve."""
        return 1.0 - self._settings.reserve_share

    def _zone_share(self) -> float:
        return zone_share(self._settings)


class Reserve:
    """The zone's side of the lending, for one shard.

    `usable_from`: the time from which the zone may use its reserve, by the zone's clock.
    """

    def __init__(self, settings: FleetSettings, now: int) -> None:
        """Start at `now` with the reserve counted as lent, because an earlier incarnation may have lent it."""
        self._settings = settings
        self.usable_from = 0
        self._leased_until = 0
        self.lend(now)

    def lend(self, now: int) -> None:
        """Record that a message that lends the reserve is sent at `now`."""
        lent = self._settings.lending_ms * US_PER_MS
        self.usable_from = max(self.usable_from, now + int(lent * (1 + 2 * self._settings.clock_margin)) + 1)

    def may_lend(self, now: int) -> bool:
        """Whether all leases from the reserve have ended."""
        return now >= self._leased_until

    def usable(self, now: int) -> bool:
        """Whether the zone may grant leases from its reserve."""
        return now >= self.usable_from

    def lease(self, until: int) -> None:
        """Record a lease from the reserve that ends at `until`."""
        self._leased_until = max(self._leased_until, until)


class ReserveStock:
    """The reserve of one team.

    It accrues from 0 once the zone may use its reserve, up to one second's worth of the rate and at least one request.
    """

    __slots__ = ("_level", "_since")

    def __init__(self, now: int) -> None:
        """Start empty and accrue from `now`."""
        self._level = 0.0
        self._since = now

    def available(self, now: int, rate: float) -> int:
        """Return the whole requests available. `rate`: requests per second."""
        depth = max(1.0, rate) * MICRO_PER_REQUEST
        self._level = min(depth, self._level + rate * max(0, now - self._since))
        self._since = max(self._since, now)
        return int(self._level // MICRO_PER_REQUEST)

    def take(self, count: int) -> None:
        """Take `count` requests out of the reserve."""
        self._level -= count * MICRO_PER_REQUEST

    def put_back(self, count: int) -> None:
        """Return `count` unused requests to the reserve."""
        self._level += count * MICRO_PER_REQUEST


def zone_share(settings: FleetSettings) -> float:
    """Return the share of each quota that is one zone's reserve."""
    return settings.reserve_share / len(settings.zones)
