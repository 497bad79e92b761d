"""Requests and their attempts. Records only: the policy decides what becomes of them."""

from bisect import bisect_left, bisect_right, insort

from . import interface
from .workers import Worker

AttemptEvent = interface.AttemptStarted | interface.AttemptProgressed | interface.AttemptEnded
NOT_SENT = interface.AttemptResult.NOT_SENT


class Attempt:
    """One send of a request to a worker. Times are microseconds."""

    def __init__(self, worker: Worker, sent_at: int) -> None:
        """An attempt that goes out to `worker` now."""
        self.worker = worker
        self.sent_at = sent_at
        self.started_at = 0
        """0 until the worker reports the start."""
        self.result = ""
        """An `AttemptResult` once it has ended."""
        self.last_report_at = sent_at
        self.in_flight_before = int(worker.in_flight_slots)
        """Own slots in flight at the worker before this attempt."""


class PendingRequest:
    """A request, its attempts, and the first of them that may have run. Times are microseconds."""

    def __init__(
        self,
        request: interface.Request,
        request_class: interface.RequestClass,
        is_long: bool,
        deadline: int,
        expected_work: int,
    ) -> None:
        """`expected_work`: the work hint, or what the class's requests took of late (microseconds)."""
        self.id = request.request
        self.request_class = request_class
        self.expected_work = expected_work
        self.is_long = is_long
        self.deadline = deadline
        self.objective_deadline = deadline
        """An answer is late after this."""
        self.latest_start = deadline
        """Not started by then, it cannot meet the objective."""
        self.slots = request.slots
        self.without_hint = not request.work_hint
        self.attempts: list[Attempt] = []
        self.attempts_in_flight = 0
        self.attempt_count = 0
        """All attempts but those that ended without being sent."""
        self.finished = False
        self.queued = False
        self.work_confirmed = False
        """A worker has run it, so its hint counts in the statistics."""
        self.prefers_remote = False
        """Its first attempt goes to another zone."""
        self.first_possibly_run: Attempt | None = None
        """The first attempt that is in flight or may have run."""

    def add_attempt(self, attempt: Attempt) -> None:
        """Count an attempt that goes out now, here and at its worker."""
        self.attempts.append(attempt)
        self.attempts_in_flight += 1
        self.attempt_count += 1
        self.first_possibly_run = self.first_possibly_run or attempt
        attempt.worker.add_attempt(self.slots, self.is_long)

    def end_attempt(self, attempt: Attempt, result: str) -> None:
        """Note the `AttemptResult` of an attempt in flight."""
        attempt.result = result
        self.attempts_in_flight -= 1
        self.attempt_count -= result == NOT_SENT
        self.first_possibly_run = next((a for a in self.attempts if a.result not in interface.NEVER_RAN), None)
        attempt.worker.remove_attempt(self.slots, self.is_long, attempt.started_at > 0)

    def running_attempts(self) -> list[Attempt]:
        """The attempts that have started and not ended."""
        return [attempt for attempt in self.attempts if attempt.started_at and not attempt.result]

    def silent_attempts(self, worker: Worker, before: int) -> list[Attempt]:
        """Attempts in flight at the worker of which it has reported nothing since `before` (microseconds)."""
        return [a for a in self.attempts if a.worker is worker and not a.result and a.last_report_at < before]


class PendingRequests(dict[int, PendingRequest]):
    """The requests that are not answered or have attempts in flight, by number."""

    def __init__(self) -> None:
        """No request is pending."""
        super().__init__()
        self._unanswered_work: list[int] = []  # sorted

    def add(self, request: PendingRequest) -> None:
        """Take in a request that is not answered."""
        self[request.id] = request
        insort(self._unanswered_work, request.expected_work)

    def finish(self, request: PendingRequest) -> None:
        """Note that it is answered, or open elsewhere; it stays while attempts are in flight."""
        if not request.finished:
            request.finished = True
            del self._unanswered_work[bisect_left(self._unanswered_work, request.expected_work)]
        if not request.attempts_in_flight:
            self.pop(request.id, None)

    def total_work(self, at_least: float) -> float:
        """The expected work of all that are not answered (microseconds); each counts `at_least` that."""
        small = bisect_right(self._unanswered_work, at_least)
        return small * at_least + sum(self._unanswered_work[small:])

    def total_work_in_order(self, at_least: float) -> float:
        """The same, rounded as a sum over the requests in the order in which they came."""
        return sum(max(request.expected_work, at_least) for request in self.values() if not request.finished)

    def attempt_of(self, event: AttemptEvent) -> tuple[PendingRequest, Attempt] | None:
        """The attempt in flight that the event is about, and its request; None if there is no such attempt."""
        request = self.get(event.request)
        if request is None or event.attempt >= len(request.attempts) or request.attempts[event.attempt].result:
            return None
        return request, request.attempts[event.attempt]
