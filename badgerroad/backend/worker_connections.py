"""Pools of connections to the workers: addresses, idle connections, and checkout of a connection for a call."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple

from badgerroad.load_balancing import interface
from badgerroad.net import http1
from badgerroad.net.call_connection import CallConnection, ConnectionBrokenError, LocalNetworkError, NoDescriptorError
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.memory_budget import MemoryBudget
from badgerroad.net.socket_stream import Address
from badgerroad.net.timer_wheel import Timer, TimerWheel

DEFAULT_CONNECT_TIMEOUT_US = 1_000_000
DEFAULT_IDLE_TIMEOUT_US = 60_000_000
# Delays before a connection is opened again after an error of this machine.
LOCAL_RETRY_DELAYS_S = (0.002, 0.01, 0.03, 0.06)
IDLE_TIME_FRACTION = 0.75  # this side closes a connection after this fraction of the idle time that workers allow

# Transfers an idle connection to another process, given its descriptor, worker, address, and the microseconds that it
# may stay idle. Returns False if the transfer is not possible now.
ConnectionSuccessor = Callable[[int, str, Address, int], bool]


class CancelOutcome(NamedTuple):
    """The end of a cancel: the status of the worker's response, or the error that prevented a response.

    `timed_out`: the worker did not respond in time.
    """

    status: int = 0
    error: ConnectionBrokenError | None = None
    timed_out: bool = False


class WorkerConnections:
    """One worker: its address, its idle connections (the most recently used last) and its cancels in progress."""

    def __init__(self, name: str, address: Address) -> None:
        """Create a worker without connections."""
        self.name = name
        self.address = address
        self.idle: list[tuple[CallConnection, Timer]] = []
        self.cancelling: dict[bytes, asyncio.Future[CancelOutcome]] = {}

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
        """Remove and close one idle connection whose idle time is over."""
        self.idle = [entry for entry in self.idle if entry[0] is not connection]
        connection.close()


class ConnectionPools:
    """The workers by name, each with its idle connections."""

    def __init__(
        self,
        timers: TimerWheel,
        descriptors: DescriptorBudget,
        memory: MemoryBudget,
        settings: interface.Settings,
        free_descriptors: Callable[[], None],
    ) -> None:
        """Create the pools without workers; `free_descriptors` closes clients' connections in favour of an attempt."""
        self.timers = timers
        self.descriptors = descriptors
        self.memory = memory
        self.settings = settings
        self.workers: dict[str, WorkerConnections] = {}
        self.successor: ConnectionSuccessor | None = None  # set while another process receives the new requests
        self._free_descriptors = free_descriptors

    def set_address(self, name: str, address: Address) -> None:
        """Add a worker of the endpoint list, or change its address, which closes its idle connections."""
        worker = self.workers.get(name)
        if worker is None:
            self.workers[name] = WorkerConnections(name, address)
        elif worker.address != address:
            worker.close_idle()
            worker.address = address

    def addresses(self) -> dict[str, Address]:
        """Return the address of each worker by name."""
        return {name: worker.address for name, worker in self.workers.items()}

    async def checkout(
        self, worker: WorkerConnections, on_connecting: Callable[[CallConnection], None] | None = None
    ) -> CallConnection:
        """Return an idle connection, or open a new one and call `on_connecting` with it before it connects.

        Raises NoDescriptorError or LocalNetworkError if this machine cannot open one, and another ConnectionBrokenError
        if the worker cannot be reached.
        """
        for delay_s in LOCAL_RETRY_DELAYS_S:
            connection = self._idle_connection(worker)
            if connection is not None:
                return connection
            try:
                return await self._connect(worker, on_connecting)
            except LocalNetworkError:
                await asyncio.sleep(delay_s)
        return await self._connect(worker, on_connecting)

    async def _connect(
        self, worker: WorkerConnections, on_connecting: Callable[[CallConnection], None] | None
    ) -> CallConnection:
        """Open a connection; the errors are those of `checkout`."""
        connection = self._new_connection()
        if on_connecting is not None:
            on_connecting(connection)
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
            raise NoDescriptorError(False, "no file descriptor is free for a connection to a worker")
        try:
            return CallConnection(self.descriptors, self.memory)
        except OSError as error:
            raise LocalNetworkError(False, f"cannot create a socket for a connection to a worker: {error}") from error

    def checkin(self, worker: WorkerConnections, connection: CallConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        if not connection.reusable or connection.address != worker.address:
            connection.close()
            return
        allowed = self.settings.connection_idle_timeout or DEFAULT_IDLE_TIMEOUT_US
        self._add_idle(worker, connection, int(allowed * IDLE_TIME_FRACTION))

    def _add_idle(self, worker: WorkerConnections, connection: CallConnection, idle_us: int) -> None:
        if not connection.reusable:
            connection.close()
            return
        if (
            self.successor is not None
            and not connection.peer_has_sent()
            and self.successor(connection.stream.socket.fileno(), worker.name, worker.address, idle_us)
        ):
            connection.close()  # the successor has a copy of the descriptor
            return
        worker.idle.append((connection, self.timers.after(idle_us, lambda: worker.retire(connection))))

    async def call(self, worker: WorkerConnections, method: bytes, target: bytes, timeout: int) -> http1.Message:
        """Send a request without a body and return the response.

        `timeout` is in microseconds. Raises ConnectionBrokenError.
        """
        connection = await self.checkout(worker)
        timer = self.timers.after(timeout, connection.close, awaits_peer=True)
        try:
            response = await connection.call(http1.request(method, target, worker.authority))
        finally:
            timer.cancel()
        self.checkin(worker, connection)
        return response

    def pass_connections_on(self) -> None:
        """Transfer the idle connections to the successor, so that it need not open new ones."""
        now = self.timers.clock.now()
        for worker in self.workers.values():
            connections = worker.idle
            worker.idle = []
            for connection, timer in connections:
                timer.cancel()
                self._add_idle(worker, connection, max(timer.due_at - now, 0))

    def adopt_connection(self, sock: socket.socket, name: str, address: Address, idle_us: int) -> None:
        """Take over an idle connection from another process and keep it for `idle_us` at most."""
        worker = self.workers.get(name)
        if worker is None or worker.address != address or self.descriptors.exhausted:
            sock.close()
            return
        sock.setblocking(False)
        self._add_idle(worker, CallConnection(self.descriptors, self.memory, sock=sock, address=address), idle_us)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to worker `name`."""
        worker = self.workers.get(name)
        if worker is not None:
            worker.close_idle()

    def shed_idle_connections(self) -> None:
        """Close all idle connections to free their descriptors."""
        for worker in self.workers.values():
            worker.close_idle()

    def forget_unlisted(self, is_listed: Callable[[str], bool], busy_workers: set[str]) -> None:
        """Remove the workers that are not on the endpoint list and have neither an open attempt nor an open cancel.

        `busy_workers` holds the names of the workers with an open attempt.
        """
        for name in [name for name in self.workers if not is_listed(name)]:
            worker = self.workers[name]
            worker.close_idle()
            if name not in busy_workers and not worker.cancelling:
                del self.workers[name]
