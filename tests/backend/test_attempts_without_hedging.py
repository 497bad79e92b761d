"""Without hedging, a request has one attempt at a time, over all workers.

Guards against two attempts at once: the first had been closed while its 202 was on the way, or its cancel had failed.
"""

import asyncio

from badgerroad.backend.http import ACCEPT_TIMEOUT_US, CLOSE_CONFIRMATION_TIMEOUT_US
from badgerroad.net.call_connection import CallConnection
from tests.support.counting_worker import CountingWorker, methods, never_answered, open_request, send_further_attempt
from tests.support.loopback import SETTINGS, World, async_test, job, reply, until

WITHOUT_HEDGING = {**SETTINGS["permissions"], "secondCopies": False}


@async_test
async def test_without_hedging_an_attempt_closed_before_its_202_is_cancelled_before_one_at_another_worker():
    workers = CountingWorker(), CountingWorker()
    running_at_send = []
    async with World(*workers, permissions=WITHOUT_HEDGING) as w:
        begin_attempt = w.dispatcher.backend._may_begin

        def record_running(attempt):
            running_at_send.append([worker.running["r1"] for worker in workers])
            return begin_attempt(attempt)

        w.dispatcher.backend._may_begin = record_running
        w.begin(w.ask(job()))
        await until(lambda: w.hosts[0].received and w.hosts[1].received)  # the accept timeout ends the first attempt
        assert running_at_send == [[0, 0], [0, 0]]
        assert sorted([methods(w.hosts[0])[:2], methods(w.hosts[1])[:2]], key=len)[1] == ["POST", "DELETE"]


@async_test
async def test_without_hedging_an_event_during_the_cancel_keeps_the_attempt_until_the_worker_confirms():
    workers = CountingWorker(), CountingWorker()
    for worker in workers:
        worker.cancel_response = never_answered
    async with World(*workers, permissions=WITHOUT_HEDGING) as w:
        w.begin(w.ask(job()))
        await until(lambda: w.dispatcher.open_requests and w.dispatcher.open_requests[1].attempts)
        (attempt,) = w.dispatcher.open_requests[1].attempts
        await until(lambda: attempt.awaits_cancel)
        assert await w.call_back("r1", "started", attempt.worker) == 200
        await asyncio.sleep(2 * CLOSE_CONFIRMATION_TIMEOUT_US / 1e6)
        assert not attempt.ended
        assert len(w.dispatcher.open_requests[1].attempts) == 1


@async_test
async def test_without_hedging_a_second_cancel_of_an_attempt_waits_for_the_confirmation_too():
    worker = CountingWorker()
    worker.accepting.set()
    worker.cancel_response = never_answered
    async with World(worker, permissions=WITHOUT_HEDGING) as w:
        request = await open_request(w)
        (attempt,) = request.attempts
        await until(lambda: attempt.accepted)
        w.dispatcher.backend.cancel_attempt(attempt)
        w.dispatcher.backend.cancel_attempt(attempt)
        assert not attempt.ended


@async_test
async def test_without_hedging_an_attempt_that_waits_for_an_earlier_cancel_is_never_sent_once_it_is_cancelled():
    worker = CountingWorker()
    may_answer = asyncio.Event()

    async def answer_later():
        await may_answer.wait()
        return reply(200)

    worker.cancel_response = answer_later
    async with World(worker, permissions=WITHOUT_HEDGING) as w:
        request = await open_request(w)
        w.dispatcher.backend.cancel_attempt(request.attempts[0])
        await until(lambda: request.attempts[0].ended)  # by the time limit of the confirmation
        waiting = send_further_attempt(w.dispatcher, request)
        await asyncio.sleep(0.01)
        w.dispatcher.backend.cancel_attempt(waiting)
        assert waiting.ended
        may_answer.set()
        await until(lambda: not w.dispatcher.backend.workers["h0"].cancelling)
        await asyncio.sleep(0.01)
        assert methods(w.hosts[0]).count("POST") == 1


@async_test
async def test_without_hedging_a_worker_that_confirms_no_cancel_delays_the_next_attempt_for_a_limited_time():
    workers = CountingWorker(), CountingWorker()
    for worker in workers:
        worker.cancel_response = never_answered
    async with World(*workers, permissions=WITHOUT_HEDGING) as w:
        w.begin(w.ask(job()))
        await until(lambda: w.dispatcher.open_requests and w.dispatcher.open_requests[1].attempts)
        sent_at = w.dispatcher.clock.now()
        await until(lambda: len(w.dispatcher.open_requests[1].attempts) == 2)
        waited_us = w.dispatcher.clock.now() - sent_at
        assert waited_us >= ACCEPT_TIMEOUT_US + CLOSE_CONFIRMATION_TIMEOUT_US - 2_000
        assert waited_us < 1_000_000


@async_test
async def test_the_accept_timeout_does_not_end_an_attempt_whose_202_is_read_but_not_handled(monkeypatch):
    """Guards against a second attempt beside an accepted one: the timer ran between the two steps of its 202."""
    on_message = CallConnection.on_message

    def time_out_in_between(connection, message):
        on_message(connection, message)
        for attempt in w.dispatcher.backend.attempts.values():
            if message.status == 202 and attempt.connection is connection:
                w.dispatcher.backend._not_accepted(attempt, attempt.connections)

    monkeypatch.setattr(CallConnection, "on_message", time_out_in_between)
    worker = CountingWorker()
    worker.accepting.set()
    async with World(worker, permissions=WITHOUT_HEDGING) as w:
        request = await open_request(w)
        (attempt,) = request.attempts
        await until(lambda: attempt.accepted or attempt.ended)
        assert not attempt.ended
        assert methods(w.hosts[0]) == ["POST"]


@async_test
async def test_without_hedging_an_attempt_whose_response_never_ends_is_cancelled_before_one_at_another_worker(
    monkeypatch,
):
    """Guards against a second attempt while the cancel of the first one is still on its way."""
    monkeypatch.setattr(CallConnection, "peer_has_sent", lambda _: True)  # as if bytes arrived all the time
    started_at_cancel = []
    may_answer = asyncio.Event()

    async def begin_response(world, head, _body):
        if head.startswith(b"GET"):
            return reply(200, b"rps=0,active=0,x0=0")
        if head.startswith(b"DELETE"):
            await asyncio.sleep(0.05)
            started_at_cancel.append(sum(len(methods(peer)) for peer in world.hosts))
            may_answer.set()
            return reply(200)
        return b"HTTP/1.1 202 X\r\nContent-Length: 9\r\n\r\nx"

    async with World(begin_response, begin_response, permissions=WITHOUT_HEDGING) as w:
        w.begin(w.ask(job()))
        await until(may_answer.is_set)
        assert started_at_cancel == [2]  # the attempt and its cancel
