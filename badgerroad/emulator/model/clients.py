"""Open-loop clients, and the front-end load balancer that spreads them over the dispatchers of their zone."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import pi, sin
from typing import NamedTuple, Protocol

from badgerroad.emulator.model.kernel import SEC, Draws, Kernel, ScheduledCall
from badgerroad.emulator.model.rule_checker import FAILED, REFUSED, SERVED

UNREACHABLE, BROKEN, GAVE_UP = "unreachable", "broken", "gave up"
# Length of the windows into which arrivals are grouped. The window with the lowest share of weight served in time is
# part of the report's score.
WINDOW_US = 10 * SEC


class RequestClass(NamedTuple):
    """A request class as seen by clients. Times are in microseconds; `work` is the mean work of a job at speed 1."""

    name: str
    share: float
    work: float
    cv: float
    slots: tuple[float, ...]  # shares of jobs with 1, 2, 4, ... slots
    memory: tuple[float, float]
    latency_objective: int
    objective_per_work: float
    deadline: int
    priority_weight: float
    semantics: str
    group: str
    dedup_window: int

    @property
    def mean_slots(self) -> float:
        """The mean number of slots of a job."""
        return sum(share * (1 << index) for index, share in enumerate(self.slots)) / sum(self.slots)


class ClientJob:
    """One job of a client, over all its tries."""

    __slots__ = (
        "number",
        "class_index",
        "zone",
        "work",
        "slots",
        "memory",
        "hint",
        "key",
        "arrived_at",
        "tries",
        "outcome",
        "duration",
        "attempts",
    )

    def __init__(
        self,
        number: int,
        class_index: int,
        zone: int,
        work: float,
        slots: int,
        memory: float,
        hint: int,
        arrived_at: int,
    ) -> None:
        """`work` is in core-microseconds at speed 1; `arrived_at` is in microseconds of the run."""
        self.number, self.class_index, self.zone, self.work = number, class_index, zone, work
        self.slots, self.memory, self.hint, self.arrived_at = slots, memory, hint, arrived_at
        self.key = f"k{number}"
        self.tries, self.outcome, self.duration = 0, "", 0


class Try:
    """One HTTP request for a job; each try of the job has a different request id."""

    __slots__ = ("id", "job", "dispatcher", "sent", "until", "timer", "ended", "deadline")

    def __init__(self, request_id: str, job: ClientJob, dispatcher: int, sent: int, until: int, deadline: int) -> None:
        """Times are in microseconds; the client stops waiting at `until`, the deadline of the class is `deadline`."""
        self.id, self.job, self.dispatcher, self.sent, self.until = request_id, job, dispatcher, sent, until
        # Request-Timeout-Ms is the time left until this deadline; an impatient client stops waiting earlier.
        self.deadline = deadline
        self.timer: ScheduledCall | None = None
        self.ended = False


class Transport(Protocol):
    """Delivers requests of clients to the dispatchers."""

    def submit(self, client_try: Try) -> None:
        """Send a try to its dispatcher; `Clients.try_ended` is called with the outcome."""

    def abandon(self, client_try: Try) -> None:
        """Close the connection of a try whose client has stopped waiting."""


class FrontEnd:
    """Front-end load balancer of one zone: round robin over the dispatchers that it considers up."""

    def __init__(
        self, kernel: Kernel, draws: Draws, dispatchers: Sequence[int], detection_delay: tuple[float, float]
    ) -> None:
        """`detection_delay`: range of the seconds after which the load balancer detects a dead dispatcher."""
        self.kernel, self.draws, self.detection_delay = kernel, draws, detection_delay
        self.considered_up: dict[int, bool] = {dispatcher: False for dispatcher in dispatchers}
        self._next_index = 0

    def pick(self) -> int | None:
        """Return the dispatcher for the next connection, or None if all are considered down."""
        available = [dispatcher for dispatcher, is_up in self.considered_up.items() if is_up]
        self._next_index += 1
        return available[self._next_index % len(available)] if available else None

    def dispatcher_ready(self, dispatcher: int) -> None:
        """Add a dispatcher that has reported ready."""
        if dispatcher in self.considered_up:
            self.considered_up[dispatcher] = True

    def dispatcher_died(self, dispatcher: int, is_up: Callable[[int], bool]) -> None:
        """Remove a dead dispatcher after the detection delay, unless it is up again by then."""

        def detected() -> None:
            """Mark the dispatcher as down if it still is."""
            if dispatcher in self.considered_up and not is_up(dispatcher):
                self.considered_up[dispatcher] = False

        self.kernel.after(self.draws.uniform(*self.detection_delay) * SEC, detected)

    def dispatcher_stopping(self, dispatcher: int) -> None:
        """Remove a dispatcher that stops as planned; new connections still arrive for 0.2 to 0.4 s."""
        if dispatcher in self.considered_up:
            self.kernel.after(self.draws.uniform(0.2, 0.4) * SEC, self.considered_up.__setitem__, dispatcher, False)


class ClassCounts:
    """Result counts of one request class."""

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self.asked = self.served = self.in_time = self.refused = self.failed = self.lost = 0
        self.weight_requested = self.weight_served = 0.0
        self.latencies: list[int] = []


class Clients:
    """Simulates all clients: arrivals, retries and the outcome of each job."""

    def __init__(
        self,
        kernel: Kernel,
        draws: Callable[[str], Draws],
        classes: list[RequestClass],
        traffic: list[float],
        rate: float,
        length: int,
        front_ends: list[FrontEnd],
        transport: Transport,
        retries: int,
        backoff: int,
        retry_after_share: float,
        impatient_share: float,
        hint_noise: float,
    ) -> None:
        """`rate`: jobs per second. `traffic`: share of the arrivals of each zone, relative to the others."""
        self.kernel, self.classes, self.traffic, self.rate, self.length = kernel, classes, traffic, rate, length
        self.front_ends, self.transport = front_ends, transport
        self.retries, self.backoff, self.retry_after_share, self.impatient_share = (
            retries,
            backoff,
            retry_after_share,
            impatient_share,
        )
        self.hint_noise = hint_noise
        self.arrival_draws, self.size_draws, self.behaviour_draws = draws("arrivals"), draws("sizes"), draws("habits")
        self.swing, self.period, self.surge = 0.0, 20 * SEC, 1.0
        self.heavy_tails: dict[int, tuple[float, float]] = {}  # class index: (share of jobs, work multiplier)
        self.class_counts = [ClassCounts() for _ in classes]
        # By number of the arrival window: [priority weight requested, priority weight served in time].
        self.windows: dict[int, list[float]] = {}
        self.jobs = self.tries = self.retried = 0
        self.open_jobs = 0
        self._next_arrival = 0.0
        self.on_finish: Callable[[ClientJob, str], None] = lambda job, outcome: None

    # Arrivals.

    def begin(self) -> None:
        """Schedule the first arrival."""
        if self.rate > 0:
            self._schedule_arrival()

    def begin_trace(self, rows: list[tuple[int, int, float, int, int]]) -> None:
        """Schedule arrivals from a trace; each row is (time, class, work, slots, zone or -1 for a random one)."""
        for at, cls, work, slots, zone in rows:
            if at < self.length:
                self.kernel.at(at, self._arrive, cls, work, slots, zone)

    def _schedule_arrival(self) -> None:
        # The arrivals are a Poisson process with a variable rate. Candidates are drawn at the highest rate, and each is
        # kept with probability rate / highest rate (thinning, Lewis and Shedler 1979).
        max_rate = self.rate * (1 + self.swing) * max(self.surge, 1.0)
        self._next_arrival += self.arrival_draws.exponential(
            SEC / max_rate
        )  # the interval is added to the exact time of the previous candidate, not to the rounded event time
        self.kernel.at(int(self._next_arrival), self._consider_arrival, max_rate)

    def _consider_arrival(self, max_rate: float) -> None:
        if self._next_arrival >= self.length:
            return
        rate = self.rate * (1 + self.swing * sin(2 * pi * self._next_arrival / self.period)) * self.surge
        if self.arrival_draws.random() * max_rate < rate:
            self._arrive(self.size_draws.index([k.share for k in self.classes]), 0.0, 0, -1)
        self._schedule_arrival()

    def _arrive(self, cls: int, work: float, slots: int, zone: int) -> None:
        request_class, draws = self.classes[cls], self.size_draws
        zone = draws.index(self.traffic) if zone < 0 else zone
        drawn_work, share = draws.lognormal(request_class.work, request_class.cv), draws.random()
        drawn_slots = 1 << draws.index(list(request_class.slots))
        memory = draws.uniform(*request_class.memory)
        noise = draws.lognormal(1.0, abs(self.hint_noise))
        work, slots = work or max(drawn_work, 1000.0), slots or drawn_slots
        hint = max(int(work * noise), 1) if self.hint_noise >= 0 else 0
        if cls in self.heavy_tails and share < self.heavy_tails[cls][0]:
            work *= self.heavy_tails[cls][1]  # after the computation of the hint, which does not include the multiplier
        self.jobs += 1
        job = ClientJob(self.jobs, cls, zone, work, slots, round(memory * slots, 3), hint, self.kernel.now)
        self.open_jobs += 1
        counts = self.class_counts[cls]
        counts.asked += 1
        counts.weight_requested += request_class.priority_weight * work
        self.windows.setdefault(job.arrived_at // WINDOW_US, [0.0, 0.0])[0] += request_class.priority_weight * work
        self._send_try(job)

    # Tries.

    def _send_try(self, job: ClientJob) -> None:
        request_class, now = self.classes[job.class_index], self.kernel.now
        deadline = job.arrived_at + request_class.deadline
        if now >= deadline - 1000:
            self._finish(job, FAILED)
            return
        job.tries += 1
        self.tries += 1
        self.retried += job.tries > 1
        dispatcher = self.front_ends[job.zone].pick()
        client_try = Try(
            f"{job.number:x}t{job.tries}", job, -1 if dispatcher is None else dispatcher, now, deadline, deadline
        )
        if self.behaviour_draws.random() < self.impatient_share:
            client_try.until = now + (deadline - now) // 2
        client_try.timer = self.kernel.at(client_try.until, self._give_up, client_try)
        if dispatcher is None:
            self.try_ended(client_try, UNREACHABLE)
        else:
            self.transport.submit(client_try)

    def _give_up(self, client_try: Try) -> None:
        if not client_try.ended:
            self.transport.abandon(client_try)
            self.try_ended(client_try, GAVE_UP)

    def try_ended(self, client_try: Try, outcome: str, retry_after: int = 0) -> None:
        """Record the outcome of a try, and retry the job or finish it.

        `retry_after` is in microseconds; 0 if the response had none.
        """
        if client_try.ended:
            return
        client_try.ended = True
        if client_try.timer is not None:
            client_try.timer.cancel()
        job = client_try.job
        request_class = self.classes[job.class_index]
        if outcome == SERVED:
            self._finish(job, SERVED)
            return
        may_retry = (
            outcome in (REFUSED, UNREACHABLE)
            or request_class.semantics == "retryable"
            or request_class.semantics == "dedup"
            and request_class.group == "all"
            and self.kernel.now < job.arrived_at + request_class.dedup_window
        )
        if outcome == GAVE_UP or not may_retry or job.tries > self.retries:
            self._finish(job, outcome)
            return
        delay = self.backoff
        if retry_after and self.behaviour_draws.random() < self.retry_after_share:
            delay = max(delay, retry_after)
        self.kernel.after(delay, self._send_try, job)

    def _finish(self, job: ClientJob, outcome: str) -> None:
        request_class, counts, duration = (
            self.classes[job.class_index],
            self.class_counts[job.class_index],
            self.kernel.now - job.arrived_at,
        )
        job.outcome, job.duration = outcome, duration
        self.open_jobs -= 1
        if outcome == SERVED:
            counts.served += 1
            counts.latencies.append(duration)
            if duration <= min(
                request_class.latency_objective + request_class.objective_per_work * job.work, request_class.deadline
            ):
                counts.in_time += 1
                counts.weight_served += request_class.priority_weight * job.work
                self.windows[job.arrived_at // WINDOW_US][1] += request_class.priority_weight * job.work
        elif outcome == REFUSED:
            counts.refused += 1
        elif outcome in (UNREACHABLE, BROKEN):
            counts.lost += 1
        else:
            counts.failed += 1
        self.on_finish(job, outcome)
