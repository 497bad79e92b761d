"""A zone controller's sessions with its owners, and its reserve during a partition."""

from __future__ import annotations

from rules_setup import MILLISECOND, SECOND, START, messages
from zone_setup import D0, LENDING_US, NEXT_OWNER, OWNER, SETTINGS, Zone

from badgerroad.fleet.messages import (
    QuotaRequest,
)


def test_unleased_credit_is_carried_to_the_next_owner_without_credit_leased_to_dispatchers() -> None:
    zone = Zone()
    zone.open()
    zone.lease(START, D0, 3)
    now = START + 5 * SECOND
    zone.announce(now, NEXT_OWNER, 6)
    (request,) = messages(zone.tick(now), QuotaRequest)
    assert (request.term, request.session, request.stamp, request.lending) == (6, 0, 0, False)
    assert request.needs[0].carried == 5
    zone.grant(now, request, 5, owner=NEXT_OWNER, session=7)
    assert zone.stock.credit.unused == 5
    assert zone.stock.carried == 0


def test_open_session_keeps_its_owner_until_its_end() -> None:
    zone = Zone()
    zone.open()
    zone.announce(START + SECOND, NEXT_OWNER, 6)
    assert [action.to for action in zone.tick(START + SECOND)] == ["c1"]
    assert [action.to for action in zone.tick(START + 3 * SECOND)] == ["c2"]


def test_no_credit_is_carried_over_after_the_carry_time() -> None:
    zone = Zone()
    zone.open()
    now = START + 3 * SECOND + SETTINGS.carry_ms * MILLISECOND
    zone.announce(now, NEXT_OWNER, 6)
    (request,) = messages(zone.tick(now), QuotaRequest)
    assert request.needs[0].carried == 0


def test_zone_never_returns_to_an_owner_whose_session_it_left() -> None:
    zone = Zone()
    zone.open()
    zone.announce(START + 3 * SECOND, NEXT_OWNER, 6)
    zone.tick(START + 3 * SECOND)
    zone.announce(START + 20 * SECOND, OWNER, 5)
    zone.tick(START + 20 * SECOND)
    assert zone.rules.shards[0].owner is not None
    assert zone.rules.shards[0].owner.peer == NEXT_OWNER


def test_session_dropped_by_the_owner_restarts_empty() -> None:
    zone = Zone()
    zone.open()
    request = zone.request_quota(START + 10 * SECOND)
    assert request.session == 100
    zone.grant(START + 10 * SECOND, request, 0, session=101, number=1)
    assert zone.stock.credit.unused == 0
    assert zone.rules.shards[0].number == 101
    zone.grant(START + 10 * SECOND, request, 8, session=100, number=9)
    assert zone.stock.credit.unused == 0
    assert zone.rules.shards[0].number == 101


def test_zone_that_continues_the_same_session_keeps_its_stock() -> None:
    zone = Zone()
    zone.open()
    zone.lease(START, D0, 3)
    request = zone.request_quota(START + 5 * SECOND)
    zone.grant(START + 5 * SECOND, request, 8, number=2)
    assert (zone.stock.available, zone.stock.credit.used) == (5, 3)


def test_zone_with_an_open_session_lends_its_reserve_with_the_owners_newest_stamp() -> None:
    zone = Zone()
    zone.open()
    (request,) = messages(zone.tick(START + SECOND), QuotaRequest)
    assert request.lending
    assert request.stamp == 77
    assert zone.rules.shards[0].reserve.usable_from == START + SECOND + LENDING_US


def test_partitioned_zone_uses_at_most_its_reserve_after_the_lending_ended() -> None:
    zone = Zone(quota=30.0)  # its reserve: two requests per second
    zone.open()
    zone.tick(START + SECOND)
    usable = START + SECOND + LENDING_US
    assert zone.lease(usable - 1, D0, 1).granted == 0
    given = 0
    for tenth in range(101):
        now = usable + tenth * SECOND // 10
        for action in zone.tick(now):
            assert not action.message.lending  # type: ignore[union-attr]
        given = zone.lease(now, D0, 1, used=given).granted
    assert 19 <= given <= 20


def test_reconnected_zone_lends_again_only_after_leases_from_its_reserve_ended() -> None:
    zone = Zone()
    zone.open()
    now = START + 10 * SECOND
    assert zone.lease(now, D0, 1).granted == 1
    ended = now + SETTINGS.longer(2 * SECOND)
    request = zone.request_quota(now + SECOND)
    zone.grant(now + SECOND, request, 8, number=2)
    zone.lease(now + SECOND, D0, 0, used=1)
    assert zone.stock.credit.used == 0  # the lease came from the reserve and is not part of the session
    (request,) = messages(zone.tick(ended - 1), QuotaRequest)
    assert not request.lending
    zone.grant(ended, request, 8, number=3)
    (request,) = messages(zone.tick(ended + SECOND), QuotaRequest)
    assert request.lending


def test_second_partition_starts_with_an_empty_reserve() -> None:
    zone = Zone(quota=30.0)
    zone.open()
    now = START + 10 * SECOND
    assert zone.lease(now, D0, 1).granted == 1
    request = zone.request_quota(now + SECOND)
    zone.grant(now + SECOND, request, 8, number=2)
    cut = now + SECOND + 3 * SECOND
    assert zone.lease(cut, D0, 1, used=1).granted == 1
    assert zone.lease(cut + SECOND, D0, 1, used=1).granted == 2
