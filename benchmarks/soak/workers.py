"""Workers and discovery of a soak, as servers on loopback."""

import asyncio
import contextlib
import enum
import json
import random
import select
import time

from benchmarks.soak.checker import EndOfAttempt, result_of
from benchmarks.soak.plan import DiscoveryState
from tests.support.loopback import host, id_of, read_message, reply

MAX_NETWORK_DELAY_S = 0.02  # from a worker to a dispatcher, drawn for each worker
LOST_CANCEL_SHARE = 0.04
EVENT_TRIES = 10
MAX_SLOW_ANSWER_S = 3.0
ADDRESSES = 5  # of discovery, for each dispatcher
UNREACHABLE_STATES = (DiscoveryState.DEAD, DiscoveryState.SILENT, DiscoveryState.STALE)
EVENT_RETRY_DELAY_S = 0.2


class AcceptKind(enum.Enum):
    """When a worker sends the 202 of an attempt."""

    SOON = "soon"
    LATE = "around the dispatcher's accept timeout"
    AFTER_EVENT = "after the first job event"
    TWICE = "twice"
    NEVER = "never"
    REJECT = "503, the job never starts"
    ERROR = "500"


ACCEPT_KINDS = {
    AcceptKind.SOON: 84,
    AcceptKind.LATE: 6,
    AcceptKind.AFTER_EVENT: 4,
    AcceptKind.TWICE: 2,
    AcceptKind.NEVER: 1,
    AcceptKind.REJECT: 2,
    AcceptKind.ERROR: 1,
}


def peer_has_closed(writer):
    """Whether the peer has ended the connection, even if that has not been read yet."""
    sock = writer.get_extra_info("socket")
    if writer.is_closing() or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


class Worker:
    """A worker that runs each job for a drawn time and reports its start and its end."""

    def __init__(self, name, seed, checker, address_of):
        """`address_of` returns the address of a dispatcher by its number."""
        self.name = name
        self._seed = seed
        self._checker = checker
        self._address_of = address_of
        self._network_delay_s = random.Random(f"{seed} delay {name}").uniform(0, MAX_NETWORK_DELAY_S)
        self._cancel_draws = random.Random(f"{seed} cancel {name}")
        self._running = {}  # attempts by request id
        self._tasks = set()
        self._writers = set()

    async def open(self):
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def close(self):
        """End all connections and jobs."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.close()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        unaccepted = []
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head, _ = await read_message(reader)
                if head.startswith(b"POST"):
                    self._receive_attempt(head, writer, unaccepted)
                elif head.startswith(b"DELETE"):
                    self._cancel(head, writer)
                else:
                    writer.write(reply(200, b"rps=0,active=0,x0=0"))
        for attempt in unaccepted:  # a dispatcher gives an attempt up before its 202 by closing the connection
            if attempt.state is EndOfAttempt.RUNNING:
                attempt.state = EndOfAttempt.CANCELLED
        self._writers.discard(writer)
        writer.close()

    def _receive_attempt(self, head, writer, unaccepted):
        request_id = id_of(head)
        attempt = self._checker.attempt_received(self.name, request_id)
        if attempt is None:
            writer.write(reply(400))
            return
        self._running[request_id] = attempt
        unaccepted.append(attempt)
        request = self._checker.requests[request_id]
        draws = random.Random(f"{self._seed} {request_id} {self.name} {len(request.attempts)}")
        (kind,) = draws.choices(list(ACCEPT_KINDS), list(ACCEPT_KINDS.values()))
        self._spawn(self._run(request, attempt, kind, draws, writer, unaccepted))

    def _cancel(self, head, writer):
        request_id = head.split()[1].removeprefix(b"/jobs/").decode()
        attempt = self._running.pop(request_id, None)
        if attempt is not None and self._cancel_draws.random() < LOST_CANCEL_SHARE:
            self._running[request_id] = attempt
            writer.close()  # the cancel is lost
            return
        if attempt is not None and attempt.state is EndOfAttempt.RUNNING:
            attempt.state = EndOfAttempt.CANCELLED
        writer.write(reply(200))

    async def _run(self, request, attempt, kind, draws, writer, unaccepted):
        if kind in (AcceptKind.REJECT, AcceptKind.ERROR):
            rejected = kind is AcceptKind.REJECT
            attempt.state = EndOfAttempt.NEVER_STARTED if rejected else EndOfAttempt.FINISHED
            writer.write(reply(503, b"", b"Not-Started: 1") if rejected else reply(500))
            return
        if kind is AcceptKind.NEVER:
            return
        run_s = draws.uniform(0.005, 0.15) if draws.random() < 0.9 else draws.uniform(0.3, 1.5)
        accept_s = draws.uniform(0.25, 0.4) if kind is AcceptKind.LATE else draws.uniform(0, 0.02)
        if kind is AcceptKind.AFTER_EVENT:
            self._spawn(self._send_event(request, "started"))
            accept_s += 0.03
        await asyncio.sleep(accept_s)
        if attempt.state is not EndOfAttempt.RUNNING:
            return
        unaccepted.remove(attempt)
        if peer_has_closed(writer):
            attempt.state = EndOfAttempt.CANCELLED  # given up before the 202, which is only read later
            return
        attempt.accepted = True
        await asyncio.sleep(self._network_delay_s)
        writer.write(reply(202) * (2 if kind is AcceptKind.TWICE else 1))
        if kind is not AcceptKind.AFTER_EVENT:
            await self._send_event(request, "started")
        await asyncio.sleep(run_s)
        if attempt.state is EndOfAttempt.RUNNING:
            attempt.state = EndOfAttempt.FINISHED
            await self._send_event(request, "done", result=result_of(request.id).decode())

    async def _send_event(self, request, state, **fields):
        body = json.dumps({"id": request.id, "from": self.name, "state": state, **fields}).encode()
        data = b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        for _ in range(EVENT_TRIES):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                head, _ = await asyncio.wait_for(self._call(self._address_of(request.dispatcher), data), 1)
                if head.split()[1] in (b"200", b"204"):
                    return
            await asyncio.sleep(EVENT_RETRY_DELAY_S)

    @staticmethod
    async def _call(address, data):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(data)
            return await read_message(reader)
        finally:
            writer.close()


class Discovery:
    """The list of workers, served to one dispatcher. A watch waits until the list has changed."""

    def __init__(self, dispatcher, fleet, checker):
        """`fleet` is the `Fleet` whose list is served to the dispatcher with this number."""
        self._dispatcher = dispatcher
        self._fleet = fleet
        self._checker = checker
        self._writers = set()
        self._answer_draws = random.Random(f"answers for {dispatcher}")

    async def open(self):
        """Start to listen, at several ports: the addresses to which a new configuration moves discovery."""
        self._servers = [await asyncio.start_server(self._serve, "127.0.0.1", 0) for _ in range(ADDRESSES)]
        self.ports = [server.sockets[0].getsockname()[1] for server in self._servers]
        return self

    def close(self):
        """End all connections."""
        for server in self._servers:
            server.close()
        self.end_connections()

    def end_connections(self):
        """End all connections, as when discovery dies."""
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while self._fleet.state is not DiscoveryState.DEAD:
                head, _ = await read_message(reader)
                await self._answer(head, writer)
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, head, writer):
        if self._fleet.state is DiscoveryState.SILENT:
            await asyncio.sleep(3600)
        if self._fleet.state is DiscoveryState.CROWDED:
            writer.write(reply(503))
            return
        if b"index=" in head:
            known = int(head.split(b"index=")[1].split(b"&")[0].split()[0])
            wait_s = int(head.split(b"wait=")[1].split(b"&")[0].split()[0]) / 1000 if b"wait=" in head else 0
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._fleet.newer_than(known), wait_s)
        if self._fleet.state is DiscoveryState.SLOW:
            await asyncio.sleep(self._answer_draws.uniform(0.1, MAX_SLOW_ANSWER_S))
        if peer_has_closed(writer):
            return  # one side has ended the connection; what is written now reaches nobody
        version, entries, removed = self._fleet.visible_list()
        writer.write(reply(200, json.dumps({"seq": version, "whole": True, "hosts": entries}).encode()))
        now = time.monotonic()
        for name in removed:
            self._checker.removal_reported_at.setdefault((self._dispatcher, name), now)


class Fleet:
    """The workers, and what discovery says of them."""

    def __init__(self, seed, checker, address_of):
        """Start without workers."""
        self.state = DiscoveryState.WORKING
        self.workers = {}
        self.removed = []
        self.draining = set()
        self._seed = seed
        self._checker = checker
        self._address_of = address_of
        self._version = 1
        self._stale_list = None
        self._changed = asyncio.Condition()

    async def add(self):
        """Start one more worker."""
        name = f"w{len(self.workers) + len(self.removed)}"
        self.workers[name] = await Worker(name, self._seed, self._checker, self._address_of).open()

    async def replace_one(self):
        """Remove the oldest worker from the list, and add a new one. The removed one finishes its jobs."""
        name = next(iter(self.workers))
        self.removed.append(self.workers.pop(name))
        await self._replace(name)

    async def drain_one(self):
        """List the oldest ready worker as draining, and add a new one. The draining one finishes its jobs."""
        name = next(name for name in self.workers if name not in self.draining)
        self.draining.add(name)
        await self._replace(name)

    async def _replace(self, name):
        self._checker.removal_begins(name, self.state not in UNREACHABLE_STATES)
        await self.add()
        self._version += 1
        async with self._changed:
            self._changed.notify_all()

    def set_state(self, state):
        """Change how discovery behaves."""
        self._stale_list = self.visible_list() if state is DiscoveryState.STALE else None
        if state in UNREACHABLE_STATES:
            self._checker.discovery_becomes_unreachable()
        elif self.state in UNREACHABLE_STATES:
            self._checker.discovery_becomes_reachable()
        self.state = state

    def visible_list(self):
        """Return version, entries and removed names as discovery gives them now."""
        if self._stale_list is not None:
            return self._stale_list
        entries = [
            host(name, worker.port, "draining" if name in self.draining else "ready")
            for name, worker in self.workers.items()
        ]
        return self._version, entries, [*(worker.name for worker in self.removed), *self.draining]

    async def newer_than(self, version):
        """Wait until the list is newer than `version`."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.visible_list()[0] > version)

    def close(self):
        """End all workers."""
        for worker in [*self.workers.values(), *self.removed]:
            worker.close()
