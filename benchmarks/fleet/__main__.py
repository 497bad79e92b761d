"""The fleet at size on loopback: 19 controllers, 200 or 600 hollow dispatchers, faults, and an oracle from the outside.

    python -m benchmarks.fleet --scenario half --scenario double --dispatchers 200

Usage:
  benchmarks.fleet [options] [--scenario NAME]...

Options:
  --dispatchers N  How many [default: 200].
  --scenario NAME  Of these alone, may be repeated; without it all of them, one after the other.
  --seconds S      Measured, after the warm-up; without it what the scenario says.
  --seed N         Of arrivals, of choices and of the relay's noise [default: 1].
  --quick          Short: 3 s of warm-up and 12 s measured.
  --json FILE      Add the results to this file; a result of the same scenario and number of dispatchers is replaced.
  --keep DIR       Keep logs and records here.
  --page FILE      Write the page from the JSON file.
  --only-page      Run nothing.
  --topology KIND  zone: dispatchers talk to their zone's controller; owners: to all 19 [default: zone].
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


def chosen(options: dict[str, object]) -> list[Scenario]:
    """The scenarios, with the lengths that were asked for. Raises SystemExit at an unknown name."""
    names = options["--scenario"]
    assert isinstance(names, list)
    for name in names:
        if name not in BY_NAME:
            sys.exit(f"no scenario {name}; there are: {', '.join(BY_NAME)}")
    scenarios = [BY_NAME[name] for name in names] or list(SCENARIOS)
    if options["--quick"]:
        scenarios = [one._replace(warm_s=QUICK_WARM_S, seconds=QUICK_SECONDS) for one in scenarios]
    if options["--seconds"]:
        scenarios = [one._replace(seconds=float(str(options["--seconds"]))) for one in scenarios]
    return scenarios


def stored(path: Path) -> Document:
    return msgspec.json.decode(path.read_bytes(), type=Document) if path.exists() else Document([])


def store(path: Path, result: Result) -> None:
    """Add it to the document at `path`, in place of an earlier one of the same scenario, size and topology."""
    document = stored(path)
    key = (result.scenario, result.dispatchers, result.topology)
    kept = [old for old in document.results if (old.scenario, old.dispatchers, old.topology) != key]
    document.results = sorted([*kept, result], key=order)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(document), indent=1) + b"\n")


def order(result: Result) -> tuple[int, int, str]:
    names = list(BY_NAME)
    return result.dispatchers, names.index(result.scenario), result.topology


def main() -> None:
    options = docopt(__doc__)
    logs.configure(logs.LogSettings(level="warning"))
    for scenario in [] if options["--only-page"] else chosen(options):
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
        Path(options["--page"]).write_text(page.page(stored(Path(options["--json"]))))


if __name__ == "__main__":
    main()
