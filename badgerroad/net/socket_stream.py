"""A non-blocking TCP socket on the event loop.

It buffers nothing: each byte that has been received is either with the caller or still in the kernel. So a socket that
is passed to another process takes along all bytes that the caller has not read.
"""

from __future__ import annotations

import asyncio
import errno
import os
import select
import socket
from collections.abc import Callable

Address = tuple[str, int]


class SocketStream:
    """Owns a socket and its registration with the event loop. Its methods never block."""

    __slots__ = ("socket", "closed", "_watches_reads", "_watches_writes", "_connecting", "_loop")

    def __init__(self, sock: socket.socket) -> None:
        """Take ownership of `sock`, connected or not, unless OSError is raised."""
        sock.setblocking(False)
        if sock.family in (socket.AF_INET, socket.AF_INET6):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = sock
        self.closed = False
        self._watches_reads = False
        self._watches_writes = False
        self._connecting: asyncio.Future[None] | None = None
        self._loop = asyncio.get_event_loop()

    async def connect(self, address: Address) -> None:
        """Connect to `address`. Raises OSError, also if the stream is closed meanwhile."""
        try:
            self.socket.connect(address)
        except OSError as error:
            if error.errno != errno.EINPROGRESS:
                raise
            self._connecting = self._loop.create_future()
            self.watch_writes(self._on_connected)
            await self._connecting

    def _on_connected(self) -> None:
        self.ignore_writes()
        code = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if self._connecting is None or self._connecting.done():
            return
        if code:
            self._connecting.set_exception(OSError(code, os.strerror(code)))
        else:
            self._connecting.set_result(None)

    def watch_reads(self, on_readable: Callable[[], None]) -> None:
        """Call `on_readable` whenever bytes, an end or an error can be received; no effect if it is called already."""
        if not self._watches_reads and not self.closed:
            self._watches_reads = True
            self._loop.add_reader(self.socket, on_readable)

    def ignore_reads(self) -> None:
        """Stop the calls that `watch_reads` has started."""
        if self._watches_reads:
            self._watches_reads = False
            self._loop.remove_reader(self.socket)

    def watch_writes(self, on_writable: Callable[[], None]) -> None:
        """Call `on_writable` whenever bytes can be sent; no effect if it is called already."""
        if not self._watches_writes and not self.closed:
            self._watches_writes = True
            self._loop.add_writer(self.socket, on_writable)

    def ignore_writes(self) -> None:
        """Stop the calls that `watch_writes` has started."""
        if self._watches_writes:
            self._watches_writes = False
            self._loop.remove_writer(self.socket)

    def receive_into(self, memory: memoryview | bytearray) -> int | None:
        """Receive bytes into `memory`, and return their number: 0 at the end, None if there are none now.

        Raises OSError.
        """
        try:
            return self.socket.recv_into(memory)
        except (BlockingIOError, InterruptedError):
            return None

    def send(self, data: bytes | memoryview) -> int:
        """Send the first bytes of `data`, and return how many the kernel has taken. Raises OSError."""
        try:
            return self.socket.send(data)
        except (BlockingIOError, InterruptedError):
            return 0

    def peer_has_sent(self) -> bool:
        """Whether bytes, an end or an error can be received, even if the event loop has not reported it yet."""
        if self.closed:
            return True
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass  # a reset counts as an end
        return True

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed its side, even if bytes precede the end."""
        if self.closed:
            return True
        try:
            if not self.socket.recv(1, socket.MSG_PEEK):
                return True
        except (BlockingIOError, InterruptedError):
            return False  # the peer is connected but has sent nothing that is unread
        except OSError:
            return True
        poll = select.poll()
        poll.register(self.socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    def shut_down_writing(self) -> None:
        """Send the end of this side. Raises OSError."""
        self.socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Close the socket; an open `connect` fails. Later calls have no effect."""
        if self.closed:
            return
        self.ignore_reads()
        self.ignore_writes()
        self.closed = True
        self.socket.close()
        if self._connecting is not None and not self._connecting.done():
            self._connecting.set_exception(ConnectionAbortedError(errno.ECONNABORTED, "closed while connecting"))
