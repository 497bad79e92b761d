"""An attempt: one request sent once to one worker."""

from __future__ import annotations

from badgerroad.backend.worker_connections import WorkerConnections
from badgerroad.net import http1
from badgerroad.net.call_connection import CallConnection
from badgerroad.net.timer_wheel import Timer


class ForwardedRequest:
    """What all attempts of one request forward, byte for byte. `deadline` in microseconds of the clock."""

    __slots__ = ("id", "method", "target", "headers", "body", "deadline")

    def __init__(
        self, method: bytes, target: bytes, body: bytes, request_id: bytes, headers: http1.Headers, deadline: int
    ) -> None:
        """`headers`: without those that belong to one connection."""
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
        """Attempt `number` of the dispatcher's request `request`, sent to `worker` at `now`."""
        self.request = request
        self.number = number
        self.forwarded = forwarded
        self.worker = worker
        self.sent_at = now
        self.written = False  # to the connection
        self.event_received = False  # a job event, before or after the 202
        self.started = False  # as a job event reported
        self.accepted = False  # by a 202
        self.ended = False
        self.not_sent = False
        self.opened_connection = False  # no idle connection was there
        self.started_at = 0  # when its start was reported
        self.status = 0  # of the worker's response, where it is not a 202
        self.connections: WorkerConnections | None = None
        self.timeout_timer: Timer | None = None
        self.connection: CallConnection | None = None  # while the response is awaited

    def connecting(self, connection: CallConnection) -> None:
        """A connection is opened for it, which ends with it."""
        self.connection = connection
        self.opened_connection = True

    @property
    def key(self) -> tuple[bytes, str]:
        """A worker holds at most one attempt of a request at a time."""
        return self.forwarded.id, self.worker

    @property
    def log_fields(self) -> dict[str, object]:
        """What identifies the attempt in a log line."""
        return {
            "request_id": self.forwarded.id.decode("latin-1"),
            "attempt": self.number,
            "worker": self.worker,
        }
