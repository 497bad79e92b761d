"""The listening socket of the clients, and the loop that accepts their connections."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

from badgerroad.net import logs
from badgerroad.net.call_connection import NoDescriptorError
from badgerroad.net.connection import Address
from badgerroad.net.timer_wheel import TimerWheel

log = logs.get("badgerroad")

ACCEPT_PAUSE_US = 50_000  # how long the listener pauses when no descriptor is left
ACCEPT_BATCH_SIZE = 64  # connections accepted in one loop iteration
BACKLOG = 1024


def open_socket(address: Address, shared: bool) -> socket.socket:
    """A listening socket; `shared`: other processes may listen at the same address. Raises OSError."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.setblocking(False)
    listener.bind(address)
    listener.listen(BACKLOG)
    return listener


class Listener:
    """Owns the listening socket. It accepts between `start` and `pause`."""

    def __init__(
        self,
        timers: TimerWheel,
        before_batch: Callable[[], None],
        has_descriptor: Callable[[], bool],
        accepted: Callable[[socket.socket], None],
        pause_over: Callable[[], None],
    ) -> None:
        """`before_batch`: called before connections are accepted; `has_descriptor`: whether one more may be;
        `accepted`: takes each; `pause_over`: called after a pause for want of descriptors.
        """
        self.socket: socket.socket | None = None
        self.accepting = False
        self._timers = timers
        self._before_batch = before_batch
        self._has_descriptor = has_descriptor
        self._accepted = accepted
        self._pause_over = pause_over
        self._loop = IOLoop.current()

    def adopt(self, listener: socket.socket) -> None:
        """Own a listening socket from now on, without accepting."""
        self.socket = listener
        self.accepting = False

    def start(self) -> bool:
        """Accept from now on; whether this is a change."""
        if self.socket is None or self.accepting:
            return False
        self.accepting = True
        self._loop.add_handler(self.socket, self._on_acceptable, IOLoop.READ)
        return True

    def pause(self) -> None:
        """Accept no more; connections wait in the backlog."""
        if self.socket is not None and self.accepting:
            self.accepting = False
            self._loop.remove_handler(self.socket)

    def close(self) -> None:
        """Close the socket."""
        if self.socket is not None:
            self.pause()
            self.socket.close()
            self.socket = None

    def accept_backlog(self, may_accept: Callable[[], bool]) -> None:
        """Accept what waits in the backlog: these clients consider themselves connected."""
        while self.socket is not None and may_accept():
            try:
                accepted, _peer = self.socket.accept()
            except OSError:
                return
            self._accepted(accepted)

    def _on_acceptable(self, listener: socket.socket, events: int) -> None:
        self._before_batch()
        for _ in range(ACCEPT_BATCH_SIZE):
            try:
                if not self._has_descriptor():
                    raise OSError(errno.EMFILE, "descriptor limit reached")
                accepted, _peer = listener.accept()
            except (BlockingIOError, ConnectionAbortedError, InterruptedError):
                return
            except OSError as error:
                # Without a pause the loop would spin on the same connection, which waits in the backlog.
                log.warning(
                    "accept_failed",
                    code=NoDescriptorError.code,
                    error=str(error),
                    remedy=NoDescriptorError.remedy,
                )
                self.pause()
                self._timers.after(ACCEPT_PAUSE_US, self._pause_over)
                return
            self._accepted(accepted)
