"""Reports of virtual and live runs: counts, latencies, score and rule violations."""

from __future__ import annotations

import msgspec

from badgerroad.emulator.model.clients import ClassCounts
from badgerroad.emulator.model.kernel import SEC
from badgerroad.emulator.world import World

SERVED_WEIGHT, WORST_CLASS_WEIGHT, WORST_WINDOW_WEIGHT = 0.65, 0.30, 0.05  # weights of the score, set by the operators
CROSS_ZONE_DEDUCTION, HANDSHAKE_DEDUCTION, PROBE_DEDUCTION = 0.029, 0.02, 0.002  # deductions for one event per job


class ClassReport(msgspec.Struct):
    """Result of one request class: counts of jobs (not of tries), and latencies of served jobs in milliseconds."""

    asked: int
    served: int
    in_time: int
    refused: int
    failed: int
    lost: int
    worth: float  # share of the requested priority weight that was served in time
    p50_ms: float
    p90_ms: float
    p99_ms: float


class Report(msgspec.Struct):
    """Result of one run, as stored and printed."""

    scenario: str
    seed: int
    figure: float  # score: weighted sum of `worth`, `worst_class` and `worst_window`, less deductions
    worth: float  # share of the requested priority weight that was served in time
    worst_class: float  # lowest `worth` over the request classes
    worst_window: float  # lowest share of priority weight served in time, over the jobs of each 10 s of arrivals
    classes: dict[str, ClassReport]
    jobs: int
    tries: int
    attempts: int
    crossings: int  # cross-zone attempts
    handshakes: int
    probes: int
    falls: int  # nodes that collapsed during warm-up
    little: float  # Little's law: mean number of jobs over arrival rate times residence time; 1 if it holds
    breaches: list[str]  # the first 50 rule violations
    breaches_by_rule: dict[str, int]
    events: int
    simulated_s: float
    wall_s: float = 0.0  # the only field that may differ between two runs with the same seed

    @property
    def served(self) -> int:
        """Number of jobs served, over all classes."""
        return sum(report.served for report in self.classes.values())

    @property
    def refused(self) -> int:
        """Number of jobs rejected, over all classes."""
        return sum(report.refused for report in self.classes.values())

    @property
    def failed(self) -> int:
        """Number of jobs failed or lost, over all classes."""
        return sum(report.failed + report.lost for report in self.classes.values())

    def bytes(self) -> bytes:
        """Encode all fields except the wall time; two virtual runs with the same seed give the same bytes."""
        fields = msgspec.to_builtins(self)
        del fields["wall_s"]
        return msgspec.json.encode(fields, order="deterministic")


def _quantile(values: list[int], quantile: float) -> float:
    if not values:
        return 0.0
    return round(sorted(values)[min(int(quantile * len(values)), len(values) - 1)] / 1000, 2)


def _class_report(counts: ClassCounts) -> ClassReport:
    return ClassReport(
        counts.asked,
        counts.served,
        counts.in_time,
        counts.refused,
        counts.failed,
        counts.lost,
        round(counts.weight_served / counts.weight_requested, 6) if counts.weight_requested else 0.0,
        *(_quantile(counts.latencies, quantile) for quantile in (0.5, 0.9, 0.99)),
    )


def create(world: World, wall: float) -> Report:
    """Create the report of a finished run; `wall`: wall time in seconds."""
    clients, checker = world.clients, world.rule_checker
    classes = {k.name: _class_report(t) for k, t in zip(world.request_classes, clients.class_counts, strict=False)}
    requested, served = (
        sum(t.weight_requested for t in clients.class_counts),
        sum(t.weight_served for t in clients.class_counts),
    )
    served_share = served / requested if requested else 0.0
    worst_class = min((report.worth for report in classes.values() if report.asked), default=0.0)
    worst_window = min(
        (
            served_weight / requested_weight
            for requested_weight, served_weight in clients.windows.values()
            if requested_weight
        ),
        default=0.0,
    )
    tries = max(clients.jobs, 1)
    figure = (
        SERVED_WEIGHT * served_share
        + WORST_CLASS_WEIGHT * worst_class
        + WORST_WINDOW_WEIGHT * worst_window
        - CROSS_ZONE_DEDUCTION * checker.cross_zone_attempts / tries
        - HANDSHAKE_DEDUCTION * checker.handshakes / tries
        - PROBE_DEDUCTION * checker.probes / tries
    )
    job_time, residence_time = 0.0, 0.0
    for node in world.nodes:
        node._advance()
        job_time += node.job_time
        residence_time += node.residence_time + sum(world.kernel.now - job.arrived for job in node.jobs.values())
    rules: dict[str, int] = {}
    for violation in checker.violations:
        rules[str(violation.rule)] = rules.get(str(violation.rule), 0) + 1
    return Report(
        world.scenario.name,
        world.seed,
        round(figure, 6),
        round(served_share, 6),
        worst_class,
        round(worst_window, 6),
        classes,
        clients.jobs,
        clients.tries,
        checker.attempts,
        checker.cross_zone_attempts,
        checker.handshakes,
        checker.probes,
        checker.collapses,
        round(job_time / residence_time, 6) if residence_time else 1.0,
        [
            f"{violation.at / SEC:.3f} s rule {violation.rule}: {violation.message}"
            for violation in checker.violations[:50]
        ],
        rules,
        world.kernel.executed,
        world.kernel.now / SEC,
        round(wall, 3),
    )
