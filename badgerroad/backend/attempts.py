"""The state of attempts. An attempt is one request sent once to one worker."""

from __future__ import annotations

import enum

from badgerroad.backend.job_event_history import JobEventHistory, states_after
from badgerroad.backend.worker_connections import WorkerConnections
from badgerroad.job_states import JobState
from badgerroad.net import http1
from badgerroad.net.call_connection import CallConnection
from badgerroad.net.timer_wheel import Timer


class AttemptPhase(enum.Enum):
    """How far an attempt has come, as far as this process knows. It decides how the attempt can be given up."""

    UNSENT = "unsent"
    """The last byte has not been written, so the worker never runs the attempt if its connection is closed now."""
    SENT = "sent"
    """The last byte has been written and nothing has come back: the worker may run the attempt or not."""
    ACKNOWLEDGED = "acknowledged"
    """The worker has responded, sent a job event or ended the connection: it runs the attempt until it is cancelled."""
    ENDED = "ended"


class ForwardedRequest:
    """The parts of a client's request that all its attempts share.

    `deadline` is in microseconds of the clock. `unconfirmed_workers` holds the names of the workers that may still run
    an attempt that has ended here; no further attempt is sent to them until they have answered a `DELETE`.
    `job_events` tells which job events may still arrive from ended attempts.
    """

    __slots__ = ("id", "method", "target", "headers", "body", "deadline", "unconfirmed_workers", "job_events")

    def __init__(
        self, method: bytes, target: bytes, body: bytes, request_id: bytes, headers: http1.Headers, deadline: int
    ) -> None:
        """Store the parts; `headers` must not include hop-by-hop headers."""
        self.id = request_id
        self.method = method
        self.target = target
        self.body = body
        self.headers = headers
        self.deadline = deadline
        self.unconfirmed_workers: set[str] = set()
        self.job_events = JobEventHistory()

    @property
    def memory_size(self) -> int:
        """About how many bytes of memory the request takes."""
        return http1.headers_memory_size(self.headers) + len(self.target) + len(self.body)


class Attempt:
    """The state of one attempt. All times are in microseconds of the clock."""

    __slots__ = (
        "request",
        "number",
        "forwarded",
        "worker",
        "sent_at",
        "written",
        "event_received",
        "started",
        "progressed",
        "final_event",
        "accepted",
        "ended",
        "not_sent",
        "awaits_cancel",
        "connections",
        "timeout_timer",
        "connection",
        "status",
        "opened_connection",
        "started_at",
    )

    def __init__(self, request: int, number: int, forwarded: ForwardedRequest, worker: str, now: int) -> None:
        """Create attempt `number` of the dispatcher's request number `request`, sent to `worker` at `now`."""
        self.request = request
        self.number = number
        self.forwarded = forwarded
        self.worker = worker
        self.sent_at = now
        self.written = False  # the request has been handed to the connection
        self.event_received = False  # a job event has arrived, before or after the 202
        self.started = False  # a job event has reported the start of the job
        self.progressed = False  # a job event has reported the progress of the job
        self.final_event: JobState | None = None  # the job event that has ended the attempt
        self.accepted = False  # the worker has responded with 202
        self.ended = False
        self.not_sent = False
        self.awaits_cancel = False  # given up and closed, but its worker has yet to confirm that it does not run
        self.opened_connection = False  # no idle connection was available, so a new one was opened
        self.started_at = 0  # when the start of the job was reported
        self.status = 0  # HTTP status of the worker's response if it is not 202
        self.connections: WorkerConnections | None = None
        self.timeout_timer: Timer | None = None
        self.connection: CallConnection | None = None  # set while the response is awaited

    def on_connecting(self, connection: CallConnection) -> None:
        """Record the connection being opened for this attempt, so that ending the attempt closes it."""
        self.connection = connection
        self.opened_connection = True

    @property
    def key(self) -> tuple[bytes, str]:
        """Request ID and worker, which are unique: a worker holds at most one attempt of a request at a time."""
        return self.forwarded.id, self.worker

    @property
    def phase(self) -> AttemptPhase:
        """How far the attempt has come."""
        if self.ended:
            return AttemptPhase.ENDED
        if self.accepted or self.event_received:
            return AttemptPhase.ACKNOWLEDGED
        if not self.written or self.connection is None:
            return AttemptPhase.UNSENT
        if self.connection.response_received or self.connection.peer_has_sent():
            return AttemptPhase.ACKNOWLEDGED
        return AttemptPhase.SENT if self.connection.all_written else AttemptPhase.UNSENT

    def is_evidence(self, state: JobState) -> bool:
        """Whether a job event with `state` of this open attempt's worker shows what has become of the attempt.

        An event that may belong to an earlier attempt at the worker does not show that this one has ended. `done` ends
        it in any case: the result is one that the worker has made for this request.
        """
        if state in (JobState.STARTED, JobState.RUNNING, JobState.DONE):
            return True
        if state is JobState.RETURNED and (self.started or self.progressed):
            return False  # only a job that was not started is handed back
        return not self.forwarded.job_events.may_be_of_ended_attempt(self.worker, state)

    def record_end(self, sent_completely: bool) -> None:
        """End the attempt, and record which of its job events may still arrive.

        `sent_completely` is false if the worker has not received the whole request, and so does not run it.
        """
        self.ended = True
        response_ended_it = self.status != 0 and not self.event_received
        if sent_completely and self.written and not response_ended_it:
            self.forwarded.job_events.expect(self.worker, states_after(self.final_event))

    @property
    def has_open_cancel(self) -> bool:
        """Whether a cancel of the request is open at this attempt's worker."""
        return self.connections is not None and self.forwarded.id in self.connections.cancelling

    def mark_unconfirmed(self) -> None:
        """Record that the worker may still run the attempt although it ends here."""
        self.forwarded.unconfirmed_workers.add(self.worker)

    @property
    def log_fields(self) -> dict[str, object]:
        """The log fields that identify the attempt."""
        return {
            "request_id": self.forwarded.id.decode("latin-1"),
            "attempt": self.number,
            "worker": self.worker,
        }
