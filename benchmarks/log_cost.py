"""What a log line costs, by format, against the standard library's. Usage: python benchmarks/log_cost.py"""

import contextlib
import logging
import os
import sys
import time
from functools import partial

from badgerroad.net import logs

COUNT = 20_000


def timed(call):
    best = 1e9
    for _ in range(5):
        began = time.perf_counter()
        for n in range(COUNT):
            call(n)
        best = min(best, time.perf_counter() - began)
    return best / COUNT * 1e6


def main():
    with open(os.devnull, "w") as devnull, contextlib.redirect_stderr(devnull):
        rows = measured()
    print("| format | us a line |\n| --- | ---: |")
    for name, us in rows:
        print(f"| {name} | {us:.1f} |")


def answered(log, ms):
    log.info("answered", request="r1", cls="preview", status=200, ms=ms, attempts=1)


def measured():
    """(format, microseconds a line) of each way to write a line."""
    plain = logging.getLogger("plain")
    plain.propagate = False
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s.%(msecs)03d %(levelname)s %(message)s", "%H:%M:%S"))
    plain.addHandler(handler)
    plain.setLevel(logging.INFO)
    rows = [
        (
            "standard library",
            timed(lambda n: plain.info("%s %s: %d after %d ms, %d attempts", "r1", "preview", 200, n, 1)),
        )
    ]
    for form in ("console", "json"):
        logs.configure(logs.LogSettings(form, "info"))
        rows.append((form, timed(partial(answered, logs.get("x")))))
    logs.configure(logs.LogSettings("console", "warning"))
    log = logs.get("x")
    rows.append(("off by its level", timed(lambda n: log.info("answered", request="r1", cls="preview", status=200))))
    return rows


if __name__ == "__main__":
    main()
