"""Limits of a zone controller: unknown teams, changed quotas, invalid numbers, start-up and shutdown."""

from __future__ import annotations

from rules_setup import MILLISECOND, SECOND, START, messages
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


def test_team_without_a_quota_is_answered_as_unknown() -> None:
    zone = Zone()
    zone.open()
    zone.rules.set_quotas(START, {})
    assert zone.lease(START, D0, 1) == LeaseCredit("team", 0, 0, False)
    assert zone.stock.available == 0
    assert zone.stock.credit.returned == 8


def test_team_unknown_to_its_owner_is_answered_as_unknown() -> None:
    zone = Zone()
    request = zone.open()
    zone.grant(START, request, 8, number=2, known=0)
    assert not zone.lease(START, D0, 1).known


def test_team_with_a_quota_of_zero_gets_no_credit() -> None:
    zone = Zone()
    request = zone.open()
    zone.grant(START, request, 8, number=2, rate=0)
    assert zone.lease(START, D0, 1) == LeaseCredit("team", 0, 0, True)


def test_zone_that_shuts_down_returns_unleased_credit_and_grants_no_leases() -> None:
    zone = Zone()
    zone.open()
    zone.lease(START, D0, 3)
    (returned,) = messages(zone.rules.end(START), QuotaReturn)
    assert returned.usages == (Usage("team", 0, 5),)
    assert returned.session == 100
    assert zone.lease(START, D1, 1).granted == 0
    assert zone.tick(START + 5 * SECOND) == []


def test_stock_above_the_target_is_returned_with_the_next_periodic_request() -> None:
    zone = Zone()
    zone.open(granted=50)
    (request,) = messages(zone.tick(START + SECOND), QuotaRequest)
    assert request.needs[0].returned == 50 - request.needs[0].wanted > 0


def test_lowered_quota_returns_the_excess_stock_at_once() -> None:
    zone = Zone()
    request = zone.open(granted=7)
    (request,) = messages(zone.tick(START + SECOND), QuotaRequest)
    zone.grant(START + SECOND + 100 * MILLISECOND, request, 7, number=2, rate=0.5)
    (request,) = messages(zone.tick(START + SECOND + 100 * MILLISECOND), QuotaRequest)
    assert request.needs[0].returned == 6
    assert zone.stock.available == 1


def test_quota_lease_is_limited_to_the_configured_duration() -> None:
    zone = Zone()
    request = zone.request_quota(START)
    zone.grant(START, request, 8, valid_ms=600_000)
    assert zone.rules.shards[0].end == START + 3 * SECOND


def test_invalid_session_number_is_ignored() -> None:
    zone = Zone()
    request = zone.request_quota(START)
    zone.grant(START, request, 8, session=1 << 62)
    assert zone.rules.shards[0].number == 0
    zone.grant(START, request, 8)
    zone.grant(START, request, 8, session=100 + (1 << 21))
    assert zone.rules.shards[0].number == 100


def test_implausible_message_numbers_are_corrected_by_the_next_message() -> None:
    zone = Zone()
    request = zone.open()
    zone.grant(START, request, 8, number=1 << 62, stamp=1 << 62)
    zone.grant(START, request, 8, number=2, stamp=78, rate=20)
    assert zone.stock.quota == 20.0
    (request,) = messages(zone.tick(START + SECOND), QuotaRequest)
    assert (request.acknowledged, request.stamp) == (2, 78)
    zone.lease(START, D0, 1, sequence=1 << 62)
    assert zone.lease(START, D0, 2, sequence=1).granted == 2


def test_credit_above_the_bucket_depth_is_not_accepted() -> None:
    zone = Zone()
    request = zone.open()
    zone.grant(START, request, 1 << 62, number=2)
    assert zone.stock.credit.unused == 8


def test_lower_of_the_owners_and_the_configured_quota_applies() -> None:
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
    sequences = []
    for tick in range(1, 240):
        now = START + tick * 50 * MILLISECOND
        for request in messages(zone.tick(now), QuotaRequest):
            sequences += [request.sequence] if request.needs else []
            zone.grant(now, request, 7, number=request.sequence)
    assert sequences == [11]


def test_new_controller_answers_polls_once_its_sessions_are_open() -> None:
    zone = Zone()
    nothing = LeaseRequest(1, (), 0)
    assert zone.rules.lease(START, D0, nothing) == []
    zone.open()
    assert zone.rules.lease(START, D0, nothing) == [SendMessage("d0", LeaseGrant(1, ()))]
    zone.rules.end(START)
    assert zone.rules.lease(START, D0, nothing) == []


def test_controller_without_owners_answers_polls_after_ten_seconds() -> None:
    zone = Zone()
    nothing = LeaseRequest(1, (), 0)
    assert zone.rules.lease(START + 10 * SECOND - 1, D0, nothing) == []
    assert zone.rules.lease(START + 10 * SECOND, D0, nothing) == [SendMessage("d0", LeaseGrant(1, ()))]
