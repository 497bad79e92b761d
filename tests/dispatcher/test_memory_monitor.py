"""The log lines and metrics that show how much memory a process takes."""

import pytest

from badgerroad import memory_monitor
from badgerroad.config import ConfigError, check_config
from badgerroad.memory_monitor import MemoryMonitor
from badgerroad.net.process_memory import BYTES_PER_MB, resident_bytes
from tests.support.loopback import SETTINGS, World, async_test, serve, until


@async_test
async def test_the_memory_is_logged_once_when_it_is_high_and_once_when_it_is_normal_again(monkeypatch, capfd):
    async with World(serve) as w:
        w.dispatcher.config = w.dispatcher.config._replace(memory_mb=100)
        monitor = MemoryMonitor(w.dispatcher, w.dispatcher.wheel)
        for megabytes in (50, 86, 95, 80, 86, 74, 60):
            monkeypatch.setattr(memory_monitor, "resident_bytes", lambda size=megabytes: size * BYTES_PER_MB)
            monitor.start()
            monitor.close()
    lines = [line.split()[2:5] for line in capfd.readouterr().err.splitlines() if " memory_" in line]
    assert lines == [
        ["memory_high", f"resident_kb={86 * 1024}", "limit_kb=102400"],
        ["memory_normal", f"resident_kb={74 * 1024}", "limit_kb=102400"],
    ]


@async_test
async def test_the_metrics_have_the_resident_memory_and_its_limit():
    async with World(serve, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        metrics = await w.read_metrics()
        assert metrics["memory_limit_kb"] == 192 * 1024
        assert 0.5 < metrics["resident_kb"] * 1024 / resident_bytes() < 2
        assert metrics["clients"] == 0


@pytest.mark.parametrize("memory_mb", ["96", 0, -1, True, None, float("inf")])
def test_an_invalid_memory_limit_is_one_line_that_names_the_field(memory_mb):
    data = {
        "limits": {"memory_mb": memory_mb},
        "settings": SETTINGS,
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
    }
    with pytest.raises(ConfigError, match="^limits.memory_mb: ") as error:
        check_config(data, {})
    assert "\n" not in error.value.line


class ResidentMemory:
    """Stands in for the resident memory of a process, of which a part is free and can be returned."""

    def __init__(self, monkeypatch, used_mb):
        self.used_mb, self.free_mb, self.returns = used_mb, 0, 0
        monkeypatch.setattr(memory_monitor, "resident_bytes", lambda: (self.used_mb + self.free_mb) * BYTES_PER_MB)
        monkeypatch.setattr(memory_monitor, "return_free_memory", self.return_free)

    def return_free(self):
        self.returns += 1
        self.free_mb = 0


def check(monitor):
    monitor.start()
    monitor.close()


@async_test
async def test_memory_that_ended_connections_have_left_free_is_returned_to_the_system(monkeypatch):
    async with World(serve) as w:
        resident = ResidentMemory(monkeypatch, used_mb=30)
        monitor = MemoryMonitor(w.dispatcher, w.dispatcher.wheel)
        account = w.dispatcher.memory.account()
        account.resize(20 * BYTES_PER_MB)
        resident.used_mb = 50
        check(monitor)
        assert resident.returns == 0  # all of it is in use
        account.resize(0)
        resident.used_mb, resident.free_mb = 30, 20
        check(monitor)
        assert (resident.returns, resident.free_mb) == (1, 0)
        check(monitor)
        assert resident.returns == 1


@async_test
async def test_the_budget_of_messages_shrinks_while_the_process_takes_more_than_is_counted(monkeypatch):
    async with World(serve) as w:
        plan, memory = w.dispatcher.memory_plan, w.dispatcher.memory
        resident = ResidentMemory(monkeypatch, used_mb=30)
        monitor = MemoryMonitor(w.dispatcher, w.dispatcher.wheel)
        resident.used_mb = plan.resident_bytes // BYTES_PER_MB + 10
        check(monitor)
        assert memory.total - 10 * BYTES_PER_MB <= memory.limit < memory.total - 8 * BYTES_PER_MB
        resident.used_mb = 30
        check(monitor)
        assert memory.limit == memory.total
        memory.resident_elsewhere = plan.resident_bytes - 20 * BYTES_PER_MB  # the other process of an upgrade
        check(monitor)
        assert memory.limit == memory.total - 10 * BYTES_PER_MB


@async_test
async def test_a_process_that_is_too_large_for_an_upgrade_uses_the_memory_left_to_a_second_one(monkeypatch, capfd):
    """Guards against large requests that are rejected for ever because the endpoint list is long."""
    async with World(serve, ops=True) as w:
        plan, memory = w.dispatcher.memory_plan, w.dispatcher.memory
        resident = ResidentMemory(monkeypatch, used_mb=30)
        monitor = MemoryMonitor(w.dispatcher, w.dispatcher.wheel)
        check(monitor)
        assert plan.reserved_bytes
        resident.used_mb = (plan.resident_bytes - plan.reserved_bytes) // BYTES_PER_MB + 5
        for _ in range(2):
            check(monitor)
            assert memory.limit == memory.total
        resident.used_mb = 30
        check(monitor)
    lines = [line for line in capfd.readouterr().err.splitlines() if " no_memory_for_upgrade " in line]
    assert len(lines) == 1


@pytest.mark.parametrize(("memory_mb", "warns"), [(40, True), (64, False)])
@async_test
async def test_a_limit_that_leaves_no_memory_for_an_upgrade_is_logged_at_the_start(
    memory_mb, warns, monkeypatch, capfd
):
    async with World(serve, ops=True, memory_mb=memory_mb) as w:
        ResidentMemory(monkeypatch, used_mb=24)
        check(MemoryMonitor(w.dispatcher, w.dispatcher.wheel))
    assert (" no_memory_for_upgrade " in capfd.readouterr().err) == warns
