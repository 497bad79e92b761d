"""A job event that a worker repeats, or that is late, ends no later attempt of its request at that worker.

Guards against a request that runs twice: a worker repeats the call until it is answered, and the event names no
attempt. The second event was applied to the attempt that was open by then, which ended as never run while it ran.
"""

import pytest

from badgerroad.hot_restart import request_transfer
from tests.hot_restart.test_takeover import with_second_process
from tests.support.counting_worker import CountingWorker, open_request, send_further_attempt
from tests.support.loopback import World, async_test, reply, until


async def accepted_attempt(w, request):
    """Return the request's last attempt, which its worker has accepted."""
    await until(lambda: request.attempts[-1].accepted)
    return request.attempts[-1]


def report(dispatcher, state, **fields):
    """Pass a job event of worker h0 to the dispatcher, as the frontend does."""
    dispatcher.intake.handle_job_event(b"r1", "h0", state, fields)


@pytest.mark.parametrize("started", [True, False], ids=["start reported", "start not reported"])
@pytest.mark.parametrize("state", ["returned", "failed", "lost"])
@async_test
async def test_a_repeated_event_does_not_end_the_next_attempt_at_the_worker(state, started):
    worker = CountingWorker()
    worker.accepting.set()
    async with World(worker) as w:
        request = await open_request(w)
        first = await accepted_attempt(w, request)
        report(w.dispatcher, state)
        assert first.ended
        send_further_attempt(w.dispatcher, request)
        further = await accepted_attempt(w, request)
        if started:
            report(w.dispatcher, "started")
        report(w.dispatcher, state)
        assert not further.ended
        assert len(request.attempts) == 2
        report(w.dispatcher, "done", result="made")
        assert further.ended
        assert request.exchange.answered


@pytest.mark.parametrize("state", ["returned", "failed", "lost"])
@async_test
async def test_an_event_that_crosses_a_cancel_does_not_end_the_next_attempt_at_the_worker(state):
    worker = CountingWorker()
    worker.accepting.set()
    async with World(worker) as w:
        request = await open_request(w)
        first = await accepted_attempt(w, request)
        w.dispatcher.backend.cancel_attempt(first)
        await until(lambda: first.ended and not w.dispatcher.backend.workers["h0"].cancelling)
        send_further_attempt(w.dispatcher, request)
        further = await accepted_attempt(w, request)
        report(w.dispatcher, state)
        assert not further.ended


@async_test
async def test_an_attempt_whose_start_was_reported_is_not_ended_as_never_run():
    worker = CountingWorker()
    worker.accepting.set()
    async with World(worker) as w:
        request = await open_request(w)
        attempt = await accepted_attempt(w, request)
        report(w.dispatcher, "running", share=0.1)
        report(w.dispatcher, "returned")
        assert not attempt.ended


@pytest.mark.parametrize("state", ["returned", "failed", "lost"])
@async_test
async def test_an_event_ends_the_attempt_after_one_that_the_worker_did_not_take(state):
    """The worker has turned the first attempt away in its response, so it sends no job event of that attempt."""
    worker = CountingWorker()
    responses = [reply(503, b"", b"Not-Started: 1"), reply(202)]

    async def respond(world, head, body):
        return responses.pop(0) if head.startswith(b"POST") else await worker(world, head, body)

    async with World(respond) as w:
        request = await open_request(w)
        await until(lambda: request.attempts[0].ended)
        if len(request.attempts) == 1:
            send_further_attempt(w.dispatcher, request)
        further = await accepted_attempt(w, request)
        report(w.dispatcher, state)
        assert further.ended


@pytest.mark.parametrize(
    ("first_state", "second_state"), [("returned", "failed"), ("returned", "lost"), ("failed", "returned")]
)
@async_test
async def test_an_event_that_cannot_be_of_the_earlier_attempt_ends_the_next_one(first_state, second_state):
    worker = CountingWorker()
    worker.accepting.set()
    async with World(worker) as w:
        request = await open_request(w)
        await accepted_attempt(w, request)
        report(w.dispatcher, first_state)
        send_further_attempt(w.dispatcher, request)
        further = await accepted_attempt(w, request)
        report(w.dispatcher, second_state)
        assert further.ended


@pytest.mark.parametrize("older_version", [False, True], ids=["same version", "older version"])
@async_test
async def test_a_repeated_event_does_not_end_the_next_attempt_after_the_request_has_moved(
    older_version, tmp_path, monkeypatch
):
    worker = CountingWorker()
    worker.accepting.set()
    copy_request = request_transfer.copy

    def copy_as_an_older_version(dispatcher, request):
        copy = copy_request(dispatcher, request)
        copy.fields.pop("events", None)
        return copy

    if older_version:
        monkeypatch.setattr(request_transfer, "copy", copy_as_an_older_version)
    async with World(worker, ops=True) as w:
        request = await open_request(w)
        await accepted_attempt(w, request)
        report(w.dispatcher, "returned")
        async with with_second_process(w, tmp_path) as (_, second):
            await until(lambda: second.dispatcher.open_requests)
            (moved,) = second.dispatcher.open_requests.values()
            second.dispatcher.decisions.may_begin = lambda *_: True
            send_further_attempt(second.dispatcher, moved)
            further = await accepted_attempt(w, moved)
            report(second.dispatcher, "returned")
            assert not further.ended
