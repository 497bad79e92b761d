"""Performance targets of the fleet, and their evaluation against results. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from .results import Aim, Result

OVER_AT_HALF = 0.01
USE_AT_DOUBLE = 0.95
DISPATCHER_CPU = 0.015  # largest CPU use of a dispatcher, as a share of one core
DISPATCHER_BYTES_S = 4000
DISPATCHER_MIB = 128
OWNER_DEATH_S = 10.0
QUOTA_CHANGE_S = 15.0


class Limit(NamedTuple):
    """One target of a scenario. `figure` formats a result's measured value; `reached` checks it against the target."""

    scenario: str
    name: str
    aim: str
    figure: Callable[[Result], str]
    reached: Callable[[Result], bool]


def recovered(result: Result, place: int, limit: float) -> bool:
    seconds = result.recoveries[place].seconds
    return seconds is not None and seconds <= limit


def recovery_figure(result: Result, place: int) -> str:
    seconds = result.recoveries[place].seconds
    return "not before the end" if seconds is None else f"{seconds:.2f} s"


LIMITS = (
    Limit(
        "half",
        "called over at half the quota, even traffic",
        "at most 1%",
        lambda r: f"{r.over_share:.2%}",
        lambda r: r.over_share <= OVER_AT_HALF,
    ),
    Limit(
        "half-tenth",
        "called over at half the quota, at a tenth of the dispatchers",
        "at most 1%",
        lambda r: f"{r.over_share:.2%}",
        lambda r: r.over_share <= OVER_AT_HALF,
    ),
    Limit(
        "double",
        "used at twice the quota",
        "at least 95%",
        lambda r: f"{r.use_share:.2%}",
        lambda r: r.use_share >= USE_AT_DOUBLE,
    ),
    Limit(
        "half",
        "a dispatcher's CPU",
        "at most 1.5% of a core",
        lambda r: f"{r.dispatcher.cpu_share:.2%}",
        lambda r: r.dispatcher.cpu_share <= DISPATCHER_CPU,
    ),
    Limit(
        "half",
        "a dispatcher's bytes, in and out",
        "at most 4,000 a second",
        lambda r: f"{r.dispatcher.bytes_s:,.0f}",
        lambda r: r.dispatcher.bytes_s <= DISPATCHER_BYTES_S,
    ),
    Limit(
        "double",
        "a dispatcher's bytes at twice the quota",
        "at most 4,000 a second",
        lambda r: f"{r.dispatcher.bytes_s:,.0f}",
        lambda r: r.dispatcher.bytes_s <= DISPATCHER_BYTES_S,
    ),
    Limit(
        "half",
        "a dispatcher's memory (the part for the fleet)",
        "at most 128 MiB",
        lambda r: f"{r.dispatcher.resident_mib:.2f} MiB",
        lambda r: r.dispatcher.resident_mib <= DISPATCHER_MIB,
    ),
    Limit(
        "owner-killed",
        "full use of an owner's teams after its death",
        "within 10 s",
        lambda r: recovery_figure(r, 0),
        lambda r: recovered(r, 0, OWNER_DEATH_S),
    ),
    Limit(
        "quotas-changed",
        "a lower quota in force",
        "within 15 s",
        lambda r: recovery_figure(r, 0),
        lambda r: recovered(r, 0, QUOTA_CHANGE_S),
    ),
    Limit(
        "quotas-changed",
        "a higher quota in force",
        "within 15 s",
        lambda r: recovery_figure(r, 1),
        lambda r: recovered(r, 1, QUOTA_CHANGE_S),
    ),
)


def judged(results: Iterable[Result]) -> list[Aim]:
    """Evaluate every target against the results of one number of dispatchers and one topology."""
    by_name = {result.scenario: result for result in results}
    aims = []
    for limit in LIMITS:
        result = by_name.get(limit.scenario)
        if result is None:
            aims.append(Aim(limit.name, limit.aim, "not run", None))
        else:
            aims.append(Aim(limit.name, limit.aim, limit.figure(result), limit.reached(result)))
    broken = [result.scenario for result in by_name.values() if result.bound_broken]
    figure = f"broken in {', '.join(broken)}" if broken else f"held in {len(by_name)} runs"
    aims.append(Aim("never more than the quota and the bucket", "every scenario", figure, not broken))
    return aims
