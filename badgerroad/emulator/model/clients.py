"""Open-loop clients, and the plain front that spreads them over the dispatchers of their zone."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from math import pi, sin
from typing import NamedTuple, Protocol

from badgerroad.emulator.model.kernel import SEC, Draws, Entry, Kernel
from badgerroad.emulator.model.rule_checker import FAILED, REFUSED, SERVED

UNREACHABLE, BROKEN, GAVE_UP = "unreachable", "broken", "gave up"
WINDOW = 10 * SEC  # the worst of these counts in the figure


class JobKind(NamedTuple):
    """One class as clients use it: times in microseconds, work a mean at speed 1."""

    name: str
    share: float
    work: float
    cv: float
    slots: tuple[float, ...]  # shares of jobs with 1, 2, 4, ... slots
    memory: tuple[float, float]
    aim: int
    stretch: float
    deadline: int
    worth: float
    semantics: str
    group: str
    window: int

    @property
    def mean_slots(self) -> float:
        """The mean number of slots of a job."""
        return sum(s * (1 << n) for n, s in enumerate(self.slots)) / sum(self.slots)


class ClientJob:
    """What one client wants, over all its tries."""

    __slots__ = (
        "number",
        "class_index",
        "zone",
        "work",
        "slots",
        "memory",
        "hint",
        "key",
        "begun",
        "tries",
        "ended",
        "took",
        "attempts",
    )

    def __init__(
        self, number: int, class_index: int, zone: int, work: float, slots: int, memory: float, hint: int, begun: int
    ) -> None:
        """`work` in core-microseconds, `begun` in microseconds of the run."""
        self.number, self.class_index, self.zone, self.work = number, class_index, zone, work
        self.slots, self.memory, self.hint, self.begun = slots, memory, hint, begun
        self.key = f"k{number}"
        self.tries, self.ended, self.took = 0, "", 0


class Try:
    """One request on the wire: `id` is fresh, `until` is when its client gives it up (microseconds)."""

    __slots__ = ("id", "job", "dispatcher", "sent", "until", "timer", "over", "deadline")

    def __init__(self, request_id: str, job: ClientJob, dispatcher: int, sent: int, until: int, deadline: int) -> None:
        """Times in microseconds: `until` the client waits, its class gives up at `deadline`."""
        self.id, self.job, self.dispatcher, self.sent, self.until = request_id, job, dispatcher, sent, until
        self.deadline = deadline  # what its Request-Timeout-Ms says; an impatient client leaves before
        self.timer: Entry | None = None
        self.over = False


class Transport(Protocol):
    """What carries a client's requests to the dispatchers."""

    def submit(self, client_try: Try) -> None:
        """Carry a try to its dispatcher; `Clients.ended` hears what became of it."""

    def abandon(self, client_try: Try) -> None:
        """Its client leaves."""


class Front:
    """One per zone: spreads requests in turn over the dispatchers that it believes to be up."""

    def __init__(self, kernel: Kernel, draws: Draws, dispatchers: Sequence[int], notice: tuple[float, float]) -> None:
        """`notice`: seconds after which the front notices a dead dispatcher, a range."""
        self.kernel, self.draws, self.notice = kernel, draws, notice
        self.believed: dict[int, bool] = {d: False for d in dispatchers}
        self._turn = 0

    def pick(self) -> int | None:
        """The dispatcher of the next connection, or None if all are known to be down."""
        up = [d for d, ok in self.believed.items() if ok]
        self._turn += 1
        return up[self._turn % len(up)] if up else None

    def admit(self, dispatcher: int) -> None:
        """A dispatcher has said that it is ready."""
        if dispatcher in self.believed:
            self.believed[dispatcher] = True

    def died(self, dispatcher: int, is_up: Callable[[int], bool]) -> None:
        """It takes some seconds to notice that; one that is back by then was never missed."""

        def noticed() -> None:
            """The front has noticed that the dispatcher is down."""
            if dispatcher in self.believed and not is_up(dispatcher):
                self.believed[dispatcher] = False

        self.kernel.after(self.draws.uniform(*self.notice) * SEC, noticed)

    def stops(self, dispatcher: int) -> None:
        """A planned stop is noticed sooner: for 0.2 to 0.4 s connections still arrive."""
        if dispatcher in self.believed:
            self.kernel.after(self.draws.uniform(0.2, 0.4) * SEC, self.believed.__setitem__, dispatcher, False)


class Tally:
    """Counts of one class."""

    def __init__(self) -> None:
        """All counts are zero."""
        self.asked = self.served = self.in_time = self.refused = self.failed = self.lost = 0
        self.worth = self.worth_served = 0.0
        self.took: list[int] = []


class Clients:
    """All clients: arrivals, retries, and what became of each request."""

    def __init__(
        self,
        kernel: Kernel,
        draws: Callable[[str], Draws],
        kinds: list[JobKind],
        traffic: list[float],
        rate: float,
        length: int,
        fronts: list[Front],
        transport: Transport,
        retries: int,
        backoff: int,
        honour: float,
        impatient: float,
        hint_noise: float,
    ) -> None:
        """`rate`: jobs a second. `traffic`: each zone's part of them."""
        self.kernel, self.kinds, self.traffic, self.rate, self.length = kernel, kinds, traffic, rate, length
        self.fronts, self.transport = fronts, transport
        self.retries, self.backoff, self.honour, self.impatient = retries, backoff, honour, impatient
        self.hint_noise = hint_noise
        self.arrivals, self.sizes, self.habits = draws("arrivals"), draws("sizes"), draws("habits")
        self.swing, self.period, self.surge = 0.0, 20 * SEC, 1.0
        self.heavy: dict[int, tuple[float, float]] = {}  # class: (share, times the work)
        self.tallies = [Tally() for _ in kinds]
        self.windows: dict[int, list[float]] = {}  # by time of arrival: worth asked, worth served
        self.jobs = self.tries = self.retried = 0
        self.open = 0
        self._due = 0.0
        self.finished: Callable[[ClientJob, str], None] = lambda job, kind: None

    # Arrivals.

    def begin(self) -> None:
        """Start the arrivals."""
        if self.rate > 0:
            self._next()

    def begin_trace(self, rows: list[tuple[int, int, float, int, int]]) -> None:
        """(time, class, work, slots, zone or -1)."""
        for at, cls, work, slots, zone in rows:
            if at < self.length:
                self.kernel.at(at, self._arrive, cls, work, slots, zone)

    def _next(self) -> None:
        # Thinning of a Poisson process at the highest rate (Lewis and Shedler 1979).
        top = self.rate * (1 + self.swing) * max(self.surge, 1.0)
        self._due += self.arrivals.exponential(SEC / top)  # from the last one's time, not from when it was played
        self.kernel.at(int(self._due), self._maybe, top)

    def _maybe(self, top: float) -> None:
        if self._due >= self.length:
            return
        rate = self.rate * (1 + self.swing * sin(2 * pi * self._due / self.period)) * self.surge
        if self.arrivals.random() * top < rate:
            self._arrive(self.sizes.index([k.share for k in self.kinds]), 0.0, 0, -1)
        self._next()

    def _arrive(self, cls: int, work: float, slots: int, zone: int) -> None:
        kind, draw = self.kinds[cls], self.sizes
        zone = draw.index(self.traffic) if zone < 0 else zone
        drawn, share = draw.lognormal(kind.work, kind.cv), draw.random()
        places = 1 << draw.index(list(kind.slots))
        memory = draw.uniform(*kind.memory)
        noise = draw.lognormal(1.0, abs(self.hint_noise))
        work, slots = work or max(drawn, 1000.0), slots or places
        hint = max(int(work * noise), 1) if self.hint_noise >= 0 else 0
        if cls in self.heavy and share < self.heavy[cls][0]:
            work *= self.heavy[cls][1]  # the hint knows nothing of it
        self.jobs += 1
        job = ClientJob(self.jobs, cls, zone, work, slots, round(memory * slots, 3), hint, self.kernel.now)
        self.open += 1
        tally = self.tallies[cls]
        tally.asked += 1
        tally.worth += kind.worth * work
        self.windows.setdefault(job.begun // WINDOW, [0.0, 0.0])[0] += kind.worth * work
        self._try(job)

    # Tries.

    def _try(self, job: ClientJob) -> None:
        kind, now = self.kinds[job.class_index], self.kernel.now
        deadline = job.begun + kind.deadline
        if now >= deadline - 1000:
            self._finish(job, FAILED)
            return
        job.tries += 1
        self.tries += 1
        self.retried += job.tries > 1
        dispatcher = self.fronts[job.zone].pick()
        client_try = Try(
            f"{job.number:x}t{job.tries}", job, -1 if dispatcher is None else dispatcher, now, deadline, deadline
        )
        if self.habits.random() < self.impatient:
            client_try.until = now + (deadline - now) // 2
        client_try.timer = self.kernel.at(client_try.until, self._give_up, client_try)
        if dispatcher is None:
            self.ended(client_try, UNREACHABLE)
        else:
            self.transport.submit(client_try)

    def _give_up(self, client_try: Try) -> None:
        if not client_try.over:
            self.transport.abandon(client_try)
            self.ended(client_try, GAVE_UP)

    def ended(self, client_try: Try, kind: str, retry_after: int = 0) -> None:
        """What became of a try. `retry_after` in microseconds, 0 for no advice."""
        if client_try.over:
            return
        client_try.over = True
        if client_try.timer is not None:
            client_try.timer.cancel()
        job = client_try.job
        cls = self.kinds[job.class_index]
        if kind == SERVED:
            self._finish(job, SERVED)
            return
        again = (
            kind in (REFUSED, UNREACHABLE)
            or cls.semantics == "retryable"
            or cls.semantics == "dedup"
            and cls.group == "all"
            and self.kernel.now < job.begun + cls.window
        )
        if kind == GAVE_UP or not again or job.tries > self.retries:
            self._finish(job, kind)
            return
        wait = self.backoff
        if retry_after and self.habits.random() < self.honour:
            wait = max(wait, retry_after)
        self.kernel.after(wait, self._try, job)

    def _finish(self, job: ClientJob, kind: str) -> None:
        cls, tally, took = self.kinds[job.class_index], self.tallies[job.class_index], self.kernel.now - job.begun
        job.ended, job.took = kind, took
        self.open -= 1
        if kind == SERVED:
            tally.served += 1
            tally.took.append(took)
            if took <= min(cls.aim + cls.stretch * job.work, cls.deadline):
                tally.in_time += 1
                tally.worth_served += cls.worth * job.work
                self.windows[job.begun // WINDOW][1] += cls.worth * job.work
        elif kind == REFUSED:
            tally.refused += 1
        elif kind in (UNREACHABLE, BROKEN):
            tally.lost += 1
        else:
            tally.failed += 1
        self.finished(job, kind)
