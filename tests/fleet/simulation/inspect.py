"""The one place that reads the state inside a controller's rules; it changes nothing."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from badgerroad.fleet.rules.bucket import MICRO_PER_REQUEST
from badgerroad.fleet.rules.controller import ControllerRules


class BucketState(NamedTuple):
    """An owner's bucket of one team, in requests. `total`: its level and all that is out or may come back."""

    team: str
    total: float
    out: float
    depth: float


def owned(rules: ControllerRules, now: int) -> dict[int, tuple[int, int]]:
    """Shard -> (term, end of its ownership by the controller's own clock)."""
    return {shard: (ownership.term, ownership.valid_until) for shard, ownership in rules.candidate.owned(now).items()}


def buckets(rules: ControllerRules, shards: Iterable[int]) -> Iterator[BucketState]:
    """The buckets of all teams of the shards that it owns."""
    for shard in shards:
        if shard in rules.owners:
            for name, team in rules.owners[shard].teams.items():
                bucket = team.bucket
                out = bucket.outstanding + bucket.suspended
                yield BucketState(
                    name, bucket.total / MICRO_PER_REQUEST, out / MICRO_PER_REQUEST, bucket.depth / MICRO_PER_REQUEST
                )


def lending(rules: ControllerRules, owned_until: dict[int, int]) -> Iterator[tuple[int, str, int]]:
    """(shard, zone controller, own time until which it mints that zone's reserve) of the shards that it owns."""
    for shard, end in owned_until.items():
        if shard in rules.owners:
            for name, until in rules.owners[shard].lending.lent_until.items():
                yield shard, name, min(until, end)


def reserve_starts(rules: ControllerRules) -> Iterator[tuple[int, int]]:
    """(shard, own time from which this zone's own reserve accrues)."""
    for shard in rules.zone.shards:
        yield shard.shard, shard.reserve.usable_from


def used_reserve(rules: ControllerRules) -> bool:
    """Whether this zone has lent out any of its reserve."""
    return rules.zone.from_reserve > 0


def session_end(rules: ControllerRules, shard: int) -> int | None:
    """Own time until which this zone's session with the shard's owner runs; None if it has none now."""
    session = rules.zone.shards[shard]
    return session.end if session.open else None
