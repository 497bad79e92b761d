"""Servers of the simulated render nodes, which answer dispatchers and send them job events."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine, Iterable
from functools import partial
from typing import Any

from badgerroad.emulator.live.wire import CallFailedError, ConnectionPool, Listener, ServerConnection
from badgerroad.emulator.model import nodes
from badgerroad.emulator.model.clients import Try
from badgerroad.emulator.model.jobs import Job
from badgerroad.emulator.model.nodes import RenderNode
from badgerroad.emulator.model.rule_checker import Attempt
from badgerroad.emulator.world import World
from badgerroad.net import http1

CALLBACK_ATTEMPTS, CALLBACK_RETRY_DELAY_S = 10, 0.2  # for sending one job event

Spawn = Callable[[Coroutine[Any, Any, None]], "asyncio.Task[None]"]


class PendingAttempt:
    """The attempt that a connection to a node carries until the node has answered the attempt."""

    __slots__ = ("id", "attempt", "job", "answered")

    def __init__(self, request_id: str) -> None:
        """Start without attempt and job, which are set when the node has received the request."""
        self.id, self.answered = request_id, False
        self.attempt: Attempt | None = None
        self.job: Job | None = None


class NodeServers:
    """The nodes' listeners, one for each node and dispatcher, their connections, and the connections to dispatchers."""

    def __init__(
        self,
        world: World,
        loop: asyncio.AbstractEventLoop,
        spawn: Spawn,
        tries: dict[str, Try],
        encode_request: Callable[[Try], tuple[bytes, bytes]],
        dispatcher_address: Callable[[int], tuple[str, int]],
    ) -> None:
        """Create the servers without opening them.

        `tries` holds the clients' requests by request id. `encode_request` returns the bytes of a client's request
        and its body. `dispatcher_address` returns the address of a dispatcher.
        """
        self.world, self.kernel, self.loop, self.spawn = world, world.kernel, loop, spawn
        self.tries, self.encode_request, self.dispatcher_address = tries, encode_request, dispatcher_address
        self.dispatcher_pool = ConnectionPool(loop)
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.connections: dict[str, set[ServerConnection]] = {}
        self._callbacks: dict[tuple[str, str], asyncio.Task[None]] = {}

    async def open(self, node: RenderNode) -> None:
        """Create the node's listeners, one for each dispatcher, and open them if the node is up."""
        self.connections.setdefault(node.name, set())
        for dispatcher in range(len(self.world.dispatcher_zones)):
            key = node.name, dispatcher
            if key not in self.listeners:
                self.listeners[key] = Listener(
                    self.loop,
                    partial(
                        ServerConnection,
                        lambda: self.kernel.now,
                        partial(self._on_connect, node),
                        partial(self._on_message, node, dispatcher),
                        partial(self._on_disconnect, node),
                    ),
                )
            if node.up:
                await self.listeners[key].open()

    def close(self) -> None:
        """Close all listeners and connections, including those to dispatchers."""
        for listener in self.listeners.values():
            listener.close()
        for connections in self.connections.values():
            for connection in list(connections):
                connection.abort()
        self.dispatcher_pool.close()

    def _on_connect(self, node: RenderNode, connection: ServerConnection) -> bool:
        if not node.connect():
            return False
        self.world.rule_checker.handshakes += 1
        self.connections[node.name].add(connection)
        return True

    def _on_disconnect(self, node: RenderNode, connection: ServerConnection) -> None:
        self.connections[node.name].discard(connection)
        node.disconnect()
        pending = connection.context
        if isinstance(pending, PendingAttempt) and not pending.answered:
            pending.answered = True
            self.world.rule_checker.attempt_ended(pending.attempt, False)
            if pending.job is not None and node.jobs.get(pending.id) is pending.job:
                node.cancel(pending.id)  # a dispatcher gives an attempt up before the 202 by closing the connection

    def _on_message(
        self,
        node: RenderNode,
        dispatcher: int,
        connection: ServerConnection,
        message: http1.Message,
        first_byte_at: int,
    ) -> None:
        if node.silent:
            return
        dispatcher_zone = self.world.dispatcher_zones[dispatcher]
        delay = self.world.network.delay(dispatcher_zone, node.zone)
        if delay is not None:
            self.kernel.after(delay, self._handle, node, dispatcher, connection, message, first_byte_at)

    def _handle(
        self,
        node: RenderNode,
        dispatcher: int,
        connection: ServerConnection,
        message: http1.Message,
        first_byte_at: int,
    ) -> None:
        path = message.path
        if message.method == b"GET" and path in (b"/-/load", b"/-/healthy"):
            self.world.rule_checker.probes += 1
            load = node.probe()
            self._reply(node, dispatcher, connection, 503 if load is None else 200, json.dumps(load).encode())
        elif message.method == b"DELETE" and path.startswith(b"/jobs/"):
            found = node.cancel(path[6:].decode("latin-1"), dispatcher)
            self._reply(node, dispatcher, connection, 200 if found else 404)
        elif message.method == b"POST":
            self._receive_attempt(node, dispatcher, connection, message, first_byte_at)
        else:
            self._reply(node, dispatcher, connection, 404)

    def _receive_attempt(
        self,
        node: RenderNode,
        dispatcher: int,
        connection: ServerConnection,
        message: http1.Message,
        first_byte_at: int,
    ) -> None:
        world, request_id = self.world, (message.header(b"request-id") or b"").decode("latin-1")
        client_try = self.tries.get(request_id)
        notified_at = world.registry.presumed_notified_at(dispatcher, node.name, world.rule_checker.ask_within)
        attempt = world.rule_checker.attempt_arrived(
            request_id,
            dispatcher,
            node.name,
            node.zone,
            node.cell,
            first_byte_at,
            world.dispatcher_zones[dispatcher],
            notified_at,
        )
        world.trace_event("send", id=request_id, dispatcher=dispatcher, node=node.name)
        pending = PendingAttempt(request_id)
        pending.attempt, connection.context = attempt, pending
        if client_try is None or not self._is_unchanged(client_try, message):
            # The text is stored in reports and compared by `lab replay`, so it must not change.
            world.rule_checker.report_violation(2, f"{node.name} was sent {request_id} in a form that no client sent")
            self._reply(node, dispatcher, connection, 400)
            return
        job = client_try.job
        pending.job = Job(
            request_id, job.key, job.class_index, dispatcher, job.work, job.slots, job.memory, context=pending
        )
        status = node.submit(pending.job)
        if status == nodes.ACCEPTED:
            self._reply(node, dispatcher, connection, 202, pending=pending)
        elif status != nodes.SILENT:
            world.rule_checker.attempt_ended(attempt, status == nodes.FULL)
            if status == nodes.REFUSED:
                connection.abort()
                return
            pending.answered = True
            not_started = [(b"Not-Started", b"1")] if status == nodes.FULL else []
            self._reply(node, dispatcher, connection, 503 if not_started else 500, headers=not_started)

    def _is_unchanged(self, client_try: Try, message: http1.Message) -> bool:
        """Whether method, path, query, body and idempotency key are as the client sent them."""
        head, body = self.encode_request(client_try)
        key = message.header(b"idempotency-key")
        keyed = self.world.request_classes[client_try.job.class_index].semantics != "retryable"
        return (
            message.body == body
            and head.startswith(b"POST " + message.target + b" ")
            and (not keyed or key == client_try.job.key.encode())
        )

    def _reply(
        self,
        node: RenderNode,
        dispatcher: int,
        connection: ServerConnection,
        status: int,
        body: bytes = b"",
        headers: Iterable[tuple[bytes, bytes]] = (),
        pending: PendingAttempt | None = None,
    ) -> None:
        delay = self.world.network.delay(node.zone, self.world.dispatcher_zones[dispatcher])
        if delay is not None and not node.silent:
            self.kernel.after(delay, self._write_reply, connection, status, body, headers, pending)

    def _write_reply(
        self,
        connection: ServerConnection,
        status: int,
        body: bytes,
        headers: Iterable[tuple[bytes, bytes]],
        pending: PendingAttempt | None,
    ) -> None:
        if pending is not None:
            pending.answered = True
        connection.answer(status, body, headers)

    def stop_listening(self, node: RenderNode) -> None:
        """Close the node's listeners and reset its connections."""
        for dispatcher in range(len(self.world.dispatcher_zones)):
            if (node.name, dispatcher) in self.listeners:
                self.listeners[node.name, dispatcher].close()
        self.reset(node)

    def reset(self, node: RenderNode) -> None:
        """Reset all connections to the node."""
        for connection in list(self.connections.get(node.name, ())):
            connection.abort()

    def reopen(self, node: RenderNode) -> None:
        """Open the node's listeners again."""
        self.spawn(self.open(node))

    def send_job_event(self, node: RenderNode, job: Job, state: str, share: float) -> None:
        """Send a job event to the job's dispatcher after the network delay."""
        pending = job.context
        if isinstance(pending, PendingAttempt) and state not in (nodes.STARTED, nodes.RUNNING):
            self.world.rule_checker.attempt_ended(pending.attempt, state == nodes.RETURNED)
        event: dict[str, Any] = {"id": job.id, "from": node.name, "state": state}
        if state == nodes.RUNNING:
            event["share"] = round(share, 3)
        if state == nodes.DONE:
            event["result"] = self.world.result_of(job.id)
        delay = self.world.network.delay(node.zone, self.world.dispatcher_zones[job.dispatcher])
        if delay is not None:
            self.kernel.after(delay, self._queue_callback, job, node.name, event)

    def _queue_callback(self, job: Job, name: str, event: dict[str, Any]) -> None:
        key = job.id, name
        previous = self._callbacks.get(key)
        self._callbacks[key] = self.spawn(self._deliver_callback(job.dispatcher, previous, event, key))

    async def _deliver_callback(
        self, dispatcher: int, previous: asyncio.Task[None] | None, event: dict[str, Any], key: tuple[str, str]
    ) -> None:
        """Send a job event until the dispatcher acknowledges it, at most CALLBACK_ATTEMPTS times.

        Waits for the previous event of the job first, so that its states arrive in order.
        """
        if previous is not None:
            await asyncio.wait([previous])
        data = http1.request(b"POST", b"/v1/job-events", "d", [], json.dumps(event).encode())
        for _ in range(CALLBACK_ATTEMPTS):
            try:
                answer = await self.dispatcher_pool.call(self.dispatcher_address(dispatcher), data)
                if answer.status in (200, 204):
                    break
            except CallFailedError:
                pass
            await asyncio.sleep(CALLBACK_RETRY_DELAY_S)
        if event["state"] not in (nodes.STARTED, nodes.RUNNING):
            self._callbacks.pop(key, None)
