"""Real processes upgraded under load, and other processes that die or stop at any step."""

import asyncio
import signal
import socket
from collections import Counter

import pytest

from tests.support.loopback import async_test, until
from tests.support.service import Service


def lose_discovery(service):
    service.discovery.server.close()
    for writer in service.discovery.writers:
        writer.close()


async def upgrade_once(service, meanwhile):
    """Start a new process beside the one that runs, and end one of them; with "third", the two that are older."""
    (old, _), new = service.processes[-1], await service.start()
    if meanwhile == "reload":
        for process in (old, new):
            process.send_signal(signal.SIGHUP)
    if meanwhile == "third":
        await service.start()  # before the first has gone
    if meanwhile == "back":
        old, new = new, old  # what has just come ends, and the other goes on, to be found by the next
    ending = (new, old) if meanwhile == "third" else (old,)
    for process in ending:
        process.terminate()
        if process is new:  # it is between two, and waits for the older one, whose job events come through it
            await asyncio.sleep(0.5)
            assert process.returncode is None
    for process in ending:
        assert await asyncio.wait_for(process.wait(), 10) == 0
    service.processes.sort(key=lambda entry: entry[0].returncode is None)


@pytest.mark.parametrize("meanwhile", ["nothing", "reload", "outage", "third", "back"])
@async_test
async def test_upgrades_under_load_lose_no_request_and_no_connection_and_run_nothing_twice(meanwhile, tmp_path):
    async with Service(tmp_path) as s:
        await s.upgrade()
        load = asyncio.ensure_future(asyncio.wait([asyncio.ensure_future(s.client(f"c{n}", 40)) for n in range(4)]))
        if meanwhile == "outage":
            lose_discovery(s)
        for _ in range(2):
            await upgrade_once(s, meanwhile)
        done, _ = await load
        assert [t.exception() for t in done] == [None] * 4
        assert Counter(s.ends) == {(200, b"made"): 160}
        assert set(s.ran.values()) == {1}
        assert len(s.ran) == 160


@pytest.mark.parametrize("trouble", ["stopped", "stale"])
@async_test
async def test_a_process_that_finds_no_usable_peer_serves_alone(trouble, tmp_path):
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
async def test_requests_are_served_when_the_new_process_dies_or_stops_at_any_step(step, number, tmp_path):
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
