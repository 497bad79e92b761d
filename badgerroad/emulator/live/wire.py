"""HTTP/1.1 for the live emulator: a server's connections and a pool of callers, on the program's own parser."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from badgerroad.errors import BadgerroadError
from badgerroad.net import http1
from badgerroad.net.ring_buffer import RingBuffer

Address = tuple[str, int]


class Served(asyncio.Protocol):
    """One accepted connection. `on_message(connection, message, begun)` with the time of the message's first byte;
    `deaf` connections take bytes and say nothing."""

    def __init__(
        self,
        now: Callable[[], int],
        accept: Callable[[Served], bool],
        on_message: Callable[[Served, http1.Message, int], None],
        on_lost: Callable[[Served], None],
    ) -> None:
        """`accept` is called with the new connection, `on_lost` when it has ended."""
        self.now, self.accept, self.on_message, self.on_lost = now, accept, on_message, on_lost
        self.ring = RingBuffer(http1.MESSAGE_LIMIT)
        self.parser = http1.Parser(self.ring)
        self.begun = 0
        self.transport: asyncio.Transport | None = None
        self.hand: object = None  # what this connection carries now

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.Protocol."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if not self.accept(self):
            transport.abort()

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        if self.parser.idle:
            self.begun = self.now()
        try:
            self.ring.put(data)
            while (message := self.parser.next_message()) is not None:
                self.on_message(self, message, self.begun)
                self.begun = self.now()
        except (http1.BadMessageError, ValueError):
            self.abort()

    def answer(self, status: int, body: bytes = b"", headers: Iterable[tuple[bytes, bytes]] = ()) -> None:
        """Write an answer."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(http1.response(status, body, headers))

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        self.on_lost(self)


class Door:
    """A listener that can be shut, so that connections are refused, and opened again at the same address."""

    def __init__(self, loop: asyncio.AbstractEventLoop, make: Callable[[], asyncio.Protocol]) -> None:
        """`make` makes the protocol of an accepted connection."""
        self.loop, self.make, self.port = loop, make, 0
        self._server: asyncio.Server | None = None
        self._opening: asyncio.Task[None] | None = None

    async def open(self) -> None:
        """Listen, at the same address as before if there was one."""
        if self._server is None:
            self._server = await self.loop.create_server(self.make, "127.0.0.1", self.port, backlog=256)
            self.port = self._server.sockets[0].getsockname()[1]

    def shut(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
            self._server = None


class CallFailedError(BadgerroadError):
    """The call got no answer. `refused`: nobody listens; `silent_reuse`: a kept connection ended without a byte,
    as it does when its end crossed the request."""

    code = "gone"
    remedy = "none: a rehearsed fault"

    def __init__(self, refused: bool, silent_reuse: bool = False) -> None:
        """See the class."""
        super().__init__("refused" if refused else "broken off")
        self.refused, self.silent_reuse = refused, silent_reuse


class Caller(asyncio.Protocol):
    """One connection to a server: a call at a time."""

    def __init__(self) -> None:
        """Not connected yet."""
        self.ring = RingBuffer(http1.MESSAGE_LIMIT)
        self.parser = http1.Parser(self.ring, responses=True)
        self.transport: asyncio.Transport | None = None
        self.answer: asyncio.Future[http1.Message] | None = None
        self.uses, self.closed, self.got = 0, False, False
        self.unasked: Callable[[], None] = lambda: None  # a whole answer has come that no call waits for

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.Protocol."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol."""
        self.got = True
        try:
            self.ring.put(data)
            while (message := self.parser.next_message()) is not None:
                self._came(message)
        except (http1.BadMessageError, ValueError):
            self.close()

    def _came(self, message: http1.Message) -> None:
        if self.answer is None or self.answer.done():
            self.unasked()
            self.close()
            return
        if message.close:
            self.close()
        self.answer.set_result(message)

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.Protocol."""
        self.closed = True
        if self.answer is not None and not self.answer.done():
            self.answer.set_exception(CallFailedError(False, self.uses > 1 and not self.got))

    def close(self) -> None:
        """Close the connection."""
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


class Pool:
    """Kept connections by address; a call takes one or opens one."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """No connections yet."""
        self.loop = loop
        self.idle: dict[Address, list[Caller]] = {}
        self.out: set[Caller] = set()

    async def call(
        self, address: Address, data: bytes, sent: Callable[[Caller], None] = lambda c: None
    ) -> http1.Message:
        """One exchange; `sent` hears of the connection once the bytes are given to it. Raises CallFailedError."""
        caller = None
        kept = self.idle.get(address, [])
        while kept and caller is None:
            caller = kept.pop()
            if caller.closed:
                caller = None
        if caller is None:
            try:
                _, caller = await self.loop.create_connection(Caller, *address)
            except OSError as e:
                raise CallFailedError(True) from e
        caller.uses += 1
        caller.got = False
        caller.answer = self.loop.create_future()
        assert caller.transport is not None
        self.out.add(caller)
        try:
            caller.transport.write(data)
            sent(caller)
            answer = await caller.answer
        except asyncio.CancelledError:
            caller.close()
            raise
        finally:
            self.out.discard(caller)
        if not caller.closed:
            self.idle.setdefault(address, []).append(caller)
        return answer

    def close(self) -> None:
        """Close all connections."""
        for caller in [*self.out, *(c for kept in self.idle.values() for c in kept)]:
            caller.close()
