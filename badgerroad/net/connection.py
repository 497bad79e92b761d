"""What all connections share: the descriptor, a ring each way, one reader and one writer.

A read is always pending, so a peer that closes is noticed at once, on idle connections too.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from tornado.iostream import IOStream, StreamClosedError

from badgerroad.errors import BadgerroadError
from badgerroad.net import logs
from badgerroad.net.http1 import BODY_LIMIT, HEADER_LIMIT, MESSAGE_LIMIT, BadMessageError, Message, Parser
from badgerroad.net.ring_buffer import RingBuffer

Address = tuple[str, int]
log = logs.get("badgerroad")
# What is read only to be thrown away, of all connections: at 4 KiB each, 60 MB took 15,000 turns of the loop.
_WASTE = bytearray(64 * 1024)
_tasks: set[asyncio.Task[None]] = set()


def spawn(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run concurrently with the rest; what it raises unexpectedly goes to the log with its traceback."""

    def ended(task: asyncio.Task[None]) -> None:
        _tasks.discard(task)
        if not task.cancelled() and task.exception():
            log.error("unexpected exception", exc_info=task.exception())

    task = asyncio.ensure_future(coroutine)
    _tasks.add(task)  # the loop itself keeps weak references only
    task.add_done_callback(ended)


class DescriptorBudget:
    """The count of open sockets against the limit. Each connection takes one and gives it back in `close`."""

    RESERVE = 24  # standard streams, the loop's own, the listener, discovery, a few in passing

    def __init__(self, limit: int, kept: int = 0) -> None:
        """`kept`: beyond the reserve, what other parts of the program hold."""
        self.total, self.used = max(limit - self.RESERVE - kept, 8), 0
        self.limit = self.total

    def set_used_elsewhere(self, elsewhere: int) -> None:
        """Another process of this dispatcher holds so many of them."""
        self.limit = max(self.total - elsewhere, 8)

    @property
    def scarce(self) -> bool:
        """Idle connections should go."""
        return self.used >= self.limit * 0.9

    def has_headroom(self, going: int) -> bool:
        """Enough idle ones have gone or are `going`: the rest may stay, and shedding does not start again with the
        next."""
        return self.used - going <= self.limit * 0.8

    @property
    def nearly_exhausted(self) -> bool:
        """New work should be refused: a job may need one more socket for its attempt."""
        return self.used >= self.limit * 0.95

    @property
    def reserved_for_attempts(self) -> bool:
        """What is left is kept for attempts: clients that say nothing must not take the last ones."""
        return self.used >= self.limit * 0.975

    @property
    def exhausted(self) -> bool:
        return self.used >= self.limit


class Connection:
    def __init__(
        self, sock: socket.socket, descriptors: DescriptorBudget, responses: bool, body_limit: int = BODY_LIMIT
    ) -> None:
        self.descriptors = descriptors
        descriptors.used += 1
        self.stream = IOStream(sock)
        self.stream.set_nodelay(True)
        self.receive_buffer, self.send_buffer = RingBuffer(HEADER_LIMIT + body_limit), RingBuffer(2 * MESSAGE_LIMIT)
        self.parser = Parser(self.receive_buffer, responses, body_limit)
        self.closed = False
        self._flushing = 0  # bytes of ring_out that the stream is writing
        self._write: asyncio.Future[None] | None = None
        self._reading: asyncio.Future[int] | None = None
        self._paused = False
        self._space_available = asyncio.Event()

    @property
    def all_written(self) -> bool:
        """Has the last byte given to `send` gone to the socket?"""
        if not len(self.send_buffer):
            return True
        # The stream may be done while its callback has yet to run: what it knows is what counts.
        done = self._write is not None and self._write.done() and not self._write.exception()
        return done and self._flushing == len(self.send_buffer)

    def send(self, data: bytes) -> None:
        if self.closed:
            return
        self.send_buffer.put(data)
        if not self._flushing:
            self._flush()

    def _flush(self) -> None:
        view = self.send_buffer.readable()
        self._flushing = len(view)
        try:
            self._write = self.stream.write(view)
        except StreamClosedError:
            self.close()
            return
        self._write.add_done_callback(self._flushed)

    def _flushed(self, future: asyncio.Future[None]) -> None:
        if future.exception() or self.closed:
            self.close()
            return
        self.send_buffer.skip(self._flushing)
        self._flushing = 0
        if len(self.send_buffer):
            self._flush()
        else:
            self.send_buffer.shrink()
            self.on_written()

    async def read(self) -> None:
        """The reader: until the connection ends, from either side."""
        try:
            while not self.closed and not self.lingering:
                self.receive_buffer.shrink()
                if self.receive_buffer.full and self.discard_when_full():
                    self.on_discarded(await self.stream.read_into(_WASTE, partial=True))
                    continue
                if self.receive_buffer.full:
                    self._space_available.clear()  # what a peer sends ahead waits in its own buffers
                    self._paused = True
                    await self._space_available.wait()
                    self._paused = False
                    continue
                space: Any = self.receive_buffer.writable()  # any writable buffer will do, though it is typed narrower
                self._reading = asyncio.ensure_future(self.stream.read_into(space, partial=True))
                count, self._reading = await self._reading, None
                self.receive_buffer.commit(count)
                self.process_messages()
        except StreamClosedError:
            last = self.parser.message_at_end()
            if last is not None:
                self.on_message(last)
        except BadMessageError as e:
            self.on_bad_message(e)
        finally:
            if not self.lingering:
                self.close()
        while self.lingering and not self.closed:
            try:
                await self.stream.read_into(_WASTE, partial=True)
            except StreamClosedError:
                self.close()

    lingering = False  # the last answer is out; what still comes is thrown away

    def process_messages(self) -> None:
        """Hand out the messages that are whole, one at a time."""
        while not self.closed and not self.lingering and self.wants_message():
            message = self.parser.next_message()
            if message is None:
                break
            self.on_message(message)
        self._space_available.set()

    def close(self) -> None:
        """The one place where the descriptor and the rings are given back."""
        if self.closed:
            return
        self.closed = True
        self.descriptors.used -= 1
        self.stream.close()
        self._space_available.set()
        self.on_closed()

    @property
    def no_read_in_progress(self) -> bool:
        """Does the ring hold all that was taken from the socket? Not while a read is done of which it has not heard."""
        return not self._paused and (self._reading is None or not self._reading.done())

    def peer_has_sent(self) -> bool:
        """Is there something unread on the socket, an end included? The loop may not have seen it yet."""
        if self.stream.closed():
            return True
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def peer_has_closed(self) -> bool:
        """Has the peer's end arrived, be it behind bytes that nobody has read yet?"""
        if self.closed or self.stream.closed():
            return True
        try:
            if not self.stream.socket.recv(1, socket.MSG_PEEK):
                return True
        except BlockingIOError:
            return False  # nothing at all
        except OSError:
            return True
        poll = select.poll()
        poll.register(self.stream.socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    # What the owner does with it.

    def discard_when_full(self) -> bool:
        """The ring is full. False: what the peer sends ahead waits in its own buffers; true: it is thrown away."""
        return False

    def on_discarded(self, count: int) -> None: ...

    def wants_message(self) -> bool:
        return True

    def on_message(self, message: Message) -> None: ...

    def on_bad_message(self, error: BadMessageError) -> None: ...

    def on_written(self) -> None: ...

    def on_closed(self) -> None: ...


class ConnectionBrokenError(BadgerroadError):
    """The connection ended before the answer. `sent` tells whether the last byte of the request was out."""

    code = "broken"
    remedy = "look at the peer and the network to it if it goes on"

    def __init__(self, sent: bool, why: str) -> None:
        super().__init__(why)
        self.sent = sent


class NoDescriptorError(ConnectionBrokenError):
    """This side had none left: nothing was sent, and the other side has no part in it."""

    code = "descriptors"
    remedy = "raise limits.sockets, or start more dispatchers"


class CallConnection(Connection):
    """A connection to a worker or to discovery: one call at a time."""

    def __init__(
        self,
        descriptors: DescriptorBudget,
        body_limit: int = BODY_LIMIT,
        sock: socket.socket | None = None,
        address: Address | None = None,
    ) -> None:
        """`sock`: one that is connected, to `address`, and idle."""
        self.address = address
        self._answer: asyncio.Future[Message] | None = None
        self._sent: Callable[[], None] | None = None
        super().__init__(
            sock or socket.socket(socket.AF_INET, socket.SOCK_STREAM),
            descriptors,
            responses=True,
            body_limit=body_limit,
        )
        self.reusable = sock is not None
        if sock is not None:
            spawn(self.read())

    async def connect(self, address: Address) -> None:
        self.address = address
        try:
            await self.stream.connect(address)
        except (StreamClosedError, OSError) as e:
            self.close()
            raise ConnectionBrokenError(False, f"no connection: {self.stream.error or e}") from e
        if self.closed:
            raise ConnectionBrokenError(False, "given up while connecting")
        self.reusable = True
        spawn(self.read())

    async def call(self, data: bytes, sent: Callable[[], None] | None = None) -> Message:
        """`sent` is called once, when the call's last byte is written."""
        if self.closed:
            raise ConnectionBrokenError(False, "closed before the call")
        self.reusable = False
        self._answer = asyncio.get_event_loop().create_future()
        self._sent = sent
        self.send(data)
        self._tell_sent()  # nearly always: it went to the socket at once
        return await self._answer

    def _tell_sent(self) -> None:
        if self._sent is not None and self.all_written:
            sent, self._sent = self._sent, None
            sent()

    def on_written(self) -> None:
        self._tell_sent()

    def on_message(self, message: Message) -> None:
        answer, self._answer = self._answer, None
        if answer is None:
            self.close()  # nobody asked: what comes next could be taken for the answer to another call
            return
        self.reusable = not message.close and self.parser.idle and self.all_written
        answer.set_result(message)
        if not self.reusable:
            self.close()

    def on_bad_message(self, error: BadMessageError) -> None:
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.set_exception(ConnectionBrokenError(True, f"not an answer: {error}"))

    def on_closed(self) -> None:
        self.reusable = False
        self._tell_sent()
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.set_exception(
                ConnectionBrokenError(self.all_written, f"broken off: {self.stream.error or 'closed'}")
            )
