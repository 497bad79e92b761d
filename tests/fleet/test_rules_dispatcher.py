"""A dispatcher's leases: requests are decided in time, and no credit is used twice or after its lease ended."""

from __future__ import annotations

from random import Random

from dispatcher_setup import OWN_CONTROLLER, SETTINGS, dispatcher, dispatcher_with_credit, grant_for, lease_request
from rules_setup import MILLISECOND, SECOND, START, decided, messages

from badgerroad.fleet.messages import LeaseGrant, LeaseRequest, LeaseReturn, QuotaGrant, Usage
from badgerroad.fleet.rules.actions import Peer, QuotaDecision, SendMessage
from badgerroad.fleet.rules.dispatcher import DispatcherLeases


def test_request_waits_for_a_lease_from_its_zones_controller() -> None:
    leases = dispatcher()
    (action,) = leases.request(START, 1, "team")
    assert isinstance(action, SendMessage)
    assert action.to == "c1"
    assert lease_request([action]).needs[0].wanted == 1
    assert lease_request([action]).controller == 0
    assert leases.receive(START + MILLISECOND, OWN_CONTROLLER, grant_for(lease_request([action]), 1)) == [
        QuotaDecision(1, False)
    ]
    assert leases.figures(START).within == 1


def test_request_with_a_lease_is_decided_at_once() -> None:
    assert decided(dispatcher_with_credit(3).request(START + MILLISECOND, 2, "team")) == {2: False}


def test_request_without_a_timely_reply_is_over_quota() -> None:
    leases = dispatcher()
    leases.request(START, 1, "team")
    assert leases.next_wakeup() == START + 20 * MILLISECOND
    assert leases.tick(START + 20 * MILLISECOND - 1) == []
    assert decided(leases.tick(START + 20 * MILLISECOND)) == {1: True}
    assert leases.next_wakeup() is None
    assert leases.figures(START).over_unanswered == 1


def test_late_grant_serves_the_next_request() -> None:
    leases = dispatcher()
    request = lease_request(leases.request(START, 1, "team"))
    leases.tick(START + 20 * MILLISECOND)
    assert leases.receive(START + 30 * MILLISECOND, OWN_CONTROLLER, grant_for(request, 1)) == []
    assert decided(leases.request(START + 40 * MILLISECOND, 2, "team")) == {2: False}


def test_waiting_requests_of_a_team_share_one_lease_request() -> None:
    leases = dispatcher()
    first = lease_request(leases.request(START, 1, "team"))
    assert leases.request(START, 2, "team") == leases.request(START, 3, "team") == []
    actions = leases.receive(START + MILLISECOND, OWN_CONTROLLER, grant_for(first, 1))
    assert decided(actions) == {1: False}
    assert lease_request(actions).needs[0].wanted >= 2
    assert decided(leases.receive(START + 2 * MILLISECOND, OWN_CONTROLLER, grant_for(lease_request(actions), 3))) == {
        2: False,
        3: False,
    }


def test_rejection_decides_all_waiting_requests_and_is_cached_briefly() -> None:
    leases = dispatcher()
    request = lease_request(leases.request(START, 1, "team"))
    leases.request(START, 2, "team")
    assert decided(leases.receive(START, OWN_CONTROLLER, grant_for(request, 0, 0))) == {1: True, 2: True}
    assert leases.request(START + 49 * MILLISECOND, 3, "team") == [QuotaDecision(3, True)]
    assert messages(leases.request(START + 50 * MILLISECOND, 4, "team"), LeaseRequest)


def test_team_without_a_quota_is_rejected_at_once_and_requested_again_later() -> None:
    leases = dispatcher()
    request = lease_request(leases.request(START, 1, "stranger"))
    assert leases.receive(START, OWN_CONTROLLER, grant_for(request, 0, 0, known=False)) == [QuotaDecision(1, True)]
    assert leases.request(START + 999 * MILLISECOND, 2, "stranger") == [QuotaDecision(2, True)]
    assert messages(leases.request(START + SECOND, 3, "stranger"), LeaseRequest)


def test_team_with_an_invalid_name_is_rejected_at_once() -> None:
    leases = dispatcher()
    for number, team in enumerate(("", "x" * 65, "ä" * 33, "\ud800")):
        assert all(decision for decision in decided(leases.request(START, number, team)).values())


def test_partial_grant_rejects_only_the_requests_beyond_it() -> None:
    leases = dispatcher()
    first = lease_request(leases.request(START, 1, "team"))
    for number in (2, 3):
        leases.request(START, number, "team")
    second = lease_request(leases.receive(START, OWN_CONTROLLER, grant_for(first, 1)))
    assert decided(leases.receive(START, OWN_CONTROLLER, grant_for(second, 2))) == {2: False, 3: True}


def test_lease_duration_counts_from_the_sending_of_its_request() -> None:
    leases = dispatcher_with_credit(3, granted_at=START + SECOND)
    assert leases.figures(START + 2 * SECOND - 1).unused == 3
    assert leases.figures(START + 2 * SECOND).unused == 0


def test_suspended_dispatcher_does_not_use_an_ended_lease() -> None:
    leases = dispatcher_with_credit(3)
    assert decided(leases.request(START + 2 * SECOND, 2, "team")) == {}
    (request,) = messages(leases.request(START + 2 * SECOND, 3, "other"), LeaseRequest)
    assert request.needs[0].team == "other"


def test_unused_credit_of_an_ended_lease_is_reported_as_returned() -> None:
    leases = dispatcher_with_credit(3)
    (need,) = lease_request(leases.request(START + 2 * SECOND, 2, "team")).needs
    assert (need.used, need.returned) == (1, 3)


def test_grant_that_arrives_after_its_lease_ended_gives_no_credit() -> None:
    leases = dispatcher()
    request = lease_request(leases.request(START, 1, "team"))
    assert decided(leases.receive(START + 2 * SECOND, OWN_CONTROLLER, grant_for(request, 3))) == {}
    assert leases.figures(START + 2 * SECOND).unused == 0


def test_repeated_or_unrequested_grant_gives_no_credit() -> None:
    leases = dispatcher()
    request = lease_request(leases.request(START, 1, "team"))
    leases.cancel(START, 1)
    leases.receive(START, OWN_CONTROLLER, grant_for(request, 1))
    leases.receive(START, OWN_CONTROLLER, grant_for(request, 5))
    leases.receive(START, OWN_CONTROLLER, grant_for(LeaseRequest(99, request.needs), 5))
    assert leases.figures(START).unused == 1


def test_grant_of_a_controller_without_a_request_is_ignored() -> None:
    leases = dispatcher()
    request = lease_request(leases.request(START, 1, "team"))
    assert leases.receive(START, Peer("c2", 1), grant_for(request, 3)) == []
    assert leases.figures(START).unused == 0


def test_messages_of_other_kinds_and_of_earlier_incarnations_are_ignored() -> None:
    leases = dispatcher_with_credit(1)
    assert leases.receive(START, OWN_CONTROLLER, QuotaGrant(0, 1, 1, 1, 1, 1, 1, ())) == []
    leases.receive(START, Peer("c1", 2), LeaseGrant(77, ()))
    request = lease_request(leases.request(START, 2, "other"))
    assert leases.receive(START, OWN_CONTROLLER, grant_for(request, 1)) == []


def test_restarted_controller_gets_reports_of_its_own_incarnation_only() -> None:
    leases = dispatcher_with_credit(0)
    request = lease_request(leases.request(START + 100 * MILLISECOND, 2, "team"))
    assert (request.controller, request.needs[0].used) == (1, 1)
    again = Peer("c1", 2)
    assert decided(leases.receive(START + 100 * MILLISECOND, again, grant_for(request, 1))) == {2: False}
    request = lease_request(leases.request(START + 200 * MILLISECOND, 3, "team"))
    assert request.controller == 2
    assert (request.needs[0].used, request.needs[0].returned) == (
        1,
        0,
    )  # of the two used requests, one belongs to the controller's earlier incarnation


def test_lease_of_an_earlier_incarnation_stays_valid_until_its_end() -> None:
    leases = dispatcher_with_credit(2)
    leases.receive(START, Peer("c1", 2), LeaseGrant(77, ()))
    assert decided(leases.request(START + SECOND, 2, "team")) == {2: False}
    assert leases.figures(START + 2 * SECOND).unused == 0


def test_credit_is_prefetched_according_to_demand() -> None:
    leases, now, waited = dispatcher(), START, 0
    granted = 0
    for number in range(400):
        now += 10 * MILLISECOND
        actions = leases.request(now, number, "team") + leases.tick(now)
        waited += not decided(actions)
        for request in messages(actions, LeaseRequest):
            (need,) = request.needs
            granted = max(granted, need.used + need.returned + need.wanted)
            leases.receive(now + MILLISECOND, OWN_CONTROLLER, grant_for(request, granted))
    assert leases.figures(now).over == 0
    assert waited <= 20
    assert leases.figures(now).lease_requests <= 100


def test_leases_without_demand_are_returned_before_their_end() -> None:
    leases = dispatcher_with_credit(3)
    returns = []
    for tick in range(1, 31):
        returns += messages(leases.tick(START + tick * 50 * MILLISECOND), LeaseReturn)
    assert returns[-1] == LeaseReturn((Usage("team", 1, 3),), 1)
    assert leases.figures(START + 1500 * MILLISECOND).unused == 0


def test_used_requests_are_reported_once_within_half_a_second() -> None:
    leases = dispatcher_with_credit(0)
    returns = [messages(leases.tick(START + tick * 50 * MILLISECOND), LeaseReturn) for tick in range(1, 40)]
    assert [message for messages_of_tick in returns for message in messages_of_tick] == [
        LeaseReturn((Usage("team", 1, 0),), 1)
    ]
    assert returns[9]


def test_release_returns_all_credit_and_stops_prefetching() -> None:
    leases = dispatcher_with_credit(3)
    assert leases.release(START + MILLISECOND) == [SendMessage("c1", LeaseReturn((Usage("team", 1, 3),), 1))]
    assert leases.figures(START + MILLISECOND).unused == 0
    request = lease_request(leases.request(START + 2 * MILLISECOND, 2, "team"))
    assert request.needs[0].wanted == 1


def test_transferred_credit_is_usable_only_by_the_new_process() -> None:
    old = dispatcher_with_credit(3)
    exported = old.export(START + SECOND)
    assert old.figures(START + SECOND).unused == 0
    new = DispatcherLeases.restore(SETTINGS, "d", "z1", 2, START + SECOND, Random(2), exported)
    assert new.figures(START + SECOND).unused == 3
    assert new.figures(START + 2 * SECOND).unused == 0
    assert decided(new.request(START + SECOND, 1, "team")) == {1: False}
    (need,) = lease_request(new.request(START + 2 * SECOND, 2, "team")).needs
    assert (need.used, need.returned) == (0, 0)


def test_old_process_reports_transferred_credit_as_used_only_after_its_lease_ended() -> None:
    """The new process may use the credit until the lease ends.

    Credit that the old process reported earlier would be granted to others at once.
    """
    old = dispatcher_with_credit(3)
    old.export(START + MILLISECOND)
    reports = []
    for tick in range(1, 60):
        now = START + tick * 50 * MILLISECOND
        reports += [(now, message.usages) for message in messages(old.tick(now), LeaseReturn)]
    ((when, usages),) = reports
    assert when >= START + 2 * SECOND
    assert usages == (Usage("team", 4, 0),)


def test_process_that_transferred_its_credit_requests_its_own_again() -> None:
    old = dispatcher_with_credit(3)
    old.export(START + MILLISECOND)
    request = lease_request(old.request(START + 2 * MILLISECOND, 2, "team"))
    assert (request.needs[0].used, request.needs[0].wanted) == (1, 4)
    assert decided(old.receive(START + 2 * MILLISECOND, OWN_CONTROLLER, grant_for(request, 5))) == {2: False}
    assert old.figures(START + 2 * MILLISECOND).unused == 0


def test_ended_leases_are_not_transferred() -> None:
    assert dispatcher_with_credit(3).export(START + 2 * SECOND).leases == ()


def test_cancelled_request_is_not_decided_and_uses_no_credit() -> None:
    leases = dispatcher()
    request = lease_request(leases.request(START, 1, "team"))
    leases.cancel(START, 1)
    leases.cancel(START, 1)
    assert leases.receive(START, OWN_CONTROLLER, grant_for(request, 1)) == []
    assert leases.next_wakeup() is None
    assert leases.figures(START).unused == 1
