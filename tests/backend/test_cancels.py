"""Cancels of attempts before and after the worker has accepted them."""

import asyncio

from badgerroad.load_balancing import interface
from tests.support.loopback import SETTINGS, World, accept_only, async_test, id_of, job, reply, until


async def never_responds(_world, _head, _body):
    await asyncio.sleep(60)


@async_test
async def test_cancel_sends_delete_after_the_202_and_closes_the_connection_before_it():
    async with World(accept_only, never_responds, permissions={**SETTINGS["permissions"], "tryLimit": 1}) as w:
        for n in (1, 2):
            w.begin(w.ask(job(f"r{n}")))
        hosts = w.hosts
        await until(lambda: hosts[0].received and hosts[1].received)
        for request in list(w.dispatcher.open_requests.values()):
            attempt = request.attempts[0]
            await until(lambda attempt=attempt: attempt.accepted or attempt.worker == "h1")
            w.dispatcher.backend.cancel_attempt(attempt)
        await until(lambda: len(hosts[0].received) == 2)
        request_id = id_of(hosts[0].received[0][0]).encode()
        assert hosts[0].received[1][0].startswith(b"DELETE /jobs/" + request_id + b" HTTP/1.1\r\n")
        assert len(hosts[1].received) == 1
        assert not w.dispatcher.backend.attempts
        await until(lambda: w.dispatcher.descriptors.used <= 4)  # the connection of the attempt to h1 is closed


@async_test
async def test_late_event_of_a_cancelled_attempt_does_not_end_the_next_one():
    delete_may_be_answered = asyncio.Event()

    async def script(_world, head, _body):
        if head.startswith(b"DELETE"):
            await delete_may_be_answered.wait()
        return reply(200 if head.startswith(b"DELETE") else 202)

    async with World(script) as w:
        response = w.begin(w.ask(job()))
        await until(lambda: w.dispatcher.open_requests and w.dispatcher.open_requests[1].attempts[0].accepted)
        w.dispatcher.backend.cancel_attempt(w.dispatcher.open_requests[1].attempts[0])
        w.dispatcher.decisions.may_begin = lambda *_: True  # in place of the policy's decision to send or not
        # This second attempt waits until the worker has responded to the cancel.
        w.dispatcher.perform_actions([interface.Send(1, "h0")])
        assert await w.call_back("r1", "done", result="of the first") == 200
        delete_may_be_answered.set()
        await until(lambda: w.dispatcher.open_requests[1].attempts[1].accepted)
        assert await w.call_back("r1", "done", result="of the second") == 200
        assert (await response)[2] == b"of the second"
