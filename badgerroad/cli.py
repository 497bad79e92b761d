"""badgerroad, a dispatcher that pushes render jobs to workers.

Usage:
  badgerroad serve [--operator FILE] [--workers N] [--verbose]
  badgerroad control --operator FILE [--verbose]
  badgerroad check-config [--operator FILE]
  badgerroad rehearse SCENARIO [--seed N] [--json FILE] [--logs DIR]
  badgerroad emulate run SCENARIO [--seed N] [--policy NAME] [--json FILE] [--log FILE]
  badgerroad lab run EXPERIMENT [--store FILE] [--jobs N]
  badgerroad lab report EXPERIMENT [--store FILE] [--out DIR]
  badgerroad lab compare A B [--store FILE] [--measure NAME]
  badgerroad lab replay ID [--store FILE] [--log FILE]
  badgerroad lab (theory | paper) [--out DIR] [--scale X] [--jobs N]
  badgerroad load URL... [--rate R] [--seconds S] [--seed N] [--classes LIST] [--trace FILE] [--json FILE]
  badgerroad version
  badgerroad (-h | --help)

Commands:
  serve          Serve until SIGTERM, then answer what is owed and exit.
  control        Run a controller of the fleet's quotas until SIGTERM.
  check-config   Read the configuration, say what it holds, and exit.
  rehearse       Play a scenario live: nodes, discovery and clients on loopback, real dispatcher processes.
  emulate run    Play a scenario in virtual time, as fast as the machine allows.
  lab run        Play an experiment's grid; may be stopped and started again without losing or repeating a run.
  lab report     Write an experiment's tables and charts.
  lab compare    Say whether two variants differ, with paired seeds and an interval. A and B: scenario/policy.
  lab replay     Play one stored run again, with its event log.
  lab theory     Hold the model against queueing theory.
  lab paper      Hold it against the tables of the LC* paper.
  load           Send an open-loop load to dispatchers and print latencies from the intended send times.
  version        Print the version.

Options:
  --operator FILE  The operator's own TOML file.
  --workers N      Processes on the one address, for more cores than one [default: 1].
  --seed N         Seed of a run; the scenario's own without it.
  --policy NAME    Whose decisions: heathcrank or a baseline [default: heathcrank].
  --json FILE      Write the result as JSON.
  --log FILE       Write the event log as JSON lines.
  --logs DIR       Keep the dispatchers' logs here.
  --store FILE     Results [default: lab.sqlite].
  --out DIR        Where reports go [default: report].
  --jobs N         Processes; all cores without it.
  --scale X        Part of the full length [default: 1.0].
  --measure NAME   figure, worth, worst_class or worst_window [default: figure].
  --rate R         Requests a second [default: 20].
  --seconds S      How long [default: 10].
  --classes LIST   name=share,name=share [default: preview=1].
  --trace FILE     Arrivals from a CSV file: at_s, class, work_ms.
  -v --verbose     Log debugging details too.
  -h --help        Show this text.

serve and check-config take their configuration from PROXY_CONFIG, a JSON file; PROXY_NAME, PROXY_LISTEN and
PROXY_DISCOVERY override its fields name, listen and discovery. On SIGHUP it is read anew.

Exit codes: 0 done; 1 cannot listen, or a rehearsal broke a rule; 2 a file or an argument is wrong.
"""

from __future__ import annotations

import sys
from typing import Any

from badgerroad import __version__
from badgerroad.errors import ArgumentError, BadgerroadError

BAD_ARGUMENT = 2
MOST_WORKERS = 16  # each tells all others of call-backs that it does not know: with more, that is most of the work


def main(arguments: list[str] | None = None) -> int:
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments[:1] == ["serve"] and len(arguments) == 1:
        # How the platform starts it: while a dispatcher restarts others may too, and parsing this page takes time.
        from badgerroad.serving import main as serve

        return serve(False, None, False)
    from docopt import docopt

    o = docopt(__doc__ or "", argv=arguments)
    if o["version"]:
        print(f"badgerroad {__version__}")
        return 0
    if o["serve"] or o["check-config"]:
        from badgerroad.serving import main as serve

        workers = o["--workers"]
        if not workers.isdigit() or not 1 <= int(workers) <= MOST_WORKERS:
            return _say(ArgumentError(f"--workers: not a whole number from 1 to {MOST_WORKERS}: {workers!r}"))
        return serve(bool(o["check-config"]), o["--operator"], bool(o["--verbose"]), int(workers))
    if o["control"]:
        from badgerroad.fleet.controller import main as control

        return control(o["--operator"], bool(o["--verbose"]))
    return _tools(o)


def _tools(o: Any) -> int:
    """What `serve` never imports."""
    try:
        if o["rehearse"]:
            from badgerroad.emulator import rehearse

            return rehearse.main(o["SCENARIO"], _number(o["--seed"]), o["--json"], o["--logs"])
        if o["load"]:
            from badgerroad.lab import load

            return load.main(
                o["URL"],
                float(o["--rate"]),
                float(o["--seconds"]),
                _number(o["--seed"]) or 1,
                o["--classes"],
                o["--trace"],
                o["--json"],
            )
        from badgerroad.lab import commands

        return commands.main(o)
    except ModuleNotFoundError as e:
        return _say(NotInstalledError(f"{e.name} is not installed"))
    except BadgerroadError as e:
        return _say(e)
    except ValueError as e:
        return _say(ArgumentError(str(e)))


class NotInstalledError(BadgerroadError):
    """A library of the emulator and the laboratory is missing."""

    code = "installed"
    remedy = "pip install 'badgerroad[lab]' brings it"


def _say(error: BadgerroadError) -> int:
    print(f"badgerroad: {error.line}", file=sys.stderr)
    return BAD_ARGUMENT


def _number(text: str | None) -> int | None:
    if text is None:
        return None
    if not text.isdigit():
        raise ArgumentError(f"--seed: not a whole number: {text!r}")
    return int(text)
