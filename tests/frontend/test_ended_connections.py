"""An ended connection is freed at once, whoever has ended it and at whatever moment.

Guards against memory that grows with the rate of ended connections: a timer, a table or a reference cycle that holds
them holds their buffers too.
"""

import asyncio
import contextlib
import gc
import weakref

import pytest

from badgerroad.frontend import client as frontend_client
from tests.support.loopback import SETTINGS, World, accept_only, async_test, job, read_message, reply, serve, until

BODY = b"x" * 60_000
FREED_WITHIN_S = 0.3


@pytest.fixture(autouse=True)
def _no_garbage_collection():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def leave_unused(w, reader, writer):
    writer.close()


async def leave_in_the_head(w, reader, writer):
    writer.write(job()[:30])


async def leave_in_the_body(w, reader, writer):
    writer.write(job(body=BODY)[:-10])


async def leave_in_a_chunk(w, reader, writer):
    writer.write(b"POST /preview/1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2000\r\n" + b"x" * 0x1000)


async def leave_with_an_open_request(w, reader, writer):
    writer.write(job(body=BODY))
    await until(lambda: w.dispatcher.open_requests)


async def leave_with_a_request_behind_an_open_one(w, reader, writer):
    writer.write(job("r1") + job("r2", body=BODY) + job("r3", body=BODY)[:-10])
    await until(lambda: w.dispatcher.open_requests)


async def leave_after_the_response(w, reader, writer):
    writer.write(job("done"))
    await read_message(reader)


async def unsound_bytes(w, reader, writer):
    writer.write(b"no request\r\n\r\n" + BODY)
    await reader.read()


async def unsound_bytes_behind_an_open_request(w, reader, writer):
    writer.write(job(body=BODY) + b"no request\r\n\r\n")
    await reader.read()


async def unknown_path(w, reader, writer):
    writer.write(b"GET /nothing HTTP/1.1\r\n\r\n")
    await reader.read()


async def stop_in_the_body(w, reader, writer):
    (connection,) = w.dispatcher.frontend.connections
    writer.write(job(body=BODY)[:-10])
    await until(lambda: len(connection.receive_buffer) > len(BODY) // 2)
    connection._request_timer.fire()
    await reader.read()


async def eviction_of_an_idle_connection(w, reader, writer):
    (connection,) = w.dispatcher.frontend.connections
    connection.end_gracefully()
    await reader.read()


async def close_in_the_body(w, reader, writer):
    (connection,) = w.dispatcher.frontend.connections
    writer.write(job(body=BODY)[:-10])
    await until(lambda: len(connection.receive_buffer) > len(BODY) // 2)
    connection.end_gracefully()
    connection.close()


async def request_to_end_after_the_response(w, reader, writer):
    writer.write(job("done", "preview", 5000, b"x", "Connection: close"))
    await reader.read()


ENDINGS = [
    leave_unused,
    leave_in_the_head,
    leave_in_the_body,
    leave_in_a_chunk,
    leave_with_an_open_request,
    leave_with_a_request_behind_an_open_one,
    leave_after_the_response,
    unsound_bytes,
    unsound_bytes_behind_an_open_request,
    unknown_path,
    stop_in_the_body,
    eviction_of_an_idle_connection,
    close_in_the_body,
    request_to_end_after_the_response,
]


async def worker(world, head, body):
    return await serve(world, head, body) if b"done" in head else accept_only(world, head, body)


async def is_freed(reference, before_each_check=lambda: None):
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(FREED_WITHIN_S):
            await until(lambda: before_each_check() or reference() is None)
    return reference() is None


@pytest.mark.parametrize("end", ENDINGS, ids=lambda end: end.__name__)
@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@async_test
async def test_an_ended_connection_of_a_client_is_freed_at_once(end, reset):
    async with World(worker) as w:
        await until(lambda: w.dispatcher.ready)
        reader, writer = await w.connect()
        await until(lambda: w.dispatcher.frontend.connections)
        (connection,) = w.dispatcher.frontend.connections
        reference = weakref.ref(connection)
        del connection
        await end(w, reader, writer)
        if reset:
            writer.transport.abort()
        writer.close()
        await until(lambda: not w.dispatcher.frontend.connections)
        assert await is_freed(reference), gc.get_referrers(reference())


@async_test
async def test_a_connection_that_this_side_has_ended_keeps_nothing_that_it_has_received(monkeypatch):
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        _, writer = await w.connect()
        writer.write(job(body=BODY)[:-10])
        await until(lambda: w.dispatcher.frontend.connections)
        (connection,) = w.dispatcher.frontend.connections
        await until(lambda: len(connection.receive_buffer) > len(BODY) // 2)
        connection.end_gracefully()
        assert connection.lingering
        assert connection.parser.head is None
        assert not len(connection.receive_buffer)
        assert connection.receive_buffer.capacity == connection.receive_buffer.initial_capacity
        writer.close()


@async_test
async def test_the_linger_time_ends_a_connection_whose_client_stays(monkeypatch):
    monkeypatch.setattr(frontend_client, "LINGER_TIME_US", 50_000)
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        _, writer = await w.connect()
        await until(lambda: w.dispatcher.frontend.connections)
        (connection,) = w.dispatcher.frontend.connections
        connection.end_gracefully()
        reference = weakref.ref(connection)
        del connection
        await until(lambda: not w.dispatcher.frontend.connections)
        assert await is_freed(reference)
        writer.close()


@pytest.mark.parametrize("answer", [reply(202), reply(500), b"no request\r\n\r\n", None], ids=str)
@async_test
async def test_an_ended_connection_to_a_worker_is_freed_at_once(answer):
    async def script(world, head, body):
        return answer if head.startswith(b"POST") else reply(200)

    references = []
    async with World(script) as w:
        pools = w.dispatcher.backend.pools
        connect = pools._new_connection
        pools._new_connection = lambda: references.append(weakref.ref(made := connect())) or made
        await until(lambda: w.dispatcher.ready)
        reader, writer = await w.connect()
        writer.write(job(body=BODY, timeout=300))
        await read_message(reader)
        writer.close()
        await until(lambda: not w.dispatcher.open_requests)
        assert references
        for reference in references:
            # A cancel or a health check may still return its connection to the idle ones.
            assert await is_freed(reference, w.dispatcher.backend.shed_idle_connections), gc.get_referrers(reference())


@async_test
async def test_the_connection_of_a_client_that_has_left_is_freed_while_its_attempt_is_still_open():
    async def script(world, head, body):
        if head.startswith(b"DELETE"):
            await asyncio.sleep(10)
        return reply(202)

    async with World(script, permissions={**SETTINGS["permissions"], "secondCopies": False}) as w:
        await until(lambda: w.dispatcher.ready)
        reader, writer = await w.connect()
        writer.write(job(body=BODY))
        await until(lambda: any(attempt.accepted for attempt in w.dispatcher.backend.attempts.values()))
        (connection,) = w.dispatcher.frontend.connections
        reference = weakref.ref(connection)
        del connection
        writer.close()
        await until(lambda: not w.dispatcher.frontend.connections)
        assert w.dispatcher.open_requests
        assert await is_freed(reference), gc.get_referrers(reference())
