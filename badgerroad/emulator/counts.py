"""Counts of discovery calls, health checks, connections and node overload over all dispatchers of a virtual run."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

from badgerroad.emulator import scenario as sc
from badgerroad.emulator import virtual
from badgerroad.emulator.model.kernel import SEC
from badgerroad.emulator.report import create as create_report


class Counts(NamedTuple):
    """Counts of one virtual run, over all dispatchers."""

    calls: int  # calls to discovery
    failed: int  # failed calls to discovery
    untold: int  # dispatchers whose last call to discovery before the end of arrivals got no answer
    slowest: float  # longest time from the kill of a dispatcher to its next list, in seconds
    probes: float  # health checks per try
    probed: float  # highest number of health checks that one node got within a second
    connects: float  # connections opened, per try
    falls: int  # number of nodes that collapsed during warm-up
    cold_peak: float  # highest share of the overload limit reached by a node during warm-up
    cold_load: float  # utilisation of nodes during warm-up: work done over work possible
    warm_load: float  # utilisation of warm nodes: work done over work possible
    broken: int  # number of rule violations


def count(scenario: sc.Scenario, seed: int, folder: Path) -> Counts:
    """Run the scenario in virtual time and return the counts."""
    events: list[tuple[int, str, dict[str, Any]]] = []
    event_names = ("discovery", "discovery failed", "listed", "probe", "connect", "dispatcher")
    utilisations: list[float] = []

    def record_utilisations(world: virtual.VirtualWorld) -> None:
        """Record the utilisation of the nodes at the end of arrivals."""
        for warm in (False, True):
            possible = sum(node.work_possible[warm] for node in world.nodes)
            utilisations.append(sum(node.work_done[warm] for node in world.nodes) / possible if possible else 0.0)

    world = virtual.simulate(
        scenario,
        seed,
        folder,
        trace=lambda now, name, fields: (events.append((now, name, fields)) if name in event_names else None),
        at_arrivals_end=record_utilisations,
    )
    report = create_report(world, 0.0)
    arrivals_end = int(scenario.length_s * SEC)
    killed_at: dict[int, int] = {}
    last_results: dict[int, str] = {}
    list_delays = [0]
    probes_per_node: Counter[tuple[str, int]] = Counter()
    for now, name, fields in events:
        number = fields.get("number", fields.get("dispatcher", -1))
        if name == "dispatcher" and fields["state"] == "killed":
            killed_at[number] = now
        elif name == "listed" and number in killed_at:
            list_delays.append(now - killed_at.pop(number))
        elif name == "probe":
            probes_per_node[fields["node"], now // SEC] += 1
        if name in ("listed", "discovery failed") and now <= arrivals_end:
            last_results[number] = name
    list_delays += [arrivals_end - at for at in killed_at.values()]
    event_counts = Counter(name for _, name, _ in events)
    tries = max(report.tries, 1)
    return Counts(
        event_counts["discovery"],
        event_counts["discovery failed"],
        sum(last_results.get(n) != "listed" for n in range(scenario.dispatchers)),
        max(list_delays) / SEC,
        event_counts["probe"] / tries,
        max(probes_per_node.values(), default=0),
        event_counts["connect"] / tries,
        report.falls,
        max(node.peak_overload_share for node in world.nodes),
        utilisations[0],
        utilisations[1],
        len(report.breaches),
    )
