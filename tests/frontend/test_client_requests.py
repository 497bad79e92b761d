"""Scenarios over loopback: what clients send, in whole or in part, and what they are answered."""

import asyncio
import contextlib

import pytest

from badgerroad.frontend import client as frontend_client
from tests.support.loopback import SETTINGS, World, async_test, job, read_message, reply, serve, until


def silent(_world, head, _body):
    """Takes each job and says nothing more."""
    return reply(200 if head.startswith(b"DELETE") else 202)


@async_test
async def test_a_client_that_leaves_is_owed_nothing():
    async with World(silent) as w:
        _, writer = await w.connect()
        writer.write(job())
        await until(lambda: w.hosts[0].got)
        writer.close()
        await until(lambda: not w.dispatcher.has_pending_responses)
        assert await w.call_back("r1", "done", result="x") == 200
        assert not w.dispatcher.open_requests


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /-/ready HTTP/1.1\r\n\r\n", 200),
        (b"POST /-/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET /preview HTTP/1.1\r\n\r\n", 405),
        (b"POST /unknown HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404),
        (b"nonsense\r\n\r\n", 400),
        (b"POST /preview HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413),
        (b"GET / HTTP/1.1\r\nX: " + b"y" * 20000, 431),
        (job(timeout="soon"), 400),
        (job(timeout=0), 400),
        (job(request_id=""), 400),
        (job("r1", "preview", 5000, b"x", "Request-Info: slots=none"), 400),
        (job("r1", "preview", 5000, b"x", "Request-Info: slots=nan"), 400),
        (job("r1", "preview", 5000, b"x", "Request-Class: bundle"), 400),
        (job("r1", "preview", 5000, b"x", "Request-Id: r3"), 400),
        (job("../r1"), 400),
        (job(timeout=10**18), 400),
        (job("r1", "bundle", 5000, b"x", "X-No-Key: y"), 400),
    ],
)
@async_test
async def test_bad_input_gets_its_status_and_the_dispatcher_goes_on(data, status):
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        assert (await w.ask(data))[0] == status
        assert (await w.ask(job("r2")))[0] == 200


@async_test
async def test_a_claimed_wait_counts_up_to_the_deadline_of_its_class():
    async with World(silent) as w:
        w.begin(w.ask(job("r1", timeout=3_000_000)))
        await until(lambda: w.hosts[0].got)
        (request,) = w.dispatcher.open_requests.values()
        assert request.forwarded.deadline - request.received_at == SETTINGS["requestClasses"][0]["deadlineUs"]


@async_test
async def test_a_second_request_with_an_open_id_is_not_taken():
    async with World(silent) as w:
        w.begin(w.ask(job("r1")))
        await until(lambda: w.hosts[0].got)
        assert (await w.ask(job("r1")))[0] == 400
        assert len(w.dispatcher.open_requests) == 1


@async_test
async def test_requests_sent_ahead_are_answered_in_turn():
    async with World(serve) as w:
        reader, writer = await w.connect()
        writer.write(job("r1") + job("r2") + b"GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
        heads = [(await read_message(reader))[0] for _ in range(3)]
        assert [int(h.split()[1]) for h in heads] == [200, 200, 200]
        assert await reader.read() == b""


@async_test
async def test_a_client_that_asks_before_it_sends_its_body_is_told_to_go_on():
    async with World(serve) as w:
        reader, writer = await w.connect()
        head, _, body = job("r1", "preview", 5000, b"late", "Expect: 100-continue").partition(b"late")
        writer.write(head)
        assert (await read_message(reader))[0].startswith(b"HTTP/1.1 100 ")
        assert (await w.ask(b"late", (reader, writer)))[0] == 200
        assert w.hosts[0].got[0][1] == b"late"


@async_test
async def test_a_request_that_stops_or_trickles_is_given_up_and_so_is_a_silent_connection(monkeypatch):
    monkeypatch.setattr(frontend_client, "REQUEST_TIMEOUT_US", 300_000)
    async with World(serve) as w:

        async def trickle(writer):
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(b"y")
                    await asyncio.sleep(0.01)

        served, (silence, _) = await w.connect(), await w.connect()
        assert (await w.ask(job(), served))[0] == 200
        for start, more in ((job()[:40], False), (b"GET /-/ready HTTP/1.1\r\nX: ", True)):
            reader, writer = await w.connect()
            writer.write(start)
            if more:
                w.begin(trickle(writer))
            assert (await read_message(reader))[0].startswith(b"HTTP/1.1 408 ")
        await until(lambda: not w.dispatcher.has_pending_responses)
        assert await silence.read() == b""
        assert (await w.ask(job("r2"), served))[0] == 200  # between requests a client may rest


@pytest.mark.parametrize(
    ("bad", "status"),
    [
        (b"POST /nowhere HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404),
        (job("r2", timeout="soon"), 400),
        (b"nonsense\r\n\r\n", 400),
    ],
)
@async_test
async def test_what_cannot_be_used_is_answered_and_closed_on_whatever_is_sent_behind_it(monkeypatch, bad, status):
    monkeypatch.setattr(frontend_client, "LINGER_TIME_US", 60_000_000)
    async with World(serve) as w:
        reader, writer = await w.connect()
        writer.write(bad + b"z" * 32_000_000)
        await writer.drain()  # all of it is read, or this would wait for ever
        assert (await read_message(reader))[0].startswith(b"HTTP/1.1 %d " % status)
        assert await reader.read() == b""
        writer.close()
        await until(lambda: not w.dispatcher.has_pending_responses)
        assert not w.hosts[0].got


@async_test
async def test_garbage_behind_an_open_request_ends_it_at_once():
    async with World(silent) as w:
        reader, writer = await w.connect()
        writer.write(job() + b"garbage\r\n\r\n")
        head, _ = await read_message(reader)
        assert head.startswith(b"HTTP/1.1 400 ")
        assert b"Connection: close" in head
        assert await reader.read() == b""
        await until(lambda: not w.dispatcher.open_requests and not w.dispatcher.decisions.jobs)
