"""One connection between two processes of the fleet: framed messages over TCP, with a Hello first in each direction."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import msgspec
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from badgerroad.fleet.errors import FrameError, PeerRejectedError
from badgerroad.fleet.framing import FrameReader, frame
from badgerroad.fleet.messages import Hello, MalformedMessageError, Message, Unknown, decode, encode
from badgerroad.net import logs
from badgerroad.net.fairness import Turn

log = logs.get("badgerroad")

HELLO_TIMEOUT_S = 3.0  # limit for receiving the first message, and the rest of a message that has begun
READ_BYTES = 16 * 1024  # maximum size of one read
MAX_OUTGOING_BYTES = 2 << 20  # limit of the write queue; the connection to a peer that does not read is closed above it
# An unreachable peer is detected after about 5 s, also on an idle connection.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_TIMEOUT_MS = 5_000


class Traffic(msgspec.Struct):
    """Counters of one connection, or of all connections of a process."""

    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    unknown: int = 0  # messages skipped because they were malformed or of an unknown kind
    dropped: int = 0  # messages dropped because the peer could not be reached
    silent: int = 0  # connections closed because a message was not complete within HELLO_TIMEOUT_S
    broken: int = 0  # connections closed because of invalid framing or in the middle of a frame
    rejected: int = 0  # connections closed because the Hello was rejected or there were too many connections
    full: int = 0  # connections closed because the write queue was full

    def add(self, other: Traffic) -> None:
        """Add the counters of `other`."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


class PeerConnection:
    """One connection to a peer. It owns its stream. `closed` is called once, whichever side closes the connection."""

    def __init__(
        self,
        stream: IOStream,
        hello: Hello,
        opened: Callable[[PeerConnection, Hello], None],
        received: Callable[[PeerConnection, Message], None],
        closed: Callable[[PeerConnection], None],
    ) -> None:
        """`hello`: sent to the other side. `opened` may raise PeerRejectedError to reject the received Hello."""
        self.stream = stream
        self._hello = hello
        self.peer: Hello | None = None  # None until the peer's Hello is accepted
        self.traffic = Traffic()
        self._opened, self._received, self._closed = opened, received, closed
        self._frames = FrameReader()
        self._deadline: asyncio.TimerHandle | None = None
        self._is_closed = False
        stream.max_write_buffer_size = MAX_OUTGOING_BYTES

    async def run(self) -> None:
        """Send this side's Hello and run until the connection ends."""
        try:
            _set_socket_options(self.stream)
            self._expect_frame()
            self.send(frame(encode(self._hello)))
            while not self._is_closed:
                read = self.stream.read_bytes(READ_BYTES, partial=True)
                turn = Turn(read)
                self._read(await read)
                await turn.end()
        except StreamClosedError:
            self.traffic.broken += self._frames.unfinished
        except FrameError as error:
            self.traffic.broken += 1
            log.warning("fleet_connection_closed", peer=self.name, **error.fields)
        except PeerRejectedError as error:
            self.traffic.rejected += 1
            log.warning("fleet_connection_closed", peer=self.name, **error.fields)
        finally:
            self.close()

    @property
    def name(self) -> str:
        """The peer's name; empty before its Hello is accepted."""
        return self.peer.name if self.peer is not None else ""

    def send(self, framed: bytes) -> None:
        """Queue a frame for the socket. A peer for which more than MAX_OUTGOING_BYTES are queued is disconnected."""
        if self._is_closed:
            return
        try:
            written = self.stream.write(framed)
        except StreamBufferFullError:
            self.traffic.full += 1
            log.warning("fleet_connection_closed", peer=self.name, error="write queue is full; the peer does not read")
            self.close()
            return
        except StreamClosedError:
            self.close()
            return
        written.add_done_callback(_ignore_result)
        self.traffic.messages_out += 1
        self.traffic.bytes_out += len(framed)

    @property
    def flushed(self) -> bool:
        """Whether all frames have been written to the socket."""
        return self._is_closed or not self.stream.writing()

    def close(self) -> None:
        """Close the connection. Further calls do nothing."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._deadline is not None:
            self._deadline.cancel()
        self.stream.close()
        self._closed(self)

    def _read(self, data: bytes) -> None:
        self.traffic.bytes_in += len(data)
        payloads = self._frames.feed(data)
        if payloads and self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None
        if self._frames.unfinished and self._deadline is None:
            self._expect_frame()
        for payload in payloads:
            if not self._is_closed:
                self._handle(payload)

    def _expect_frame(self) -> None:
        self._deadline = asyncio.get_running_loop().call_later(HELLO_TIMEOUT_S, self._frame_timed_out)

    def _frame_timed_out(self) -> None:
        self.traffic.silent += 1
        log.warning("fleet_connection_closed", peer=self.name, error="no complete message received in time")
        self.close()

    def _handle(self, payload: bytes) -> None:
        self.traffic.messages_in += 1
        message = _decode_or_none(payload)
        if self.peer is None:
            self._accept_hello(message)
        elif message is None or isinstance(message, Hello):
            self.traffic.unknown += 1
        else:
            self._received(self, message)

    def _accept_hello(self, message: Message | None) -> None:
        """Handle the first message. Raises PeerRejectedError."""
        if not isinstance(message, Hello):
            raise PeerRejectedError("first message is not a Hello")
        self.peer = message
        try:
            self._opened(self, message)
        except PeerRejectedError:
            self.peer = None
            raise


def _decode_or_none(payload: bytes) -> Message | None:
    """Decode the message in `payload`; return None if its kind is unknown or it is malformed."""
    try:
        message = decode(payload)
    except MalformedMessageError:
        return None
    return None if isinstance(message, Unknown) else message


def _ignore_result(written: asyncio.Future[None]) -> None:
    """Retrieve the exception of a write, because the reading side handles the end of the connection."""
    if not written.cancelled():
        written.exception()


def _set_socket_options(stream: IOStream) -> None:
    """Set the socket options. Raises StreamClosedError if the other side has already closed the connection."""
    sock: socket.socket | None = stream.socket
    if sock is None:
        raise StreamClosedError()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
