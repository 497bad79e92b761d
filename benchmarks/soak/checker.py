"""Checks the rules from what workers and clients see; the dispatchers' own statements are not used."""

import asyncio
import enum
import math
import time
from dataclasses import dataclass, field

ANSWER_TOLERANCE_S = 0.5 + 0.05  # an answer later than this after the client's time counts as none
DISCONNECT_TOLERANCE_S = 0.1 + 0.05
REMOVAL_TOLERANCE_S = 0.5 + 0.05  # `stopSendingWithinUs` of the settings
NOTIFICATION_DEADLINE_S = 6.0  # a change counts as reported this long after discovery had it and could be reached
CLOSE_TOLERANCE_S = 0.05
STALL_CHECK_INTERVAL_S = 0.01
KILL_TOLERANCE_S = 0.05  # a request that arrives later than this before SIGKILL need not be answered


class Rule(enum.Enum):
    """The rules that a soak checks."""

    LOST = "a request got no final answer"
    LATE = "a final answer came too late"
    SECOND_ANSWER = "a request got a second answer"
    WRONG_RESULT = "an answer 200 was not the result that a worker made"
    DUPLICATE = "an attempt reached a worker that still ran an earlier one"
    SECOND_COPY = "two attempts ran at once although hedging is not allowed"
    UNSAFE_REPEAT = "a request that must not be repeated was sent again, or rejected, after it may have run"
    AFTER_DISCONNECT = "an attempt began after its client had left"
    REMOVED_WORKER = "an attempt began at a worker after it was reported as draining or removed"
    NOT_READY = "a started process was not ready in time"
    CRASH = "a process ended by itself"
    MEMORY = "the processes of a dispatcher took more memory than its limit"


class EndOfAttempt(enum.Enum):
    """How a worker's run of an attempt ended; `RUNNING` while it has not."""

    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    NEVER_STARTED = "never started"


@dataclass
class Attempt:
    """An attempt as its worker sees it."""

    worker: str
    at: float
    state: EndOfAttempt = EndOfAttempt.RUNNING
    accepted: bool = False  # the 202 has left the worker, so that the end of the connection no longer ends the job


@dataclass
class Request:
    """A client's request."""

    id: str
    class_name: str
    dispatcher: int
    sent_at: float
    time_s: float
    left_at: float | None = None
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(frozen=True)
class Violation:
    """A broken rule; `at_s` counts from the start of the soak."""

    rule: Rule
    at_s: float
    detail: str


class Checker:
    """Records requests, attempts and violations of one soak."""

    def __init__(self, hedging):
        """`hedging`: whether the settings allow two attempts of a request at once."""
        self.hedging = hedging
        self.started_at = time.monotonic()
        self.requests = {}
        self.violations = []
        self.statuses = {}
        self.longest_stall_s = 0.0  # of the soak's own process, which makes what it sees late
        self.removal_reported_at = {}  # by (dispatcher, worker): when discovery wrote it
        self.removal_due_at = {}  # by worker: when it counts as reported, whether or not it was

    def report(self, rule, detail):
        """Record a violation."""
        self.violations.append(Violation(rule, time.monotonic() - self.started_at, detail))

    async def watch_stalls(self, end_at):
        """Measure how late this process runs until `end_at`."""
        while time.monotonic() < end_at:
            due_at = time.monotonic() + STALL_CHECK_INTERVAL_S
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            self.longest_stall_s = max(self.longest_stall_s, time.monotonic() - due_at)

    def attempt_received(self, worker, request_id):
        """Record and check an attempt whose last byte has reached its worker; None if no client sent the request."""
        request = self.requests.get(request_id)
        if request is None:
            return None
        now = time.monotonic()
        self._check_running(request, worker)
        if request.left_at is not None and now - request.left_at > DISCONNECT_TOLERANCE_S:
            self.report(Rule.AFTER_DISCONNECT, f"{request_id} at {worker}, {now - request.left_at:.3f} s after")
        written_at = self.removal_reported_at.get((request.dispatcher, worker), math.inf)
        reported_at = min(written_at, self.removal_due_at.get(worker, math.inf))
        if now - reported_at > REMOVAL_TOLERANCE_S:
            self.report(Rule.REMOVED_WORKER, f"{request_id} at {worker}, {now - reported_at:.3f} s after")
        if request.class_name == "amend" and may_have_run(request):
            self.report(Rule.UNSAFE_REPEAT, f"{request_id} was sent again, to {worker}")
        attempt = Attempt(worker, now)
        request.attempts.append(attempt)
        return attempt

    def removal_begins(self, worker, reachable):
        """Record that a worker drains or leaves, and whether discovery can be reached."""
        self.removal_due_at[worker] = time.monotonic() + NOTIFICATION_DEADLINE_S if reachable else math.inf

    def discovery_becomes_unreachable(self):
        """Suspend the deadlines that are not over."""
        now = time.monotonic()
        for worker, due_at in self.removal_due_at.items():
            if due_at > now:
                self.removal_due_at[worker] = math.inf

    def discovery_becomes_reachable(self):
        """Start the suspended deadlines anew."""
        for worker, due_at in self.removal_due_at.items():
            if due_at == math.inf:
                self.removal_due_at[worker] = time.monotonic() + NOTIFICATION_DEADLINE_S

    def _check_running(self, request, worker):
        """Report attempts that still run, except those whose connection has ended before their 202.

        The end of a connection may be read a little after a message that was sent later on another connection.
        """
        for earlier in request.attempts:
            if earlier.state is EndOfAttempt.RUNNING:
                delay_s = 0 if earlier.accepted else CLOSE_TOLERANCE_S
                report = self._report_running
                asyncio.get_running_loop().call_later(delay_s, report, request, worker, earlier, earlier.accepted)

    def _report_running(self, request, worker, earlier, was_accepted):
        if earlier.state is EndOfAttempt.CANCELLED and not was_accepted and not earlier.accepted:
            return
        if earlier.worker == worker:
            self.report(Rule.DUPLICATE, f"{request.id} at {worker}")
        elif not self.hedging:
            self.report(Rule.SECOND_COPY, f"{request.id} at {worker}, still runs at {earlier.worker}")

    def answer_received(self, request, status, body):
        """Check the answer to a request."""
        self.statuses[status] = self.statuses.get(status, 0) + 1
        late_s = time.monotonic() - request.sent_at - request.time_s
        if late_s > ANSWER_TOLERANCE_S:
            self.report(Rule.LATE, f"{request.id}: {status}, {late_s:.3f} s after its time")
        if status == 200 and body != result_of(request.id):
            self.report(Rule.WRONG_RESULT, f"{request.id}: {body!r}")
        if status == 503 and request.class_name == "amend" and may_have_run(request):
            self.report(Rule.UNSAFE_REPEAT, f"{request.id} was rejected after it may have run")


def may_have_run(request):
    """Whether an attempt of the request may have run."""
    return any(attempt.state is not EndOfAttempt.NEVER_STARTED for attempt in request.attempts)


def result_of(request_id):
    """Return the result that a worker makes for a request."""
    return f"made {request_id}".encode()
