"""The base class of all TCP connections: one descriptor, a buffer for each direction, and the messages in them.

The socket is always watched for bytes unless the receive buffer is full, so a close by the peer is noticed immediately,
also on idle connections. The event loop runs between two reads, so a peer that sends without a pause cannot hold it.
All bytes that have been read are in the receive buffer or the parser; all others are still on the socket.
"""

from __future__ import annotations

import asyncio
import socket

from badgerroad.net import logs
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.http1 import BODY_LIMIT, HEADER_LIMIT, MESSAGE_LIMIT, BadMessageError, Message, Parser
from badgerroad.net.memory_budget import MemoryBudget
from badgerroad.net.ring_buffer import RingBuffer
from badgerroad.net.socket_stream import SocketStream

log = logs.get("badgerroad")

# Most reads of `read_available`; more than a receive buffer needs to grow to its limit and fill up.
_MAX_READS_AT_ONCE = 16
# Target of reads whose bytes are discarded, shared by all connections. A small buffer would cost many loop iterations.
_DISCARD_BUFFER = bytearray(64 * 1024)


class Connection:
    """Owns one socket. Subclasses handle messages and the end of the connection in their `on_...` methods."""

    lingering = False  # this side has ended the connection; bytes that still arrive are discarded

    def __init__(
        self,
        sock: socket.socket,
        descriptors: DescriptorBudget,
        memory: MemoryBudget,
        responses: bool,
        body_limit: int = BODY_LIMIT,
    ) -> None:
        """Take ownership of `sock`, unless OSError is raised.

        `responses` is true if the peer sends responses rather than requests; `body_limit` is in bytes.
        """
        self.stream = SocketStream(sock)
        self.descriptors = descriptors
        descriptors.used += 1
        self.memory = memory.account()
        self.receive_buffer = RingBuffer(HEADER_LIMIT + body_limit)
        self.send_buffer = RingBuffer(2 * MESSAGE_LIMIT)
        self.parser = Parser(self.receive_buffer, responses, body_limit)
        self.queued_bytes = 0  # memory of messages that have been parsed and wait on this connection
        self.closed = False
        self.error: OSError | None = None  # the error of the socket that has ended the connection
        self._reports_written = False  # `on_written` is due in the next iteration of the event loop

    # Writing.

    @property
    def all_written(self) -> bool:
        """Whether the kernel has taken the last byte passed to `send`."""
        return not len(self.send_buffer)

    def send(self, data: bytes) -> None:
        """Write `data`, and queue what the kernel does not take at once; no effect on a closed connection.

        Raises ValueError if the send buffer cannot hold it.
        """
        if self.closed:
            return
        if self.all_written:
            data = data[self._write(data) :]
            if not data:
                self._report_written_soon()
                return
            if self.error is None:
                self.stream.watch_writes(self._on_writable)
        self.send_buffer.put(data)
        self.count_memory()

    def _write(self, data: bytes | memoryview) -> int:
        """Write what the kernel takes, and return its length; after an error the connection is closed soon."""
        try:
            return self.stream.send(data)
        except OSError as error:
            self.error = error
            self.stream.ignore_writes()
            asyncio.get_running_loop().call_soon(self.close)  # the caller need not expect that the connection ends
            return 0

    def _on_writable(self) -> None:
        self.send_buffer.skip(self._write(self.send_buffer.readable()))
        if self.all_written:
            self.stream.ignore_writes()
            self.send_buffer.shrink()
            self.count_memory()
            self.on_written()

    def _report_written_soon(self) -> None:
        if not self._reports_written:
            self._reports_written = True
            asyncio.get_running_loop().call_soon(self._report_written)

    def _report_written(self) -> None:
        self._reports_written = False
        if self.all_written and not self.closed:
            self.on_written()

    # Reading.

    def start_reading(self) -> None:
        """Read and process messages from now on, until either side ends the connection."""
        self.update_reading()

    def update_reading(self) -> None:
        """Read if bytes can be stored or discarded; called whenever that may have changed."""
        if self.lingering or not self.receive_buffer.full or self.discard_when_full():
            self.stream.watch_reads(self._on_readable)
        else:
            self.stream.ignore_reads()

    def read_available(self) -> None:
        """Read and process what has arrived, without waiting for the event loop to report it."""
        for _ in range(_MAX_READS_AT_ONCE):
            if self.closed or self.lingering or not self.peer_has_sent():
                return
            self._on_readable()

    def _on_readable(self) -> None:
        """Read once, and process the messages that are complete then."""
        try:
            if self.lingering:
                self._discard_after_end()
            elif self.receive_buffer.full:
                self._discard_excess()
            elif self.may_store():
                self._receive()
        except BadMessageError as error:
            self.on_bad_message(error)
            self._close_unless_lingering()
        except Exception as error:
            log.error("unexpected_exception", exc_info=error)
            self._close_unless_lingering()

    def _receive(self) -> None:
        count = self._read_into(self.receive_buffer.writable())
        if count == 0:
            self._on_end()
        elif count is not None:
            self.receive_buffer.commit(count)
            self.process_messages()

    def _discard_excess(self) -> None:
        """With a full receive buffer, discard what the peer sends, or stop reading until there is space."""
        if not self.discard_when_full():
            self.stream.ignore_reads()
            return
        count = self._read_into(_DISCARD_BUFFER)
        if count == 0:
            self._on_end()
        elif count is not None:
            self.on_discarded(count)

    def _discard_after_end(self) -> None:
        if self._read_into(_DISCARD_BUFFER) == 0:
            self.close()

    def _read_into(self, memory: memoryview | bytearray) -> int | None:
        """Read bytes, and return their number: 0 at the end or after an error, None if there are none now."""
        try:
            return self.stream.receive_into(memory)
        except OSError as error:
            self.error = error
            return 0

    def _on_end(self) -> None:
        last = self.parser.message_at_end()
        if last is not None:
            self.on_message(last)
        self._close_unless_lingering()

    def _close_unless_lingering(self) -> None:
        if not self.lingering:
            self.close()

    def process_messages(self) -> None:
        """Pass the complete messages to `on_message`, one at a time. Raises BadMessageError."""
        while not self.closed and not self.lingering and self.wants_message():
            message = self.parser.next_message()
            if message is None:
                break
            self.on_message(message)
        self.receive_buffer.shrink()
        self.count_memory()
        self.update_reading()

    # Memory.

    def count_memory(self) -> None:
        """Set the size of the memory account to what is held now; called whenever that may have changed."""
        buffers = self.receive_buffer.extra_capacity + self.send_buffer.extra_capacity
        size = buffers + self.parser.memory_size + self.queued_bytes
        if size != self.memory.size and not self.closed:
            self.memory.resize(size)

    def drop_received(self) -> None:
        """Drop what has been received and is not needed any more, because this side has ended the connection."""
        self.parser.clear()
        self.count_memory()

    # Ending the connection.

    def close(self) -> None:
        """Close the socket and release its descriptor; the only place that does so. Later calls have no effect."""
        if self.closed:
            return
        self.closed = True
        self.descriptors.used -= 1
        self.stream.close()
        self.on_closed()
        self.parser.clear()
        self.send_buffer.clear()
        self.memory.resize(0)

    def peer_has_sent(self) -> bool:
        """Whether data or a close is unread on the socket, even if the event loop has not noticed it yet."""
        return self.stream.peer_has_sent()

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed its side, even if unread bytes precede the close."""
        return self.stream.peer_has_closed()

    # For subclasses.

    def may_store(self) -> bool:
        """Whether there is memory for what the peer has sent; otherwise the subclass has to stop reading."""
        return True

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
