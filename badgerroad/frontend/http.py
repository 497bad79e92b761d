"""The frontend: the listener, client connections, call-backs on the same address and `/-/ready`.

Each request that is taken gets exactly one final answer, through `Exchange.answer`.
"""

from __future__ import annotations

import errno
import json
import socket
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop

from badgerroad.frontend import client
from badgerroad.frontend.client import ClientConnection, ConnectionSuccessor, Exchange, RequestHandler
from badgerroad.net import http1, logs
from badgerroad.net.background_tasks import spawn
from badgerroad.net.call_connection import NoDescriptorError
from badgerroad.net.connection import Address
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.timer_wheel import TimerWheel

log = logs.get("badgerroad")

ACCEPT_PAUSE_US = 50_000  # how long the listener rests when no descriptor is left
ACCEPT_BATCH_SIZE = 64  # connections accepted in one go
# At the end of this process: for what has arrived to be read, and again for clients to hear of the end
FINAL_READ_TIME_US = 300_000
JOB_EVENT_STATES = ("started", "running", "done", "failed", "returned", "lost")


class Frontend:
    def __init__(self, wheel: TimerWheel, descriptors: DescriptorBudget, taker: RequestHandler) -> None:
        self.timers, self.descriptors, self.request_handler = wheel, descriptors, taker
        self.connections: set[ClientConnection] = set()
        self.draining = False
        # While another process takes the new jobs: what passes a connection on to it. Descriptor, what `go_on` needs
        # there, bytes, and the open exchange, if there is one; false if that cannot be now.
        self.successor: ConnectionSuccessor | None = None
        self._listener: socket.socket | None = None
        self._accepting = False
        self.serving = False  # new connections are this process's; also while the listener rests for a moment
        self._ending: int | None = None  # since when all connections are being ended
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
            self.start_accepting()
        host, port = listener.getsockname()
        return host, port

    @property
    def listener(self) -> socket.socket | None:
        return self._listener

    def start_accepting(self) -> None:
        if self._listener is not None and not self._accepting:
            self._accepting = self.serving = True
            self._loop.add_handler(self._listener, self._on_acceptable, IOLoop.READ)

    def adopt_connection(
        self,
        sock: socket.socket,
        about: dict[str, Any],
        data: bytes,
        job: Callable[[ClientConnection], None] | None = None,
    ) -> None:
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
            connection.restore(about, data, job)
        except Exception:
            connection.close()  # its client must not wait for a connection that nobody reads
            raise
        if not connection.closed:
            spawn(connection.read())

    def yield_to(self, heir: ConnectionSuccessor) -> None:
        """Another process takes the new jobs: the listener stays, but nothing is accepted here, and connections go
        there once they are idle, at the next `pass_on` or when their answer is written."""
        self.successor, self.serving = heir, False
        self._rest()

    def pass_connections_on(self) -> None:
        for connection in list(self.connections):
            connection.pass_to_successor()

    def retire(self) -> None:
        """Others take the clients, but none can be passed on: answers close their connections, nothing is accepted."""
        self.successor, self.draining = None, True
        self.shed_idle_connections()

    def mark_draining(self) -> None:
        """The end of a process whose clients go to another one: no connection is closed for it."""
        self.draining = True

    @property
    def has_connections_to_pass(self) -> bool:
        """Is there a connection that has yet to be passed on?"""
        return any(not c.lingering for c in self.connections)

    def resume_accepting(self) -> None:
        """There is no other process any more."""
        self.successor, self.draining = None, False
        self.start_accepting()
        for connection in list(self.connections):
            if connection.exchange is None:
                connection.resume()

    def _rest(self) -> None:
        if self._listener is not None and self._accepting:
            self._accepting = False
            self._loop.remove_handler(self._listener)

    def _on_acceptable(self, listener: socket.socket, events: int) -> None:
        if self.descriptors.scarce:  # once for all of them: it looks at every connection
            self.shed_idle_connections()
            if self.descriptors.scarce:
                self.request_handler.shed_idle_connections()
        for _ in range(ACCEPT_BATCH_SIZE):
            try:
                if self.descriptors.reserved_for_attempts:
                    self._push_out(lambda: self.descriptors.scarce, client.EVICTION_GRACE_US)
                if self.descriptors.reserved_for_attempts:
                    raise OSError(errno.EMFILE, "descriptor limit reached")
                sock, _peer = listener.accept()
            except (BlockingIOError, ConnectionAbortedError, InterruptedError):
                return
            except OSError as e:
                # Without a pause the loop would spin on the same connection; it waits in the backlog.
                log.warning("accept", code=NoDescriptorError.code, why=str(e), do=NoDescriptorError.remedy)
                self._rest()
                self.timers.after(ACCEPT_PAUSE_US, self._accept_again)
                return
            self._take(sock)

    def _accept_again(self) -> None:
        if self.successor is None:
            self.start_accepting()

    def shed_idle_connections(self) -> None:
        """End idle connections, the least useful first, until there is room. One whose next request has crossed
        this stays."""
        now = self.timers.clock.now()
        going = sum(c.lingering for c in self.connections)
        for connection in sorted((c for c in self.connections if c.evictable(now)), key=lambda c: c.usefulness):
            if self.descriptors.has_headroom(going) and not self.draining:
                break
            if connection.lingering:
                connection.close()
                going -= 1
            elif not connection.peer_has_sent():
                connection.end_gracefully()
                going += 1

    def _push_out(self, still: Callable[[], bool], age: int) -> None:
        """Close connections on which no whole request is open, the least useful first, as long as `still`: who is here
        with a request, or waits to bring one, goes before those that have been silent for `age` microseconds."""
        now = self.timers.clock.now()
        for connection in sorted(
            (c for c in self.connections if not c.has_pending_response and now - c.last_activity_at >= age),
            key=lambda c: c.usefulness,
        ):
            if not still():
                break
            if connection.lingering:
                connection.close()
            elif not connection.peer_has_sent():
                connection.end_gracefully()  # its client sees an end before all else; the place is needed now
                connection.close()

    def free_descriptors(self) -> None:
        """For an attempt: its request came whole."""
        self._push_out(lambda: self.descriptors.nearly_exhausted, 0)

    def drain(self) -> None:
        """Answers close their connections from now on; the listener stays for latecomers and call-backs."""
        self.draining = True
        self.shed_idle_connections()

    @property
    def has_pending_responses(self) -> bool:
        """Requests that came whole, and answers on their way. Half a request is none: clients that send no more, or
        ever new ones that do, must not put off the end of a drain."""
        return any(c.has_pending_response for c in self.connections)

    def end_connections(self) -> bool:
        """Once nothing is owed: accepts nobody any more, takes what has come up to now, and ends each connection. True
        when all of them have gone, or had their time."""
        now = self.timers.clock.now()
        if self._ending is None:
            self._ending, self.draining = now, True
            if self._listener is not None:
                self._rest()
                self._take_waiting(self._listener)
                self._listener.close()
                self._listener = None
        late = now - self._ending >= FINAL_READ_TIME_US
        for connection in list(self.connections):
            if not connection.has_pending_response and (late or not connection.peer_has_sent()):
                connection.end_gracefully()
        return not self.connections or now - self._ending >= 2 * FINAL_READ_TIME_US

    def _take_waiting(self, listener: socket.socket) -> None:
        """Who waits in the listener's queue has been accepted as far as he knows."""
        while not self.descriptors.exhausted:
            try:
                self._take(listener.accept()[0])
            except OSError:
                return

    def _take(self, sock: socket.socket) -> None:
        try:
            connection = ClientConnection(sock, self)
        except OSError:
            sock.close()
            return
        self.connections.add(connection)
        spawn(connection.read())

    def close(self) -> None:
        if self._listener is not None:
            self._rest()
            self._listener.close()
            self._listener = None
        for connection in list(self.connections):
            connection.close()

    def handle(self, message: http1.Message, exchange: Exchange) -> None:
        path, method = message.path, message.method
        wanted: list[bytes] = [b"POST"]
        if path == b"/-/ready":
            wanted = [b"GET"]
        elif path != b"/v1/job-events" and not self.request_handler.serves_path(path):
            exchange.answer(404, b"no such path\n")
            return
        if method not in wanted:
            exchange.answer(405, b"wrong method\n", [(b"Allow", wanted[0])])
        elif path == b"/-/ready":
            ready = self.request_handler.ready and not self.draining
            exchange.answer(200 if ready else 503, b"ready\n" if ready else b"not ready\n")
        elif path == b"/v1/job-events":
            self._call_back(message, exchange)
        else:
            if self.descriptors.nearly_exhausted:
                self.free_descriptors()
            if self.descriptors.nearly_exhausted:
                self.request_handler.record_rejection(path)
                exchange.answer(503, b"too many connections\n", [(b"Retry-After", b"1")], close=True)
            else:
                self.request_handler.handle_request(message, exchange)

    def _call_back(self, message: http1.Message, exchange: Exchange) -> None:
        try:
            item = json.loads(message.body)
            request_id, host, state = item["id"], item["from"], item["state"]
            if not (isinstance(request_id, str) and isinstance(host, str) and state in JOB_EVENT_STATES):
                raise ValueError("id, from and state are text")
            if state == "running":
                float(item.get("share") or 0.0)
        except (ValueError, KeyError, TypeError, RecursionError) as e:
            exchange.answer(400, f"not a call-back: {type(e).__name__}\n".encode())
            return
        # Answered first: what it sets off must not make the host call again.
        exchange.answer(200)
        self.request_handler.handle_job_event(request_id.encode("utf-8", "replace"), host, state, item)
