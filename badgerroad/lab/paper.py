"""Repeats the study of the LC* paper: mean slowdown of LC, JSQ and LC*, with and without preemption.

Ungureanu, Melamed and Katehakis, "The LC* Assignment Policy for Cluster-Based Servers", Tables 1 and 2. The trace has
the statistics that the paper states: 75% of the jobs under 2 KB with under 12% of the load, 3% over the cutoff of
30 KB with over half of it; three loadings with utilisations of about 40, 57 and 75%. As in the paper, service takes a
constant time for the connection plus a time proportional to the size; the constants are those of its reference 14 (Pai
et al. 1998: 145 us each to open and close, 40 us for 512 bytes). Arrivals are spread evenly within each second, as in
the paper. It does not state how much the rate varies from second to second, so constant and varying rates are run.
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

SERVERS, CUTOFF_KB = 4, 30.0  # number of servers; a request for a file larger than the cutoff is long
LOADS = (0.40, 0.57, 0.75)  # utilisations of the light, medium and heavy loading
REQUEST_RATE_PER_S = 1700.0  # mean request rate of the paper's trace
CONNECTION_COST_KB = 290 / 80  # file size whose service takes as long as opening and closing the connection
RATE_VARIATIONS = (0.0, 0.25)  # coefficient of variation of the rate from second to second
LOADING_DURATION_S = 120.0  # simulated time of each loading; the paper's loadings last 1,200 s
SEEDS = 4
# (share of files, smallest KB, largest KB, exponent of the bounded Pareto distribution; 0 for log-uniform sizes)
SIZE_RANGES = (
    (0.75, 0.2, 0.9, 0.0),
    (0.22, 2.0, 30.0, 1.37),
    (0.0296, 30.0, 100.0, 1.37),
    (0.0004, 100.0, 10_000.0, 1.05),
)
# Mean slowdowns in the paper by (policy, preemption): over the whole trace, and by loading.
PAPER_SLOWDOWNS = {
    ("JSQ", False): 4.69,
    ("JSQ", True): 7.7,
    ("LC", False): 5.58,
    ("LC", True): 3.53,
    ("LC*", True): 2.16,
}
PAPER_SLOWDOWNS_BY_LOADING = {("LC", True): (1.06, 1.90, 6.17), ("LC*", True): (1.06, 1.59, 3.22)}


def draw_sizes(rng: np.random.Generator, count: int) -> Any:
    """Draw the sizes of `count` files in KB."""
    range_index = rng.choice(len(SIZE_RANGES), size=count, p=[entry[0] for entry in SIZE_RANGES])
    uniform = rng.random(count)
    out = np.empty(count)
    for index, (_, low, high, alpha) in enumerate(SIZE_RANGES):
        in_range = range_index == index
        if alpha:
            out[in_range] = low / (1 - uniform[in_range] * (1 - (low / high) ** alpha)) ** (1 / alpha)
        else:
            out[in_range] = low * (high / low) ** uniform[in_range]
    return out


class Result(NamedTuple):
    """Mean slowdown of one policy, over all loadings and by loading."""

    policy: str
    preemption: bool
    rate_variation: float
    slowdown: float
    by_load: tuple[float, ...]


def statistics(seed: int = 1, count: int = 2_000_000) -> dict[str, float]:
    """Return the statistics of the synthetic trace that the paper states for its trace."""
    sizes_kb = draw_sizes(np.random.default_rng(seed), count)
    total_kb = float(sizes_kb.sum())
    return {
        "under 2 KB": float((sizes_kb < 2).mean()),
        "their load": float(sizes_kb[sizes_kb < 2].sum()) / total_kb,
        "over 30 KB": float((sizes_kb > CUTOFF_KB).mean()),
        "load over 30 KB": float(sizes_kb[sizes_kb > CUTOFF_KB].sum()) / total_kb,
        "over 100 KB": float((sizes_kb > 100).mean()),
        "load over 100 KB": float(sizes_kb[sizes_kb > 100].sum()) / total_kb,
    }


class Cluster:
    """The paper's servers under one policy; sums up the slowdowns of the jobs by loading."""

    def __init__(self, policy: str, preemption: bool, seed: int) -> None:
        """Create idle servers. `policy` is JSQ, LC or LC*.

        JSQ (join the shortest queue) sends a request to the server with the least work left, LC (least connections) to
        the server with the fewest requests in flight. LC* is LC, except that a server gets at most one long request at
        a time; a long request waits if each server has one.
        """
        self.kernel = Kernel()
        self.sums = [[0.0, 0.0] for _ in LOADS]
        """[sum of slowdowns, number of jobs] of each loading."""
        self._policy = policy
        self._ties = Draws(seed, "ties")
        self._jobs: dict[str, tuple[int, int, bool]] = {}  # by job id: arrival time, loading, whether it is long
        self._in_flight = [0] * SERVERS
        self._long_in_flight = [0] * SERVERS
        self._work = [0.0] * SERVERS  # work left at each server at its time in `_work_at`, in microseconds
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
            self._on_job_event,
            lambda node, sent: None,
            lambda node, state: None,
        )

    def arrive(self, number: int, loading: int, size_kb: float, us_per_kb: float) -> None:
        """Send a request for a file to a server, or queue it if the policy allows none."""
        work = max((size_kb + CONNECTION_COST_KB) * us_per_kb, 1.0)
        job = Job(f"{loading}:{number}", "", 0, 0, work)
        is_long = size_kb > CUTOFF_KB
        self._jobs[job.id] = self.kernel.now, loading, is_long
        if not self._send(job, is_long):
            self._waiting.append(job)

    def _on_job_event(self, node: RenderNode, job: Job, state: str, share: float) -> None:
        if state != DONE:
            return
        arrived, loading, is_long = self._jobs.pop(job.id)
        self._in_flight[node.cell] -= 1
        self._long_in_flight[node.cell] -= is_long
        self.sums[loading][0] += (self.kernel.now - arrived) / job.work
        self.sums[loading][1] += 1
        if is_long and self._policy == "LC*":
            # Waiting requests are sent in a separate event, because the node has not finished updating its state.
            self.kernel.at(self.kernel.now, self._send_waiting)

    def _send_waiting(self) -> None:
        while self._waiting and self._send(self._waiting[0], True):
            self._waiting.popleft()

    def _send(self, job: Job, is_long: bool) -> bool:
        pool = list(range(SERVERS))
        if self._policy == "LC*" and is_long:
            pool = [number for number in pool if not self._long_in_flight[number]]
            if not pool:
                return False
        number = self._least_loaded(pool)
        self._in_flight[number] += 1
        self._long_in_flight[number] += is_long
        self._work[number] = self._work_left(number) + job.work
        self._work_at[number] = self.kernel.now
        self._nodes[number].submit(job)
        return True

    def _least_loaded(self, pool: list[int]) -> int:
        """Return the server with the least work (JSQ) or the fewest requests; ties are broken at random."""
        server_loads: Sequence[float] = self._in_flight
        if self._policy == "JSQ":
            server_loads = [self._work_left(number) for number in range(SERVERS)]
        lowest = min(server_loads[number] for number in pool)
        best = [number for number in pool if server_loads[number] == lowest]
        return best[int(self._ties.random() * len(best))]

    def _work_left(self, number: int) -> float:
        return max(self._work[number] - (self.kernel.now - self._work_at[number]), 0.0)


def simulate(policy: str, preemption: bool, rate_variation: float, seed: int, duration_s: float) -> list[list[float]]:
    """Simulate one variant with one seed and return [sum of slowdowns, jobs] for each loading."""
    cluster = Cluster(policy, preemption, seed)
    rng = np.random.default_rng([seed, 7])
    mean_kb = CONNECTION_COST_KB + sum(
        size_range[0] * mean_size for size_range, mean_size in zip(SIZE_RANGES, _mean_sizes(), strict=False)
    )
    seconds = max(int(duration_s), 1)
    for loading, load in enumerate(LOADS):
        # As in the paper's trace, a higher load comes from more arrivals, not from larger files.
        rate = REQUEST_RATE_PER_S * load / (sum(LOADS) / len(LOADS))
        us_per_kb = load * SERVERS / rate * SEC / mean_kb
        rates = rate * np.maximum(1 + rate_variation * rng.standard_normal(seconds), 0.0)
        arrivals_per_second = rng.poisson(rates)
        times = (
            np.sort(np.repeat(np.arange(seconds), arrivals_per_second) + rng.random(int(arrivals_per_second.sum())))
            * SEC
        )
        times += loading * seconds * SEC
        sizes_kb = draw_sizes(rng, len(times))
        for number, when in enumerate(times):
            cluster.kernel.at(int(when), cluster.arrive, number, loading, float(sizes_kb[number]), us_per_kb)
        cluster.kernel.run((loading + 1) * seconds * SEC)
    while cluster.kernel.next >= 0:
        cluster.kernel.run(cluster.kernel.next)
    return cluster.sums


def _mean_sizes() -> list[float]:
    out = []
    for _, low, high, alpha in SIZE_RANGES:
        if alpha:
            out.append(alpha / (alpha - 1) * low * (1 - (low / high) ** (alpha - 1)) / (1 - (low / high) ** alpha))
        else:
            out.append((high - low) / float(np.log(high / low)))
    return out


def table(scale: float = 1.0, workers: int | None = None, seeds: int = SEEDS) -> list[Result]:
    """Simulate all variants and return a result for each, pooled over the seeds.

    `scale` multiplies the duration of each loading; `workers` is the number of processes.
    """
    variants = [
        (policy, preemption, rate_variation)
        for rate_variation in RATE_VARIATIONS
        for policy in ("JSQ", "LC", "LC*")
        for preemption in (False, True)
    ]
    with ProcessPoolExecutor(max_workers=workers or os.cpu_count()) as pool:
        futures = {
            variant: [pool.submit(simulate, *variant, seed, LOADING_DURATION_S * scale) for seed in range(1, seeds + 1)]
            for variant in variants
        }
        out = []
        for (policy, preemption, rate_variation), variant_futures in futures.items():
            results = [future.result() for future in variant_futures]
            by_load = [[sum(r[n][k] for r in results) for k in (0, 1)] for n in range(len(LOADS))]
            out.append(
                Result(
                    policy,
                    preemption,
                    rate_variation,
                    sum(x[0] for x in by_load) / sum(x[1] for x in by_load),
                    tuple(x[0] / x[1] for x in by_load),
                )
            )
    return out


def markdown(rows: list[Result]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        "| seconds | policy | preemption | light | medium | heavy | overall | the paper's overall |",
        "| --- | --- | --- | ---: | ---: | ---: | ---: | ---: |",
    ]
    for r in rows:
        paper = PAPER_SLOWDOWNS.get((r.policy, r.preemption))
        cells = " | ".join(f"{x:.2f}" for x in (*r.by_load, r.slowdown))
        lines.append(
            f"| {'uneven' if r.rate_variation else 'even'} | {r.policy} | {'yes' if r.preemption else 'no'} | {cells} "
            f"| {paper or '-'} |"
        )
    return "\n".join(lines) + "\n"
