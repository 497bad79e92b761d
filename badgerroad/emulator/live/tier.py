"""The live tier: nodes and discovery as servers, clients as callers, dispatchers as processes.

Every node and discovery listens at an address of its own for each dispatcher, so the referee knows who sends what
without asking anybody. Network delays are added here, before a message is handed on.
"""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any

from badgerroad.emulator.live.node_servers import NodeServers
from badgerroad.emulator.live.processes import Process
from badgerroad.emulator.live.wire import Caller, CallFailedError, Door, Pool, Served
from badgerroad.emulator.model.clients import BROKEN, UNREACHABLE, Try
from badgerroad.emulator.model.jobs import Job
from badgerroad.emulator.model.network import CLIENTS
from badgerroad.emulator.model.nodes import RenderNode
from badgerroad.emulator.model.registry import Answer
from badgerroad.emulator.model.rule_checker import FAILED, REFUSED, SERVED
from badgerroad.emulator.platform_settings import settings_of
from badgerroad.emulator.world import World
from badgerroad.net import http1

READY_EVERY, READY_MOST = 0.02, 20.0  # seconds between looks at /-/ready; how long a start may take
CRASH_LOOK = 0.1  # after a broken connection: was it its process that ended?
BAD = (
    b"GET\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"POST /preview/x HTTP/1.1\r\nContent-Length: 9\r\n",
    b"POST /preview/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST /preview/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx",
    b"",
)
BAD_TIME = 3.05  # within which a bad client must have an error or a close


class LiveTier:
    """The dispatchers as processes, with servers and callers for all that they talk to."""

    def __init__(
        self, world: World, loop: asyncio.AbstractEventLoop, folder: Path, command: list[str] | None = None
    ) -> None:
        """`command` starts a dispatcher; `folder` holds configurations and logs."""
        self.world, self.kernel, self.loop, self.folder, self.command = world, world.kernel, loop, folder, command
        self.processes: list[Process] = []
        self.pool = Pool(loop)
        self.tries: dict[str, Try] = {}
        self.clients: dict[str, Caller] = {}
        self.directories: list[Door] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.nodes = NodeServers(
            world, loop, self.spawn, self.tries, self.request, lambda number: self.processes[number].address
        )
        self.bad_clients = self.bad_served = 0
        self.closing = False

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task of this run; an exception in it goes to the loop's exception handler."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() and not self.closing:
            self.loop.call_exception_handler({"message": "a task of the emulator broke", "exception": task.exception()})

    # Setting up.

    async def open(self) -> None:
        """Open all servers and start the dispatchers."""
        s = self.world.scenario
        for d in range(len(self.world.dispatcher_zones)):
            door = Door(
                self.loop,
                partial(
                    Served, lambda: self.kernel.now, lambda c: True, partial(self._discovery_asked, d), lambda c: None
                ),
            )
            await door.open()
            self.directories.append(door)
        for node in self.world.nodes:
            await self.nodes.open(node)
        for d, zone in enumerate(self.world.dispatcher_zones):
            known = self._list(d, Answer(1, True, tuple(self.world.registry.entries.values())))
            config = {
                "discovery": f"127.0.0.1:{self.directories[d].port}",
                "known": known,
                "limits": {"cores": 1.0, "memory_mb": s.limits.memory_mb, "sockets": s.limits.sockets},
                "settings": settings_of(s, d, zone),
            }
            self.processes.append(
                Process(d, self.folder, config, s.limits.memory_mb, s.limits.sockets, self._crashed, self.command)
            )
        await asyncio.gather(*(self._start(d) for d in range(len(self.processes))))

    async def close(self) -> None:
        """End the dispatchers, all tasks and all servers."""
        self.closing = True
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            await process.end()
        for door in self.directories:
            door.shut()
        self.nodes.close()
        self.pool.close()
        await asyncio.sleep(0)

    # Dispatchers.

    async def _start(self, number: int) -> None:
        process = self.processes[number]
        await process.start(self.world.seed * 1000 + number * 16 + process.starts)
        waited = 0.0
        while waited < READY_MOST and process.up:
            try:
                answer = await self.nodes.calls.call(process.address, b"GET /-/ready HTTP/1.1\r\nHost: d\r\n\r\n")
                if answer.status == 200:
                    self.world.dispatcher_ready(number)
                    return
            except CallFailedError:
                pass
            await asyncio.sleep(READY_EVERY)
            waited += READY_EVERY

    def start(self, number: int) -> None:
        """Start a dispatcher's process again."""
        if not self.is_up(number) and not self.closing:
            self.spawn(self._start(number))

    def kill(self, number: int) -> None:
        """SIGKILL."""
        self.processes[number].signal(signal.SIGKILL)

    def stop(self, number: int) -> None:
        """SIGTERM."""
        self.processes[number].signal(signal.SIGTERM)

    def freeze(self, number: int, on: bool) -> None:
        """SIGSTOP, SIGCONT."""
        self.processes[number].signal(signal.SIGSTOP if on else signal.SIGCONT)

    def reload(self, number: int) -> None:
        """SIGHUP."""
        self.processes[number].signal(signal.SIGHUP)

    def is_up(self, number: int) -> bool:
        """Whether the dispatcher's process runs."""
        return self.processes[number].up and not self.processes[number].expected

    def _crashed(self, number: int, why: str) -> None:
        if not self.closing:
            self.world.rule_checker.dispatcher_crashed(number, why)
            self.kernel.after(0, self.world.kill_dispatcher, number)

    # Clients.

    def submit(self, client_try: Try) -> None:
        """Send a client's request to its dispatcher."""
        self.tries[client_try.id] = client_try
        delay = self.world.network.delay(CLIENTS, self.world.dispatcher_zones[client_try.dispatcher]) or 0
        self.kernel.after(delay, self._client_sends, client_try)

    def _client_sends(self, client_try: Try) -> None:
        if not client_try.ended:
            self.spawn(self._client(client_try))

    def request(self, client_try: Try) -> tuple[bytes, bytes]:
        """The head that a client sends, and its body."""
        job, cls = client_try.job, self.world.request_classes[client_try.job.class_index]
        body = b"fill:" + client_try.id.encode() * 8
        left = max((client_try.deadline - self.kernel.now) // 1000, 1)
        headers = [
            (b"Request-Id", client_try.id.encode()),
            (b"Request-Class", cls.name.encode()),
            (b"Request-Timeout-Ms", b"%d" % left),
            (b"Request-Info", b"slots=%d,memory=%.3f" % (job.slots, job.memory)),
        ]
        if job.hint:
            headers.append((b"Work-Hint", b"%d" % job.hint))
        if cls.semantics != "retryable":
            headers.append((b"Idempotency-Key", job.key.encode()))
        if job.tries > 1 and self.world.scenario.clients.marks_retry:
            headers.append((b"Client-Retry", b"1"))
        target = f"/{cls.name}/{job.key}?zone={self.world.zones[job.zone]}".encode()
        return http1.request(b"POST", target, "app.svc", headers, body), body

    async def _client(self, client_try: Try, again: bool = False) -> None:
        address = self.processes[client_try.dispatcher].address
        data, _ = self.request(client_try)

        def sent(caller: Caller) -> None:
            """The bytes of the request are with the connection."""
            self.clients[client_try.id] = caller
            caller.unasked = lambda: self.world.rule_checker.answer_received(client_try.id, "answered unasked")
            if not again:
                self.world.rule_checker.request_received(
                    client_try.id,
                    client_try.job.key,
                    client_try.job.class_index,
                    client_try.dispatcher,
                    client_try.deadline,
                )

        try:
            answer = await self.pool.call(address, data, sent)
        except CallFailedError as e:
            if client_try.ended:
                return
            if e.silent_reuse and not again:
                await self._client(client_try, True)  # its end crossed the request, which nobody has read
                return
            if e.refused:
                self.world.rule_checker.client_disconnected(client_try.id)
                self.world.clients.try_ended(client_try, UNREACHABLE)
                return
            await asyncio.sleep(CRASH_LOOK)
            if self.is_up(client_try.dispatcher) and not client_try.ended:
                self.world.rule_checker.connection_broken(client_try.id)
            self.world.clients.try_ended(client_try, BROKEN)
            return
        finally:
            self.clients.pop(client_try.id, None)
        self._answered(client_try, answer)

    def _answered(self, client_try: Try, answer: http1.Message) -> None:
        kind = SERVED if answer.status == 200 else REFUSED if answer.status in (429, 503) else FAILED
        self.world.rule_checker.answer_received(
            client_try.id, kind, answer.body.decode("latin-1") if kind == SERVED else ""
        )
        self.world.trace_event("answer", id=client_try.id, kind=kind, status=answer.status)
        try:
            wait = int(float(answer.header(b"retry-after") or 0) * 1e6)
        except ValueError:
            wait = 0
        delay = self.world.network.delay(self.world.dispatcher_zones[client_try.dispatcher], CLIENTS) or 0
        self.kernel.after(delay, self.world.clients.try_ended, client_try, kind, wait)

    def abandon(self, client_try: Try) -> None:
        """The client closes the connection of a request that is open."""
        slack = self.world.rule_checker.slack if client_try.until >= client_try.deadline else 0
        if not slack:
            self.world.rule_checker.client_disconnected(client_try.id)
        self.kernel.after(slack, self._leave, client_try)

    def _leave(self, client_try: Try) -> None:
        caller = self.clients.get(client_try.id)
        if caller is not None:
            caller.close()

    def begin_bad(self, per_s: float) -> None:
        """Send malformed requests, so many a second."""
        if per_s > 0:
            draws = self.world.draws("bad clients")
            self._bad_next(draws.exponential, 1e6 / per_s)

    def _bad_next(self, draw: Callable[[float], float], mean: float) -> None:
        if self.kernel.now < self.world.length:
            self.spawn(self._bad(BAD[self.bad_clients % len(BAD)], self.bad_clients % len(self.processes)))
            self.bad_clients += 1
            self.kernel.after(draw(mean), self._bad_next, draw, mean)

    async def _bad(self, data: bytes, dispatcher: int) -> None:
        """A client that sends what is no request: it must get an error or a close in time, and never a 200."""
        try:
            reader, writer = await asyncio.open_connection(*self.processes[dispatcher].address)
        except OSError:
            return
        try:
            writer.write(data)
            first = await asyncio.wait_for(reader.readline(), BAD_TIME)
            if b" 200 " in first:
                self.bad_served += 1
                self.world.rule_checker.report_violation(1, f"a bad client was served by dispatcher {dispatcher}")
        except TimeoutError:
            if self.is_up(dispatcher):
                self.world.rule_checker.report_violation(
                    1, f"a bad client of dispatcher {dispatcher} waits for {BAD_TIME} s"
                )
        except OSError:
            pass
        finally:
            writer.close()

    # Nodes.

    def node_gone(self, node: RenderNode) -> None:
        """The node's listeners close and its connections break."""
        self.nodes.shut(node)

    def reset(self, node: RenderNode) -> None:
        """All connections to the node break; it runs on."""
        self.nodes.reset(node)

    def node_back(self, node: RenderNode) -> None:
        """The node's listeners open again."""
        self.nodes.reopen(node)

    def send_job_event(self, node: RenderNode, job: Job, state: str, share: float) -> None:
        """Send a job event to the dispatcher of the job."""
        self.nodes.tell(node, job, state, share)

    # Discovery.

    def _discovery_asked(self, dispatcher: int, connection: Served, message: http1.Message, begun: int) -> None:
        path, _, query = message.target.partition(b"?")
        if path != b"/api/targets" or message.method != b"GET":
            connection.answer(404)
            return
        words = dict(part.partition(b"=")[::2] for part in query.split(b"&") if part)
        index = int(words[b"index"]) if b"index" in words else None
        wait = min(int(words.get(b"wait", b"0")), 60_000) * 1000

        def reply(answer: Answer | None) -> None:
            """Write the answer of discovery."""
            if answer is None:
                connection.answer(503)
                return
            connection.answer(200, json.dumps(self._list(dispatcher, answer)).encode())
            self.world.rule_checker.list_sent(
                dispatcher, answer.complete, [(e.node, e.state, e.started_at) for e in answer.entries]
            )

        self.world.registry.call(dispatcher, index, wait, reply)

    def _list(self, dispatcher: int, answer: Answer) -> dict[str, Any]:
        kinds, zones = self.world.scenario.kind, self.world.zones
        return {
            "seq": answer.version,
            "whole": answer.complete,
            "hosts": [
                {
                    "host": e.node,
                    "dial": f"127.0.0.1:{self.nodes.doors[e.node, dispatcher].port}",
                    "site": zones[e.zone],
                    "class": kinds[e.machine_type].name,
                    "block": e.cell,
                    "health": e.state,
                    "share": e.weight,
                    "born_ms": e.started_at // 1000,
                }
                for e in answer.entries
                if (e.node, dispatcher) in self.nodes.doors
            ],
        }
