"""Render nodes as servers: they answer what dispatchers send them, and call back what becomes of jobs."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine, Iterable
from functools import partial
from typing import Any

from badgerroad.emulator.live.wire import CallFailedError, Door, Pool, Served
from badgerroad.emulator.model import nodes
from badgerroad.emulator.model.clients import Try
from badgerroad.emulator.model.jobs import Job
from badgerroad.emulator.model.nodes import RenderNode
from badgerroad.emulator.model.rule_checker import Attempt
from badgerroad.emulator.world import World
from badgerroad.net import http1

CALLBACK_TRIES, CALLBACK_PAUSE = 10, 0.2

Spawn = Callable[[Coroutine[Any, Any, None]], "asyncio.Task[None]"]


class Carried:
    """What a node's connection carries: an attempt until it is answered."""

    __slots__ = ("id", "attempt", "job", "answered")

    def __init__(self, request_id: str) -> None:
        """The attempt's request id and what is needed to answer it."""
        self.id, self.answered = request_id, False
        self.attempt: Attempt | None = None
        self.job: Job | None = None


class NodeServers:
    """Owns the nodes' doors, one for each node and dispatcher, their connections, and those for call-backs."""

    def __init__(
        self,
        world: World,
        loop: asyncio.AbstractEventLoop,
        spawn: Spawn,
        tries: dict[str, Try],
        request: Callable[[Try], tuple[bytes, bytes]],
        address: Callable[[int], tuple[str, int]],
    ) -> None:
        """`tries`: what clients have sent, by request id; `request`: its bytes; `address`: a dispatcher's."""
        self.world, self.kernel, self.loop, self.spawn = world, world.kernel, loop, spawn
        self.tries, self.request, self.address = tries, request, address
        self.calls = Pool(loop)
        self.doors: dict[tuple[str, int], Door] = {}
        self.connections: dict[str, set[Served]] = {}
        self._told: dict[tuple[str, str], asyncio.Task[None]] = {}

    async def open(self, node: RenderNode) -> None:
        """Its doors, one for each dispatcher; those of a node that is down stay shut."""
        self.connections.setdefault(node.name, set())
        for d in range(len(self.world.dispatcher_zones)):
            at = node.name, d
            if at not in self.doors:
                self.doors[at] = Door(
                    self.loop,
                    partial(
                        Served,
                        lambda: self.kernel.now,
                        partial(self._met, node),
                        partial(self._asked, node, d),
                        partial(self._left, node),
                    ),
                )
            if node.up:
                await self.doors[at].open()

    def close(self) -> None:
        """All doors, all connections, and those of call-backs."""
        for door in self.doors.values():
            door.shut()
        for met in self.connections.values():
            for connection in list(met):
                connection.abort()
        self.calls.close()

    def _met(self, node: RenderNode, connection: Served) -> bool:
        if not node.connect():
            return False
        self.world.rule_checker.handshakes += 1
        self.connections[node.name].add(connection)
        return True

    def _left(self, node: RenderNode, connection: Served) -> None:
        self.connections[node.name].discard(connection)
        node.disconnect()
        carried = connection.hand
        if isinstance(carried, Carried) and not carried.answered:
            carried.answered = True
            self.world.rule_checker.attempt_ended(carried.attempt, False)
            if carried.job is not None and node.jobs.get(carried.id) is carried.job:
                node.cancel(carried.id)  # closed before the 202: given up

    def _asked(self, node: RenderNode, dispatcher: int, connection: Served, message: http1.Message, begun: int) -> None:
        if node.silent:
            return
        home = self.world.dispatcher_zones[dispatcher]
        delay = self.world.network.delay(home, node.zone)
        if delay is not None:
            self.kernel.after(delay, self._hears, node, dispatcher, connection, message, begun)

    def _hears(self, node: RenderNode, dispatcher: int, connection: Served, message: http1.Message, begun: int) -> None:
        path = message.path
        if message.method == b"GET" and path in (b"/-/load", b"/-/healthy"):
            self.world.rule_checker.probes += 1
            load = node.probe()
            self._says(node, dispatcher, connection, 503 if load is None else 200, json.dumps(load).encode())
        elif message.method == b"DELETE" and path.startswith(b"/jobs/"):
            found = node.cancel(path[6:].decode("latin-1"), dispatcher)
            self._says(node, dispatcher, connection, 200 if found else 404)
        elif message.method == b"POST":
            self._takes(node, dispatcher, connection, message, begun)
        else:
            self._says(node, dispatcher, connection, 404)

    def _takes(self, node: RenderNode, dispatcher: int, connection: Served, message: http1.Message, begun: int) -> None:
        world, request_id = self.world, (message.header(b"request-id") or b"").decode("latin-1")
        client_try = self.tries.get(request_id)
        told = world.registry.presumed_notified_at(dispatcher, node.name, world.rule_checker.ask_within)
        attempt = world.rule_checker.attempt_arrived(
            request_id, dispatcher, node.name, node.zone, node.cell, begun, world.dispatcher_zones[dispatcher], told
        )
        world.trace_event("send", id=request_id, dispatcher=dispatcher, node=node.name)
        carried = Carried(request_id)
        carried.attempt, connection.hand = attempt, carried
        if client_try is None or not self._same(client_try, message):
            world.rule_checker.report_violation(2, f"{node.name} was sent {request_id} in a form that no client sent")
            self._says(node, dispatcher, connection, 400)
            return
        job = client_try.job
        carried.job = Job(
            request_id, job.key, job.class_index, dispatcher, job.work, job.slots, job.memory, context=carried
        )
        status = node.submit(carried.job)
        if status == nodes.ACCEPTED:
            self._says(node, dispatcher, connection, 202, carried=carried)
        elif status != nodes.SILENT:
            world.rule_checker.attempt_ended(attempt, status == nodes.FULL)
            if status == nodes.REFUSED:
                connection.abort()
                return
            carried.answered = True
            full = [(b"Not-Started", b"1")] if status == nodes.FULL else []
            self._says(node, dispatcher, connection, 503 if full else 500, headers=full)

    def _same(self, client_try: Try, message: http1.Message) -> bool:
        """Method, path, query, body and key must pass unchanged."""
        head, body = self.request(client_try)
        key = message.header(b"idempotency-key")
        keyed = self.world.request_classes[client_try.job.class_index].semantics != "retryable"
        return (
            message.body == body
            and head.startswith(b"POST " + message.target + b" ")
            and (not keyed or key == client_try.job.key.encode())
        )

    def _says(
        self,
        node: RenderNode,
        dispatcher: int,
        connection: Served,
        status: int,
        body: bytes = b"",
        headers: Iterable[tuple[bytes, bytes]] = (),
        carried: Carried | None = None,
    ) -> None:
        delay = self.world.network.delay(node.zone, self.world.dispatcher_zones[dispatcher])
        if delay is not None and not node.silent:
            self.kernel.after(delay, self._say, connection, status, body, headers, carried)

    def _say(
        self,
        connection: Served,
        status: int,
        body: bytes,
        headers: Iterable[tuple[bytes, bytes]],
        carried: Carried | None,
    ) -> None:
        if carried is not None:
            carried.answered = True
        connection.answer(status, body, headers)

    def shut(self, node: RenderNode) -> None:
        """The node accepts no connection from now on."""
        for d in range(len(self.world.dispatcher_zones)):
            if (node.name, d) in self.doors:
                self.doors[node.name, d].shut()
        self.reset(node)

    def reset(self, node: RenderNode) -> None:
        """Break all connections of the node."""
        for connection in list(self.connections.get(node.name, ())):
            connection.abort()

    def reopen(self, node: RenderNode) -> None:
        """The node accepts connections again."""
        self.spawn(self.open(node))

    def tell(self, node: RenderNode, job: Job, state: str, share: float) -> None:
        """Send a job event to the dispatcher of the job."""
        carried = job.context
        if isinstance(carried, Carried) and state not in (nodes.STARTED, nodes.RUNNING):
            self.world.rule_checker.attempt_ended(carried.attempt, state == nodes.RETURNED)
        item: dict[str, Any] = {"id": job.id, "from": node.name, "state": state}
        if state == nodes.RUNNING:
            item["share"] = round(share, 3)
        if state == nodes.DONE:
            item["result"] = self.world.result_of(job.id)
        delay = self.world.network.delay(node.zone, self.world.dispatcher_zones[job.dispatcher])
        if delay is not None:
            self.kernel.after(delay, self._call_back, job, node.name, item)

    def _call_back(self, job: Job, name: str, item: dict[str, Any]) -> None:
        at = job.id, name
        before = self._told.get(at)
        self._told[at] = self.spawn(self._calls_back(job.dispatcher, before, item, at))

    async def _calls_back(
        self, dispatcher: int, before: asyncio.Task[None] | None, item: dict[str, Any], at: tuple[str, str]
    ) -> None:
        """Until it is answered, at most ten times; the states of one job in their order."""
        if before is not None:
            await asyncio.wait([before])
        data = http1.request(b"POST", b"/v1/job-events", "d", [], json.dumps(item).encode())
        for _ in range(CALLBACK_TRIES):
            try:
                answer = await self.calls.call(self.address(dispatcher), data)
                if answer.status in (200, 204):
                    break
            except CallFailedError:
                pass
            await asyncio.sleep(CALLBACK_PAUSE)
        if item["state"] not in (nodes.STARTED, nodes.RUNNING):
            self._told.pop(at, None)
