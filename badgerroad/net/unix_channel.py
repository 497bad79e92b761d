"""A Unix socket between two processes of one dispatcher: messages in order, with descriptors.

SOCK_SEQPACKET keeps the bounds of packets, so a packet arrives complete or not at all, also when its sender dies.
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

MAX_QUEUED_PACKETS = 20_000  # for a peer that does not read; with more the channel is closed
PACKETS_PER_TURN = 32  # read before the loop serves others
BACKLOG = 4  # processes that wait to be accepted
PEER_BUSY_ERRORS = (errno.EAGAIN, errno.EINTR, errno.ETOOMANYREFS, errno.EMSGSIZE)

OnMessage: TypeAlias = Callable[[str, dict[str, Any], bytes, "int | None"], None]
AncillaryData: TypeAlias = list[tuple[int, int, Any]]


class QueuedPacket(NamedTuple):
    """A packet that waits until the peer reads."""

    data: bytes
    descriptor: int | None  # sent along
    owned: socket.socket | None  # closed once the packet is sent, or cannot be


class ReceivedPacket(NamedTuple):
    """A packet as it arrived; empty data is the end of the channel."""

    data: bytes
    descriptors: list[int]  # the receiver's, to be closed if it does not use them
    truncated: bool


def descriptor_data(descriptor: int | None) -> AncillaryData:
    """The ancillary data that carries a descriptor."""
    if descriptor is None:
        return []
    return [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [descriptor]))]


def received_descriptors(ancillary: AncillaryData) -> list[int]:
    """The descriptors in the ancillary data of a packet."""
    return [
        descriptor
        for level, kind, data in ancillary
        if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS)
        for descriptor in array.array("i", data[: len(data) - len(data) % 4])
    ]


class UnixChannel:
    """One end of a channel. It owns the socket, and the packets and sockets that are queued on it."""

    def __init__(self, sock: socket.socket, on_message: OnMessage, on_closed: Callable[[], None]) -> None:
        """`on_message` is given kind, head, payload and a descriptor, which is the receiver's from then on. `on_closed`
        is called once, from the loop, whichever side closed."""
        self.sock = sock
        self.closed = False
        self._on_message = on_message
        self._on_closed = on_closed
        self._queue: deque[QueuedPacket] = deque()
        self._reader = framing.Reader()
        self._loop = IOLoop.current()
        self._write_closed = False  # the peer takes nothing any more; what it has sent is still read
        sock.setblocking(False)
        self._loop.add_handler(sock, self._on_ready, IOLoop.READ)

    def send(self, kind: str, head: dict[str, Any], descriptor: int | None = None) -> None:
        """Queue a message. `descriptor` goes with its last packet and must stay open until that is sent."""
        self.send_packed(framing.pack(kind, head), descriptor)

    def send_packed(self, packets: list[bytes], descriptor: int | None = None) -> None:
        """Queue the packets of one message that `framing.pack` made, once for several channels."""
        if self.closed or self._write_closed:
            return
        for packet in packets:
            self._queue.append(QueuedPacket(packet, descriptor if packet is packets[-1] else None, None))
        self._flush()

    def send_socket(self, kind: str, head: dict[str, Any], sock: socket.socket) -> None:
        """Queue a message with a socket, which the channel owns from now on and closes once it is sent or cannot be."""
        if self.closed or self._write_closed:
            sock.close()
            return
        self._queue.append(QueuedPacket(framing.one(kind, head), sock.fileno(), sock))
        self._flush()

    @property
    def busy(self) -> bool:
        """Whether `try_send` cannot succeed now."""
        return self.closed or self._write_closed or bool(self._queue)

    def try_send(self, kind: str, head: dict[str, Any], payload: bytes, descriptor: int) -> bool:
        """Send now or not at all. What is not sent stays the caller's, descriptor and bytes."""
        packet = framing.one(kind, head, payload)
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
                # The peer has gone; what it sent last, clients' connections among it, is still unread here.
                log.info("channel_peer_gone", error=str(error))
                self._write_closed = True
                self._drop_queue()
                break
            self._queue.popleft()
            if packet.owned is not None:
                packet.owned.close()
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
                continue  # the peer closed with packets unread: reported once, before what it had sent and the end
            if not packet.data:
                self.close()
                return
            self._deliver(packet)

    def _receive(self) -> ReceivedPacket:
        """Raises BlockingIOError, InterruptedError or ConnectionResetError; any other error is the end."""
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
                raise framing.BadPacketError("cut off")
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
            if packet.owned is not None:
                packet.owned.close()
        self._queue.clear()

    def close(self) -> None:
        """Close the socket and drop what is queued; `on_closed` follows from the loop."""
        if not self.closed:
            self.closed = True
            self._loop.remove_handler(self.sock)
            self.sock.close()
            self._drop_queue()
            self._loop.add_callback(self._on_closed)


class FileId(NamedTuple):
    """Which file a name leads to."""

    device: int
    inode: int


class UnixSocketPath:
    """The name of a Unix socket in a folder, reached through a descriptor of the folder: socket names are short."""

    def __init__(self, folder: str, name: str) -> None:
        """Nothing is opened or bound yet."""
        self.folder = folder
        self.name = name
        self._listener: socket.socket | None = None
        self._bound: FileId | None = None

    def connect(self) -> socket.socket | None:
        """A connection to the process that listens there, or None if there is none. Raises OSError without folder."""
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.setblocking(False)
            sock.connect(self._path_in(folder))
            return sock
        except OSError:  # no such file, a stale one, or a backlog that is full
            sock.close()
            return None
        finally:
            os.close(folder)

    def listen(self, on_connection: Callable[[socket.socket], None]) -> None:
        """Be found from now on, in place of whichever process was before, this one included. Raises OSError."""
        self.close()
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with suppress(FileNotFoundError):
                os.unlink(self.name, dir_fd=folder)
            with _owner_only():
                listener.bind(self._path_in(folder))
            listener.listen(BACKLOG)
            listener.setblocking(False)
            found = os.stat(self.name, dir_fd=folder)
            self._bound = FileId(found.st_dev, found.st_ino)
        except OSError:
            listener.close()
            raise
        finally:
            os.close(folder)
        self._listener = listener
        IOLoop.current().add_handler(listener, lambda sock, events: self._accept(sock, on_connection), IOLoop.READ)

    def close(self) -> None:
        """Stop listening. The name goes too, unless another process has taken it."""
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

    def _path_in(self, folder: int) -> str:
        return f"/proc/self/fd/{folder}/{self.name}"

    @staticmethod
    def _accept(listener: socket.socket, on_connection: Callable[[socket.socket], None]) -> None:
        try:
            sock, _ = listener.accept()
        except OSError:
            return
        on_connection(sock)


@contextmanager
def _owner_only() -> Iterator[None]:
    """Files made meanwhile are readable and writable by their owner only."""
    previous = os.umask(0o177)
    try:
        yield
    finally:
        os.umask(previous)
