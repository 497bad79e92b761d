"""The controller that a dispatcher uses, and that each request is decided once and in time under random steps."""

from __future__ import annotations

from typing import Any

from dispatcher_setup import (
    NEXT_CONTROLLER,
    OWN_CONTROLLER,
    dispatcher,
    dispatcher_with_credit,
    grant_for,
    lease_request,
)
from hypothesis import given
from hypothesis import strategies as st
from rules_setup import MILLISECOND, SECOND, START, decided, messages, one_region

from badgerroad.fleet.messages import LeaseCredit, LeaseGrant, LeaseRequest
from badgerroad.fleet.rules.actions import Peer, QuotaDecision, SendMessage
from badgerroad.fleet.rules.dispatcher import DispatcherLeases
from badgerroad.fleet.rules.order import controller_order, shard_order


def silence(leases: DispatcherLeases, start: int, end: int) -> list[Any]:
    actions: list[Any] = []
    for now in range(start, end, 50 * MILLISECOND):
        actions += leases.tick(now)
        actions += leases.request(now, now, "team")
    return actions


def test_next_controller_of_the_region_is_used_after_three_unanswered_requests() -> None:
    leases = dispatcher()
    actions = silence(leases, START, START + 600 * MILLISECOND)
    assert {action.to for action in actions if isinstance(action, SendMessage)} == {"c1", NEXT_CONTROLLER}
    assert leases.figures(START).controller == NEXT_CONTROLLER


def test_next_controller_is_used_after_one_second_without_a_reply() -> None:
    leases = dispatcher()
    leases.request(START, 1, "team")
    for tick in range(1, 20):
        leases.tick(START + tick * 50 * MILLISECOND)
        assert leases.figures(START).controller == "c1"
    leases.tick(START + SECOND)
    assert leases.figures(START).controller == NEXT_CONTROLLER


def test_lost_connection_moves_waiting_requests_to_the_next_controller_at_once() -> None:
    leases = dispatcher()
    leases.request(START, 1, "team")
    (action,) = leases.peer_lost(START + MILLISECOND, "c1")
    assert action.to == NEXT_CONTROLLER
    assert leases.receive(START + 2 * MILLISECOND, Peer(NEXT_CONTROLLER, 1), grant_for(action.message, 1)) == [
        QuotaDecision(1, False)
    ]
    assert leases.peer_lost(START + 3 * MILLISECOND, "c1") == []


def test_own_controller_is_polled_every_five_seconds_and_used_again_once_it_replies() -> None:
    leases = dispatcher()
    leases.peer_lost(START, "c1")
    tries = []
    for tick in range(1, 121):
        now = START + tick * 50 * MILLISECOND
        tries += [(now, action) for action in leases.tick(now) if isinstance(action, SendMessage)]
    ((now, attempt),) = tries
    assert now == START + 5 * SECOND
    assert attempt.to == "c1"
    leases.receive(now + MILLISECOND, OWN_CONTROLLER, LeaseGrant(attempt.message.sequence, ()))
    assert leases.figures(now).controller == "c1"


def test_suspended_dispatcher_ignores_missing_replies() -> None:
    leases = dispatcher()
    leases.tick(START)
    leases.request(START, 1, "team")
    leases.tick(START + 10 * SECOND)
    assert leases.figures(START).controller == "c1"


def test_all_controllers_are_preferred_for_equally_many_shards() -> None:
    settings = one_region(5, shards=10)
    firsts = [shard_order(settings, shard)[0] for shard in range(10)]
    assert sorted(firsts) == sorted([f"c{n}" for n in range(5)] * 2)
    assert all(sorted(shard_order(settings, shard)) == sorted(settings.names) for shard in range(10))


def test_dispatchers_of_a_zone_whose_controller_failed_spread_over_the_region() -> None:
    settings = one_region(5)
    seconds = {controller_order(settings, "z1", f"d{n}")[1] for n in range(50)}
    assert seconds == {"c0", "c2", "c3", "c4"}


class DispatcherHistory:
    """A dispatcher's leases under random steps. Each request must be decided once and in time."""

    def __init__(self) -> None:
        self.leases = dispatcher()
        self.now = START
        self.number = 0
        self.incarnation = 1
        self.waiting: dict[int, int] = {}
        self.cancelled: set[int] = set()
        self.sent: list[SendMessage] = []
        self.granted: dict[tuple[str, str, int], int] = {}

    def take(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self.sent.append(action)
            else:
                assert self.waiting.pop(action.request) + 20 * MILLISECOND >= self.now
                assert action.request not in self.cancelled

    def request(self, count: int) -> None:
        self.number += 1
        self.waiting[self.number] = self.now
        self.take(self.leases.request(self.now, self.number, f"team{count}"))

    def wait(self, count: int) -> None:
        for _ in range(count * 20):
            self.now += 5 * MILLISECOND
            wakeup = self.leases.next_wakeup()
            if wakeup is not None and wakeup <= self.now:
                self.tick(count)

    def answer_newest(self, count: int) -> None:
        self._answer(count, -1)

    def answer_oldest(self, count: int) -> None:
        self._answer(count, 0)

    def lose(self, count: int) -> None:
        self.take(self.leases.peer_lost(self.now, f"c{count % 3}"))

    def restart(self, count: int) -> None:
        self.incarnation += 1

    def release(self, count: int) -> None:
        self.take(list(self.leases.release(self.now)))

    def cancel(self, count: int) -> None:
        if not self.waiting:
            self.tick(count)
            return
        first = next(iter(self.waiting))
        del self.waiting[first]
        self.cancelled.add(first)
        self.leases.cancel(self.now, first)

    def tick(self, count: int) -> None:
        self.take(self.leases.tick(self.now))

    def _answer(self, count: int, position: int) -> None:
        requests = [(sent.to, sent.message) for sent in self.sent if isinstance(sent.message, LeaseRequest)]
        if not requests:
            return
        controller, request = requests[position]
        answers = []
        for need in request.needs:
            key = (controller, need.team, self.incarnation)
            self.granted[key] = max(self.granted.get(key, 0), need.used + need.returned) + min(count, need.wanted)
            answers.append(LeaseCredit(need.team, self.granted[key], 2000))
        grant = LeaseGrant(request.sequence, tuple(answers))
        self.take(self.leases.receive(self.now, Peer(controller, self.incarnation), grant))

    STEPS = {
        "request": request,
        "tick": tick,
        "answer": answer_newest,
        "answer late": answer_oldest,
        "lose": lose,
        "wait": wait,
        "restart": restart,
        "release": release,
        "forget": cancel,
    }


STEPS = st.lists(
    st.tuples(st.sampled_from(list(DispatcherHistory.STEPS)), st.integers(0, 5)),
    max_size=80,
)


@given(STEPS)
def test_each_request_is_decided_once_and_in_time_under_random_steps(steps: list[tuple[str, int]]) -> None:
    history = DispatcherHistory()
    for step, count in steps:
        DispatcherHistory.STEPS[step](history, count)
    history.now += 20 * MILLISECOND
    history.tick(0)
    assert not history.waiting
    assert history.leases.next_wakeup() is None


def test_excess_credit_is_returned_and_lease_duration_is_limited() -> None:
    leases = dispatcher()
    request = lease_request(leases.request(START, 1, "team"))
    leases.receive(START, OWN_CONTROLLER, grant_for(request, 1_000_000, valid_ms=600_000))
    assert leases.figures(START).unused == 0
    request = lease_request(leases.request(START + MILLISECOND, 2, "team"))
    assert (request.needs[0].used, request.needs[0].returned) == (1, 999_999)
    leases = dispatcher_with_credit(0)
    leases.cancel(START, 1)
    request = lease_request(leases.request(START, 2, "team"))
    leases.cancel(START, 2)
    leases.receive(START, OWN_CONTROLLER, grant_for(request, 2, valid_ms=600_000))
    assert leases.figures(START + 2 * SECOND - 1).unused == 1
    assert leases.figures(START + 2 * SECOND).unused == 0


def test_implausible_granted_total_is_ignored_and_the_next_valid_one_applies() -> None:
    leases = dispatcher()
    request = lease_request(leases.request(START, 1, "team"))
    (again,) = messages(leases.receive(START, OWN_CONTROLLER, grant_for(request, 1 << 62)), LeaseRequest)
    assert (again.needs[0].used, again.needs[0].returned) == (0, 0)
    assert leases.receive(START + MILLISECOND, OWN_CONTROLLER, grant_for(again, 1)) == [QuotaDecision(1, False)]


def test_incarnation_of_a_controller_is_reset_when_its_connection_is_lost() -> None:
    leases = dispatcher_with_credit(0)
    leases.receive(START, Peer("c1", 1 << 62), LeaseGrant(77, ()))
    leases.peer_lost(START, "c1")
    leases.peer_lost(START, NEXT_CONTROLLER)
    leases.peer_lost(START, leases.figures(START).controller)
    assert leases.figures(START).controller == "c1"
    request = lease_request(leases.request(START, 2, "team"))
    assert decided(leases.receive(START, OWN_CONTROLLER, grant_for(request, 2))) == {2: False}
