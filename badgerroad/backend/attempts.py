"""The state of attempts. An attempt is one request sent once to one worker."""

from __future__ import annotations

from badgerroad.backend.worker_connections import WorkerConnections
from badgerroad.net import http1
from badgerroad.net.call_connection import CallConnection
from badgerroad.net.timer_wheel import Timer


class ForwardedRequest:
    """The parts of a client's request that all its attempts forward unchanged.

    `deadline` is in microseconds of the clock.
    """

    __slots__ = ("id", "method", "target", "headers", "body", "deadline")

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
        "accepted",
        "ended",
        "not_sent",
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
        self.accepted = False  # the worker has responded with 202
        self.ended = False
        self.not_sent = False
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
    def log_fields(self) -> dict[str, object]:
        """The log fields that identify the attempt."""
        return {
            "request_id": self.forwarded.id.decode("latin-1"),
            "attempt": self.number,
            "worker": self.worker,
        }
