"""Open-loop load generator: sends each request when it is due, without waiting for earlier answers.

Latency is measured from the intended send time, so that it includes the time for which a stalled dispatcher delays
requests (Tene, "How not to measure latency").
"""

from __future__ import annotations

import asyncio
import re
import time
from pathlib import Path
from typing import NamedTuple

import msgspec
from hdrh.histogram import HdrHistogram

from badgerroad.emulator.live.wire import CallFailedError, ClientConnection, ConnectionPool
from badgerroad.emulator.model.kernel import Draws
from badgerroad.errors import ArgumentError
from badgerroad.net import http1

MAX_DURATION_S = 600.0  # longest duration of a load that is accepted
MAX_RATE_PER_S = 50_000.0
TIMEOUT_MS = 15_000  # timeout of each request
HISTOGRAM_MAX_US = 60_000_000  # longer latencies are recorded as this value; resolution: three significant digits
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Arrival(NamedTuple):
    """A request that the generator sends."""

    at: float  # time to send the request, in seconds from the start of the load
    cls: str
    work_ms: float  # sent as a work hint unless it is 0


def parse_classes(text: str) -> list[tuple[str, float]]:
    """Parse class shares given as `name=share,name=share`. Raises ArgumentError, a ValueError."""
    out = []
    for part in text.split(","):
        name, separator, share = part.partition("=")
        if not name or not separator or not re.match(r"\d+(\.\d+)?\Z", share):
            raise ArgumentError(f"--classes: expected name=share: {part!r}")
        out.append((name.strip(), float(share)))
    if sum(share for _, share in out) <= 0:
        raise ArgumentError("--classes: the sum of the shares must be above 0")
    return out


def poisson(rate: float, seconds: float, seed: int, classes: list[tuple[str, float]]) -> list[Arrival]:
    """Return Poisson arrivals at `rate` requests a second over `seconds`."""
    draws, at, out = Draws(seed, "load"), 0.0, []
    while (at := at + draws.exponential(1 / rate)) < seconds:
        out.append(Arrival(at, classes[draws.index([share for _, share in classes])][0], 0.0))
    return out


def read_trace(path: Path) -> list[Arrival]:
    """Read arrivals from a CSV file with `at_s, class[, work_ms]` lines, sorted by time.

    Raises ArgumentError, a ValueError that names file and line.
    """
    out = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        cells = [cell.strip() for cell in line.split(",")]
        if not line.strip() or line.startswith("#") or cells[0] == "at_s":
            continue
        try:
            out.append(Arrival(float(cells[0]), cells[1], float(cells[2]) if len(cells) > 2 else 0.0))
        except (ValueError, IndexError) as e:
            raise ArgumentError(f"{path}: line {number}: expected at_s, class[, work_ms]: {line!r}") from e
    return sorted(out)


class ClassOutcomes:
    """Counts of the outcomes of one class, and a histogram of its latencies in microseconds."""

    def __init__(self) -> None:
        """Create empty counts and an empty histogram."""
        self.counts: dict[str, int] = {}
        self.histogram = HdrHistogram(1, HISTOGRAM_MAX_US, 3)

    def add(self, outcome: str, latency_us: int) -> None:
        """Count one outcome, and record its latency from the intended send time in microseconds."""
        self.counts[outcome] = self.counts.get(outcome, 0) + 1
        self.histogram.record_value(min(max(latency_us, 1), HISTOGRAM_MAX_US))


def parse_address(url: str) -> tuple[str, int]:
    """Return host and port of a URL. Raises ArgumentError, a ValueError.

    Only loopback addresses are accepted, so that load reaches no other machine.
    """
    match = re.match(r"http://(127(?:\.\d{1,3}){3}|localhost):(\d{1,5})/?\Z", url)
    if not match:
        raise ArgumentError(f"URL: expected http://127.0.0.1:PORT: {url!r}")
    return ("127.0.0.1" if match[1] == "localhost" else match[1]), int(match[2])


async def send(
    targets: list[tuple[str, int]], arrivals: list[Arrival], run: str, timeout_ms: int = TIMEOUT_MS
) -> dict[str, ClassOutcomes]:
    """Send the requests of `arrivals` to the targets in rotation, and return the outcomes by request class."""
    loop = asyncio.get_running_loop()
    pool, outcomes, tasks = ConnectionPool(loop), dict[str, ClassOutcomes](), set[asyncio.Task[None]]()
    started_at = loop.time()

    async def send_one(number: int, arrival: Arrival, due: float) -> None:
        """Send one request and count its outcome."""
        headers = [
            (b"Request-Id", f"{run}-{number:x}".encode()),
            (b"Request-Class", arrival.cls.encode()),
            (b"Request-Timeout-Ms", b"%d" % timeout_ms),
            (b"Idempotency-Key", f"{run}-k{number:x}".encode()),
        ]
        if arrival.work_ms:
            headers.append((b"Work-Hint", b"%d" % int(arrival.work_ms * 1000)))
        data = http1.request(b"POST", f"/{arrival.cls}/{number:x}".encode(), "load", headers, b"load")
        connections: list[ClientConnection] = []
        try:
            answer = await asyncio.wait_for(
                pool.call(targets[number % len(targets)], data, connections.append), timeout_ms / 1000 + 0.1
            )
            outcome = str(answer.status)
        except TimeoutError:
            outcome = "unanswered"
            for connection in connections:
                connection.close()
        except CallFailedError as e:
            outcome = str(e)
        outcomes.setdefault(arrival.cls, ClassOutcomes()).add(outcome, int((loop.time() - due) * 1e6))

    for number, arrival in enumerate(arrivals):
        due = started_at + arrival.at
        if due > loop.time():
            await asyncio.sleep(due - loop.time())
        task = asyncio.ensure_future(send_one(number, arrival, due))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    while tasks:
        await asyncio.wait(set(tasks))
    pool.close()
    return outcomes


def summary(outcomes: dict[str, ClassOutcomes], seconds: float) -> dict[str, object]:
    """Return counts and latencies in milliseconds by class. Latencies are of all requests, whatever their outcome."""

    def class_summary(class_outcomes: ClassOutcomes) -> dict[str, object]:
        """Return the counts and latencies of one class."""
        return {
            "counts": dict(sorted(class_outcomes.counts.items())),
            "max_ms": class_outcomes.histogram.get_max_value() / 1000,
            **{
                f"p{percentile:g}_ms": class_outcomes.histogram.get_value_at_percentile(percentile) / 1000
                for percentile in PERCENTILES
            },
        }

    return {
        "seconds": round(seconds, 3),
        "classes": {name: class_summary(class_outcomes) for name, class_outcomes in sorted(outcomes.items())},
    }


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
    targets = [parse_address(url) for url in urls]
    if not 0 < rate <= MAX_RATE_PER_S:
        raise ArgumentError(f"--rate: must be above 0 and at most {MAX_RATE_PER_S:.0f}, got {rate:g}")
    if not 0 < seconds <= MAX_DURATION_S:
        raise ArgumentError(f"--seconds: must be above 0 and at most {MAX_DURATION_S:.0f}, got {seconds:g}")
    arrivals = read_trace(Path(trace_file)) if trace_file else poisson(rate, seconds, seed, parse_classes(classes))
    if arrivals and arrivals[-1].at > MAX_DURATION_S:
        raise ArgumentError(f"--trace: must end within {MAX_DURATION_S:.0f} s, ends at {arrivals[-1].at:g} s")
    began = time.perf_counter()
    outcomes = asyncio.run(send(targets, arrivals, f"l{seed:x}{time.time_ns():x}"))
    data = msgspec.json.format(msgspec.json.encode(summary(outcomes, time.perf_counter() - began)), indent=1)
    if json_file:
        Path(json_file).write_bytes(data)
    print(data.decode())
    return 0
