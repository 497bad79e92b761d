"""Real processes upgraded under load, and other processes that die or stop at any step."""

import asyncio
import signal
import socket
from collections import Counter

import pytest

from tests.support.loopback import async_test, until
from tests.support.service import Service


@pytest.mark.parametrize("meanwhile", ["nothing", "reload", "outage", "third", "back"])
@async_test
async def test_upgrades_under_load_lose_no_job_and_no_connection_and_run_nothing_twice(meanwhile, tmp_path):
    async with Service(tmp_path) as s:
        await s.upgrade()
        load = asyncio.ensure_future(asyncio.wait([asyncio.ensure_future(s.client(f"c{n}", 40)) for n in range(4)]))
        if meanwhile == "outage":
            s.discovery.server.close()
            for writer in s.discovery.writers:
                writer.close()
        for _ in range(2):
            (old, _), new = s.processes[-1], await s.start()
            if meanwhile == "reload":
                for p in (old, new):
                    p.send_signal(signal.SIGHUP)
            if meanwhile == "third":
                await s.start()  # before the first has gone
            if meanwhile == "back":
                old, new = new, old  # what has just come ends, and the other goes on, to be found by the next
            for p in (new, old) if meanwhile == "third" else (old,):
                p.terminate()
                if p is new:  # it is between two, and waits for the older one, whose call-backs come through it
                    await asyncio.sleep(0.5)
                    assert p.returncode is None
            for p in (new, old) if meanwhile == "third" else (old,):
                assert await asyncio.wait_for(p.wait(), 10) == 0
            s.processes.sort(key=lambda p: p[0].returncode is None)
        done, _ = await load
        assert [t.exception() for t in done] == [None] * 4
        assert Counter(s.ends) == {(200, b"made"): 160}
        assert set(s.ran.values()) == {1}
        assert len(s.ran) == 160


@pytest.mark.parametrize("trouble", ["stopped", "stale"])
@async_test
async def test_a_process_that_finds_no_useful_other_serves_all_the_same(trouble, tmp_path):
    async with Service(tmp_path) as s:
        path = tmp_path / f"badgerroad-127.0.0.1-{s.port}.sock"
        if trouble == "stopped":
            await s.upgrade()
            s.processes[0][0].send_signal(signal.SIGSTOP)
        else:
            listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            listener.bind(str(path))
            listener.close()
        await asyncio.wait_for(s.start(), 6 + 4)  # a busy machine may take its time to start it
        if trouble == "stopped":
            s.processes[0][0].kill()
            await s.processes[0][0].wait()  # until then its queue takes connections too
        await s.client("c", 5)
        assert Counter(s.ends) == {(200, b"made"): 5}
        assert path.stat().st_mode & 0o777 == 0o600


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
@pytest.mark.parametrize("step", ["send hello", "adopt listener", "send claim", "accept"])
@async_test
async def test_jobs_are_served_though_the_new_process_dies_or_stops_at_any_step(step, number, tmp_path):
    async with Service(tmp_path) as s:
        await s.upgrade()
        starting = asyncio.ensure_future(s.start())
        await until(lambda: len(s.processes) == 2)
        while f"action={step}\n" not in (tmp_path / "1.log").read_text().replace("'", ""):
            await asyncio.sleep(0.001)
        s.processes[1][0].send_signal(number)
        await s.client("c", 3)  # the old one's yes may take until the new one counts as gone
        assert Counter(s.ends) == {(200, b"made"): 3}
        while not await s.says_yes(s.processes[0][1]):
            await asyncio.sleep(0.02)
        starting.cancel()
        if number == signal.SIGKILL:
            await s.upgrade()  # a third one finds the one that has taken back
            assert "action='adopt listener'" in (tmp_path / "2.log").read_text()
