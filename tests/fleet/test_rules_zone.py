"""A zone controller: what it asks its owner for and what its dispatchers get."""

from __future__ import annotations

from rules_setup import MS, START, S, messages
from zone_setup import D0, D1, ME, NEXT_OWNER, SETTINGS, Zone

from badgerroad.fleet.messages import (
    LeaseNeed,
    LeaseRequest,
    LeaseReturn,
    QuotaRequest,
    Usage,
)
from badgerroad.fleet.rules.actions import Peer


def test_a_new_owner_is_asked_at_once_and_then_every_period() -> None:
    zone = Zone()
    request = zone.asked(START)
    assert (request.session, request.term, request.lending) == (0, 5, False)
    assert request.needs[0].wanted >= 1
    assert zone.tick(START + 999 * MS) == []
    assert len(zone.tick(START + S)) == 1


def test_a_dispatcher_is_answered_at_once_from_what_is_there() -> None:
    zone = Zone()
    zone.open()
    credit = zone.lease(START, D0, 2)
    assert credit.granted == 2
    assert credit.valid_ms == 2000


def test_no_dispatcher_takes_more_than_half_of_a_stock_but_the_last_one_is_given() -> None:
    zone = Zone()
    zone.open(granted=4)
    assert [zone.lease(START, Peer(f"d{n}", 1), 100).granted for n in range(4)] == [2, 1, 1, 0]


def test_a_lease_ends_no_later_than_the_zones_own() -> None:
    zone = Zone()
    zone.open()
    credit = zone.lease(START + 2 * S, D0, 1)
    assert credit.valid_ms >= 900
    assert SETTINGS.longer(credit.valid_ms * MS) <= S


def test_nothing_is_lent_under_a_session_that_has_ended_or_is_about_to() -> None:
    zone = Zone()
    zone.open()
    assert zone.lease(START + 3 * S - 10 * MS, D0, 1).granted == 0
    assert zone.lease(START + 3 * S, D0, 1).granted == 0
    assert not zone.rules.shards[0].open


def test_the_sessions_lease_counts_from_the_sending_of_the_request() -> None:
    zone = Zone()
    request = zone.asked(START)
    zone.grant(START + 2 * S, request, 8)
    assert zone.rules.shards[0].end == START + 3 * S


def test_a_grant_that_comes_after_its_lease_opens_nothing() -> None:
    zone = Zone()
    request = zone.asked(START)
    zone.grant(START + 3 * S, request, 8)
    assert not zone.rules.shards[0].open
    assert zone.lease(START + 3 * S, D0, 1).granted == 0


def test_a_grant_that_was_not_asked_for_lengthens_nothing() -> None:
    zone = Zone()
    request = zone.open()
    zone.grant(START + S, request, 9, valid_ms=0, number=2)
    assert zone.rules.shards[0].end == START + 3 * S
    assert zone.stock.credit.unused == 9


def test_a_repeated_or_older_grant_adds_nothing() -> None:
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


def test_only_what_dispatchers_report_or_leave_unreported_at_the_end_of_their_lease_counts_as_used() -> None:
    zone = Zone()
    zone.open()
    zone.lease(START, D0, 3)
    zone.lease(START, D1, 1)
    assert (zone.stock.credit.used, zone.stock.leased_out) == (0, 4)
    zone.lease(START + 100 * MS, D0, 2, used=1)
    assert (zone.stock.credit.used, zone.stock.leased_out) == (1, 3)
    zone.rules.expire(START + SETTINGS.longer(2 * S))
    assert (zone.stock.credit.used, zone.stock.leased_out) == (2, 2)  # that of d0 was renewed
    zone.rules.expire(START + 100 * MS + SETTINGS.longer(2 * S))
    assert (zone.stock.credit.used, zone.stock.leased_out) == (4, 0)


def test_what_a_dispatcher_returns_serves_others_and_once_only() -> None:
    zone = Zone()
    zone.open()
    zone.lease(START, D0, 4)
    for _ in range(2):
        zone.rules.receive_return(START, D0, LeaseReturn((Usage("team", 1, 3),), ME))
    assert (zone.stock.available, zone.stock.credit.used) == (7, 1)


def test_a_repeated_request_of_a_dispatcher_gives_nothing_twice() -> None:
    zone = Zone()
    zone.open()
    assert [zone.lease(START, D0, 2, sequence=4).granted for _ in range(3)] == [2, 2, 2]
    assert zone.lease(START, D0, 4, sequence=3).granted == 2


def test_a_restarted_dispatcher_has_an_account_of_its_own() -> None:
    zone = Zone()
    zone.open()
    zone.lease(START, D0, 2)
    assert zone.lease(START, Peer("d0", 2), 1, controller=0).granted == 1
    assert zone.stock.leased_out == 3


def test_totals_of_an_earlier_incarnation_of_the_controller_are_ignored() -> None:
    zone = Zone()
    zone.open()
    assert zone.lease(START, D0, 2, used=70, controller=8).granted == 2
    zone.rules.receive_return(START, D0, LeaseReturn((Usage("team", 80, 0),), 8))
    assert zone.stock.leased_out == 2
    assert zone.lease(START, D0, 0, used=2).granted == 2
    assert (zone.stock.leased_out, zone.stock.credit.used) == (0, 2)


def test_an_idle_account_that_was_forgotten_continues_from_the_dispatchers_totals() -> None:
    zone = Zone()
    zone.open()
    zone.lease(START, D0, 2)
    zone.tick(START + 121 * S)
    assert zone.rules.dispatcher_count == 0
    zone.open(START + 122 * S, granted=9)
    assert zone.lease(START + 122 * S, D0, 2, used=2).granted == 4


def test_a_low_stock_is_reported_to_the_owner_at_once_but_not_too_often() -> None:
    zone = Zone()
    zone.open()
    zone.rules.expire(START + 60 * MS)
    needs = (LeaseNeed("team", 0, 0, 4),)
    sent = zone.rules.lease(START + 60 * MS, D0, LeaseRequest(1, needs, ME))
    (request,) = messages(sent, QuotaRequest)
    assert request.needs[0].wanted > 4
    assert request.session == 100
    assert request.acknowledged == 1
    assert messages(zone.rules.lease(START + 100 * MS, D1, LeaseRequest(1, needs, ME)), QuotaRequest) == []
    assert len(zone.tick(START + 110 * MS)) == 1


def test_requests_carry_only_teams_that_changed_since_the_last_answered() -> None:
    zone = Zone()
    request = zone.open(granted=7)  # as much as it wants
    (again,) = messages(zone.tick(START + S), QuotaRequest)
    assert again.needs == ()
    zone.lease(START + S, D0, 2)
    (lost,) = messages(zone.tick(START + 2 * S), QuotaRequest)
    (repeated,) = messages(zone.tick(START + 3 * S - 1), QuotaRequest) or messages(
        zone.tick(START + 3 * S), QuotaRequest
    )
    assert request.sequence < lost.sequence < repeated.sequence
    assert lost.needs[0].team == repeated.needs[0].team == "team"
