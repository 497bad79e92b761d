"""Seeded random histories of legal events; each action of the policy is checked for safety.

Checked: one final answer in time, retry safety, sends to ready workers only, and the slow start budget.
"""

import random
from dataclasses import dataclass, field

import pytest

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy
from tests.support.policy_driver import MS, SEC, settings

CLASSES = (
    interface.RequestClass("u", interface.RetrySemantics.NON_IDEMPOTENT, 400 * MS, 3 * SEC, 2.0),
    interface.RequestClass("s", interface.RetrySemantics.IDEMPOTENT, 200 * MS, 2 * SEC, 1.0),
    interface.RequestClass(
        "ka", interface.RetrySemantics.IDEMPOTENCY_KEY, 200 * MS, 2 * SEC, 1.0, interface.DeduplicationScope.ALL, SEC
    ),
    interface.RequestClass(
        "kz", interface.RetrySemantics.IDEMPOTENCY_KEY, 200 * MS, 2 * SEC, 1.0, interface.DeduplicationScope.ZONE, SEC
    ),
    interface.RequestClass(
        "kc", interface.RetrySemantics.IDEMPOTENCY_KEY, 200 * MS, 2 * SEC, 1.0, interface.DeduplicationScope.CELL, SEC
    ),
)

ANSWER_SLACK = 20 * MS  # time that the deployment allows for an answer after its deadline
SLOTS = 2  # the true capacity of each worker, with speed 1 for each slot
FAILURES = (
    interface.AttemptResult.ERROR,
    interface.AttemptResult.QUEUE_FULL,
    interface.AttemptResult.TIMEOUT,
    interface.AttemptResult.CONNECT_FAILED,
    interface.AttemptResult.RESET,
)
STATES = (
    interface.WorkerState.READY,
    interface.WorkerState.READY,
    interface.WorkerState.DRAINING,
    interface.WorkerState.GONE,
)


@dataclass
class SentAttempt:
    sent_at: int
    worker: interface.Endpoint
    result: str | None = None

    def may_have_run(self):
        return self.result not in interface.NEVER_RAN


@dataclass
class AcceptedRequest:
    request_class: interface.RequestClass
    deadline: int
    work: int
    answered: bool = False
    attempts: list[SentAttempt] = field(default_factory=list)


class RandomHistory:
    """Plays random legal events to a policy and checks each of its actions."""

    def __init__(self, seed, hedging_allowed):
        self.rng = random.Random(seed)
        self.settings = settings(
            hedging_allowed=hedging_allowed, cancel_allowed=True, dispatcher_count=2, classes=CLASSES
        )
        self.policy = DispatchPolicy(self.settings, seed)
        self.now = 50 * SEC
        self.next_request = 0
        self.endpoints = {
            number: interface.Endpoint(number, interface.WorkerState.READY, 0, number % 2, number % 2, number % 4, 1.0)
            for number in range(6)
        }
        self.requests = {}
        self.in_flight = {}  # maps (request, attempt) to the worker
        self.started_at = {}  # maps (request, attempt) to the time of its start
        self.timers = []
        self.slow_start_sends = {}  # maps (worker, start time) to a list with (time, work) of each send
        self.deliver(interface.EndpointList(interface.ListScope.CACHED, 1, tuple(self.endpoints.values())))

    def deliver(self, event):
        for action in self.policy.handle(self.now, event):
            if isinstance(action, interface.SetTimer):
                self.timers.append((self.now + action.delay, action.token))
            elif isinstance(action, interface.Send):
                self.check_send(action)
            elif isinstance(action, interface.Reject | interface.Fail):
                self.check_answer(action)

    def check_send(self, send):
        request = self.requests[send.request]
        endpoint = self.endpoints[send.worker]
        assert not request.answered, "a send after the final answer"
        assert endpoint.state == interface.WorkerState.READY, "a send to a worker that is not ready"
        assert len(request.attempts) < self.settings.max_attempts
        self.check_retry(request, endpoint)
        self.check_slow_start_budget(endpoint, request.work)
        number = len(request.attempts)
        request.attempts.append(SentAttempt(self.now, endpoint))
        self.in_flight[send.request, number] = send.worker

    def check_retry(self, request, endpoint):
        request_class = request.request_class
        semantics = request_class.semantics
        if any(attempt.result is None for attempt in request.attempts):
            assert self.settings.hedging_allowed
            assert semantics != interface.RetrySemantics.NON_IDEMPOTENT
        first = next((attempt for attempt in request.attempts if attempt.may_have_run()), None)
        if first is None:
            return
        assert semantics != interface.RetrySemantics.NON_IDEMPOTENT, "a non-idempotent request was sent again"
        if semantics == interface.RetrySemantics.IDEMPOTENCY_KEY:
            scope = request_class.deduplication_scope
            assert self.now < first.sent_at + request_class.deduplication_window
            assert scope != interface.DeduplicationScope.ZONE or first.worker.zone == endpoint.zone
            assert scope != interface.DeduplicationScope.CELL or first.worker.cell == endpoint.cell

    def check_slow_start_budget(self, endpoint, work):
        """Check that this dispatcher alone does not exceed the whole slow start budget of the worker.

        test_large_fleets covers all dispatchers together.
        """
        age = self.now - endpoint.started_at
        if not endpoint.started_at or age >= self.settings.slow_start_duration:
            return
        sends = self.slow_start_sends.setdefault((endpoint.worker, endpoint.started_at), [])
        sends.append((self.now, work))
        share = 0.2 + 0.8 * age / self.settings.slow_start_duration
        sent_work = sum(work for when, work in sends if when > self.now - self.settings.overload_window)
        assert sent_work <= 3.0 * share * SLOTS * self.settings.overload_window

    def check_answer(self, answer):
        request = self.requests[answer.request]
        assert not request.answered, "a second final answer"
        assert self.now <= request.deadline + ANSWER_SLACK
        if isinstance(answer, interface.Reject) and any(attempt.may_have_run() for attempt in request.attempts):
            request_class = request.request_class
            assert (
                request_class.semantics == interface.RetrySemantics.IDEMPOTENT
                or request_class.semantics == interface.RetrySemantics.IDEMPOTENCY_KEY
                and request_class.deduplication_scope == interface.DeduplicationScope.ALL
            )
        request.answered = True

    def step(self):
        self.now += self.rng.choice((0, 0, 5 * MS, 5 * MS, 20 * MS))
        self.fire_timers()
        for request in self.requests.values():
            latest_answer = request.deadline + ANSWER_SLACK + 20 * MS
            assert request.answered or self.now <= latest_answer, "a request was lost"
        draw = self.rng.random()
        if draw < 0.4:
            self.send_request()
        elif draw < 0.9 and self.in_flight:
            if not self.continue_attempt():
                return
        elif draw < 0.93 and self.requests:
            self.disconnect_client()
        elif draw < 0.97:
            self.change_worker()
        elif draw < 0.98:
            self.deliver(interface.EndpointList(interface.ListScope.FAILED))
        self.forget_old_requests()

    def fire_timers(self):
        for when, token in sorted(self.timers):
            if when <= self.now:
                self.timers.remove((when, token))
                self.deliver(interface.Timer(token))

    def send_request(self):
        class_index = self.rng.randrange(len(CLASSES))
        number = self.next_request
        self.next_request += 1
        work = self.rng.choice((0, self.rng.randrange(1, 200) * MS, self.rng.randrange(1, 30) * MS))
        time_left = self.rng.choice((CLASSES[class_index].deadline, 300 * MS, 60 * MS))
        self.requests[number] = AcceptedRequest(CLASSES[class_index], self.now + time_left, work)
        self.deliver(interface.Request(number, class_index, 0, 0, time_left, work))

    def continue_attempt(self):
        """Start, continue or end a random attempt; return whether one ended. Workers run SLOTS attempts at speed 1."""
        key, worker = self.rng.choice(list(self.in_flight.items()))
        request = self.requests[key[0]]
        started_at = self.started_at.get(key)
        if started_at is None and sum(self.in_flight.get(other) == worker for other in self.started_at) < SLOTS:
            self.started_at[key] = self.now
            self.deliver(interface.AttemptStarted(*key, worker))
            return False
        has_run = started_at is not None and self.now - started_at >= request.work
        if not has_run and self.rng.random() < 0.7:
            return False
        del self.in_flight[key]
        self.started_at.pop(key, None)
        failure = self.rng.choice(FAILURES)
        result = interface.AttemptResult.OK if has_run and self.rng.random() < 0.7 else failure
        request.attempts[key[1]].result = result
        request.answered = request.answered or result == interface.AttemptResult.OK
        self.deliver(interface.AttemptEnded(*key, worker, result, 0, request.answered))
        return True

    def disconnect_client(self):
        number = self.rng.choice(list(self.requests))
        self.requests[number].answered = True
        self.deliver(interface.ClientDisconnected(number))

    def change_worker(self):
        number = self.rng.randrange(6)
        old = self.endpoints[number]
        state = self.rng.choice(STATES)
        started_at = self.now if old.state != interface.WorkerState.READY else old.started_at
        self.endpoints[number] = old._replace(state=state, started_at=started_at)
        self.deliver(interface.EndpointList(interface.ListScope.INCREMENTAL, 2, (self.endpoints[number],)))

    def forget_old_requests(self):
        with_attempts = {number for number, _ in self.in_flight}
        finished = [
            number for number, request in self.requests.items() if request.answered and number not in with_attempts
        ]
        for number in finished[:-20]:
            del self.requests[number]


@pytest.mark.parametrize("hedging_allowed", [False, True], ids=["without_hedging", "with_hedging"])
@pytest.mark.parametrize("seed", range(12))
def test_actions_are_safe_in_a_random_history(seed, hedging_allowed):
    history = RandomHistory(seed, hedging_allowed)
    for _ in range(2500):
        history.step()
    assert history.next_request > 500
