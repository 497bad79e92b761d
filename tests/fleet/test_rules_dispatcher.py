"""A dispatcher's leases: requests are decided in time, nothing is held twice or used after its end."""

from __future__ import annotations

from random import Random

from dispatcher_setup import OWN, SETTINGS, answer, asked, dispatcher, holding
from rules_setup import MS, START, S, decided, messages

from badgerroad.fleet.messages import LeaseGrant, LeaseRequest, LeaseReturn, QuotaGrant, Usage
from badgerroad.fleet.rules.actions import Peer, QuotaDecision, SendMessage
from badgerroad.fleet.rules.dispatcher import DispatcherLeases


def test_a_request_waits_for_the_lease_of_its_zones_controller() -> None:
    leases = dispatcher()
    (action,) = leases.request(START, 1, "team")
    assert isinstance(action, SendMessage)
    assert action.to == "c1"
    assert asked([action]).needs[0].wanted == 1
    assert asked([action]).controller == 0
    assert leases.receive(START + MS, OWN, answer(asked([action]), 1)) == [QuotaDecision(1, False)]
    assert leases.figures(START).within == 1


def test_a_request_with_a_lease_is_decided_at_once() -> None:
    assert decided(holding(3).request(START + MS, 2, "team")) == {2: False}


def test_a_request_without_a_reply_in_time_is_over_quota() -> None:
    leases = dispatcher()
    leases.request(START, 1, "team")
    assert leases.next_wakeup() == START + 20 * MS
    assert leases.tick(START + 20 * MS - 1) == []
    assert decided(leases.tick(START + 20 * MS)) == {1: True}
    assert leases.next_wakeup() is None
    assert leases.figures(START).over_unanswered == 1


def test_an_answer_after_its_time_serves_the_next_request() -> None:
    leases = dispatcher()
    request = asked(leases.request(START, 1, "team"))
    leases.tick(START + 20 * MS)
    assert leases.receive(START + 30 * MS, OWN, answer(request, 1)) == []
    assert decided(leases.request(START + 40 * MS, 2, "team")) == {2: False}


def test_waiting_requests_of_a_team_share_one_lease_request() -> None:
    leases = dispatcher()
    first = asked(leases.request(START, 1, "team"))
    assert leases.request(START, 2, "team") == leases.request(START, 3, "team") == []
    actions = leases.receive(START + MS, OWN, answer(first, 1))
    assert decided(actions) == {1: False}
    assert asked(actions).needs[0].wanted >= 2
    assert decided(leases.receive(START + 2 * MS, OWN, answer(asked(actions), 3))) == {2: False, 3: False}


def test_a_rejection_decides_all_waiting_requests_and_is_remembered_briefly() -> None:
    leases = dispatcher()
    request = asked(leases.request(START, 1, "team"))
    leases.request(START, 2, "team")
    assert decided(leases.receive(START, OWN, answer(request, 0, 0))) == {1: True, 2: True}
    assert leases.request(START + 49 * MS, 3, "team") == [QuotaDecision(3, True)]
    assert messages(leases.request(START + 50 * MS, 4, "team"), LeaseRequest)


def test_a_team_without_a_quota_is_over_at_once_and_requested_again_later() -> None:
    leases = dispatcher()
    request = asked(leases.request(START, 1, "stranger"))
    assert leases.receive(START, OWN, answer(request, 0, 0, known=False)) == [QuotaDecision(1, True)]
    assert leases.request(START + 999 * MS, 2, "stranger") == [QuotaDecision(2, True)]
    assert messages(leases.request(START + S, 3, "stranger"), LeaseRequest)


def test_a_team_whose_name_cannot_be_is_over_at_once() -> None:
    leases = dispatcher()
    for number, team in enumerate(("", "x" * 65, "ä" * 33, "\ud800")):
        assert all(decision for decision in decided(leases.request(START, number, team)).values())


def test_an_answer_in_part_refuses_only_those_it_does_not_reach() -> None:
    leases = dispatcher()
    first = asked(leases.request(START, 1, "team"))
    for number in (2, 3):
        leases.request(START, number, "team")
    second = asked(leases.receive(START, OWN, answer(first, 1)))
    assert decided(leases.receive(START, OWN, answer(second, 2))) == {2: False, 3: True}


def test_a_lease_counts_from_the_sending_of_its_request() -> None:
    leases = holding(3, answered=START + S)
    assert leases.figures(START + 2 * S - 1).unused == 3
    assert leases.figures(START + 2 * S).unused == 0


def test_a_dispatcher_that_was_stopped_uses_nothing_of_an_ended_lease() -> None:
    leases = holding(3)
    assert decided(leases.request(START + 2 * S, 2, "team")) == {}
    (request,) = messages(leases.request(START + 2 * S, 3, "other"), LeaseRequest)
    assert request.needs[0].team == "other"


def test_unused_credit_of_an_ended_lease_is_reported_as_returned() -> None:
    leases = holding(3)
    (need,) = asked(leases.request(START + 2 * S, 2, "team")).needs
    assert (need.used, need.returned) == (1, 3)


def test_an_answer_whose_lease_has_ended_is_worth_nothing() -> None:
    leases = dispatcher()
    request = asked(leases.request(START, 1, "team"))
    assert decided(leases.receive(START + 2 * S, OWN, answer(request, 3))) == {}
    assert leases.figures(START + 2 * S).unused == 0


def test_a_repeated_or_late_answer_adds_nothing() -> None:
    leases = dispatcher()
    request = asked(leases.request(START, 1, "team"))
    leases.cancel(START, 1)
    leases.receive(START, OWN, answer(request, 1))
    leases.receive(START, OWN, answer(request, 5))
    leases.receive(START, OWN, answer(LeaseRequest(99, request.needs), 5))
    assert leases.figures(START).unused == 1


def test_a_reply_of_a_controller_that_was_not_asked_is_ignored() -> None:
    leases = dispatcher()
    request = asked(leases.request(START, 1, "team"))
    assert leases.receive(START, Peer("c2", 1), answer(request, 3)) == []
    assert leases.figures(START).unused == 0


def test_messages_for_others_and_of_an_earlier_incarnation_are_ignored() -> None:
    leases = holding(1)
    assert leases.receive(START, OWN, QuotaGrant(0, 1, 1, 1, 1, 1, 1, ())) == []
    leases.receive(START, Peer("c1", 2), LeaseGrant(77, ()))
    request = asked(leases.request(START, 2, "other"))
    assert leases.receive(START, OWN, answer(request, 1)) == []


def test_a_restarted_controller_gets_reports_of_its_own_incarnation_only() -> None:
    leases = holding(0)
    request = asked(leases.request(START + 100 * MS, 2, "team"))
    assert (request.controller, request.needs[0].used) == (1, 1)
    again = Peer("c1", 2)
    assert decided(leases.receive(START + 100 * MS, again, answer(request, 1))) == {2: False}
    request = asked(leases.request(START + 200 * MS, 3, "team"))
    assert request.controller == 2
    assert (request.needs[0].used, request.needs[0].returned) == (1, 0)  # of 2 in all, 1 was of the earlier life


def test_a_lease_of_a_controllers_earlier_incarnation_runs_to_its_end() -> None:
    leases = holding(2)
    leases.receive(START, Peer("c1", 2), LeaseGrant(77, ()))
    assert decided(leases.request(START + S, 2, "team")) == {2: False}
    assert leases.figures(START + 2 * S).unused == 0


def test_demand_is_met_in_advance() -> None:
    leases, now, waited = dispatcher(), START, 0
    granted = 0
    for number in range(400):
        now += 10 * MS
        actions = leases.request(now, number, "team") + leases.tick(now)
        waited += not decided(actions)
        for request in messages(actions, LeaseRequest):
            (need,) = request.needs
            granted = max(granted, need.used + need.returned + need.wanted)
            leases.receive(now + MS, OWN, answer(request, granted))
    assert leases.figures(now).over == 0
    assert waited <= 20
    assert leases.figures(now).lease_requests <= 100


def test_leases_without_demand_are_returned_and_reported_before_their_end() -> None:
    leases = holding(3)
    returns = []
    for tick in range(1, 31):
        returns += messages(leases.tick(START + tick * 50 * MS), LeaseReturn)
    assert returns[-1] == LeaseReturn((Usage("team", 1, 3),), 1)
    assert leases.figures(START + 1500 * MS).unused == 0


def test_used_requests_are_reported_once_within_half_a_second() -> None:
    leases = holding(0)
    returns = [messages(leases.tick(START + tick * 50 * MS), LeaseReturn) for tick in range(1, 40)]
    assert [message for told in returns for message in told] == [LeaseReturn((Usage("team", 1, 0),), 1)]
    assert returns[9]


def test_release_returns_all_credit_and_later_requests_are_leased_one_by_one() -> None:
    leases = holding(3)
    assert leases.release(START + MS) == [SendMessage("c1", LeaseReturn((Usage("team", 1, 3),), 1))]
    assert leases.figures(START + MS).unused == 0
    request = asked(leases.request(START + 2 * MS, 2, "team"))
    assert request.needs[0].wanted == 1


def test_transferred_credit_is_usable_by_the_next_process_alone() -> None:
    old = holding(3)
    exported = old.export(START + S)
    assert old.figures(START + S).unused == 0
    new = DispatcherLeases.restore(SETTINGS, "d", "z1", 2, START + S, Random(2), exported)
    assert new.figures(START + S).unused == 3
    assert new.figures(START + 2 * S).unused == 0
    assert decided(new.request(START + S, 1, "team")) == {1: False}
    (need,) = asked(new.request(START + 2 * S, 2, "team")).needs
    assert (need.used, need.returned) == (0, 0)


def test_the_old_process_counts_transferred_credit_as_used_only_when_its_lease_has_ended() -> None:
    """Before, the other process may still use it; told as used, it would be granted to others at once."""
    old = holding(3)
    old.export(START + MS)
    told = []
    for tick in range(1, 60):
        now = START + tick * 50 * MS
        told += [(now, message.usages) for message in messages(old.tick(now), LeaseReturn)]
    ((when, usages),) = told
    assert when >= START + 2 * S
    assert usages == (Usage("team", 4, 0),)


def test_a_process_that_transferred_its_credit_requests_more_for_itself() -> None:
    old = holding(3)
    old.export(START + MS)
    request = asked(old.request(START + 2 * MS, 2, "team"))
    assert (request.needs[0].used, request.needs[0].wanted) == (1, 4)
    assert decided(old.receive(START + 2 * MS, OWN, answer(request, 5))) == {2: False}
    assert old.figures(START + 2 * MS).unused == 0


def test_ended_leases_are_not_transferred() -> None:
    assert holding(3).export(START + 2 * S).leases == ()


def test_a_client_that_left_is_not_decided_and_takes_nothing() -> None:
    leases = dispatcher()
    request = asked(leases.request(START, 1, "team"))
    leases.cancel(START, 1)
    leases.cancel(START, 1)
    assert leases.receive(START, OWN, answer(request, 1)) == []
    assert leases.next_wakeup() is None
    assert leases.figures(START).unused == 1
