"""The network between zones: one-way delays with jitter, slow spells, and cuts on which messages vanish."""

from __future__ import annotations

from badgerroad.emulator.model.kernel import Draws, Kernel

CLIENTS = -1  # the place of clients: next to every zone, never cut off by a cut between zones


class Network:
    """One-way times in microseconds. A cut is one-way too: (from, to)."""

    def __init__(
        self,
        kernel: Kernel,
        draws: Draws,
        zones: int,
        same: tuple[float, float],
        cross: tuple[float, float],
        client: tuple[float, float],
        jitter: float,
    ) -> None:
        """One-way times in milliseconds or microseconds alike, as ranges: within a zone, between zones, to clients."""
        self.kernel, self.draws, self.jitter = kernel, draws, jitter
        self.base: dict[tuple[int, int], float] = {}
        for a in range(zones):
            self.base[CLIENTS, a] = self.base[a, CLIENTS] = draws.uniform(*client)
            for b in range(a, zones):
                self.base[a, b] = self.base[b, a] = draws.uniform(*(same if a == b else cross))
        self.slowed: dict[frozenset[int], float] = {}
        self.cuts: list[tuple[int, int]] = []

    def delay(self, source: int, target: int) -> int | None:
        """How long a message sent now takes; None if it vanishes."""
        if (source, target) in self.cuts:
            return None
        base = self.base[source, target] * self.slowed.get(frozenset((source, target)), 1.0)
        return int(base * (1 + self.jitter * self.draws.random()))

    def slow(self, a: int, b: int, factor: float) -> None:
        """Messages between two zones take `factor` times as long."""
        self.slowed[frozenset((a, b))] = factor

    def cut(self, source: int, target: int, on: bool) -> None:
        """Cut the way from one zone to another, or mend it."""
        if on:
            self.cuts.append((source, target))
        elif (source, target) in self.cuts:
            self.cuts.remove((source, target))
