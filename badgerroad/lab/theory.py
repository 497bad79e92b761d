"""The model against queueing theory: mean waits of one node at known loads.

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

MEAN = 1000.0  # microseconds of work of a mean job
LOADS = (0.3, 0.7, 0.9)
# Jobs a seed by load: the error of a mean wait grows as 1 / (1 - load)^2, so the last load needs the most.
JOBS = {0.3: 250_000, 0.7: 500_000, 0.9: 1_500_000}
SEEDS = 8
WARM_UP = 0.02  # part of a run that is not counted
CV = 1.5  # of the lognormal service times in M/G/1


class Case(NamedTuple):
    """One queue whose mean wait is known."""

    model: str  # M/M/1, M/M/4 or M/G/1
    servers: int
    cv: float  # of service times; -1: exponential
    load: float


class Row(NamedTuple):
    """Waits in units of the mean service time."""

    case: Case
    expected: float
    measured: float
    little: float

    @property
    def error(self) -> float:
        """The relative error of the measured wait."""
        return self.measured / self.expected - 1


CASES = [
    Case(name, c, cv, load)
    for name, c, cv in (("M/M/1", 1, -1.0), ("M/M/4", 4, -1.0), ("M/G/1", 1, CV))
    for load in LOADS
]


def erlang_c(servers: int, load: float) -> float:
    """The probability of waiting in M/M/c at utilisation `load`."""
    a = servers * load
    top = a**servers / factorial(servers) / (1 - load)
    return top / (sum(a**k / factorial(k) for k in range(servers)) + top)


def expected(case: Case) -> float:
    """The mean wait over the mean service time."""
    if case.cv >= 0:
        return case.load * (1 + case.cv**2) / (2 * (1 - case.load))
    return erlang_c(case.servers, case.load) / (case.servers * (1 - case.load))


def one(case: Case, seed: int, jobs: int) -> list[float]:
    """[sum of waits, jobs counted, integral of jobs held, sum of times in the node]."""
    kernel = Kernel()
    gaps, works = Draws(seed, "gaps"), Draws(seed, "works")
    skipped = int(jobs * WARM_UP)
    waits = [0.0, 0.0]

    def tell(node: RenderNode, job: Job, state: str, share: float) -> None:
        """Count the wait of a job that starts."""
        if state == STARTED and int(job.id) >= skipped:
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
        tell,
        lambda n, sent: None,
        lambda n, state: None,
    )
    gap, due = MEAN / case.load / case.servers, [0.0]

    def arrive(number: int) -> None:
        """A job arrives."""
        work = works.exponential(MEAN) if case.cv < 0 else works.lognormal(MEAN, case.cv)
        node.submit(Job(str(number), "", 0, 0, work))
        if number + 1 < jobs:
            due[0] += gaps.exponential(gap)
            kernel.at(int(due[0]), arrive, number + 1)

    kernel.at(0, arrive, 0)
    while kernel.next >= 0:
        kernel.run(kernel.next)
    return [*waits, node.job_time, node.residence_time]


def table(scale: float = 1.0, workers: int | None = None, cases: list[Case] = CASES, seeds: int = SEEDS) -> list[Row]:
    """All cases, the seeds of each pooled. `scale`: part of the full length."""
    with ProcessPoolExecutor(max_workers=workers or os.cpu_count()) as pool:
        futures = {
            case: [
                pool.submit(one, case, seed, max(int(JOBS[case.load] * scale), 1000)) for seed in range(1, seeds + 1)
            ]
            for case in cases
        }
        rows = []
        for case, parts in futures.items():
            total = [sum(column) for column in zip(*(p.result() for p in parts), strict=False)]
            rows.append(Row(case, expected(case), total[0] / total[1] / MEAN, total[2] / total[3]))
    return rows


def markdown(rows: list[Row]) -> str:
    """The rows as a table."""
    lines = [
        "| model | load | wait by theory | wait measured | error | Little |",
        "| --- | ---: | ---: | ---: | ---: | ---: |",
    ]
    lines += [
        f"| {r.case.model} | {r.case.load} | {r.expected:.4f} | {r.measured:.4f} | {r.error:+.2%} "
        f"| {r.little:.4f} |"
        for r in rows
    ]
    return "\n".join(lines) + "\n"
