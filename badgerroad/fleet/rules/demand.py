"""The demand of a team, and the stock that follows from it."""

from __future__ import annotations

from math import exp, inf, sqrt

from badgerroad.fleet.settings import FleetSettings

AVERAGING_PERIOD_US = 3_000_000  # time over which demand is averaged
COVER_S = 0.5  # seconds of demand that a stock covers
STOCK_SHARE = 0.8  # part of a bucket's depth that may be in the stocks of zones
ROUNDING = 0.7  # added before fractions of a request are cut off


class Demand:
    """An exponentially weighted rate."""

    __slots__ = ("_rate", "_updated_at")

    def __init__(self, now: int) -> None:
        """Start at rate 0 at `now` (microseconds)."""
        self._rate = 0.0
        self._updated_at = now

    def add(self, now: int, count: int, max_rate: float = inf) -> None:
        """Add `count` requests at `now`.

        `max_rate`: cap of the rate in requests per second, so that a flood is soon forgotten.
        """
        self._rate = min(max_rate, self.rate(now) + count * 1_000_000 / AVERAGING_PERIOD_US)
        self._updated_at = max(self._updated_at, now)

    def rate(self, now: int) -> float:
        """The rate in requests per second."""
        return self._rate * exp(-max(0, now - self._updated_at) / AVERAGING_PERIOD_US) if self._rate else 0.0


def target_stock(rate: float, quota: float, settings: FleetSettings) -> int:
    """Whole requests that a zone should have in stock: at least one, more by recent demand.

    The demand is taken to be at least what a team at half its quota has in each zone. The stocks of all zones together
    fit in STOCK_SHARE of the owner's bucket. Rates are requests per second.
    """
    zones = len(settings.controllers)
    expected = min(max(rate, quota / zones / 2), quota) * COVER_S
    zone_part = max(1 / zones, min(1.0, rate / quota))
    upper_bound = int(settings.depth(quota) * STOCK_SHARE * zone_part)
    return max(1, min(upper_bound, 1 + int(expected + 2 * sqrt(expected) + ROUNDING)))
