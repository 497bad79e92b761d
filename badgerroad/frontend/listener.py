"""The listening socket for clients, and the handler that accepts connections from it."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

from tornado.ioloop import IOLoop

from badgerroad.net import logs
from badgerroad.net.call_connection import NoDescriptorError
from badgerroad.net.socket_stream import Address
from badgerroad.net.timer_wheel import TimerWheel

log = logs.get("badgerroad")

ACCEPT_PAUSE_US = 50_000  # pause of the listener when no file descriptor is free
ACCEPT_BATCH_SIZE = 64  # most connections accepted in one iteration of the event loop
BACKLOG = 1024
# Errors of `accept` that concern the connection, which has ended before it was accepted; the next one may be accepted.
# Linux passes network errors of a new connection on in this way.
CONNECTION_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENONET,
        errno.ETIMEDOUT,
        errno.EPERM,
        errno.EINTR,
    )
)
MAX_ENDED_CONNECTIONS = 1_000  # skipped in one call of `accept_next`


def open_socket(address: Address, shared: bool) -> socket.socket:
    """Open a listening socket; with `shared`, other processes may listen at the same address. Raises OSError."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if shared:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.setblocking(False)
    listener.bind(address)
    listener.listen(BACKLOG)
    return listener


def accept_next(listener: socket.socket) -> socket.socket | None:
    """Accept the next connection in the backlog; return None if there is none.

    Raises OSError if the machine lacks a resource for it. The connection then stays in the backlog.
    """
    for _ in range(MAX_ENDED_CONNECTIONS):
        try:
            return listener.accept()[0]
        except BlockingIOError:
            return None
        except OSError as error:
            if error.errno not in CONNECTION_ERRORS:
                raise
    return None


class Listener:
    """Owns the listening socket and accepts connections between `start` and `pause`."""

    def __init__(
        self,
        timers: TimerWheel,
        before_batch: Callable[[], None],
        has_descriptor: Callable[[], bool],
        on_accepted: Callable[[socket.socket], None],
        on_pause_ended: Callable[[], None],
    ) -> None:
        """Create a listener without a socket.

        `before_batch` is called before a batch of connections is accepted, `has_descriptor` returns whether one more
        connection may be accepted, `on_accepted` receives the socket of each accepted connection, and `on_pause_ended`
        is called after a pause caused by a lack of descriptors.
        """
        self.socket: socket.socket | None = None
        self.accepting = False
        self._timers = timers
        self._before_batch = before_batch
        self._has_descriptor = has_descriptor
        self._on_accepted = on_accepted
        self._on_pause_ended = on_pause_ended
        self._loop = IOLoop.current()

    def adopt(self, listener: socket.socket) -> None:
        """Take ownership of a listening socket without accepting."""
        self.socket = listener
        self.accepting = False

    def start(self) -> bool:
        """Start accepting; returns False if there is no socket or it is already accepting."""
        if self.socket is None or self.accepting:
            return False
        self.accepting = True
        self._loop.add_handler(self.socket, self._on_acceptable, IOLoop.READ)
        return True

    def pause(self) -> None:
        """Stop accepting; new connections wait in the backlog."""
        if self.socket is not None and self.accepting:
            self.accepting = False
            self._loop.remove_handler(self.socket)

    def close(self) -> None:
        """Close the socket."""
        if self.socket is not None:
            self.pause()
            self.socket.close()
            self.socket = None

    def accept_backlog(self, may_accept: Callable[[], bool]) -> bool:
        """Accept the connections in the backlog, whose clients already consider themselves connected.

        Returns whether the backlog is empty. If not, a later call may accept the others.
        """
        while self.socket is not None and may_accept():
            try:
                accepted = accept_next(self.socket)
            except OSError as error:
                self._log_failure(error)
                return False
            if accepted is None:
                return True
            self._on_accepted(accepted)
        return self.socket is None

    def _on_acceptable(self, listener: socket.socket, events: int) -> None:
        self._before_batch()
        for _ in range(ACCEPT_BATCH_SIZE):
            try:
                if not self._has_descriptor():
                    raise OSError(errno.EMFILE, "descriptor limit reached")
                accepted = accept_next(listener)
            except OSError as error:
                # Without a pause the event loop would spin, as the connection stays in the backlog.
                self._log_failure(error)
                self.pause()
                self._timers.after(ACCEPT_PAUSE_US, self._on_pause_ended)
                return
            if accepted is None:
                return
            self._on_accepted(accepted)

    @staticmethod
    def _log_failure(error: OSError) -> None:
        log.warning("accept_failed", code=NoDescriptorError.code, error=str(error), remedy=NoDescriptorError.remedy)
