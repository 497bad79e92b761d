"""Messages in pieces on every kind of connection, and crowds of connections that say nothing or half a request."""

import asyncio
import socket

import pytest

from badgerroad.frontend import client as frontend_client
from tests.support.loopback import World, async_test, id_of, job, read_message, reply, serve, until


async def in_pieces(writer, data, size):
    for at in range(0, len(data), size):
        writer.write(data[at : at + size])
        await asyncio.sleep(0)


@pytest.mark.parametrize("size", [1, 3, 17])
@async_test
async def test_messages_may_come_cut_at_any_byte_on_every_kind_of_connection(size):
    async def takes(world, head, _body):
        async def ends():
            for state in ("started", "done"):
                body = b'{"id":"%s","from":"h0","state":"%s","result":"made"}' % (id_of(head).encode(), state.encode())
                reader, writer = await world.connect()
                await in_pieces(
                    writer, b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body, size
                )
                assert b" 200 " in (await read_message(reader))[0]

        world.begin(ends())
        return reply(202, b"", b"Server-Load: rps=1,inflight=2,x0=3")

    async with World(takes, ops=True) as w:
        for peer in (*w.hosts, w.discovery):
            peer.piece = size
        reader, writer = await w.connect()
        chunked = (
            job("r2").replace(b"Content-Length: 1\r\n", b"Transfer-Encoding: chunked\r\n")[:-1] + b"1\r\nx\r\n0\r\n\r\n"
        )
        for text in (job("r1", body=b"hello"), chunked):
            await in_pieces(writer, text, size)
            assert (await read_message(reader))[1] == b"made"
        assert [body for _, body in w.hosts[0].got] == [b"hello", b"x"]
        assert w.dispatcher.endpoint_watch.version == 2
        reader, writer = await asyncio.open_connection("127.0.0.1", w.ops_port)
        await in_pieces(writer, b"GET /metrics HTTP/1.1\r\nA: b\r\n\r\n", size)
        assert b'"sends":2' in (await read_message(reader))[1]


@async_test
async def test_who_is_silent_or_stopped_halfway_gives_way_to_whole_requests_and_to_those_that_wait(monkeypatch):
    for name, time in (("FRESH_TIME_US", 60_000_000), ("REQUEST_TIMEOUT_US", 60_000_000), ("EVICTION_GRACE_US", 0)):
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
async def test_a_crowd_that_comes_at_once_is_looked_through_once():
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
