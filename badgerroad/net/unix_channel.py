"""A channel over a Unix socket that carries messages and file descriptors between processes of one dispatcher.

SOCK_SEQPACKET preserves packet boundaries, so a packet arrives complete or not at all, even if its sender dies.
"""

from __future__ import annotations

import array
import errno
import os
import socket
import stat
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any, NamedTuple, TypeAlias

from tornado.ioloop import IOLoop

from badgerroad.net import framing, logs

log = logs.get("badgerroad")

MAX_QUEUED_PACKETS = 20_000  # if a peer does not read and more packets are queued, the channel is closed
PACKETS_PER_TURN = 32  # most packets read before the event loop serves other sockets
BACKLOG = 4  # most connections that wait to be accepted
# Errors of sendmsg after which the channel still works: a full buffer, an interrupt, or too large a packet.
PEER_BUSY_ERRORS = (errno.EAGAIN, errno.EINTR, errno.ETOOMANYREFS, errno.EMSGSIZE)

OnMessage: TypeAlias = Callable[[str, dict[str, Any], bytes, "int | None"], None]
AncillaryData: TypeAlias = list[tuple[int, int, Any]]


class QueuedPacket(NamedTuple):
    """A packet in the send queue."""

    data: bytes
    descriptor: int | None  # descriptor that is sent with the packet
    owned_socket: socket.socket | None  # closed when the packet has been sent or dropped


class ReceivedPacket(NamedTuple):
    """A received packet; empty data means that the channel has ended."""

    data: bytes
    descriptors: list[int]  # owned by the receiver, which must close those that it does not use
    truncated: bool


def descriptor_data(descriptor: int | None) -> AncillaryData:
    """Return the ancillary data that carries `descriptor`; empty for None."""
    if descriptor is None:
        return []
    return [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [descriptor]))]


def received_descriptors(ancillary: AncillaryData) -> list[int]:
    """Return the descriptors in the ancillary data of a packet."""
    return [
        descriptor
        for level, kind, data in ancillary
        if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS)
        for descriptor in array.array("i", data[: len(data) - len(data) % 4])
    ]


class UnixChannel:
    """One end of a channel. It owns its socket, its send queue and the sockets in that queue."""

    def __init__(self, sock: socket.socket, on_message: OnMessage, on_closed: Callable[[], None]) -> None:
        """Take ownership of `sock`.

        `on_message` is called with kind, head, payload and a descriptor or None; it takes ownership of the descriptor.
        `on_closed` is called once, from the event loop, whichever side has closed.
        """
        self.sock = sock
        self.closed = False
        self._on_message = on_message
        self._on_closed = on_closed
        self._queue: deque[QueuedPacket] = deque()
        self._reader = framing.Reader()
        self._loop = IOLoop.current()
        self._write_closed = False  # the peer no longer receives; what it has sent is still read
        sock.setblocking(False)
        self._loop.add_handler(sock, self._on_ready, IOLoop.READ)

    def send(self, kind: str, head: dict[str, Any], descriptor: int | None = None) -> None:
        """Queue a message. `descriptor` is sent with its last packet and must stay open until then."""
        self.send_packed(framing.pack(kind, head), descriptor)

    def send_packed(self, packets: list[bytes], descriptor: int | None = None) -> None:
        """Queue the packets that `framing.pack` returned; a message for several channels is packed only once."""
        if self.closed or self._write_closed:
            return
        for packet in packets:
            self._queue.append(QueuedPacket(packet, descriptor if packet is packets[-1] else None, None))
        self._flush()

    def send_socket(self, kind: str, head: dict[str, Any], sock: socket.socket) -> None:
        """Queue a message with a socket. The channel takes ownership and closes it once it is sent or dropped."""
        if self.closed or self._write_closed:
            sock.close()
            return
        self._queue.append(QueuedPacket(framing.pack_single(kind, head), sock.fileno(), sock))
        self._flush()

    @property
    def busy(self) -> bool:
        """Whether `try_send` would fail now, because the channel is closed or packets are queued."""
        return self.closed or self._write_closed or bool(self._queue)

    def try_send(self, kind: str, head: dict[str, Any], payload: bytes, descriptor: int) -> bool:
        """Send a message immediately, or return False without sending. The caller keeps ownership of `descriptor`."""
        packet = framing.pack_single(kind, head, payload)
        if self.busy or len(packet) > framing.MAX_PACKET_BYTES:
            return False
        try:
            self.sock.sendmsg([packet], descriptor_data(descriptor))
        except OSError as error:
            if error.errno not in PEER_BUSY_ERRORS:
                self._write_closed = True
            return False
        return True

    def _flush(self) -> None:
        while self._queue and not self.closed:
            packet = self._queue[0]
            try:
                self.sock.sendmsg([packet.data], descriptor_data(packet.descriptor))
            except (BlockingIOError, InterruptedError):
                break
            except OSError as error:
                # The peer has closed. Its last messages, which may carry connections of clients, are still unread.
                log.info("channel_peer_gone", error=str(error))
                self._write_closed = True
                self._drop_queue()
                break
            self._queue.popleft()
            if packet.owned_socket is not None:
                packet.owned_socket.close()
        if self.closed:
            return
        if len(self._queue) > MAX_QUEUED_PACKETS:
            log.warning("channel_peer_does_not_read", queued=len(self._queue))
            self.close()
            return
        self._loop.update_handler(self.sock, IOLoop.READ | (IOLoop.WRITE if self._queue else 0))

    def _on_ready(self, _descriptor: Any, events: int) -> None:
        if events & IOLoop.WRITE:
            self._flush()
        for _ in range(PACKETS_PER_TURN):
            if self.closed:
                return
            try:
                packet = self._receive()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionResetError:
                continue  # the peer closed with unread packets; reported once, before its last packets and the end
            if not packet.data:
                self.close()
                return
            self._deliver(packet)

    def _receive(self) -> ReceivedPacket:
        """Receive one packet; errors other than those named below are returned as the end of the channel.

        Raises BlockingIOError, InterruptedError or ConnectionResetError.
        """
        try:
            data, ancillary, flags, _ = self.sock.recvmsg(framing.RECEIVE_BYTES, socket.CMSG_SPACE(4))
        except (BlockingIOError, InterruptedError, ConnectionResetError):
            raise
        except OSError:
            return ReceivedPacket(b"", [], False)
        truncated = bool(flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC))
        return ReceivedPacket(data, received_descriptors(ancillary), truncated)

    def _deliver(self, packet: ReceivedPacket) -> None:
        descriptors = packet.descriptors
        try:
            if packet.truncated:
                raise framing.BadPacketError("the packet or its ancillary data is truncated")
            message = self._reader.read(packet.data)
            if message is not None:
                kind, head, payload = message
                self._on_message(kind, head, payload, descriptors.pop() if descriptors else None)
        except (framing.BadPacketError, KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
            log.warning("channel_message_invalid", error=f"{type(error).__name__}: {error}")
            self.close()
        finally:
            for descriptor in descriptors:
                os.close(descriptor)

    def _drop_queue(self) -> None:
        for packet in self._queue:
            if packet.owned_socket is not None:
                packet.owned_socket.close()
        self._queue.clear()

    def close(self) -> None:
        """Close the socket and drop the send queue; `on_closed` is then called from the event loop."""
        if not self.closed:
            self.closed = True
            self._loop.remove_handler(self.sock)
            self.sock.close()
            self._drop_queue()
            self._loop.add_callback(self._on_closed)


class FileId(NamedTuple):
    """The identity of a file, independent of its path."""

    device: int
    inode: int


class UnixSocketPath:
    """A Unix socket in a folder, addressed through a descriptor of the folder.

    The length of a Unix socket's path is limited, so the folder's full path could be too long.
    """

    def __init__(self, folder: str, name: str) -> None:
        """Store folder and name without opening or binding anything."""
        self.folder = folder
        self.name = name
        self._listener: socket.socket | None = None
        self._bound: FileId | None = None

    def connect(self) -> socket.socket | None:
        """Connect to the process that listens at the path; returns None if there is none.

        Raises OSError if the folder cannot be opened.
        """
        folder_descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.setblocking(False)
            sock.connect(self._path_in(folder_descriptor))
            return sock
        except OSError:  # no such file, a stale socket, or a full backlog
            sock.close()
            return None
        finally:
            os.close(folder_descriptor)

    def listen(self, on_connection: Callable[[socket.socket], None]) -> None:
        """Listen at the path, replacing any process that listened there before. Raises OSError."""
        self.close()
        folder_descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with suppress(FileNotFoundError):
                os.unlink(self.name, dir_fd=folder_descriptor)
            with _owner_only():
                listener.bind(self._path_in(folder_descriptor))
            listener.listen(BACKLOG)
            listener.setblocking(False)
            found = os.stat(self.name, dir_fd=folder_descriptor)
            self._bound = FileId(found.st_dev, found.st_ino)
        except OSError:
            listener.close()
            raise
        finally:
            os.close(folder_descriptor)
        self._listener = listener
        IOLoop.current().add_handler(listener, lambda sock, events: self._accept(sock, on_connection), IOLoop.READ)

    def close(self) -> None:
        """Stop listening and remove the socket file, unless another process has replaced it."""
        if self._listener is None:
            return
        IOLoop.current().remove_handler(self._listener)
        self._listener.close()
        self._listener = None
        path = os.path.join(self.folder, self.name)
        with suppress(OSError):
            found = os.stat(path)
            if stat.S_ISSOCK(found.st_mode) and (found.st_dev, found.st_ino) == self._bound:
                os.unlink(path)

    def _path_in(self, folder_descriptor: int) -> str:
        return f"/proc/self/fd/{folder_descriptor}/{self.name}"

    @staticmethod
    def _accept(listener: socket.socket, on_connection: Callable[[socket.socket], None]) -> None:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        on_connection(sock)


@contextmanager
def _owner_only() -> Iterator[None]:
    """Set the umask so that files created in this context are accessible to their owner only."""
    previous = os.umask(0o177)
    try:
        yield
    finally:
        os.umask(previous)
