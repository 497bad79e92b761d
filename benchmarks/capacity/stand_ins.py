"""Simulated discovery service and workers for a measured dispatcher."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import socket
from typing import Any

from benchmarks.capacity.configuration import WORKER_PORT, worker_address, worker_entry
from benchmarks.capacity.http import Call, Peer, post, response

WATCH_PARAMETERS = re.compile(rb"index=(\d+)&wait=(\d+)")
REQUEST_ID = re.compile(rb"request-id: *([^\r\n]+)", re.IGNORECASE)


class Discovery:
    """Serves the endpoint list, and answers a watch at its timeout or with an update that the measurement sends."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.version = 1
        self.calls = self.bytes_in = self.bytes_out = 0
        self.port = 0
        self._watches: dict[Peer, asyncio.TimerHandle] = {}
        self._watch_received = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.set_entries(entries)

    def set_entries(self, entries: list[dict[str, Any]]) -> None:
        self._hosts = json.dumps(entries).encode()

    async def open(self) -> Discovery:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Peer(self._serve), "127.0.0.1", 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for timer in self._watches.values():
            timer.cancel()

    @property
    def complete_list(self) -> bytes:
        return b'{"seq": %d, "whole": true, "hosts": %s}' % (self.version, self._hosts)

    def change(self, entries: list[dict[str, Any]]) -> bytes:
        """Return the response of a watch that changes `entries`, at the present version."""
        return b'{"seq": %d, "whole": false, "hosts": %s}' % (self.version, json.dumps(entries).encode())

    def _serve(self, peer: Peer, head: bytes, _body: bytes) -> None:
        self.calls += 1
        self.bytes_in += len(head) + 4
        watch = WATCH_PARAMETERS.search(head)
        if watch is None or int(watch[1]) == 0:
            self._answer(peer, self.complete_list)
        elif int(watch[2]) == 0:
            self._answer(peer, self.change([]))
        else:
            loop = asyncio.get_running_loop()
            peer.on_lost = self._lost
            self._watches[peer] = loop.call_later(int(watch[2]) / 1000, self._expire_watch, peer)
            self._watch_received.set()

    def _expire_watch(self, peer: Peer) -> None:
        self._watches.pop(peer, None)
        self._answer(peer, self.change([]))

    def _lost(self, peer: Peer) -> None:
        timer = self._watches.pop(peer, None)
        if timer is not None:
            timer.cancel()

    def _answer(self, peer: Peer, body: bytes) -> None:
        data = response(200, body)
        self.bytes_out += len(data)
        peer.write(data)

    async def watched(self) -> None:
        """Wait until a dispatcher holds a watch."""
        while not self._watches:
            self._watch_received.clear()
            await self._watch_received.wait()

    async def send_update(self, body: bytes) -> None:
        """Answer the watch, and wait for the next one, which the dispatcher sends after it has processed the response."""
        await self.watched()
        peer, timer = self._watches.popitem()
        timer.cancel()
        self._watch_received.clear()
        self._answer(peer, body)
        await self.watched()


class Workers:
    """`count` workers, each with its own address, which accept each job and report its start at once.

    They also finish it at once, or never if `hold` is true.
    """

    def __init__(self, count: int, hold: bool = False, keep: bool = True) -> None:
        """Set up the workers; `keep` sends all job events of a worker over one connection, else each over a new one."""
        self.count, self.hold, self.keep = count, hold, keep
        self.dispatcher = ("127.0.0.1", 0)
        self.jobs: list[tuple[str, int]] = []  # (request id, worker) in the order received
        self.held: set[str] = set()  # request ids of the jobs that never finish
        self._servers: list[asyncio.Server] = []
        self._event_connections: dict[int, asyncio.Task[Call]] = {}
        self._locks: dict[int, asyncio.Lock] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def call_back_to(self, port: int) -> None:
        """Send job events to the dispatcher on `port`, over new connections."""
        self.dispatcher = ("127.0.0.1", port)
        self._event_connections, self._locks = {}, {}

    async def open(self) -> Workers:
        loop = asyncio.get_running_loop()
        for number in range(self.count):
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((worker_address(number), WORKER_PORT))
            self._servers.append(await loop.create_server(lambda: Peer(self._serve), sock=listener))
        return self

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    def _serve(self, peer: Peer, head: bytes, _body: bytes) -> None:
        if head.startswith(b"GET"):
            peer.write(response(200, b"rps=1,active=1,x0=2"))
            return
        peer.write(response(202 if head.startswith(b"POST") else 200))
        found = REQUEST_ID.search(head)
        if head.startswith(b"POST") and found:
            _, _, high, low = peer.local[0].split(".")
            number = int(high) * 256 + int(low)
            self.jobs.append((found[1].decode(), number))
            self.held.add(found[1].decode())
            task = asyncio.ensure_future(self._run(found[1].decode(), number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run(self, request: str, number: int) -> None:
        with contextlib.suppress(ConnectionError):  # the dispatcher has exited
            await self.call_back(request, number, "started")
            if not self.hold:
                await self.call_back(request, number, "done")

    async def call_back(self, request: str, number: int, state: str) -> None:
        worker = worker_entry(number)["host"]
        event = {"id": request, "from": worker, "state": state, "result": "x", "share": 0.5}
        data = post(b"/v1/job-events", json.dumps(event).encode())
        if not self.keep:
            call = await Call().open(*self.dispatcher)
            await call.begin(data)
            call.close()
            return
        if number not in self._event_connections:
            self._event_connections[number] = asyncio.ensure_future(Call().open(*self.dispatcher))
            self._locks[number] = asyncio.Lock()
        async with self._locks[number]:
            await (await self._event_connections[number]).begin(data)
