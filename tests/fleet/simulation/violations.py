"""Violations reported by the oracle, and their collection."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Kind(Enum):
    """The properties that the oracle checks."""

    TWO_OWNERS = "two owners of a shard at a time"
    TERM_SHARED = "two owners of one term"
    TERM_BACK = "a later owner with a lower term though the voters remember"
    LEASE_OUTLIVES = "a lease that outlives the one that it hangs on"
    GRANT_WITHOUT_OWNERSHIP = "a grant sent without ownership"
    OVER_QUOTA = "let through more than the quota and its bound"
    BUCKET = "level + outstanding above the depth"
    RESERVE_TWICE = "a zone's reserve in use while the owner mints it"
    ENDED_LEASE = "let through on a lease after its end"
    MORE_THAN_GRANTED = "let through more than was granted"
    LATE_DECISION = "decided too late or never"
    WRONG_DECISION = "decided twice, or unknown"
    NO_OWNER = "a shard without owner long after the last fault"
    OVER_AT_HALF = "called over at half the quota long after the last fault"
    CRASH = "the rules raised an exception"


@dataclass(frozen=True)
class Violation:
    """One violation. `at`: true time in microseconds; `step`: number of the world's step."""

    kind: Kind
    at: int
    step: int
    text: str

    def __str__(self) -> str:
        return f"{self.at / 1e6:.6f} s, step {self.step}: {self.kind.value}: {self.text}"


@dataclass
class Findings:
    """The violations of a run: all are counted, and the first of each kind is kept."""

    first: dict[Kind, Violation] = field(default_factory=dict)
    counts: dict[Kind, int] = field(default_factory=dict)

    def add(self, violation: Violation) -> None:
        """Record a violation."""
        self.first.setdefault(violation.kind, violation)
        self.counts[violation.kind] = self.counts.get(violation.kind, 0) + 1

    def __bool__(self) -> bool:
        return bool(self.first)
