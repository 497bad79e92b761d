"""What a worker responds, and what becomes of the attempt and of the request."""

import asyncio

import pytest

from badgerroad.dispatcher import attempts as dispatcher_attempts
from badgerroad.load_balancing import interface
from tests.support.loopback import World, accept_only, async_test, job, reply, serve, until


def breaks(_world, _head, _body):
    return None


@async_test
async def test_request_is_forwarded_byte_for_byte_and_its_result_returned():
    async with World(serve) as w:
        body = bytes(range(256)) * 256
        status, _, answer = await w.ask(job("r1", "bundle", 3000, body, "Idempotency-Key: k  9", "Client-Retry: 1"))
        head, passed = w.hosts[0].received[0]
        assert (status, answer, passed) == (200, b"made", body)
        assert head.startswith(b"POST /bundle/7f3a?q=%20 HTTP/1.1\r\n")
        assert b"Idempotency-Key: k  9\r\n" in head
        assert b"Client-Retry" not in head
        left = int(head.split(b"Request-Timeout-Ms: ")[1].split(b"\r\n")[0])
        assert 0 < left <= 3000
        assert not w.dispatcher.open_requests
        assert not w.dispatcher.requests_by_id
        assert not w.dispatcher.backend.attempts


@pytest.mark.parametrize(
    ("script", "result"),
    [
        pytest.param(breaks, interface.AttemptResult.RESET, id="connection broken before the 202"),
        pytest.param(lambda *_: reply(500), interface.AttemptResult.ERROR, id="500"),
        pytest.param(
            lambda *_: reply(503, b"", b"Not-Started: 1"), interface.AttemptResult.QUEUE_FULL, id="503 not started"
        ),
        pytest.param(lambda *_: reply(503), interface.AttemptResult.ERROR, id="503"),
        pytest.param(lambda *_: reply(429), interface.AttemptResult.ERROR, id="429"),
        pytest.param(lambda *_: reply(400), interface.AttemptResult.INVALID_REQUEST, id="400"),
        pytest.param(lambda *_: b"garbage\r\n\r\n", interface.AttemptResult.RESET, id="not HTTP"),
    ],
)
@async_test
async def test_worker_response_determines_the_attempt_result(script, result):
    async with World(script) as w:
        ends, handle = [], w.dispatcher.decisions.handle
        w.dispatcher.decisions.handle = lambda now, e: ends.append(e) or handle(now, e)
        w.begin(w.ask(job("r1", "bundle")))
        await until(lambda: any(type(e) is interface.AttemptEnded for e in ends))
        assert next(e.result for e in ends if type(e) is interface.AttemptEnded) == result


@async_test
async def test_client_error_of_a_worker_is_returned_and_does_not_count_against_it():
    async with World(*[lambda *_: reply(404)] * 2) as w:
        assert (await w.ask(job()))[0] == 404
        assert sum(len(h.received) for h in w.hosts) == 1
        assert not w.dispatcher.open_requests
        assert [x.consecutive_failures for x in w.dispatcher.decisions.subsets.ready] == [0, 0]
        assert not w.dispatcher.decisions.requests


@async_test
async def test_worker_that_does_not_accept_in_time_is_given_up_and_another_serves(monkeypatch):
    monkeypatch.setattr(dispatcher_attempts, "ACCEPT_TIMEOUT_US", 100_000)

    async def deaf_at_first(world, head, body):
        if sum(len(h.received) for h in world.hosts) == 1:
            await asyncio.sleep(60)
        return await serve(world, head, body)

    async with World(deaf_at_first, deaf_at_first) as w:
        assert (await w.ask(job()))[0] == 200
        assert sorted(len(h.received) for h in w.hosts) == [1, 1]
        assert sorted(x.consecutive_failures for x in w.dispatcher.decisions.subsets.ready) == [0, 1]


@async_test
async def test_rejected_hedged_request_leaves_the_first_attempt_to_decide():
    def first_takes_it(world, _head, _body):
        return reply(202 if sum(len(h.received) for h in world.hosts) == 1 else 409)

    async with World(first_takes_it, first_takes_it) as w:
        answer = w.begin(w.ask(job()))
        await until(lambda: w.dispatcher.open_requests and w.dispatcher.open_requests[1].attempts[0].accepted)
        first = w.dispatcher.open_requests[1].attempts[0].worker
        w.dispatcher.decisions.may_begin = lambda *_: True  # the scenario decides in the module's place
        w.dispatcher.perform_actions([interface.Send(1, "h1" if first == "h0" else "h0")])
        await until(lambda: w.dispatcher.open_requests[1].attempts[1].ended)
        assert await w.call_back("r1", "done", first, result="made") == 200
        assert (await answer)[2] == b"made"


@async_test
async def test_attempt_timeout_cancels_the_job_and_the_client_gets_504_in_time():
    async with World(accept_only) as w:
        begun = asyncio.get_running_loop().time()
        status, _, _ = await w.ask(job("r1", "bundle", 1000))
        assert status == 504  # it may have run: no refusal
        assert asyncio.get_running_loop().time() - begun >= 0.9
        await until(lambda: any(h.startswith(b"DELETE") for h, _ in w.hosts[0].received))
        await until(lambda: not w.dispatcher.open_requests)
