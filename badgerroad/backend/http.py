"""The backend for workers that speak HTTP/1.1: sends attempts and ends them.

An attempt is opened by `start_attempt` and ends in `_end`, whatever ends it: a response, a job event, a broken
connection, its timeout or a cancel. Between the decision and the first byte it may wait for an earlier cancel and for a
connection; `may_begin` is asked again immediately before that byte. Nothing is retried here.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from badgerroad.backend.attempts import Attempt
from badgerroad.backend.cancels import Cancels
from badgerroad.backend.health_checks import HealthChecks
from badgerroad.backend.job_events import JobEvents
from badgerroad.backend.reports import LoadReport, LoadReportParser
from badgerroad.backend.worker_connections import ConnectionPools, ConnectionSuccessor, WorkerConnections
from badgerroad.load_balancing import interface
from badgerroad.net import http1, logs
from badgerroad.net.background_tasks import spawn
from badgerroad.net.call_connection import CallConnection, ConnectionBrokenError, NoDescriptorError
from badgerroad.net.connection import Address
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.timer_wheel import TimerWheel

log = logs.get("badgerroad")

# A worker responds with 202 as soon as it has the job, whether or not it can start it. One that has not by then has
# vanished or is cut off, which no end of a connection shows.
ACCEPT_TIMEOUT_US = 300_000

AttemptEndedCallback = Callable[[Attempt, str, LoadReport, bytes], None]


class Backend:
    """The attempts that are open, and what sends them."""

    def __init__(
        self,
        timers: TimerWheel,
        descriptors: DescriptorBudget,
        settings: interface.Settings,
        attempt_ended: AttemptEndedCallback,
        raise_event: Callable[[interface.Event], None],
        may_begin: Callable[[Attempt], bool],
        free_descriptors: Callable[[], None],
        on_sent: Callable[[], None] | None = None,
    ) -> None:
        """`may_begin`: whether an attempt may still be sent; `free_descriptors`: takes descriptors from clients;
        `on_sent`: called for each attempt whose last byte is written.
        """
        self.timers = timers
        self.settings = settings
        self.attempts: dict[tuple[bytes, str], Attempt] = {}
        self.reports = LoadReportParser(settings.load_report_fields)
        self.pools = ConnectionPools(timers, descriptors, settings, free_descriptors)
        self._cancels = Cancels(self.pools)
        self.health_checks = HealthChecks(self.pools, self.reports, raise_event)
        self._job_events = JobEvents(timers, self.reports, raise_event, self._end)
        self._attempt_ended = attempt_ended
        self._may_begin = may_begin
        self._on_sent = on_sent

    def apply_settings(self, settings: interface.Settings) -> None:
        """These settings hold from now on."""
        self.settings = self.pools.settings = settings
        self.reports = LoadReportParser(settings.load_report_fields)
        self.health_checks.reports = self._job_events.reports = self.reports

    # Attempts.

    def start_attempt(self, attempt: Attempt, timeout: int, accept_timeout: int) -> None:
        """Send an attempt.

        `timeout`: microseconds until it is given up, 0 for as long as the client waits. `accept_timeout`: microseconds
        until the worker must have accepted it, 0 for no such limit.
        """
        left = attempt.forwarded.deadline - attempt.sent_at
        left = min(left, timeout) if timeout else left
        worker = attempt.connections = self.pools.workers.get(attempt.worker)
        if left <= 0 or attempt.key in self.attempts or worker is None:
            attempt.ended = True
            self._attempt_ended(attempt, interface.AttemptResult.NOT_NEEDED, None, b"")
            return
        self._open(attempt, left)
        spawn(self._run(attempt, worker, attempt.sent_at + left, accept_timeout))

    def _open(self, attempt: Attempt, left: int) -> None:
        self.attempts[attempt.key] = attempt
        attempt.timeout_timer = self.timers.after(left, lambda: self._give_up(attempt, interface.AttemptResult.TIMEOUT))

    async def _run(self, attempt: Attempt, worker: WorkerConnections, deadline: int, accept_timeout: int) -> None:
        try:
            await self._run_attempt(attempt, worker, deadline, accept_timeout)
        except NoDescriptorError as error:
            log.warning(
                "attempt_not_sent", **attempt.log_fields, code=error.code, error=str(error), remedy=error.remedy
            )
            # Not a failed connection, which would count against a healthy worker.
            self._end(attempt, interface.AttemptResult.NOT_NEEDED)
        except ConnectionBrokenError as error:
            if not attempt.ended:
                log.info("attempt_broken", **attempt.log_fields, code=error.code, error=str(error))
            self._end(attempt, interface.AttemptResult.RESET if error.sent else interface.AttemptResult.CONNECT_FAILED)
        except Exception:
            self._end(attempt, interface.AttemptResult.RESET)
            raise
        finally:
            attempt.connection = None

    async def _run_attempt(
        self, attempt: Attempt, worker: WorkerConnections, deadline: int, accept_timeout: int
    ) -> None:
        request_id = attempt.forwarded.id
        while request_id in worker.cancelling and not attempt.ended:
            await asyncio.wait([worker.cancelling[request_id]])  # the earlier attempt there must be cancelled first
        if attempt.ended:
            return
        connection = await self.pools.checkout(worker, attempt.connecting)
        if attempt.ended:
            self.pools.checkin(worker, connection)
            return
        attempt.connection = None  # stays usable for others, should the attempt end now
        if connection.address != worker.address or not self._may_begin(attempt):
            self.pools.checkin(worker, connection)
            self._end(attempt, interface.AttemptResult.NOT_SENT)
            return
        attempt.connection = connection
        response = await self._exchange(attempt, worker, connection, deadline, accept_timeout)
        if response.status == 202:
            self.pools.checkin(worker, connection)
            attempt.accepted = True
            return
        # Some workers respond twice, the second time milliseconds late. Taken for the response to the next attempt on
        # this connection, it could mean that a job never ran which runs. A 202 or a health check's response cannot.
        connection.close()
        attempt.status = response.status
        self._end(attempt, _result_of(response), self.reports.from_header(response.header(b"server-load")))

    async def _exchange(
        self,
        attempt: Attempt,
        worker: WorkerConnections,
        connection: CallConnection,
        deadline: int,
        accept_timeout: int,
    ) -> http1.Message:
        """Send the request and wait for the response, which must not take longer than `accept_timeout`."""
        forwarded = attempt.forwarded
        left_ms = max((deadline - self.timers.clock.now()) // 1000, 1)
        data = http1.request(
            forwarded.method,
            forwarded.target,
            worker.authority,
            [*forwarded.headers, (b"Request-Timeout-Ms", b"%d" % left_ms)],
            forwarded.body,
        )
        attempt.written = True
        if not accept_timeout:
            return await connection.call(data, self._on_sent)
        timer = self.timers.after(accept_timeout, lambda: self._not_accepted(attempt, worker), awaits_peer=True)
        try:
            return await connection.call(data, self._on_sent)
        finally:
            timer.cancel()

    def _end(
        self, attempt: Attempt, result: interface.AttemptResult, load: LoadReport = None, body: bytes = b""
    ) -> None:
        """End an attempt and report it; the only place that does so. No effect on one that has ended."""
        if attempt.ended:
            return
        attempt.not_sent = result == interface.AttemptResult.NOT_SENT
        self.release_attempt(attempt)
        self._attempt_ended(attempt, result, load, body)

    def release_attempt(self, attempt: Attempt) -> None:
        """End an attempt without a report: it has ended, or another process goes on with it."""
        if attempt.ended:
            return
        attempt.ended = True
        del self.attempts[attempt.key]
        if attempt.timeout_timer:
            attempt.timeout_timer.cancel()

    def resume_attempt(self, attempt: Attempt, left: int) -> None:
        """Go on with an attempt that a worker has accepted from another process, for `left` microseconds."""
        attempt.connections = self.pools.workers.get(attempt.worker)
        self._open(attempt, left)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """End an attempt whose response is not needed."""
        self._give_up(attempt, interface.AttemptResult.CANCELLED)

    def _give_up(self, attempt: Attempt, result: interface.AttemptResult) -> None:
        """Stop waiting: before the 202 the connection is closed, after it the job is cancelled.

        A 202 that lies unread on the socket counts, as closing would not tell its worker anything any more.
        """
        if attempt.ended:
            return
        connection = attempt.connection
        accept_unread = attempt.written and connection is not None and connection.peer_has_sent()
        worker = attempt.connections
        if (attempt.accepted or accept_unread) and worker is not None and attempt.forwarded.id not in worker.cancelling:
            # Without hedging, two attempts may never run at once: this one ends only once its worker has confirmed it.
            waits = result == interface.AttemptResult.CANCELLED and not self.settings.hedging_allowed
            confirmed = (lambda: self._end(attempt, interface.AttemptResult.CANCELLED)) if waits else None
            self._cancels.start(worker, attempt.forwarded.id, confirmed)
            if waits:
                return
        self._end(attempt, result)
        if connection is not None:
            connection.close()

    def _not_accepted(self, attempt: Attempt, worker: WorkerConnections) -> None:
        """The accept timeout is over."""
        connection = attempt.connection
        if attempt.ended or attempt.event_received or connection is None or connection.peer_has_sent():
            return  # a response that waits on the socket means that this process was slow
        worker.close_idle()  # likely as dead as this one: the next attempt there finds out sooner
        self._give_up(attempt, interface.AttemptResult.TIMEOUT)

    def handle_job_event(self, request_id: bytes, name: str, state: str, item: dict[str, Any]) -> bool:
        """Apply a job event of worker `name`.

        False if its attempt is not open here: the event is a repetition, the attempt has ended, or another process
        has it.
        """
        attempt = self.attempts.get((request_id, name))
        if attempt is None or not attempt.written:
            return False  # one that is not written yet cannot be meant either
        self._job_events.apply(attempt, state, item)
        return True

    def check_health(self, name: str) -> None:
        """Start a health check of a worker."""
        self.health_checks.start(name)

    # Connections.

    @property
    def workers(self) -> dict[str, WorkerConnections]:
        """The known workers by name."""
        return self.pools.workers

    @property
    def successor(self) -> ConnectionSuccessor | None:
        """What passes idle connections to the process that takes the new requests."""
        return self.pools.successor

    @successor.setter
    def successor(self, successor: ConnectionSuccessor | None) -> None:
        """Set what passes idle connections to the process that takes over; None: nothing does."""
        self.pools.successor = successor

    def set_address(self, name: str, address: Address) -> None:
        """The endpoint list has a worker, perhaps at a new address."""
        self.pools.set_address(name, address)

    def addresses(self) -> dict[str, Address]:
        """The address of each worker."""
        return self.pools.addresses()

    def pass_connections_on(self) -> None:
        """Pass the idle connections to the successor."""
        self.pools.pass_connections_on()

    def adopt_connection(self, sock: socket.socket, name: str, address: Address, idle: int) -> None:
        """Take over an idle connection of another process, for `idle` microseconds."""
        self.pools.adopt_connection(sock, name, address, idle)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to one worker."""
        self.pools.close_idle(name)

    def shed_idle_connections(self) -> None:
        """Close all idle connections, since descriptors are scarce."""
        self.pools.shed_idle_connections()

    def forget_unlisted(self, listed: Callable[[str], bool]) -> None:
        """Forget the workers that are not on the endpoint list and have no attempt."""
        self.pools.forget_unlisted(listed, {worker for _, worker in self.attempts})


def _result_of(response: http1.Message) -> interface.AttemptResult:
    """What a response other than 202 means for the attempt."""
    if response.status in (503, 504) and (response.header(b"not-started") or b"").strip() == b"1":
        return interface.AttemptResult.QUEUE_FULL
    # Other client errors are the request's fault: counted as errors, one client could have healthy workers ejected.
    if 400 <= response.status < 500 and response.status not in (408, 429):
        return interface.AttemptResult.INVALID_REQUEST
    return interface.AttemptResult.ERROR
