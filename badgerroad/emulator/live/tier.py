"""Runs a scenario's nodes and discovery as servers, its clients as HTTP clients and its dispatchers as processes.

Each node, and discovery, has a separate listener for each dispatcher, so the rule checker knows the sender of every
message from the listener that received it. Network delays are added here, before a message is passed on.
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
from badgerroad.emulator.live.wire import CallFailedError, ClientConnection, ConnectionPool, Listener, ServerConnection
from badgerroad.emulator.model.clients import BROKEN, UNREACHABLE, Try
from badgerroad.emulator.model.jobs import Job
from badgerroad.emulator.model.network import CLIENTS
from badgerroad.emulator.model.nodes import RenderNode
from badgerroad.emulator.model.registry import Answer
from badgerroad.emulator.model.rule_checker import FAILED, REFUSED, SERVED
from badgerroad.emulator.platform_settings import settings_of
from badgerroad.emulator.world import World
from badgerroad.net import http1

READY_POLL_INTERVAL_S, READY_TIMEOUT_S = 0.02, 20.0  # of the requests to /-/ready after a dispatcher's start
CRASH_CHECK_DELAY_S = 0.1  # delay from a broken connection to the check whether the dispatcher's process has ended
MALFORMED_REQUESTS = (
    b"GET\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"POST /preview/x HTTP/1.1\r\nContent-Length: 9\r\n",
    b"POST /preview/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST /preview/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx",
    b"",
)
MALFORMED_REQUEST_TIMEOUT_S = 3.05  # within which a dispatcher must reject a malformed request or close its connection


class LiveTier:
    """The dispatcher processes, and the servers and clients that they talk to."""

    def __init__(
        self, world: World, loop: asyncio.AbstractEventLoop, folder: Path, command: list[str] | None = None
    ) -> None:
        """Create the tier without opening it. `command` starts a dispatcher; `folder` holds configurations and logs."""
        self.world, self.kernel, self.loop, self.folder, self.command = world, world.kernel, loop, folder, command
        self.processes: list[Process] = []
        self.pool = ConnectionPool(loop)
        self.tries: dict[str, Try] = {}
        self.client_connections: dict[str, ClientConnection] = {}
        self.discovery_listeners: list[Listener] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.nodes = NodeServers(
            world, loop, self.spawn, self.tries, self.encode_request, lambda number: self.processes[number].address
        )
        self.malformed_requests = self.malformed_served = 0
        self.closing = False

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task that `close` cancels. Its exception goes to the loop's exception handler."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() and not self.closing:
            self.loop.call_exception_handler({"message": "an emulator task failed", "exception": task.exception()})

    # Start and end of the run.

    async def open(self) -> None:
        """Open all servers, start the dispatchers and wait until they are ready."""
        scenario = self.world.scenario
        for dispatcher in range(len(self.world.dispatcher_zones)):
            listener = Listener(
                self.loop,
                partial(
                    ServerConnection,
                    lambda: self.kernel.now,
                    lambda c: True,
                    partial(self._on_discovery_request, dispatcher),
                    lambda c: None,
                ),
            )
            await listener.open()
            self.discovery_listeners.append(listener)
        for node in self.world.nodes:
            await self.nodes.open(node)
        for dispatcher, zone in enumerate(self.world.dispatcher_zones):
            endpoint_list = self._endpoint_list(
                dispatcher, Answer(1, True, tuple(self.world.registry.entries.values()))
            )
            config = {
                "discovery": f"127.0.0.1:{self.discovery_listeners[dispatcher].port}",
                "known": endpoint_list,
                "limits": {"cores": 1.0, "memory_mb": scenario.limits.memory_mb, "sockets": scenario.limits.sockets},
                "settings": settings_of(scenario, dispatcher, zone),
            }
            self.processes.append(
                Process(
                    dispatcher,
                    self.folder,
                    config,
                    scenario.limits.memory_mb,
                    scenario.limits.sockets,
                    self._on_crash,
                    self.command,
                )
            )
        await asyncio.gather(*(self._start(number) for number in range(len(self.processes))))

    async def close(self) -> None:
        """Kill the dispatchers, cancel all tasks and close all servers."""
        self.closing = True
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            await process.end()
        for listener in self.discovery_listeners:
            listener.close()
        self.nodes.close()
        self.pool.close()
        await asyncio.sleep(0)

    # Dispatchers.

    async def _start(self, number: int) -> None:
        process = self.processes[number]
        await process.start(self.world.seed * 1000 + number * 16 + process.starts)
        waited = 0.0
        while waited < READY_TIMEOUT_S and process.up:
            try:
                answer = await self.nodes.dispatcher_pool.call(
                    process.address, b"GET /-/ready HTTP/1.1\r\nHost: d\r\n\r\n"
                )
                if answer.status == 200:
                    self.world.dispatcher_ready(number)
                    return
            except CallFailedError:
                pass
            await asyncio.sleep(READY_POLL_INTERVAL_S)
            waited += READY_POLL_INTERVAL_S

    def start(self, number: int) -> None:
        """Restart a dispatcher's process, unless it is running."""
        if not self.is_up(number) and not self.closing:
            self.spawn(self._start(number))

    def kill(self, number: int) -> None:
        """Send SIGKILL to a dispatcher."""
        self.processes[number].signal(signal.SIGKILL)

    def stop(self, number: int) -> None:
        """Send SIGTERM to a dispatcher."""
        self.processes[number].signal(signal.SIGTERM)

    def freeze(self, number: int, on: bool) -> None:
        """Send SIGSTOP to a dispatcher, or SIGCONT if `on` is false."""
        self.processes[number].signal(signal.SIGSTOP if on else signal.SIGCONT)

    def reload(self, number: int) -> None:
        """Send SIGHUP to a dispatcher."""
        self.processes[number].signal(signal.SIGHUP)

    def is_up(self, number: int) -> bool:
        """Whether the dispatcher's process is running and has not been signalled to end."""
        return self.processes[number].up and not self.processes[number].end_expected

    def _on_crash(self, number: int, reason: str) -> None:
        if not self.closing:
            self.world.rule_checker.dispatcher_crashed(number, reason)
            self.kernel.after(0, self.world.kill_dispatcher, number)

    # Clients.

    def submit(self, client_try: Try) -> None:
        """Send a client's request to its dispatcher after the network delay."""
        self.tries[client_try.id] = client_try
        delay = self.world.network.delay(CLIENTS, self.world.dispatcher_zones[client_try.dispatcher]) or 0
        self.kernel.after(delay, self._send_from_client, client_try)

    def _send_from_client(self, client_try: Try) -> None:
        if not client_try.ended:
            self.spawn(self._run_client_request(client_try))

    def encode_request(self, client_try: Try) -> tuple[bytes, bytes]:
        """Return the bytes of a client's request, and its body."""
        job, cls = client_try.job, self.world.request_classes[client_try.job.class_index]
        body = b"fill:" + client_try.id.encode() * 8
        time_left_ms = max((client_try.deadline - self.kernel.now) // 1000, 1)
        headers = [
            (b"Request-Id", client_try.id.encode()),
            (b"Request-Class", cls.name.encode()),
            (b"Request-Timeout-Ms", b"%d" % time_left_ms),
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

    async def _run_client_request(self, client_try: Try, is_resend: bool = False) -> None:
        address = self.processes[client_try.dispatcher].address
        data, _ = self.encode_request(client_try)

        def on_sent(connection: ClientConnection) -> None:
            """Record that the request has been written to the connection."""
            self.client_connections[client_try.id] = connection
            # This outcome becomes part of a violation's text, which is stored in reports and compared by `lab replay`,
            # so it must not change.
            connection.on_unsolicited_answer = lambda: self.world.rule_checker.answer_received(
                client_try.id, "answered unasked"
            )
            if not is_resend:
                self.world.rule_checker.request_received(
                    client_try.id,
                    client_try.job.key,
                    client_try.job.class_index,
                    client_try.dispatcher,
                    client_try.deadline,
                )

        try:
            answer = await self.pool.call(address, data, on_sent)
        except CallFailedError as e:
            if client_try.ended:
                return
            if e.stale_connection and not is_resend:
                await self._run_client_request(
                    client_try, True
                )  # the dispatcher closed the reused connection before it read the request
                return
            if e.refused:
                self.world.rule_checker.client_disconnected(client_try.id)
                self.world.clients.try_ended(client_try, UNREACHABLE)
                return
            await asyncio.sleep(CRASH_CHECK_DELAY_S)
            if self.is_up(client_try.dispatcher) and not client_try.ended:
                self.world.rule_checker.connection_broken(client_try.id)
            self.world.clients.try_ended(client_try, BROKEN)
            return
        finally:
            self.client_connections.pop(client_try.id, None)
        self._on_answer(client_try, answer)

    def _on_answer(self, client_try: Try, answer: http1.Message) -> None:
        kind = SERVED if answer.status == 200 else REFUSED if answer.status in (429, 503) else FAILED
        self.world.rule_checker.answer_received(
            client_try.id, kind, answer.body.decode("latin-1") if kind == SERVED else ""
        )
        self.world.trace_event("answer", id=client_try.id, kind=kind, status=answer.status)
        try:
            retry_after_us = int(float(answer.header(b"retry-after") or 0) * 1e6)
        except ValueError:
            retry_after_us = 0
        delay = self.world.network.delay(self.world.dispatcher_zones[client_try.dispatcher], CLIENTS) or 0
        self.kernel.after(delay, self.world.clients.try_ended, client_try, kind, retry_after_us)

    def abandon(self, client_try: Try) -> None:
        """Close the connection of a client that gives up its open request.

        A client that has waited until the deadline stays for the rule checker's slack, so that an answer in that time
        still counts.
        """
        slack_us = self.world.rule_checker.slack if client_try.until >= client_try.deadline else 0
        if not slack_us:
            self.world.rule_checker.client_disconnected(client_try.id)
        self.kernel.after(slack_us, self._close_client_connection, client_try)

    def _close_client_connection(self, client_try: Try) -> None:
        connection = self.client_connections.get(client_try.id)
        if connection is not None:
            connection.close()

    def start_malformed_clients(self, per_s: float) -> None:
        """Send `per_s` malformed requests a second on average."""
        if per_s > 0:
            draws = self.world.draws("bad clients")
            self._next_malformed_request(draws.exponential, 1e6 / per_s)

    def _next_malformed_request(self, draw_interval: Callable[[float], float], mean_us: float) -> None:
        if self.kernel.now < self.world.length:
            self.spawn(
                self._send_malformed_request(
                    MALFORMED_REQUESTS[self.malformed_requests % len(MALFORMED_REQUESTS)],
                    self.malformed_requests % len(self.processes),
                )
            )
            self.malformed_requests += 1
            self.kernel.after(draw_interval(mean_us), self._next_malformed_request, draw_interval, mean_us)

    async def _send_malformed_request(self, data: bytes, dispatcher: int) -> None:
        """Send a malformed request. It is a violation if the dispatcher answers with 200 or does nothing in time.

        The violations' texts are stored in reports and compared by `lab replay`, so they must not change.
        """
        try:
            reader, writer = await asyncio.open_connection(*self.processes[dispatcher].address)
        except OSError:
            return
        try:
            writer.write(data)
            status_line = await asyncio.wait_for(reader.readline(), MALFORMED_REQUEST_TIMEOUT_S)
            if b" 200 " in status_line:
                self.malformed_served += 1
                self.world.rule_checker.report_violation(1, f"a bad client was served by dispatcher {dispatcher}")
        except TimeoutError:
            if self.is_up(dispatcher):
                self.world.rule_checker.report_violation(
                    1,
                    f"a bad client of dispatcher {dispatcher} waits for {MALFORMED_REQUEST_TIMEOUT_S} s",
                )
        except OSError:
            pass
        finally:
            writer.close()

    # Nodes.

    def node_gone(self, node: RenderNode) -> None:
        """Close the node's listeners and reset its connections."""
        self.nodes.stop_listening(node)

    def reset(self, node: RenderNode) -> None:
        """Reset all connections to the node, which keeps running."""
        self.nodes.reset(node)

    def node_back(self, node: RenderNode) -> None:
        """Open the node's listeners again."""
        self.nodes.reopen(node)

    def send_job_event(self, node: RenderNode, job: Job, state: str, share: float) -> None:
        """Send a job event to the job's dispatcher."""
        self.nodes.send_job_event(node, job, state, share)

    # Discovery.

    def _on_discovery_request(
        self, dispatcher: int, connection: ServerConnection, message: http1.Message, first_byte_at: int
    ) -> None:
        path, _, query = message.target.partition(b"?")
        if path != b"/api/targets" or message.method != b"GET":
            connection.answer(404)
            return
        parameters = dict(part.partition(b"=")[::2] for part in query.split(b"&") if part)
        index = int(parameters[b"index"]) if b"index" in parameters else None
        wait_us = min(int(parameters.get(b"wait", b"0")), 60_000) * 1000

        def reply(answer: Answer | None) -> None:
            """Write discovery's answer; None means that the call failed."""
            if answer is None:
                connection.answer(503)
                return
            connection.answer(200, json.dumps(self._endpoint_list(dispatcher, answer)).encode())
            self.world.rule_checker.list_sent(
                dispatcher, answer.complete, [(e.node, e.state, e.started_at) for e in answer.entries]
            )

        self.world.registry.call(dispatcher, index, wait_us, reply)

    def _endpoint_list(self, dispatcher: int, answer: Answer) -> dict[str, Any]:
        kinds, zones = self.world.scenario.kind, self.world.zones
        return {
            "seq": answer.version,
            "whole": answer.complete,
            "hosts": [
                {
                    "host": e.node,
                    "dial": f"127.0.0.1:{self.nodes.listeners[e.node, dispatcher].port}",
                    "site": zones[e.zone],
                    "class": kinds[e.machine_type].name,
                    "block": e.cell,
                    "health": e.state,
                    "share": e.weight,
                    "born_ms": e.started_at // 1000,
                }
                for e in answer.entries
                if (e.node, dispatcher) in self.nodes.listeners
            ],
        }
