"""Meter of the requests that the whole fleet admits for one team: a leaky bucket in true time."""

from __future__ import annotations

from tests.fleet.simulation.clock import RATE_ERROR, SECOND

SLACK = 1e-6


class QuotaMeter:
    """A leaky bucket that drains at the quota's rate.

    Its level exceeds `depth` if more than depth + rate * T requests were admitted in any window of T seconds. After a
    change of quota the larger rate applies until `settled`, and the largest depth so far applies for the rest of the
    run, because leases granted under the larger quota may be used later.
    """

    def __init__(self, quota: float, depth: float) -> None:
        self.level = 0.0
        self.max_level = 0.0
        self.depth = depth
        self._rate = quota
        self._former_rate = 0.0
        self._settled = 0
        self._last = 0

    def change(self, now: int, quota: float, depth: float, settled: int) -> None:
        """Set a new quota, which every process knows by the time `settled`."""
        self._drain(now)
        self._former_rate = max(self._rate, self._former_rate if now < self._settled else 0.0)
        self._rate = quota
        self._settled = settled
        self.depth = max(self.depth, depth)

    def add(self, now: int) -> float:
        """Record one request admitted within quota; return the level after it, in requests."""
        self._drain(now)
        self.level += 1
        self.max_level = max(self.max_level, self.level)
        return self.level

    def _drain(self, now: int) -> None:
        slow_from = min(max(self._settled, self._last), now)
        fast = max(self._rate, self._former_rate)
        leaked = fast * (slow_from - self._last) + self._rate * (now - slow_from)
        self.level = max(0.0, self.level - leaked / SECOND * (1 + RATE_ERROR))
        self._last = now
