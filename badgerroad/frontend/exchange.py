"""One request of a client and its response, and the interface of what handles requests."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

from badgerroad.net import http1


class RespondingConnection(Protocol):
    """What an exchange needs of the connection by which its request came."""

    def respond(self, status: int, body: bytes, headers: Iterable[tuple[bytes, bytes]], close: bool) -> None:
        """Send the response to the open request."""

    def peer_has_closed(self) -> bool:
        """Whether the client's end has arrived."""

    def close(self) -> None:
        """Close the connection."""


class Exchange:
    """One request of a client, which gets exactly one final response."""

    __slots__ = ("connection", "answered", "number")

    def __init__(self, connection: RespondingConnection) -> None:
        """`number` is the dispatcher's, once it has admitted the request."""
        self.connection = connection
        self.answered = False
        self.number = 0

    def answer(
        self, status: int, body: bytes = b"", headers: Iterable[tuple[bytes, bytes]] = (), close: bool = False
    ) -> None:
        """Send the final response; no effect after the first. `close`: the connection ends with it."""
        if not self.answered:
            self.answered = True
            self.connection.respond(status, body, headers, close)

    def client_has_closed(self) -> bool:
        """Whether the client's end has arrived, even if it is not read yet."""
        return self.connection.peer_has_closed()

    def close(self) -> None:
        """The client has disconnected: no response is due any more."""
        self.connection.close()


class RequestHandler(Protocol):
    """What handles the requests of clients: the dispatcher."""

    def handle_request(self, message: http1.Message, exchange: Exchange) -> None:
        """A request for a path that it serves."""

    def client_disconnected(self, exchange: Exchange) -> None:
        """The client of an open request has disconnected."""

    def handle_job_event(self, request_id: bytes, host: str, state: str, item: dict[str, Any]) -> None:
        """A worker reports an event of a job; `item` is the complete report."""

    @property
    def ready(self) -> bool:
        """Whether requests can be forwarded."""

    def serves_path(self, path: bytes) -> bool:
        """Whether a path is one of its own."""

    def shed_idle_connections(self) -> None:
        """Close idle connections to workers, since descriptors are scarce."""

    def record_rejection(self, path: bytes) -> None:
        """A request was rejected before it was handled, for want of descriptors."""
