"""The backend: connections and idle pool of each worker, attempts, cancels and probes.

An attempt is one send of a request to one worker. It is opened by `start` and given back in `_end`, whatever ends
it: an answer, a call-back, a break, its time or a cancel. Between the decision and the first byte lie waits, for an
earlier cancel and for a connection: a last look before that byte asks whether it may still go. Nothing is ever sent
again here.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from typing import Any

from badgerroad.backend.attempts import Attempt, WorkerConnections
from badgerroad.backend.reports import LoadReport, LoadReportParser
from badgerroad.load_balancing import interface
from badgerroad.net import http1, logs
from badgerroad.net.background_tasks import spawn
from badgerroad.net.call_connection import CallConnection, ConnectionBrokenError, NoDescriptorError
from badgerroad.net.connection import Address
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.timer_wheel import TimerWheel

log = logs.get("badgerroad")

# A host answers 202 as soon as it has the job, whether or not it can start it: within 26 ms in 266 cases measured. One
# that has said nothing by then has vanished or is cut off, which no end of a connection shows.
ACCEPT_TIMEOUT_US = 300_000
CANCEL_TIMEOUT_US = 1_000_000  # how long a cancel may take
HEALTH_CHECK_TIMEOUT_US = 1_000_000  # or a probe
LATE_ACCEPT_TIMEOUT_US = 2_000_000  # or the 202 of an attempt that a call-back has ended already
IDLE_TIME_FRACTION = 0.75  # part of the allowed idle time after which a connection is closed from this side


class Backend:
    def __init__(
        self,
        wheel: TimerWheel,
        descriptors: DescriptorBudget,
        settings: interface.Settings,
        report: Callable[[Attempt, str, LoadReport, bytes], None],
        raise_event: Callable[[interface.Event], None],
        may_begin: Callable[[Attempt], bool],
        make_room: Callable[[], None],
        sent: Callable[[], None] | None = None,
    ) -> None:
        """`may_begin`: the last look; `make_room`: of others' descriptors for an attempt; `sent` is told of each
        attempt whose last byte is written."""
        self.timers, self.clock, self.descriptors, self.settings = wheel, wheel.clock, descriptors, settings
        self.report, self.raise_event, self.may_begin, self.on_sent = report, raise_event, may_begin, sent
        self.free_descriptors = make_room
        # While another process takes the new jobs: passes an idle connection on to it. Descriptor, host, address,
        # microseconds it may stay idle; false if that cannot be now.
        self.successor: Callable[[int, str, Address, int], bool] | None = None
        self.workers: dict[str, WorkerConnections] = {}
        self.attempts: dict[tuple[bytes, str], Attempt] = {}  # a host holds one attempt of a request at a time
        self.apply_settings(settings)

    def apply_settings(self, settings: interface.Settings) -> None:
        """These settings hold from now on; they name the figures of a load report, in order."""
        self.settings = settings
        self.reports = LoadReportParser(settings.load_report_fields)

    def set_address(self, name: str, address: Address) -> None:
        """The worker list names a host, or its new address."""
        host = self.workers.get(name)
        if host is None:
            self.workers[name] = WorkerConnections(name, address)
        elif host.address != address:
            self.close_idle(name)
            host.address = address

    def addresses(self) -> dict[str, Address]:
        return {name: host.address for name, host in self.workers.items()}

    # Attempts.

    def start_attempt(self, attempt: Attempt, timeout: int, accept_time: int) -> None:
        """`timeout`: microseconds until it is given up, 0 for as long as the client waits. `accept_time`: until the
        host must have taken it, 0 for no such limit."""
        left = attempt.forwarded.deadline - attempt.sent_at
        left = min(left, timeout) if timeout else left
        key = attempt.forwarded.id, attempt.worker
        host = attempt.connections = self.workers.get(attempt.worker)
        if left <= 0 or key in self.attempts or host is None:
            attempt.ended = True
            self.report(attempt, interface.AttemptResult.NOT_NEEDED, None, b"")
            return
        self.attempts[key] = attempt
        attempt.timeout_timer = self.timers.after(left, lambda: self._give_up(attempt, interface.AttemptResult.TIMEOUT))
        spawn(self._run(attempt, host, attempt.sent_at + left, accept_time))

    async def _run(self, attempt: Attempt, host: WorkerConnections, until: int, accept_time: int) -> None:
        try:
            await self._run_attempt(attempt, host, until, accept_time)
        except NoDescriptorError as e:
            log.warning(
                "attempt not sent",
                request=attempt.forwarded.id.decode("latin-1"),
                attempt=attempt.number,
                host=attempt.worker,
                **e.fields,
            )
            self._end(attempt, interface.AttemptResult.NOT_NEEDED)  # a failed connection would strike a healthy host
        except ConnectionBrokenError as e:
            if not attempt.ended:
                log.info(
                    "attempt broken",
                    request=attempt.forwarded.id.decode("latin-1"),
                    attempt=attempt.number,
                    host=attempt.worker,
                    code=e.code,
                    why=str(e),
                )
            self._end(attempt, interface.AttemptResult.RESET if e.sent else interface.AttemptResult.CONNECT_FAILED)
        except Exception:
            self._end(attempt, interface.AttemptResult.RESET)
            raise
        finally:
            attempt.connection = None

    async def _run_attempt(self, attempt: Attempt, host: WorkerConnections, until: int, accept_time: int) -> None:
        order = attempt.forwarded
        while order.id in host.cancelling and not attempt.ended:
            await asyncio.wait([host.cancelling[order.id]])  # an earlier attempt there must be off first
        connection = None if attempt.ended else await self._checkout(host, attempt)
        if attempt.ended or connection is None:
            if connection:
                self._checkin(host, connection)
            return
        attempt.connection = None  # kept for others, should the attempt end now
        if connection.address != host.address or not self.may_begin(attempt):
            self._checkin(host, connection)
            self._end(attempt, interface.AttemptResult.NOT_SENT)
            return
        attempt.connection = connection
        left = max((until - self.clock.now()) // 1000, 1)
        data = http1.request(
            order.method,
            order.target,
            f"{host.address[0]}:{host.address[1]}",
            [*order.headers, (b"Request-Timeout-Ms", b"%d" % left)],
            order.body,
        )
        attempt.written = True
        timer = (
            self.timers.after(accept_time, lambda: self._unheard(attempt, host), awaits_peer=True)
            if accept_time
            else None
        )
        try:
            answer = await connection.call(data, self.on_sent)
        finally:
            if timer:
                timer.cancel()
        if answer.status == 202:
            self._checkin(host, connection)
            attempt.accepted = True
            return
        # Some hosts answer twice, the second time milliseconds late: taken for the answer to the next attempt on this
        # connection, it could say that a job never ran which runs. A 202 or a probe's answer cannot.
        connection.close()
        attempt.status = answer.status
        self._end(attempt, self._result_of(answer), self.reports.header(answer.header(b"server-load")))

    @staticmethod
    def _result_of(answer: http1.Message) -> str:
        if answer.status in (503, 504) and (answer.header(b"not-started") or b"").strip() == b"1":
            return interface.AttemptResult.QUEUE_FULL
        # Counted as errors, four answers to one bad client had four healthy hosts shunned. 408 and 429 do speak of
        # the host.
        return (
            interface.AttemptResult.INVALID_REQUEST
            if 400 <= answer.status < 500 and answer.status not in (408, 429)
            else interface.AttemptResult.ERROR
        )

    def _end(self, attempt: Attempt, result: str, load: LoadReport = None, body: bytes = b"") -> None:
        """The one place where an attempt is given back."""
        if attempt.ended:
            return
        attempt.ended, attempt.not_sent = True, result == interface.AttemptResult.NOT_SENT
        del self.attempts[attempt.forwarded.id, attempt.worker]
        if attempt.timeout_timer:
            attempt.timeout_timer.cancel()
        self.report(attempt, result, load, body)

    def _give_up(self, attempt: Attempt, result: str) -> None:
        """Stop waiting: before the 202 the connection is closed, after it the host is told. A 202 that has come and
        lies unread counts: to its host the close would say nothing any more."""
        if attempt.ended:
            return
        connection = attempt.connection
        crossed = attempt.written and connection is not None and connection.peer_has_sent()
        if (
            (attempt.accepted or crossed)
            and attempt.connections
            and attempt.forwarded.id not in attempt.connections.cancelling
        ):
            attempt.connections.cancelling[attempt.forwarded.id] = asyncio.get_event_loop().create_future()
            # Where two may never be out, the attempt has ended only once its host has heard so; else it runs on.
            waits = result == interface.AttemptResult.CANCELLED and not self.settings.hedging_allowed
            spawn(self._delete(attempt.connections, attempt.forwarded.id, attempt if waits else None))
            if waits:
                return
        self._end(attempt, result)
        if connection is not None:
            connection.close()

    def _unheard(self, attempt: Attempt, host: WorkerConnections) -> None:
        if attempt.ended or attempt.event_received or attempt.connection is None or attempt.connection.peer_has_sent():
            return  # an answer that waits on the socket means that this side was slow
        self.close_idle(host.name)  # as silent as this one: the next attempt there should find out sooner
        self._give_up(attempt, interface.AttemptResult.TIMEOUT)

    def release_attempt(self, attempt: Attempt) -> None:
        """Another process goes on with it."""
        if not attempt.ended:
            attempt.ended = True
            del self.attempts[attempt.forwarded.id, attempt.worker]
            if attempt.timeout_timer:
                attempt.timeout_timer.cancel()

    def resume_attempt(self, attempt: Attempt, left: int) -> None:
        """With one that a host has accepted from another process. `left`: microseconds until it is given up."""
        attempt.connections = self.workers.get(attempt.worker)
        self.attempts[attempt.forwarded.id, attempt.worker] = attempt
        attempt.timeout_timer = self.timers.after(left, lambda: self._give_up(attempt, interface.AttemptResult.TIMEOUT))

    def cancel_attempt(self, attempt: Attempt) -> None:
        self._give_up(attempt, interface.AttemptResult.CANCELLED)

    async def _delete(self, host: WorkerConnections, request_id: bytes, attempt: Attempt | None) -> None:
        """`attempt`: what ends once the host has answered."""
        try:
            await self._short_call(host, b"DELETE", b"/jobs/" + request_id, CANCEL_TIMEOUT_US)
            if attempt is not None:
                self._end(attempt, interface.AttemptResult.CANCELLED)
        except ConnectionBrokenError as e:
            log.info("cancel failed", request=request_id.decode("latin-1"), host=host.name, code=e.code, why=str(e))
        finally:
            host.cancelling.pop(request_id).set_result(None)

    # Call-backs name the request and the host, not the attempt, and may come again or before the 202.

    def handle_job_event(self, request_id: bytes, name: str, state: str, item: dict[str, Any]) -> bool:
        """False if there is no such attempt here: told twice, or of one that is over, or another process has it."""
        attempt = self.attempts.get((request_id, name))
        if attempt is None or not attempt.written:
            return False  # one not written yet cannot be meant either
        attempt.event_received = True
        if state == "started":
            if not attempt.started:
                attempt.started, attempt.started_at = True, self.clock.now()
                self.raise_event(interface.AttemptStarted(attempt.request, attempt.number, attempt.worker))
            return True
        if state == "running":
            self.raise_event(
                interface.AttemptProgressed(
                    attempt.request, attempt.number, attempt.worker, float(item.get("share") or 0.0)
                )
            )
            return True
        load = self.reports.item(item["load"]) if isinstance(item.get("load"), dict) else None
        connection, result = attempt.connection, item.get("result", "")
        if state == "done":
            body = result.encode() if isinstance(result, str) else json.dumps(result).encode()
            self._end(attempt, interface.AttemptResult.OK, load, body)
        else:
            self._end(
                attempt,
                {
                    "failed": interface.AttemptResult.ERROR,
                    "returned": interface.AttemptResult.QUEUE_FULL,
                    "lost": interface.AttemptResult.RESET,
                }[state],
                load,
            )
        if connection is not None:
            # The 202 is still to come; a host that has fallen silent must not keep the socket for good.
            self.timers.after(
                LATE_ACCEPT_TIMEOUT_US, lambda: connection.close() if attempt.connection is connection else None
            )
        return True

    # Connections.

    async def _checkout(self, host: WorkerConnections, attempt: Attempt | None = None) -> CallConnection:
        while host.idle:
            connection, timer = host.idle.pop()
            timer.cancel()
            if connection.reusable and not connection.peer_has_sent():
                return connection
            connection.close()
        if self.descriptors.scarce:
            self.shed_idle_connections()
        if self.descriptors.nearly_exhausted:
            self.free_descriptors()
        if self.descriptors.exhausted:
            raise NoDescriptorError(False, "no descriptor left")
        try:
            connection = CallConnection(self.descriptors)
        except OSError as e:
            raise NoDescriptorError(False, f"no descriptor: {e}") from e
        if attempt is not None:
            attempt.connection, attempt.opened_connection = connection, True
        timer = self.timers.after(self.settings.connect_timeout or 1_000_000, connection.close, awaits_peer=True)
        try:
            await connection.connect(host.address)
        finally:
            timer.cancel()
        return connection

    def _checkin(self, host: WorkerConnections, connection: CallConnection) -> None:
        if not connection.reusable or connection.address != host.address:
            connection.close()
            return
        self._keep(host, connection, int((self.settings.connection_idle_timeout or 60_000_000) * IDLE_TIME_FRACTION))

    def _keep(self, host: WorkerConnections, connection: CallConnection, idle: int) -> None:
        if (
            self.successor is not None
            and connection.no_read_in_progress
            and not connection.peer_has_sent()
            and self.successor(connection.stream.socket.fileno(), host.name, host.address, idle)
        ):
            connection.close()  # it lives on over there
            return
        host.idle.append((connection, self.timers.after(idle, lambda: self._retire(host, connection))))

    def pass_connections_on(self) -> None:
        """Idle connections to the process that takes the new jobs: each saves it a handshake."""
        for host in self.workers.values():
            idle, host.idle = host.idle, []
            for connection, timer in idle:
                timer.cancel()
                self._keep(host, connection, max(timer.due_at - self.clock.now(), 0))

    def adopt_connection(self, sock: socket.socket, name: str, address: Address, idle: int) -> None:
        """An idle connection that another process held."""
        host = self.workers.get(name)
        if host is None or host.address != address or self.descriptors.exhausted:
            sock.close()
            return
        sock.setblocking(False)
        self._keep(host, CallConnection(self.descriptors, sock=sock, address=address), idle)

    @staticmethod
    def _retire(host: WorkerConnections, connection: CallConnection) -> None:
        host.idle = [(c, t) for c, t in host.idle if c is not connection]
        connection.close()

    def close_idle(self, name: str) -> None:
        host = self.workers.get(name)
        while host and host.idle:
            connection, timer = host.idle.pop()
            timer.cancel()
            connection.close()

    def shed_idle_connections(self) -> None:
        """Near the descriptor limit: idle connections go, all of them."""
        for name in self.workers:
            self.close_idle(name)

    def forget_unlisted(self, listed: Callable[[str], bool]) -> None:
        """Hosts that are off the list and hold nothing of ours any more."""
        busy = {worker for _, worker in self.attempts}
        for name in [n for n in self.workers if not listed(n)]:
            self.close_idle(name)
            if name not in busy and not self.workers[name].cancelling:
                del self.workers[name]

    async def _short_call(self, host: WorkerConnections, method: bytes, target: bytes, time: int) -> http1.Message:
        connection = await self._checkout(host)
        timer = self.timers.after(time, connection.close, awaits_peer=True)
        try:
            answer = await connection.call(http1.request(method, target, f"{host.address[0]}:{host.address[1]}"))
        finally:
            timer.cancel()
        self._checkin(host, connection)
        return answer

    # Probes and load reports.

    def check_health(self, name: str) -> None:
        if name in self.workers:
            spawn(self._probe(self.workers[name]))

    async def _probe(self, host: WorkerConnections) -> None:
        begun, result, load = self.clock.now(), interface.AttemptResult.CONNECT_FAILED, None
        try:
            answer = await self._short_call(host, b"GET", b"/-/load", HEALTH_CHECK_TIMEOUT_US)
            result = interface.AttemptResult.OK if answer.status == 200 else interface.AttemptResult.ERROR
            load = self.reports.text(answer.body.decode("latin-1"))
        except ConnectionBrokenError as e:
            result = interface.AttemptResult.RESET if e.sent else interface.AttemptResult.CONNECT_FAILED
        finally:
            self.raise_event(interface.HealthCheckResult(host.name, result, self.clock.now() - begun, load))
