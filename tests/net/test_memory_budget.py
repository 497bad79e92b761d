"""The budget of the bytes that messages take: its size, and its accounts."""

import pytest

from badgerroad.net.memory_budget import CONNECTION_BYTES, PROCESS_MB, MemoryBudget, MemoryPlan
from badgerroad.net.process_memory import BYTES_PER_MB


@pytest.mark.parametrize("sockets", [64, 256, 512, 1024])
@pytest.mark.parametrize("memory_mb", [32, 48, 64, 96, 128, 192, 2048])
@pytest.mark.parametrize("upgrades", [False, True])
def test_processes_connections_and_messages_together_fit_into_the_limit(memory_mb, sockets, upgrades):
    plan = MemoryPlan.divide(memory_mb, sockets, upgrades)
    assert 0 < plan.connections <= sockets
    assert plan.message_bytes >= BYTES_PER_MB
    processes = 2 if upgrades and plan.has_room_for_upgrade else 1
    parts = plan.connections * CONNECTION_BYTES + plan.message_bytes
    if memory_mb > PROCESS_MB + 4:
        assert processes * PROCESS_MB * BYTES_PER_MB + parts < memory_mb * BYTES_PER_MB


def test_the_budget_grows_with_the_limit_and_shrinks_with_a_second_process():
    budgets = [MemoryPlan.divide(memory_mb, 512, True).message_bytes for memory_mb in (64, 96, 192, 1024)]
    assert budgets == sorted(set(budgets))
    assert MemoryPlan.divide(96, 512, False).message_bytes > MemoryPlan.divide(96, 512, True).message_bytes


def test_accounts_are_counted_together_and_released():
    budget = MemoryBudget(100)
    first, second = budget.account(), budget.account()
    first.resize(60)
    second.resize(30)
    assert (budget.used, budget.has_room, budget.has_headroom, budget.exhausted) == (90, True, False, False)
    second.resize(70)
    assert (budget.has_room, budget.exhausted) == (False, True)
    first.resize(5)
    assert (budget.used, budget.has_headroom) == (75, True)
    first.resize(0)
    second.resize(0)
    assert budget.used == 0


def test_what_another_process_uses_and_what_is_withheld_reduces_the_limit():
    budget = MemoryBudget(100)
    budget.set_used_elsewhere(30)
    budget.withhold(20)
    assert budget.limit == 50
    budget.set_used_elsewhere(90)
    assert (budget.limit, budget.has_room) == (0, False)
    budget.set_used_elsewhere(0)
    budget.withhold(0)
    assert budget.limit == 100
