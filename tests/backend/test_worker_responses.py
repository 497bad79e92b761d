"""Scenarios over loopback: what workers answer, call back, refuse or leave unsaid, and what becomes of the attempt."""

import asyncio

import pytest

from badgerroad.dispatcher import attempts as dispatcher_attempts
from badgerroad.load_balancing import interface
from tests.support.loopback import SETTINGS, World, async_test, id_of, job, reply, serve, until


def silent(_world, head, _body):
    """Takes each job and says nothing more."""
    return reply(200 if head.startswith(b"DELETE") else 202)


async def never(_world, _head, _body):
    await asyncio.sleep(60)


def breaks(_world, _head, _body):
    return None


@async_test
async def test_a_job_passes_through_byte_for_byte_and_its_result_comes_back():
    async with World(serve) as w:
        body = bytes(range(256)) * 256
        status, _, answer = await w.ask(job("r1", "bundle", 3000, body, "Idempotency-Key: k  9", "Client-Retry: 1"))
        head, passed = w.hosts[0].got[0]
        assert (status, answer, passed) == (200, b"made", body)
        assert head.startswith(b"POST /bundle/7f3a?q=%20 HTTP/1.1\r\n")
        assert b"Idempotency-Key: k  9\r\n" in head
        assert b"Client-Retry" not in head
        left = int(head.split(b"Request-Timeout-Ms: ")[1].split(b"\r\n")[0])
        assert 0 < left <= 3000
        assert not w.dispatcher.open_requests
        assert not w.dispatcher.requests_by_id
        assert not w.dispatcher.backend.attempts


@async_test
async def test_connections_to_a_host_are_used_again_and_one_it_has_closed_is_not():
    async with World(serve) as w:
        client = await w.connect()
        for n in range(3):
            assert (await w.ask(job(f"r{n}"), client))[0] == 200
        assert len(w.hosts[0].writers) == 1
        w.hosts[0].writers[0].close()
        assert (await w.ask(job("r9"), client))[0] == 200  # a write to the old one would have been a reset
        assert len(w.hosts[0].writers) == 2


@async_test
async def test_a_call_back_before_the_202_counts_once_and_repeats_get_200():
    async def events_before_the_202(world, head, _body):
        for state in ("started", "started", "running", "done", "done"):
            assert await world.call_back(id_of(head), state, share=0.5, result="early") == 200
        return reply(202)

    async with World(events_before_the_202) as w:
        status, _, body = await w.ask(job())
        assert (status, body) == (200, b"early")
        assert await w.call_back("r1", "failed") == 200
        (worker,) = w.dispatcher.decisions.workers.values()
        assert worker.tally == worker.running == 0


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{}", b'{"id":"r1","from":"h0","state":"odd"}', b'{"id":1,"from":"h0","state":"done"}', b"[" * 60000],
)
@async_test
async def test_a_bad_call_back_gets_400(body):
    async with World(serve) as w:
        data = b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        assert (await w.ask(data))[0] == 400


@pytest.mark.parametrize(
    ("script", "result"),
    [
        (breaks, interface.AttemptResult.RESET),  # before the 202
        (lambda *_: reply(500), interface.AttemptResult.ERROR),
        (lambda *_: reply(503, b"", b"Not-Started: 1"), interface.AttemptResult.QUEUE_FULL),
        (lambda *_: reply(503), interface.AttemptResult.ERROR),
        (lambda *_: reply(429), interface.AttemptResult.ERROR),
        (lambda *_: reply(400), interface.AttemptResult.INVALID_REQUEST),
        (lambda *_: b"garbage\r\n\r\n", interface.AttemptResult.RESET),
    ],
)
@async_test
async def test_how_a_host_answers_is_how_the_attempt_ends(script, result):
    async with World(script) as w:
        ends, handle = [], w.dispatcher.decisions.handle
        w.dispatcher.decisions.handle = lambda now, e: ends.append(e) or handle(now, e)
        w.begin(w.ask(job("r1", "bundle")))
        await until(lambda: any(type(e) is interface.AttemptEnded for e in ends))
        assert next(e.result for e in ends if type(e) is interface.AttemptEnded) == result


@async_test
async def test_a_request_that_a_host_cannot_use_is_answered_at_once_and_strikes_nobody():
    async with World(*[lambda *_: reply(404)] * 2) as w:
        assert (await w.ask(job()))[0] == 404
        assert sum(len(h.got) for h in w.hosts) == 1
        assert not w.dispatcher.open_requests
        assert [x.strikes for x in w.dispatcher.decisions.fleet] == [0, 0]
        assert not w.dispatcher.decisions.jobs


@async_test
async def test_a_host_that_does_not_take_a_job_is_given_up_and_another_serves_it(monkeypatch):
    monkeypatch.setattr(dispatcher_attempts, "ACCEPT_TIMEOUT_US", 100_000)

    async def deaf_at_first(world, head, body):
        if sum(len(h.got) for h in world.hosts) == 1:
            await asyncio.sleep(60)
        return await serve(world, head, body)

    async with World(deaf_at_first, deaf_at_first) as w:
        assert (await w.ask(job()))[0] == 200
        assert sorted(len(h.got) for h in w.hosts) == [1, 1]
        assert sorted(x.strikes for x in w.dispatcher.decisions.fleet) == [0, 1]


@async_test
async def test_a_host_that_calls_back_before_it_answers_is_not_given_up(monkeypatch):
    monkeypatch.setattr(dispatcher_attempts, "ACCEPT_TIMEOUT_US", 100_000)

    async def slow_to_answer(world, head, body):
        assert await world.call_back(id_of(head), "started", world.name_of(head)) == 200
        await asyncio.sleep(0.3)
        return await serve(world, head, body)

    async with World(slow_to_answer) as w:
        assert (await w.ask(job()))[2] == b"made"
        assert len(w.hosts[0].got) == 1


@async_test
async def test_a_second_copy_that_is_rejected_leaves_the_first_to_settle_it():
    def first_takes_it(world, _head, _body):
        return reply(202 if sum(len(h.got) for h in world.hosts) == 1 else 409)

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
async def test_a_host_that_refuses_connections_is_passed_over():
    async with World(serve, serve) as w:
        w.hosts[0].server.close()
        assert [(await w.ask(job(f"r{n}")))[0] for n in range(4)] == [200] * 4
        assert not w.hosts[0].got


@async_test
async def test_cancel_after_the_202_tells_the_host_and_before_it_closes():
    async with World(silent, never, permissions={**SETTINGS["permissions"], "tryLimit": 1}) as w:
        for n in (1, 2):
            w.begin(w.ask(job(f"r{n}")))
        hosts = w.hosts
        await until(lambda: hosts[0].got and hosts[1].got)
        for request in list(w.dispatcher.open_requests.values()):
            attempt = request.attempts[0]
            await until(lambda: attempt.accepted or attempt.worker == "h1")
            w.dispatcher.backend.cancel_attempt(attempt)
        await until(lambda: len(hosts[0].got) == 2)
        name = id_of(hosts[0].got[0][0]).encode()
        assert hosts[0].got[1][0].startswith(b"DELETE /jobs/" + name + b" HTTP/1.1\r\n")
        assert len(hosts[1].got) == 1
        assert not w.dispatcher.backend.attempts
        await until(lambda: w.dispatcher.descriptors.used <= 4)  # the attempt's connection to h1 is gone


@async_test
async def test_a_late_call_back_of_a_cancelled_attempt_does_not_end_the_next_one_there():
    gate = asyncio.Event()

    async def script(_world, head, _body):
        if head.startswith(b"DELETE"):
            await gate.wait()
        return reply(200 if head.startswith(b"DELETE") else 202)

    async with World(script) as w:
        answer = w.begin(w.ask(job()))
        await until(lambda: w.dispatcher.open_requests and w.dispatcher.open_requests[1].attempts[0].accepted)
        w.dispatcher.backend.cancel_attempt(w.dispatcher.open_requests[1].attempts[0])
        w.dispatcher.decisions.may_begin = lambda *_: True  # the scenario decides in the module's place
        w.dispatcher.perform_actions([interface.Send(1, "h0")])  # waits until the host has answered the cancel
        assert await w.call_back("r1", "done", result="of the first") == 200
        gate.set()
        await until(lambda: w.dispatcher.open_requests[1].attempts[1].accepted)
        assert await w.call_back("r1", "done", result="of the second") == 200
        assert (await answer)[2] == b"of the second"


@async_test
async def test_an_attempt_that_runs_out_of_time_is_given_up_and_the_client_hears_in_time():
    async with World(silent) as w:
        begun = asyncio.get_running_loop().time()
        status, _, _ = await w.ask(job("r1", "bundle", 1000))
        assert status == 504  # it may have run: no refusal
        assert asyncio.get_running_loop().time() - begun >= 0.9
        await until(lambda: any(h.startswith(b"DELETE") for h, _ in w.hosts[0].got))
        await until(lambda: not w.dispatcher.open_requests)
