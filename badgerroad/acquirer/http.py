"""The acquirer side: the listener, client connections, call-backs on the same address and `/-/ready`.

Each request that is taken gets exactly one final answer, through `Exchange.answer`.
"""

from __future__ import annotations

import errno
import json
import socket
from typing import Any, Callable, Dict, Iterable, List, Optional, Protocol, Set, Tuple

from tornado.ioloop import IOLoop

from badgerroad.net import http1, logs
from badgerroad.net.connection import Address, Connection, Descriptors, NoDescriptor, spawn
from badgerroad.net.wheel import Timer, Wheel

log = logs.get("badgerroad")

LINGER = 1_000_000        # how long the rest of a bad request is read and thrown away
# From its first byte, the first one from the connection on, to its last one: a client that sends no whole request is
# owed an error or a close within 3 s of connecting, however slowly its bytes trickle in.
REQUEST_TIME = 2_500_000
FRESH = 500_000           # how long a connection is waited for, new or just served, though descriptors run short
# How long a silent one, or one that stopped halfway, is waited for while others wait for its place. What is on its way
# over loopback or in one hall is there by then.
YOUNG = 100_000
ACCEPT_PAUSE = 50_000     # how long the listener rests when no descriptor is left
BATCH = 64                # connections accepted in one go
CALLBACK_STATES = ("started", "running", "done", "failed", "returned", "lost")


class Taker(Protocol):
    """What takes the requests: the dispatcher, whatever protocol they came by."""

    def take(self, message: http1.Message, exchange: "Exchange") -> None: ...

    def client_gone(self, exchange: "Exchange") -> None: ...

    def called_back(self, request_id: bytes, host: str, state: str, item: Dict[str, Any]) -> None: ...

    @property
    def ready(self) -> bool: ...

    def knows_path(self, path: bytes) -> bool: ...

    def shed(self) -> None: ...

    def turned_away(self, path: bytes) -> None: ...


class Exchange:
    """One request of a client and its one final answer."""

    __slots__ = ("connection", "answered", "number")

    def __init__(self, connection: "ClientConnection") -> None:
        self.connection, self.answered, self.number = connection, False, 0

    def answer(self, status: int, body: bytes = b"", headers: Iterable[Tuple[bytes, bytes]] = (),
               close: bool = False) -> None:
        if not self.answered:
            self.answered = True
            self.connection.answer(status, body, headers, close)


class ClientConnection(Connection):
    def __init__(self, sock: socket.socket, side: "AcquirerSide") -> None:
        super().__init__(sock, side.descriptors, responses=False)
        self.side = side
        self.exchange: Optional[Exchange] = None
        self.ahead: Optional[http1.Message] = None   # read behind the open request, and next in turn
        self.since, self.served = side.wheel.clock.now(), False   # since when nothing has come
        self._patience: Optional[Timer] = side.wheel.after(REQUEST_TIME, self._out_of_patience, patient=True)
        self._closing = False   # after what is being written

    @property
    def idle(self) -> bool:
        return (self.exchange is None and self.ahead is None and self.parser.idle and self.written
                and not self.lingering)

    @property
    def owes(self) -> bool:
        return self.exchange is not None or self.ahead is not None or not self.written

    def dispensable(self, now: int) -> bool:
        """Idle, and silent for long enough that no request is likely to be on its way: the first, whose client would
        take the end for a dispatcher that has died, or the next of a client with job after job. While this process
        drains, who has been served may come again elsewhere. Or only waiting for the rest of a bad request."""
        fresh = now - self.since <= FRESH and not (self.served and self.side.draining)
        return self.lingering and self.written or self.idle and not fresh

    @property
    def use(self) -> Tuple[bool, bool, int]:
        """The least useful connection has the lowest: a bad request, or none yet, and silent for long."""
        return not self.lingering, self.served, self.since

    def wants(self) -> bool:
        """What lies behind an open request is read too, one message of it: if that is none, the two sides see
        different bounds, and the open request cannot be trusted either."""
        return self.ahead is None and not self._closing and (self.side.heir is None or self.exchange is not None)

    def pass_on(self) -> None:
        """To the process that takes new jobs, with what was read and not used; with the open job, if that can go."""
        heir = self.side.heir
        if (heir is None or self.closed or self.lingering or self._closing and self.exchange is None
                or not self.written or not self.at_rest):
            return
        data = self.parser.unread()
        if self.ahead is not None:
            data = http1.again(self.ahead) + data
        now = self.side.wheel.clock.now()
        left = -1 if self._patience is None else max(self._patience.due - now, 0)
        about = {"served": self.served, "left": left, "closing": self._closing}
        if heir(self.stream.socket.fileno(), about, data, self.exchange):
            self.ahead = self.exchange = None
            self.close()   # the connection itself lives on over there

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

    expected = False   # the client was told to go on

    def _out_of_patience(self) -> None:
        """A request that stops halfway must not hold a descriptor, or the end of a drain, for good; nor must a
        connection on which none ever comes."""
        self._patience = None
        if self.parser.idle:
            self.close()
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
        self._leave()   # the one answer that is still due is this one
        self.send(http1.response(error.status, str(error).encode() + b"\n", close=True))
        self.linger()

    def linger(self) -> None:
        """An end with bytes unread would be a reset, which can destroy the answer on its way."""
        self._be_patient_no_more()
        self.lingering = True
        self._room.set()
        self.side.wheel.after(LINGER, self.close)

    def answer(self, status: int, body: bytes, headers: Iterable[Tuple[bytes, bytes]], close: bool) -> None:
        self.exchange, self.served = None, True
        # Who sends what cannot be used does so again and again, on connections that it keeps.
        ending = self.side.draining and self.side.heir is None
        self._closing = self._closing or close or ending or 400 <= status < 500
        self.send(http1.response(status, body, headers, close=self._closing))

    def on_written(self) -> None:
        if self.lingering:
            try:
                self.stream.socket.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()
        elif self.exchange is None and self._closing:
            if self.ahead is not None or len(self.ring_in) or self.peer_has_spoken():
                self.linger()
                self.on_written()
            else:
                self.close()
        elif self.exchange is None:
            # What came in behind the request waits in the ring.
            IOLoop.current().add_callback(self.resume)

    def go_on(self, about: Dict[str, Any], data: bytes, job: "Optional[Callable[[ClientConnection], None]]") -> None:
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


Heir = Callable[[int, Dict[str, Any], bytes, Optional[Exchange]], bool]


class AcquirerSide:
    def __init__(self, wheel: Wheel, descriptors: Descriptors, taker: Taker) -> None:
        self.wheel, self.descriptors, self.taker = wheel, descriptors, taker
        self.connections: Set[ClientConnection] = set()
        self.draining = False
        # While another process takes the new jobs: what passes a connection on to it. Descriptor, what `go_on` needs
        # there, bytes, and the open exchange, if there is one; false if that cannot be now.
        self.heir: Optional[Heir] = None
        self._listener: Optional[socket.socket] = None
        self._accepting = False
        self.serving = False   # new connections are this process's; also while the listener rests for a moment
        self._loop = IOLoop.current()

    def listen(self, address: Address, shared: bool = False) -> Address:
        """`shared`: another process may listen at the same address."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(1024)
        return self.adopt_listener(listener, accept=True)

    def adopt_listener(self, listener: socket.socket, accept: bool) -> Address:
        self._listener, self._accepting = listener, False
        if accept:
            self.accept()
        host, port = listener.getsockname()
        return host, port

    @property
    def listener(self) -> Optional[socket.socket]:
        return self._listener

    def accept(self) -> None:
        if self._listener is not None and not self._accepting:
            self._accepting = self.serving = True
            self._loop.add_handler(self._listener, self._accept, IOLoop.READ)

    def adopt(self, sock: socket.socket, about: Dict[str, Any], data: bytes,
              job: Optional[Callable[[ClientConnection], None]] = None) -> None:
        """A client's connection that another process held, with what it had read of the next request. `job` takes in
        the open one."""
        sock.setblocking(False)
        try:
            connection = ClientConnection(sock, self)
        except OSError:
            sock.close()
            return
        self.connections.add(connection)
        try:
            connection.go_on(about, data, job)
        except Exception:
            connection.close()   # its client must not wait for a connection that nobody reads
            raise
        if not connection.closed:
            spawn(connection.read())

    def yield_to(self, heir: Heir) -> None:
        """Another process takes the new jobs: the listener stays, but nothing is accepted here, and connections go
        there once they are idle, at the next `pass_on` or when their answer is written."""
        self.heir, self.serving = heir, False
        self._rest()

    def pass_on(self) -> None:
        for connection in list(self.connections):
            connection.pass_on()

    def retire(self) -> None:
        """Others take the clients, but none can be passed on: answers close their connections, nothing is accepted."""
        self.heir, self.draining = None, True
        self.shed()

    def finish(self) -> None:
        """The end of a process whose clients go to another one: no connection is closed for it."""
        self.draining = True

    @property
    def left(self) -> bool:
        """Is there a connection that has yet to be passed on?"""
        return any(not c.lingering for c in self.connections)

    def take_back(self) -> None:
        """There is no other process any more."""
        self.heir, self.draining = None, False
        self.accept()
        for connection in list(self.connections):
            if connection.exchange is None:
                connection.resume()

    def _rest(self) -> None:
        if self._listener is not None and self._accepting:
            self._accepting = False
            self._loop.remove_handler(self._listener)

    def _accept(self, listener: socket.socket, events: int) -> None:
        if self.descriptors.scarce:   # once for all of them: it looks at every connection
            self.shed()
            if self.descriptors.scarce:
                self.taker.shed()
        for _ in range(BATCH):
            try:
                if self.descriptors.kept:
                    self._push_out(lambda: self.descriptors.scarce, YOUNG)
                if self.descriptors.kept:
                    raise OSError(errno.EMFILE, "descriptor limit reached")
                sock, _peer = listener.accept()
            except (BlockingIOError, ConnectionAbortedError, InterruptedError):
                return
            except OSError as e:
                # Without a pause the loop would spin on the same connection; it waits in the backlog.
                log.warning("accept", code=NoDescriptor.code, why=str(e), do=NoDescriptor.remedy)
                self._rest()
                self.wheel.after(ACCEPT_PAUSE, self._accept_again)
                return
            try:
                connection = ClientConnection(sock, self)
            except OSError:
                sock.close()
                continue
            self.connections.add(connection)
            spawn(connection.read())

    def _accept_again(self) -> None:
        if self.heir is None:
            self.accept()

    def shed(self) -> None:
        """Close idle connections, the least useful first, until there is room. One whose next request has crossed
        this stays."""
        now = self.wheel.clock.now()
        for connection in sorted((c for c in self.connections if c.dispensable(now)), key=lambda c: c.use):
            if self.descriptors.roomy and not self.draining:
                break
            if connection.lingering or not connection.peer_has_spoken():
                connection.close()

    def _push_out(self, still: Callable[[], bool], age: int) -> None:
        """Close connections on which no whole request is open, the least useful first, as long as `still`: who is here
        with a request, or waits to bring one, goes before those that have been silent for `age` microseconds."""
        now = self.wheel.clock.now()
        for connection in sorted((c for c in self.connections if not c.owes and now - c.since >= age),
                                 key=lambda c: c.use):
            if not still():
                break
            if connection.lingering or not connection.peer_has_spoken():
                connection.close()

    def drain(self) -> None:
        """Answers close their connections from now on; the listener stays for latecomers and call-backs."""
        self.draining = True
        self.shed()

    @property
    def owed(self) -> bool:
        """Requests that came whole, and answers on their way. Half a request is none: clients that send no more, or
        ever new ones that do, must not put off the end of a drain."""
        return any(c.owes for c in self.connections)

    def close(self) -> None:
        if self._listener is not None:
            self._rest()
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.close()

    def handle(self, message: http1.Message, exchange: Exchange) -> None:
        path, method = message.path, message.method
        wanted: List[bytes] = [b"POST"]
        if path == b"/-/ready":
            wanted = [b"GET"]
        elif path != b"/v1/job-events" and not self.taker.knows_path(path):
            exchange.answer(404, b"no such path\n")
            return
        if method not in wanted:
            exchange.answer(405, b"wrong method\n", [(b"Allow", wanted[0])])
        elif path == b"/-/ready":
            ready = self.taker.ready and not self.draining
            exchange.answer(200 if ready else 503, b"ready\n" if ready else b"not ready\n")
        elif path == b"/v1/job-events":
            self._call_back(message, exchange)
        else:
            if self.descriptors.short:
                self._push_out(lambda: self.descriptors.short, 0)
            if self.descriptors.short:
                self.taker.turned_away(path)
                exchange.answer(503, b"too many connections\n", [(b"Retry-After", b"1")], close=True)
            else:
                self.taker.take(message, exchange)

    def _call_back(self, message: http1.Message, exchange: Exchange) -> None:
        try:
            item = json.loads(message.body)
            request_id, host, state = item["id"], item["from"], item["state"]
            if not (isinstance(request_id, str) and isinstance(host, str) and state in CALLBACK_STATES):
                raise ValueError("id, from and state are text")
            if state == "running":
                float(item.get("share") or 0.0)
        except (ValueError, KeyError, TypeError, RecursionError) as e:
            exchange.answer(400, f"not a call-back: {type(e).__name__}\n".encode())
            return
        # Answered first: what it sets off must not make the host call again.
        exchange.answer(200)
        self.taker.called_back(request_id.encode("utf-8", "replace"), host, state, item)
