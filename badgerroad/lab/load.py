"""An open-loop load generator: requests go out when they are due, whatever became of earlier ones.

Latency counts from the intended send time, so a stalled dispatcher shows in it (Tene, "How not to measure latency").
"""

from __future__ import annotations

import asyncio
import re
import time
from pathlib import Path
from typing import NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from badgerroad.emulator.live.wire import Caller, CallFailedError, Pool
from badgerroad.emulator.model.kernel import Draws
from badgerroad.errors import ArgumentError
from badgerroad.net import http1

LONGEST = 600.0  # seconds; a load is bounded
MOST_RATE = 50_000.0  # requests a second
TIMEOUT_MS = 15_000  # how long each request waits
TOP_US = 60_000_000  # the histogram's range, at three digits
QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Arrival(NamedTuple):
    """One request to send."""

    at: float  # seconds from the start
    cls: str
    work_ms: float  # 0: no hint


def classes_of(text: str) -> list[tuple[str, float]]:
    """`name=share,name=share`. Raises ValueError."""
    out = []
    for part in text.split(","):
        name, equals, share = part.partition("=")
        if not name or not equals or not re.match(r"\d+(\.\d+)?\Z", share):
            raise ArgumentError(f"--classes: name=share expected: {part!r}")
        out.append((name.strip(), float(share)))
    if sum(s for _, s in out) <= 0:
        raise ArgumentError("--classes: shares must be above 0 together")
    return out


def poisson(rate: float, seconds: float, seed: int, classes: list[tuple[str, float]]) -> list[Arrival]:
    """Poisson arrivals, `rate` a second for `seconds`."""
    draws, at, out = Draws(seed, "load"), 0.0, []
    while (at := at + draws.exponential(1 / rate)) < seconds:
        out.append(Arrival(at, classes[draws.index([s for _, s in classes])][0], 0.0))
    return out


def trace(path: Path) -> list[Arrival]:
    """Raises ValueError, naming file and line."""
    out = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        cells = [c.strip() for c in line.split(",")]
        if not line.strip() or line.startswith("#") or cells[0] == "at_s":
            continue
        try:
            out.append(Arrival(float(cells[0]), cells[1], float(cells[2]) if len(cells) > 2 else 0.0))
        except (ValueError, IndexError) as e:
            raise ArgumentError(f"{path}: line {number}: at_s, class[, work_ms] expected") from e
    return sorted(out)


class Outcome:
    """What one class got, with its latencies in microseconds."""

    def __init__(self) -> None:
        """Nothing sent yet."""
        self.counts: dict[str, int] = {}
        self.histogram = HdrHistogram(1, TOP_US, 3)

    def add(self, what: str, took: int) -> None:
        """Count one answer; `took` in microseconds from the intended sending."""
        self.counts[what] = self.counts.get(what, 0) + 1
        self.histogram.record_value(min(max(took, 1), TOP_US))


def address_of(url: str) -> tuple[str, int]:
    """Loopback only: this is a tool for one's own machine. Raises ValueError."""
    match = re.match(r"http://(127(?:\.\d{1,3}){3}|localhost):(\d{1,5})/?\Z", url)
    if not match:
        raise ArgumentError(f"URL: http://127.0.0.1:PORT expected: {url!r}")
    return ("127.0.0.1" if match[1] == "localhost" else match[1]), int(match[2])


async def send(
    targets: list[tuple[str, int]], arrivals: list[Arrival], run: str, timeout_ms: int = TIMEOUT_MS
) -> dict[str, Outcome]:
    """Play the arrivals over the targets in turn; by class, what became of them."""
    loop = asyncio.get_running_loop()
    pool, outcomes, tasks = Pool(loop), dict[str, Outcome](), set[asyncio.Task[None]]()
    begun = loop.time()

    async def one(number: int, a: Arrival, due: float) -> None:
        """Send one request and count its answer."""
        headers = [
            (b"Request-Id", f"{run}-{number:x}".encode()),
            (b"Request-Class", a.cls.encode()),
            (b"Request-Timeout-Ms", b"%d" % timeout_ms),
            (b"Idempotency-Key", f"{run}-k{number:x}".encode()),
        ]
        if a.work_ms:
            headers.append((b"Work-Hint", b"%d" % int(a.work_ms * 1000)))
        data = http1.request(b"POST", f"/{a.cls}/{number:x}".encode(), "load", headers, b"load")
        held: list[Caller] = []
        try:
            answer = await asyncio.wait_for(
                pool.call(targets[number % len(targets)], data, held.append), timeout_ms / 1000 + 0.1
            )
            what = str(answer.status)
        except TimeoutError:
            what = "unanswered"
            for caller in held:
                caller.close()
        except CallFailedError as e:
            what = str(e)
        outcomes.setdefault(a.cls, Outcome()).add(what, int((loop.time() - due) * 1e6))

    for number, a in enumerate(arrivals):
        due = begun + a.at
        if due > loop.time():
            await asyncio.sleep(due - loop.time())
        task = asyncio.ensure_future(one(number, a, due))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    while tasks:
        await asyncio.wait(set(tasks))
    pool.close()
    return outcomes


def summary(outcomes: dict[str, Outcome], seconds: float) -> dict[str, object]:
    """Latencies in milliseconds, of all answers whatever they said."""

    def of(o: Outcome) -> dict[str, object]:
        """The counts and latencies of one class."""
        return {
            "counts": dict(sorted(o.counts.items())),
            "max_ms": o.histogram.get_max_value() / 1000,
            **{f"p{q:g}_ms": o.histogram.get_value_at_percentile(q) / 1000 for q in QUANTILES},
        }

    return {"seconds": round(seconds, 3), "classes": {name: of(o) for name, o in sorted(outcomes.items())}}


def main(
    urls: list[str],
    rate: float,
    seconds: float,
    seed: int,
    classes: str,
    trace_file: str | None,
    json_file: str | None,
) -> int:
    """Run `badgerroad load`; returns the exit code."""
    targets = [address_of(u) for u in urls]
    if not 0 < rate <= MOST_RATE:
        raise ArgumentError(f"--rate: must be above 0 and at most {MOST_RATE:.0f}")
    if not 0 < seconds <= LONGEST:
        raise ArgumentError(f"--seconds: must be above 0 and at most {LONGEST:.0f}")
    arrivals = trace(Path(trace_file)) if trace_file else poisson(rate, seconds, seed, classes_of(classes))
    if arrivals and arrivals[-1].at > LONGEST:
        raise ArgumentError(f"--trace: must end within {LONGEST:.0f} s")
    began = time.perf_counter()
    outcomes = asyncio.run(send(targets, arrivals, f"l{seed:x}{time.time_ns():x}"))
    data = msgspec.json.format(msgspec.json.encode(summary(outcomes, time.perf_counter() - began)), indent=1)
    if json_file:
        Path(json_file).write_bytes(data)
    print(data.decode())
    return 0
