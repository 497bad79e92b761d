"""The listener for operators' calls: HTTP/1.1, one call a connection, `GET /ready` and `GET /metrics`.

It accepts by itself and has descriptors of its own, so that neither clients nor attempts can take a caller's place.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop

from badgerroad.net import http1
from badgerroad.net.background_tasks import spawn
from badgerroad.net.connection import Address, Connection
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.timer_wheel import TimerWheel

# Callers at one time. Two or three call every second; the rest is for silent ones, of which the oldest is closed when
# there are more, so that one that calls is always accepted.
MAX_CALLERS = 12
RESERVED_DESCRIPTORS = MAX_CALLERS + 2  # not for clients and attempts: the callers, the listener, one being accepted
CALL_TIMEOUT_US = 1_500_000  # from the connection to the end of its call; an answer is due within 1 s
# A call arrives a moment after its connection. A caller is not closed before this age, so that silent ones which come
# back at once cannot displace those that call; the next ones wait in the backlog meanwhile.
MIN_CLOSE_AGE_US = 100_000
ACCEPT_PAUSE_US = 10_000  # while all callers are younger than that
LINGER_US = 250_000  # what arrives behind the call is read and discarded so long, so that the answer arrives
BACKLOG = 128  # callers that wait while this process is busy
BODY_LIMIT_BYTES = 1_024  # of a call; none that is known has a body


class Caller(Connection):
    """One call, from its connection to the end of its answer."""

    def __init__(self, sock: socket.socket, listener: Listener) -> None:
        """Owns `sock` from now on. Raises OSError, then it does not."""
        super().__init__(sock, listener.descriptors, responses=False, body_limit=BODY_LIMIT_BYTES)
        self.listener = listener
        self.answered = False  # its call is complete, or cannot be any more
        self.connected_at = listener.wheel.clock.now()
        self._timer = listener.wheel.after(CALL_TIMEOUT_US, self._on_timeout, awaits_peer=True)

    def wants_message(self) -> bool:
        """Whether its call has not arrived yet."""
        return not self.answered

    def on_message(self, message: http1.Message) -> None:
        """Answer the call."""
        self._answer(*self.listener.answer(message))

    def on_bad_message(self, error: http1.BadMessageError) -> None:
        """Answer what is no call."""
        self._answer(error.status, str(error).encode() + b"\n")

    def _on_timeout(self) -> None:
        if self.answered or self.parser.idle:
            self.close()
        else:
            self.on_bad_message(http1.BadMessageError(408, "the call stopped halfway"))

    def _answer(self, status: int, body: bytes, headers: http1.Headers | None = None) -> None:
        if not self.answered:
            self.answered = self.lingering = True
            self._timer.cancel()
            self._timer = self.listener.wheel.after(LINGER_US, self.close)
            self.send(http1.response(status, body, headers or [], close=True))

    def on_written(self) -> None:
        """The answer is sent: close, once the caller has read it where it has sent more than its call."""
        if self.peer_has_sent() or len(self.receive_buffer):
            try:
                self.stream.socket.shutdown(socket.SHUT_WR)  # an end with bytes unread would be a reset
                return
            except OSError:
                pass
        self.close()

    def on_closed(self) -> None:
        """Its descriptor is free."""
        self._timer.cancel()
        self.listener.callers.pop(self, None)


class Listener:
    """The second address and its callers."""

    def __init__(self, wheel: TimerWheel, ready: Callable[[], bool], metrics: Callable[[], dict[str, Any]]) -> None:
        """`ready`: whether this process accepts clients; `metrics`: what `/metrics` shows, computed at each call."""
        self.wheel = wheel
        self._ready = ready
        self._metrics = metrics
        self.descriptors = DescriptorBudget(
            MAX_CALLERS + DescriptorBudget.RESERVE
        )  # apart from that of clients and attempts
        self.callers: dict[Caller, None] = {}  # the oldest first
        self._socket: socket.socket | None = None
        self._loop = IOLoop.current()

    def listen(self, address: Address) -> Address:
        """Listen on an address; returns it with the port in use. Raises OSError."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            listener.bind(address)
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        self._socket = listener
        self._loop.add_handler(listener, self._accept, IOLoop.READ)
        host, port = listener.getsockname()
        return host, port

    def _accept(self, listener: socket.socket, events: int) -> None:
        for _ in range(MAX_CALLERS):
            if len(self.callers) >= MAX_CALLERS and not self._close_oldest_silent():
                self._loop.remove_handler(listener)
                self.wheel.after(ACCEPT_PAUSE_US, self._resume_accepting)
                return
            try:
                sock, _peer = listener.accept()
            except OSError:
                return  # none waits, or it has left; without a descriptor the next turn tries again
            try:
                caller = Caller(sock, self)
            except OSError:
                sock.close()
                continue
            self.callers[caller] = None
            spawn(caller.read())

    def _resume_accepting(self) -> None:
        if self._socket is not None:
            self._loop.add_handler(self._socket, self._accept, IOLoop.READ)

    def _close_oldest_silent(self) -> bool:
        """Close the oldest that has not called, unless it is young or its call is unread; false if there is none."""
        connected_before = self.wheel.clock.now() - MIN_CLOSE_AGE_US
        for caller in self.callers:
            if not caller.answered and caller.connected_at <= connected_before and not caller.peer_has_sent():
                caller.close()
                return True
        return False

    def answer(self, message: http1.Message) -> tuple[int, bytes, http1.Headers]:
        """Status, body and headers for a call."""
        path = message.path
        if path not in (b"/ready", b"/metrics"):
            return 404, b"no such path\n", []
        if message.method != b"GET":
            return 405, b"wrong method\n", [(b"Allow", b"GET")]
        if path == b"/ready":
            return (200, b"ready\n", []) if self._ready() else (503, b"not ready\n", [])
        text = json.dumps(self._metrics(), separators=(",", ":")).encode()
        return 200, text, [(b"Content-Type", b"application/json")]

    def close(self) -> None:
        """Close the address and all callers."""
        if self._socket is not None:
            self._loop.remove_handler(self._socket)  # also while accepting is paused
            self._socket.close()
            self._socket = None
        for caller in list(self.callers):
            caller.close()
