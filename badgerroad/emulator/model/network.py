"""Simulation of the network between zones: one-way delays with jitter, slow links and cut links."""

from __future__ import annotations

from badgerroad.emulator.model.kernel import Draws, Kernel

CLIENTS = -1  # zone number of clients: close to every zone, not affected by cuts between zones


class Network:
    """One-way delays in microseconds. A cut affects one direction: (source, target)."""

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
        """Ranges of the one-way delay in microseconds: `same` zone, `cross` zone, to and from a `client`."""
        self.kernel, self.draws, self.jitter = kernel, draws, jitter
        self.base_delays: dict[tuple[int, int], float] = {}
        for a in range(zones):
            self.base_delays[CLIENTS, a] = self.base_delays[a, CLIENTS] = draws.uniform(*client)
            for b in range(a, zones):
                self.base_delays[a, b] = self.base_delays[b, a] = draws.uniform(*(same if a == b else cross))
        self.slowdown: dict[frozenset[int], float] = {}
        self.cuts: list[tuple[int, int]] = []

    def delay(self, source: int, target: int) -> int | None:
        """Return the delay of a message sent now, or None if it is lost."""
        if (source, target) in self.cuts:
            return None
        base_delay = self.base_delays[source, target] * self.slowdown.get(frozenset((source, target)), 1.0)
        return int(base_delay * (1 + self.jitter * self.draws.random()))

    def slow(self, a: int, b: int, factor: float) -> None:
        """Multiply the delay between two zones by `factor`."""
        self.slowdown[frozenset((a, b))] = factor

    def cut(self, source: int, target: int, is_cut: bool) -> None:
        """Cut the link from one zone to another, or restore it."""
        if is_cut:
            self.cuts.append((source, target))
        elif (source, target) in self.cuts:
            self.cuts.remove((source, target))
