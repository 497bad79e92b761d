"""The base class of all TCP connections: one descriptor, a buffer for each direction, one reader and one writer.

A read is always pending unless the receive buffer is full, so a close by the peer is noticed immediately, also on idle
connections. The event loop runs between two reads, so a peer that sends without a pause cannot hold it.
"""

from __future__ import annotations

import asyncio
import select
import socket
from typing import Any

from tornado.iostream import IOStream, StreamClosedError

from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.fairness import Turn
from badgerroad.net.http1 import BODY_LIMIT, HEADER_LIMIT, MESSAGE_LIMIT, BadMessageError, Message, Parser
from badgerroad.net.ring_buffer import RingBuffer

Address = tuple[str, int]
# Target of reads whose bytes are discarded, shared by all connections. A small buffer would cost many loop iterations.
_DISCARD_BUFFER = bytearray(64 * 1024)


class Connection:
    """Owns one socket. Subclasses handle messages and the end of the connection in their `on_...` methods."""

    lingering = False  # this side has ended the connection; bytes that still arrive are discarded

    def __init__(
        self, sock: socket.socket, descriptors: DescriptorBudget, responses: bool, body_limit: int = BODY_LIMIT
    ) -> None:
        """Take ownership of `sock`.

        `responses` is true if the peer sends responses rather than requests; `body_limit` is in bytes.
        """
        self.descriptors = descriptors
        descriptors.used += 1
        self.stream = IOStream(sock)
        self.stream.set_nodelay(True)
        self.receive_buffer = RingBuffer(HEADER_LIMIT + body_limit)
        self.send_buffer = RingBuffer(2 * MESSAGE_LIMIT)
        self.parser = Parser(self.receive_buffer, responses, body_limit)
        self.closed = False
        self._flushing_bytes = 0  # number of bytes of the send buffer that the stream is writing now
        self._write: asyncio.Future[None] | None = None
        self._pending_read: asyncio.Future[int] | None = None
        self._paused = False
        self._space_available = asyncio.Event()

    @property
    def all_written(self) -> bool:
        """Whether the last byte passed to `send` has been written to the socket."""
        if not len(self.send_buffer):
            return True
        # The write may be complete although `_on_flushed` has not run yet, so the future is checked.
        done = self._write is not None and self._write.done() and not self._write.exception()
        return done and self._flushing_bytes == len(self.send_buffer)

    def send(self, data: bytes) -> None:
        """Queue `data` for writing; no effect on a closed connection.

        Raises ValueError if the send buffer cannot hold it.
        """
        if self.closed:
            return
        self.send_buffer.put(data)
        if not self._flushing_bytes:
            self._flush()

    def _flush(self) -> None:
        view = self.send_buffer.readable()
        self._flushing_bytes = len(view)
        try:
            self._write = self.stream.write(view)
        except StreamClosedError:
            self.close()
            return
        self._write.add_done_callback(self._on_flushed)

    def _on_flushed(self, future: asyncio.Future[None]) -> None:
        if future.exception() or self.closed:
            self.close()
            return
        self.send_buffer.skip(self._flushing_bytes)
        self._flushing_bytes = 0
        if len(self.send_buffer):
            self._flush()
        else:
            self.send_buffer.shrink()
            self.on_written()

    async def read(self) -> None:
        """Read and process messages until either side ends the connection."""
        try:
            while not self.closed and not self.lingering:
                self.receive_buffer.shrink()
                if self.receive_buffer.full:
                    await self._make_space()
                    continue
                space: Any = self.receive_buffer.writable()  # tornado accepts it, though its type hints are narrower
                self._pending_read = asyncio.ensure_future(self.stream.read_into(space, partial=True))
                turn = Turn(self._pending_read)
                count = await self._pending_read
                self._pending_read = None
                self.receive_buffer.commit(count)
                self.process_messages()
                await turn.end()
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
        """With a full receive buffer, discard what the peer sends, or stop reading until there is space."""
        if self.discard_when_full():
            self.on_discarded(await self._discard())
            return
        self._space_available.clear()
        self._paused = True
        await self._space_available.wait()
        self._paused = False

    async def _discard_until_closed(self) -> None:
        while self.lingering and not self.closed:
            try:
                await self._discard()
            except StreamClosedError:
                self.close()

    async def _discard(self) -> int:
        """Read and discard bytes, and return their number. Raises StreamClosedError."""
        read = self.stream.read_into(_DISCARD_BUFFER, partial=True)
        turn = Turn(read)
        count = await read
        await turn.end()
        return count

    def process_messages(self) -> None:
        """Pass the complete messages to `on_message`, one at a time. Raises BadMessageError."""
        while not self.closed and not self.lingering and self.wants_message():
            message = self.parser.next_message()
            if message is None:
                break
            self.on_message(message)
        self._space_available.set()

    def close(self) -> None:
        """Close the socket and release its descriptor; the only place that does so. Later calls have no effect."""
        if self.closed:
            return
        self.closed = True
        self.descriptors.used -= 1
        self.stream.close()
        self._space_available.set()
        self.on_closed()

    @property
    def no_read_in_progress(self) -> bool:
        """Whether the receive buffer holds all bytes read from the socket."""
        return not self._paused and not self.has_unprocessed_read

    @property
    def has_unprocessed_read(self) -> bool:
        """Whether a read is complete and its bytes are processed in the next iteration of the event loop."""
        return self._pending_read is not None and self._pending_read.done()

    def peer_has_sent(self) -> bool:
        """Whether data or a close is unread on the socket, even if the event loop has not noticed it yet, or has been
        read and not been processed."""
        if self.stream.closed() or self.has_unprocessed_read:
            return True
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass  # a reset counts as a close
        return True

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed its side, even if unread bytes precede the close."""
        if self.closed or self.stream.closed():
            return True
        try:
            if not self.stream.socket.recv(1, socket.MSG_PEEK):
                return True
        except BlockingIOError:
            return False  # the peer is connected but has sent nothing that is unread
        except OSError:
            return True
        poll = select.poll()
        poll.register(self.stream.socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    def discard_when_full(self) -> bool:
        """Whether to discard further bytes while the receive buffer is full, rather than leave them unread."""
        return False

    def on_discarded(self, count: int) -> None:
        """Handle that `count` bytes were read and discarded."""

    def wants_message(self) -> bool:
        """Whether the next message may be passed to `on_message`."""
        return True

    def on_message(self, message: Message) -> None:
        """Handle a complete message."""

    def on_bad_message(self, error: BadMessageError) -> None:
        """Handle bytes that are not a valid message; reading ends after this call."""

    def on_written(self) -> None:
        """Handle that the send buffer has been written completely."""

    def on_closed(self) -> None:
        """Handle the end of the connection, whichever side has closed it. Called once."""
