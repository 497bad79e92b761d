"""Clients of a soak. They keep using open connections until the dispatcher ends them."""

import asyncio
import contextlib
import random
import time

from benchmarks.soak.checker import ANSWER_TOLERANCE_S, KILL_TOLERANCE_S, Request, Rule
from tests.support.loopback import job, read_message

CLASS_WEIGHTS = {"preview": 6, "bundle": 3, "amend": 1}
LEAVING_SHARE = 0.05
MIN_TIME_MS = 300
MAX_TIME_MS = 3000
PAUSE_AFTER_REFUSAL_S = 0.05
BROKEN = (OSError, asyncio.IncompleteReadError)


class Client:
    """Sends one request after another until `end_at`."""

    def __init__(self, name, seed, dispatchers, checker, end_at, has_crowd):
        """`dispatchers` are those among which the front chooses for a new connection."""
        self._name = name
        self._draws = random.Random(f"{seed} client {name}")
        self._dispatchers = dispatchers
        self._checker = checker
        self._end_at = end_at
        self._has_crowd = has_crowd
        self._connection = None
        self._dispatcher = None
        self._reused = False

    async def run(self):
        """Send requests until the end of the soak."""
        number = 0
        while time.monotonic() < self._end_at:
            await self._pause()
            if self._connection is None and not await self._connect():
                await asyncio.sleep(PAUSE_AFTER_REFUSAL_S)
                continue
            number += 1
            await self._send(f"{self._name}.{number}", resends=True)
        self._close()

    async def _pause(self):
        """Wait before the next request; a byte that comes meanwhile belongs to no request."""
        pause_s = self._draws.choice([0, 0, 0.01, 0.1, 0.3])
        if self._connection is None or not pause_s:
            return
        try:
            data = await asyncio.wait_for(self._connection[0].read(1), pause_s)
        except TimeoutError:
            return
        except OSError:
            data = b""
        if data:
            self._checker.report(Rule.SECOND_ANSWER, self._name)
        self._close()

    async def _connect(self):
        admitting = [dispatcher for dispatcher in self._dispatchers if dispatcher.admits_clients]
        if not admitting:
            return False
        self._dispatcher = self._draws.choice(admitting)
        self._reused = False
        try:
            self._connection = await asyncio.open_connection(*self._dispatcher.address)
        except OSError:
            return False
        return True

    def _close(self):
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def _send(self, request_id, resends):
        (class_name,) = self._draws.choices(list(CLASS_WEIGHTS), list(CLASS_WEIGHTS.values()))
        time_ms = self._draws.randint(MIN_TIME_MS, MAX_TIME_MS)
        number = self._dispatcher.number
        request = Request(request_id, class_name, number, time.monotonic(), time_ms / 1000)
        self._checker.requests[request_id] = request
        headers = [] if class_name == "preview" else [f"Idempotency-Key: {request_id}"]
        reader, writer = self._connection
        with contextlib.suppress(OSError):
            writer.write(job(request_id, class_name, time_ms, b"x", *headers))
        leaves = self._draws.random() < LEAVING_SHARE
        limit_s = self._draws.uniform(0, 0.3) if leaves else request.time_s + ANSWER_TOLERANCE_S + 0.2
        try:
            head, body = await asyncio.wait_for(read_message(reader), limit_s)
        except TimeoutError:
            self._no_answer_in_time(request, leaves)
        except BROKEN:
            await self._connection_broken(request, resends)
        else:
            self._checker.answer_received(request, int(head.split()[1]), body)
            self._reused = True
            if b"connection: close" in head.lower():
                self._close()

    def _no_answer_in_time(self, request, leaves):
        request.left_at = time.monotonic()
        self._close()
        if not leaves:
            self._checker.report(Rule.LOST, f"{request.id}: no answer, dispatcher d{request.dispatcher}")

    async def _connection_broken(self, request, resends):
        """Report a request that was read as lost. A request that crossed with the close is sent once more."""
        dispatcher, was_reused = self._dispatcher, self._reused
        request.left_at = time.monotonic()
        self._close()
        killed_before_s = dispatcher.killed_at - request.sent_at
        if request.left_at - dispatcher.killed_at < 0.2 and killed_before_s < KILL_TOLERANCE_S:
            return  # the request arrived too late to be answered before SIGKILL
        may_be_unread = was_reused or self._has_crowd or not dispatcher.admits_clients
        if request.attempts or not may_be_unread or killed_before_s > KILL_TOLERANCE_S:
            reason = f"connection to d{request.dispatcher} ended, {len(request.attempts)} attempts, reused {was_reused}"
            self._checker.report(Rule.LOST, f"{request.id}: {reason}")
        elif resends and await self._connect():
            await self._send(f"{request.id}.again", resends=False)


async def hold_silent_connections(count, dispatchers, end_at):
    """Open connections to the dispatchers that send nothing, and open ended ones again."""

    async def hold(dispatcher):
        while time.monotonic() < end_at:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*dispatcher.address)
                try:
                    await asyncio.wait_for(reader.read(1), max(end_at - time.monotonic(), 0.01))
                except TimeoutError:
                    pass
                finally:
                    writer.close()
            await asyncio.sleep(0.2)

    await asyncio.gather(*(hold(dispatchers[n % len(dispatchers)]) for n in range(count)))
