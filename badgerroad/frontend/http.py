"""The frontend for HTTP/1.1: serves clients, and job events of workers and `/-/ready` at the same address."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from badgerroad.frontend import client, eviction, job_events
from badgerroad.frontend.client import ClientConnection, ConnectionSuccessor
from badgerroad.frontend.exchange import Exchange, RequestHandler
from badgerroad.frontend.listener import Listener, open_socket
from badgerroad.frontend.memory_relief import MemoryRelief
from badgerroad.net import http1
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.memory_budget import MemoryBudget
from badgerroad.net.socket_stream import Address
from badgerroad.net.timer_wheel import TimerWheel

# When this process ends, how long it still reads bytes that have arrived on its connections. Clients then have the same
# time again to notice the end of their connections.
FINAL_READ_TIME_US = 300_000
READY_PATH = b"/-/ready"
JOB_EVENTS_PATH = b"/v1/job-events"


class Frontend:
    """Accepts connections of clients and passes their requests to a request handler."""

    def __init__(
        self,
        timers: TimerWheel,
        descriptors: DescriptorBudget,
        memory: MemoryBudget,
        request_handler: RequestHandler,
    ) -> None:
        """Create a frontend that accepts nothing before `listen`, or `adopt_listener` and `start_accepting`."""
        self.timers = timers
        self.descriptors = descriptors
        self.memory = memory
        self.request_handler = request_handler
        self.connections: set[ClientConnection] = set()
        self.draining = False
        self.successor: ConnectionSuccessor | None = None  # set while another process receives the new requests
        self.serving = False  # this process serves new connections, even while the listener is paused
        self._shutdown_started_at: int | None = None
        self.memory_relief = MemoryRelief(timers.clock, memory, self.connections)
        self._listener = Listener(
            timers, self._before_batch, self._has_descriptor, self._on_accepted, self._accept_after_pause
        )

    # The listener.

    def listen(self, address: Address, shared: bool = False) -> Address:
        """Listen at `address` and accept; with `shared`, other processes may listen there too. Raises OSError."""
        return self.adopt_listener(open_socket(address, shared), accept=True)

    def adopt_listener(self, listener: socket.socket, accept: bool) -> Address:
        """Take ownership of a listening socket, optionally start accepting, and return its address."""
        self._listener.adopt(listener)
        if accept:
            self.start_accepting()
        host, port = listener.getsockname()
        return host, port

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket, or None if it is closed."""
        return self._listener.socket

    @property
    def accepting(self) -> bool:
        """Whether the listener is accepting and not paused."""
        return self._listener.accepting

    def start_accepting(self) -> None:
        """Start accepting connections."""
        if self._listener.start():
            self.serving = True

    def _accept_after_pause(self) -> None:
        if self.successor is None:
            self.start_accepting()

    def _before_batch(self) -> None:
        """Free descriptors if they are scarce; called once per batch of accepts, since it searches all connections."""
        if self.descriptors.scarce:
            self.shed_idle_connections()
            if self.descriptors.scarce:
                self.request_handler.shed_idle_connections()

    def _has_descriptor(self) -> bool:
        if self.descriptors.reserved_for_attempts:
            self._close_while_needed(lambda: self.descriptors.scarce, client.EVICTION_GRACE_US)
        return not self.descriptors.reserved_for_attempts

    def _on_accepted(self, sock: socket.socket) -> None:
        connection = self._add_connection(sock)
        if connection is not None:
            connection.start_reading()

    def _add_connection(self, sock: socket.socket) -> ClientConnection | None:
        """Return the new connection, or None if the socket has already been closed by its peer."""
        try:
            connection = ClientConnection(sock, self)
        except OSError:
            sock.close()
            return None
        self.connections.add(connection)
        return connection

    # Eviction.

    def shed_idle_connections(self) -> None:
        """End idle connections until enough descriptors are free, or all idle connections while draining."""
        eviction.end_idle(self.connections, self.descriptors, self.timers.clock.now(), not self.draining)

    def free_descriptors(self) -> None:
        """Close clients' connections without a complete request while descriptors are nearly exhausted.

        The attempts of complete requests need these descriptors.
        """
        self._close_while_needed(lambda: self.descriptors.nearly_exhausted, 0)

    def _close_while_needed(self, is_needed: Callable[[], bool], min_inactive_us: int) -> None:
        eviction.close_while_needed(self.connections, is_needed, min_inactive_us, self.timers.clock.now())

    # Requests.

    def handle(self, message: http1.Message, exchange: Exchange) -> None:
        """Route a request by its path."""
        path = message.path
        if path == READY_PATH:
            allowed, respond = b"GET", self._respond_ready
        elif path == JOB_EVENTS_PATH:
            allowed, respond = b"POST", self._respond_job_event
        elif self.request_handler.serves_path(path):
            allowed, respond = b"POST", self._handle_request
        else:
            exchange.answer(404, b"no such path\n")
            return
        if message.method != allowed:
            exchange.answer(405, b"wrong method\n", [(b"Allow", allowed)])
        else:
            respond(message, exchange)

    def _respond_ready(self, message: http1.Message, exchange: Exchange) -> None:
        ready = self.request_handler.ready and not self.draining
        exchange.answer(200 if ready else 503, b"ready\n" if ready else b"not ready\n")

    def _respond_job_event(self, message: http1.Message, exchange: Exchange) -> None:
        job_events.handle_job_event(message, exchange, self.request_handler)

    def _handle_request(self, message: http1.Message, exchange: Exchange) -> None:
        if self.descriptors.nearly_exhausted:
            self.free_descriptors()
        if self.descriptors.nearly_exhausted:
            self._reject(message, exchange, b"too many connections\n")
        elif self.memory.exhausted:
            self._reject(message, exchange, b"too little memory\n")
        else:
            self.request_handler.handle_request(message, exchange)

    def _reject(self, message: http1.Message, exchange: Exchange, reason: bytes) -> None:
        self.request_handler.record_rejection(message.path)
        exchange.answer(503, reason, client.RETRY_SOON, close=True)

    # Transfer to another process of the same dispatcher.

    def adopt_connection(
        self,
        sock: socket.socket,
        state: dict[str, Any],
        data: bytes,
        restore_request: Callable[[ClientConnection], None] | None = None,
    ) -> None:
        """Take over a client's connection from another process.

        `data` holds the bytes of the next request that the other process has read; `restore_request` adds the open
        request.
        """
        sock.setblocking(False)
        connection = self._add_connection(sock)
        if connection is None:
            return
        try:
            connection.restore(state, data, restore_request)
        except Exception:
            connection.close()  # otherwise the client would wait on a connection that nobody reads
            raise
        if not connection.closed:
            connection.start_reading()

    def yield_to(self, successor: ConnectionSuccessor) -> None:
        """Stop accepting, as another process receives the new requests; the listener stays open.

        Connections are transferred to that process once they are idle: at the next `pass_connections_on`, or after a
        response is written.
        """
        self.successor = successor
        self.serving = False
        self._listener.pause()

    def pass_connections_on(self) -> None:
        """Transfer the connections that can be transferred now to the successor."""
        for connection in list(self.connections):
            connection.pass_to_successor()

    @property
    def has_connections_to_pass(self) -> bool:
        """Whether any connection has yet to be transferred."""
        return any(not connection.lingering for connection in self.connections)

    @property
    def has_requests_to_pass(self) -> bool:
        """Whether a part of a request has arrived on a connection that has yet to be transferred."""
        return any(
            not connection.lingering and (connection.may_need_response or not connection.parser.idle)
            for connection in self.connections
        )

    def resume_accepting(self) -> None:
        """Accept and handle requests again, as the other process has ended or has returned the new requests."""
        self.successor = None
        self.draining = False
        self.start_accepting()
        for connection in list(self.connections):
            if connection.exchange is None:
                connection.resume()

    # Shutdown.

    def drain(self) -> None:
        """End each connection after its response; the listener stays open for late clients and job events."""
        self.draining = True
        self.shed_idle_connections()

    def retire(self) -> None:
        """Drain after another process has taken over, if connections cannot be transferred to it."""
        self.successor = None
        self.drain()

    def mark_draining(self) -> None:
        """Set the draining state without ending connections, all of which are transferred to another process."""
        self.draining = True

    @property
    def has_pending_responses(self) -> bool:
        """Whether a complete request has no response yet, or a response is being written.

        Incomplete requests do not count: clients that never complete a request must not delay the end of a drain.
        """
        return any(connection.has_pending_response for connection in self.connections)

    def end_connections(self) -> bool:
        """Accept the connections in the backlog, then end all that have no pending response.

        Called repeatedly until it returns True, which means that the process may exit. The listener stays open while a
        request may still be read or answered, as workers report on it by new connections.
        """
        now = self.timers.clock.now()
        if self._shutdown_started_at is None:
            self._shutdown_started_at = now
            self.draining = True
        elapsed = now - self._shutdown_started_at
        reading_is_over = elapsed >= FINAL_READ_TIME_US
        backlog_is_empty = self._listener.accept_backlog(lambda: not self.descriptors.exhausted)
        awaited = [
            connection
            for connection in self.connections
            if connection.may_need_response or connection.awaits_first_request(now)
        ]
        if reading_is_over or (backlog_is_empty and not awaited):
            self._listener.close()
        for connection in list(self.connections):
            if connection.has_pending_response:
                continue
            if reading_is_over or connection not in awaited:
                connection.end_gracefully()
        all_closed = self.listener is None and not self.connections
        return all_closed or elapsed >= 2 * FINAL_READ_TIME_US

    def close(self) -> None:
        """Close the listener and all connections."""
        self._listener.close()
        for connection in list(self.connections):
            connection.close()
