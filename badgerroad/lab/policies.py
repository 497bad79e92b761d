"""Baseline policies with the interface of the load-balancing policy, for comparison with it.

All of them follow the platform's rules on retries, refusals and drains, and differ in the choice of the worker. Only
`naive` follows no rule: it tests that the rule checker finds violations.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from badgerroad.errors import ArgumentError
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy

DISCOVERY_RETRY_DELAY_US = 500_000  # delay from a failed call of discovery to the next call


class Node:
    """A worker, with the requests of this dispatcher that are in flight there."""

    __slots__ = ("info", "requests", "hinted_work", "long_requests")

    def __init__(self, info: interface.Endpoint) -> None:
        """Create an idle worker from its entry in the endpoint list."""
        self.info, self.requests, self.hinted_work, self.long_requests = info, 0, 0.0, 0


class Job:
    """A request and its attempts."""

    __slots__ = ("request", "cls", "hint", "long", "deadline", "attempts", "done", "first_possible_run")

    def __init__(self, request: interface.Request, cls: interface.RequestClass, deadline: int) -> None:
        """Create a request without attempts; `deadline` is in microseconds."""
        self.request, self.cls, self.hint, self.deadline = request.request, cls, max(request.work_hint, 1), deadline
        self.long = self.done = False
        self.attempts: list[tuple[Node, bool]] = []  # (node, in flight)
        # Node, send time and number of the first attempt that may have run.
        self.first_possible_run: tuple[Node, int, int] | None = None


class Baseline:
    """Base of the policies, which follows the platform's rules and tracks attempts.

    Subclasses implement `pick`, which chooses among the ready nodes or returns None to keep the request waiting.
    """

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        """Take the same arguments as `DispatchPolicy`."""
        self.settings, self.random = settings, Random(seed)
        self.nodes: dict[interface.WorkerId, Node] = {}
        self.ready: list[Node] = []
        self.jobs: dict[int, Job] = {}
        self.waiting: deque[Job] = deque()
        self.now, self.actions, self.subscribed = 0, [], False
        self._timers: dict[int, Callable[[], None]] = {}

    actions: list[interface.Action]

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]:
        """Process an event at `now`, in microseconds, and return the resulting actions."""
        self.now = now
        if not self.subscribed and self.settings.must_subscribe:
            self.subscribed = True
            self.actions.append(interface.Subscribe())
        if isinstance(event, interface.Request):
            self._on_request(event)
        elif isinstance(event, interface.AttemptEnded):
            self._on_attempt_ended(event)
        elif isinstance(event, interface.EndpointList):
            self._on_endpoint_list(event)
        elif isinstance(event, interface.Timer):
            self._timers.pop(event.token, lambda: None)()
        elif isinstance(event, interface.ClientDisconnected):
            job = self.jobs.get(event.request)
            if job is not None:
                self._cancel(job)
                self._end(job)
        actions, self.actions = self.actions, []
        return actions

    def after(self, delay: int, call: Callable[[], None]) -> None:
        """Schedule `call` after `delay` microseconds."""
        token = len(self._timers) + self.now * 1000
        while token in self._timers:
            token += 1
        self._timers[token] = call
        self.actions.append(interface.SetTimer(delay, token))

    def _on_endpoint_list(self, event: interface.EndpointList) -> None:
        if event.scope == interface.ListScope.FAILED:
            self.after(DISCOVERY_RETRY_DELAY_US, lambda: self.actions.append(interface.Subscribe()))
            return
        if event.scope != interface.ListScope.INCREMENTAL:
            listed = {entry.worker for entry in event.entries}
            for node in self.nodes.values():
                if node.info.worker not in listed:
                    node.info = node.info._replace(state=interface.WorkerState.GONE)
        for entry in event.entries:
            if entry.worker in self.nodes and self.nodes[entry.worker].info.started_at == entry.started_at:
                self.nodes[entry.worker].info = entry
            elif entry.state == interface.WorkerState.GONE and entry.worker in self.nodes:
                self.nodes[entry.worker].info = self.nodes[entry.worker].info._replace(state=interface.WorkerState.GONE)
            else:
                self.nodes[entry.worker] = Node(entry)
        self.ready = [node for node in self.nodes.values() if node.info.state == interface.WorkerState.READY]
        self._dispatch_waiting()

    def _on_request(self, event: interface.Request) -> None:
        job = self.jobs[event.request] = Job(
            event, self.settings.classes[event.class_index], self.now + event.time_left
        )
        self.after(max(event.time_left - 2 * self.settings.tick, 1), lambda: self._reject_or_fail(job))
        self.on_accepted(job)
        self._dispatch(job)

    def on_accepted(self, job: Job) -> None:
        """Process a new request before it is dispatched; the default does nothing."""

    def allowed_nodes(self, job: Job) -> list[Node]:
        """Return the ready nodes at which the next attempt is permitted.

        The platform's rule 2 permits a retry of a request that may have run only if the request class allows it.
        """
        if len(job.attempts) >= self.settings.max_attempts:
            return []
        if job.first_possible_run is None or job.cls.semantics == interface.RetrySemantics.IDEMPOTENT:
            return self.ready
        first, sent_at, _ = job.first_possible_run
        if (
            job.cls.semantics == interface.RetrySemantics.NON_IDEMPOTENT
            or self.now >= sent_at + job.cls.deduplication_window
        ):
            return []
        if job.cls.deduplication_scope == interface.DeduplicationScope.ZONE:
            return [node for node in self.ready if node.info.zone == first.info.zone]
        if job.cls.deduplication_scope == interface.DeduplicationScope.CELL:
            return [node for node in self.ready if node.info.cell == first.info.cell]
        return self.ready

    def _dispatch(self, job: Job) -> None:
        pool = self.allowed_nodes(job)
        untried = [node for node in pool if not any(node is tried for tried, _ in job.attempts)] or pool
        node = self.pick(job, untried) if untried else None
        if node is not None:
            self._send(job, node)
        elif job.attempts and not pool:
            self._reject_or_fail(job)
        else:
            self.waiting.append(job)

    def pick(self, job: Job, pool: list[Node]) -> Node | None:
        """Return the node for the next attempt, or None to keep the request waiting."""
        raise NotImplementedError

    def _send(self, job: Job, node: Node) -> None:
        job.attempts.append((node, True))
        if job.first_possible_run is None:
            job.first_possible_run = node, self.now, len(job.attempts) - 1
        node.requests += 1
        node.hinted_work += job.hint
        node.long_requests += job.long
        self.actions.append(interface.Send(job.request, node.info.worker))

    def _on_attempt_ended(self, event: interface.AttemptEnded) -> None:
        job = self.jobs.get(event.request)
        if job is None or event.attempt >= len(job.attempts) or not job.attempts[event.attempt][1]:
            return
        node = job.attempts[event.attempt][0]
        job.attempts[event.attempt] = node, False
        node.requests -= 1
        node.hinted_work -= job.hint
        node.long_requests -= job.long
        if (
            event.result in interface.NEVER_RAN
            and job.first_possible_run is not None
            and job.first_possible_run[2] == event.attempt
        ):
            job.first_possible_run = None
        if event.finished or job.done:
            self._end(job)
        elif self.now >= job.deadline - 2 * self.settings.tick:
            self._reject_or_fail(job)
        else:
            self._dispatch(job)
        self._dispatch_waiting()

    def _dispatch_waiting(self) -> None:
        for _ in range(len(self.waiting)):
            job = self.waiting.popleft()
            if not job.done:
                self._dispatch(job)

    def _reject_or_fail(self, job: Job) -> None:
        if job.done:
            return
        may_reject = (
            job.first_possible_run is None
            or job.cls.semantics == interface.RetrySemantics.IDEMPOTENT
            or job.cls.semantics == interface.RetrySemantics.IDEMPOTENCY_KEY
            and job.cls.deduplication_scope == interface.DeduplicationScope.ALL
        )
        self.actions.append(interface.Reject(job.request) if may_reject else interface.Fail(job.request))
        self._cancel(job)
        self._end(job)

    def _cancel(self, job: Job) -> None:
        if self.settings.cancel_allowed:
            self.actions += [
                interface.Cancel(job.request, number) for number, (_, in_flight) in enumerate(job.attempts) if in_flight
            ]

    def _end(self, job: Job) -> None:
        job.done = True
        if not any(in_flight for _, in_flight in job.attempts):
            self.jobs.pop(job.request, None)


class RandomChoice(Baseline):
    """Chooses a ready node at random."""

    def pick(self, job: Job, pool: list[Node]) -> Node | None:
        """Return a random node."""
        return self.random.choice(pool)


class RoundRobin(Baseline):
    """Round robin over the ready nodes."""

    position = -1

    def pick(self, job: Job, pool: list[Node]) -> Node | None:
        """Return the next node in the rotation."""
        self.position += 1
        return pool[self.position % len(pool)]


class LeastConnected(Baseline):
    """LC (least connected): chooses the node with the fewest requests of this dispatcher in flight."""

    def node_load(self, node: Node) -> float:
        """Return the number of requests of this dispatcher in flight at the node."""
        return node.requests

    def pick(self, job: Job, pool: list[Node]) -> Node | None:
        """Return the node with the lowest load; ties are broken at random."""
        lowest = min(self.node_load(node) for node in pool)
        return self.random.choice([node for node in pool if self.node_load(node) == lowest])


class ShortestQueue(LeastConnected):
    """JSQ (join the shortest queue), by the sum of the work hints of this dispatcher's requests in flight."""

    def node_load(self, node: Node) -> float:
        """Return the sum of the work hints of this dispatcher's requests in flight at the node."""
        return node.hinted_work


class TwoChoices(LeastConnected):
    """Power of two choices (Mitzenmacher 2001): chooses the less loaded of two random nodes."""

    def pick(self, job: Job, pool: list[Node]) -> Node | None:
        """Return the one of two random nodes that has fewer requests of this dispatcher in flight."""
        return min((self.random.choice(pool), self.random.choice(pool)), key=self.node_load)


class LCStar(LeastConnected):
    """LC* as in its paper.

    A short request goes to the least connected node. A long one goes to the least connected node that has no long
    request, and waits if there is none. The cutoff is the 97th percentile of recent work hints, as the paper's cutoff
    of 30 KB is of its file sizes.
    """

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        """Take the same arguments as `DispatchPolicy`."""
        super().__init__(settings, seed)
        self.hints: deque[int] = deque(maxlen=512)
        self.cutoff = 0

    def on_accepted(self, job: Job) -> None:
        """Update the cutoff and classify the request as short or long."""
        self.hints.append(job.hint)
        if len(self.hints) < 64 or len(self.hints) % 16 == 0:
            self.cutoff = sorted(self.hints)[int(len(self.hints) * 0.97)]
        job.long = job.hint > self.cutoff

    def pick(self, job: Job, pool: list[Node]) -> Node | None:
        """Return the least connected node; for a long request, only among nodes without a long request."""
        pool = [node for node in pool if not node.long_requests] if job.long else pool
        return super().pick(job, pool) if pool else None


class Naive(LeastConnected):
    """Follows no rule: sends to any node that was ever listed, and retries on any of them."""

    def allowed_nodes(self, job: Job) -> list[Node]:
        """Return all nodes, whatever the class permits, up to twice the permitted attempts."""
        return list(self.nodes.values()) if len(job.attempts) < 2 * self.settings.max_attempts else []

    def _on_endpoint_list(self, event: interface.EndpointList) -> None:
        super()._on_endpoint_list(event)
        # Nodes in slow start are included: they have the fewest requests and so are chosen first.
        self.ready = list(self.nodes.values())

    def node_load(self, node: Node) -> float:
        """Return the number of this dispatcher's requests in flight, less 1000 if the worker started during the run.

        Such workers are therefore chosen before all others.
        """
        return node.requests - 1000 * (node.info.started_at > 0)


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
    """Return the factory of the policy with that name. Raises ArgumentError, a ValueError."""
    if name not in POLICIES:
        raise ArgumentError(f"--policy: unknown: {name!r}; known are {', '.join(POLICIES)}")
    return POLICIES[name]
