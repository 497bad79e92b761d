"""Shares scarce requests in proportion to need, so that nobody starves."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class FairShares(Generic[Key]):
    """Remembers from one distribution to the next what each key is entitled to and has not received.

    Entitlements are in requests, fractions included; a negative one was served in advance.
    """

    def __init__(self) -> None:
        """Start without entitlements."""
        self._entitlements: dict[Key, float] = {}

    def share(self, available: int, needs: Mapping[Key, int]) -> dict[Key, int]:
        """Whole requests for each, at most its need, together at most `available`.

        Entitlements left over last as long as the need does.
        """
        total = sum(needs.values())
        if total <= available:
            self._entitlements.clear()
            return dict(needs)
        for key in [key for key in self._entitlements if key not in needs]:
            del self._entitlements[key]
        shares: dict[Key, int] = {}
        for key, need in needs.items():
            entitlement = self._entitlements.get(key, 0.0) + available * need / total
            shares[key] = min(need, max(0, int(entitlement)))
            self._entitlements[key] = entitlement - shares[key]
        self._take_back(shares, sum(shares.values()) - available)
        self._distribute_rest(shares, needs, available - sum(shares.values()))
        return shares

    def _distribute_rest(self, shares: dict[Key, int], needs: Mapping[Key, int], rest: int) -> None:
        """Give what rounding left, one each, to the largest entitlements."""
        if rest <= 0:
            return
        for key in sorted(needs, key=lambda key: -self._entitlements[key]):
            if rest and shares[key] < needs[key]:
                shares[key] += 1
                self._entitlements[key] -= 1.0
                rest -= 1

    def _take_back(self, shares: dict[Key, int], excess: int) -> None:
        """Reduce the shares by `excess`: old entitlements may add up to more than is available."""
        for key in sorted(shares, key=lambda key: self._entitlements[key]):
            taken = min(max(0, excess), shares[key])
            shares[key] -= taken
            self._entitlements[key] += taken
            excess -= taken
