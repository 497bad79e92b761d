"""A worker whose response to an attempt never ends."""

import pytest

from tests.support import full_speed_peer
from tests.support.full_speed_peer import Parameters
from tests.support.loopback import World, async_test, host, job, serve, until

REQUESTS = 20


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        pytest.param(
            "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", id="trailer lines"
        ),
        pytest.param("", "HTTP/1.1 100 Continue\r\n\r\n", id="interim responses"),
    ],
)
@async_test
async def test_a_request_whose_worker_never_ends_its_response_is_served_by_another_worker(start, repeated):
    """Guards against unread bytes of a response that excuse it from the accept timeout for ever."""
    async with full_speed_peer.running(Parameters(start, repeated)) as (peer, port), World(serve, serve) as world:
        await until(lambda: world.dispatcher.ready)
        await world.lists.put({"seq": 3, "whole": False, "hosts": [host("bad", port)]})
        await until(lambda: "bad" in world.dispatcher.backend.workers)
        connection = await world.connect()
        for number in range(REQUESTS):
            status, _, _ = await world.ask(job(f"r{number}", timeout=2000), connection)
            assert status == 200
        assert (await peer.wait()).closed
        assert peer.result.seconds < 1.0
