"""Invalid and incomplete requests, and bytes sent after them."""

import asyncio
import contextlib

import pytest

from badgerroad.frontend import client as frontend_client
from tests.support.loopback import World, accept_only, async_test, job, read_message, serve, until


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(b"GET /-/ready HTTP/1.1\r\n\r\n", 200, id="ready"),
        pytest.param(b"POST /-/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405, id="ready with POST"),
        pytest.param(b"GET /preview HTTP/1.1\r\n\r\n", 405, id="request with GET"),
        pytest.param(b"POST /unknown HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404, id="unknown path"),
        pytest.param(b"nonsense\r\n\r\n", 400, id="no request line"),
        pytest.param(b"POST /preview HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413, id="body too large"),
        pytest.param(b"GET / HTTP/1.1\r\nX: " + b"y" * 20000, 431, id="header too large"),
        pytest.param(job(timeout="soon"), 400, id="timeout not a number"),
        pytest.param(job(timeout=0), 400, id="no time left"),
        pytest.param(job(request_id=""), 400, id="empty id"),
        pytest.param(job("r1", "preview", 5000, b"x", "Request-Info: slots=none"), 400, id="slots not a number"),
        pytest.param(job("r1", "preview", 5000, b"x", "Request-Info: slots=nan"), 400, id="slots NaN"),
        pytest.param(job("r1", "preview", 5000, b"x", "Request-Class: bundle"), 400, id="second class"),
        pytest.param(job("r1", "preview", 5000, b"x", "Request-Id: r3"), 400, id="second id"),
        pytest.param(job("../r1"), 400, id="id with a path"),
        pytest.param(job(timeout=10**18), 400, id="timeout too long"),
        pytest.param(job("r1", "bundle", 5000, b"x", "X-No-Key: y"), 400, id="no idempotency key"),
    ],
)
@async_test
async def test_bad_request_gets_its_status_and_the_next_request_is_served(data, status):
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        assert (await w.ask(data))[0] == status
        assert (await w.ask(job("r2")))[0] == 200


@async_test
async def test_incomplete_request_gets_408_and_idle_connection_is_closed(monkeypatch):
    monkeypatch.setattr(frontend_client, "REQUEST_TIMEOUT_US", 300_000)
    async with World(serve) as w:

        async def trickle(writer):
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(b"y")
                    await asyncio.sleep(0.01)

        served, (silent_reader, _) = await w.connect(), await w.connect()
        assert (await w.ask(job(), served))[0] == 200
        for start, keeps_sending in ((job()[:40], False), (b"GET /-/ready HTTP/1.1\r\nX: ", True)):
            reader, writer = await w.connect()
            writer.write(start)
            if keeps_sending:
                w.begin(trickle(writer))
            assert (await read_message(reader))[0].startswith(b"HTTP/1.1 408 ")
        await until(lambda: not w.dispatcher.has_pending_responses)
        assert await silent_reader.read() == b""
        assert (await w.ask(job("r2"), served))[0] == 200  # a client may stay idle between requests


@pytest.mark.parametrize(
    ("bad", "status"),
    [
        pytest.param(b"POST /nowhere HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404, id="unknown path"),
        pytest.param(job("r2", timeout="soon"), 400, id="timeout not a number"),
        pytest.param(b"nonsense\r\n\r\n", 400, id="no request line"),
    ],
)
@async_test
async def test_rejected_request_gets_its_response_whatever_is_sent_after_it(monkeypatch, bad, status):
    monkeypatch.setattr(frontend_client, "LINGER_TIME_US", 60_000_000)
    async with World(serve) as w:
        reader, writer = await w.connect()
        writer.write(bad + b"z" * 32_000_000)
        await writer.drain()  # this wait ends only if the dispatcher reads all bytes
        assert (await read_message(reader))[0].startswith(b"HTTP/1.1 %d " % status)
        assert await reader.read() == b""
        writer.close()
        await until(lambda: not w.dispatcher.has_pending_responses)
        assert not w.hosts[0].received


@async_test
async def test_invalid_bytes_after_an_open_request_end_it_with_400():
    async with World(accept_only) as w:
        reader, writer = await w.connect()
        writer.write(job() + b"garbage\r\n\r\n")
        head, _ = await read_message(reader)
        assert head.startswith(b"HTTP/1.1 400 ")
        assert b"Connection: close" in head
        assert await reader.read() == b""
        await until(lambda: not w.dispatcher.open_requests and not w.dispatcher.decisions.requests)
