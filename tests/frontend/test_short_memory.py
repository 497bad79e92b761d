"""What happens to requests while the memory for messages is short.

Guards against a process that is killed for its memory: clients that stopped halfway through large requests took 64 KB
each, and those that were ended to free their descriptors kept it.
"""

import asyncio
import random

import pytest

from badgerroad.frontend import client as frontend_client
from badgerroad.frontend import eviction
from badgerroad.net.socket_stream import SocketStream
from tests.support.loopback import World, async_test, job, read_message, reply, serve, until

BODY = b"x" * 60_000
SHORT_LIMIT_BYTES = 300_000


async def half_written(w, name):
    """Send a large request without its last byte, and return its connection once all has been read."""
    before = w.dispatcher.memory.used
    connection = await w.connect()
    connection[1].write(job(name, body=BODY)[:-1])
    await until(lambda: w.dispatcher.memory.used >= before + len(BODY) or connection[0]._buffer)
    return connection


async def until_short(w):
    """Send half-written requests until the memory is short."""
    connections = []
    while w.dispatcher.memory.has_room:
        connections.append(await half_written(w, f"half{len(connections)}"))
    return connections


@async_test
async def test_half_written_requests_that_rest_make_room_for_a_large_request():
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        w.dispatcher.memory.total = SHORT_LIMIT_BYTES
        connections = await until_short(w)
        await asyncio.sleep(frontend_client.EVICTION_GRACE_US / 1e6)
        assert (await w.ask(job("r1", body=BODY)))[0] == 200
        head, _ = await read_message(connections[0][0])  # the one that has rested longest
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1" in head
        assert w.dispatcher.memory.used < SHORT_LIMIT_BYTES


@async_test
async def test_a_large_request_is_rejected_and_a_small_one_served_while_open_requests_take_all_memory():
    async def accept(world, head, body):
        return await serve(world, head, body) if b"small" in head else reply(202)

    async with World(*[accept] * 8) as w:
        await until(lambda: w.dispatcher.ready)
        w.dispatcher.memory.total = SHORT_LIMIT_BYTES
        asking = [w.begin(w.ask(job(f"r{number}", body=BODY))) for number in range(5)]
        await until(lambda: not w.dispatcher.memory.has_room)
        await asyncio.sleep(frontend_client.EVICTION_GRACE_US / 1e6)
        assert (await w.ask(job("large", body=BODY)))[0] == 503
        assert (await w.ask(job("small")))[0] == 200
        assert not any(task.done() for task in asking)
        for number in range(5):
            (attempt,) = w.dispatcher.requests_by_id[b"r%d" % number].attempts
            assert await w.call_back(f"r{number}", "done", attempt.worker, result="made") == 200
        assert [answer[0] for answer in await asyncio.gather(*asking)] == [200] * 5


@async_test
async def test_a_connection_that_this_side_has_ended_takes_no_memory_for_messages():
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        await half_written(w, "r1")
        (connection,) = w.dispatcher.frontend.connections
        connection.end_gracefully()
        assert connection.lingering
        assert w.dispatcher.memory.used == 0
        assert connection.receive_buffer.capacity == connection.receive_buffer.initial_capacity


@async_test
async def test_a_response_that_is_not_read_until_after_its_deadline_makes_room(monkeypatch):
    monkeypatch.setattr(eviction, "UNREAD_RESPONSE_GRACE_US", 0)
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        connection = await w.connect()
        connection[1].write(job("r1", timeout=300))
        await until(lambda: w.dispatcher.frontend.connections)
        (unread,) = w.dispatcher.frontend.connections
        send = SocketStream.send  # the client does not read
        monkeypatch.setattr(
            SocketStream, "send", lambda stream, data: stream is not unread.stream and send(stream, data)
        )
        await until(lambda: not unread.all_written)
        w.dispatcher.memory.total = 0
        assert not w.dispatcher.frontend.memory_relief.make_room()
        assert not unread.closed
        await asyncio.sleep(0.35)
        w.dispatcher.frontend.memory_relief.make_room()
        assert unread.closed


@pytest.mark.parametrize("seed", range(8))
@async_test
async def test_no_memory_is_counted_once_all_clients_have_left(seed):
    """Guards against an account that stays open, which would reject large requests for ever."""
    draws = random.Random(seed)

    async def run(world, head, body):
        if draws.random() < 0.3:
            return reply(draws.choice([500, 503, 202]))
        await asyncio.sleep(draws.choice([0, 0.01]))
        return await serve(world, head, body)

    async def client(w, number):
        reader, writer = await w.connect()
        data = job(f"r{number}", timeout=400, body=BODY[: draws.choice([10, 3_000, 60_000])])
        data += draws.choice([b"", b"", job(f"s{number}", timeout=400), b"no request\r\n\r\n"])
        for _ in range(draws.randint(1, 3)):
            end = draws.choice([len(data), draws.randrange(len(data) + 1)])
            writer.write(data[:end])
            data = data[end:]
            await asyncio.sleep(draws.choice([0, 0.02]))
        if draws.random() < 0.5:
            await asyncio.wait([asyncio.ensure_future(reader.read(1_000))], timeout=0.3)
        writer.close()

    async with World(run, run, run) as w:
        await until(lambda: w.dispatcher.ready)
        w.dispatcher.memory.total = SHORT_LIMIT_BYTES
        await asyncio.gather(*(client(w, number) for number in range(40)))
        await until(lambda: not w.dispatcher.open_requests and not w.dispatcher.frontend.connections)
        assert w.dispatcher.memory.used == 0
        assert any(head.startswith(b"POST") for peer in w.hosts for head, _ in peer.received)


async def finish(w, name):
    """Report the only attempt of a request as done."""
    (attempt,) = w.dispatcher.requests_by_id[name.encode()].attempts
    assert await w.call_back(name, "done", attempt.worker, result="made") == 200


@async_test
async def test_requests_behind_an_open_one_wait_unread_while_memory_is_short_and_are_answered_later():
    async def accept_first(world, head, body):
        return reply(202) if b"first" in head else await serve(world, head, body)

    async with World(accept_first) as w:
        await until(lambda: w.dispatcher.ready)
        w.dispatcher.memory.total = SHORT_LIMIT_BYTES
        reader, writer = await w.connect()
        writer.write(job("first", body=BODY))
        await until(lambda: b"first" in w.dispatcher.requests_by_id)
        other = w.dispatcher.memory.account()
        other.resize(SHORT_LIMIT_BYTES)
        writer.write(job("second", body=BODY) + job("third", body=BODY))
        await until(lambda: w.dispatcher.frontend.memory_relief.paused)
        (connection,) = w.dispatcher.frontend.memory_relief.paused
        await asyncio.sleep(0.05)
        assert connection.memory.size <= 2 * frontend_client.SMALL_REQUEST_BYTES
        other.resize(0)
        w.dispatcher.frontend.memory_relief.check()
        await finish(w, "first")
        for _ in range(3):
            head, body = await read_message(reader)
            assert (head.split()[1], body) == (b"200", b"made")
        assert not w.dispatcher.frontend.memory_relief.paused


@async_test
async def test_a_client_that_leaves_while_its_bytes_wait_for_memory_is_noticed():
    async def accept(world, head, body):
        return reply(200 if head.startswith(b"DELETE") else 202)

    async with World(accept) as w:
        await until(lambda: w.dispatcher.ready)
        w.dispatcher.memory.total = 0
        _, writer = await w.connect()
        writer.write(job("first") + job("second", body=BODY))
        await until(lambda: w.dispatcher.frontend.memory_relief.paused)
        writer.close()
        await asyncio.sleep(0.05)
        w.dispatcher.frontend.memory_relief.check()
        await until(lambda: not w.dispatcher.open_requests and not w.dispatcher.frontend.connections)
        assert not w.dispatcher.frontend.memory_relief.paused


@async_test
async def test_a_small_request_is_rejected_only_when_its_own_part_of_the_memory_is_used_too(capfd):
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        w.dispatcher.memory.total = SHORT_LIMIT_BYTES
        other = w.dispatcher.memory.account()
        other.resize(int(SHORT_LIMIT_BYTES * 1.1))
        w.dispatcher.frontend.memory_relief.check()
        w.dispatcher.frontend.memory_relief.check()
        assert (await w.ask(job("r1")))[0] == 200
        other.resize(int(SHORT_LIMIT_BYTES * 1.3))
        status, head, _ = await w.ask(job("r2"))
        assert status == 503
        assert b"Retry-After: 1" in head
        other.resize(0)
        w.dispatcher.frontend.memory_relief.check()
        assert (await w.ask(job("r3")))[0] == 200
    lines = [line.split()[2] for line in capfd.readouterr().err.splitlines() if " memory_" in line]
    assert lines == ["memory_short", "memory_recovered"]
