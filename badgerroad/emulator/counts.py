"""What all dispatchers of a virtual run did together: to discovery, to nodes, and with connections."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

from badgerroad.emulator import scenario as sc
from badgerroad.emulator import virtual
from badgerroad.emulator.model.kernel import SEC
from badgerroad.emulator.report import of as report_of


class Counts(NamedTuple):
    """Counts of one virtual run over all dispatchers."""

    calls: int  # at discovery
    failed: int  # of them
    untold: int  # dispatchers whose last call before the end of the arrivals was not answered
    slowest: float  # seconds from a kill to the first list after it, the longest of all
    probes: float  # for each try
    probed: float  # probes of one node a second, of the node with most
    connects: float  # connections opened, for each try
    falls: int  # cold nodes pushed over
    cold_peak: float  # of what a cold node bears in a window, the most that any was sent
    cold_load: float  # work that nodes did while cold, as a part of what they could have done
    warm_load: float  # while warm
    broken: int  # rules


def of(scenario: sc.Scenario, seed: int, folder: Path) -> Counts:
    """Plays the scenario in virtual time."""
    seen: list[tuple[int, str, dict[str, Any]]] = []
    kept = ("discovery", "discovery failed", "listed", "probe", "connect", "dispatcher")
    loads: list[float] = []

    def loads_of(world: virtual.VirtualWorld) -> None:
        """Note the load of the nodes at the end of the arrivals."""
        for warm in (False, True):
            could = sum(node.could_do[warm] for node in world.nodes)
            loads.append(sum(node.work_done[warm] for node in world.nodes) / could if could else 0.0)

    world = virtual.played(
        scenario,
        seed,
        folder,
        trace=lambda now, what, more: (seen.append((now, what, more)) if what in kept else None),
        arrived=loads_of,
    )
    report = report_of(world, 0.0)
    end = int(scenario.length_s * SEC)
    killed: dict[int, int] = {}
    last: dict[int, str] = {}
    waits = [0]
    per_node: Counter[tuple[str, int]] = Counter()
    for now, what, more in seen:
        number = more.get("number", more.get("dispatcher", -1))
        if what == "dispatcher" and more["state"] == "killed":
            killed[number] = now
        elif what == "listed" and number in killed:
            waits.append(now - killed.pop(number))
        elif what == "probe":
            per_node[more["node"], now // SEC] += 1
        if what in ("listed", "discovery failed") and now <= end:
            last[number] = what
    waits += [end - at for at in killed.values()]
    count = Counter(what for _, what, _ in seen)
    tries = max(report.tries, 1)
    return Counts(
        count["discovery"],
        count["discovery failed"],
        sum(last.get(n) != "listed" for n in range(scenario.dispatchers)),
        max(waits) / SEC,
        count["probe"] / tries,
        max(per_node.values(), default=0),
        count["connect"] / tries,
        report.falls,
        max(node.cold_peak for node in world.nodes),
        loads[0],
        loads[1],
        len(report.breaches),
    )
