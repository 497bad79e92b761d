"""What all TCP connections share: one descriptor, a buffer in each direction, one reader and one writer.

A read is always pending, so the end of the peer is noticed at once, on idle connections too.
"""

from __future__ import annotations

import asyncio
import select
import socket
from typing import Any

from tornado.iostream import IOStream, StreamClosedError

from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.http1 import BODY_LIMIT, HEADER_LIMIT, MESSAGE_LIMIT, BadMessageError, Message, Parser
from badgerroad.net.ring_buffer import RingBuffer

Address = tuple[str, int]
# Target of reads whose bytes are discarded, shared by all connections. Large, since each read costs a loop iteration.
_DISCARD_BUFFER = bytearray(64 * 1024)


class Connection:
    """Owns one socket. A subclass says by its `on_...` methods what is done with messages and with the end."""

    lingering = False  # the last response is written; whatever still arrives is discarded

    def __init__(
        self, sock: socket.socket, descriptors: DescriptorBudget, responses: bool, body_limit: int = BODY_LIMIT
    ) -> None:
        """`responses`: whether the peer sends responses rather than requests; `body_limit` in bytes."""
        self.descriptors = descriptors
        descriptors.used += 1
        self.stream = IOStream(sock)
        self.stream.set_nodelay(True)
        self.receive_buffer = RingBuffer(HEADER_LIMIT + body_limit)
        self.send_buffer = RingBuffer(2 * MESSAGE_LIMIT)
        self.parser = Parser(self.receive_buffer, responses, body_limit)
        self.closed = False
        self._flushing = 0  # bytes of the send buffer that the stream is writing
        self._write: asyncio.Future[None] | None = None
        self._pending_read: asyncio.Future[int] | None = None
        self._paused = False
        self._space_available = asyncio.Event()

    @property
    def all_written(self) -> bool:
        """Whether the last byte given to `send` has gone to the socket."""
        if not len(self.send_buffer):
            return True
        # The stream's write may be complete while its callback has yet to run: the future is what counts.
        done = self._write is not None and self._write.done() and not self._write.exception()
        return done and self._flushing == len(self.send_buffer)

    def send(self, data: bytes) -> None:
        """Write `data` behind what is already queued; on a closed connection, nothing. Raises ValueError if it is too
        much.
        """
        if self.closed:
            return
        self.send_buffer.put(data)
        if not self._flushing:
            self._flush()

    def _flush(self) -> None:
        view = self.send_buffer.readable()
        self._flushing = len(view)
        try:
            self._write = self.stream.write(view)
        except StreamClosedError:
            self.close()
            return
        self._write.add_done_callback(self._flushed)

    def _flushed(self, future: asyncio.Future[None]) -> None:
        if future.exception() or self.closed:
            self.close()
            return
        self.send_buffer.skip(self._flushing)
        self._flushing = 0
        if len(self.send_buffer):
            self._flush()
        else:
            self.send_buffer.shrink()
            self.on_written()

    async def read(self) -> None:
        """Read and process messages until the connection ends, from either side."""
        try:
            while not self.closed and not self.lingering:
                self.receive_buffer.shrink()
                if self.receive_buffer.full:
                    await self._make_space()
                    continue
                space: Any = self.receive_buffer.writable()  # any writable buffer will do, though it is typed narrower
                self._pending_read = asyncio.ensure_future(self.stream.read_into(space, partial=True))
                count = await self._pending_read
                self._pending_read = None
                self.receive_buffer.commit(count)
                self.process_messages()
        except StreamClosedError:
            last = self.parser.message_at_end()
            if last is not None:
                self.on_message(last)
        except BadMessageError as error:
            self.on_bad_message(error)
        finally:
            if not self.lingering:
                self.close()
        await self._discard_until_closed()

    async def _make_space(self) -> None:
        """The receive buffer is full: discard what the peer sends, or leave it in the socket's buffers for now."""
        if self.discard_when_full():
            self.on_discarded(await self.stream.read_into(_DISCARD_BUFFER, partial=True))
            return
        self._space_available.clear()
        self._paused = True
        await self._space_available.wait()
        self._paused = False

    async def _discard_until_closed(self) -> None:
        while self.lingering and not self.closed:
            try:
                await self.stream.read_into(_DISCARD_BUFFER, partial=True)
            except StreamClosedError:
                self.close()

    def process_messages(self) -> None:
        """Hand out the complete messages, one at a time. Raises BadMessageError."""
        while not self.closed and not self.lingering and self.wants_message():
            message = self.parser.next_message()
            if message is None:
                break
            self.on_message(message)
        self._space_available.set()

    def close(self) -> None:
        """Give the descriptor and the buffers back. The only place that does so; may be called again."""
        if self.closed:
            return
        self.closed = True
        self.descriptors.used -= 1
        self.stream.close()
        self._space_available.set()
        self.on_closed()

    @property
    def no_read_in_progress(self) -> bool:
        """Whether the receive buffer holds all that was taken from the socket: no read is complete but unprocessed."""
        return not self._paused and (self._pending_read is None or not self._pending_read.done())

    def peer_has_sent(self) -> bool:
        """Whether anything is unread on the socket, an end included, even if the event loop has not seen it yet."""
        if self.stream.closed():
            return True
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass  # a reset is an end too
        return True

    def peer_has_closed(self) -> bool:
        """Whether the peer's end has arrived, even behind bytes that are not read yet."""
        if self.closed or self.stream.closed():
            return True
        try:
            if not self.stream.socket.recv(1, socket.MSG_PEEK):
                return True
        except BlockingIOError:
            return False  # nothing at all
        except OSError:
            return True
        poll = select.poll()
        poll.register(self.stream.socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    def discard_when_full(self) -> bool:
        """The receive buffer is full. False: further bytes wait in the socket's buffers; true: they are discarded."""
        return False

    def on_discarded(self, count: int) -> None:
        """`count` bytes were read and discarded."""

    def wants_message(self) -> bool:
        """Whether the next message may be handed to `on_message`."""
        return True

    def on_message(self, message: Message) -> None:
        """A complete message has arrived."""

    def on_bad_message(self, error: BadMessageError) -> None:
        """What has arrived is not a message; the reader ends."""

    def on_written(self) -> None:
        """The send buffer is written to its last byte."""

    def on_closed(self) -> None:
        """The connection is closed, by either side. Called once."""
