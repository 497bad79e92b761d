"""Checks the simulated node against queueing theory: mean waits at given loads.

M/M/1 and M/M/c: Erlang C (Erlang 1917; Kleinrock 1975, 3.5). M/G/1: Pollaczek-Khinchine, W = rho E[S^2] / (2 E[S]
(1 - rho)). Little's law L = lambda W is measured in the same runs.
"""

from __future__ import annotations

import os
from concurrent.futures import ProcessPoolExecutor
from math import factorial
from typing import NamedTuple

from badgerroad.emulator.model.jobs import Job, Profile
from badgerroad.emulator.model.kernel import Draws, Kernel
from badgerroad.emulator.model.nodes import STARTED, RenderNode

MEAN_WORK_US = 1000.0
LOADS = (0.3, 0.7, 0.9)
# Jobs for each seed, by load. The error of a mean wait grows as 1 / (1 - load)^2, so the highest load needs the most.
JOBS_PER_SEED = {0.3: 250_000, 0.7: 500_000, 0.9: 1_500_000}
SEEDS = 8
WARM_UP_SHARE = 0.02  # share of a run's jobs, at its start, that is not counted
SERVICE_TIME_CV = 1.5  # coefficient of variation of the lognormal service times in M/G/1


class Case(NamedTuple):
    """A queue whose mean wait is known from theory."""

    model: str  # M/M/1, M/M/4 or M/G/1
    servers: int
    cv: float  # coefficient of variation of lognormal service times; -1 for exponential ones
    load: float


class Row(NamedTuple):
    """Expected and measured mean wait in units of the mean service time; `little` is L / (lambda W), 1 in theory."""

    case: Case
    expected: float
    measured: float
    little: float

    @property
    def error(self) -> float:
        """Relative error of the measured wait."""
        return self.measured / self.expected - 1


CASES = [
    Case(name, c, cv, load)
    for name, c, cv in (("M/M/1", 1, -1.0), ("M/M/4", 4, -1.0), ("M/G/1", 1, SERVICE_TIME_CV))
    for load in LOADS
]


def erlang_c(servers: int, load: float) -> float:
    """Return the probability of waiting in M/M/c at utilisation `load`."""
    offered_load = servers * load
    waiting_weight = offered_load**servers / factorial(servers) / (1 - load)
    return waiting_weight / (sum(offered_load**k / factorial(k) for k in range(servers)) + waiting_weight)


def expected_wait(case: Case) -> float:
    """Return the mean wait by theory, in units of the mean service time."""
    if case.cv >= 0:
        return case.load * (1 + case.cv**2) / (2 * (1 - case.load))
    return erlang_c(case.servers, case.load) / (case.servers * (1 - case.load))


def simulate(case: Case, seed: int, jobs: int) -> list[float]:
    """Simulate one case with one seed.

    Returns [sum of waits, jobs counted, time integral of the jobs in the node, sum of the jobs' times in the node].
    """
    kernel = Kernel()
    gap_draws, work_draws = Draws(seed, "gaps"), Draws(seed, "works")
    warm_up_jobs = int(jobs * WARM_UP_SHARE)
    waits = [0.0, 0.0]

    def on_job_event(node: RenderNode, job: Job, state: str, share: float) -> None:
        """Count the wait of a job that starts after the warm-up."""
        if state == STARTED and int(job.id) >= warm_up_jobs:
            waits[0] += kernel.now - job.arrived
            waits[1] += 1

    node = RenderNode(
        kernel,
        "n",
        Profile(cores=case.servers, speed=1.0, slots=case.servers, queue=10**9),
        0,
        0,
        0,
        Draws(seed, "node"),
        on_job_event,
        lambda n, sent: None,
        lambda n, state: None,
    )
    mean_gap_us, next_arrival = MEAN_WORK_US / case.load / case.servers, [0.0]

    def arrive(number: int) -> None:
        """Submit a job and schedule the next arrival."""
        work = work_draws.exponential(MEAN_WORK_US) if case.cv < 0 else work_draws.lognormal(MEAN_WORK_US, case.cv)
        node.submit(Job(str(number), "", 0, 0, work))
        if number + 1 < jobs:
            next_arrival[0] += gap_draws.exponential(mean_gap_us)
            kernel.at(int(next_arrival[0]), arrive, number + 1)

    kernel.at(0, arrive, 0)
    while kernel.next >= 0:
        kernel.run(kernel.next)
    return [*waits, node.job_time, node.residence_time]


def table(scale: float = 1.0, workers: int | None = None, cases: list[Case] = CASES, seeds: int = SEEDS) -> list[Row]:
    """Simulate the cases and return a row for each, pooled over the seeds.

    `scale` multiplies the number of jobs, which is at least 1000; `workers` is the number of processes.
    """
    with ProcessPoolExecutor(max_workers=workers or os.cpu_count()) as pool:
        futures = {
            case: [
                pool.submit(simulate, case, seed, max(int(JOBS_PER_SEED[case.load] * scale), 1000))
                for seed in range(1, seeds + 1)
            ]
            for case in cases
        }
        rows = []
        for case, futures_of_case in futures.items():
            totals = [sum(column) for column in zip(*(future.result() for future in futures_of_case), strict=False)]
            rows.append(Row(case, expected_wait(case), totals[0] / totals[1] / MEAN_WORK_US, totals[2] / totals[3]))
    return rows


def markdown(rows: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        "| model | load | wait by theory | wait measured | error | Little |",
        "| --- | ---: | ---: | ---: | ---: | ---: |",
    ]
    lines += [
        f"| {row.case.model} | {row.case.load} | {row.expected:.4f} | {row.measured:.4f} | {row.error:+.2%} "
        f"| {row.little:.4f} |"
        for row in rows
    ]
    return "\n".join(lines) + "\n"
