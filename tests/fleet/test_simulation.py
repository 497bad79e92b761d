"""The simulation itself: its clocks, its network, its event queue and the oracle's quota meter."""

from dataclasses import replace
from functools import partial
from random import Random

import pytest

from badgerroad.fleet.messages import NotOwner, VoteRelease
from tests.fleet.simulation.clock import SECOND, Clock, draw_clock
from tests.fleet.simulation.meter import QuotaMeter
from tests.fleet.simulation.network import Conditions, Network, Parcel, SlowMessages
from tests.fleet.simulation.run import run_seed
from tests.fleet.simulation.schedule import draw_schedule
from tests.fleet.simulation.setups import large_setup, small_setup
from tests.fleet.simulation.world import World


def test_clock_reading_and_its_inverse_agree() -> None:
    for seed in range(50):
        clock = draw_clock(Random(seed))
        assert abs(clock.when(clock.read(123_456_789)) - 123_456_789) < 2
        assert 0.99 <= clock.rate <= 1.01


def test_fast_clock_shows_more_time() -> None:
    assert Clock(5, 1.01).read(SECOND) == 5 + 1_010_000


def test_meter_stays_within_its_depth_at_the_quota() -> None:
    meter = QuotaMeter(10.0, 3.0)
    levels = [meter.add(time * SECOND // 10) for time in range(1_000)]
    assert max(levels) <= 1.01


def test_meter_exceeds_its_depth_when_one_request_too_many_arrives_at_once() -> None:
    meter = QuotaMeter(10.0, 3.0)
    assert [meter.add(SECOND) for _ in range(4)] == pytest.approx([1.0, 2.0, 3.0, 4.0])


def test_meter_exceeds_its_depth_at_a_rate_above_the_quota() -> None:
    meter = QuotaMeter(10.0, 3.0)
    level = 0.0
    for number in range(1_200):
        level = meter.add(number * SECOND // 12)
    assert level > 100


def test_meter_uses_the_larger_rate_until_a_quota_change_is_settled() -> None:
    meter = QuotaMeter(10.0, 3.0)
    meter.add(SECOND)
    meter.change(SECOND, 1.0, 1.0, settled=2 * SECOND)
    assert meter.add(2 * SECOND) == pytest.approx(1.0)
    assert meter.add(2 * SECOND + SECOND // 2) == pytest.approx(2 - 0.505)


def test_partition_applies_in_its_direction_only_and_ends() -> None:
    network = Network(Random(1))
    network.block({("a", "b")})
    network.block({("a", "b"), ("b", "c")})
    network.unblock({("a", "b")})
    assert network.is_blocked("a", "b")
    assert not network.is_blocked("b", "a")
    network.unblock({("a", "b"), ("b", "c")})
    assert not network.is_blocked("a", "b")
    assert not network.is_blocked("b", "c")


def test_messages_are_lost_repeated_and_delayed_in_the_given_shares() -> None:
    conditions = Conditions(100, 200, loss=0.2, repeated=0.5, late=0.1, late_delay=1_000_000)
    network = Network(Random(1), conditions)
    sent = [network.delays(Parcel("one", 1, "two", None, 0)) for _ in range(4_000)]
    copies = [delay for delays in sent for delay in delays]
    assert 700 < sum(not delays for delays in sent) < 900
    assert 1_450 < sum(len(delays) == 2 for delays in sent) < 1_750
    assert 0.07 < sum(delay > 200 for delay in copies) / len(copies) < 0.13
    assert min(copies) >= 100


def test_slow_messages_are_selected_by_kind_and_endpoints() -> None:
    network = Network(Random(1), slow=[SlowMessages("VoteRelease", "one", "", 1_000_000)])
    slow = Parcel("one", 1, "two", VoteRelease(()), 0)
    assert min(network.delays(slow)) > 1_000_000
    assert max(network.delays(replace(slow, sender="two"))) < 1_000_000
    assert max(network.delays(replace(slow, message=NotOwner(0, 0)))) < 1_000_000


def test_lost_connection_drops_messages_in_flight() -> None:
    network = Network(Random(1))
    parcel = Parcel("one", 1, "two", None, network.epoch("one", "two"))
    network.lose_connection("two", "one")
    assert network.epoch("one", "two") != parcel.connection


def test_queue_runs_events_by_time_and_order_of_entry() -> None:
    world = World(small_setup(Random(1)), Random(1))
    seen: list[str] = []
    for time, text in ((20, "c"), (10, "a"), (10, "b"), (30, "d")):
        world.at(time, partial(seen.append, text))
    world.run_until(20)
    assert seen == ["a", "b", "c"]
    assert world.now == 20


def test_stopped_node_handles_queued_messages_after_it_wakes_and_a_killed_one_never() -> None:
    world = World(small_setup(Random(1)), Random(1))
    world.start_all()
    node = world.dispatchers[0]
    handled: list[int] = []

    def event(_: object) -> list[object]:
        handled.append(world.now)
        return []

    world.stop(node)
    world.act(node, event)
    world.run_until(SECOND)
    assert handled == []
    world.wake(node)
    assert handled == [SECOND]
    world.kill(node)
    world.act(node, event)
    assert handled == [SECOND]


def test_restarted_node_has_a_higher_incarnation_and_new_rules() -> None:
    world = World(small_setup(Random(1)), Random(1))
    world.start_all()
    node = world.controllers[0]
    rules, incarnation = node.rules, node.incarnation
    world.kill(node)
    world.start(node)
    assert node.incarnation > incarnation
    assert node.rules is not rules


def test_equal_seeds_give_equal_schedules_and_runs() -> None:
    one, other = draw_schedule(5), draw_schedule(5)
    assert one == other
    assert one != draw_schedule(6)
    assert run_seed(5) == run_seed(5)


def test_drawn_schedules_contain_every_kind_of_fault() -> None:
    kinds = {type(fault).__name__ for seed in range(60) for fault in draw_schedule(seed).faults}
    assert kinds == {
        "Cut",
        "BadNetwork",
        "ConnectionLoss",
        "Stop",
        "Kill",
        "Drain",
        "Release",
        "Handover",
        "QuotaChange",
        "Flood",
    }


def test_setups_have_valid_settings() -> None:
    for seed in range(50):
        small_setup(Random(seed)).settings.check()
    large = large_setup()
    large.settings.check()
    assert len(large.settings.voters) == 7
    assert len(large.settings.controllers) == 19
    assert len(large.quotas) == 510
    assert len(large.dispatchers) == 200
