"""A request of a client with its response, and the interface of the request handler."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from badgerroad.net import http1


class RespondingConnection(Protocol):
    """The interface through which an exchange uses the connection of its request."""

    def respond(self, status: int, body: bytes, headers: Iterable[tuple[bytes, bytes]], close: bool) -> None:
        """Send the response to the open request."""

    def peer_has_closed(self) -> bool:
        """Whether the client has closed its side."""

    def close(self) -> None:
        """Close the connection."""


class Exchange:
    """One request of a client, which gets exactly one final response."""

    __slots__ = ("_connection", "answered", "number", "deadline")

    def __init__(self, connection: RespondingConnection) -> None:
        """Create the exchange of a request.

        `number` is 0 until the dispatcher admits the request and numbers it; `deadline`, in microseconds of the clock,
        is 0 until then too.
        """
        self._connection: RespondingConnection | None = connection  # None once the exchange is over
        self.answered = False
        self.number = 0
        self.deadline = 0

    def answer(
        self, status: int, body: bytes = b"", headers: Iterable[tuple[bytes, bytes]] = (), close: bool = False
    ) -> None:
        """Send the final response; later calls have no effect. With `close`, the connection ends after it."""
        connection = self._connection
        self.abandon()
        if connection is not None:
            connection.respond(status, body, headers, close)

    def abandon(self) -> None:
        """End the exchange without a response: its client has gone, or another process responds."""
        self.answered = True
        self._connection = None

    def client_has_closed(self) -> bool:
        """Whether the client has closed its side, even if this has not been read from the socket yet."""
        return self._connection is None or self._connection.peer_has_closed()

    def close(self) -> None:
        """Close the connection of the client, which gets no response."""
        if self._connection is not None:
            self._connection.close()


class RequestHandler(Protocol):
    """The interface of the dispatcher, which handles the requests of clients."""

    def handle_request(self, message: http1.Message, exchange: Exchange) -> None:
        """Handle a request whose path `serves_path` accepts."""

    def client_disconnected(self, exchange: Exchange) -> None:
        """Handle the disconnect of the client of an open request."""

    def handle_job_event(self, request_id: bytes, host: str, state: str, item: dict[str, Any]) -> None:
        """Handle a job event reported by worker `host`; `item` is the decoded event with all its fields."""

    @property
    def ready(self) -> bool:
        """Whether requests can be forwarded."""

    def serves_path(self, path: bytes) -> bool:
        """Whether requests for `path` are forwarded to workers."""

    def shed_idle_connections(self) -> None:
        """Close idle connections to workers to free their descriptors."""

    def record_rejection(self, path: bytes) -> None:
        """Count a request that was rejected before it was handled because descriptors were scarce."""
