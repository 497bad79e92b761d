"""How the response of a worker determines the result of the attempt and the response to the client."""

import asyncio

import pytest

from badgerroad.dispatcher import attempts as dispatcher_attempts
from badgerroad.load_balancing import interface
from tests.support.loopback import World, accept_only, async_test, job, reply, serve, until


def closes_connection(_world, _head, _body):
    return None


@async_test
async def test_request_is_forwarded_byte_for_byte_and_its_result_returned():
    async with World(serve) as w:
        body = bytes(range(256)) * 256
        status, _, result = await w.ask(job("r1", "bundle", 3000, body, "Idempotency-Key: k  9", "Client-Retry: 1"))
        head, forwarded_body = w.hosts[0].received[0]
        assert (status, result, forwarded_body) == (200, b"made", body)
        assert head.startswith(b"POST /bundle/7f3a?q=%20 HTTP/1.1\r\n")
        assert b"Idempotency-Key: k  9\r\n" in head
        assert b"Client-Retry" not in head
        remaining_ms = int(head.split(b"Request-Timeout-Ms: ")[1].split(b"\r\n")[0])
        assert 0 < remaining_ms <= 3000
        assert not w.dispatcher.open_requests
        assert not w.dispatcher.requests_by_id
        assert not w.dispatcher.backend.attempts


@pytest.mark.parametrize(
    ("script", "result"),
    [
        pytest.param(closes_connection, interface.AttemptResult.RESET, id="connection broken before the 202"),
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
        events, handle = [], w.dispatcher.decisions.handle
        w.dispatcher.decisions.handle = lambda now, e: events.append(e) or handle(now, e)
        w.begin(w.ask(job("r1", "bundle")))
        await until(lambda: any(type(e) is interface.AttemptEnded for e in events))
        assert next(e.result for e in events if type(e) is interface.AttemptEnded) == result


@async_test
async def test_client_error_of_a_worker_is_returned_and_does_not_count_against_it():
    async with World(*[lambda *_: reply(404)] * 2) as w:
        assert (await w.ask(job()))[0] == 404
        assert sum(len(h.received) for h in w.hosts) == 1
        assert not w.dispatcher.open_requests
        assert [worker.consecutive_failures for worker in w.dispatcher.decisions.subsets.ready] == [0, 0]
        assert not w.dispatcher.decisions.requests


@async_test
async def test_worker_that_does_not_accept_in_time_is_given_up_and_another_worker_serves(monkeypatch):
    monkeypatch.setattr(dispatcher_attempts, "ACCEPT_TIMEOUT_US", 100_000)

    async def ignores_first_request(world, head, body):
        if sum(len(h.received) for h in world.hosts) == 1:
            await asyncio.sleep(60)
        return await serve(world, head, body)

    async with World(ignores_first_request, ignores_first_request) as w:
        assert (await w.ask(job()))[0] == 200
        assert sorted(len(h.received) for h in w.hosts) == [1, 1]
        assert sorted(worker.consecutive_failures for worker in w.dispatcher.decisions.subsets.ready) == [0, 1]


@async_test
async def test_first_attempt_determines_the_response_if_the_hedged_request_is_rejected():
    def accepts_first_request_only(world, _head, _body):
        return reply(202 if sum(len(h.received) for h in world.hosts) == 1 else 409)

    async with World(accepts_first_request_only, accepts_first_request_only) as w:
        response = w.begin(w.ask(job()))
        await until(lambda: w.dispatcher.open_requests and w.dispatcher.open_requests[1].attempts[0].accepted)
        first = w.dispatcher.open_requests[1].attempts[0].worker
        w.dispatcher.decisions.may_begin = lambda *_: True  # in place of the policy's decision to send or not
        w.dispatcher.perform_actions([interface.Send(1, "h1" if first == "h0" else "h0")])
        await until(lambda: w.dispatcher.open_requests[1].attempts[1].ended)
        assert await w.call_back("r1", "done", first, result="made") == 200
        assert (await response)[2] == b"made"


@async_test
async def test_attempt_timeout_cancels_the_job_and_the_client_gets_504_in_time():
    async with World(accept_only) as w:
        started_at = asyncio.get_running_loop().time()
        status, _, _ = await w.ask(job("r1", "bundle", 1000))
        assert status == 504  # not 503, since the job may have run
        assert asyncio.get_running_loop().time() - started_at >= 0.9
        await until(lambda: any(h.startswith(b"DELETE") for h, _ in w.hosts[0].received))
        await until(lambda: not w.dispatcher.open_requests)
