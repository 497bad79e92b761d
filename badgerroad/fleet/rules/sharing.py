"""Shares scarce requests in proportion to need, without starving small needs."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class FairShares(Generic[Key]):
    """Divides scarce requests among receivers (keys) and carries unserved entitlements over to the next distribution.

    Entitlements are in requests, including fractions. A negative entitlement means requests served in advance.
    """

    def __init__(self) -> None:
        """Start without entitlements."""
        self._entitlements: dict[Key, float] = {}

    def share(self, available: int, needs: Mapping[Key, int]) -> dict[Key, int]:
        """Return the whole requests for each key: at most its need, and at most `available` in total.

        Entitlements that remain are kept as long as the key has a need.
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
        self._reduce(shares, sum(shares.values()) - available)
        self._distribute_remainder(shares, needs, available - sum(shares.values()))
        return shares

    def _distribute_remainder(self, shares: dict[Key, int], needs: Mapping[Key, int], remainder: int) -> None:
        """Give the requests left over by rounding, one each, to the keys with the largest entitlements."""
        if remainder <= 0:
            return
        for key in sorted(needs, key=lambda key: -self._entitlements[key]):
            if remainder and shares[key] < needs[key]:
                shares[key] += 1
                self._entitlements[key] -= 1.0
                remainder -= 1

    def _reduce(self, shares: dict[Key, int], excess: int) -> None:
        """Reduce the shares by `excess` in total, since old entitlements may add up to more than is available."""
        for key in sorted(shares, key=lambda key: self._entitlements[key]):
            taken = min(max(0, excess), shares[key])
            shares[key] -= taken
            self._entitlements[key] += taken
            excess -= taken
