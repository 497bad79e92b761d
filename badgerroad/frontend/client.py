"""A connection from a client: handles its requests one after the other."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from badgerroad.frontend.exchange import Exchange, RequestHandler
from badgerroad.net import http1, logs
from badgerroad.net.connection import Connection
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.memory_budget import MemoryBudget
from badgerroad.net.timer_wheel import Timer, TimerWheel

log = logs.get("badgerroad")

LINGER_TIME_US = 1_000_000  # how long bytes of the client are read and discarded after this side has ended
# Time from the first byte of a request to its last; for the first request, it starts with the connection. The protocol
# requires an error response or a close within 3 s for a client that has not sent a complete request.
REQUEST_TIMEOUT_US = 2_500_000
MIN_IDLE_BEFORE_EVICTION_US = 500_000  # a connection that was active more recently is not evicted
# How long an inactive client without a complete request keeps its connection while other clients wait for its
# descriptor, and how long a client has to notice that its connection has ended. The time is long enough for data in
# flight within a zone to arrive.
EVICTION_GRACE_US = 100_000
# Largest number of bytes received after an open request and discarded. Both socket buffers together hold fewer, so a
# client from which more bytes arrive is still sending; it has not merely disconnected and left unread data.
DISCARD_LIMIT_BYTES = 16 * 1024 * 1024

# A connection that holds no more bytes may always store what its client sends, so that small requests are served while
# memory is short.
SMALL_REQUEST_BYTES = 4 * 1024
RETRY_SOON = [(b"Retry-After", b"1")]

# Transfers a client's connection to another process, given its descriptor, the state that `restore` needs there, the
# bytes that were read but not parsed, and the open exchange if there is one. Returns False if this is not possible now.
ConnectionSuccessor = Callable[[int, dict[str, Any], bytes, Exchange | None], bool]


class MemoryProvider(Protocol):
    """The interface through which a client's connection gets memory for what its client sends."""

    paused: set[ClientConnection]

    def make_room(self) -> bool:
        """Whether incomplete requests may take more memory; frees memory if it is short."""


class ConnectionOwner(Protocol):
    """The interface through which a client's connection uses the frontend that has accepted it."""

    timers: TimerWheel
    descriptors: DescriptorBudget
    memory: MemoryBudget
    request_handler: RequestHandler
    connections: set[ClientConnection]
    draining: bool
    successor: ConnectionSuccessor | None

    @property
    def memory_relief(self) -> MemoryProvider:
        """Provides memory for what clients send."""

    def handle(self, message: http1.Message, exchange: Exchange) -> None:
        """Handle a complete request."""


class ClientConnection(Connection):
    """Passes the requests of one client to its owner, one after the other, and writes the responses."""

    def __init__(self, sock: socket.socket, owner: ConnectionOwner) -> None:
        """Take ownership of `sock` and start the timeout of the first request.

        Raises OSError if the socket cannot be used.
        """
        super().__init__(sock, owner.descriptors, owner.memory, responses=False)
        self.owner = owner
        self.exchange: Exchange | None = None
        self.pipelined_request: http1.Message | None = None  # the next request, read while the previous one is open
        self.last_activity_at = owner.timers.clock.now()
        self.served = False  # a response has been sent
        self._request_timer: Timer | None = None
        self._closing = False  # the connection ends after the response that is due or being written
        self._discarded_bytes = 0  # number of bytes received after the open request and discarded
        self._continue_sent = False
        self._linger_timer: Timer | None = None
        self.response_due_at = 0  # when the client no longer waits for the response that is being written
        self._start_request_timer(REQUEST_TIMEOUT_US)

    @property
    def idle(self) -> bool:
        """Whether no part of a request has arrived and no response is due or being written."""
        return (
            self.exchange is None
            and self.pipelined_request is None
            and self.parser.idle
            and self.all_written
            and not self.lingering
        )

    @property
    def has_pending_response(self) -> bool:
        """Whether a response is due or being written. No response is due for an incomplete request."""
        return self.exchange is not None or self.pipelined_request is not None or not self.all_written

    @property
    def may_need_response(self) -> bool:
        """Whether a response is pending, or bytes that may hold a request are unread."""
        return self.has_pending_response or (not self.lingering and self.peer_has_sent())

    def awaits_first_request(self, now: int) -> bool:
        """Whether the connection is so new that the client's first request may be on its way."""
        return not self.served and not self.lingering and now - self.last_activity_at < EVICTION_GRACE_US

    def evictable(self, now: int) -> bool:
        """Whether the connection may be ended when descriptors are scarce.

        It must have been idle long enough that no request is likely to be in flight: a new client would take the end
        for a failure of the dispatcher, and a busy client sends the next request soon. While the dispatcher drains, a
        client that was served may be evicted at any time, as it can reconnect elsewhere. A lingering connection, which
        only waits for the client to close its side, may be evicted after EVICTION_GRACE_US.
        """
        inactive_us = now - self.last_activity_at
        if self.lingering:
            return self.all_written and inactive_us >= EVICTION_GRACE_US
        recently_active = inactive_us <= MIN_IDLE_BEFORE_EVICTION_US and not (self.served and self.owner.draining)
        return self.idle and not recently_active

    @property
    def eviction_sort_key(self) -> tuple[bool, bool, int]:
        """Sort key of eviction; the connection with the smallest key is evicted first.

        Lingering connections come first, then clients not served yet, then the others; within each group the longest
        inactive ones.
        """
        return not self.lingering, self.served, self.last_activity_at

    # Memory.

    def _queue(self, request: http1.Message | None) -> None:
        self.pipelined_request = request
        self.queued_bytes = request.memory_size if request is not None else 0

    def may_store(self) -> bool:
        """Whether there is memory for more bytes.

        If not, an incomplete request is rejected. What arrives behind an open request, or until the connection is
        passed to another process, is left unread.
        """
        if self.memory.size <= SMALL_REQUEST_BYTES or self.owner.memory_relief.make_room():
            return True
        if self.closed or self.lingering:
            return False
        if self.exchange is None and self.owner.successor is None:
            self.reject_incomplete()
        else:
            self.owner.memory_relief.paused.add(self)
            self.stream.ignore_reads()
        return False

    def check_paused(self) -> None:
        """Close the connection if its client has left, and read on if there is memory; called periodically."""
        if self.peer_has_closed():
            self.close()
        elif self.exchange is None or self.owner.memory_relief.make_room():
            self.owner.memory_relief.paused.discard(self)
            self.update_reading()

    def reject_incomplete(self) -> None:
        """Reject the incomplete request because memory is short, and end the connection."""
        head = self.parser.head
        if head is not None and self.owner.request_handler.serves_path(head.path):
            self.owner.request_handler.record_rejection(head.path)
        self._end_with(503, b"too little memory for the rest of the request\n", RETRY_SOON)

    # Requests.

    def wants_message(self) -> bool:
        """Whether another request may be parsed: at most one while a request is open, none while a response is written.

        The next request is parsed early because, if it is malformed, client and dispatcher may disagree on the framing,
        and the open request cannot be trusted either.
        """
        if self.pipelined_request is not None or self._closing or not self.all_written:
            return False
        return self.owner.successor is None or self.exchange is not None

    def discard_when_full(self) -> bool:
        """Whether to discard further bytes while a request is open and the receive buffer is full.

        The bytes are discarded so that a disconnect of the client after them is noticed. The open request gets its
        response and then the connection ends; the client can repeat the requests that had no response.
        """
        if self.exchange is None or self.owner.successor is not None:
            return False
        self._closing = True
        self._queue(None)
        return True

    def on_discarded(self, count: int) -> None:
        """Reject the open request of a client that keeps sending after DISCARD_LIMIT_BYTES have been discarded."""
        self._discarded_bytes += count
        if self._discarded_bytes > DISCARD_LIMIT_BYTES and not self.lingering:
            self.on_bad_message(http1.BadMessageError(413, "too much behind an open request"))

    def process_messages(self) -> None:
        """Handle the requests that have arrived; for an incomplete one, start its timeout and respond to `Expect`."""
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
        """End an unused connection, or respond with 408 to an incomplete request.

        Otherwise either could occupy a descriptor, or delay a drain, forever.
        """
        expired = self._request_timer
        self.read_available()  # the last bytes may have arrived just now
        if self.closed or self.lingering or self._request_timer is not expired:
            return
        self._request_timer = None
        if self.parser.idle:
            self.end_gracefully()
        else:
            self.on_bad_message(http1.BadMessageError(408, "the request stopped halfway"))

    def on_message(self, message: http1.Message) -> None:
        """Pass a complete request to the owner, or store it until the open request has its response."""
        if self.exchange is not None:
            self._queue(message)
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
        """Respond with the error, in place of the response to the open request if any, and end the connection."""
        self._end_with(error.status, str(error).encode() + b"\n")

    def _end_with(self, status: int, body: bytes, headers: Iterable[tuple[bytes, bytes]] = ()) -> None:
        self._closing = True
        self._abandon_exchange()
        self.response_due_at = self.owner.timers.clock.now()
        self.send(http1.response(status, body, headers, close=True))
        self.end_gracefully()

    def respond(self, status: int, body: bytes, headers: Iterable[tuple[bytes, bytes]], close: bool) -> None:
        """Send the response to the open request; with `close` or a 4xx status the connection then ends."""
        now = self.owner.timers.clock.now()
        self.response_due_at = max(self.exchange.deadline, now) if self.exchange is not None else now
        self.exchange = None
        self.served = True
        draining = self.owner.draining and self.owner.successor is None
        # A client that sends bad requests is likely to repeat them on the same connection.
        self._closing = self._closing or close or draining or 400 <= status < 500
        self.send(http1.response(status, body, headers, close=self._closing))

    def on_written(self) -> None:
        """End the connection after the response, or continue with the bytes received since the request."""
        if self.lingering:
            self._shut_down_writing()
        elif self.exchange is None and self._closing:
            self.end_gracefully()
        elif self.exchange is None:
            self.resume()

    def resume(self) -> None:
        """Continue with the pipelined request and the bytes received after it."""
        if self.owner.successor is not None:
            self.pass_to_successor()
            return
        message = None
        if self.exchange is None:
            message = self.pipelined_request
            self._queue(None)
        try:
            if message is not None and not self.closed:
                self.on_message(message)
            self.process_messages()
        except http1.BadMessageError as error:
            self.on_bad_message(error)

    # Ending the connection.

    def end_gracefully(self) -> None:
        """End the connection without a reset.

        Closing a socket with unread bytes resets the connection, which can destroy a response in flight. So the writing
        side is shut down once the last response is written, and bytes that still arrive are discarded until the client
        closes its side or LINGER_TIME_US is over. A discarded request is never forwarded: its client sees the end of
        the connection and may retry.
        """
        if self.closed or self.lingering:
            return
        self._cancel_request_timer()
        self.lingering = True
        self._queue(None)
        self.drop_received()
        self.update_reading()
        self.last_activity_at = self.owner.timers.clock.now()
        self._linger_timer = self.owner.timers.after(LINGER_TIME_US, self.close)
        if self.all_written:
            self._shut_down_writing()

    def _shut_down_writing(self) -> None:
        try:
            self.stream.shut_down_writing()
        except OSError:
            self.close()

    def _abandon_exchange(self) -> None:
        """Report the client of the open request as disconnected: the request will get no response of its own."""
        exchange = self.exchange
        self.exchange = None
        if exchange is not None and not exchange.answered:
            exchange.abandon()
            self.owner.request_handler.client_disconnected(exchange)

    def on_closed(self) -> None:
        """Remove the connection from its owner and report an open request as abandoned."""
        self._cancel_request_timer()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self.owner.memory_relief.paused.discard(self)
        self._queue(None)
        self.owner.connections.discard(self)
        self._abandon_exchange()

    # Transfer to another process of the same dispatcher.

    def pass_to_successor(self) -> None:
        """Transfer the connection, the bytes not parsed yet and the open request, if this is possible now."""
        successor = self.owner.successor
        if successor is None or not self._can_be_passed():
            return
        data = self.parser.unconsumed_bytes()
        if self.pipelined_request is not None:
            data = http1.serialize_request(self.pipelined_request) + data
        if successor(self.stream.socket.fileno(), self._state(), data, self.exchange):
            self._queue(None)
            self.exchange = None
            self.close()  # the successor has a copy of the descriptor

    def _can_be_passed(self) -> bool:
        if self.closed or self.lingering or self._closing and self.exchange is None:
            return False
        return self.all_written

    def _state(self) -> dict[str, Any]:
        """The state that `restore` needs in another process; the keys are fields of the inter-process message."""
        remaining = -1
        if self._request_timer is not None:
            remaining = max(self._request_timer.due_at - self.owner.timers.clock.now(), 0)
        return {"served": self.served, "left": remaining, "closing": self._closing}

    def restore(
        self, state: dict[str, Any], data: bytes, restore_request: Callable[[ClientConnection], None] | None
    ) -> None:
        """Continue from the state of another process; `restore_request` adds the open request. Raises ValueError."""
        self.served = bool(state["served"])
        self._closing = bool(state["closing"])
        self._cancel_request_timer()
        if state["left"] >= 0:
            self._start_request_timer(int(state["left"]))
        if data:
            # Beside a full buffer, the other process may have had a parsed request and a part of the next one.
            self.receive_buffer.raise_limit(len(data))
            self.receive_buffer.put(data)
        if restore_request is not None:
            restore_request(self)
        self.resume()
