"""A worker gets no further attempt of a request before it has confirmed that an earlier one does not run.

Guards against a request that runs twice at one worker: the worker had accepted an attempt whose connection the
dispatcher closed before it had handled the 202.
"""

import asyncio
import itertools
import random
from collections import Counter

import pytest

from badgerroad.backend.attempts import AttemptPhase
from badgerroad.backend.http import ACCEPT_TIMEOUT_US, CLOSE_CONFIRMATION_TIMEOUT_US
from badgerroad.hot_restart import request_transfer
from badgerroad.load_balancing import interface
from badgerroad.net.call_connection import CallConnection
from tests.hot_restart.test_takeover import with_second_process
from tests.support.loopback import SETTINGS, World, async_test, id_of, job, reply, until


class CountingWorker:
    """Script of a worker that starts a job with the last byte of its request, and ends it on a `DELETE`.

    A worker that is not `accepting` takes the job and does not answer; `cancel_response` answers each `DELETE`, and
    None closes the connection.
    """

    def __init__(self):
        self.accepting = asyncio.Event()
        self.cancel_response = lambda: reply(200)
        self.running = Counter()
        self.most_at_once = 0

    async def __call__(self, _world, head, _body):
        if head.startswith(b"GET"):
            return reply(200, b"rps=0,active=0,x0=0")
        if head.startswith(b"DELETE"):
            return await self._cancel(head.split()[1].removeprefix(b"/jobs/").decode())
        self.running[id_of(head)] += 1
        self.most_at_once = max(self.most_at_once, *self.running.values())
        await self.accepting.wait()
        return reply(202)

    async def _cancel(self, request_id):
        response = self.cancel_response()
        response = await response if asyncio.iscoroutine(response) else response
        if response is not None:
            self.running[request_id] = 0
        return response


def methods(peer):
    """Return the methods of the messages that a worker has received, without health checks.

    A cancel whose connection has ended is repeated at once; the two count as one.
    """
    received = [head.split()[0].decode() for head, _ in peer.received if not head.startswith(b"GET")]
    return [method for method, group in itertools.groupby(received)]


async def open_request(w):
    """Send a request, and return it once its first attempt is sent."""
    w.dispatcher.decisions.may_begin = lambda *_: True  # in place of the policy's decision to send or not
    w.begin(w.ask(job()))
    await until(lambda: w.hosts[0].received and w.dispatcher.open_requests[1].attempts)
    return w.dispatcher.open_requests[1]


def send_further_attempt(dispatcher, request):
    """Start one more attempt of the request at the first worker, and return it."""
    dispatcher.perform_actions([interface.Send(request.number, "h0")])
    return request.attempts[-1]


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


async def never_answered():
    await asyncio.sleep(60)


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


class RandomOrder:
    """Draws the order in which a request's attempts are sent, accepted, reported, broken, given up and moved."""

    def __init__(self, seed, w, worker, other_process):
        self.random = random.Random(seed)
        self.w, self.worker, self.other_process = w, worker, other_process

    def open_request(self):
        """Return the request and the dispatcher that holds it; None while it is being moved."""
        for dispatcher in (self.w.dispatcher, self.other_process.dispatcher):
            for request in dispatcher.open_requests.values():
                return dispatcher, request
        return None

    async def step(self):
        step = self.random.choice(
            [
                self.accept,
                self.report,
                self.give_up,
                self.send,
                self.send,
                self.break_connection,
                self.move,
                self.cancel,
            ]
        )
        found = self.open_request()
        if found:
            await step(*found)
        await asyncio.sleep(self.random.choice([0, 0, 0.002, 0.01]))

    async def accept(self, _dispatcher, _request):
        self.worker.accepting.set() if self.random.random() < 0.5 else self.worker.accepting.clear()

    async def report(self, dispatcher, request):
        dispatcher.intake.handle_job_event(request.forwarded.id, "h0", "started", {})

    async def give_up(self, dispatcher, request):
        dispatcher.backend.cancel_attempt(request.attempts[-1])

    async def send(self, dispatcher, request):
        if request.attempts[-1].ended:
            send_further_attempt(dispatcher, request)

    async def break_connection(self, _dispatcher, _request):
        self.w.hosts[0].writers[-1].transport.abort()

    async def move(self, _dispatcher, _request):
        self.w.dispatcher.frontend.pass_connections_on()

    async def cancel(self, _dispatcher, _request):
        """Let the worker answer cancels from now on, or end their connections."""
        self.worker.cancel_response = self.random.choice([lambda: reply(200), lambda: reply(200), lambda: None])


@pytest.mark.parametrize("hedging", [True, False])
@pytest.mark.parametrize("seed", range(30))
@async_test
async def test_in_any_order_of_events_a_worker_runs_one_attempt_of_a_request_at_a_time(seed, hedging, tmp_path):
    worker = CountingWorker()
    async with World(
        worker, ops=True, permissions={**SETTINGS["permissions"], "tryLimit": 100, "secondCopies": hedging}
    ) as w:
        await open_request(w)
        async with with_second_process(w, tmp_path) as (_, second):
            second.dispatcher.decisions.may_begin = lambda *_: True
            order = RandomOrder(seed, w, worker, second)
            for _ in range(60):
                await order.step()
                assert worker.most_at_once == 1
        jobs_and_cancels = [head for head, _ in w.hosts[0].received if not head.startswith(b"GET")]
        assert not hedging or len(jobs_and_cancels) > 2
