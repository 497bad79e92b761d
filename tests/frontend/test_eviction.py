"""Eviction of client connections when descriptors are scarce."""

import socket

from badgerroad.frontend import client as frontend_client
from tests.support.loopback import World, async_test, job, serve, until


@async_test
async def test_connections_without_a_complete_request_are_evicted_first(monkeypatch):
    for name, value in (
        ("MIN_IDLE_BEFORE_EVICTION_US", 60_000_000),
        ("REQUEST_TIMEOUT_US", 60_000_000),
        ("EVICTION_GRACE_US", 0),
    ):
        monkeypatch.setattr(frontend_client, name, value)  # no timeout ends a connection during this test
    async with World(serve, limits=224, ops=True) as w:
        frontend, descriptors = w.dispatcher.frontend, w.dispatcher.descriptors
        await until(lambda: w.dispatcher.ready)
        busy_client = await w.connect()
        assert (await w.ask(job("r0"), busy_client))[0] == 200
        incomplete = [await w.connect() for _ in range(60)]
        for _, writer in incomplete:
            writer.write(b"POST /preview/x HTT")
        await until(lambda: len(frontend.connections) >= 61)
        # The remaining 4 % of the descriptors are too few for an attempt of a new request.
        descriptors.used += int(0.96 * descriptors.limit) - descriptors.used
        assert (await w.ask(job("r1"), busy_client))[0] == 200
        descriptors.used += descriptors.limit - descriptors.used  # no descriptor is left
        assert (await w.ask(job("r2")))[0] == 200
        assert (await w.ask(job("r3"), busy_client))[0] == 200  # a client with frequent requests is evicted last


@async_test
async def test_connections_are_searched_for_eviction_once_per_accepted_batch():
    """Searching all connections for each accepted connection blocked the event loop for 0.4 s with 900 connections."""
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        searches = []
        w.dispatcher.intake.shed_idle_connections = lambda: searches.append(1)
        w.dispatcher.descriptors.used += int(0.92 * w.dispatcher.descriptors.limit)
        # Connecting blocks the event loop, so the connections are then accepted in batches.
        clients = [socket.create_connection(("127.0.0.1", w.port)) for _ in range(40)]
        await until(lambda: len(w.dispatcher.frontend.connections) == 40)
        assert 0 < len(searches) < 10
        for sock in clients:
            sock.close()
