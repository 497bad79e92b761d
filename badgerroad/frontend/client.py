"""A client's connection, and its requests in turn: each gets exactly one final answer, through `Exchange.answer`."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from tornado.ioloop import IOLoop

from badgerroad.net import http1, logs
from badgerroad.net.connection import Connection
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.timer_wheel import Timer, TimerWheel

log = logs.get("badgerroad")

LINGER_TIME_US = 1_000_000  # how long what a client still sends is read and thrown away after this side's end
# From its first byte, the first one from the connection on, to its last one: a client that sends no whole request is
# owed an error or a close within 3 s of connecting, however slowly its bytes trickle in.
REQUEST_TIMEOUT_US = 2_500_000
FRESH_TIME_US = 500_000  # how long a connection is waited for, new or just served, though descriptors run short
# How long a silent one, or one that stopped halfway, is waited for while others wait for its place; and a client, to
# hear of the end. What is on its way over loopback or in one zone is there by then.
EVICTION_GRACE_US = 100_000
# What is read and thrown away behind an open request: what a client had sent before it left lies in buffers of two
# systems, which are smaller. Who sends more goes on sending.
DISCARD_LIMIT_BYTES = 16 * 1024 * 1024


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

    def client_has_closed(self) -> bool:
        """Its end may lie on the socket, not read yet."""
        return self.connection.peer_has_closed()

    def close(self) -> None:
        """The client has gone: nothing is owed any more."""
        self.connection.close()


class RequestHandler(Protocol):
    """What takes the requests: the dispatcher, whatever protocol they came by."""

    def handle_request(self, message: http1.Message, exchange: Exchange) -> None: ...

    def client_disconnected(self, exchange: Exchange) -> None: ...

    def handle_job_event(self, request_id: bytes, host: str, state: str, item: dict[str, Any]) -> None: ...

    @property
    def ready(self) -> bool: ...

    def serves_path(self, path: bytes) -> bool: ...

    def shed_idle_connections(self) -> None: ...

    def record_rejection(self, path: bytes) -> None: ...


# Passes a client's connection on to another process: descriptor, what `go_on` needs there, bytes read and not used, the
# open exchange if there is one. False if that cannot be now.
ConnectionSuccessor = Callable[[int, dict[str, Any], bytes, Exchange | None], bool]


class Owner(Protocol):
    """What a client's connection needs of the side that has accepted it: `frontend.http.Frontend`."""

    timers: TimerWheel
    descriptors: DescriptorBudget
    request_handler: RequestHandler
    connections: set[ClientConnection]
    draining: bool
    successor: ConnectionSuccessor | None

    def handle(self, message: http1.Message, exchange: Exchange) -> None: ...


class ClientConnection(Connection):
    def __init__(self, sock: socket.socket, side: Owner) -> None:
        super().__init__(sock, side.descriptors, responses=False)
        self.owner = side
        self.exchange: Exchange | None = None
        self.pipelined_request: http1.Message | None = None  # read behind the open request, and next in turn
        self.last_activity_at, self.served = side.timers.clock.now(), False  # since when nothing has come
        self._request_timer: Timer | None = side.timers.after(
            REQUEST_TIMEOUT_US, self._request_timed_out, awaits_peer=True
        )
        self._closing = False  # after what is being written
        self._discarded_bytes = 0  # bytes thrown away behind the open request

    @property
    def idle(self) -> bool:
        return (
            self.exchange is None
            and self.pipelined_request is None
            and self.parser.idle
            and self.all_written
            and not self.lingering
        )

    @property
    def has_pending_response(self) -> bool:
        return self.exchange is not None or self.pipelined_request is not None or not self.all_written

    def discard_when_full(self) -> bool:
        """More than a request lies behind the open one. It is thrown away, so that the client's end behind it is seen:
        the open one is answered and the connection ended; who sends requests ahead asks again for what has had no
        answer."""
        if self.exchange is None or self.owner.successor is not None:
            return False
        self._closing, self.pipelined_request = True, None
        return True

    def on_discarded(self, count: int) -> None:
        self._discarded_bytes += count
        if self._discarded_bytes > DISCARD_LIMIT_BYTES and not self.lingering:
            self.on_bad_message(http1.BadMessageError(413, "too much behind an open request"))

    def evictable(self, now: int) -> bool:
        """Idle, and silent for long enough that no request is likely to be on its way: the first, whose client would
        take the end for a dispatcher that has died, or the next of a client with job after job. While this process
        drains, who has been served may come again elsewhere. Or only waiting for the rest of a bad request."""
        fresh = now - self.last_activity_at <= FRESH_TIME_US and not (self.served and self.owner.draining)
        return (
            self.lingering
            and self.all_written
            and now - self.last_activity_at >= EVICTION_GRACE_US
            or self.idle
            and not fresh
        )

    @property
    def usefulness(self) -> tuple[bool, bool, int]:
        """The least useful connection has the lowest: a bad request, or none yet, and silent for long."""
        return not self.lingering, self.served, self.last_activity_at

    def wants_message(self) -> bool:
        """What lies behind an open request is read too, one message of it: if that is none, the two sides see
        different bounds, and the open request cannot be trusted either."""
        return (
            self.pipelined_request is None
            and not self._closing
            and (self.owner.successor is None or self.exchange is not None)
        )

    def pass_to_successor(self) -> None:
        """To the process that takes new jobs, with what was read and not used; with the open job, if that can go."""
        heir = self.owner.successor
        if (
            heir is None
            or self.closed
            or self.lingering
            or self._closing
            and self.exchange is None
            or not self.all_written
            or not self.no_read_in_progress
        ):
            return
        data = self.parser.unconsumed_bytes()
        if self.pipelined_request is not None:
            data = http1.serialize_request(self.pipelined_request) + data
        now = self.owner.timers.clock.now()
        left = -1 if self._request_timer is None else max(self._request_timer.due_at - now, 0)
        about = {"served": self.served, "left": left, "closing": self._closing}
        if heir(self.stream.socket.fileno(), about, data, self.exchange):
            self.pipelined_request = self.exchange = None
            self.close()  # the connection itself lives on over there

    def process_messages(self) -> None:
        self.last_activity_at = self.owner.timers.clock.now()
        super().process_messages()
        if self.closed or self.lingering or self.exchange is not None:
            return
        if self.owner.successor is not None:
            self.pass_to_successor()
            return
        if self._request_timer is None and not self.parser.idle:
            self._request_timer = self.owner.timers.after(REQUEST_TIMEOUT_US, self._request_timed_out, awaits_peer=True)
        head = self.parser.head
        if head is not None and not self.continue_sent and (head.header(b"expect") or b"").lower() == b"100-continue":
            self.continue_sent = True
            self.send(http1.response(100))

    continue_sent = False  # the client was told to go on

    def _request_timed_out(self) -> None:
        """A request that stops halfway must not hold a descriptor, or the end of a drain, for good; nor must a
        connection on which none ever comes."""
        self._request_timer = None
        if self.parser.idle:
            self.end_gracefully()
        else:
            self.on_bad_message(http1.BadMessageError(408, "the request stopped halfway"))

    def _cancel_request_timer(self) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def on_message(self, message: http1.Message) -> None:
        if self.exchange is not None:
            self.pipelined_request = message
            return
        self._cancel_request_timer()
        self.continue_sent = False
        exchange = self.exchange = Exchange(self)
        self._closing = message.close
        try:
            self.owner.handle(message, exchange)
        except Exception:
            log.exception("unexpected exception on a request")
            exchange.answer(500, b"internal error\n")

    def on_bad_message(self, error: http1.BadMessageError) -> None:
        self._closing = True
        self._abandon_exchange()  # the one answer that is still due is this one
        self.send(http1.response(error.status, str(error).encode() + b"\n", close=True))
        self.end_gracefully()

    def end_gracefully(self) -> None:
        """The one way in which this side ends a connection that works. Closed with bytes unread it would be reset,
        which can destroy an answer on its way, and looking before closing leaves an instant between. So the writing
        side is shut once the last answer is out, and what still comes is read and thrown away, until the client ends
        its side too or LINGER is over. A request among it is never sent on: its client sees the end, and may ask
        again."""
        if self.closed or self.lingering:
            return
        self._cancel_request_timer()
        self.lingering = True
        self._space_available.set()
        self.last_activity_at = self.owner.timers.clock.now()
        self.owner.timers.after(LINGER_TIME_US, self.close)
        if self.all_written:
            self._shut()

    def _shut(self) -> None:
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def answer(self, status: int, body: bytes, headers: Iterable[tuple[bytes, bytes]], close: bool) -> None:
        self.exchange, self.served = None, True
        # Who sends what cannot be used does so again and again, on connections that it keeps.
        ending = self.owner.draining and self.owner.successor is None
        self._closing = self._closing or close or ending or 400 <= status < 500
        self.send(http1.response(status, body, headers, close=self._closing))

    def on_written(self) -> None:
        if self.lingering:
            self._shut()
        elif self.exchange is None and self._closing:
            self.end_gracefully()
        elif self.exchange is None:
            # What came in behind the request waits in the ring.
            IOLoop.current().add_callback(self.resume)

    def restore(self, about: dict[str, Any], data: bytes, job: Callable[[ClientConnection], None] | None) -> None:
        """From where another process was."""
        self.served, self._closing = bool(about["served"]), bool(about["closing"])
        self._cancel_request_timer()
        if about["left"] >= 0:
            self._request_timer = self.owner.timers.after(int(about["left"]), self._request_timed_out, awaits_peer=True)
        if data:
            self.receive_buffer.put(data)
        if job is not None:
            job(self)
        self.resume()

    def resume(self) -> None:
        if self.owner.successor is not None:
            self.pass_to_successor()
            return
        message = None
        if self.exchange is None:
            message, self.pipelined_request = self.pipelined_request, None
        try:
            if message is not None and not self.closed:
                self.on_message(message)
            self.process_messages()
        except http1.BadMessageError as e:
            self.on_bad_message(e)

    def _abandon_exchange(self) -> None:
        """The client is gone, or as good as gone: what is open needs no answer of its own any more."""
        exchange, self.exchange = self.exchange, None
        if exchange is not None and not exchange.answered:
            exchange.answered = True
            self.owner.request_handler.client_disconnected(exchange)

    def on_closed(self) -> None:
        self._cancel_request_timer()
        self.owner.connections.discard(self)
        self._abandon_exchange()
