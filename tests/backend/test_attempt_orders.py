"""Random orders of a request's attempts, 202s, job events, cancels, breaks and moves.

Guards against a request that runs twice at one worker.
"""

import asyncio
import random

import pytest

from tests.hot_restart.test_takeover import with_second_process
from tests.support.counting_worker import CountingWorker, open_request, send_further_attempt
from tests.support.loopback import SETTINGS, World, async_test, reply


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
