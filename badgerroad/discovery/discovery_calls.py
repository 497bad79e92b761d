"""Makes calls to discovery and keeps late ones open, since a call that is late may still be answered.

A few calls may be open at a time. Whoever makes them is notified of the answer or failure of each, in any order.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from badgerroad.discovery.reader import EndpointListError, EndpointListReader, ParsedList
from badgerroad.discovery.watch_schedule import Call
from badgerroad.net import http1, logs
from badgerroad.net.background_tasks import spawn
from badgerroad.net.call_connection import CallConnection, ConnectionBrokenError, NoDescriptorError
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.memory_budget import MemoryBudget
from badgerroad.net.socket_stream import Address
from badgerroad.net.timer_wheel import Timer, TimerWheel

log = logs.get("badgerroad")

WIRE_LIST_LIMIT_BYTES = 4 * 1024 * 1024  # a list of 10,000 workers takes 1.4 MB, with long names 2.5 MB
TARGETS_PATH = b"/api/targets"
# Open calls, with the newest one. A late call is abandoned when the third one after it begins, except that the oldest
# is kept for longer: the answers of a discovery that always needs longer than that still count then.
MAX_OPEN_CALLS = 4
OLDEST_CALL_LIMIT_US = 10_000_000
MICROSECONDS_PER_MILLISECOND = 1000

CallError = ConnectionBrokenError | EndpointListError


class LateAnswerError(ConnectionBrokenError):
    """A call was not answered in time, though its connection shows no fault. Discovery may still be working."""

    code = "silent"
    remedy = "nothing, if a worker list is received soon after; otherwise check the network to discovery"


class DiscoveryCall:
    """One call, from its begin to its answer or failure."""

    def __init__(self, call: Call, address: Address, base_version: int | None, started_at_us: int) -> None:
        """`base_version`: the version after which changes are requested, None for a complete list."""
        self.call = call
        self.address = address
        self.base_version = base_version
        self.started_at_us = started_at_us
        self.connection: CallConnection | None = None
        self.timer: Timer | None = None
        self.error: CallError | None = None
        self.settled = asyncio.Event()  # the call is answered, has failed or is late, so that the next one may begin

    @property
    def target(self) -> bytes:
        """The target of the HTTP request."""
        if self.base_version is None:
            return TARGETS_PATH
        wait_ms = self.call.wait_us // MICROSECONDS_PER_MILLISECOND
        return TARGETS_PATH + b"?index=%d&wait=%d" % (self.base_version, wait_ms)

    @property
    def answer_lost(self) -> bool:
        """Whether the call has failed although discovery had begun to answer it."""
        return isinstance(self.error, EndpointListError) or (self.error is not None and self.error.response_begun)

    def settle(self, error: CallError | None = None) -> None:
        """Let the next call begin, because this one has ended, is late (`LateAnswerError`) or is no longer needed."""
        if not self.settled.is_set():
            self.error = error
            self.settled.set()

    def close(self) -> None:
        """End the call by closing its connection; it then fails, if it has not ended."""
        if self.connection is not None:
            self.connection.close()


class DiscoveryCalls:
    """Owns the connections to discovery, of which one may rest between two calls."""

    def __init__(
        self,
        wheel: TimerWheel,
        descriptors: DescriptorBudget,
        reader: EndpointListReader,
        on_answered: Callable[[DiscoveryCall, ParsedList], None],
        on_failed: Callable[[DiscoveryCall, CallError], None],
    ) -> None:
        """`on_answered` or `on_failed` is called once for each call, also for a late one and for an abandoned one."""
        self._wheel = wheel
        self._descriptors = descriptors
        self._memory = MemoryBudget(MAX_OPEN_CALLS * WIRE_LIST_LIMIT_BYTES)  # its own: a list must always be received
        self._reader = reader
        self._on_answered = on_answered
        self._on_failed = on_failed
        self._open: list[DiscoveryCall] = []  # the oldest first
        self._idle: CallConnection | None = None

    def begin(self, call: Call, address: Address, base_version: int | None) -> DiscoveryCall:
        """Begin a call; it is settled at the latest when its timeout is over."""
        self._abandon_one_if_full()
        open_call = DiscoveryCall(call, address, base_version, self._wheel.clock.now())
        self._open.append(open_call)
        self._settle_after_timeout(open_call, may_extend=True)
        spawn(self._run(open_call))
        return open_call

    def close_other_addresses(self, address: Address) -> None:
        """Close the calls to other addresses than `address`."""
        for open_call in [each for each in self._open if each.address != address]:
            open_call.close()

    def close(self) -> None:
        """Close all connections."""
        for open_call in list(self._open):
            open_call.close()
        if self._idle is not None:
            self._idle.close()

    def _abandon_one_if_full(self) -> None:
        if len(self._open) < MAX_OPEN_CALLS:
            return
        oldest, second, *_ = self._open
        age_us = self._wheel.clock.now() - oldest.started_at_us
        abandoned = oldest if age_us >= OLDEST_CALL_LIMIT_US else second
        log.info("discovery_call_abandoned", age=(self._wheel.clock.now() - abandoned.started_at_us) // 1000)
        self._open.remove(abandoned)
        abandoned.close()

    def _settle_after_timeout(self, open_call: DiscoveryCall, may_extend: bool) -> None:
        timeout_us = open_call.call.timeout_us

        def on_timeout() -> None:
            """Settle the call as late, but wait once more for an answer that has begun."""
            connection = open_call.connection
            if may_extend and connection is not None and connection.response_begun:
                self._settle_after_timeout(open_call, may_extend=False)
            else:
                kind = "watch" if open_call.call.is_watch else "poll"
                open_call.settle(LateAnswerError(True, f"discovery did not answer a {kind} in time"))

        open_call.timer = self._wheel.after(timeout_us, on_timeout, awaits_peer=True)

    async def _run(self, open_call: DiscoveryCall) -> None:
        try:
            parsed = await self._call(open_call)
        except (ConnectionBrokenError, EndpointListError) as error:
            self._end(open_call)
            self._on_failed(open_call, error)
        else:
            self._end(open_call)
            self._on_answered(open_call, parsed)

    def _end(self, open_call: DiscoveryCall) -> None:
        if open_call in self._open:
            self._open.remove(open_call)
        if open_call.timer is not None:
            open_call.timer.cancel()
        self._keep_idle(open_call.connection)

    def _keep_idle(self, connection: CallConnection | None) -> None:
        if connection is None:
            return
        if not connection.reusable:
            connection.close()
            return
        if self._idle is not None and self._idle is not connection:
            self._idle.close()
        self._idle = connection

    async def _call(self, open_call: DiscoveryCall) -> ParsedList:
        """Make the call. Raises ConnectionBrokenError or EndpointListError."""
        connection = open_call.connection = self._connection_to(open_call.address)
        if not connection.reusable:
            await connection.connect(open_call.address)
        host, port = open_call.address
        answer = await connection.call(http1.request(b"GET", open_call.target, f"{host}:{port}"))
        if answer.status != 200:
            raise ConnectionBrokenError(True, f"discovery answered with status {answer.status}")
        try:
            return await self._reader.read_in_slices(json.loads(answer.body))
        except (ValueError, RecursionError) as error:
            raise EndpointListError(f"the list is not JSON: {error}") from error

    def _connection_to(self, address: Address) -> CallConnection:
        """Return the idle connection, or a new one that is not connected yet. Raises NoDescriptorError."""
        idle, self._idle = self._idle, None
        if idle is not None:
            if idle.reusable and idle.address == address:
                return idle
            idle.close()
        try:
            return CallConnection(self._descriptors, self._memory, WIRE_LIST_LIMIT_BYTES)
        except OSError as error:
            raise NoDescriptorError(False, f"no file descriptor for a connection to discovery: {error}") from error
