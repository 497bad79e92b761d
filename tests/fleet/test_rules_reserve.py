"""The reserve of a partitioned zone: owner and zone never mint the same share at the same time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from rules_setup import SECOND, START, fleet

from badgerroad.fleet.rules.demand import Demand, target_stock
from badgerroad.fleet.rules.reserve import Lending, Reserve, ReserveStock, zone_share

SETTINGS = fleet()  # three zones; a fifth of each quota is in reserve
LENDING_US = int(5 * SECOND * (1 + 2 * SETTINGS.clock_margin)) + 1


def test_started_zone_does_not_use_its_reserve_while_it_may_still_be_lent() -> None:
    reserve = Reserve(SETTINGS, START)
    assert not reserve.usable(START + LENDING_US - 1)
    assert reserve.usable(START + LENDING_US)


def test_zone_does_not_use_its_reserve_while_it_is_lent() -> None:
    reserve = Reserve(SETTINGS, START)
    reserve.lend(START + 10 * SECOND)
    assert not reserve.usable(START + 10 * SECOND + LENDING_US - 1)
    assert reserve.usable(START + 10 * SECOND + LENDING_US)


def test_zone_lends_again_only_after_all_leases_from_its_reserve_ended() -> None:
    reserve = Reserve(SETTINGS, START)
    reserve.lease(START + 12 * SECOND)
    reserve.lease(START + 11 * SECOND)
    assert not reserve.may_lend(START + 12 * SECOND - 1)
    assert reserve.may_lend(START + 12 * SECOND)


def test_reserve_accrues_from_zero_up_to_one_second_or_one_request() -> None:
    stock = ReserveStock(START)
    assert stock.available(START, 0.5) == 0
    assert stock.available(START + 2 * SECOND, 0.5) == 1
    assert stock.available(START + 60 * SECOND, 0.5) == 1
    stock.take(1)
    assert stock.available(START + 60 * SECOND, 0.5) == 0
    assert ReserveStock(START).available(START + 60 * SECOND, 7.5) == 7


def test_frequent_reads_do_not_change_the_accrual_of_a_reserve() -> None:
    stock = ReserveStock(START)
    taken = 0
    for millisecond in range(1, 10_001):
        if stock.available(START + millisecond * 1000, 0.3337):
            stock.take(1)
            taken += 1
    assert taken == 3


def test_owner_mints_everything_except_the_reserve_while_no_zone_lends() -> None:
    lending = Lending(SETTINGS, START)
    lending.advance(START + 10 * SECOND)
    assert abs(lending.refilled - 8 * SECOND) < 1


def test_owner_mints_the_full_quota_while_every_zone_lends() -> None:
    lending = Lending(SETTINGS, START)
    for name in ("c0", "c1", "c2"):
        lending.lend(START, name, START, START)
    lending.advance(START + 5 * SECOND)
    assert abs(lending.refilled - 5 * SECOND) < 1
    lending.advance(START + 10 * SECOND)
    assert abs(lending.refilled - 9 * SECOND) < 1


def test_older_stamp_does_not_shorten_the_lending() -> None:
    lending = Lending(SETTINGS, START)
    lending.lend(START + SECOND, "c0", START + SECOND, START)
    lending.lend(START + SECOND, "c0", START, START)
    assert lending.lent_until == {"c0": START + 6 * SECOND}


@given(
    st.lists(st.tuples(st.integers(0, 3 * SECOND), st.integers(0, 2 * SECOND), st.booleans()), min_size=1, max_size=30),
    st.floats(0.99, 1.01),
    st.floats(0.99, 1.01),
)
def test_owner_and_zone_never_mint_the_same_share_with_clocks_one_percent_off(
    steps: list[tuple[int, int, bool]], owner_rate: float, zone_rate: float
) -> None:
    """In each step the zone sends back a stamp some time after the owner issued it, and the message arrives or is lost.

    Times are true time unless converted by a clock rate.
    """
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


def test_target_stock_is_at_least_one_request_and_grows_with_demand() -> None:
    settings = fleet(19)
    assert target_stock(0.0, 1.0, settings) == 1
    assert (
        target_stock(0.0, 100.0, settings) < target_stock(10.0, 100.0, settings) < target_stock(50.0, 100.0, settings)
    )
    assert target_stock(1000.0, 100.0, settings) == target_stock(100.0, 100.0, settings)


@given(st.floats(0.01, 1000.0), st.integers(1, 30), st.integers(1, 4), st.floats(0.1, 5.0), st.floats(0.0, 1.0))
def test_stocks_of_all_zones_fit_in_the_bucket(quota: float, zones: int, each: int, burst: float, skew: float) -> None:
    """Demand is half the quota: one zone has any part of it, and the others share the rest evenly."""
    settings = fleet(zones, requests_per_zone=each, burst_s=burst)
    one = quota / 2 * (skew if zones > 1 else 1.0)
    other = (quota / 2 - one) / max(1, zones - 1)
    stocks = target_stock(one, quota, settings) + (zones - 1) * target_stock(other, quota, settings)
    assert stocks <= settings.depth(quota) * 1.2 + 1


def test_demand_decays_over_time() -> None:
    demand = Demand(START)
    for tenth in range(200):
        demand.add(START + tenth * SECOND // 10, 1)
    assert 9.0 < demand.rate(START + 20 * SECOND) < 11.0
    assert demand.rate(START + 40 * SECOND) < 0.1


def test_shares_of_all_zones_add_up_to_the_reserve() -> None:
    assert abs(zone_share(SETTINGS) * 3 - SETTINGS.reserve_share) < 1e-12
