"""The log lines and metrics that tell how much memory a process takes."""

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
