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

# Callers at one time. Two or three ask every second; the rest is for those that say nothing, of which the oldest goes
# when there are more, so that one that asks always finds a place.
MOST = 12
KEPT = MOST + 2  # descriptors that clients and attempts do without: the callers, the listener, one in passing
CALL_TIME = 1_500_000  # from the connection to the end of its call; an answer is due within 1 s
# A caller's call is a moment behind its connection. Sent away sooner, one that asks was closed on unheard where silent
# ones came back as fast as they were sent away; so the next ones wait in the backlog for a place, 120 of them a second.
YOUNG = 100_000
PAUSE = 10_000  # how long the listener rests when all places are taken by such
LINGER = 250_000  # how long what came behind the call is read and thrown away, so that the answer arrives
BACKLOG = 128  # callers that wait while this process is busy
BODY_LIMIT = 1_024  # of a call; none that is known has a body


class Caller(Connection):
    def __init__(self, sock: socket.socket, listener: Listener) -> None:
        super().__init__(sock, listener.descriptors, responses=False, body_limit=BODY_LIMIT)
        self.listener = listener
        self.asked = False  # its call has come whole, or cannot any more
        self.since = listener.wheel.clock.now()
        self._timer = listener.wheel.after(CALL_TIME, self._out_of_time, awaits_peer=True)

    def wants_message(self) -> bool:
        return not self.asked

    def on_message(self, message: http1.Message) -> None:
        self._answer(*self.listener.answer(message))

    def on_bad_message(self, error: http1.BadMessageError) -> None:
        self._answer(error.status, str(error).encode() + b"\n")

    def _out_of_time(self) -> None:
        if self.asked or self.parser.idle:
            self.close()
        else:
            self.on_bad_message(http1.BadMessageError(408, "the call stopped halfway"))

    def _answer(self, status: int, body: bytes, headers: http1.Headers = []) -> None:
        if not self.asked:
            self.asked = self.lingering = True
            self._timer.cancel()
            self._timer = self.listener.wheel.after(LINGER, self.close)
            self.send(http1.response(status, body, headers, close=True))

    def on_written(self) -> None:
        if self.peer_has_sent() or len(self.receive_buffer):
            try:
                self.stream.socket.shutdown(socket.SHUT_WR)  # an end with bytes unread would be a reset
                return
            except OSError:
                pass
        self.close()

    def on_closed(self) -> None:
        self._timer.cancel()
        self.listener.callers.pop(self, None)


class Listener:
    """`ready`: does this process take clients? `figures`: what `/metrics` shows, reckoned when it is asked for."""

    def __init__(self, wheel: TimerWheel, ready: Callable[[], bool], figures: Callable[[], dict[str, Any]]) -> None:
        self.wheel, self.ready, self.figures = wheel, ready, figures
        self.descriptors = DescriptorBudget(MOST + DescriptorBudget.RESERVE)  # a count of their own
        self.callers: dict[Caller, None] = {}  # the oldest first
        self._socket: socket.socket | None = None
        self._loop = IOLoop.current()

    def listen(self, address: Address) -> Address:
        """Raises OSError."""
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
        for _ in range(MOST):
            if len(self.callers) >= MOST and not self._make_room():
                self._loop.remove_handler(listener)
                self.wheel.after(PAUSE, self._accept_again)
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

    def _accept_again(self) -> None:
        if self._socket is not None:
            self._loop.add_handler(self._socket, self._accept, IOLoop.READ)

    def _make_room(self) -> bool:
        """The oldest that has not asked goes, unless it is young or its call lies unread."""
        old = self.wheel.clock.now() - YOUNG
        for caller in self.callers:
            if not caller.asked and caller.since <= old and not caller.peer_has_sent():
                caller.close()
                return True
        return False

    def answer(self, message: http1.Message) -> tuple[int, bytes, http1.Headers]:
        path = message.path
        if path not in (b"/ready", b"/metrics"):
            return 404, b"no such path\n", []
        if message.method != b"GET":
            return 405, b"wrong method\n", [(b"Allow", b"GET")]
        if path == b"/ready":
            return (200, b"ready\n", []) if self.ready() else (503, b"not ready\n", [])
        text = json.dumps(self.figures(), separators=(",", ":")).encode()
        return 200, text, [(b"Content-Type", b"application/json")]

    def close(self) -> None:
        if self._socket is not None:
            self._loop.remove_handler(self._socket)  # also while it rests
            self._socket.close()
            self._socket = None
        for caller in list(self.callers):
            caller.close()
