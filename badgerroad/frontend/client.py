"""A client's connection, and its requests in turn."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from tornado.ioloop import IOLoop

from badgerroad.frontend.exchange import Exchange, RequestHandler
from badgerroad.net import http1, logs
from badgerroad.net.connection import Connection
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.timer_wheel import Timer, TimerWheel

log = logs.get("badgerroad")

LINGER_TIME_US = 1_000_000  # how long bytes of the client are discarded after the end of this side
# From the first byte of a request to its last; for the first request, from the connection on. The protocol allows 3 s
# until a client without a complete request gets an error or a close.
REQUEST_TIMEOUT_US = 2_500_000
FRESH_TIME_US = 500_000  # how long a connection, new or just served, is not evicted
# How long a client without a complete request is spared while others wait for its descriptor, and how long a client has
# to notice the end. Enough for what is on its way within a zone.
EVICTION_GRACE_US = 100_000
# Bytes discarded behind an open request, more than both socket buffers hold. Beyond them, the client has not
# left but goes on sending.
DISCARD_LIMIT_BYTES = 16 * 1024 * 1024

# Passes a client's connection to another process: descriptor, what `restore` needs there, bytes that were read but not
# used, and the open exchange if there is one. False if this is not possible now.
ConnectionSuccessor = Callable[[int, dict[str, Any], bytes, Exchange | None], bool]


class Owner(Protocol):
    """What a client's connection needs of the frontend that has accepted it."""

    timers: TimerWheel
    descriptors: DescriptorBudget
    request_handler: RequestHandler
    connections: set[ClientConnection]
    draining: bool
    successor: ConnectionSuccessor | None

    def handle(self, message: http1.Message, exchange: Exchange) -> None:
        """A complete request has arrived."""


class ClientConnection(Connection):
    """Hands the requests of one client to its owner, one after the other, and writes the responses."""

    def __init__(self, sock: socket.socket, owner: Owner) -> None:
        """Raises OSError if the socket cannot be used."""
        super().__init__(sock, owner.descriptors, responses=False)
        self.owner = owner
        self.exchange: Exchange | None = None
        self.pipelined_request: http1.Message | None = None  # read behind the open request, and next in turn
        self.last_activity_at = owner.timers.clock.now()
        self.served = False  # has had a response
        self._request_timer: Timer | None = None
        self._closing = False  # after what is being written
        self._discarded_bytes = 0  # behind the open request
        self._continue_sent = False
        self._start_request_timer(REQUEST_TIMEOUT_US)

    @property
    def idle(self) -> bool:
        """Whether no part of a request or response is here or on its way out."""
        return (
            self.exchange is None
            and self.pipelined_request is None
            and self.parser.idle
            and self.all_written
            and not self.lingering
        )

    @property
    def has_pending_response(self) -> bool:
        """Whether a response is due or being written. An incomplete request has none."""
        return self.exchange is not None or self.pipelined_request is not None or not self.all_written

    def evictable(self, now: int) -> bool:
        """Whether the connection may be ended when descriptors are scarce.

        It must be idle for so long that no request is likely to be on its way: a new client would take the end for a
        failure of the dispatcher, and a busy one sends the next request soon. While the dispatcher drains, clients that
        were served can reconnect elsewhere. A connection that only waits for its peer's end is evictable too.
        """
        silent_for = now - self.last_activity_at
        if self.lingering:
            return self.all_written and silent_for >= EVICTION_GRACE_US
        fresh = silent_for <= FRESH_TIME_US and not (self.served and self.owner.draining)
        return self.idle and not fresh

    @property
    def usefulness(self) -> tuple[bool, bool, int]:
        """Sort key for eviction: first bad requests, then clients without a request, and the longest silent."""
        return not self.lingering, self.served, self.last_activity_at

    # Requests.

    def wants_message(self) -> bool:
        """One request behind the open one is read too.

        If that is not a message, client and dispatcher disagree on the framing, and the open one is not trustworthy.
        """
        if self.pipelined_request is not None or self._closing:
            return False
        return self.owner.successor is None or self.exchange is not None

    def discard_when_full(self) -> bool:
        """More than one request lies behind the open one: discard it, so that the client's end behind it is noticed.

        The open request gets its response, and the connection ends; the client repeats what had no response.
        """
        if self.exchange is None or self.owner.successor is not None:
            return False
        self._closing = True
        self.pipelined_request = None
        return True

    def on_discarded(self, count: int) -> None:
        """Reject the open request of a client that does not stop sending."""
        self._discarded_bytes += count
        if self._discarded_bytes > DISCARD_LIMIT_BYTES and not self.lingering:
            self.on_bad_message(http1.BadMessageError(413, "too much behind an open request"))

    def process_messages(self) -> None:
        """Hand out what has arrived; without a complete request, start its timeout and respond to `Expect`."""
        self.last_activity_at = self.owner.timers.clock.now()
        super().process_messages()
        if self.closed or self.lingering or self.exchange is not None:
            return
        if self.owner.successor is not None:
            self.pass_to_successor()
            return
        if self._request_timer is None and not self.parser.idle:
            self._start_request_timer(REQUEST_TIMEOUT_US)
        self._send_continue()

    def _send_continue(self) -> None:
        head = self.parser.head
        if head is not None and not self._continue_sent and (head.header(b"expect") or b"").lower() == b"100-continue":
            self._continue_sent = True
            self.send(http1.response(100))

    def _start_request_timer(self, timeout: int) -> None:
        self._request_timer = self.owner.timers.after(timeout, self._request_timed_out, awaits_peer=True)

    def _cancel_request_timer(self) -> None:
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def _request_timed_out(self) -> None:
        """Neither an incomplete request nor an unused connection may hold a descriptor or a drain for good."""
        self._request_timer = None
        if self.parser.idle:
            self.end_gracefully()
        else:
            self.on_bad_message(http1.BadMessageError(408, "the request stopped halfway"))

    def on_message(self, message: http1.Message) -> None:
        """A complete request: the owner handles it, behind the open one if there is one."""
        if self.exchange is not None:
            self.pipelined_request = message
            return
        self._cancel_request_timer()
        self._continue_sent = False
        exchange = self.exchange = Exchange(self)
        self._closing = message.close
        try:
            self.owner.handle(message, exchange)
        except Exception:
            log.exception("unexpected_exception_on_request")
            exchange.answer(500, b"internal error\n")

    def on_bad_message(self, error: http1.BadMessageError) -> None:
        """Respond with the error, in place of the response to an open request, and end the connection."""
        self._closing = True
        self._abandon_exchange()
        self.send(http1.response(error.status, str(error).encode() + b"\n", close=True))
        self.end_gracefully()

    def respond(self, status: int, body: bytes, headers: Iterable[tuple[bytes, bytes]], close: bool) -> None:
        """Send the response to the open request; with `close`, or an error of the client, the connection ends."""
        self.exchange = None
        self.served = True
        draining = self.owner.draining and self.owner.successor is None
        # A client whose requests are bad repeats them, on connections that it keeps.
        self._closing = self._closing or close or draining or 400 <= status < 500
        self.send(http1.response(status, body, headers, close=self._closing))

    def on_written(self) -> None:
        """The response is written: end the connection, or go on with what has arrived meanwhile."""
        if self.lingering:
            self._shut_down_writing()
        elif self.exchange is None and self._closing:
            self.end_gracefully()
        elif self.exchange is None:
            IOLoop.current().add_callback(self.resume)

    def resume(self) -> None:
        """Go on with the pipelined request and the bytes behind it."""
        if self.owner.successor is not None:
            self.pass_to_successor()
            return
        message = None
        if self.exchange is None:
            message = self.pipelined_request
            self.pipelined_request = None
        try:
            if message is not None and not self.closed:
                self.on_message(message)
            self.process_messages()
        except http1.BadMessageError as error:
            self.on_bad_message(error)

    # The end.

    def end_gracefully(self) -> None:
        """End a connection that works.

        Closed with unread bytes it would be reset, which can destroy a response on its way. So the writing side is shut
        down once the last response is written, and what still arrives is discarded until the client ends its side or
        LINGER_TIME_US is over. A request among it is never forwarded: its client sees the end and may retry.
        """
        if self.closed or self.lingering:
            return
        self._cancel_request_timer()
        self.lingering = True
        self._space_available.set()
        self.last_activity_at = self.owner.timers.clock.now()
        self.owner.timers.after(LINGER_TIME_US, self.close)
        if self.all_written:
            self._shut_down_writing()

    def _shut_down_writing(self) -> None:
        try:
            self.stream.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def _abandon_exchange(self) -> None:
        """The client has disconnected, or is treated so: the open request needs no response of its own."""
        exchange = self.exchange
        self.exchange = None
        if exchange is not None and not exchange.answered:
            exchange.answered = True
            self.owner.request_handler.client_disconnected(exchange)

    def on_closed(self) -> None:
        """Leave the owner, which is notified if a request was open."""
        self._cancel_request_timer()
        self.owner.connections.discard(self)
        self._abandon_exchange()

    # Another process of the same dispatcher.

    def pass_to_successor(self) -> None:
        """Pass the connection on, with the bytes not used yet, and with the open request if that is possible."""
        successor = self.owner.successor
        if successor is None or not self._can_be_passed():
            return
        data = self.parser.unconsumed_bytes()
        if self.pipelined_request is not None:
            data = http1.serialize_request(self.pipelined_request) + data
        if successor(self.stream.socket.fileno(), self._state(), data, self.exchange):
            self.pipelined_request = None
            self.exchange = None
            self.close()  # the other process has a copy of the descriptor

    def _can_be_passed(self) -> bool:
        if self.closed or self.lingering or self._closing and self.exchange is None:
            return False
        return self.all_written and self.no_read_in_progress

    def _state(self) -> dict[str, Any]:
        """What `restore` needs in another process; the names are those of the message between the processes."""
        left = -1
        if self._request_timer is not None:
            left = max(self._request_timer.due_at - self.owner.timers.clock.now(), 0)
        return {"served": self.served, "left": left, "closing": self._closing}

    def restore(
        self, state: dict[str, Any], data: bytes, restore_request: Callable[[ClientConnection], None] | None
    ) -> None:
        """Go on from where another process was; `restore_request` adds the open request. Raises ValueError."""
        self.served = bool(state["served"])
        self._closing = bool(state["closing"])
        self._cancel_request_timer()
        if state["left"] >= 0:
            self._start_request_timer(int(state["left"]))
        if data:
            self.receive_buffer.put(data)
        if restore_request is not None:
            restore_request(self)
        self.resume()
