"""HTTP/1.1 connections of the simulated discovery, workers and clients, with a count of the bytes they transfer."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable

LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


def response(status: int, body: bytes = b"") -> bytes:
    """Return the bytes of a response."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body


def post(target: bytes, body: bytes, *headers: bytes) -> bytes:
    """Return the bytes of a POST request."""
    lines = [b"POST " + target + b" HTTP/1.1", b"Host: dispatcher", *headers, b"Content-Length: %d" % len(body)]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class Peer(asyncio.Protocol):
    """A client or server connection; `on_message` is called with header and body of each complete message."""

    to_dispatcher = 0  # bytes sent to the dispatcher on all connections so far
    from_dispatcher = 0

    def __init__(self, on_message: Callable[[Peer, bytes, bytes], None]) -> None:
        self.on_message = on_message
        self.on_lost: Callable[[Peer], None] = lambda peer: None
        self.transport: asyncio.Transport | None = None
        self.local: tuple[str, int] = ("", 0)
        self._buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.local = transport.get_extra_info("sockname")

    def data_received(self, data: bytes) -> None:
        Peer.from_dispatcher += len(data)
        self._buffer += data
        while (end := self._buffer.find(b"\r\n\r\n")) >= 0:
            head = bytes(self._buffer[:end])
            found = LENGTH.search(head)
            message_end = end + 4 + (int(found[1]) if found else 0)
            if len(self._buffer) < message_end:
                return
            body = bytes(self._buffer[end + 4 : message_end])
            del self._buffer[:message_end]
            self.on_message(self, head, body)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            Peer.to_dispatcher += len(data)
            self.transport.write(data)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.on_lost(self)


def _retrieve_exception(response_future: asyncio.Future[tuple[int, bytes]]) -> None:
    """Mark the exception as retrieved, so that asyncio does not log one for which no caller waits any more."""
    if not response_future.cancelled():
        response_future.exception()


class Traffic:
    """Counts the bytes between the dispatcher and all its peers since the object was created."""

    def __init__(self) -> None:
        self._in, self._out = Peer.to_dispatcher, Peer.from_dispatcher

    @property
    def bytes_in(self) -> float:
        return float(Peer.to_dispatcher - self._in)

    @property
    def bytes_out(self) -> float:
        return float(Peer.from_dispatcher - self._out)


class Call:
    """A client connection with one request at a time."""

    def __init__(self) -> None:
        self.peer = Peer(self._answered)
        self.peer.on_lost = self._lost
        self.waiting: asyncio.Future[tuple[int, bytes]] | None = None
        self.lost = False

    async def open(self, host: str, port: int) -> Call:
        await asyncio.get_running_loop().create_connection(lambda: self.peer, host, port)
        return self

    def begin(self, data: bytes) -> asyncio.Future[tuple[int, bytes]]:
        """Send a request; the future gets status and body of the response, or ConnectionResetError."""
        self.waiting = asyncio.get_running_loop().create_future()
        self.waiting.add_done_callback(_retrieve_exception)
        if self.lost:
            self._lost(self.peer)
        else:
            self.peer.write(data)
        return self.waiting

    async def get(self, target: bytes) -> int:
        """Send a GET request, and return the status of the response."""
        status, _body = await self.begin(b"GET " + target + b" HTTP/1.1\r\nHost: dispatcher\r\n\r\n")
        return status

    def _answered(self, _peer: Peer, head: bytes, body: bytes) -> None:
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result((int(head.split(b" ", 2)[1]), body))

    def _lost(self, _peer: Peer) -> None:
        self.lost = True
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(ConnectionResetError("the dispatcher closed the connection"))

    def close(self) -> None:
        self.peer.close()
