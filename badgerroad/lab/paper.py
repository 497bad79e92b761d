"""The LC* paper's study on a synthetic trace: average slowdown of LC, JSQ and LC*, with and without preemption.

Ungureanu, Melamed and Katehakis, "The LC* Assignment Policy for Cluster-Based Servers", Tables 1 and 2. The trace has
the statistics that the paper states: 75% of the jobs under 2 KB with under 12% of the load, 3% over the cutoff of
30 KB with over half of it; three stretches at utilisations of about 40, 57 and 75%. Service takes a constant time for
the connection and one that grows with the size, as the paper says; the constants are those of its reference 14 (Pai
et al. 1998: 145 us each to open and close, 40 us for 512 bytes). Arrivals are spread evenly within each second, as
there; how much the seconds differ is not stated, so both even and uneven seconds are played.
"""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import Any, NamedTuple

import numpy as np

from badgerroad.emulator.model.jobs import Job, Profile
from badgerroad.emulator.model.kernel import SEC, Draws, Kernel
from badgerroad.emulator.model.nodes import DONE, RenderNode

SERVERS, CUTOFF = 4, 30.0  # KB
LOADS = (0.40, 0.57, 0.75)  # light, medium, heavy
RATE = 1700.0  # requests a second on average, as in the trace
OVERHEAD = 290 / 80  # KB that take as long as the connection does
BURSTS = (0.0, 0.25)  # spread (standard deviation over mean) of the rate from second to second
STRETCH = 120.0  # seconds of each loading; the paper's are 1,200
SEEDS = 4
# (share, least KB, most KB, Pareto exponent; 0: evenly over the logarithm)
PIECES = ((0.75, 0.2, 0.9, 0.0), (0.22, 2.0, 30.0, 1.37), (0.0296, 30.0, 100.0, 1.37), (0.0004, 100.0, 10_000.0, 1.05))
PAPER = {("JSQ", False): 4.69, ("JSQ", True): 7.7, ("LC", False): 5.58, ("LC", True): 3.53, ("LC*", True): 2.16}
PAPER_HEAVY = {("LC", True): (1.06, 1.90, 6.17), ("LC*", True): (1.06, 1.59, 3.22)}


def sizes(draw: np.random.Generator, count: int) -> Any:
    """KB of `count` files."""
    which = draw.choice(len(PIECES), size=count, p=[p[0] for p in PIECES])
    u = draw.random(count)
    out = np.empty(count)
    for n, (_, low, high, alpha) in enumerate(PIECES):
        here = which == n
        if alpha:
            out[here] = low / (1 - u[here] * (1 - (low / high) ** alpha)) ** (1 / alpha)
        else:
            out[here] = low * (high / low) ** u[here]
    return out


class Result(NamedTuple):
    """Mean response of one policy."""

    policy: str
    preemption: bool
    burst: float
    slowdown: float
    by_load: tuple[float, ...]


def statistics(seed: int = 1, count: int = 2_000_000) -> dict[str, float]:
    """What the synthetic trace is like, in the paper's terms."""
    x = sizes(np.random.default_rng(seed), count)
    total = float(x.sum())
    return {
        "under 2 KB": float((x < 2).mean()),
        "their load": float(x[x < 2].sum()) / total,
        "over 30 KB": float((x > CUTOFF).mean()),
        "load over 30 KB": float(x[x > CUTOFF].sum()) / total,
        "over 100 KB": float((x > 100).mean()),
        "load over 100 KB": float(x[x > 100].sum()) / total,
    }


class Cluster:
    """The servers of the paper under one policy, and the slowdowns of their jobs by loading."""

    def __init__(self, policy: str, preemption: bool, seed: int) -> None:
        """`policy`: JSQ, LC or LC*."""
        self.kernel = Kernel()
        self.sums = [[0.0, 0.0] for _ in LOADS]
        """[sum of slowdowns, jobs] for each loading."""
        self._policy = policy
        self._ties = Draws(seed, "ties")
        self._jobs: dict[str, tuple[int, int, bool]] = {}  # when it arrived, its loading, whether it is long
        self._in_flight = [0] * SERVERS
        self._long_in_flight = [0] * SERVERS
        self._work = [0.0] * SERVERS  # left at the time in `_work_at`
        self._work_at = [0] * SERVERS
        self._waiting: deque[Job] = deque()
        profile = Profile(cores=1, speed=1.0, slots=10**9 if preemption else 1, queue=10**9)
        self._nodes = [self._node(number, profile, seed) for number in range(SERVERS)]

    def _node(self, number: int, profile: Profile, seed: int) -> RenderNode:
        draws = Draws(seed, f"s{number}")
        return RenderNode(
            self.kernel,
            f"s{number}",
            profile,
            0,
            number,
            0,
            draws,
            self._tell,
            lambda node, sent: None,
            lambda node, state: None,
        )

    def arrive(self, number: int, loading: int, size_kb: float, us_per_kb: float) -> None:
        """A request for a file has come."""
        work = max((size_kb + OVERHEAD) * us_per_kb, 1.0)
        job = Job(f"{loading}:{number}", "", 0, 0, work)
        is_long = size_kb > CUTOFF
        self._jobs[job.id] = self.kernel.now, loading, is_long
        if not self._send(job, is_long):
            self._waiting.append(job)

    def _tell(self, node: RenderNode, job: Job, state: str, share: float) -> None:
        if state != DONE:
            return
        arrived, loading, is_long = self._jobs.pop(job.id)
        self._in_flight[node.cell] -= 1
        self._long_in_flight[node.cell] -= is_long
        self.sums[loading][0] += (self.kernel.now - arrived) / job.work
        self.sums[loading][1] += 1
        if is_long and self._policy == "LC*":
            self.kernel.at(self.kernel.now, self._release)  # once the node is done with its accounting

    def _release(self) -> None:
        while self._waiting and self._send(self._waiting[0], True):
            self._waiting.popleft()

    def _send(self, job: Job, is_long: bool) -> bool:
        pool = list(range(SERVERS))
        if self._policy == "LC*" and is_long:
            pool = [number for number in pool if not self._long_in_flight[number]]
            if not pool:
                return False
        number = self._least(pool)
        self._in_flight[number] += 1
        self._long_in_flight[number] += is_long
        self._work[number] = self._work_left(number) + job.work
        self._work_at[number] = self.kernel.now
        self._nodes[number].submit(job)
        return True

    def _least(self, pool: list[int]) -> int:
        """The server with the least work (JSQ) or the fewest requests, a random one among equals."""
        measure: Sequence[float] = self._in_flight
        if self._policy == "JSQ":
            measure = [self._work_left(number) for number in range(SERVERS)]
        low = min(measure[number] for number in pool)
        best = [number for number in pool if measure[number] == low]
        return best[int(self._ties.random() * len(best))]

    def _work_left(self, number: int) -> float:
        return max(self._work[number] - (self.kernel.now - self._work_at[number]), 0.0)


def one(policy: str, preemption: bool, burst: float, seed: int, stretch: float) -> list[list[float]]:
    """[sum of slowdowns, jobs] for each loading."""
    cluster = Cluster(policy, preemption, seed)
    draw = np.random.default_rng([seed, 7])
    mean = OVERHEAD + sum(piece[0] * part for piece, part in zip(PIECES, _means(), strict=False))
    seconds = max(int(stretch), 1)
    for loading, load in enumerate(LOADS):
        # As in the trace, the load grows with the arrivals; sizes stay as they are.
        rate = RATE * load / (sum(LOADS) / len(LOADS))
        us_per_kb = load * SERVERS / rate * SEC / mean
        rates = rate * np.maximum(1 + burst * draw.standard_normal(seconds), 0.0)
        each = draw.poisson(rates)
        times = np.sort(np.repeat(np.arange(seconds), each) + draw.random(int(each.sum()))) * SEC
        times += loading * seconds * SEC
        block = sizes(draw, len(times))
        for number, when in enumerate(times):
            cluster.kernel.at(int(when), cluster.arrive, number, loading, float(block[number]), us_per_kb)
        cluster.kernel.run((loading + 1) * seconds * SEC)
    while cluster.kernel.next >= 0:
        cluster.kernel.run(cluster.kernel.next)
    return cluster.sums


def _means() -> list[float]:
    out = []
    for _, a, b, alpha in PIECES:
        if alpha:
            out.append(alpha / (alpha - 1) * a * (1 - (a / b) ** (alpha - 1)) / (1 - (a / b) ** alpha))
        else:
            out.append((b - a) / float(np.log(b / a)))
    return out


def table(scale: float = 1.0, workers: int | None = None, seeds: int = SEEDS) -> list[Result]:
    """All rows of the paper's tables."""
    kinds = [(p, pre, b) for b in BURSTS for p in ("JSQ", "LC", "LC*") for pre in (False, True)]
    with ProcessPoolExecutor(max_workers=workers or os.cpu_count()) as pool:
        futures = {k: [pool.submit(one, *k, seed, STRETCH * scale) for seed in range(1, seeds + 1)] for k in kinds}
        out = []
        for (policy, pre, burst), parts in futures.items():
            results = [p.result() for p in parts]
            by_load = [[sum(r[n][k] for r in results) for k in (0, 1)] for n in range(len(LOADS))]
            out.append(
                Result(
                    policy,
                    pre,
                    burst,
                    sum(x[0] for x in by_load) / sum(x[1] for x in by_load),
                    tuple(x[0] / x[1] for x in by_load),
                )
            )
    return out


def markdown(rows: list[Result]) -> str:
    """The rows as a table."""
    lines = [
        "| seconds | policy | preemption | light | medium | heavy | overall | the paper's overall |",
        "| --- | --- | --- | ---: | ---: | ---: | ---: | ---: |",
    ]
    for r in rows:
        paper = PAPER.get((r.policy, r.preemption))
        cells = " | ".join(f"{x:.2f}" for x in (*r.by_load, r.slowdown))
        lines.append(
            f"| {'uneven' if r.burst else 'even'} | {r.policy} | {'yes' if r.preemption else 'no'} | {cells} "
            f"| {paper or '-'} |"
        )
    return "\n".join(lines) + "\n"
