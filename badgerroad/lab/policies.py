"""Baseline policies behind the module's interface, to hold the module against.

All of them keep the platform's rules on repeats, refusals and drains; what differs is the pick. `naive` keeps none:
it is there so that the referee has something to catch.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from badgerroad.errors import ArgumentError
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy

RETRY = 500_000  # before discovery is asked again after a failure


class Node:
    """What a dispatcher counts of a node from its own jobs alone."""

    __slots__ = ("info", "jobs", "work", "longs")

    def __init__(self, info: interface.Endpoint) -> None:
        """From its entry in the endpoint list."""
        self.info, self.jobs, self.work, self.longs = info, 0, 0.0, 0


class Job:
    """A request as a baseline keeps it."""

    __slots__ = ("request", "cls", "hint", "long", "deadline", "attempts", "done", "maybe")

    def __init__(self, r: interface.Request, cls: interface.RequestClass, deadline: int) -> None:
        """`deadline` in microseconds."""
        self.request, self.cls, self.hint, self.deadline = r.request, cls, max(r.work_hint, 1), deadline
        self.long = self.done = False
        self.attempts: list[tuple[Node, bool]] = []  # (node, still out)
        self.maybe: tuple[Node, int, int] | None = None  # the first attempt that may have run: node, time, number


class Baseline:
    """Rules and bookkeeping; `pick` chooses among ready nodes, None to hold the job."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        """As the decisions of the product."""
        self.settings, self.random = settings, Random(seed)
        self.nodes: dict[interface.WorkerId, Node] = {}
        self.ready: list[Node] = []
        self.jobs: dict[int, Job] = {}
        self.held: deque[Job] = deque()
        self.now, self.out, self.subscribed = 0, [], False
        self._timers: dict[int, Callable[[], None]] = {}

    out: list[interface.Action]

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]:
        """The actions after an event at `now` (microseconds)."""
        self.now = now
        if not self.subscribed and self.settings.must_subscribe:
            self.subscribed = True
            self.out.append(interface.Subscribe())
        if isinstance(event, interface.Request):
            self._request(event)
        elif isinstance(event, interface.AttemptEnded):
            self._outcome(event)
        elif isinstance(event, interface.EndpointList):
            self._list(event)
        elif isinstance(event, interface.Timer):
            self._timers.pop(event.token, lambda: None)()
        elif isinstance(event, interface.ClientDisconnected):
            job = self.jobs.get(event.request)
            if job is not None:
                self._cancel(job)
                self._end(job)
        out, self.out = self.out, []
        return out

    def after(self, delay: int, call: Callable[[], None]) -> None:
        """Call `call` after `delay` microseconds."""
        token = len(self._timers) + self.now * 1000
        while token in self._timers:
            token += 1
        self._timers[token] = call
        self.out.append(interface.SetTimer(delay, token))

    def _list(self, e: interface.EndpointList) -> None:
        if e.scope == interface.ListScope.FAILED:
            self.after(RETRY, lambda: self.out.append(interface.Subscribe()))
            return
        if e.scope != interface.ListScope.INCREMENTAL:
            named = {w.worker for w in e.entries}
            for node in self.nodes.values():
                if node.info.worker not in named:
                    node.info = node.info._replace(state=interface.WorkerState.GONE)
        for w in e.entries:
            if w.worker in self.nodes and self.nodes[w.worker].info.started_at == w.started_at:
                self.nodes[w.worker].info = w
            elif w.state == interface.WorkerState.GONE and w.worker in self.nodes:
                self.nodes[w.worker].info = self.nodes[w.worker].info._replace(state=interface.WorkerState.GONE)
            else:
                self.nodes[w.worker] = Node(w)
        self.ready = [n for n in self.nodes.values() if n.info.state == interface.WorkerState.READY]
        self._release()

    def _request(self, e: interface.Request) -> None:
        job = self.jobs[e.request] = Job(e, self.settings.classes[e.class_index], self.now + e.time_left)
        self.after(max(e.time_left - 2 * self.settings.tick, 1), lambda: self._give_up(job))
        self.arrived(job)
        self._place(job)

    def arrived(self, job: Job) -> None:
        """A request was taken."""

    def allowed(self, job: Job) -> list[Node]:
        """The ready nodes that rule 2 leaves."""
        if len(job.attempts) >= self.settings.max_attempts:
            return []
        if job.maybe is None or job.cls.semantics == interface.RetrySemantics.IDEMPOTENT:
            return self.ready
        first, sent, _ = job.maybe
        if (
            job.cls.semantics == interface.RetrySemantics.NON_IDEMPOTENT
            or self.now >= sent + job.cls.deduplication_window
        ):
            return []
        if job.cls.deduplication_scope == interface.DeduplicationScope.ZONE:
            return [n for n in self.ready if n.info.zone == first.info.zone]
        if job.cls.deduplication_scope == interface.DeduplicationScope.CELL:
            return [n for n in self.ready if n.info.cell == first.info.cell]
        return self.ready

    def _place(self, job: Job) -> None:
        pool = self.allowed(job)
        fresh = [n for n in pool if not any(n is x for x, _ in job.attempts)] or pool
        node = self.pick(job, fresh) if fresh else None
        if node is not None:
            self._send(job, node)
        elif job.attempts and not pool:
            self._give_up(job)
        else:
            self.held.append(job)

    def pick(self, job: Job, pool: list[Node]) -> Node | None:
        """The node for a request, or None for none now."""
        raise NotImplementedError

    def _send(self, job: Job, node: Node) -> None:
        job.attempts.append((node, True))
        if job.maybe is None:
            job.maybe = node, self.now, len(job.attempts) - 1
        node.jobs += 1
        node.work += job.hint
        node.longs += job.long
        self.out.append(interface.Send(job.request, node.info.worker))

    def _outcome(self, e: interface.AttemptEnded) -> None:
        job = self.jobs.get(e.request)
        if job is None or e.attempt >= len(job.attempts) or not job.attempts[e.attempt][1]:
            return
        node = job.attempts[e.attempt][0]
        job.attempts[e.attempt] = node, False
        node.jobs -= 1
        node.work -= job.hint
        node.longs -= job.long
        if e.result in interface.NEVER_RAN and job.maybe is not None and job.maybe[2] == e.attempt:
            job.maybe = None
        if e.finished or job.done:
            self._end(job)
        elif self.now >= job.deadline - 2 * self.settings.tick:
            self._give_up(job)
        else:
            self._place(job)
        self._release()

    def _release(self) -> None:
        for _ in range(len(self.held)):
            job = self.held.popleft()
            if not job.done:
                self._place(job)

    def _give_up(self, job: Job) -> None:
        if job.done:
            return
        free = (
            job.maybe is None
            or job.cls.semantics == interface.RetrySemantics.IDEMPOTENT
            or job.cls.semantics == interface.RetrySemantics.IDEMPOTENCY_KEY
            and job.cls.deduplication_scope == interface.DeduplicationScope.ALL
        )
        self.out.append(interface.Reject(job.request) if free else interface.Fail(job.request))
        self._cancel(job)
        self._end(job)

    def _cancel(self, job: Job) -> None:
        if self.settings.cancel_allowed:
            self.out += [interface.Cancel(job.request, n) for n, (_, out) in enumerate(job.attempts) if out]

    def _end(self, job: Job) -> None:
        job.done = True
        if not any(out for _, out in job.attempts):
            self.jobs.pop(job.request, None)


class RandomChoice(Baseline):
    """Any ready node."""

    def pick(self, job: Job, pool: list[Node]) -> Node | None:
        """Any node."""
        return self.random.choice(pool)


class RoundRobin(Baseline):
    """Each in turn."""

    turn = -1

    def pick(self, job: Job, pool: list[Node]) -> Node | None:
        """The next node in turn."""
        self.turn += 1
        return pool[self.turn % len(pool)]


class LeastConnected(Baseline):
    """LC: the fewest own jobs in flight."""

    def measure(self, node: Node) -> float:
        """Own requests in flight."""
        return node.jobs

    def pick(self, job: Job, pool: list[Node]) -> Node | None:
        """The node with the least measure, a random one among equals."""
        least = min(self.measure(n) for n in pool)
        return self.random.choice([n for n in pool if self.measure(n) == least])


class ShortestQueue(LeastConnected):
    """JSQ by work: the least hinted work of own jobs in flight."""

    def measure(self, node: Node) -> float:
        """The hinted work of own requests in flight."""
        return node.work


class TwoChoices(LeastConnected):
    """Power of two choices (Mitzenmacher 2001): the lesser of two random ones."""

    def pick(self, job: Job, pool: list[Node]) -> Node | None:
        """The better one of two random nodes."""
        return min((self.random.choice(pool), self.random.choice(pool)), key=self.measure)


class LCStar(LeastConnected):
    """LC* as in the paper: short jobs to the least connected, a long one to a node without a long one, else it
    waits. The cutoff is the 97th percentile of the last hints, as the paper's 30 KB was of its sizes."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        """As the decisions of the product."""
        super().__init__(settings, seed)
        self.hints: deque[int] = deque(maxlen=512)
        self.cutoff = 0

    def arrived(self, job: Job) -> None:
        """A request was taken: short or long by the cutoff."""
        self.hints.append(job.hint)
        if len(self.hints) < 64 or len(self.hints) % 16 == 0:
            self.cutoff = sorted(self.hints)[int(len(self.hints) * 0.97)]
        job.long = job.hint > self.cutoff

    def pick(self, job: Job, pool: list[Node]) -> Node | None:
        """Short: fewest in flight. Long: a node without a long one."""
        pool = [n for n in pool if not n.longs] if job.long else pool
        return super().pick(job, pool) if pool else None


class Naive(LeastConnected):
    """Keeps no rule: it sends to whatever was ever listed, and again wherever it likes."""

    def allowed(self, job: Job) -> list[Node]:
        """Any node, whatever the class allows."""
        return list(self.nodes.values()) if len(job.attempts) < 2 * self.settings.max_attempts else []

    def _list(self, e: interface.EndpointList) -> None:
        super()._list(e)
        # The emptiest looks best, however cold it is.
        self.ready = list(self.nodes.values())

    def measure(self, node: Node) -> float:
        """Own requests in flight; workers that have just started come first."""
        return node.jobs - 1000 * (node.info.started_at > 0)


POLICIES: dict[str, Callable[[interface.Settings, int], Any]] = {
    "heathcrank": DispatchPolicy,
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "lc": LeastConnected,
    "jsq": ShortestQueue,
    "two-choices": TwoChoices,
    "lc-star": LCStar,
    "naive": Naive,
}


def policy(name: str) -> Callable[[interface.Settings, int], Any]:
    """The factory of that name. Raises ValueError."""
    if name not in POLICIES:
        raise ArgumentError(f"--policy: unknown: {name!r}; there are {', '.join(POLICIES)}")
    return POLICIES[name]
