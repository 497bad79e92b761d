"""A client's connection, and its requests in turn: each gets exactly one final answer, through `Exchange.answer`."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from tornado.ioloop import IOLoop

from badgerroad.net import http1, logs
from badgerroad.net.connection import Connection, Descriptors
from badgerroad.net.timer_wheel import Timer, Wheel

log = logs.get("badgerroad")

LINGER = 1_000_000  # how long what a client still sends is read and thrown away after this side's end
# From its first byte, the first one from the connection on, to its last one: a client that sends no whole request is
# owed an error or a close within 3 s of connecting, however slowly its bytes trickle in.
REQUEST_TIME = 2_500_000
FRESH = 500_000  # how long a connection is waited for, new or just served, though descriptors run short
# How long a silent one, or one that stopped halfway, is waited for while others wait for its place; and a client, to
# hear of the end. What is on its way over loopback or in one zone is there by then.
YOUNG = 100_000
# What is read and thrown away behind an open request: what a client had sent before it left lies in buffers of two
# systems, which are smaller. Who sends more goes on sending.
FLOOD = 16 * 1024 * 1024


class Exchange:
    """One request of a client and its one final answer."""

    __slots__ = ("connection", "answered", "number")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection, self.answered, self.number = connection, False, 0

    def answer(
        self, status: int, body: bytes = b"", headers: Iterable[tuple[bytes, bytes]] = (), close: bool = False
    ) -> None:
        if not self.answered:
            self.answered = True
            self.connection.answer(status, body, headers, close)

    def client_left(self) -> bool:
        """Its end may lie on the socket, not read yet."""
        return self.connection.peer_has_left()

    def close(self) -> None:
        """The client has gone: nothing is owed any more."""
        self.connection.close()


class Taker(Protocol):
    """What takes the requests: the dispatcher, whatever protocol they came by."""

    def handle_request(self, message: http1.Message, exchange: Exchange) -> None: ...

    def client_gone(self, exchange: Exchange) -> None: ...

    def called_back(self, request_id: bytes, host: str, state: str, item: dict[str, Any]) -> None: ...

    @property
    def ready(self) -> bool: ...

    def knows_path(self, path: bytes) -> bool: ...

    def shed(self) -> None: ...

    def turned_away(self, path: bytes) -> None: ...


# Passes a client's connection on to another process: descriptor, what `go_on` needs there, bytes read and not used, the
# open exchange if there is one. False if that cannot be now.
Heir = Callable[[int, dict[str, Any], bytes, Exchange | None], bool]


class Owner(Protocol):
    """What a client's connection needs of the side that has accepted it: `frontend.http.Frontend`."""

    wheel: Wheel
    descriptors: Descriptors
    taker: Taker
    connections: set[ClientConnection]
    draining: bool
    heir: Heir | None

    def handle(self, message: http1.Message, exchange: Exchange) -> None: ...


class ClientConnection(Connection):
    def __init__(self, sock: socket.socket, side: Owner) -> None:
        super().__init__(sock, side.descriptors, responses=False)
        self.side = side
        self.exchange: Exchange | None = None
        self.ahead: http1.Message | None = None  # read behind the open request, and next in turn
        self.since, self.served = side.wheel.clock.now(), False  # since when nothing has come
        self._patience: Timer | None = side.wheel.after(REQUEST_TIME, self._out_of_patience, patient=True)
        self._closing = False  # after what is being written
        self._flood = 0  # bytes thrown away behind the open request

    @property
    def idle(self) -> bool:
        return self.exchange is None and self.ahead is None and self.parser.idle and self.written and not self.lingering

    @property
    def owes(self) -> bool:
        return self.exchange is not None or self.ahead is not None or not self.written

    def on_full(self) -> bool:
        """More than a request lies behind the open one. It is thrown away, so that the client's end behind it is seen:
        the open one is answered and the connection ended; who sends requests ahead asks again for what has had no
        answer."""
        if self.exchange is None or self.side.heir is not None:
            return False
        self._closing, self.ahead = True, None
        return True

    def on_wasted(self, count: int) -> None:
        self._flood += count
        if self._flood > FLOOD and not self.lingering:
            self.on_bad(http1.BadMessage(413, "too much behind an open request"))

    def dispensable(self, now: int) -> bool:
        """Idle, and silent for long enough that no request is likely to be on its way: the first, whose client would
        take the end for a dispatcher that has died, or the next of a client with job after job. While this process
        drains, who has been served may come again elsewhere. Or only waiting for the rest of a bad request."""
        fresh = now - self.since <= FRESH and not (self.served and self.side.draining)
        return self.lingering and self.written and now - self.since >= YOUNG or self.idle and not fresh

    @property
    def use(self) -> tuple[bool, bool, int]:
        """The least useful connection has the lowest: a bad request, or none yet, and silent for long."""
        return not self.lingering, self.served, self.since

    def wants(self) -> bool:
        """What lies behind an open request is read too, one message of it: if that is none, the two sides see
        different bounds, and the open request cannot be trusted either."""
        return self.ahead is None and not self._closing and (self.side.heir is None or self.exchange is not None)

    def pass_on(self) -> None:
        """To the process that takes new jobs, with what was read and not used; with the open job, if that can go."""
        heir = self.side.heir
        if (
            heir is None
            or self.closed
            or self.lingering
            or self._closing
            and self.exchange is None
            or not self.written
            or not self.at_rest
        ):
            return
        data = self.parser.unread()
        if self.ahead is not None:
            data = http1.again(self.ahead) + data
        now = self.side.wheel.clock.now()
        left = -1 if self._patience is None else max(self._patience.due - now, 0)
        about = {"served": self.served, "left": left, "closing": self._closing}
        if heir(self.stream.socket.fileno(), about, data, self.exchange):
            self.ahead = self.exchange = None
            self.close()  # the connection itself lives on over there

    def advance(self) -> None:
        self.since = self.side.wheel.clock.now()
        super().advance()
        if self.closed or self.lingering or self.exchange is not None:
            return
        if self.side.heir is not None:
            self.pass_on()
            return
        if self._patience is None and not self.parser.idle:
            self._patience = self.side.wheel.after(REQUEST_TIME, self._out_of_patience, patient=True)
        head = self.parser.head
        if head is not None and not self.expected and (head.get(b"expect") or b"").lower() == b"100-continue":
            self.expected = True
            self.send(http1.response(100))

    expected = False  # the client was told to go on

    def _out_of_patience(self) -> None:
        """A request that stops halfway must not hold a descriptor, or the end of a drain, for good; nor must a
        connection on which none ever comes."""
        self._patience = None
        if self.parser.idle:
            self.finish()
        else:
            self.on_bad(http1.BadMessage(408, "the request stopped halfway"))

    def _be_patient_no_more(self) -> None:
        if self._patience is not None:
            self._patience.cancel()
            self._patience = None

    def on_message(self, message: http1.Message) -> None:
        if self.exchange is not None:
            self.ahead = message
            return
        self._be_patient_no_more()
        self.expected = False
        exchange = self.exchange = Exchange(self)
        self._closing = message.close
        try:
            self.side.handle(message, exchange)
        except Exception:
            log.exception("unexpected exception on a request")
            exchange.answer(500, b"internal error\n")

    def on_bad(self, error: http1.BadMessage) -> None:
        self._closing = True
        self._leave()  # the one answer that is still due is this one
        self.send(http1.response(error.status, str(error).encode() + b"\n", close=True))
        self.finish()

    def finish(self) -> None:
        """The one way in which this side ends a connection that works. Closed with bytes unread it would be reset,
        which can destroy an answer on its way, and looking before closing leaves an instant between. So the writing
        side is shut once the last answer is out, and what still comes is read and thrown away, until the client ends
        its side too or LINGER is over. A request among it is never sent on: its client sees the end, and may ask
        again."""
        if self.closed or self.lingering:
            return
        self._be_patient_no_more()
        self.lingering = True
        self._room.set()
        self.since = self.side.wheel.clock.now()
        self.side.wheel.after(LINGER, self.close)
        if self.written:
            self._shut()

    def _shut(self) -> None:
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def answer(self, status: int, body: bytes, headers: Iterable[tuple[bytes, bytes]], close: bool) -> None:
        self.exchange, self.served = None, True
        # Who sends what cannot be used does so again and again, on connections that it keeps.
        ending = self.side.draining and self.side.heir is None
        self._closing = self._closing or close or ending or 400 <= status < 500
        self.send(http1.response(status, body, headers, close=self._closing))

    def on_written(self) -> None:
        if self.lingering:
            self._shut()
        elif self.exchange is None and self._closing:
            self.finish()
        elif self.exchange is None:
            # What came in behind the request waits in the ring.
            IOLoop.current().add_callback(self.resume)

    def go_on(self, about: dict[str, Any], data: bytes, job: Callable[[ClientConnection], None] | None) -> None:
        """From where another process was."""
        self.served, self._closing = bool(about["served"]), bool(about["closing"])
        self._be_patient_no_more()
        if about["left"] >= 0:
            self._patience = self.side.wheel.after(int(about["left"]), self._out_of_patience, patient=True)
        if data:
            self.ring_in.put(data)
        if job is not None:
            job(self)
        self.resume()

    def resume(self) -> None:
        if self.side.heir is not None:
            self.pass_on()
            return
        message = None
        if self.exchange is None:
            message, self.ahead = self.ahead, None
        try:
            if message is not None and not self.closed:
                self.on_message(message)
            self.advance()
        except http1.BadMessage as e:
            self.on_bad(e)

    def _leave(self) -> None:
        """The client is gone, or as good as gone: what is open needs no answer of its own any more."""
        exchange, self.exchange = self.exchange, None
        if exchange is not None and not exchange.answered:
            exchange.answered = True
            self.side.taker.client_gone(exchange)

    def on_closed(self) -> None:
        self._be_patient_no_more()
        self.side.connections.discard(self)
        self._leave()
