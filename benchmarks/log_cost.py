"""Measures the time to write a log line in each format, and with the standard library.

Usage: python benchmarks/log_cost.py
"""

import contextlib
import logging
import os
import sys
import time
from functools import partial

from badgerroad.net import logs

LINES_PER_ROUND = 20_000


def microseconds_per_line(write_line):
    """Return the time that `write_line(number)` takes, in the fastest of five rounds."""
    best_s = 1e9
    for _ in range(5):
        started = time.perf_counter()
        for number in range(LINES_PER_ROUND):
            write_line(number)
        best_s = min(best_s, time.perf_counter() - started)
    return best_s / LINES_PER_ROUND * 1e6


def main():
    with open(os.devnull, "w") as devnull, contextlib.redirect_stderr(devnull):
        rows = measure()
    print("| format | us a line |\n| --- | ---: |")
    for name, duration_us in rows:
        print(f"| {name} | {duration_us:.1f} |")


def log_answer(log, duration_ms):
    log.info("answered", request="r1", cls="preview", status=200, ms=duration_ms, attempts=1)


def measure():
    """Return (format, microseconds per line) of each way to write a line."""
    plain = logging.getLogger("plain")
    plain.propagate = False
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s.%(msecs)03d %(levelname)s %(message)s", "%H:%M:%S"))
    plain.addHandler(handler)
    plain.setLevel(logging.INFO)
    rows = [
        (
            "standard library",
            microseconds_per_line(
                lambda n: plain.info("%s %s: %d after %d ms, %d attempts", "r1", "preview", 200, n, 1)
            ),
        )
    ]
    for log_format in ("console", "json"):
        logs.configure(logs.LogSettings(log_format, "info"))
        rows.append((log_format, microseconds_per_line(partial(log_answer, logs.get("x")))))
    logs.configure(logs.LogSettings("console", "warning"))
    log = logs.get("x")
    rows.append(
        (
            "off by its level",
            microseconds_per_line(lambda n: log.info("answered", request="r1", cls="preview", status=200)),
        )
    )
    return rows


if __name__ == "__main__":
    main()
