"""Weighted draws from lists that rarely change. No decisions: the draws are those of `random.choices` with weights."""

from __future__ import annotations

from itertools import accumulate
from random import Random
from typing import List, Protocol, Sequence, Tuple, TypeVar


class Sized(Protocol):
    @property
    def size(self) -> float: ...


S = TypeVar("S", bound=Sized)


class Odds:
    """Keeps the running sums of the last two lists drawn from: summing a list of 1,000 for each draw took more time
    than all else in the module. A list must be replaced, never changed, when its members' sizes are."""

    def __init__(self) -> None:
        self._kept: List[Tuple[Sequence[object], List[float]]] = []

    def draw(self, random: Random, pool: Sequence[S], count: int) -> List[S]:
        """`count` members, with replacement, in proportion to their size; none from an empty list."""
        if not pool:
            return []
        for kept, sums in self._kept:
            if kept is pool:
                break
        else:
            sums = list(accumulate(member.size for member in pool))
            self._kept = [(pool, sums), *self._kept[:1]]
        return random.choices(pool, cum_weights=sums, k=count)
