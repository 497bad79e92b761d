"""Upgrades of real processes under load, and new processes that are killed or stopped at each step."""

import asyncio
import signal
import socket
from collections import Counter

import pytest

from tests.support.loopback import async_test, until
from tests.support.service import Service


def stop_discovery(service):
    service.discovery.server.close()
    for writer in service.discovery.writers:
        writer.close()


async def upgrade_once(service, disturbance):
    """Start a new process beside the running one and end one of them.

    With "third", start a third process as well and end the two older ones; with "back", end the new process.
    """
    (old, _), new = service.processes[-1], await service.start()
    if disturbance == "reload":
        for process in (old, new):
            process.send_signal(signal.SIGHUP)
    if disturbance == "third":
        await service.start()  # a third process, started before the oldest has ended
    if disturbance == "back":
        old, new = new, old  # the new process ends; the old one continues, and the next new process finds it
    ending = (new, old) if disturbance == "third" else (old,)
    for process in ending:
        process.terminate()
        if process is new:  # the second of three stays alive for the oldest, to which it relays job events
            await asyncio.sleep(0.5)
            assert process.returncode is None
    for process in ending:
        assert await asyncio.wait_for(process.wait(), 10) == 0
    service.processes.sort(key=lambda entry: entry[0].returncode is None)


@pytest.mark.parametrize("disturbance", ["nothing", "reload", "outage", "third", "back"])
@async_test
async def test_upgrades_under_load_lose_no_request_and_no_connection_and_run_nothing_twice(disturbance, tmp_path):
    async with Service(tmp_path) as s:
        await s.upgrade()
        load = asyncio.ensure_future(asyncio.wait([asyncio.ensure_future(s.client(f"c{n}", 40)) for n in range(4)]))
        if disturbance == "outage":
            stop_discovery(s)
        for _ in range(2):
            await upgrade_once(s, disturbance)
        done, _ = await load
        assert [t.exception() for t in done] == [None] * 4
        assert Counter(s.responses) == {(200, b"made"): 160}
        assert set(s.attempt_counts.values()) == {1}
        assert len(s.attempt_counts) == 160


@pytest.mark.parametrize("peer_state", ["stopped", "stale"])
@async_test
async def test_a_process_that_finds_no_usable_peer_serves_alone(peer_state, tmp_path):
    """The peer is stopped by SIGSTOP, or has ended and left its Unix socket behind."""
    async with Service(tmp_path) as s:
        path = tmp_path / f"badgerroad-127.0.0.1-{s.port}.sock"
        if peer_state == "stopped":
            await s.upgrade()
            s.processes[0][0].send_signal(signal.SIGSTOP)
        else:
            listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            listener.bind(str(path))
            listener.close()
        await asyncio.wait_for(s.start(), 6 + 4)  # 4 s more, since a process starts slowly on a busy machine
        if peer_state == "stopped":
            s.processes[0][0].kill()
            # Until the stopped process has ended, its listen queue gets connections too.
            await s.processes[0][0].wait()
        await s.client("c", 5)
        assert Counter(s.responses) == {(200, b"made"): 5}
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
        await s.client("c", 3)
        assert Counter(s.responses) == {(200, b"made"): 3}
        # The old process is not ready again until it has found out that the new one has ended or is silent.
        while not await s.is_ready(s.processes[0][1]):
            await asyncio.sleep(0.02)
        starting.cancel()
        if number == signal.SIGKILL:
            await s.upgrade()  # a third process finds the old one, which has resumed
            assert "action='adopt listener'" in (tmp_path / "2.log").read_text()
