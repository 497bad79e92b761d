"""The backend for workers that speak HTTP/1.1: sends attempts and ends them.

An attempt is opened by `start_attempt` and always ends in `_end`, whether by a response, a job event, a broken
connection, its timeout or a cancel. After the decision to send it, an attempt may have to wait for an earlier cancel
and for a connection, so `may_begin` is called again immediately before its first byte. The backend never retries.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from badgerroad.backend.attempts import Attempt, AttemptPhase
from badgerroad.backend.cancels import NO_CANCEL, Cancels, ignore_outcome
from badgerroad.backend.health_checks import HealthChecks
from badgerroad.backend.job_events import JobEvents
from badgerroad.backend.reports import LoadReport, LoadReportParser
from badgerroad.backend.worker_connections import CancelOutcome, ConnectionPools, ConnectionSuccessor, WorkerConnections
from badgerroad.job_states import JobState
from badgerroad.load_balancing import interface
from badgerroad.net import http1, logs
from badgerroad.net.background_tasks import spawn
from badgerroad.net.call_connection import CallConnection, ConnectionBrokenError, LocalNetworkError, NoDescriptorError
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.memory_budget import MemoryBudget
from badgerroad.net.socket_stream import Address
from badgerroad.net.timer_wheel import TimerWheel

log = logs.get("badgerroad")

# A worker responds with 202 as soon as it has the job, whether or not it can start it yet. A worker that has not
# responded within this time has failed or is unreachable, which may happen without the connection being closed.
ACCEPT_TIMEOUT_US = 300_000

# How long a response may still take of which bytes are unread when the accept timeout is over. A response that has
# arrived is read much sooner; one that takes longer may never end.
UNREAD_RESPONSE_TIMEOUT_US = 50_000

# How long a worker may take to confirm that it does not run an attempt that was closed before its response. A worker
# that takes longer has failed or is unreachable, so it most likely has not accepted the attempt either.
CLOSE_CONFIRMATION_TIMEOUT_US = 300_000

AttemptEndedCallback = Callable[[Attempt, str, LoadReport, bytes], None]


class Backend:
    """Sends attempts, health checks and cancels to workers, and tracks the open attempts."""

    def __init__(
        self,
        timers: TimerWheel,
        descriptors: DescriptorBudget,
        memory: MemoryBudget,
        settings: interface.Settings,
        attempt_ended: AttemptEndedCallback,
        raise_event: Callable[[interface.Event], None],
        may_begin: Callable[[Attempt], bool],
        free_descriptors: Callable[[], None],
        on_sent: Callable[[], None] | None = None,
    ) -> None:
        """Create a backend without workers.

        `may_begin` returns whether an attempt may still be sent. `free_descriptors` closes connections of clients.
        `on_sent` is called for each attempt once its last byte is written.
        """
        self.timers = timers
        self.settings = settings
        self.attempts: dict[tuple[bytes, str], Attempt] = {}
        self.reports = LoadReportParser(settings.load_report_fields)
        self.pools = ConnectionPools(timers, descriptors, memory, settings, free_descriptors)
        self._cancels = Cancels(self.pools)
        self.health_checks = HealthChecks(self.pools, self.reports, raise_event)
        self._job_events = JobEvents(timers, self.reports, raise_event, self._end)
        self._attempt_ended = attempt_ended
        self._may_begin = may_begin
        self._on_sent = on_sent

    def apply_settings(self, settings: interface.Settings) -> None:
        """Use `settings` from now on."""
        self.settings = self.pools.settings = settings
        self.reports = LoadReportParser(settings.load_report_fields)
        self.health_checks.reports = self._job_events.reports = self.reports

    # Attempts.

    def start_attempt(self, attempt: Attempt, timeout: int, accept_timeout: int) -> None:
        """Send an attempt.

        `timeout` is in microseconds; 0 means until the deadline of the request. `accept_timeout` is the time in
        microseconds within which the worker must accept the attempt; 0 means no limit.
        """
        remaining = attempt.forwarded.deadline - attempt.sent_at
        remaining = min(remaining, timeout) if timeout else remaining
        worker = attempt.connections = self.pools.workers.get(attempt.worker)
        if remaining <= 0 or attempt.key in self.attempts or worker is None:
            attempt.ended = True
            self._attempt_ended(attempt, interface.AttemptResult.NOT_NEEDED, None, b"")
            return
        self._open(attempt, remaining)
        spawn(self._run(attempt, worker, attempt.sent_at + remaining, accept_timeout))

    def _open(self, attempt: Attempt, remaining: int) -> None:
        self.attempts[attempt.key] = attempt
        attempt.timeout_timer = self.timers.after(
            remaining, lambda: self._give_up(attempt, interface.AttemptResult.TIMEOUT)
        )

    async def _run(self, attempt: Attempt, worker: WorkerConnections, deadline: int, accept_timeout: int) -> None:
        try:
            await self._run_attempt(attempt, worker, deadline, accept_timeout)
        except (NoDescriptorError, LocalNetworkError) as error:
            log.warning(
                "attempt_not_sent", **attempt.log_fields, code=error.code, error=str(error), remedy=error.remedy
            )
            # The result is not CONNECT_FAILED, which would count against a healthy worker.
            self._end(attempt, interface.AttemptResult.NOT_NEEDED)
        except ConnectionBrokenError as error:
            if attempt.awaits_cancel:
                return  # this process has closed the connection
            if not attempt.ended:
                log.info("attempt_broken", **attempt.log_fields, code=error.code, error=str(error))
                if error.sent:
                    attempt.mark_unconfirmed()
            self._end(attempt, interface.AttemptResult.RESET if error.sent else interface.AttemptResult.CONNECT_FAILED)
        except Exception:
            if not attempt.ended and attempt.written:
                attempt.mark_unconfirmed()
            self._end(attempt, interface.AttemptResult.RESET)
            raise
        finally:
            attempt.connection = None

    async def _run_attempt(
        self, attempt: Attempt, worker: WorkerConnections, deadline: int, accept_timeout: int
    ) -> None:
        if attempt.worker in attempt.forwarded.unconfirmed_workers:
            await self._cancels.confirm_stopped(worker, attempt.forwarded)
            if attempt.ended:
                return
        connection = await self.pools.checkout(worker, attempt.on_connecting)
        if attempt.ended:
            self.pools.checkin(worker, connection)
            return
        attempt.connection = None  # if the attempt ends now, the connection stays open for other attempts
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
        # Some workers send a second response a few milliseconds after the first. On a reused connection it would be
        # read as the response to the next attempt, and could report that a running job never ran. After a 202 or a
        # health check the connection is reused, since a second copy of those responses cannot have that effect.
        connection.close()
        attempt.status = response.status
        self._end(attempt, _result_for(response), self.reports.from_header(response.header(b"server-load")))

    async def _exchange(
        self,
        attempt: Attempt,
        worker: WorkerConnections,
        connection: CallConnection,
        deadline: int,
        accept_timeout: int,
    ) -> http1.Message:
        """Send the request and wait for the response, for `accept_timeout` microseconds at most (0: no limit)."""
        forwarded = attempt.forwarded
        remaining_ms = max((deadline - self.timers.clock.now()) // 1000, 1)
        attempt.written = True
        log.info("attempt_begun", **attempt.log_fields, opened=int(attempt.opened_connection))
        response = connection.call(
            http1.request(
                forwarded.method,
                forwarded.target,
                worker.authority,
                [*forwarded.headers, (b"Request-Timeout-Ms", b"%d" % remaining_ms)],
                forwarded.body,
            ),
            self._on_sent,
        )
        if not accept_timeout:
            return await response
        timer = self.timers.after(accept_timeout, lambda: self._not_accepted(attempt, worker), awaits_peer=True)
        try:
            return await response
        finally:
            timer.cancel()

    def _end(
        self, attempt: Attempt, result: interface.AttemptResult, load: LoadReport = None, body: bytes = b""
    ) -> None:
        """End an attempt and report its result. This is the only place that does so; later calls have no effect."""
        if attempt.ended:
            return
        attempt.not_sent = result == interface.AttemptResult.NOT_SENT
        attempt.record_end(sent_completely=result != interface.AttemptResult.CONNECT_FAILED)
        self._remove(attempt)
        self._attempt_ended(attempt, result, load, body)

    def release_attempt(self, attempt: Attempt) -> None:
        """End an attempt without reporting a result, as when another process takes it over."""
        if attempt.ended:
            return
        attempt.ended = True
        self._remove(attempt)

    def _remove(self, attempt: Attempt) -> None:
        del self.attempts[attempt.key]
        if attempt.timeout_timer:
            attempt.timeout_timer.cancel()

    def resume_attempt(self, attempt: Attempt, remaining: int) -> None:
        """Take over from another process an attempt that a worker has accepted; it times out in `remaining` us."""
        attempt.connections = self.pools.workers.get(attempt.worker)
        self._open(attempt, remaining)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel an attempt whose response is no longer needed."""
        self._give_up(attempt, interface.AttemptResult.CANCELLED)

    def _give_up(self, attempt: Attempt, result: interface.AttemptResult) -> None:
        """Stop waiting for an attempt: cancel its job if the worker has it, else close the connection.

        A request that is sent without an acknowledgement may still be accepted by the worker, before it notices the
        close. With hedging, most such jobs matter to nobody, so a cancel is sent only before a further attempt there.
        Without hedging, two attempts of a request must never run at once, so the attempt ends only when its worker has
        confirmed the cancel.
        """
        if attempt.ended:
            return
        exclusive = not self.settings.hedging_allowed
        awaits_confirmation = exclusive and result == interface.AttemptResult.CANCELLED
        if awaits_confirmation and attempt.written and attempt.has_open_cancel:
            return  # the end of the open cancel ends the attempt, or the attempt's timeout does
        phase = AttemptPhase.ENDED if attempt.awaits_cancel else attempt.phase
        if phase is AttemptPhase.ACKNOWLEDGED and not attempt.has_open_cancel:
            self._cancel_job(attempt, result, awaits_confirmation)
            if awaits_confirmation:
                return
        elif phase is AttemptPhase.SENT:
            attempt.mark_unconfirmed()
            if exclusive:
                self._close_and_cancel(attempt, result)
                return
        connection = attempt.connection
        self._end(attempt, result)
        if connection is not None:
            connection.close()

    def _cancel_job(self, attempt: Attempt, result: interface.AttemptResult, awaits_confirmation: bool) -> None:
        """Cancel the job of an attempt; with `awaits_confirmation`, the attempt ends once the worker responds."""

        def on_ended(outcome: CancelOutcome) -> None:
            """End the attempt if the worker has responded to the cancel."""
            if outcome.error is None:
                self._end(attempt, result)

        if attempt.connections is not None:
            on_cancel_ended = on_ended if awaits_confirmation else ignore_outcome
            self._cancels.start(attempt.connections, attempt.forwarded, on_cancel_ended)

    def _close_and_cancel(self, attempt: Attempt, result: interface.AttemptResult) -> None:
        """Close the connection of an attempt that its worker may run, cancel the job, and end the attempt after that.

        The attempt also ends if the worker does not respond in time: the close is then the only way to give it up. But
        if a job event shows that the worker runs it, only a confirmed cancel or the attempt's timeout ends it.
        """

        def end_unless_running(outcome: CancelOutcome = NO_CANCEL) -> None:
            """End the attempt after a confirmed cancel, or if no job event shows that the worker runs it."""
            if outcome.status or not attempt.event_received:
                self._end(attempt, result)

        attempt.awaits_cancel = True
        if attempt.connection is not None:
            attempt.connection.close()
        if attempt.connections is not None and not attempt.has_open_cancel:
            self._cancels.start(attempt.connections, attempt.forwarded, end_unless_running)
        self.timers.after(CLOSE_CONFIRMATION_TIMEOUT_US, end_unless_running, awaits_peer=True)

    def _not_accepted(self, attempt: Attempt, worker: WorkerConnections) -> None:
        """Give up an attempt that its worker has not accepted within the accept timeout."""
        connection = attempt.connection
        if connection is not None and connection.peer_has_sent():
            # This process was slow to read the response, or the worker sends one that never ends.
            self.timers.after(
                UNREAD_RESPONSE_TIMEOUT_US, lambda: self._give_up_unaccepted(attempt, worker), awaits_peer=True
            )
        else:
            self._give_up_unaccepted(attempt, worker)

    def _give_up_unaccepted(self, attempt: Attempt, worker: WorkerConnections) -> None:
        """Give up an attempt unless its response has been read or a job event shows that the worker has it."""
        connection = attempt.connection
        if attempt.ended or attempt.event_received or connection is None or connection.response_received:
            return
        worker.close_idle()  # probably dead too; a new connection shows sooner whether the worker is reachable
        if self.settings.hedging_allowed or attempt.phase is AttemptPhase.UNSENT:
            self._give_up(attempt, interface.AttemptResult.TIMEOUT)
        else:
            attempt.mark_unconfirmed()
            self._close_and_cancel(attempt, interface.AttemptResult.TIMEOUT)

    def handle_job_event(self, request_id: bytes, name: str, state: str, event: dict[str, Any]) -> bool:
        """Apply a job event of worker `name` to its attempt, unless the event may belong to an earlier attempt.

        Returns False if the attempt is not open in this process: the event is a duplicate, the attempt has ended, or
        another process holds it.
        """
        attempt = self.attempts.get((request_id, name))
        if attempt is None or not attempt.written:
            return False  # the worker cannot know of an attempt that is not written yet
        job_state = JobState(state)
        if attempt.is_evidence(job_state):
            self._job_events.apply(attempt, job_state, event)
        else:
            log.info("job_event_ambiguous", **attempt.log_fields, state=state)
        return True

    def check_health(self, name: str) -> None:
        """Start a health check of worker `name`."""
        self.health_checks.start(name)

    # Connections.

    @property
    def workers(self) -> dict[str, WorkerConnections]:
        """The workers by name."""
        return self.pools.workers

    @property
    def successor(self) -> ConnectionSuccessor | None:
        """The function that transfers idle connections to the process that now receives the requests, if any."""
        return self.pools.successor

    @successor.setter
    def successor(self, successor: ConnectionSuccessor | None) -> None:
        """Set the function that transfers idle connections; None keeps them in this process."""
        self.pools.successor = successor

    def set_address(self, name: str, address: Address) -> None:
        """Add a worker of the endpoint list, or change its address."""
        self.pools.set_address(name, address)

    def addresses(self) -> dict[str, Address]:
        """Return the address of each worker by name."""
        return self.pools.addresses()

    def pass_connections_on(self) -> None:
        """Transfer the idle connections to the successor."""
        self.pools.pass_connections_on()

    def adopt_connection(self, sock: socket.socket, name: str, address: Address, idle_us: int) -> None:
        """Take over an idle connection from another process and keep it for `idle_us` at most."""
        self.pools.adopt_connection(sock, name, address, idle_us)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to worker `name`."""
        self.pools.close_idle(name)

    def shed_idle_connections(self) -> None:
        """Close all idle connections to workers to free their descriptors."""
        self.pools.shed_idle_connections()

    def forget_unlisted(self, is_listed: Callable[[str], bool]) -> None:
        """Remove the workers that are not on the endpoint list and have no open attempt."""
        self.pools.forget_unlisted(is_listed, {worker for _, worker in self.attempts})


def _result_for(response: http1.Message) -> interface.AttemptResult:
    """Return the result of an attempt whose worker responded with a status other than 202."""
    if response.status in (503, 504) and (response.header(b"not-started") or b"").strip() == b"1":
        return interface.AttemptResult.QUEUE_FULL
    # 4xx statuses other than 408 and 429 are the request's fault. If they counted as errors of the worker, one client
    # could eject healthy workers.
    if 400 <= response.status < 500 and response.status not in (408, 429):
        return interface.AttemptResult.INVALID_REQUEST
    return interface.AttemptResult.ERROR
