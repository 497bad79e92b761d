"""Plays disturbances from the command line; the exit code is 1 if the memory went over its limit or requests were lost."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from benchmarks.memory_pressure.disturbances import KINDS
from benchmarks.memory_pressure.platform import Limits
from benchmarks.memory_pressure.run import SETTLE_S, play


def main() -> int:
    """Parse the command line and play the disturbances."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.memory_pressure")
    parser.add_argument(
        "--kinds",
        default=",".join(KINDS),
        help="the disturbances, with commas between them, or + " "between those that follow one another in one run",
    )
    parser.add_argument("--upgrade", action="store_true", help="a second process takes over during the first one")
    parser.add_argument("--memory-mb", type=int, default=96)
    parser.add_argument("--descriptors", type=int, default=512)
    parser.add_argument("--scale", type=float, default=1.0, help="part of the full number of clients and time")
    parser.add_argument(
        "--settle", type=float, default=SETTLE_S, help="seconds between the disturbance and its last figure"
    )
    parser.add_argument("--without-kill", action="store_true", help="let the memory go beyond its limit")
    options = parser.parse_args()
    limits = Limits(options.memory_mb, options.descriptors)
    failed = False
    for kind in options.kinds.split(","):
        with tempfile.TemporaryDirectory() as folder:
            outcome = asyncio.run(
                play(
                    kind.split("+"),
                    limits,
                    Path(folder),
                    options.scale,
                    options.settle,
                    not options.without_kill,
                    options.upgrade,
                )
            )
        print(outcome, flush=True)
        failed |= bool(outcome.lost) or outcome.peak_mb > limits.memory_mb
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
