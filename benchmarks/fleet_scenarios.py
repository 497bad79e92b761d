"""Runs fault scenarios in virtual time on 19 controllers, 200 dispatchers and 510 teams loaded at twice their quota.

python -m benchmarks.fleet_scenarios --jobs 2 --write
"""

from __future__ import annotations

import argparse
import sys
from multiprocessing import Pool

from benchmarks.result_sections import PROOF_PAGE, write_section
from tests.fleet.simulation.scenarios import SCENARIOS, Figures, run_scenario


def run_number(number: int) -> tuple[Figures, list[str]]:
    """Run one scenario; return its figures and the first violation of each kind."""
    figures, findings = run_scenario(SCENARIOS[number]())
    return figures, [str(violation) for violation in findings.first.values()]


def seconds(value: float | None) -> str:
    """Format a recovery time for the table."""
    return "not within the run" if value is None else f"{value:.0f}"


def table(rows: list[Figures]) -> str:
    """Format the figures as a Markdown table."""
    lines = [
        "| scenario | shards looked at | of their quota used before | least used in a second, of that | unused, s of that | as much as before again after, s | and for good after, s | fullest meter, of its bound | properties broken |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        lines.append(
            f"| {row.name} | {row.shards} | {row.before:.1%} | {row.lowest:.1%} | {row.unused_seconds:.2f} "
            f"| {seconds(row.full_again_after)} | {seconds(row.full_for_good_after)} | {row.max_meter_ratio:.1%} "
            f"| {row.violations} |"
        )
    return "\n".join(lines)


def main() -> int:
    """Run the scenarios, print their table, and return the exit code: 1 if a property was violated."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--jobs", type=int, default=1, help="number of parallel processes")
    parser.add_argument("--only", type=int, help="index of the only scenario to run")
    parser.add_argument("--write", action="store_true", help="write the table into the results page")
    arguments = parser.parse_args()
    numbers = range(len(SCENARIOS)) if arguments.only is None else [arguments.only]
    rows = []
    with Pool(arguments.jobs) as pool:
        for figures, breaches in pool.imap(run_number, numbers):
            rows.append(figures)
            print(figures, *breaches, sep="\n", flush=True)
    text = table(rows)
    print(text)
    if arguments.write and arguments.only is None:
        write_section(PROOF_PAGE, "scenarios", text)
    return 1 if any(row.violations for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
