"""Stand-ins for the clients, workers, discovery and network of one dispatcher, on loopback and the real clock.

A case starts a dispatcher with the `run` line of the deploy file, and plays its surroundings in one asyncio process.
Everything that crosses a socket is written to the record. Nothing here looks into the dispatcher.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
SETTINGS: dict[str, Any] = {
    "siblings": 1,
    "index": 0,
    "tickUs": 2000,
    "zone": 0,
    "zones": ["paseo-colon", "barracas"],
    "hostTypes": ["std-4c", "wide-5c"],
    "registryMode": "subscribe",
    "worthBy": "work",
    "requestClasses": [],
    "permissions": {
        "tryLimit": 4,
        "secondCopies": True,
        "cancelling": True,
        "probes": True,
        "retryAfter": True,
        "maxRetryAfterUs": 2000000,
        "connIdleUs": 60000000,
        "connectTimeoutUs": 150000,
    },
    "obligations": {
        "answerSlackUs": 8000,
        "askWithinUs": 10000000,
        "stopSendingWithinUs": 500000,
        "coldFrom": 0.13,
        "coldUs": 24000000,
        "fallMultiple": 3.0,
        "overloadForUs": 3000000,
    },
    "callers": {"marksRetry": True},
    "familyInfo": {"tellsStart": True, "progressUs": 1000000, "classStretch": []},
    "report": {"names": ["rps", "active", "x0", "x1"], "via": "probe"},
    "deductions": {"crossZone": 0.029, "waste": 0.04, "lateFail": 0.08, "probe": 0.002},
}


class NotRunError(Exception):
    """The case could not be played, for example because a process did not start."""


class Head(NamedTuple):
    """The first line and the headers (names in lower case) of an HTTP message."""

    line: str
    headers: dict[str, str]


def request_class(name: str, semantics: str, **fields: Any) -> dict[str, Any]:
    """Return a class of the settings, with figures of the site `onmc-caba` unless given."""
    return {
        "name": name,
        "semantics": semantics,
        "group": "all",
        "goalTimeUs": 1000000,
        "deadlineUs": 15000000,
        "dedupWindowUs": 25000000,
        "worth": 5.0,
        "lateWorth": 0.0,
        "stream": False,
        **fields,
    }


def settings(classes: list[dict[str, Any]], stretch: float = 2.5, **sections: Any) -> dict[str, Any]:
    """Return settings of a small deployment; `sections` holds changes of top-level values, or of keys of objects."""
    changed = json.loads(json.dumps(SETTINGS))
    changed["requestClasses"] = classes
    changed["familyInfo"]["classStretch"] = [stretch] * len(classes)
    for name, value in sections.items():
        if isinstance(value, dict):
            changed[name] = {**changed.get(name, {}), **value}
        else:
            changed[name] = value
    return changed


def free_port() -> int:
    """Return a port that no one uses now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def read_message(reader: asyncio.StreamReader) -> tuple[Head, bytes] | None:
    """Read one HTTP message with a Content-Length, or return None if the connection has ended."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *lines = text.strip("\r\n").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (each.partition(":") for each in lines)}
        return Head(line, headers), await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, OSError):
        return None


def response(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """Return the bytes of an HTTP response."""
    return f"HTTP/1.1 {status} Status\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, path: Path) -> None:
        """Write to `path` when the case ends."""
        self.path = path
        self.started_at = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def add(self, what: str, **fields: Any) -> None:
        """Add a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{self.now():8.3f} {what} {text}")

    def write(self) -> None:
        """Write all lines to the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


class Attempt(NamedTuple):
    """A request that a worker has received completely."""

    at: float
    id: str
    worker: str
    number: int  # counts the attempts of this request at all workers, from 1
    first_byte_at: float


JobHandler = Callable[["Worker", Attempt, Head, bytes, asyncio.StreamWriter], Awaitable[None]]


class Worker:
    """A worker: takes requests, and reports on them by job events, each repeated until it is answered."""

    def __init__(self, world: World, name: str, zone: str = "paseo-colon", cell: int = 0) -> None:
        """Create a worker that is not listening yet."""
        self.world, self.name, self.zone, self.cell = world, name, zone, cell
        self.health, self.born_ms = "ready", 0
        self.port = 0
        self.events_to: int | None = None  # port to which job events are sent, if not that of the dispatcher
        self.repeat_after_s = 0.3
        self.running: dict[str, asyncio.Task[None]] = {}
        self.server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Start to listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        """Return the entry of the endpoint list."""
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{self.port}",
            "site": self.zone,
            "class": "std-4c",
            "block": self.cell,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.world.writers.add(writer)
        with contextlib.suppress(OSError):
            while True:
                first = await reader.read(1)
                first_byte_at = self.world.record.now()
                if not first:
                    break
                message = await self._rest_of(first, reader)
                if message is None:
                    break
                await self._handle(*message, writer, first_byte_at)
        writer.close()

    @staticmethod
    async def _rest_of(first: bytes, reader: asyncio.StreamReader) -> tuple[Head, bytes] | None:
        message = await read_message(reader)
        if message is None:
            return None
        head, body = message
        return Head(first.decode("latin-1") + head.line, head.headers), body

    async def _handle(self, head: Head, body: bytes, writer: asyncio.StreamWriter, first_byte_at: float) -> None:
        method, target = head.line.split(" ")[:2]
        if method == "GET":
            await self.answer(writer, response(200, b"rps=1,active=1,x0=2,x1=2"))
        elif method == "DELETE":
            request_id = target.rpartition("/")[2]
            task = self.running.pop(request_id, None)
            self.world.record.add("cancelled", id=request_id, worker=self.name, known=task is not None)
            if task is not None:
                task.cancel()
            await self.answer(writer, response(200 if task is not None else 404))
        else:
            attempt = self.world.receive(self, head, first_byte_at)
            await self.world.handle_job(self, attempt, head, body, writer)

    async def answer(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write an answer."""
        with contextlib.suppress(OSError):
            writer.write(data)
            await writer.drain()

    async def accept(self, attempt: Attempt, writer: asyncio.StreamWriter, duration_s: float) -> None:
        """Answer 202 and run the job."""
        await self.answer(writer, response(202))
        self.start(attempt, duration_s)

    def start(self, attempt: Attempt, duration_s: float) -> None:
        """Run the job: report its start, its progress every second, and its end."""
        self.world.record.add("accepted", id=attempt.id, worker=self.name, attempt=attempt.number)
        self.running[attempt.id] = self.world.begin(self._run(attempt, duration_s))

    async def turn_away(self, attempt: Attempt, writer: asyncio.StreamWriter) -> None:
        """Answer that the job is not taken and never runs."""
        self.world.record.add("turned_away", id=attempt.id, worker=self.name, attempt=attempt.number)
        await self.answer(writer, response(503, b"full\n", "Not-Started: 1\r\n"))

    async def _run(self, attempt: Attempt, duration_s: float) -> None:
        record = self.world.record
        record.add("run_begins", id=attempt.id, worker=self.name, attempt=attempt.number)
        self.world.runs.append(Run(attempt, record.now()))
        run = self.world.runs[-1]
        try:
            self.world.begin(self.report(attempt.id, "started"))
            ends_at = record.now() + duration_s
            while record.now() + 1 < ends_at:
                await asyncio.sleep(1)
                share = round(1 - (ends_at - record.now()) / duration_s, 2)
                self.world.begin(self.report(attempt.id, "running", share=share))
            await asyncio.sleep(max(ends_at - record.now(), 0))
            run.completed = True
            record.add("run_completed", id=attempt.id, worker=self.name, attempt=attempt.number)
            self.running.pop(attempt.id, None)
            await self.report(attempt.id, "done", result=f"result of {attempt.id}")
        finally:
            run.ended_at = record.now()

    async def report(self, request_id: str, state: str, **fields: Any) -> None:
        """Make a job event's call until it is answered, at most ten times."""
        body = json.dumps({"id": request_id, "from": self.name, "state": state, **fields}).encode()
        for number in range(1, 11):
            status = await self.call_once(body)
            self.world.record.add(
                "job_event", id=request_id, worker=self.name, state=state, call=number, answer=status or "none"
            )
            if status in (200, 204):
                return
            await asyncio.sleep(self.repeat_after_s)

    async def call_once(self, body: bytes) -> int:
        """Make one call to the dispatcher; returns the status of its answer, 0 without one."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(2):
                port = self.events_to or self.world.port
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                head = f"POST /v1/job-events HTTP/1.1\r\nHost: d\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                message = await read_message(reader)
                writer.close()
                return int(message[0].line.split(" ")[1]) if message else 0
        return 0


class Run:
    """One execution of a request at a worker."""

    def __init__(self, attempt: Attempt, began_at: float) -> None:
        """Record the start of a run."""
        self.attempt, self.began_at = attempt, began_at
        self.ended_at: float | None = None
        self.completed = False


class AnswerLosingProxy:
    """A network path to the dispatcher that, while `losing`, resets each connection when the answer comes back."""

    def __init__(self, world: World) -> None:
        """Create a path that loses nothing."""
        self.world = world
        self.losing = False
        self.lost = 0

    async def listen(self) -> int:
        """Start, and return the port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.world.servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.world.writers.add(writer)
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.world.port)
        except OSError:
            reset(writer)
            return
        back = self.world.begin(self._copy_back(to_reader, writer, to_writer))
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                to_writer.write(data)
        await back

    async def _copy_back(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.losing:
                    self.lost += 1
                    self.world.record.add("network_loses_answer", bytes=len(data))
                    reset(writer)
                    break
                writer.write(data)
        to_writer.close()
        writer.close()


class Discovery:
    """Discovery: one list for all, with watches. `refuses` makes every call end in 503."""

    def __init__(self, world: World) -> None:
        """Start with version 1 of the list."""
        self.world = world
        self.version = 1
        self.changed_at: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.refuses = False
        self.refuse_after_s = 0.0
        self.port = 0
        self.calls = 0

    async def listen(self) -> None:
        """Start to listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.world.servers.append(server)
        self.port = server.sockets[0].getsockname()[1]

    def change(self, worker: Worker, **fields: Any) -> None:
        """Change a worker's entry, and answer the watches."""
        for name, value in fields.items():
            setattr(worker, name, value)
        self.version += 1
        self.changed_at[worker.name] = self.version
        self.world.record.add("list_changed", seq=self.version, worker=worker.name, **fields)
        self.changed.set()
        self.changed = asyncio.Event()

    def listing(self, after: int | None = None) -> dict[str, Any]:
        """Return the whole list, or the changes after a version."""
        workers = [
            each
            for each in self.world.workers.values()
            if (after is None and each.health != "gone")
            or (after is not None and self.changed_at.get(each.name, 1) > after)
        ]
        return {"seq": self.version, "whole": after is None, "hosts": [each.entry() for each in workers]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.world.writers.add(writer)
        with contextlib.suppress(OSError):
            while message := await read_message(reader):
                self.calls += 1
                target = message[0].line.split(" ")[1]
                query = dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&"))
                if self.refuses:
                    await asyncio.sleep(self.refuse_after_s)
                    self.world.record.add("discovery_refuses", target=target)
                    writer.write(response(503))
                    continue
                after = int(query["index"]) if "index" in query else None
                if after is not None and after >= self.version:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), int(query.get("wait", 0)) / 1000)
                if self.refuses:  # a watch ends when discovery no longer serves it
                    writer.write(response(503))
                    continue
                listing = self.listing(after)
                if listing["hosts"]:
                    self.world.record.add("list_told", seq=listing["seq"], entries=len(listing["hosts"]))
                writer.write(response(200, json.dumps(listing).encode()))
        writer.close()


class Dispatcher:
    """One process of the dispatcher, started by the `run` line of the deploy file."""

    def __init__(self, world: World, number: int) -> None:
        """Prepare process `number`."""
        self.world, self.number = world, number
        self.ops_port = free_port()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process; it may not be ready yet."""
        line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        world = self.world
        environment = {
            **os.environ,
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": f"127.0.0.1:{world.port}",
            "PROXY_DISCOVERY": f"127.0.0.1:{world.discovery.port}",
            "PROXY_CONFIG": str(world.config_path),
            "TMPDIR": str(world.folder / "tmp"),
        }
        environment.pop("PROXY_OPS", None)
        if world.with_ops:
            environment["PROXY_OPS"] = f"127.0.0.1:{self.ops_port}"
        with open(world.folder / f"dispatcher-{self.number}.log", "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", line, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        world.record.add("dispatcher_started", process=self.number)

    async def ready(self, limit_s: float = 20.0) -> None:
        """Wait until the process accepts clients. Raises NotRunError."""
        port, path = (self.ops_port, "/ready") if self.world.with_ops else (self.world.port, "/-/ready")
        ends_at = self.world.record.now() + limit_s
        while self.world.record.now() < ends_at:
            if self.process is None or self.process.returncode is not None:
                raise NotRunError(f"process {self.number} has ended")
            if await status_of(port, path) == 200:
                self.world.record.add("dispatcher_ready", process=self.number)
                return
            await asyncio.sleep(0.02)
        raise NotRunError(f"process {self.number} is not ready")

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.world.record.add("signal", process=self.number, signal=signal.Signals(number).name)
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


async def status_of(port: int, path: str) -> int:
    """Return the status of a GET, 0 without an answer."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
            message = await read_message(reader)
            writer.close()
            return int(message[0].line.split(" ")[1]) if message else 0
    return 0


class Answer(NamedTuple):
    """What a client got: status 0 if its connection ended without an answer, -1 if its time ran out."""

    status: int
    body: bytes
    sent_at: float
    at: float


class World:
    """The dispatcher's surroundings in one case."""

    def __init__(self, folder: Path, record: Record, used_settings: dict[str, Any], with_ops: bool = False) -> None:
        """Create the surroundings; `open` starts them."""
        self.folder, self.record, self.with_ops = folder, record, with_ops
        self.settings = used_settings
        self.config_path = folder / "config.json"
        self.limits: dict[str, float] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
        self.port = 0  # of the dispatcher; chosen when all others listen
        self.workers: dict[str, Worker] = {}
        self.discovery = Discovery(self)
        self.dispatchers: list[Dispatcher] = []
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.attempts: list[Attempt] = []
        self.attempt_counts: Counter[str] = Counter()
        self.runs: list[Run] = []
        self.answers: dict[str, Answer] = {}
        self.ids = itertools.count(1)
        self.handle_job: JobHandler = accept_at_once

    def begin(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine beside the case."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def add_worker(self, name: str, **fields: Any) -> Worker:
        """Add a worker that listens."""
        worker = self.workers[name] = Worker(self, name, **fields)
        await worker.listen()
        return worker

    def write_config(self, **fields: Any) -> None:
        """Write the configuration file."""
        data = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": os.environ.get("CASE_SEED", "8c1f30d27a5be964"),
            "limits": self.limits,
            "known": self.discovery.listing(),
            "settings": self.settings,
            **fields,
        }
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(data))
        temporary.replace(self.config_path)

    async def open(self) -> None:
        """Start discovery, write the configuration, and start the first process."""
        (self.folder / "tmp").mkdir(exist_ok=True)
        await self.discovery.listen()
        self.port = free_port()
        self.write_config()
        await (await self.start_dispatcher()).ready()

    async def start_dispatcher(self) -> Dispatcher:
        """Start a process of the dispatcher."""
        dispatcher = Dispatcher(self, len(self.dispatchers))
        self.dispatchers.append(dispatcher)
        await dispatcher.start()
        return dispatcher

    async def close(self) -> None:
        """End all processes and servers."""
        for dispatcher in self.dispatchers:
            await dispatcher.end()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for server in [*self.servers, *(each.server for each in self.workers.values() if each.server)]:
            server.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0.05)

    def receive(self, worker: Worker, head: Head, first_byte_at: float) -> Attempt:
        """Record that a worker has received a request completely."""
        request_id = head.headers.get("request-id", "")
        self.attempt_counts[request_id] += 1
        number = self.attempt_counts[request_id]
        attempt = Attempt(self.record.now(), request_id, worker.name, number, first_byte_at)
        self.attempts.append(attempt)
        self.record.add(
            "attempt",
            id=request_id,
            worker=worker.name,
            attempt=number,
            line=repr(head.line),
            timeout=head.headers.get("request-timeout-ms"),
        )
        return attempt

    def attempts_of(self, request_id: str) -> list[Attempt]:
        """Return the attempts of a request that workers have received."""
        return [each for each in self.attempts if each.id == request_id]

    def runs_of(self, request_id: str) -> list[Run]:
        """Return the runs of a request."""
        return [each for each in self.runs if each.attempt.id == request_id]

    async def ask(self, cls: str, timeout_ms: int, key: str = "", hint_us: int = 0, info: str = "") -> str:
        """Send a request on a new connection, wait for its answer, and return its id."""
        request_id = f"{int(time.time() * 1e6) & 0xFFFFFFFF:08x}{next(self.ids):08x}"
        lines = [
            f"POST /{cls}/{request_id[::-1]} HTTP/1.1",
            "Host: app.svc",
            f"Request-Id: {request_id}",
            f"Request-Class: {cls}",
            f"Request-Timeout-Ms: {timeout_ms}",
            "Content-Length: 8",
        ]
        lines += [f"Idempotency-Key: {key}"] * bool(key) + [f"Work-Hint: {hint_us}"] * bool(hint_us)
        lines += [f"Request-Info: {info}"] * bool(info)
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + b"contract"
        await self._exchange(request_id, cls, data, timeout_ms)
        return request_id

    async def _exchange(self, request_id: str, cls: str, data: bytes, timeout_ms: int) -> None:
        sent_at = self.record.now()
        status, body = 0, b""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(data)
            sent_at = self.record.now()
            self.record.add("client_sends", id=request_id, cls=cls, timeout=timeout_ms)
            async with asyncio.timeout(timeout_ms / 1000 + 1.0):
                message = await read_message(reader)
            if message is not None:
                status, body = int(message[0].line.split(" ")[1]), message[1]
            writer.close()
        except TimeoutError:
            status = -1
        except OSError:
            status = 0
        self.answers[request_id] = Answer(status, body, sent_at, self.record.now())
        self.record.add("client_gets", id=request_id, status=status, body=repr(body[:60]))


async def accept_at_once(
    worker: Worker, attempt: Attempt, head: Head, body: bytes, writer: asyncio.StreamWriter
) -> None:
    """Take every job and run it for 0.2 s."""
    await worker.accept(attempt, writer, 0.2)


Case = Callable[[Path, Record, bool], Awaitable[str]]


def main(folder: Path, case: Case) -> None:
    """Play a case, write its record, and exit: 0 if the rule held, 1 if it was broken, 2 if the case did not run.

    `case` gets a temporary folder, the record, and whether to cause the disruption; it returns what broke the rule, or
    an empty text.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.add("case", folder=folder.name, trouble=int(trouble))
    code = NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            broken = asyncio.run(_limited(case, Path(temporary), record, trouble))
            if keep := os.environ.get("KEEP_LOGS"):
                _keep_logs(Path(temporary), Path(keep))
        code = BROKEN if broken else HELD
        record.add("verdict", result=broken or "the rule held")
    except (Exception, asyncio.CancelledError) as error:  # an error of the stand-ins must not count as a broken rule
        record.add("verdict", result=f"the case could not run: {type(error).__name__}: {error}")
    record.write()
    print(record.lines[-1])
    sys.exit(code)


async def _limited(case: Case, folder: Path, record: Record, trouble: bool) -> str:
    task = asyncio.current_task()
    if task is not None:  # a case that is told to end ends its processes
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(110):
        return await case(folder, record, trouble)


def _keep_logs(source: Path, target: Path) -> None:
    target.mkdir(parents=True, exist_ok=True)
    for log in source.glob("*.log"):
        (target / log.name).write_bytes(log.read_bytes())
