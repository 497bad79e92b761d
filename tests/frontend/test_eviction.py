"""Which connections of clients are ended when descriptors are scarce."""

import socket

from badgerroad.frontend import client as frontend_client
from tests.support.loopback import World, async_test, job, serve, until


@async_test
async def test_connections_without_a_complete_request_are_evicted_first(monkeypatch):
    for name, time in (("MIN_IDLE_BEFORE_EVICTION_US", 60_000_000), ("REQUEST_TIMEOUT_US", 60_000_000), ("EVICTION_GRACE_US", 0)):
        monkeypatch.setattr(frontend_client, name, time)  # nothing ends by itself
    async with World(serve, limits=224, ops=True) as w:
        side, descriptors = w.dispatcher.frontend, w.dispatcher.descriptors
        await until(lambda: w.dispatcher.ready)
        mine = await w.connect()
        assert (await w.ask(job("r0"), mine))[0] == 200
        crowd = [await w.connect() for _ in range(60)]
        for _, writer in crowd:
            writer.write(b"POST /preview/x HTT")
        await until(lambda: len(side.connections) >= 61)
        descriptors.used += int(0.96 * descriptors.limit) - descriptors.used  # too few for one more job
        assert (await w.ask(job("r1"), mine))[0] == 200
        descriptors.used += descriptors.limit - descriptors.used  # not one left
        assert (await w.ask(job("r2")))[0] == 200
        assert (await w.ask(job("r3"), mine))[0] == 200  # one with job after job goes last


@async_test
async def test_connections_are_searched_for_eviction_once_per_accepted_batch():
    """Every connection was, for each that came: with 900 of them the loop stood for 0.4 s."""
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        looks = []
        w.dispatcher.intake.shed_idle_connections = lambda: looks.append(1)
        w.dispatcher.descriptors.used += int(0.92 * w.dispatcher.descriptors.limit)
        crowd = [socket.create_connection(("127.0.0.1", w.port)) for _ in range(40)]  # the loop stands meanwhile
        await until(lambda: len(w.dispatcher.frontend.connections) == 40)
        assert 0 < len(looks) < 10
        for sock in crowd:
            sock.close()
