"""A zone controller's sessions with its owners, and its reserve when it is cut off."""

from __future__ import annotations

from rules_setup import MS, START, S, messages
from zone_setup import D0, LENT, NEXT_OWNER, OWNER, SETTINGS, Zone

from badgerroad.fleet.messages import (
    QuotaRequest,
)


def test_after_the_session_what_is_left_is_carried_to_the_next_owner_and_nothing_of_what_dispatchers_had() -> None:
    zone = Zone()
    zone.open()
    zone.lease(START, D0, 3)
    now = START + 5 * S
    zone.announce(now, NEXT_OWNER, 6)
    (request,) = messages(zone.tick(now), QuotaRequest)
    assert (request.term, request.session, request.stamp, request.lending) == (6, 0, 0, False)
    assert request.needs[0].carried == 5
    zone.grant(now, request, 5, owner=NEXT_OWNER, session=7)
    assert zone.stock.credit.unused == 5
    assert zone.stock.carried == 0


def test_a_running_session_keeps_its_owner_until_its_end() -> None:
    zone = Zone()
    zone.open()
    zone.announce(START + S, NEXT_OWNER, 6)
    assert [action.to for action in zone.tick(START + S)] == ["c1"]
    assert [action.to for action in zone.tick(START + 3 * S)] == ["c2"]


def test_nothing_is_carried_over_after_its_time() -> None:
    zone = Zone()
    zone.open()
    now = START + 3 * S + SETTINGS.carry_ms * MS
    zone.announce(now, NEXT_OWNER, 6)
    (request,) = messages(zone.tick(now), QuotaRequest)
    assert request.needs[0].carried == 0


def test_a_zone_never_returns_to_an_owner_whose_session_it_left() -> None:
    zone = Zone()
    zone.open()
    zone.announce(START + 3 * S, NEXT_OWNER, 6)
    zone.tick(START + 3 * S)
    zone.announce(START + 20 * S, OWNER, 5)
    zone.tick(START + 20 * S)
    assert zone.rules.shards[0].owner is not None
    assert zone.rules.shards[0].owner.peer == NEXT_OWNER


def test_a_session_that_the_owner_has_forgotten_begins_empty() -> None:
    zone = Zone()
    zone.open()
    request = zone.asked(START + 10 * S)
    assert request.session == 100
    zone.grant(START + 10 * S, request, 0, session=101, number=1)
    assert zone.stock.credit.unused == 0
    assert zone.rules.shards[0].number == 101
    zone.grant(START + 10 * S, request, 8, session=100, number=9)
    assert zone.stock.credit.unused == 0
    assert zone.rules.shards[0].number == 101


def test_a_zone_that_returns_in_the_same_session_keeps_its_stock() -> None:
    zone = Zone()
    zone.open()
    zone.lease(START, D0, 3)
    request = zone.asked(START + 5 * S)
    zone.grant(START + 5 * S, request, 8, number=2)
    assert (zone.stock.available, zone.stock.credit.used) == (5, 3)


def test_a_zone_in_contact_lends_its_reserve_with_the_owners_newest_stamp() -> None:
    zone = Zone()
    zone.open()
    (request,) = messages(zone.tick(START + S), QuotaRequest)
    assert request.lending
    assert request.stamp == 77
    assert zone.rules.shards[0].reserve.usable_from == START + S + LENT


def test_a_zone_cut_off_uses_its_reserve_after_the_time_of_its_lending_and_never_more() -> None:
    zone = Zone(quota=30.0)  # its part: two a second
    zone.open()
    zone.tick(START + S)
    usable = START + S + LENT
    assert zone.lease(usable - 1, D0, 1).granted == 0
    given = 0
    for tenth in range(101):
        now = usable + tenth * S // 10
        for action in zone.tick(now):
            assert not action.message.lending  # type: ignore[union-attr]
        given = zone.lease(now, D0, 1, used=given).granted
    assert 19 <= given <= 20


def test_a_zone_back_in_contact_lends_again_only_when_leases_out_of_its_reserve_have_ended() -> None:
    zone = Zone()
    zone.open()
    now = START + 10 * S
    assert zone.lease(now, D0, 1).granted == 1
    ended = now + SETTINGS.longer(2 * S)
    request = zone.asked(now + S)
    zone.grant(now + S, request, 8, number=2)
    zone.lease(now + S, D0, 0, used=1)
    assert zone.stock.credit.used == 0  # it was none of the session's
    (request,) = messages(zone.tick(ended - 1), QuotaRequest)
    assert not request.lending
    zone.grant(ended, request, 8, number=3)
    (request,) = messages(zone.tick(ended + S), QuotaRequest)
    assert request.lending


def test_a_second_cut_begins_with_an_empty_reserve() -> None:
    zone = Zone(quota=30.0)
    zone.open()
    now = START + 10 * S
    assert zone.lease(now, D0, 1).granted == 1
    request = zone.asked(now + S)
    zone.grant(now + S, request, 8, number=2)
    cut = now + S + 3 * S
    assert zone.lease(cut, D0, 1, used=1).granted == 1
    assert zone.lease(cut + S, D0, 1, used=1).granted == 2
