"""The demand of a team, and the stock of leased requests that a zone keeps for it."""

from __future__ import annotations

from math import exp, inf, sqrt

from badgerroad.fleet.settings import FleetSettings

AVERAGING_PERIOD_US = 3_000_000  # time constant of the average of a team's request rate
STOCK_COVER_S = 0.5  # seconds of a team's demand that a zone's stock covers
STOCK_SHARE = 0.8  # share of a bucket's depth that the stocks of all zones may hold
ROUNDING_ALLOWANCE = 0.7  # requests added to a stock before it is rounded down to whole requests


class Demand:
    """An exponentially weighted average of the request rate."""

    __slots__ = ("_rate", "_updated_at")

    def __init__(self, now: int) -> None:
        """Start with rate 0 at `now` (microseconds)."""
        self._rate = 0.0
        self._updated_at = now

    def add(self, now: int, count: int, max_rate: float = inf) -> None:
        """Add `count` requests at `now`.

        `max_rate`: upper bound of the average in requests per second, so that the average falls back quickly after a
        burst.
        """
        self._rate = min(max_rate, self.rate(now) + count * 1_000_000 / AVERAGING_PERIOD_US)
        self._updated_at = max(self._updated_at, now)

    def rate(self, now: int) -> float:
        """Return the average rate in requests per second at `now`."""
        return self._rate * exp(-max(0, now - self._updated_at) / AVERAGING_PERIOD_US) if self._rate else 0.0


def target_stock(rate: float, quota: float, settings: FleetSettings) -> int:
    """Return the number of whole requests that a zone should keep in stock for a team, at least one.

    The stock follows recent demand. This demand is assumed to be at least half the quota spread evenly over all zones.
    The stocks of all zones together fit in STOCK_SHARE of the owner's bucket. Rates are requests per second.
    """
    zones = len(settings.controllers)
    expected = min(max(rate, quota / zones / 2), quota) * STOCK_COVER_S
    zone_part = max(1 / zones, min(1.0, rate / quota))
    upper_bound = int(settings.depth(quota) * STOCK_SHARE * zone_part)
    return max(1, min(upper_bound, 1 + int(expected + 2 * sqrt(expected) + ROUNDING_ALLOWANCE)))
