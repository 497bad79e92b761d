"""Keeps the endpoint list: starts with the cached list of the configuration and watches discovery for changes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from badgerroad.discovery.discovery_calls import CallError, DiscoveryCall, DiscoveryCalls
from badgerroad.discovery.reader import EndpointListError, EndpointListReader, ParsedList
from badgerroad.discovery.watch_schedule import NOTIFICATION_DEADLINE_US, WatchSchedule
from badgerroad.load_balancing import interface
from badgerroad.net import logs
from badgerroad.net.background_tasks import spawn
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.socket_stream import Address
from badgerroad.net.timer_wheel import TimerWheel

log = logs.get("badgerroad")

# For this period after a change of discovery's address, failed calls are not reported. The first is repeated after the
# delay below, and the others as after any failure.
ADDRESS_CHANGE_RETRY_PERIOD_US = 3_000_000
ADDRESS_CHANGE_RETRY_DELAY_US = 250_000
# How long a call to an address that has just been changed to is awaited if the address changes again. Each call costs
# discovery time even if it is given up, so a series of changes must not make a call for each.
MIN_ADDRESS_CHANGE_INTERVAL_US = 1_000_000
# A complete list that is older than the known one is rejected for this time: the discovery that sent it is behind.
# After it the list is accepted, as discovery may have restarted its versions.
OLDER_LIST_REJECTED_FOR_US = NOTIFICATION_DEADLINE_US
MAX_LOGGED_WORKERS = 20  # names in one log line

UpdateHandler = Callable[[interface.EndpointList, dict[str, Address]], None]


class OlderListError(EndpointListError):
    """Discovery sent a complete list that is older than the known one."""

    code = "older-list"
    remedy = "nothing, if a worker list is received soon after; otherwise check whether discovery's replicas agree"


class EndpointWatch:
    """Owns the calls to discovery and the endpoint list; every list received is passed to `on_update`."""

    def __init__(
        self,
        wheel: TimerWheel,
        descriptors: DescriptorBudget,
        reader: EndpointListReader,
        address: Address,
        on_update: UpdateHandler,
        dispatchers: int = 1,
        number: int = 0,
        seed: int = 0,
    ) -> None:
        """Watch for dispatcher `number` of `dispatchers`; both determine how its calls are staggered. `seed` seeds the
        random waits."""
        self.wheel = wheel
        self.reader = reader
        self.address = address
        self.on_update = on_update
        self.schedule = WatchSchedule(dispatchers, number, random.Random(seed))
        self.version: int | None = None  # version of the current list; None before the first list of an address
        self.has_answered = False  # also True once discovery counts as unavailable
        self.endpoints: dict[str, interface.Endpoint] = {}
        self.states: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self._watching = False
        self._wanted = False
        self._needs_complete_list = True
        self._list_received_at_us = 0
        self._older_list_since_us: int | None = None  # since when discovery has sent older complete lists only
        self._address_changed_at_us: int | None = None  # None before any change, and once the new address has answered
        self._retried_after_change = False  # a failed call has been repeated soon after the change of address
        self._delay_over: asyncio.Event | None = None
        self._calls = DiscoveryCalls(wheel, descriptors, reader, self._call_answered, self._call_failed)
        self._newest_call: DiscoveryCall | None = None

    def load_cached(self, data: Any) -> None:
        """Publish a cached list in wire form, which may be out of date. The watch then starts at the version of that
        list, since sending changes costs discovery less than sending a complete list. Raises EndpointListError."""
        parsed = self.reader.read(data, cached=True)
        self._publish(parsed)
        if parsed.update.entries:
            self.version = parsed.update.version
            self._needs_complete_list = False

    def to_wire(self, addresses: dict[str, Address]) -> dict[str, Any]:
        """Return the current list in wire form, for another process of this dispatcher."""
        return self.reader.write(self.endpoints.values(), addresses, self.version or 0)

    def adopt_list(self, address: Address, data: Any) -> None:
        """Publish a complete list in wire form that another process of this dispatcher has received from `address`,
        if it is newer than the known one. Raises EndpointListError."""
        if address != self.address:
            return
        parsed = self.reader.read(data)
        if self.version is None or parsed.update.version > self.version:
            self._set_version(parsed)
            self._publish(parsed)

    def subscribe(self, on: bool) -> None:
        """Start the watch, or end it after the call in progress."""
        self._wanted = on
        if on and not self._watching:
            self._watching = True
            spawn(self._watch())

    def set_agent_mode(self, on: bool, stop_sending_within_us: int = 0) -> None:
        """Set whether an agent on this machine holds the endpoint list.

        If so, sends to a worker must stop within the given time (microseconds) of a change, and the list is watched
        from the start, without a subscription.
        """
        if on:
            self.schedule.use_agent(stop_sending_within_us)
            self.subscribe(True)
        else:
            self.schedule.use_discovery()

    def change_address(self, address: Address) -> None:
        """Watch discovery at another address, starting with a complete list.

        Ends a delay in progress. A call in progress may still be answered, and counts until the new address answers.
        """
        if address == self.address:
            return
        follows_change = self._address_changed_at_us is not None
        self.address = address
        self._address_changed_at_us = self.wheel.clock.now()
        self._retried_after_change = False
        self.version = None
        self._needs_complete_list = True
        self._older_list_since_us = None
        self.schedule.poll_next()
        if follows_change and self._newest_call is not None:
            age_us = self.wheel.clock.now() - self._newest_call.started_at_us
            self.wheel.after(MIN_ADDRESS_CHANGE_INTERVAL_US - age_us, self._newest_call.settle)
        else:
            if self._newest_call is not None:
                self._newest_call.settle()
            self._end_delay()
        if self._wanted:
            self.subscribe(True)

    def close(self) -> None:
        """End the watch and close its connections."""
        self._wanted = False
        self._calls.close()

    def _publish(self, parsed: ParsedList) -> None:
        update = parsed.update
        ready_before = [worker for worker, state in self.states.items() if state == interface.WorkerState.READY]
        if update.scope != interface.ListScope.INCREMENTAL:
            self.endpoints = {}
        self.endpoints.update((str(endpoint.worker), endpoint) for endpoint in update.entries)
        self.endpoints = {
            worker: endpoint
            for worker, endpoint in self.endpoints.items()
            if endpoint.state != interface.WorkerState.GONE
        }
        self.states = {worker: endpoint.state for worker, endpoint in self.endpoints.items()}
        self.zones = {worker: self.reader.zones[endpoint.zone] for worker, endpoint in self.endpoints.items()}
        log.info(
            "endpoint_list_received",
            scope=update.scope,
            seq=update.version,
            entries=len(update.entries),
            hosts=len(self.states),
        )
        self._log_stopped_workers(ready_before)
        self.on_update(update, parsed.addresses)

    def _log_stopped_workers(self, ready_before: list[str]) -> None:
        """Log the workers that were ready and have begun to drain or left the list."""
        stopped = [worker for worker in ready_before if self.states.get(worker) != interface.WorkerState.READY]
        if stopped:
            log.info("workers_stopped", count=len(stopped), workers=",".join(stopped[:MAX_LOGGED_WORKERS]))

    async def _watch(self) -> None:
        """Make one call after another, without a delay while they succeed."""
        try:
            await self._delay(self.schedule.first_call_delay(self.version is not None))
            while self._wanted:
                await self._make_call()
        finally:
            self._watching = False
            if self._wanted:
                self._report_failure()  # otherwise the dispatch policy would never subscribe again

    def _report_failure(self) -> None:
        self.has_answered = True
        self.on_update(interface.EndpointList(interface.ListScope.FAILED), {})

    async def _make_call(self) -> None:
        """Begin the next call, and wait until it is answered, has failed or is late, and for the delay after that."""
        base_version = None if self._needs_complete_list else self.version
        open_call = self._calls.begin(self.schedule.next_call(), self.address, base_version)
        self._newest_call = open_call
        await open_call.settled.wait()
        if open_call.error is not None:
            await self._retry_later(open_call, open_call.error)

    def _call_answered(self, open_call: DiscoveryCall, parsed: ParsedList) -> None:
        """Publish an answer, which may be late, unless it is older than what is known."""
        if open_call.address != self.address:
            self._previous_address_answered(parsed)
        elif self._is_overtaken(open_call, parsed.update):
            log.info("endpoint_list_overtaken", seq=parsed.update.version, known=self.version)
            self._record_answer()
        else:
            try:
                self._check_version(parsed.update)
            except EndpointListError as error:
                self._call_failed(open_call, error)
                return
            self._take_list(parsed)
        open_call.settle()

    def _previous_address_answered(self, parsed: ParsedList) -> None:
        """Publish an answer of the previous address if the new one has not answered yet: it counts as received."""
        if self._address_changed_at_us is not None:
            self._publish(parsed)

    def _take_list(self, parsed: ParsedList) -> None:
        if self._address_changed_at_us is not None:
            self._address_changed_at_us = None
            self._calls.close_other_addresses(self.address)
        self._set_version(parsed)
        self._record_answer()
        self._publish(parsed)

    def _set_version(self, parsed: ParsedList) -> None:
        self.version = parsed.update.version
        self._needs_complete_list = False
        self._older_list_since_us = None
        self._list_received_at_us = self.wheel.clock.now()

    def _record_answer(self) -> None:
        """Note that discovery works; a delay before the next call ends."""
        self.has_answered = True
        self.schedule.call_answered()
        self._end_delay()

    def _is_overtaken(self, open_call: DiscoveryCall, update: interface.EndpointList) -> bool:
        """Whether a newer list was received while the call was open."""
        if self.version is None or open_call.started_at_us > self._list_received_at_us:
            return False
        return update.version < self.version

    def _check_version(self, update: interface.EndpointList) -> None:
        """Raise EndpointListError if the list is older than the known one."""
        if self.version is None or update.version >= self.version:
            return
        reason = f"list version {update.version} is older than version {self.version}"
        if update.scope == interface.ListScope.INCREMENTAL:
            raise EndpointListError(reason)
        now_us = self.wheel.clock.now()
        if self._older_list_since_us is None:
            self._older_list_since_us = now_us
        if now_us - self._older_list_since_us < OLDER_LIST_REJECTED_FOR_US:
            raise OlderListError(reason)

    def _call_failed(self, open_call: DiscoveryCall, error: CallError) -> None:
        if open_call.settled.is_set():
            log.info("late_discovery_call_failed", code=error.code, error=str(error))
        open_call.settle(error)

    async def _retry_later(self, open_call: DiscoveryCall, error: CallError) -> None:
        """Log a failed or late call and wait before the next one.

        The failure is reported to the dispatch policy only once discovery counts as unavailable, and not within
        ADDRESS_CHANGE_RETRY_PERIOD_US of a change of address.
        """
        elapsed_us = self.wheel.clock.now() - open_call.started_at_us
        delay_us = self.schedule.call_failed(open_call.call, elapsed_us, open_call.answer_lost)
        if isinstance(error, EndpointListError):
            self._needs_complete_list = True
        if self._address_changed_recently() and not self._retried_after_change:
            self._retried_after_change = True
            delay_us = min(delay_us, ADDRESS_CHANGE_RETRY_DELAY_US)
        log.info(
            "discovery_failed",
            code=error.code,
            error=str(error),
            call="watch" if open_call.call.is_watch else "poll",
            ms=elapsed_us // 1000,
            again=delay_us // 1000,
        )
        if self.schedule.discovery_unavailable and not self._address_changed_recently():
            self._report_failure()
        await self._delay(delay_us)

    def _address_changed_recently(self) -> bool:
        changed_at_us = self._address_changed_at_us
        return changed_at_us is not None and self.wheel.clock.now() - changed_at_us <= ADDRESS_CHANGE_RETRY_PERIOD_US

    async def _delay(self, delay_us: int) -> None:
        """Wait for `delay_us`, or until the address changes or a late call is answered."""
        if delay_us <= 0 or not self._wanted:
            return
        self._delay_over = asyncio.Event()
        timer = self.wheel.after(delay_us, self._delay_over.set)
        await self._delay_over.wait()
        timer.cancel()

    def _end_delay(self) -> None:
        if self._delay_over is not None:
            self._delay_over.set()
