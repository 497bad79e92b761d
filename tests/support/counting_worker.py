"""A scripted worker that counts the attempts of a request that it runs at once."""

import asyncio
import itertools
from collections import Counter

from badgerroad.load_balancing import interface
from tests.support.loopback import id_of, job, reply, until


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


async def never_answered():
    await asyncio.sleep(60)
