"""Deliberately broken rules that check the oracle: it must report a violation for each of them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from badgerroad.fleet.messages import VoteRelease
from badgerroad.fleet.rules.actions import Peer
from badgerroad.fleet.rules.credits import GrantorCredit, HolderCredit, Progress
from badgerroad.fleet.rules.owner import ShardOwner
from badgerroad.fleet.rules.ownership import Candidate
from badgerroad.fleet.rules.reserve import Lending, Reserve
from badgerroad.fleet.rules.team_leases import DispatcherLease
from badgerroad.fleet.rules.view import View
from badgerroad.fleet.rules.voter import Voter
from tests.fleet.simulation.directed import DIRECTED
from tests.fleet.simulation.run import run_schedule
from tests.fleet.simulation.schedule import draw_schedule
from tests.fleet.simulation.violations import Kind

FOREVER = 1 << 60
MAX_SEEDS = 60
"""Number of seeds within which the oracle must detect a broken rule."""


@dataclass(frozen=True)
class Patch:
    """Replacement of one method of a class."""

    owner: type
    attribute: str
    replacement: Callable[..., Any]


@dataclass(frozen=True)
class BrokenRule:
    """One broken rule.

    `kinds`: the violations of which the oracle must report at least one. `directed`: name of a directed schedule, for
    rules that random faults seldom show to be broken; empty for random schedules.
    """

    name: str
    patches: tuple[Patch, ...]
    kinds: frozenset[Kind]
    directed: str = ""

    @contextmanager
    def broken(self) -> Iterator[None]:
        """Apply the patches for the duration of the context."""
        with _patched(self.patches):
            yield

    def find(self) -> Find | None:
        """Run seeds with the rule broken until the oracle detects it; return None if `MAX_SEEDS` seeds do not."""
        with self.broken():
            for seed in range(MAX_SEEDS):
                schedule = DIRECTED[self.directed](seed) if self.directed else draw_schedule(seed)
                found = self.kinds & set(run_schedule(schedule).findings.first)
                if found:
                    return Find(self, seed, frozenset(found))
        return None


@dataclass(frozen=True)
class Find:
    """The seed and violations by which the oracle detected a broken rule."""

    rule: BrokenRule
    seed: int
    kinds: frozenset[Kind]

    def __str__(self) -> str:
        kinds = ", ".join(sorted(kind.value for kind in self.kinds))
        where = f'the directed schedule "{self.rule.directed}"' if self.rule.directed else "random faults"
        return f"| {self.rule.name} | {where}, seed {self.seed} | {kinds} |"


@contextmanager
def _patched(patches: tuple[Patch, ...]) -> Iterator[None]:
    if not patches:
        yield
        return
    first = patches[0]
    with mock.patch.object(first.owner, first.attribute, first.replacement), _patched(patches[1:]):
        yield


def _always(*_: Any) -> bool:
    return True


def _never(*_: Any) -> bool:
    return False


def _ignore(*_: Any) -> None:
    return None


def _release_any_term(self: Voter, candidate: Peer, release: VoteRelease) -> None:
    for claim in release.claims:
        grant = self._grants.get(claim.shard)
        if grant is not None and grant.holder == candidate:
            grant.holder = None


def _lend_without_end(self: Lending, now: int, zone_controller: str, stamp: int, start: int) -> None:
    if start <= stamp <= now:
        self.lent_until[zone_controller] = FOREVER


def _reserve_at_once(self: Reserve, now: int) -> None:
    self.usable_from = max(self.usable_from, now)


def _full_lease(self: ShardOwner, left: int) -> int:
    return self._settings.quota_lease_ms


def _owns_without_end(self: Candidate, now: int, shard: int) -> bool:
    ownership = self._owned.get(shard)
    return ownership is not None and ownership.closing is None


def _add_granted(self: HolderCredit, granted: int) -> int:
    self.granted += granted
    return granted


def _add_reported(self: GrantorCredit, used: int, returned: int) -> Progress:
    outstanding = self.outstanding
    self.used += used
    self.returned += returned
    return Progress(min(used, outstanding), min(returned, max(0, outstanding - used)))


OWNERSHIP = frozenset({Kind.TWO_OWNERS, Kind.TERM_SHARED})
QUOTA = frozenset({Kind.OVER_QUOTA})

BROKEN_RULES = (
    BrokenRule(
        "a voter doesn't compare the terms of votes, nor candidates those that they hear",
        (Patch(Voter, "_term_allowed", _always), Patch(View, "record_term", _ignore)),
        OWNERSHIP | {Kind.TERM_BACK},
    ),
    BrokenRule(
        "a voter doesn't compare the terms of releases",
        (Patch(Voter, "release", _release_any_term),),
        OWNERSHIP,
        "late release",
    ),
    BrokenRule(
        "a voter votes at once after its start", (Patch(Voter, "_abstaining", _never),), OWNERSHIP, "voters forget"
    ),
    BrokenRule(
        "a woken owner keeps granting",
        (Patch(Candidate, "owns", _owns_without_end),),
        OWNERSHIP | QUOTA | {Kind.GRANT_WITHOUT_OWNERSHIP},
    ),
    BrokenRule(
        "a dispatcher uses a lease after its end",
        (Patch(DispatcherLease, "runs", _always),),
        frozenset({Kind.ENDED_LEASE, Kind.OVER_QUOTA}),
    ),
    BrokenRule("the reserve isn't set aside", (Patch(Lending, "_own_share", lambda self: 1.0),), QUOTA),
    BrokenRule("lending doesn't end", (Patch(Lending, "lend", _lend_without_end),), QUOTA | {Kind.RESERVE_TWICE}),
    BrokenRule(
        "a zone uses its reserve while it is lent",
        (Patch(Reserve, "lend", _reserve_at_once),),
        QUOTA | {Kind.RESERVE_TWICE},
    ),
    BrokenRule(
        "a quota lease outlives the ownership lease",
        (Patch(ShardOwner, "_valid_ms", _full_lease),),
        QUOTA | {Kind.LEASE_OUTLIVES},
    ),
    BrokenRule("carry-over is taken twice", (Patch(ShardOwner, "_may_carry", _always),), QUOTA, "carried twice"),
    BrokenRule(
        "the holder adds cumulative counters",
        (Patch(HolderCredit, "take", _add_granted),),
        QUOTA | {Kind.MORE_THAN_GRANTED},
    ),
    BrokenRule(
        "the granting end adds cumulative counters",
        (Patch(GrantorCredit, "report", _add_reported),),
        QUOTA | {Kind.MORE_THAN_GRANTED, Kind.BUCKET, Kind.CRASH},
    ),
)
