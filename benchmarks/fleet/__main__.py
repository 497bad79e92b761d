"""Load benchmark of the fleet on loopback: 19 controllers, hollow dispatchers, faults and an external oracle.

    python -m benchmarks.fleet --scenario half --scenario double --dispatchers 200

Usage:
  benchmarks.fleet [options] [--scenario NAME]...

Options:
  --dispatchers N  Number of dispatchers [default: 200].
  --scenario NAME  Run this scenario only; may be repeated. Without it all scenarios run, one after the other.
  --seconds S      Measured time after the warm-up, in place of that of the scenario.
  --seed N         Seed of arrivals, random choices and the noise of the relays [default: 1].
  --quick          Use a warm-up of 3 s and a measured time of 12 s.
  --json FILE      Add the results to this file, replacing those of the same scenario, dispatchers and topology.
  --keep DIR       Keep logs and records in this directory.
  --page FILE      Write the results page from the JSON file.
  --only-page      Run no scenario.
  --topology KIND  zone: dispatchers connect to their zone's controller; owners: to all 19 [default: zone].
"""

from __future__ import annotations

import sys
from pathlib import Path

import msgspec
from docopt import docopt

from badgerroad.net import logs

from . import page, report
from .results import Document, Result
from .run import play
from .scenarios import BY_NAME, SCENARIOS, Scenario

QUICK_WARM_S, QUICK_SECONDS = 3.0, 12.0


def selected_scenarios(options: dict[str, object]) -> list[Scenario]:
    """Return the selected scenarios with the requested durations.

    Raises SystemExit if a name is unknown.
    """
    names = options["--scenario"]
    assert isinstance(names, list)
    for name in names:
        if name not in BY_NAME:
            sys.exit(f"unknown scenario {name}; scenarios are: {', '.join(BY_NAME)}")
    scenarios = [BY_NAME[name] for name in names] or list(SCENARIOS)
    if options["--quick"]:
        scenarios = [one._replace(warm_s=QUICK_WARM_S, seconds=QUICK_SECONDS) for one in scenarios]
    if options["--seconds"]:
        scenarios = [one._replace(seconds=float(str(options["--seconds"]))) for one in scenarios]
    return scenarios


def load_document(path: Path) -> Document:
    return msgspec.json.decode(path.read_bytes(), type=Document) if path.exists() else Document([])


def store(path: Path, result: Result) -> None:
    """Store a result in the document at `path`, replacing that of the same scenario, dispatchers and topology."""
    document = load_document(path)
    key = (result.scenario, result.dispatchers, result.topology)
    others = [old for old in document.results if (old.scenario, old.dispatchers, old.topology) != key]
    document.results = sorted([*others, result], key=sort_key)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document), indent=1) + b"\n")


def sort_key(result: Result) -> tuple[int, int, str]:
    names = list(BY_NAME)
    return result.dispatchers, names.index(result.scenario), result.topology


def main() -> None:
    options = docopt(__doc__)
    logs.configure(logs.LogSettings(level="warning"))
    for scenario in [] if options["--only-page"] else selected_scenarios(options):
        result = play(
            scenario,
            int(options["--dispatchers"]),
            int(options["--seed"]),
            options["--topology"],
            options["--keep"] or "",
        )
        print(report.lines_of(result), flush=True)
        if options["--json"]:
            store(Path(options["--json"]), result)
    if options["--page"] and options["--json"]:
        Path(options["--page"]).write_text(page.page(load_document(Path(options["--json"]))))


if __name__ == "__main__":
    main()
