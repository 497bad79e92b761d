"""Read-only access to the internal state of a controller's rules, kept in one module."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from badgerroad.fleet.rules.bucket import MICRO_PER_REQUEST
from badgerroad.fleet.rules.controller import ControllerRules


class BucketState(NamedTuple):
    """State of an owner's bucket of one team, in requests.

    `out`: outstanding or suspended. `total`: the level, `out`, and what may be carried over from an earlier term.
    """

    team: str
    total: float
    out: float
    depth: float


def owned(rules: ControllerRules, now: int) -> dict[int, tuple[int, int]]:
    """Return shard -> (term, end of the ownership by the controller's own clock)."""
    return {shard: (ownership.term, ownership.valid_until) for shard, ownership in rules.candidate.owned(now).items()}


def buckets(rules: ControllerRules, shards: Iterable[int]) -> Iterator[BucketState]:
    """Yield the buckets of all teams of those `shards` that the controller owns."""
    for shard in shards:
        if shard in rules.owners:
            for name, team in rules.owners[shard].teams.items():
                bucket = team.bucket
                out = bucket.outstanding + bucket.suspended
                yield BucketState(
                    name, bucket.total / MICRO_PER_REQUEST, out / MICRO_PER_REQUEST, bucket.depth / MICRO_PER_REQUEST
                )


def lending(rules: ControllerRules, owned_until: dict[int, int]) -> Iterator[tuple[int, str, int]]:
    """Yield (shard, zone controller, local time until which this owner mints that zone's reserve) per owned shard."""
    for shard, end in owned_until.items():
        if shard in rules.owners:
            for name, until in rules.owners[shard].lending.lent_until.items():
                yield shard, name, min(until, end)


def reserve_starts(rules: ControllerRules) -> Iterator[tuple[int, int]]:
    """Yield (shard, local time from which this zone's own reserve accrues)."""
    for shard in rules.zone.shards:
        yield shard.shard, shard.reserve.usable_from


def used_reserve(rules: ControllerRules) -> bool:
    """Return whether this zone has granted leases from its own reserve."""
    return rules.zone.from_reserve > 0


def session_end(rules: ControllerRules, shard: int) -> int | None:
    """Return the local time at which this zone's session with the shard's owner ends; None without an open session."""
    session = rules.zone.shards[shard]
    return session.end if session.open else None
