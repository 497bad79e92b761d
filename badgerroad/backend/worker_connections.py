"""The connections to each worker: address, idle pool, and the choice of a connection for a call."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from badgerroad.load_balancing import interface
from badgerroad.net import http1
from badgerroad.net.call_connection import CallConnection, NoDescriptorError
from badgerroad.net.connection import Address
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.timer_wheel import Timer, TimerWheel

DEFAULT_CONNECT_TIMEOUT_US = 1_000_000
DEFAULT_IDLE_TIMEOUT_US = 60_000_000
IDLE_TIME_FRACTION = 0.75  # of the allowed idle time, after which a connection is closed from this side

# Passes an idle connection to another process: descriptor, worker, address, microseconds that it may stay idle. False
# if this is not possible now.
ConnectionSuccessor = Callable[[int, str, Address, int], bool]


class WorkerConnections:
    """One worker: its address, its idle connections (the most recently used last) and the cancels on their way."""

    def __init__(self, name: str, address: Address) -> None:
        """A worker without connections."""
        self.name = name
        self.address = address
        self.idle: list[tuple[CallConnection, Timer]] = []
        self.cancelling: dict[bytes, asyncio.Future[None]] = {}

    @property
    def authority(self) -> str:
        """The value of the Host header."""
        return f"{self.address[0]}:{self.address[1]}"

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self.idle:
            connection, timer = self.idle.pop()
            timer.cancel()
            connection.close()

    def retire(self, connection: CallConnection) -> None:
        """Close one idle connection at the end of its idle time."""
        self.idle = [entry for entry in self.idle if entry[0] is not connection]
        connection.close()


class ConnectionPools:
    """The workers by name, each with its idle connections."""

    def __init__(
        self,
        timers: TimerWheel,
        descriptors: DescriptorBudget,
        settings: interface.Settings,
        free_descriptors: Callable[[], None],
    ) -> None:
        """`free_descriptors` takes descriptors from clients for an attempt."""
        self.timers = timers
        self.descriptors = descriptors
        self.settings = settings
        self.workers: dict[str, WorkerConnections] = {}
        self.successor: ConnectionSuccessor | None = None  # while another process takes the new requests
        self._free_descriptors = free_descriptors

    def set_address(self, name: str, address: Address) -> None:
        """The endpoint list has a worker, perhaps at a new address."""
        worker = self.workers.get(name)
        if worker is None:
            self.workers[name] = WorkerConnections(name, address)
        elif worker.address != address:
            worker.close_idle()
            worker.address = address

    def addresses(self) -> dict[str, Address]:
        """The address of each worker."""
        return {name: worker.address for name, worker in self.workers.items()}

    async def checkout(
        self, worker: WorkerConnections, connecting: Callable[[CallConnection], None] | None = None
    ) -> CallConnection:
        """An idle connection, or a new one, of which `connecting` is notified before it connects.

        Raises NoDescriptorError without a free descriptor and ConnectionBrokenError if the worker cannot be reached.
        """
        connection = self._idle_connection(worker)
        if connection is not None:
            return connection
        connection = self._new_connection()
        if connecting is not None:
            connecting(connection)
        timeout = self.settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT_US
        timer = self.timers.after(timeout, connection.close, awaits_peer=True)
        try:
            await connection.connect(worker.address)
        finally:
            timer.cancel()
        return connection

    @staticmethod
    def _idle_connection(worker: WorkerConnections) -> CallConnection | None:
        while worker.idle:
            connection, timer = worker.idle.pop()
            timer.cancel()
            if connection.reusable and not connection.peer_has_sent():
                return connection
            connection.close()
        return None

    def _new_connection(self) -> CallConnection:
        if self.descriptors.scarce:
            self.shed_idle_connections()
        if self.descriptors.nearly_exhausted:
            self._free_descriptors()
        if self.descriptors.exhausted:
            raise NoDescriptorError(False, "no descriptor left")
        try:
            return CallConnection(self.descriptors)
        except OSError as error:
            raise NoDescriptorError(False, f"no descriptor: {error}") from error

    def checkin(self, worker: WorkerConnections, connection: CallConnection) -> None:
        """Keep a connection for the next call, or close it if it cannot be used again."""
        if not connection.reusable or connection.address != worker.address:
            connection.close()
            return
        allowed = self.settings.connection_idle_timeout or DEFAULT_IDLE_TIMEOUT_US
        self._keep(worker, connection, int(allowed * IDLE_TIME_FRACTION))

    def _keep(self, worker: WorkerConnections, connection: CallConnection, idle: int) -> None:
        if (
            self.successor is not None
            and connection.no_read_in_progress
            and not connection.peer_has_sent()
            and self.successor(connection.stream.socket.fileno(), worker.name, worker.address, idle)
        ):
            connection.close()  # the other process has a copy of the descriptor
            return
        worker.idle.append((connection, self.timers.after(idle, lambda: worker.retire(connection))))

    async def call(self, worker: WorkerConnections, method: bytes, target: bytes, timeout: int) -> http1.Message:
        """A request without a body, with `timeout` in microseconds. Raises ConnectionBrokenError."""
        connection = await self.checkout(worker)
        timer = self.timers.after(timeout, connection.close, awaits_peer=True)
        try:
            response = await connection.call(http1.request(method, target, worker.authority))
        finally:
            timer.cancel()
        self.checkin(worker, connection)
        return response

    def pass_connections_on(self) -> None:
        """Pass the idle connections to the successor, which saves it the handshakes."""
        now = self.timers.clock.now()
        for worker in self.workers.values():
            idle = worker.idle
            worker.idle = []
            for connection, timer in idle:
                timer.cancel()
                self._keep(worker, connection, max(timer.due_at - now, 0))

    def adopt_connection(self, sock: socket.socket, name: str, address: Address, idle: int) -> None:
        """Take over an idle connection of another process, for `idle` microseconds."""
        worker = self.workers.get(name)
        if worker is None or worker.address != address or self.descriptors.exhausted:
            sock.close()
            return
        sock.setblocking(False)
        self._keep(worker, CallConnection(self.descriptors, sock=sock, address=address), idle)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to one worker."""
        worker = self.workers.get(name)
        if worker is not None:
            worker.close_idle()

    def shed_idle_connections(self) -> None:
        """Close all idle connections, since descriptors are scarce."""
        for worker in self.workers.values():
            worker.close_idle()

    def forget_unlisted(self, listed: Callable[[str], bool], busy: set[str]) -> None:
        """Forget the workers that are not on the endpoint list; `busy`: those with an attempt, which stay."""
        for name in [name for name in self.workers if not listed(name)]:
            worker = self.workers[name]
            worker.close_idle()
            if name not in busy and not worker.cancelling:
                del self.workers[name]
