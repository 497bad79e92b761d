"""Records of pending requests and their attempts. The policy decides how they proceed."""

from bisect import bisect_left, bisect_right, insort

from . import interface
from .workers import Worker

AttemptEvent = interface.AttemptStarted | interface.AttemptProgressed | interface.AttemptEnded
NOT_SENT = interface.AttemptResult.NOT_SENT


class Attempt:
    """A send of a request to a worker. Times are in microseconds."""

    def __init__(self, worker: Worker, sent_at: int) -> None:
        """Create the record before the attempt is counted at `worker`, as `in_flight_before` is taken from it."""
        self.worker = worker
        self.sent_at = sent_at
        self.started_at = 0
        """When the worker reported the start; 0 before that."""
        self.result = ""
        """The `AttemptResult`; empty while the attempt is in flight."""
        self.last_report_at = sent_at
        self.in_flight_before = int(worker.in_flight_slots)
        """Slots of this dispatcher's requests in flight at the worker before this attempt."""


class PendingRequest:
    """A request with its attempts. Times are in microseconds."""

    def __init__(
        self,
        request: interface.Request,
        request_class: interface.RequestClass,
        is_long: bool,
        deadline: int,
        expected_work: int,
    ) -> None:
        """`expected_work` is the work hint or, without one, the mean run time of the class (microseconds)."""
        self.id = request.request
        self.request_class = request_class
        self.expected_work = expected_work
        self.is_long = is_long
        self.deadline = deadline
        self.objective_deadline = deadline
        """Time after which an answer misses the latency objective."""
        self.latest_start = deadline
        """Latest time of a start with which the request can still meet its latency objective."""
        self.slots = request.slots
        self.without_hint = not request.work_hint
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.attempt_count = 0
        """Number of attempts of the request, without those that ended as NOT_SENT."""
        self.finished = False
        self.queued = False
        self.work_confirmed = False
        """Whether a worker has run the request, so that its hint is part of the statistics."""
        self.prefers_remote = False
        """Whether the first attempt goes to a remote zone."""
        self.first_possibly_run: Attempt | None = None
        """The first attempt that is in flight or may have run; None if there is none."""

    def add_attempt(self, attempt: Attempt) -> None:
        """Add an attempt that is being sent, and count it at its worker."""
        self.attempts.append(attempt)
        self.attempts_in_flight += 1
        self.attempt_count += 1
        self.first_possibly_run = self.first_possibly_run or attempt
        attempt.worker.add_attempt(self.slots, self.is_long)

    def end_attempt(self, attempt: Attempt, result: str) -> None:
        """Set the `AttemptResult` of an attempt in flight, and remove the attempt from its worker's counts."""
        attempt.result = result
        self.attempts_in_flight -= 1
        self.attempt_count -= result == NOT_SENT
        self.first_possibly_run = next((a for a in self.attempts if a.result not in interface.NEVER_RAN), None)
        attempt.worker.remove_attempt(self.slots, self.is_long, attempt.started_at > 0)

    def running_attempts(self) -> list[Attempt]:
        """Return the attempts that have started and not ended."""
        return [attempt for attempt in self.attempts if attempt.started_at and not attempt.result]

    def silent_attempts(self, worker: Worker, before: int) -> list[Attempt]:
        """Return the attempts in flight at the worker whose last report is older than `before` (microseconds)."""
        return [a for a in self.attempts if a.worker is worker and not a.result and a.last_report_at < before]


class PendingRequests(dict[int, PendingRequest]):
    """Requests that are unanswered or have attempts in flight, by number."""

    def __init__(self) -> None:
        """Starts without requests."""
        super().__init__()
        self._unanswered_work: list[int] = []  # expected work of the unanswered requests, ascending

    def add(self, request: PendingRequest) -> None:
        """Add an unanswered request."""
        self[request.id] = request
        insort(self._unanswered_work, request.expected_work)

    def finish(self, request: PendingRequest) -> None:
        """Mark the request as finished, and remove it unless it has attempts in flight.

        The request was answered, its client disconnected, or another process has taken it over.
        """
        if not request.finished:
            request.finished = True
            del self._unanswered_work[bisect_left(self._unanswered_work, request.expected_work)]
        if not request.attempts_in_flight:
            self.pop(request.id, None)

    def total_work(self, min_work: float) -> float:
        """Return the expected work of all unanswered requests (microseconds), counting at least `min_work` for each."""
        small = bisect_right(self._unanswered_work, min_work)
        return small * min_work + sum(self._unanswered_work[small:])

    def total_work_in_order(self, min_work: float) -> float:
        """Return the same total as `total_work`, but summed in order of arrival, which may round differently."""
        return sum(max(request.expected_work, min_work) for request in self.values() if not request.finished)

    def attempt_of(self, event: AttemptEvent) -> tuple[PendingRequest, Attempt] | None:
        """Return the request and the attempt in flight that the event refers to; None if there is no such attempt."""
        request = self.get(event.request)
        if request is None or event.attempt >= len(request.attempts) or request.attempts[event.attempt].result:
            return None
        return request, request.attempts[event.attempt]
