"""What a run was worth: counts, latencies, rules. The same from virtual and live runs."""

from __future__ import annotations

import msgspec

from badgerroad.emulator.model.clients import Tally
from badgerroad.emulator.model.kernel import SEC
from badgerroad.emulator.world import World

WHOLE, WORST_CLASS, WORST_WINDOW = 0.65, 0.30, 0.05  # weights of the figure, from the operators' brief
CROSSING, HANDSHAKE, PROBE = 0.029, 0.02, 0.002  # prices for each first try


class ClassReport(msgspec.Struct):
    """Counts are of jobs, over all tries of their clients; times in milliseconds, of those served."""

    asked: int
    served: int
    in_time: int
    refused: int
    failed: int
    lost: int
    worth: float
    p50_ms: float
    p90_ms: float
    p99_ms: float


class Report(msgspec.Struct):
    """The result of one run, as it is stored and printed."""

    scenario: str
    seed: int
    figure: float  # worth served, the worst class and the worst 10 s, weighed, less the prices
    worth: float  # part of the worth asked for that was served in time
    worst_class: float
    worst_window: float
    classes: dict[str, ClassReport]
    jobs: int
    tries: int
    attempts: int
    crossings: int
    handshakes: int
    probes: int
    falls: int
    little: float  # Little's law: jobs held on average over rate times residence; 1 where it holds
    breaches: list[str]
    breaches_by_rule: dict[str, int]
    events: int
    simulated_s: float
    wall_s: float = 0.0  # the only field that two runs of one seed may differ in

    @property
    def served(self) -> int:
        """Jobs served, over all classes."""
        return sum(c.served for c in self.classes.values())

    @property
    def refused(self) -> int:
        """Jobs rejected, over all classes."""
        return sum(c.refused for c in self.classes.values())

    @property
    def failed(self) -> int:
        """Jobs failed or lost, over all classes."""
        return sum(c.failed + c.lost for c in self.classes.values())

    def bytes(self) -> bytes:
        """All but the wall time, in one order: what two runs of one seed must agree on."""
        fields = msgspec.to_builtins(self)
        del fields["wall_s"]
        return msgspec.json.encode(fields, order="deterministic")


def _quantile(values: list[int], q: float) -> float:
    if not values:
        return 0.0
    return round(sorted(values)[min(int(q * len(values)), len(values) - 1)] / 1000, 2)


def _class(tally: Tally) -> ClassReport:
    return ClassReport(
        tally.asked,
        tally.served,
        tally.in_time,
        tally.refused,
        tally.failed,
        tally.lost,
        round(tally.worth_served / tally.worth, 6) if tally.worth else 0.0,
        *(_quantile(tally.took, q) for q in (0.5, 0.9, 0.99)),
    )


def of(world: World, wall: float) -> Report:
    """The report of a world at the end of its run; `wall` in seconds."""
    c, r = world.clients, world.referee
    classes = {k.name: _class(t) for k, t in zip(world.kinds, c.tallies, strict=False)}
    asked, served = sum(t.worth for t in c.tallies), sum(t.worth_served for t in c.tallies)
    whole = served / asked if asked else 0.0
    worst_class = min((x.worth for x in classes.values() if x.asked), default=0.0)
    worst_window = min((got / want for want, got in c.windows.values() if want), default=0.0)
    tries = max(c.jobs, 1)
    figure = (
        WHOLE * whole
        + WORST_CLASS * worst_class
        + WORST_WINDOW * worst_window
        - CROSSING * r.crossings / tries
        - HANDSHAKE * r.handshakes / tries
        - PROBE * r.probes / tries
    )
    held, residence = 0.0, 0.0
    for node in world.nodes:
        node._advance()
        held += node.held_time
        residence += node.residence + sum(world.kernel.now - job.arrived for job in node.jobs.values())
    rules: dict[str, int] = {}
    for breach in r.breaches:
        rules[str(breach.rule)] = rules.get(str(breach.rule), 0) + 1
    return Report(
        world.scenario.name,
        world.seed,
        round(figure, 6),
        round(whole, 6),
        worst_class,
        round(worst_window, 6),
        classes,
        c.jobs,
        c.tries,
        r.attempts,
        r.crossings,
        r.handshakes,
        r.probes,
        r.falls,
        round(held / residence, 6) if residence else 1.0,
        [f"{b.at / SEC:.3f} s rule {b.rule}: {b.what}" for b in r.breaches[:50]],
        rules,
        world.kernel.played,
        world.kernel.now / SEC,
        round(wall, 3),
    )
