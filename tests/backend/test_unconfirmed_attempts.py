"""A worker gets no further attempt of a request before it has confirmed that an earlier one does not run.

Guards against a request that runs twice at one worker: the worker had accepted an attempt whose connection the
dispatcher closed before it had handled the 202.
"""

import asyncio

import pytest

from badgerroad.backend.attempts import AttemptPhase
from badgerroad.hot_restart import request_transfer
from badgerroad.load_balancing import interface
from badgerroad.net.call_connection import CallConnection
from tests.hot_restart.test_takeover import with_second_process
from tests.support.counting_worker import CountingWorker, methods, never_answered, open_request, send_further_attempt
from tests.support.loopback import World, async_test, reply, until


async def expect_cancel_before_second_run(w, worker, request):
    """Send a further attempt to the worker, and check that it begins only after the worker has confirmed a cancel."""
    worker.accepting.set()
    further = send_further_attempt(w.dispatcher, request)
    await until(lambda: further.accepted or further.ended)
    assert worker.most_at_once == 1
    assert methods(w.hosts[0]) == ["POST", "DELETE", "POST"]
    assert further.accepted


@async_test
async def test_an_attempt_closed_while_its_202_is_on_the_way_is_cancelled_before_a_further_one():
    worker = CountingWorker()
    async with World(worker) as w:
        request = await open_request(w)
        (attempt,) = request.attempts
        assert attempt.phase is AttemptPhase.SENT
        w.dispatcher.backend.cancel_attempt(attempt)
        assert methods(w.hosts[0]) == ["POST"]
        await expect_cancel_before_second_run(w, worker, request)


@async_test
async def test_an_attempt_closed_by_the_accept_timeout_is_cancelled_before_a_further_one():
    worker = CountingWorker()
    async with World(worker) as w:
        request = await open_request(w)
        await until(lambda: request.attempts[0].ended)
        await expect_cancel_before_second_run(w, worker, request)


@async_test
async def test_an_attempt_whose_connection_breaks_before_the_202_is_cancelled_before_a_further_one():
    worker = CountingWorker()
    async with World(worker) as w:
        request = await open_request(w)
        w.hosts[0].writers[-1].transport.abort()
        await until(lambda: request.attempts[0].ended)
        await expect_cancel_before_second_run(w, worker, request)


@async_test
async def test_an_attempt_whose_202_is_read_but_not_handled_is_cancelled_at_once(monkeypatch):
    worker = CountingWorker()
    on_message = CallConnection.on_message

    def cancel_in_between(connection, message):
        on_message(connection, message)
        for request in w.dispatcher.open_requests.values():
            if message.status == 202 and request.attempts[0].connection is connection:
                w.dispatcher.backend.cancel_attempt(request.attempts[0])

    monkeypatch.setattr(CallConnection, "on_message", cancel_in_between)
    worker.accepting.set()
    async with World(worker) as w:
        request = await open_request(w)
        await until(lambda: request.attempts[0].ended)
        await until(lambda: methods(w.hosts[0]) == ["POST", "DELETE"])
        await expect_cancel_before_second_run(w, worker, request)


@async_test
async def test_an_attempt_whose_event_precedes_the_202_is_cancelled_at_once():
    worker = CountingWorker()
    async with World(worker) as w:
        request = await open_request(w)
        (attempt,) = request.attempts
        assert await w.call_back("r1", "started") == 200
        w.dispatcher.backend.cancel_attempt(attempt)
        await until(lambda: methods(w.hosts[0]) == ["POST", "DELETE"])
        await expect_cancel_before_second_run(w, worker, request)


@pytest.mark.parametrize("cancel_response", [lambda: None, never_answered], ids=["reset", "unanswered"])
@async_test
async def test_a_cancel_that_fails_is_repeated_before_a_further_attempt(cancel_response):
    worker = CountingWorker()
    worker.accepting.set()
    worker.cancel_response = cancel_response
    async with World(worker) as w:
        request = await open_request(w)
        await until(lambda: request.attempts[0].accepted)
        w.dispatcher.backend.cancel_attempt(request.attempts[0])
        await until(lambda: methods(w.hosts[0]) == ["POST", "DELETE"])
        await until(lambda: not w.dispatcher.backend.workers["h0"].cancelling)
        worker.cancel_response = lambda: reply(200)
        await expect_cancel_before_second_run(w, worker, request)


@pytest.mark.parametrize("cancel_response", [lambda: None, never_answered], ids=["reset", "unanswered"])
@async_test
async def test_no_further_attempt_is_sent_to_a_worker_that_confirms_no_cancel(cancel_response):
    worker = CountingWorker()
    worker.cancel_response = cancel_response
    results = []
    async with World(worker) as w:
        request = await open_request(w)
        w.dispatcher.backend.cancel_attempt(request.attempts[0])
        attempt_ended = w.dispatcher.backend._attempt_ended
        w.dispatcher.backend._attempt_ended = lambda *arguments: (
            results.append(arguments[1]),
            attempt_ended(*arguments),
        )
        further = send_further_attempt(w.dispatcher, request)
        await until(lambda: further.ended)
        assert results == [interface.AttemptResult.CONNECT_FAILED]
        assert methods(w.hosts[0]) == ["POST", "DELETE"]


@async_test
async def test_a_worker_that_refuses_the_cancel_gets_no_further_attempt():
    worker = CountingWorker()
    async with World(worker) as w:
        request = await open_request(w)
        w.dispatcher.backend.cancel_attempt(request.attempts[0])
        w.hosts[0].server.close()
        w.dispatcher.backend.close_idle("h0")
        further = send_further_attempt(w.dispatcher, request)
        await until(lambda: further.ended)
        assert not further.written


@async_test
async def test_a_request_that_moves_takes_along_the_workers_that_may_still_run_it(tmp_path):
    worker = CountingWorker()
    async with World(worker, ops=True) as w:
        request = await open_request(w)
        w.dispatcher.backend.cancel_attempt(request.attempts[0])
        async with with_second_process(w, tmp_path) as (first, second):
            await until(lambda: second.dispatcher.open_requests)
            assert not first.dispatcher.open_requests
            (moved,) = second.dispatcher.open_requests.values()
            second.dispatcher.decisions.may_begin = lambda *_: True
            worker.accepting.set()
            further = send_further_attempt(second.dispatcher, moved)
            await until(lambda: further.accepted or further.ended)
            assert worker.most_at_once == 1
            assert methods(w.hosts[0]) == ["POST", "DELETE", "POST"]


@async_test
async def test_a_request_does_not_move_while_a_cancel_is_open():
    worker = CountingWorker()
    may_answer = asyncio.Event()

    async def answer_later():
        await may_answer.wait()
        return reply(200)

    worker.accepting.set()
    worker.cancel_response = answer_later
    async with World(worker) as w:
        request = await open_request(w)
        await until(lambda: request.attempts[0].accepted)
        w.dispatcher.backend.cancel_attempt(request.attempts[0])
        assert not request_transfer.can_move(request)
        may_answer.set()
        await until(lambda: request_transfer.can_move(request))


@async_test
async def test_a_moved_request_of_an_older_version_counts_all_its_ended_attempts_as_unconfirmed(tmp_path):
    worker = CountingWorker()
    async with World(worker, ops=True) as w:
        request = await open_request(w)
        w.dispatcher.backend.cancel_attempt(request.attempts[0])
        copy_request = request_transfer.copy

        def copy_without_field(dispatcher, request):
            copy = copy_request(dispatcher, request)
            copy.fields.pop("unconfirmed", None)
            return copy

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(request_transfer, "copy", copy_without_field)
            async with with_second_process(w, tmp_path) as (_, second):
                await until(lambda: second.dispatcher.open_requests)
                (moved,) = second.dispatcher.open_requests.values()
                assert moved.forwarded.unconfirmed_workers == {"h0"}


@async_test
async def test_a_cancel_whose_connection_ends_is_repeated_at_once():
    worker = CountingWorker()
    worker.accepting.set()
    responses = [None, reply(200)]
    worker.cancel_response = lambda: responses.pop(0)
    async with World(worker) as w:
        request = await open_request(w)
        await until(lambda: request.attempts[0].accepted)
        w.dispatcher.backend.cancel_attempt(request.attempts[0])
        await until(lambda: not worker.running["r1"])
        assert not responses
