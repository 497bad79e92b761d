"""The reserve of a zone that is cut off: nobody mints a part for which the other side may."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from rules_setup import START, S, fleet

from badgerroad.fleet.rules.demand import Demand, target_stock
from badgerroad.fleet.rules.reserve import Lending, Reserve, ReserveStock, zone_share

SETTINGS = fleet()  # three zones, a fifth of each quota in reserve
LENT = int(5 * S * (1 + 2 * SETTINGS.clock_margin)) + 1


def test_a_zone_that_has_just_started_uses_no_reserve_for_as_long_as_it_may_have_lent_it() -> None:
    reserve = Reserve(SETTINGS, START)
    assert not reserve.usable(START + LENT - 1)
    assert reserve.usable(START + LENT)


def test_a_zone_uses_no_reserve_for_as_long_as_it_lends_it() -> None:
    reserve = Reserve(SETTINGS, START)
    reserve.lend(START + 10 * S)
    assert not reserve.usable(START + 10 * S + LENT - 1)
    assert reserve.usable(START + 10 * S + LENT)


def test_a_zone_lends_again_only_after_all_leases_out_of_its_reserve() -> None:
    reserve = Reserve(SETTINGS, START)
    reserve.lease(START + 12 * S)
    reserve.lease(START + 11 * S)
    assert not reserve.may_lend(START + 12 * S - 1)
    assert reserve.may_lend(START + 12 * S)


def test_a_reserve_accrues_from_zero_up_to_a_second_or_one_request() -> None:
    stock = ReserveStock(START)
    assert stock.available(START, 0.5) == 0
    assert stock.available(START + 2 * S, 0.5) == 1
    assert stock.available(START + 60 * S, 0.5) == 1
    stock.take(1)
    assert stock.available(START + 60 * S, 0.5) == 0
    assert ReserveStock(START).available(START + 60 * S, 7.5) == 7


def test_a_reserve_that_is_asked_often_accrues_as_much() -> None:
    stock = ReserveStock(START)
    taken = 0
    for millisecond in range(1, 10_001):
        if stock.available(START + millisecond * 1000, 0.3337):
            stock.take(1)
            taken += 1
    assert taken == 3


def test_the_owner_mints_all_but_the_reserve_while_nobody_lends() -> None:
    lending = Lending(SETTINGS, START)
    lending.advance(START + 10 * S)
    assert abs(lending.refilled - 8 * S) < 1


def test_the_owner_mints_all_while_every_zone_lends() -> None:
    lending = Lending(SETTINGS, START)
    for name in ("c0", "c1", "c2"):
        lending.lend(START, name, START, START)
    lending.advance(START + 5 * S)
    assert abs(lending.refilled - 5 * S) < 1
    lending.advance(START + 10 * S)
    assert abs(lending.refilled - 9 * S) < 1


def test_an_older_stamp_shortens_nothing() -> None:
    lending = Lending(SETTINGS, START)
    lending.lend(START + S, "c0", START + S, START)
    lending.lend(START + S, "c0", START, START)
    assert lending.lent_until == {"c0": START + 6 * S}


@given(
    st.lists(st.tuples(st.integers(0, 3 * S), st.integers(0, 2 * S), st.booleans()), min_size=1, max_size=30),
    st.floats(0.99, 1.01),
    st.floats(0.99, 1.01),
)
def test_owner_and_zone_never_mint_the_same_part_for_clocks_a_hundredth_off(
    steps: list[tuple[int, int, bool]], owner_rate: float, zone_rate: float
) -> None:
    """True time here; each step: a stamp is read, some time later the zone sends it back, which arrives or not."""
    true = 0.0
    reserve = Reserve(SETTINGS, 0)
    lent_until_true = 0.0
    for wait, on_the_way, arrives in steps:
        stamped = true
        sent = stamped + on_the_way
        true = max(sent, stamped + wait)
        reserve.lend(int(sent * zone_rate))
        if arrives:
            lending = Lending(SETTINGS, 0)
            stamp = int(stamped * owner_rate)
            lending.lend(int(true * owner_rate), "c0", stamp, 0)
            lent_until_true = max(lent_until_true, lending.lent_until["c0"] / owner_rate)
        assert reserve.usable_from / zone_rate >= lent_until_true


def test_a_stock_has_one_request_at_least_and_more_by_demand() -> None:
    settings = fleet(19)
    assert target_stock(0.0, 1.0, settings) == 1
    assert (
        target_stock(0.0, 100.0, settings) < target_stock(10.0, 100.0, settings) < target_stock(50.0, 100.0, settings)
    )
    assert target_stock(1000.0, 100.0, settings) == target_stock(100.0, 100.0, settings)


@given(st.floats(0.01, 1000.0), st.integers(1, 30), st.integers(1, 4), st.floats(0.1, 5.0), st.floats(0.0, 1.0))
def test_the_stocks_of_all_zones_fit_in_the_bucket(
    quota: float, zones: int, each: int, burst: float, skew: float
) -> None:
    """Whatever part of half the quota one zone has, the others sharing the rest."""
    settings = fleet(zones, requests_per_zone=each, burst_s=burst)
    one = quota / 2 * (skew if zones > 1 else 1.0)
    other = (quota / 2 - one) / max(1, zones - 1)
    stocks = target_stock(one, quota, settings) + (zones - 1) * target_stock(other, quota, settings)
    assert stocks <= settings.depth(quota) * 1.2 + 1


def test_demand_fades_with_time() -> None:
    demand = Demand(START)
    for tenth in range(200):
        demand.add(START + tenth * S // 10, 1)
    assert 9.0 < demand.rate(START + 20 * S) < 11.0
    assert demand.rate(START + 40 * S) < 0.1


def test_all_zones_parts_make_up_the_reserve() -> None:
    assert abs(zone_share(SETTINGS) * 3 - SETTINGS.reserve_share) < 1e-12
