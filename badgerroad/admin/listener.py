"""The admin listener: serves `GET /ready` and `GET /metrics` over HTTP/1.1, one request per connection.

Its connections have a separate descriptor budget, so that clients and attempts cannot exhaust it.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop

from badgerroad.net import http1
from badgerroad.net.connection import Connection
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.http1 import HEADER_LIMIT
from badgerroad.net.memory_budget import MemoryBudget
from badgerroad.net.socket_stream import Address
from badgerroad.net.timer_wheel import TimerWheel

# Most connections open at one time. Two or three monitoring requests arrive every second; the rest is for idle
# connections. The oldest idle connection is closed when all are in use, so that a peer that sends a request is always
# accepted.
MAX_CONNECTIONS = 12
RESERVED_DESCRIPTORS = MAX_CONNECTIONS + 2  # withheld from clients and attempts; 2 for the listener and the next accept
REQUEST_TIMEOUT_US = 1_500_000  # from the connection to the end of its request; a response is due within 1 s
# A request arrives shortly after its connection. Connections below this age are not closed, so that idle peers which
# reconnect immediately cannot displace those that send a request; further connections wait in the backlog.
MIN_CLOSE_AGE_US = 100_000
ACCEPT_PAUSE_US = 10_000  # pause of accepting while all connections are below MIN_CLOSE_AGE_US
LINGER_US = 250_000  # how long bytes after the request are read and discarded, so that no reset destroys the response
BACKLOG = 128  # most connections that wait to be accepted while this process is busy
BODY_LIMIT_BYTES = 1_024  # largest body of a request; no request defined here has a body


class AdminConnection(Connection):
    """A connection for one request, closed after the response."""

    def __init__(self, sock: socket.socket, listener: Listener) -> None:
        """Take ownership of `sock`, unless OSError is raised."""
        super().__init__(sock, listener.descriptors, listener.memory, responses=False, body_limit=BODY_LIMIT_BYTES)
        self.listener = listener
        self.answered = False  # a response has been sent, possibly an error
        self.connected_at = listener.timers.clock.now()
        self._timer = listener.timers.after(REQUEST_TIMEOUT_US, self._on_timeout, awaits_peer=True)

    def wants_message(self) -> bool:
        """Whether the request has not been answered yet."""
        return not self.answered

    def on_message(self, message: http1.Message) -> None:
        """Respond to the request."""
        self._respond(*self.listener.response_to(message))

    def on_bad_message(self, error: http1.BadMessageError) -> None:
        """Respond to bytes that are not a valid request."""
        self._respond(error.status, str(error).encode() + b"\n")

    def _on_timeout(self) -> None:
        if self.answered or self.parser.idle:
            self.close()
        else:
            self.on_bad_message(http1.BadMessageError(408, "the call stopped halfway"))

    def _respond(self, status: int, body: bytes, headers: http1.Headers | None = None) -> None:
        if not self.answered:
            self.answered = self.lingering = True
            self._timer.cancel()
            self._timer = self.listener.timers.after(LINGER_US, self.close)
            self.send(http1.response(status, body, headers or [], close=True))

    def on_written(self) -> None:
        """Close the connection, or with unread bytes only its writing side, so that the peer gets the response."""
        if self.peer_has_sent() or len(self.receive_buffer):
            try:
                self.stream.shut_down_writing()  # a close with unread bytes would be a reset
                return
            except OSError:
                pass
        self.close()

    def on_closed(self) -> None:
        """Remove the connection from its listener."""
        self._timer.cancel()
        self.listener.connections.pop(self, None)


class Listener:
    """Listens at the admin address and tracks its connections."""

    def __init__(self, timers: TimerWheel, ready: Callable[[], bool], metrics: Callable[[], dict[str, Any]]) -> None:
        """Create a listener that does not listen yet.

        `ready` returns whether this process accepts clients; `metrics` is called for each request of `/metrics`.
        """
        self.timers = timers
        self._ready = ready
        self._metrics = metrics
        self.descriptors = DescriptorBudget(
            MAX_CONNECTIONS + DescriptorBudget.RESERVE
        )  # separate from the budget of clients and attempts
        self.memory = MemoryBudget(MAX_CONNECTIONS * (HEADER_LIMIT + BODY_LIMIT_BYTES))  # separate for the same reason
        self.connections: dict[AdminConnection, None] = {}  # open connections, oldest first
        self._socket: socket.socket | None = None
        self._loop = IOLoop.current()

    def listen(self, address: Address) -> Address:
        """Listen at `address`; returns it with the actual port. Raises OSError."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind(address)
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        self._socket = listener
        self._loop.add_handler(listener, self._accept, IOLoop.READ)
        host, port = listener.getsockname()
        return host, port

    def _accept(self, listener: socket.socket, events: int) -> None:
        for _ in range(MAX_CONNECTIONS):
            if len(self.connections) >= MAX_CONNECTIONS and not self._close_oldest_idle():
                self._loop.remove_handler(listener)
                self.timers.after(ACCEPT_PAUSE_US, self._resume_accepting)
                return
            try:
                sock, _peer = listener.accept()
            except OSError:
                return  # nothing to accept; if descriptors ran out, the next loop iteration retries
            try:
                connection = AdminConnection(sock, self)
            except OSError:
                sock.close()
                continue
            self.connections[connection] = None
            connection.start_reading()

    def _resume_accepting(self) -> None:
        if self._socket is not None:
            self._loop.add_handler(self._socket, self._accept, IOLoop.READ)

    def _close_oldest_idle(self) -> bool:
        """Close the oldest idle connection that is older than MIN_CLOSE_AGE_US; returns False if there is none."""
        connected_before = self.timers.clock.now() - MIN_CLOSE_AGE_US
        for connection in self.connections:
            if (
                not connection.answered
                and connection.connected_at <= connected_before
                and not connection.peer_has_sent()
            ):
                connection.close()
                return True
        return False

    def response_to(self, message: http1.Message) -> tuple[int, bytes, http1.Headers]:
        """Return status, body and headers of the response to a request."""
        path = message.path
        if path not in (b"/ready", b"/metrics"):
            return 404, b"no such path\n", []
        if message.method != b"GET":
            return 405, b"wrong method\n", [(b"Allow", b"GET")]
        if path == b"/ready":
            return (200, b"ready\n", []) if self._ready() else (503, b"not ready\n", [])
        text = json.dumps(self._metrics(), separators=(",", ":")).encode()
        return 200, text, [(b"Content-Type", b"application/json")]

    def close(self) -> None:
        """Close the listening socket and all connections."""
        if self._socket is not None:
            self._loop.remove_handler(self._socket)  # no effect if accepting is paused
            self._socket.close()
            self._socket = None
        for connection in list(self.connections):
            connection.close()
