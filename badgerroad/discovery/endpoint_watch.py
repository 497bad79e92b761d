"""The worker list: discovery's list of workers, first as last known, then by a watch."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from badgerroad.discovery.reader import EndpointListError, EndpointListReader
from badgerroad.discovery.watch_schedule import WatchSchedule
from badgerroad.load_balancing import interface
from badgerroad.net import http1, logs
from badgerroad.net.background_tasks import spawn
from badgerroad.net.call_connection import CallConnection, ConnectionBrokenError, NoDescriptorError
from badgerroad.net.connection import Address
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.timer_wheel import TimerWheel

log = logs.get("badgerroad")

# A list of 10,000 hosts is 1.4 MB, 2.5 MB with long names; the 64 KiB of other messages hold 450. The ring grows to it
# only while such a list is on its way, and shrinks after it.
LIST_LIMIT = 4 * 1024 * 1024
FETCH_TIME = 1_500_000  # how long a single whole list may take
# After a move the first list is asked for again and again for a while: the news counts as told 4 s after it.
MOVE_PATIENCE = 3_000_000
MOVE_PAUSE = 250_000


class SilentWatchError(ConnectionBrokenError):
    """A watch said nothing when its wait was over: it is broken, which no end of the connection shows. Discovery itself
    may be well."""

    code = "silent"
    remedy = "nothing, if a worker list follows; else look at the network to discovery"


class EndpointWatch:
    def __init__(
        self,
        wheel: TimerWheel,
        descriptors: DescriptorBudget,
        reader: EndpointListReader,
        address: Address,
        news: Callable[[interface.EndpointList, dict[str, Address]], None],
        dispatchers: int = 1,
        number: int = 0,
        seed: int = 0,
    ) -> None:
        self.wheel, self.descriptors, self.reader, self.address, self.on_update = (
            wheel,
            descriptors,
            reader,
            address,
            news,
        )
        self.version: int | None = None  # of the list held; None: the whole list is needed
        self.schedule = WatchSchedule(dispatchers, number, random.Random(seed))
        self.has_answered = False  # discovery has answered once, or is out
        self.endpoints: dict[str, interface.Endpoint] = {}
        self.states: dict[str, str] = {}
        self.zones: dict[str, str] = {}  # by host, for the log
        self._watching = self._wanted = False
        self._moved: int | None = None  # when; until the new address has told its whole list
        self._moves = 0
        self._pausing: asyncio.Event | None = None
        self._connection: CallConnection | None = None

    def load_cached(self, data: Any) -> None:
        """The list as this dispatcher last held it; it may be out of date. What has changed since is a short answer;
        the whole list, asked for by all at once, was a long one."""
        news, places = self.reader.read(data, cached=True)
        self._publish(news, places)
        if news.entries:
            self.version = news.version

    def to_wire(self, places: dict[str, Address]) -> dict[str, Any]:
        """The list held, in discovery's form, for another process of this dispatcher."""
        reader = self.reader
        return {
            "seq": self.version or 0,
            "whole": True,
            "hosts": [
                {
                    "host": e.worker,
                    "dial": f"{places[str(e.worker)][0]}:{places[str(e.worker)][1]}",
                    "health": e.state,
                    "site": reader.zones[e.zone],
                    "class": reader.machine_types[e.machine_type],
                    "block": e.cell,
                    "share": e.weight,
                    "born_ms": e.started_at // 1000,
                }
                for e in self.endpoints.values()
                if str(e.worker) in places
            ],
        }

    def subscribe(self, on: bool) -> None:
        self._wanted = on
        if on and not self._watching:
            self._watching = True
            spawn(self._watch())

    def set_agent_mode(self, on: bool, within: int = 0) -> None:
        """The settings say whether an agent holds the list, which counts as told once the agent has it, and `within`
        what time sends then have to stop. Such a list is watched unasked, from the first moment on."""
        if on:
            self.schedule.agent(within)
            self.subscribe(True)
        else:
            self.schedule.asked()

    def change_address(self, address: Address) -> None:
        """Discovery is elsewhere now: leave the old address and start at the new one, from the whole list."""
        if address == self.address:
            return
        self.address, self._moved, self._moves = address, self.wheel.clock.now(), self._moves + 1
        self.version = None
        self.schedule.look()
        if self._connection:
            self._connection.close()  # the call that waits there breaks off, and `_watch` goes on here
        if self._pausing:
            self._pausing.set()
        if self._wanted:
            self.subscribe(True)

    def fetch(self) -> None:
        spawn(self._fetch())

    def close(self) -> None:
        self._wanted = False
        if self._connection:
            self._connection.close()

    def _publish(self, news: interface.EndpointList, places: dict[str, Address]) -> None:
        if news.scope != interface.ListScope.INCREMENTAL:
            self.endpoints = {}
        self.endpoints.update((str(e.worker), e) for e in news.entries)
        self.endpoints = {n: e for n, e in self.endpoints.items() if e.state != interface.WorkerState.GONE}
        self.states = {n: e.state for n, e in self.endpoints.items()}
        self.zones = {n: self.reader.zones[e.zone] for n, e in self.endpoints.items()}
        log.info("worker list", scope=news.scope, seq=news.version, entries=len(news.entries), hosts=len(self.states))
        self.on_update(news, places)

    async def _watch(self) -> None:
        """What has changed since the list held, or the whole list if none is; then one watch after another without a
        pause: a gap would start a new watch. Ends only when nobody wants it any more: whoever waited for the module to
        ask again would know of no bound."""
        try:
            await self._pause(self.schedule.before(self.version is not None))
            while self._wanted:
                await self._poll_once()
        finally:
            self._watching = False
            if self._wanted:
                self._report_failure()  # whatever ended it, the module must hear so, or it would never ask again

    def _report_failure(self) -> None:
        self.has_answered = True
        self.on_update(interface.EndpointList(interface.ListScope.FAILED), {})

    async def _poll_once(self) -> None:
        call, moves, begun = self.schedule.call(), self._moves, self.wheel.clock.now()
        target = b"/api/targets"
        if self.version is not None:
            target = b"/api/targets?index=%d&wait=%d" % (self.version, call.wait // 1000)
        try:
            news, places = await self._call(target, call.patience)
            if (
                news.scope == interface.ListScope.INCREMENTAL
                and self.version is not None
                and news.version < self.version
            ):
                raise EndpointListError(f"version {news.version} after {self.version}")
        except (ConnectionBrokenError, EndpointListError) as e:
            took = self.wheel.clock.now() - begun
            pause = self.schedule.failed(call, took)
            if isinstance(e, ConnectionBrokenError) and call.watches and took >= call.patience:
                await self._retry_later(SilentWatchError(True, "the watch has fallen silent"), moves, pause)
            else:
                await self._retry_later(e, moves, pause)
            return
        if moves != self._moves:
            return  # the old address's last word
        self._moved, self.version, self.has_answered = None, news.version, True
        self.schedule.answered()
        self._publish(news, places)

    async def _retry_later(self, e: ConnectionBrokenError | EndpointListError, moves: int, pause: int) -> None:
        """After a failure: when the next call is due, and what the module hears. In a move, and until a look has failed
        too, it is not the module's."""
        log.info("discovery failed", code=e.code, why=str(e), again=pause // 1000)
        if moves != self._moves:
            self.schedule.look()
            return
        if isinstance(e, EndpointListError):
            self.version = None
        if self._moved is not None and self.wheel.clock.now() - self._moved <= MOVE_PATIENCE:
            self.schedule.look()
            pause = MOVE_PAUSE
        elif self.schedule.out:
            self._report_failure()
        await self._pause(pause)

    async def _pause(self, time: int) -> None:
        """Ended by a move: what the new address has to tell counts as told soon."""
        if time <= 0 or not self._wanted:
            return
        self._pausing = asyncio.Event()
        timer = self.wheel.after(time, self._pausing.set)
        await self._pausing.wait()
        timer.cancel()

    async def _fetch(self) -> None:
        connection: CallConnection | None = None
        try:
            connection = self._open()
            self._publish(*await self._call(b"/api/targets", FETCH_TIME, connection))
        except (ConnectionBrokenError, EndpointListError) as e:
            log.info("discovery failed", code=e.code, why=str(e))
            self.on_update(interface.EndpointList(interface.ListScope.FAILED), {})
        finally:
            if connection is not None:
                connection.close()

    def _open(self) -> CallConnection:
        try:
            return CallConnection(self.descriptors, LIST_LIMIT)
        except OSError as e:  # the module and the next call must hear of it as of any failure
            raise NoDescriptorError(False, f"no descriptor for discovery: {e}") from e

    async def _call(
        self, target: bytes, patience: int, connection: CallConnection | None = None
    ) -> tuple[interface.EndpointList, dict[str, Address]]:
        """It is broken off after `patience` microseconds."""
        mine = connection or self._connection
        if connection is None and (mine is None or not mine.reusable):
            mine = self._connection = self._open()
        assert mine is not None
        timer = self.wheel.after(patience, mine.close, awaits_peer=True)
        try:
            if not mine.reusable:
                await mine.connect(self.address)
            answer = await mine.call(http1.request(b"GET", target, f"{self.address[0]}:{self.address[1]}"))
        finally:
            timer.cancel()
        if answer.status != 200:
            raise ConnectionBrokenError(True, f"status {answer.status}")
        try:
            return await self.reader.read_in_slices(json.loads(answer.body))
        except (ValueError, RecursionError) as e:
            raise EndpointListError(f"not JSON: {e}") from e
