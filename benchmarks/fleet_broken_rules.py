"""Breaks the fleet's rules one at a time and reports which violation the oracle detects for each.

python -m benchmarks.fleet_broken_rules --write
"""

from __future__ import annotations

import argparse
import sys

from benchmarks.result_sections import PROOF_PAGE, write_section
from tests.fleet.simulation.broken_rules import BROKEN_RULES


def main() -> int:
    """Run every broken rule, print their table, and return the exit code: 1 if the oracle missed a rule."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--write", action="store_true", help="write the table into the results page")
    arguments = parser.parse_args()
    lines = ["| broken rule | found by | as |", "|---|---|---|"]
    missed = 0
    for rule in BROKEN_RULES:
        found = rule.find()
        missed += found is None
        lines.append(str(found) if found is not None else f"| {rule.name} | **not found** | |")
    text = "\n".join(lines)
    print(text)
    if arguments.write:
        write_section(PROOF_PAGE, "broken rules", text)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
