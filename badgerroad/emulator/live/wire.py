"""HTTP/1.1 servers and clients of the live emulator, built on the dispatcher's own parser."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from badgerroad.errors import BadgerroadError
from badgerroad.net import http1
from badgerroad.net.ring_buffer import RingBuffer

Address = tuple[str, int]


class ServerConnection(asyncio.Protocol):
    """An accepted connection, which calls `on_message(connection, message, first_byte_at)` for each message.

    `first_byte_at` is the time of the message's first byte, in microseconds of the run.
    """

    def __init__(
        self,
        now: Callable[[], int],
        accept: Callable[[ServerConnection], bool],
        on_message: Callable[[ServerConnection, http1.Message, int], None],
        on_lost: Callable[[ServerConnection], None],
    ) -> None:
        """Store the callbacks. `accept` returns whether to keep a new connection; `on_lost` is called at its end."""
        self.now, self.accept, self.on_message, self.on_lost = now, accept, on_message, on_lost
        self.ring = RingBuffer(http1.MESSAGE_LIMIT)
        self.parser = http1.Parser(self.ring)
        self.first_byte_at = 0
        self.transport: asyncio.Transport | None = None
        self.context: object = None  # set by the server: the attempt that this connection carries

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.Protocol."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if not self.accept(self):
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        if self.parser.idle:
            self.first_byte_at = self.now()
        try:
            self.ring.put(data)
            while (message := self.parser.next_message()) is not None:
                self.on_message(self, message, self.first_byte_at)
                self.first_byte_at = self.now()
        except (http1.BadMessageError, ValueError):
            self.abort()

    def answer(self, status: int, body: bytes = b"", headers: Iterable[tuple[bytes, bytes]] = ()) -> None:
        """Write a response, unless the connection is closing."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(http1.response(status, body, headers))

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        self.on_lost(self)


class Listener:
    """A listener that can be closed, so that connections are refused, and opened again at the same address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, make_protocol: Callable[[], asyncio.Protocol]) -> None:
        """Create a closed listener. `make_protocol` returns the protocol of an accepted connection."""
        self.loop, self.make_protocol, self.port = loop, make_protocol, 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Start listening, at the previous port if there was one."""
        if self._server is None:
            self._server = await self.loop.create_server(self.make_protocol, "127.0.0.1", self.port, backlog=256)
            self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
            self._server = None


class CallFailedError(BadgerroadError):
    """Raised when a call gets no answer.

    `refused`: the connection was refused. `stale_connection`: a reused connection ended before any byte of an
    answer, as when the server closed it while the request was on the way.
    """

    code = "gone"
    remedy = "none needed: the scenario causes this fault"

    def __init__(self, refused: bool, stale_connection: bool = False) -> None:
        """Set the text of the error, which is also the name of this outcome in the load generator's counts."""
        super().__init__("refused" if refused else "broken off")
        self.refused, self.stale_connection = refused, stale_connection


class ClientConnection(asyncio.Protocol):
    """A connection to a server that carries one call at a time."""

    def __init__(self) -> None:
        """Create the protocol, not yet connected."""
        self.ring = RingBuffer(http1.MESSAGE_LIMIT)
        self.parser = http1.Parser(self.ring, responses=True)
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[http1.Message] | None = None
        self.uses, self.closed, self.received = 0, False, False
        # This callback is called for a complete answer that no call is waiting for.
        self.on_unsolicited_answer: Callable[[], None] = lambda: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.Protocol."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        self.received = True
        try:
            self.ring.put(data)
            while (message := self.parser.next_message()) is not None:
                self._on_answer(message)
        except (http1.BadMessageError, ValueError):
            self.close()

    def _on_answer(self, message: http1.Message) -> None:
        if self.answer is None or self.answer.done():
            self.on_unsolicited_answer()
            self.close()
            return
        if message.close:
            self.close()
        self.answer.set_result(message)

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        self.closed = True
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(CallFailedError(False, self.uses > 1 and not self.received))

    def close(self) -> None:
        """Close the connection."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


class ConnectionPool:
    """Pool of client connections by address. A call reuses an idle connection or opens one."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create an empty pool."""
        self.loop = loop
        self.idle: dict[Address, list[ClientConnection]] = {}
        self.in_use: set[ClientConnection] = set()

    async def call(
        self, address: Address, data: bytes, on_sent: Callable[[ClientConnection], None] = lambda c: None
    ) -> http1.Message:
        """Send `data` and return the answer. `on_sent` is called with the connection after the write.

        Raises CallFailedError.
        """
        connection = None
        idle = self.idle.get(address, [])
        while idle and connection is None:
            connection = idle.pop()
            if connection.closed:
                connection = None
        if connection is None:
            try:
                _, connection = await self.loop.create_connection(ClientConnection, *address)
            except OSError as e:
                raise CallFailedError(True) from e
        connection.uses += 1
        connection.received = False
        connection.answer = self.loop.create_future()
        assert connection.transport is not None
        self.in_use.add(connection)
        try:
            connection.transport.write(data)
            on_sent(connection)
            answer = await connection.answer
        except asyncio.CancelledError:
            connection.close()
            raise
        finally:
            self.in_use.discard(connection)
        if not connection.closed:
            self.idle.setdefault(address, []).append(connection)
        return answer

    def close(self) -> None:
        """Close all connections."""
        for connection in [*self.in_use, *(c for idle in self.idle.values() for c in idle)]:
            connection.close()
