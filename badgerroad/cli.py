"""badgerroad, a dispatcher that sends render jobs to workers.

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
  serve          Serve until SIGTERM, then answer the open requests and exit.
  control        Run a controller of the fleet's shared quotas until SIGTERM.
  check-config   Check the configuration, print a summary and exit.
  rehearse       Run a scenario in real time, with real dispatcher processes and emulated nodes, discovery and clients.
  emulate run    Run a scenario in virtual time, as fast as the machine allows.
  lab run        Execute the runs of an experiment; can be interrupted and resumed without losing or repeating a run.
  lab report     Write the tables and charts of an experiment.
  lab compare    Test whether two variants (A and B, each scenario/policy) differ: paired seeds, confidence interval.
  lab replay     Repeat one stored run, with its event log.
  lab theory     Compare the model with queueing theory.
  lab paper      Compare the model with the tables of the LC* paper.
  load           Send open-loop load to dispatchers and print latencies, measured from the intended send times.
  version        Print the version.

Options:
  --operator FILE  The operator's TOML file.
  --workers N      Number of server processes that share the address, to use several cores [default: 1].
  --seed N         Seed of a run; by default that of the scenario.
  --policy NAME    Dispatch policy: heathcrank or a baseline [default: heathcrank].
  --json FILE      Write the result as JSON.
  --log FILE       Write the event log as JSON lines.
  --logs DIR       Directory in which the dispatchers' logs are kept.
  --store FILE     Database of results [default: lab.sqlite].
  --out DIR        Directory for reports [default: report].
  --jobs N         Number of parallel processes; by default one for each core.
  --scale X        Length of the runs as a fraction of the full length [default: 1.0].
  --measure NAME   Measure to compare: figure, worth, worst_class or worst_window [default: figure].
  --rate R         Requests per second [default: 20].
  --seconds S      Duration of the load [default: 10].
  --classes LIST   Request classes and their shares, as name=share,name=share [default: preview=1].
  --trace FILE     CSV file of arrivals with the columns at_s, class, work_ms.
  -v --verbose     Log debugging details as well.
  -h --help        Show this text.

serve and check-config read their configuration from the JSON file that PROXY_CONFIG names; PROXY_NAME, PROXY_LISTEN and
PROXY_DISCOVERY override its fields name, listen and discovery. On SIGHUP the file is reloaded.

Exit codes: 0 success; 1 cannot listen, or a rehearsal violated a rule; 2 a file or an argument is invalid.
"""

from __future__ import annotations

import sys
from typing import Any

from badgerroad import __version__
from badgerroad.errors import ArgumentError, BadgerroadError

BAD_ARGUMENT = 2
# Each server process passes job events that it does not know to all others. With more processes this becomes most of
# the work.
MAX_SERVER_PROCESSES = 16


def main(arguments: list[str] | None = None) -> int:
    """Run the command that the arguments name and return its exit code."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments[:1] == ["serve"] and len(arguments) == 1:
        # The platform starts a dispatcher in this way. Parsing the help text takes time and is skipped here, since
        # other dispatchers may be restarting at the same time.
        from badgerroad.serving import main as serve

        return serve(False, None, False)
    from docopt import docopt

    options = docopt(__doc__ or "", argv=arguments)
    if options["version"]:
        print(f"badgerroad {__version__}")
        return 0
    if options["serve"] or options["check-config"]:
        from badgerroad.serving import main as serve

        workers = options["--workers"]
        if not workers.isdigit() or not 1 <= int(workers) <= MAX_SERVER_PROCESSES:
            return _print_error(
                ArgumentError(f"--workers: not a whole number from 1 to {MAX_SERVER_PROCESSES}: {workers!r}")
            )
        return serve(bool(options["check-config"]), options["--operator"], bool(options["--verbose"]), int(workers))
    if options["control"]:
        from badgerroad.fleet.controller import main as control

        return control(options["--operator"], bool(options["--verbose"]))
    return _run_tool(options)


def _run_tool(options: Any) -> int:
    """Run a command of the emulator or the laboratory, which `serve` never imports."""
    try:
        if options["rehearse"]:
            from badgerroad.emulator import rehearse

            return rehearse.main(
                options["SCENARIO"], _parse_seed(options["--seed"]), options["--json"], options["--logs"]
            )
        if options["load"]:
            from badgerroad.lab import load

            return load.main(
                options["URL"],
                float(options["--rate"]),
                float(options["--seconds"]),
                _parse_seed(options["--seed"]) or 1,
                options["--classes"],
                options["--trace"],
                options["--json"],
            )
        from badgerroad.lab import commands

        return commands.main(options)
    except ModuleNotFoundError as error:
        return _print_error(NotInstalledError(f"{error.name} is not installed"))
    except BadgerroadError as error:
        return _print_error(error)
    except ValueError as error:
        return _print_error(ArgumentError(str(error)))


class NotInstalledError(BadgerroadError):
    """A library that the emulator and the laboratory need is not installed."""

    code = "installed"
    remedy = "install it with pip install 'badgerroad[lab]'"


def _print_error(error: BadgerroadError) -> int:
    print(f"badgerroad: {error.line}", file=sys.stderr)
    return BAD_ARGUMENT


def _parse_seed(text: str | None) -> int | None:
    if text is None:
        return None
    if not text.isdigit():
        raise ArgumentError(f"--seed: not a whole number: {text!r}")
    return int(text)
