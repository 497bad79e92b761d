"""A zone controller: its requests to the owner, and the leases of its dispatchers."""

from __future__ import annotations

from rules_setup import MILLISECOND, SECOND, START, messages
from zone_setup import D0, D1, INCARNATION, NEXT_OWNER, SETTINGS, Zone

from badgerroad.fleet.messages import (
    LeaseNeed,
    LeaseRequest,
    LeaseReturn,
    QuotaRequest,
    Usage,
)
from badgerroad.fleet.rules.actions import Peer


def test_new_owner_gets_a_request_at_once_and_then_every_period() -> None:
    zone = Zone()
    request = zone.request_quota(START)
    assert (request.session, request.term, request.lending) == (0, 5, False)
    assert request.needs[0].wanted >= 1
    assert zone.tick(START + 999 * MILLISECOND) == []
    assert len(zone.tick(START + SECOND)) == 1


def test_dispatcher_is_answered_at_once_from_the_stock() -> None:
    zone = Zone()
    zone.open()
    credit = zone.lease(START, D0, 2)
    assert credit.granted == 2
    assert credit.valid_ms == 2000


def test_dispatcher_gets_at_most_half_of_the_stock_but_at_least_one_request() -> None:
    zone = Zone()
    zone.open(granted=4)
    assert [zone.lease(START, Peer(f"d{n}", 1), 100).granted for n in range(4)] == [2, 1, 1, 0]


def test_dispatcher_lease_ends_no_later_than_the_zones_lease() -> None:
    zone = Zone()
    zone.open()
    credit = zone.lease(START + 2 * SECOND, D0, 1)
    assert credit.valid_ms >= 900
    assert SETTINGS.longer(credit.valid_ms * MILLISECOND) <= SECOND


def test_no_credit_is_leased_from_a_session_that_ended_or_is_about_to_end() -> None:
    zone = Zone()
    zone.open()
    assert zone.lease(START + 3 * SECOND - 10 * MILLISECOND, D0, 1).granted == 0
    assert zone.lease(START + 3 * SECOND, D0, 1).granted == 0
    assert not zone.rules.shards[0].open


def test_session_lease_counts_from_the_sending_of_the_request() -> None:
    zone = Zone()
    request = zone.request_quota(START)
    zone.grant(START + 2 * SECOND, request, 8)
    assert zone.rules.shards[0].end == START + 3 * SECOND


def test_grant_that_arrives_after_its_lease_ended_opens_no_session() -> None:
    zone = Zone()
    request = zone.request_quota(START)
    zone.grant(START + 3 * SECOND, request, 8)
    assert not zone.rules.shards[0].open
    assert zone.lease(START + 3 * SECOND, D0, 1).granted == 0


def test_unprompted_grant_does_not_extend_the_lease() -> None:
    zone = Zone()
    request = zone.open()
    zone.grant(START + SECOND, request, 9, valid_ms=0, number=2)
    assert zone.rules.shards[0].end == START + 3 * SECOND
    assert zone.stock.credit.unused == 9


def test_repeated_or_older_grant_adds_no_credit() -> None:
    zone = Zone()
    request = zone.open()
    zone.grant(START, request, 8)
    zone.grant(START, request, 3, number=0)
    assert zone.stock.credit.unused == 8


def test_grants_of_another_owner_or_term_are_ignored() -> None:
    zone = Zone()
    request = zone.open()
    zone.grant(START, request, 50, owner=NEXT_OWNER, number=2)
    zone.grant(START, QuotaRequest(0, 4, 100, 1, 0, 0, False, ()), 50, number=3)
    zone.grant(START, request, 50, owner=Peer("c1", 2), number=4)
    assert zone.stock.credit.unused == 8


def test_credit_counts_as_used_when_reported_or_when_its_lease_ends_unreported() -> None:
    zone = Zone()
    zone.open()
    zone.lease(START, D0, 3)
    zone.lease(START, D1, 1)
    assert (zone.stock.credit.used, zone.stock.leased_out) == (0, 4)
    zone.lease(START + 100 * MILLISECOND, D0, 2, used=1)
    assert (zone.stock.credit.used, zone.stock.leased_out) == (1, 3)
    zone.rules.expire(START + SETTINGS.longer(2 * SECOND))
    assert (zone.stock.credit.used, zone.stock.leased_out) == (2, 2)  # the lease of d1 ended; that of d0 was renewed
    zone.rules.expire(START + 100 * MILLISECOND + SETTINGS.longer(2 * SECOND))
    assert (zone.stock.credit.used, zone.stock.leased_out) == (4, 0)


def test_credit_returned_by_a_dispatcher_is_available_again_once() -> None:
    zone = Zone()
    zone.open()
    zone.lease(START, D0, 4)
    for _ in range(2):
        zone.rules.receive_return(START, D0, LeaseReturn((Usage("team", 1, 3),), INCARNATION))
    assert (zone.stock.available, zone.stock.credit.used) == (7, 1)


def test_repeated_request_of_a_dispatcher_grants_nothing_twice() -> None:
    zone = Zone()
    zone.open()
    assert [zone.lease(START, D0, 2, sequence=4).granted for _ in range(3)] == [2, 2, 2]
    assert zone.lease(START, D0, 4, sequence=3).granted == 2


def test_restarted_dispatcher_has_a_separate_account() -> None:
    zone = Zone()
    zone.open()
    zone.lease(START, D0, 2)
    assert zone.lease(START, Peer("d0", 2), 1, controller=0).granted == 1
    assert zone.stock.leased_out == 3


def test_totals_for_an_earlier_incarnation_of_the_controller_are_ignored() -> None:
    zone = Zone()
    zone.open()
    assert zone.lease(START, D0, 2, used=70, controller=8).granted == 2
    zone.rules.receive_return(START, D0, LeaseReturn((Usage("team", 80, 0),), 8))
    assert zone.stock.leased_out == 2
    assert zone.lease(START, D0, 0, used=2).granted == 2
    assert (zone.stock.leased_out, zone.stock.credit.used) == (0, 2)


def test_dropped_idle_account_continues_from_the_dispatchers_totals() -> None:
    zone = Zone()
    zone.open()
    zone.lease(START, D0, 2)
    zone.tick(START + 121 * SECOND)
    assert zone.rules.dispatcher_count == 0
    zone.open(START + 122 * SECOND, granted=9)
    assert zone.lease(START + 122 * SECOND, D0, 2, used=2).granted == 4


def test_low_stock_triggers_a_request_to_the_owner_with_a_minimum_interval() -> None:
    zone = Zone()
    zone.open()
    zone.rules.expire(START + 60 * MILLISECOND)
    needs = (LeaseNeed("team", 0, 0, 4),)
    sent = zone.rules.lease(START + 60 * MILLISECOND, D0, LeaseRequest(1, needs, INCARNATION))
    (request,) = messages(sent, QuotaRequest)
    assert request.needs[0].wanted > 4
    assert request.session == 100
    assert request.acknowledged == 1
    assert (
        messages(zone.rules.lease(START + 100 * MILLISECOND, D1, LeaseRequest(1, needs, INCARNATION)), QuotaRequest)
        == []
    )
    assert len(zone.tick(START + 110 * MILLISECOND)) == 1


def test_requests_list_only_teams_that_changed_since_the_last_answer() -> None:
    zone = Zone()
    request = zone.open(granted=7)  # the stock of 7 requests that the zone wants
    (again,) = messages(zone.tick(START + SECOND), QuotaRequest)
    assert again.needs == ()
    zone.lease(START + SECOND, D0, 2)
    (lost,) = messages(zone.tick(START + 2 * SECOND), QuotaRequest)
    (repeated,) = messages(zone.tick(START + 3 * SECOND - 1), QuotaRequest) or messages(
        zone.tick(START + 3 * SECOND), QuotaRequest
    )
    assert request.sequence < lost.sequence < repeated.sequence
    assert lost.needs[0].team == repeated.needs[0].team == "team"
