"""Peers that send without a pause: the event loop serves all other connections meanwhile."""

import asyncio
import contextlib
import time

import pytest

from tests.support import full_speed_peer
from tests.support.full_speed_peer import Parameters
from tests.support.loopback import World, accept_only, async_test, host, job, serve, until

ANSWER_LIMIT_S = 1.0  # largest time between two answers to another client
PAUSE_S = 0.02
READY = "GET /-/ready HTTP/1.1\r\n\r\n"
CHUNKED = job("flood", body=b"").decode().replace("Content-Length: 0", "Transfer-Encoding: chunked")
CHUNKED_RESPONSE = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"


async def hold_or_serve(world, head, body):
    """Script of a worker that never finishes the request `held`."""
    if b"Request-Id: held" in head:
        return accept_only(world, head, body)
    return await serve(world, head, body)


def numbered_job(number):
    return job(f"other{number}", timeout=20_000)


@contextlib.asynccontextmanager
async def another_client(world, request=numbered_job):
    """Let another client send requests one after another; check at the end that each was answered in time."""
    await until(lambda: world.dispatcher.ready)
    connection = await world.connect()
    seconds, stopping = [], asyncio.Event()

    async def send_requests():
        previous_at = time.monotonic()  # the pause counts too, as the event loop may be held in it
        while not stopping.is_set():
            status, _, _ = await world.ask(request(len(seconds)), connection)
            assert status == 200
            seconds.append(time.monotonic() - previous_at)
            previous_at = time.monotonic()
            await asyncio.sleep(PAUSE_S)

    client = world.begin(send_requests())
    await until(lambda: seconds)
    yield
    stopping.set()
    await client
    assert max(seconds) < ANSWER_LIMIT_S


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        pytest.param("", "\r\n", id="line ends before a request"),
        pytest.param(READY, "\r\n", id="line ends after a served request"),
        pytest.param(CHUNKED + "0\r\n", "X: y\r\n", id="trailer lines"),
        pytest.param("", READY, id="complete requests"),
        pytest.param(job("held").decode(), "x", id="bytes behind an open request"),
        pytest.param("nonsense\r\n\r\n", "x", id="bytes after an error response"),
    ],
)
@async_test
async def test_clients_are_answered_while_another_client_sends_at_full_speed(start, repeated):
    """Guards against a read loop that never yields while its socket has data: every other request came too late."""
    async with (
        World(hold_or_serve, hold_or_serve) as world,
        another_client(world),
        full_speed_peer.running(Parameters(start, repeated, world.port)) as (peer, _),
    ):
        assert (await peer.wait()).sent_bytes > 0


@async_test
async def test_clients_are_answered_while_an_admin_connection_sends_at_full_speed():
    """Guards against the same read loop on the admin listener."""
    async with (
        World(serve, ops=True) as world,
        another_client(world),
        full_speed_peer.running(Parameters("", "\r\n", world.ops_port)) as (peer, _),
    ):
        assert (await peer.wait()).sent_bytes > 0


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        pytest.param(CHUNKED_RESPONSE, "X: y\r\n", id="trailer lines"),
        pytest.param("", "HTTP/1.1 100 Continue\r\n\r\n", id="interim responses"),
    ],
)
@async_test
async def test_clients_are_answered_while_a_worker_sends_at_full_speed(start, repeated):
    """Guards against the same read loop on the connection of an attempt whose response never ends."""
    async with (
        full_speed_peer.running(Parameters(start, repeated)) as (peer, port),
        World() as world,
        another_client(world, lambda _: READY.encode()),
    ):
        await world.lists.put({"seq": 3, "whole": False, "hosts": [host("bad", port)]})
        await until(lambda: "bad" in world.dispatcher.backend.workers)
        world.begin(world.ask(job("held")))
        assert (await peer.wait()).sent_bytes > 0


@async_test
async def test_clients_are_answered_while_discovery_sends_at_full_speed():
    """Guards against the same read loop on the connection to discovery."""
    async with (
        full_speed_peer.running(Parameters(CHUNKED_RESPONSE, "X: y\r\n")) as (peer, port),
        World(serve) as world,
        another_client(world),
    ):
        world.dispatcher.reload(world.dispatcher.config._replace(discovery=("127.0.0.1", port)))
        assert (await peer.wait()).sent_bytes > 0
