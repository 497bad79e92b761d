"""Measures speed and peak memory of virtual runs of several sizes, each in a separate process.

Usage: python benchmarks/virtual_scale.py [--large]     (--large runs only the largest size)
"""

import resource
import sys
from multiprocessing import get_context
from pathlib import Path

from badgerroad.emulator import scenario, virtual

SIZES = ((15, 3, 60.0), (100, 6, 60.0), (1000, 20, 60.0))  # nodes, dispatchers, simulated seconds


def run_one(nodes, dispatchers, simulated_s):
    """Return the report of a virtual run, and the peak memory of this process in MB."""
    zones = tuple(
        scenario.Zone(
            name=name, nodes=nodes // 2 + index * (nodes % 2), dispatchers=dispatchers // 2 + index * (dispatchers % 2)
        )
        for index, name in enumerate(("paseo-colon", "barracas"))
    )
    scaled = scenario.Scenario(
        name="scale",
        length_s=simulated_s,
        zone=zones,
        load=scenario.Load(level=0.5),
        discovery=scenario.Discovery(capacity=0),
    )
    report = virtual.run(scaled, 1, Path("."))
    return report, resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def main():
    print("| nodes | dispatchers | jobs | events | events/s | wall s | times real time | MB | served worth | rules |")
    print("| ---: " * 10 + "|")
    for size in SIZES[-1:] if "--large" in sys.argv else SIZES:
        with get_context("spawn").Pool(1) as pool:
            report, peak_mb = pool.apply(run_one, size)
        print(
            f"| {size[0]} | {size[1]} | {report.jobs} | {report.events} | {report.events / report.wall_s:.0f} | {report.wall_s:.1f} | "
            f"{report.simulated_s / report.wall_s:.1f} | {peak_mb:.0f} | {report.worth:.3f} | {len(report.breaches)} broken |",
            flush=True,
        )


if __name__ == "__main__":
    sys.exit(main())
