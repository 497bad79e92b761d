"""Oracle that checks quotas from the recorded decisions and their times alone, without state of the fleet. No I/O.

Times are of CLOCK_MONOTONIC, which all processes of one machine share. The bound is that of a leaky bucket: in any
window of T seconds a team has at most depth + quota * T requests within its quota, where
depth = requests_per_zone * zones + burst_s * quota + the reserves held by partitioned zones.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Sequence
from typing import NamedTuple

WORST_WINDOW_S = 10.0
USE_WINDOW_S = 2.0
USE_STEP_S = 0.25
FULL_USE = 0.95


class Decision(NamedTuple):
    """Decision on one request. `at`: seconds of the shared clock; `over`: whether it was marked over quota."""

    at: float
    team: int
    over: bool


class RateChange(NamedTuple):
    """Change of a team's quota to `rate` requests per second at the time `at`."""

    at: float
    rate: float


class Overshoot(NamedTuple):
    """Maximum, over all windows, of the requests within quota beyond quota * length, and the depth allowed for it."""

    team: int
    requests: float
    depth: float

    @property
    def beyond(self) -> float:
        """Requests beyond the bound; negative if the bound held."""
        return self.requests - self.depth


def overshoot(times: Iterable[float], changes: Sequence[RateChange]) -> float:
    """Return the maximum, over all windows, of the requests in the window minus the quota for its length.

    `times` and `changes` are ascending; the first rate also applies before its time.
    """
    level = worst = 0.0
    before: float | None = None
    for at in times:
        if before is not None:
            level = max(0.0, level - allowance(before, at, changes))
        level += 1
        worst = max(worst, level)
        before = at
    return worst


def allowance(start: float, end: float, changes: Sequence[RateChange]) -> float:
    """Return the requests that a quota with changing rate allows from `start` to `end`, in seconds."""
    total = 0.0
    for index, change in enumerate(changes):
        begins = start if index == 0 else max(start, change.at)
        ends = end if index + 1 == len(changes) else min(end, changes[index + 1].at)
        total += max(0.0, ends - begins) * change.rate
    return total


def times_within(decisions: Iterable[Decision], teams: int) -> list[list[float]]:
    """Return for each team the ascending times of its requests within quota."""
    times: list[list[float]] = [[] for _ in range(teams)]
    for decision in decisions:
        if not decision.over:
            times[decision.team].append(decision.at)
    for column in times:
        column.sort()
    return times


def worst_overshoot(
    times: Sequence[Sequence[float]], changes: Sequence[Sequence[RateChange]], depths: Sequence[float]
) -> Overshoot:
    """Return the overshoot of the team that exceeded its bound most or came closest to it."""
    found = [
        Overshoot(team, overshoot(column, changes[team]), depths[team]) for team, column in enumerate(times) if column
    ]
    return max(found, key=lambda one: one.beyond, default=Overshoot(0, 0.0, depths[0]))


def over_share(decisions: Sequence[Decision], start: float, end: float) -> float:
    """Return the share of requests from `start` to `end` that were marked over quota."""
    window = [decision for decision in decisions if start <= decision.at < end]
    return sum(decision.over for decision in window) / len(window) if window else 0.0


def use(ordered: Sequence[float], start: float, end: float, quota: float) -> float:
    """Return the share of `quota` (requests per second) used from `start` to `end`.

    `ordered`: ascending times of requests within quota.
    """
    count = bisect_left(ordered, end) - bisect_left(ordered, start)
    return count / ((end - start) * quota)


def worst_use(ordered: Sequence[float], start: float, end: float, quota: float) -> tuple[float, float]:
    """Return the lowest and the highest use in any window of WORST_WINDOW_S between `start` and `end`."""
    length = min(WORST_WINDOW_S, end - start)
    steps = int((end - start - length) / USE_STEP_S) + 1
    found = [use(ordered, start + n * USE_STEP_S, start + n * USE_STEP_S + length, quota) for n in range(steps)]
    return min(found), max(found)


def time_to_full_use(ordered: Sequence[float], fault: float, end: float, target: float) -> float | None:
    """Return the seconds from `fault` until use recovers; None if it does not recover before `end`.

    Use has recovered at the start of the first window of USE_WINDOW_S in which at least FULL_USE of `target` requests
    per second is used, if the average from there to `end` is as high. `ordered`: ascending times of requests within quota.
    """
    steps = int((end - fault - USE_WINDOW_S) / USE_STEP_S) + 1
    for step in range(steps):
        start = fault + step * USE_STEP_S
        used = min(use(ordered, start, start + USE_WINDOW_S, target), use(ordered, start, end, target))
        if used >= FULL_USE:
            return step * USE_STEP_S
    return None


def time_to_use_at_most(ordered: Sequence[float], change: float, end: float, target: float) -> float | None:
    """Return the seconds from `change` until at most `target` requests per second are used; None if not before `end`.

    This is the first window of USE_WINDOW_S in which, and from whose start to `end`, use is no higher than that.
    """
    steps = int((end - change - USE_WINDOW_S) / USE_STEP_S) + 1
    for step in range(steps):
        start = change + step * USE_STEP_S
        if max(use(ordered, start, start + USE_WINDOW_S, target), use(ordered, start, end, target)) <= 1:
            return step * USE_STEP_S
    return None


def least_use(ordered: Sequence[float], start: float, end: float, quota: float) -> float:
    """Return the lowest use in any window of USE_WINDOW_S between `start` and `end`; 0.0 if none fits."""
    steps = int((end - start - USE_WINDOW_S) / USE_STEP_S) + 1
    starts = (start + step * USE_STEP_S for step in range(steps))
    return min((use(ordered, begin, begin + USE_WINDOW_S, quota) for begin in starts), default=0.0)
