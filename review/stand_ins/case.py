"""Runs a case: its folder for temporary files, its record, its switch `TROUBLE` and its exit code."""

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from pathlib import Path

from stand_ins.record import Record

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
TIME_LIMIT_S = 110
LOGGED_LINES = 40  # of a dispatcher's log, if the case could not run


class Case:
    """What a scenario needs: the record, a temporary folder, and whether to play the disruption."""

    def __init__(self, script):
        """`script`: the file of the case, beside which the record is written."""
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(Path(script).resolve().parent)
        self.folder = ""
        self.dispatchers = []

    def keep_logs(self):
        """Record the end of each dispatcher's log, whose folder is about to be removed."""
        for log in sorted(Path(self.folder).glob("*.log")):
            lines = log.read_text(errors="replace").splitlines()[-LOGGED_LINES:]
            self.record.add("log", file=log.name, lines=lines)

    async def end(self):
        """End all dispatchers of the case."""
        for dispatcher in self.dispatchers:
            await dispatcher.end()


async def _play(case, scenario):
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            return await scenario(case)
    except Exception:
        case.keep_logs()
        raise
    finally:
        await case.end()


def main(script, scenario):
    """Play `scenario(case)`, which returns the violations, and exit with the code of the case."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # the dispatchers are ended first
    case = Case(script)
    case.record.add("case", trouble=case.trouble)
    try:
        with tempfile.TemporaryDirectory() as folder:
            case.folder = folder
            violations = asyncio.run(_play(case, scenario))
    except Exception:
        case.record.add("could_not_run", error=traceback.format_exc())
        print("the case could not run; see record.txt", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
    for violation in violations:
        case.record.add("violation", text=violation)
        print(violation)
    case.record.add("verdict", broken=bool(violations))
    print("broken" if violations else "held")
    sys.exit(BROKEN if violations else HELD)
