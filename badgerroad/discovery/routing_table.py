"""The routing table: discovery's list of issuer hosts, first as last known, then by a watch."""

from __future__ import annotations

import asyncio
import json
import math
import random
from typing import Any, Callable, Dict, List, Optional, Tuple

from badgerroad.errors import Error
from badgerroad.net import http1, logs
from badgerroad.net.connection import Address, Broken, CallConnection, Descriptors, spawn
from badgerroad.net.wheel import Wheel
from heathcrank import interface as i

log = logs.get("badgerroad")

# How long a watch waits for news, drawn anew for each call. What one that has fallen silent misses counts as told 6 s
# after it did so; it shows SILENCE after its wait, and the second look takes CALL_TIME at most: 5.5 s. News ends the
# watches of all dispatchers at one moment: with one wait for all, 200 second looks came at one moment too.
LEAST_WAIT_MS, WAIT_MS = 1_000, 3_000
# Beyond its wait, how long a watch is waited for. Answers without news come 2 ms after it, but over 0.4 s late where
# too many call; each second look is one call more then.
SILENCE = 1_000_000
# A list of 10,000 hosts is 1.4 MB, 2.5 MB with long names; the 64 KiB of other messages hold 450. The ring grows to it
# only while such a list is on its way, and shrinks after it.
LIST_LIMIT = 4 * 1024 * 1024
SLICE = 250              # hosts read in one go: 10,000 take 60 ms, in which nobody else would be served
CALL_TIME = 1_500_000    # how long another call may take: it waits in turn with those of all dispatchers
# A pushed list is held by an agent beside this process, and counts as told as soon as the agent has it, whoever asks.
# So it is asked again soon, which burdens nobody else.
AGENT_PAUSE = 200_000
# After a move the first list is asked for again and again for a while: the news counts as told 4 s after it, and the
# module's own pause after a failure may have grown beyond that while the old address was failing.
MOVE_PATIENCE = 3_000_000
MOVE_PAUSE = 250_000
# Discovery serves all dispatchers in turn, and calls that nobody waits for any more cost it time too: 40 that asked at
# one moment, at a start or after a release, kept it busy with dead calls for the rest of the day. Each waits a random
# part of this time for each dispatcher there is, so that ten a second ask.
SPREAD = 100_000
FEW = 4                  # dispatchers that may ask at one moment
STATES = {"ready": i.READY, "draining": i.DRAINING, "gone": i.GONE}


class BadList(Error):
    """What came is not a list of hosts."""

    code = "list"
    remedy = "ask discovery for /api/targets by hand and look at the entry named"


class Silent(Broken):
    """A watch said nothing when its wait was over: it is broken, which no end of the connection shows. Discovery itself
    may be well."""

    code = "silent"
    remedy = "nothing, if a routing table follows; else look at the network to discovery"


def address_of(text: Any) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


class Reader:
    """Discovery's form to the module's: names become places in the lists of the settings."""

    def __init__(self, zones: List[str], kinds: List[str]) -> None:
        self.zones, self.kinds = list(zones), list(kinds)

    @staticmethod
    def _place(names: List[str], name: Any) -> int:
        text = str(name)
        if text not in names:
            names.append(text)   # one the settings do not know: a place of its own behind theirs
        return names.index(text)

    def renumbered(self, settings: i.Settings, zones: List[str], kinds: List[str]) -> i.Settings:
        """Settings whose own lists are these, in the numbers that hosts have here, which stay while it runs."""
        def kind(n: int) -> int:
            return self._place(self.kinds, kinds[n]) if 0 <= n < len(kinds) else n
        zone = self._place(self.zones, zones[settings.zone]) if settings.zone < len(zones) else settings.zone
        return settings._replace(zone=zone, classes=tuple(c._replace(kind=kind(c.kind)) for c in settings.classes))

    def read(self, data: Any, cached: bool = False) -> Tuple[i.WorkerList, Dict[str, Address]]:
        """A whole list at once. Raises BadList."""
        entries: List[i.WorkerInfo] = []
        places: Dict[str, Address] = {}
        for hosts in self._slices(data):
            self._take(hosts, entries, places)
        return self._list(data, cached, entries), places

    async def read_slowly(self, data: Any) -> Tuple[i.WorkerList, Dict[str, Address]]:
        """The same, but others run between the slices of a long list. Raises BadList."""
        entries: List[i.WorkerInfo] = []
        places: Dict[str, Address] = {}
        for n, hosts in enumerate(self._slices(data)):
            if n:
                await asyncio.sleep(0)
            self._take(hosts, entries, places)
        return self._list(data, False, entries), places

    @staticmethod
    def _slices(data: Any) -> List[Any]:
        try:
            hosts = data["hosts"]
            return [hosts[at:at + SLICE] for at in range(0, len(hosts), SLICE)]
        except (KeyError, TypeError) as e:
            raise BadList(f"{type(e).__name__}: {e}") from e

    @staticmethod
    def _list(data: Any, cached: bool, entries: List[i.WorkerInfo]) -> i.WorkerList:
        try:
            scope = i.CACHED if cached else i.WHOLE if data["whole"] else i.CHANGES
            return i.WorkerList(scope, int(data["seq"]), tuple(entries))
        except (KeyError, TypeError, ValueError) as e:
            raise BadList(f"{type(e).__name__}: {e}") from e

    def _take(self, hosts: Any, entries: List[i.WorkerInfo], places: Dict[str, Address]) -> None:
        try:
            for h in hosts:
                name, state = h["host"], STATES[h["health"]]
                if not isinstance(name, str) or not name:
                    raise ValueError("a host without a name")
                weight = float(h.get("share", 1.0))
                if not math.isfinite(weight):
                    raise ValueError(f"share of {name}")
                if state != i.GONE or "dial" in h:
                    places[name] = address_of(h["dial"])
                entries.append(i.WorkerInfo(
                    name, state, int(h.get("born_ms") or 0) * 1000, self._place(self.kinds, h.get("class", "")),
                    self._place(self.zones, h.get("site", "")), int(h.get("block") or 0), weight))
        except (KeyError, TypeError, ValueError, AttributeError) as e:
            raise BadList(f"{type(e).__name__}: {e}") from e


class RoutingTable:
    def __init__(self, wheel: Wheel, descriptors: Descriptors, reader: Reader, address: Address,
                 news: Callable[[i.WorkerList, Dict[str, Address]], None], dispatchers: int = 1,
                 seed: int = 0) -> None:
        self.wheel, self.descriptors, self.reader, self.address, self.news = (
            wheel, descriptors, reader, address, news)
        self.seq: Optional[int] = None   # of the list held; None: the whole list is needed
        self._random = random.Random(seed)
        self._spread = int(self._random.random() * SPREAD * dispatchers) if dispatchers > FEW else 0
        self._pushed = False      # the list comes from an agent: it is watched unasked, from the first moment on
        self.heard = False        # discovery has answered or failed once
        self.entries: Dict[str, i.WorkerInfo] = {}
        self.listed: Dict[str, str] = {}
        self.halls: Dict[str, str] = {}   # by host, for the log
        self._watching = self._wanted = False
        # The next call does not wait: a watch fell silent, or a call failed. It takes its turn with those of all
        # others, and while it waits for that, a silence would say nothing.
        self._looking = False
        self._moved: Optional[int] = None   # when; until the new address has told its whole list
        self._moves = 0
        self._pausing: Optional[asyncio.Event] = None
        self._connection: Optional[CallConnection] = None

    def known(self, data: Any) -> None:
        """The list as this dispatcher last held it; it may be out of date. What has changed since is a short answer;
        the whole list, asked for by all at once, was a long one."""
        news, places = self.reader.read(data, cached=True)
        self._tell(news, places)
        if news.entries:
            self.seq = news.version

    def as_told(self, places: Dict[str, Address]) -> Dict[str, Any]:
        """The list held, in discovery's form, for another process of this dispatcher."""
        reader = self.reader
        return {"seq": self.seq or 0, "whole": True, "hosts": [
            {"host": e.worker, "dial": f"{places[str(e.worker)][0]}:{places[str(e.worker)][1]}", "health": e.state,
             "site": reader.zones[e.zone], "class": reader.kinds[e.kind], "block": e.cell, "share": e.weight,
             "born_ms": e.since // 1000} for e in self.entries.values() if str(e.worker) in places]}

    def subscribe(self, on: bool) -> None:
        self._wanted = on
        if on and not self._watching:
            self._watching = True
            spawn(self._watch())

    def pushed(self, on: bool) -> None:
        """The settings say whether an agent holds the list, which counts as told once the agent has it."""
        self._pushed = on
        if on:
            self._spread = 0
            self.subscribe(True)

    def move(self, address: Address) -> None:
        """Discovery is elsewhere now: leave the old address and start at the new one, from the whole list."""
        if address == self.address:
            return
        self.address, self._moved, self._moves = address, self.wheel.clock.now(), self._moves + 1
        self.seq = None
        if self._connection:
            self._connection.close()   # the call that waits there breaks off, and `_watch` goes on here
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

    def _tell(self, news: i.WorkerList, places: Dict[str, Address]) -> None:
        if news.scope != i.CHANGES:
            self.entries = {}
        self.entries.update((str(e.worker), e) for e in news.entries)
        self.entries = {n: e for n, e in self.entries.items() if e.state != i.GONE}
        self.listed = {n: e.state for n, e in self.entries.items()}
        self.halls = {n: self.reader.zones[e.zone] for n, e in self.entries.items()}
        log.info("routing table", scope=news.scope, seq=news.version, entries=len(news.entries),
                 hosts=len(self.listed))
        self.news(news, places)

    async def _watch(self) -> None:
        """What has changed since the list held, or the whole list if none is; then one watch after another without a
        pause: a gap would start a new watch."""
        try:
            if self.seq is not None and self._spread:
                await self._pause(self._spread)
            while self._wanted:
                moves = self._moves
                try:
                    await self._next()
                except (Broken, BadList) as e:
                    log.info("discovery failed", code=e.code, why=str(e))
                    if isinstance(e, BadList):
                        self.seq = None
                    if moves == self._moves and not await self._may_insist(e):
                        break
                if moves != self._moves:
                    self.seq = None
        finally:
            # Whatever ended it, the module must hear so, or it would never ask again.
            self._watching, self.heard, self._spread, self._looking = False, True, 0, True
            if self._wanted:
                self.news(i.WorkerList(i.FAILED), {})
            if self._pushed:
                self.wheel.after(AGENT_PAUSE, lambda: self.subscribe(self._wanted))

    async def _next(self) -> None:
        target, wait, patience = b"/api/targets", 0, CALL_TIME
        if self.seq is not None:
            # The first answer is what readiness waits for: it comes at once, changes or none.
            if self.heard and not self._looking:
                wait = self.draw_wait()
                patience = wait * 1000 + SILENCE
            target = b"/api/targets?index=%d&wait=%d" % (self.seq, wait)
        moves, begun = self._moves, self.wheel.clock.now()
        try:
            news, places = await self._call(target, patience)
        except Broken as e:
            if wait and self.wheel.clock.now() - begun >= patience:
                raise Silent(True, "the watch has fallen silent") from e
            raise
        if news.scope == i.CHANGES and self.seq is not None and news.version < self.seq:
            raise BadList(f"version {news.version} after {self.seq}")
        if moves == self._moves:
            self._moved = None
        self.seq, self.heard, self._looking = news.version, True, False
        self._tell(news, places)

    def draw_wait(self) -> int:
        """Milliseconds that the next watch may wait."""
        return self._random.randint(LEAST_WAIT_MS, WAIT_MS)

    async def _may_insist(self, e: Exception) -> bool:
        """After a failure that is not the module's yet: a watch fell silent and discovery has not been asked again, or
        the new address has not told its list so far. Pauses where asking at once could do harm."""
        if isinstance(e, Silent):
            self._looking = True
            return True
        if self._moved is None or self.wheel.clock.now() - self._moved > MOVE_PATIENCE:
            return False
        await self._pause(MOVE_PAUSE)
        return True

    async def _pause(self, time: int) -> None:
        """Ended by a move: what the new address has to tell counts as told soon."""
        self._pausing = asyncio.Event()
        timer = self.wheel.after(time, self._pausing.set)
        await self._pausing.wait()
        timer.cancel()

    async def _fetch(self) -> None:
        connection = CallConnection(self.descriptors, LIST_LIMIT)
        try:
            self._tell(*await self._call(b"/api/targets", CALL_TIME, connection))
        except (Broken, BadList) as e:
            log.info("discovery failed", code=e.code, why=str(e))
            self.news(i.WorkerList(i.FAILED), {})
        finally:
            connection.close()

    async def _call(self, target: bytes, patience: int, connection: Optional[CallConnection] = None
                    ) -> Tuple[i.WorkerList, Dict[str, Address]]:
        """It is broken off after `patience` microseconds."""
        mine = connection or self._connection
        if connection is None and (mine is None or not mine.reusable):
            mine = self._connection = CallConnection(self.descriptors, LIST_LIMIT)
        assert mine is not None
        timer = self.wheel.after(patience, mine.close, patient=True)
        try:
            if not mine.reusable:
                await mine.connect(self.address)
            answer = await mine.call(http1.request(b"GET", target, f"{self.address[0]}:{self.address[1]}"))
        finally:
            timer.cancel()
        if answer.status != 200:
            raise Broken(True, f"status {answer.status}")
        try:
            return await self.reader.read_slowly(json.loads(answer.body))
        except (ValueError, RecursionError) as e:
            raise BadList(f"not JSON: {e}") from e
