"""A zone controller's limits: unknown teams, quotas that change, numbers that cannot be, its start and its end."""

from __future__ import annotations

from rules_setup import MS, START, S, messages
from zone_setup import D0, D1, Zone

from badgerroad.fleet.messages import (
    LeaseCredit,
    LeaseGrant,
    LeaseRequest,
    QuotaRequest,
    QuotaReturn,
    Usage,
)
from badgerroad.fleet.rules.actions import SendMessage


def test_a_team_without_a_quota_is_answered_as_unknown() -> None:
    zone = Zone()
    zone.open()
    zone.rules.set_quotas(START, {})
    assert zone.lease(START, D0, 1) == LeaseCredit("team", 0, 0, False)
    assert zone.stock.available == 0
    assert zone.stock.credit.returned == 8


def test_a_team_that_its_owner_does_not_know_is_answered_as_unknown() -> None:
    zone = Zone()
    request = zone.open()
    zone.grant(START, request, 8, number=2, known=0)
    assert not zone.lease(START, D0, 1).known


def test_a_team_with_a_quota_of_nothing_gets_nothing() -> None:
    zone = Zone()
    request = zone.open()
    zone.grant(START, request, 8, number=2, rate=0)
    assert zone.lease(START, D0, 1) == LeaseCredit("team", 0, 0, True)


def test_a_zone_that_shuts_down_returns_unleased_credit_and_leases_no_more() -> None:
    zone = Zone()
    zone.open()
    zone.lease(START, D0, 3)
    (returned,) = messages(zone.rules.end(START), QuotaReturn)
    assert returned.usages == (Usage("team", 0, 5),)
    assert returned.session == 100
    assert zone.lease(START, D1, 1).granted == 0
    assert zone.tick(START + 5 * S) == []


def test_stock_above_the_target_is_returned_with_the_next_periods_request() -> None:
    zone = Zone()
    zone.open(granted=50)
    (request,) = messages(zone.tick(START + S), QuotaRequest)
    assert request.needs[0].returned == 50 - request.needs[0].wanted > 0


def test_a_lowered_quota_sends_back_what_is_above_its_stock_at_once() -> None:
    zone = Zone()
    request = zone.open(granted=7)
    (request,) = messages(zone.tick(START + S), QuotaRequest)
    zone.grant(START + S + 100 * MS, request, 7, number=2, rate=0.5)
    (request,) = messages(zone.tick(START + S + 100 * MS), QuotaRequest)
    assert request.needs[0].returned == 6
    assert zone.stock.available == 1


def test_a_lease_longer_than_agreed_on_is_cut() -> None:
    zone = Zone()
    request = zone.asked(START)
    zone.grant(START, request, 8, valid_ms=600_000)
    assert zone.rules.shards[0].end == START + 3 * S


def test_a_session_number_that_cannot_be_is_ignored() -> None:
    zone = Zone()
    request = zone.asked(START)
    zone.grant(START, request, 8, session=1 << 62)
    assert zone.rules.shards[0].number == 0
    zone.grant(START, request, 8)
    zone.grant(START, request, 8, session=100 + (1 << 21))
    assert zone.rules.shards[0].number == 100


def test_numbers_out_of_order_heal_with_the_next_message() -> None:
    zone = Zone()
    request = zone.open()
    zone.grant(START, request, 8, number=1 << 62, stamp=1 << 62)
    zone.grant(START, request, 8, number=2, stamp=78, rate=20)
    assert zone.stock.quota == 20.0
    (request,) = messages(zone.tick(START + S), QuotaRequest)
    assert (request.acknowledged, request.stamp) == (2, 78)
    zone.lease(START, D0, 1, sequence=1 << 62)
    assert zone.lease(START, D0, 2, sequence=1).granted == 2


def test_more_credit_than_the_fleet_may_have_is_not_taken() -> None:
    zone = Zone()
    request = zone.open()
    zone.grant(START, request, 1 << 62, number=2)
    assert zone.stock.credit.unused == 8


def test_the_lower_of_an_owners_and_the_own_quota_counts() -> None:
    zone = Zone(quota=3.0)
    request = zone.open()
    zone.grant(START, request, 8, number=2, rate=1e9)
    assert zone.stock.rate == 3.0
    zone.rules.set_quotas(START, {"team": 7.0})
    zone.grant(START, request, 8, number=3, rate=2)
    assert zone.stock.rate == 2.0


def test_all_teams_are_sent_again_every_ten_seconds() -> None:
    zone = Zone()
    zone.open(granted=7)
    told = []
    for tick in range(1, 240):
        now = START + tick * 50 * MS
        for request in messages(zone.tick(now), QuotaRequest):
            told += [request.sequence] if request.needs else []
            zone.grant(now, request, 7, number=request.sequence)
    assert told == [11]


def test_a_new_controller_answers_polls_once_it_has_its_owners() -> None:
    zone = Zone()
    nothing = LeaseRequest(1, (), 0)
    assert zone.rules.lease(START, D0, nothing) == []
    zone.open()
    assert zone.rules.lease(START, D0, nothing) == [SendMessage("d0", LeaseGrant(1, ()))]
    zone.rules.end(START)
    assert zone.rules.lease(START, D0, nothing) == []


def test_a_controller_without_owners_answers_polls_after_ten_seconds() -> None:
    zone = Zone()
    nothing = LeaseRequest(1, (), 0)
    assert zone.rules.lease(START + 10 * S - 1, D0, nothing) == []
    assert zone.rules.lease(START + 10 * S, D0, nothing) == [SendMessage("d0", LeaseGrant(1, ()))]
