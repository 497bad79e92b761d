"""A client connection over which this process calls a worker or discovery, one call at a time."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable

from badgerroad.errors import BadgerroadError
from badgerroad.net.connection import Connection
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.http1 import BODY_LIMIT, BadMessageError, Message
from badgerroad.net.memory_budget import MemoryBudget
from badgerroad.net.socket_stream import Address

# Errors of `socket` and `connect` that concern this machine, mostly for a moment: it lacks a descriptor, a buffer, a
# local port or a route.
LOCAL_ERRORS = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.EADDRINUSE,
        errno.EAGAIN,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EPERM,
        errno.EACCES,
    )
)


class ConnectionBrokenError(BadgerroadError):
    """The connection ended before the response.

    `sent` is true if the last byte of the request had been written, `response_begun` if a part of the response had
    been received.
    """

    code = "broken"
    remedy = "if this persists, check the peer and the network between this process and it"

    def __init__(self, sent: bool, reason: str, response_begun: bool = False) -> None:
        """Create the error; `reason` is the text for the log."""
        super().__init__(reason)
        self.sent = sent
        self.response_begun = response_begun


class NoDescriptorError(ConnectionBrokenError):
    """This process had no free file descriptor; nothing was sent, and the peer is not at fault."""

    code = "descriptors"
    remedy = "raise limits.sockets, or start more dispatchers"


class LocalNetworkError(ConnectionBrokenError):
    """This machine could not open a connection, mostly for a moment; nothing was sent, and the peer is not at fault."""

    code = "local"
    remedy = "if this persists, check this machine's local ports, memory, routes and firewall"


class CallConnection(Connection):
    """A connection to a worker or to discovery that carries one call at a time."""

    def __init__(
        self,
        descriptors: DescriptorBudget,
        memory: MemoryBudget,
        body_limit: int = BODY_LIMIT,
        sock: socket.socket | None = None,
        address: Address | None = None,
    ) -> None:
        """Use `sock`, an idle socket already connected to `address`, or create a new socket. Raises OSError."""
        self.address = address
        self._response: asyncio.Future[Message] | None = None
        self._on_sent: Callable[[], None] | None = None
        super().__init__(
            sock or socket.socket(socket.AF_INET, socket.SOCK_STREAM),
            descriptors,
            memory,
            responses=True,
            body_limit=body_limit,
        )
        self._may_be_reused = sock is not None
        if sock is not None:
            self.start_reading()

    async def connect(self, address: Address) -> None:
        """Connect to `address`. Raises LocalNetworkError or another ConnectionBrokenError, with `sent` false."""
        self.address = address
        try:
            await self.stream.connect(address)
        except OSError as error:
            if self.closed:
                reason = "connection closed by this process while connecting"
                raise ConnectionBrokenError(False, reason) from error
            self.close()
            reason = f"cannot connect: {error}"
            if error.errno in LOCAL_ERRORS:
                raise LocalNetworkError(False, reason) from error
            raise ConnectionBrokenError(False, reason) from error
        if self.closed:
            raise ConnectionBrokenError(False, "connection closed by this process while connecting")
        self._may_be_reused = True
        self.start_reading()

    async def call(self, data: bytes, on_sent: Callable[[], None] | None = None) -> Message:
        """Send a request and return its response.

        `on_sent` is called once, when the request's last byte is written. Raises ConnectionBrokenError.
        """
        if self.closed:
            raise ConnectionBrokenError(False, "connection closed before the request was sent")
        self._may_be_reused = False
        self._response = asyncio.get_event_loop().create_future()
        self._on_sent = on_sent
        self.send(data)
        del data  # not kept until the response
        self._report_sent()  # usually the data has already been written to the socket
        return await self._response

    @property
    def reusable(self) -> bool:
        """Whether the next call may use the connection: no call is open, and no byte of another response has come."""
        return self._may_be_reused and self.parser.idle

    @property
    def response_received(self) -> bool:
        """Whether the response of the last call has been read, even if the caller has not resumed yet."""
        return self._response is None

    @property
    def response_begun(self) -> bool:
        """Whether a part of the response of the open call has been received."""
        return self._response is not None and not self.parser.idle

    def _report_sent(self) -> None:
        if self._on_sent is not None and self.all_written:
            on_sent = self._on_sent
            self._on_sent = None
            on_sent()

    def _take_response_future(self) -> asyncio.Future[Message] | None:
        future = self._response
        self._response = None
        return future

    def on_written(self) -> None:
        """Report that the request is sent."""
        self._report_sent()

    def on_message(self, message: Message) -> None:
        """Complete the call with its response."""
        future = self._take_response_future()
        if future is None:
            self.close()  # unsolicited response; the bytes behind it could be mistaken for the response to a later call
            return
        self._may_be_reused = not message.close and self.all_written
        future.set_result(message)
        if not self.reusable:
            self.close()

    def on_bad_message(self, error: BadMessageError) -> None:
        """Fail the call because the peer has sent something other than an HTTP response."""
        future = self._take_response_future()
        if future is not None:
            future.set_exception(ConnectionBrokenError(True, f"invalid HTTP response: {error}", response_begun=True))

    def on_closed(self) -> None:
        """Fail the open call, if there is one."""
        self._may_be_reused = False
        self._report_sent()
        response_begun = self.response_begun
        future = self._take_response_future()
        if future is not None:
            reason = f"connection ended before the response: {self.error or 'closed'}"
            future.set_exception(ConnectionBrokenError(self.all_written, reason, response_begun))
