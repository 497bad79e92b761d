"""Job events that workers report to the dispatcher: order, repetitions and invalid events."""

import asyncio

import pytest

from badgerroad.dispatcher import attempts as dispatcher_attempts
from tests.support.loopback import World, async_test, id_of, job, reply, serve


@async_test
async def test_event_before_the_202_counts_once_and_repetitions_get_200():
    async def events_before_the_202(world, head, _body):
        for state in ("started", "started", "running", "done", "done"):
            assert await world.call_back(id_of(head), state, share=0.5, result="early") == 200
        return reply(202)

    async with World(events_before_the_202) as w:
        status, _, body = await w.ask(job())
        assert (status, body) == (200, b"early")
        assert await w.call_back("r1", "failed") == 200
        (worker,) = w.dispatcher.decisions.workers.values()
        assert worker.in_flight_slots == worker.running_slots == 0


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"[]", id="list"),
        pytest.param(b"{}", id="empty object"),
        pytest.param(b'{"id":"r1","from":"h0","state":"odd"}', id="unknown state"),
        pytest.param(b'{"id":1,"from":"h0","state":"done"}', id="id not text"),
        pytest.param(b"[" * 60000, id="nested too deep"),
    ],
)
@async_test
async def test_malformed_event_gets_400(body):
    async with World(serve) as w:
        data = b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        assert (await w.ask(data))[0] == 400


@async_test
async def test_accept_timeout_does_not_end_an_attempt_whose_worker_has_sent_an_event(monkeypatch):
    monkeypatch.setattr(dispatcher_attempts, "ACCEPT_TIMEOUT_US", 100_000)

    async def slow_to_respond(world, head, body):
        assert await world.call_back(id_of(head), "started", world.name_of(head)) == 200
        await asyncio.sleep(0.3)
        return await serve(world, head, body)

    async with World(slow_to_respond) as w:
        assert (await w.ask(job()))[2] == b"made"
        assert len(w.hosts[0].received) == 1
