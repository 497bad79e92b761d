"""Scarce whole requests, shared in proportion to need without starving anybody."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)


class FairShares(dict[Key, float]):
    """What each has a claim to that it hasn't got yet, in parts of a request; kept from one sharing to the next."""

    def share(self, available: int, needs: Mapping[Key, int]) -> dict[Key, int]:
        """Whole requests for each, at most its need, together at most `available`.

        Claims left over last as long as the need does.
        """
        total = sum(needs.values())
        if total <= available:
            self.clear()
            return dict(needs)
        for key in [key for key in self if key not in needs]:
            del self[key]
        shares: dict[Key, int] = {}
        for key, need in needs.items():
            claim = self.get(key, 0.0) + available * need / total
            shares[key] = min(need, max(0, int(claim)))
            self[key] = claim - shares[key]
        self._take_back(shares, sum(shares.values()) - available)
        self._hand_out_rest(shares, needs, available - sum(shares.values()))
        return shares

    def _hand_out_rest(self, shares: dict[Key, int], needs: Mapping[Key, int], rest: int) -> None:
        """What rounding left, one each to the largest claims."""
        if rest <= 0:
            return
        for key in sorted(needs, key=lambda key: -self[key]):
            if rest and shares[key] < needs[key]:
                shares[key] += 1
                self[key] -= 1.0
                rest -= 1

    def _take_back(self, shares: dict[Key, int], excess: int) -> None:
        """Old claims may add up to more than there is now."""
        for key in sorted(shares, key=lambda key: self[key]):
            taken = min(max(0, excess), shares[key])
            shares[key] -= taken
            self[key] += taken
            excess -= taken
