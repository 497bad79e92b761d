"""A process of hollow dispatchers: the rules and connections of real dispatchers, without HTTP and without workers.

The benchmark starts it and writes its `Orders` to its standard input as one line of JSON. The process prints "ready"
and then reads a line with the epoch: the CLOCK_MONOTONIC time, in seconds, at which script time 0 falls. When its input
is closed it prints its `Report` and exits, so that it never outlives its parent process. It writes each decision to a
file with its CLOCK_MONOTONIC time.
"""

from __future__ import annotations

import asyncio
import gc
import os
import struct
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from badgerroad.fleet.connections import ROLE_DISPATCHER, Connections
from badgerroad.fleet.messages import VERSION, Hello, Message
from badgerroad.fleet.peer_connection import Traffic
from badgerroad.fleet.rules.actions import Peer, QuotaDecision, SendMessage
from badgerroad.fleet.rules.dispatcher import DispatcherLeases
from badgerroad.fleet.settings import FleetSettings
from badgerroad.net import logs

from . import traffic

RECORD = struct.Struct("<dHHBI")  # one decision: time in s, team, dispatcher, over quota, wait in microseconds
ALL_OWNERS = "owners"  # topology: each dispatcher connects to every controller
OWN_ZONE = "zone"  # topology: each dispatcher connects to its zone's controller only


class Load(msgspec.Struct, frozen=True):
    """Request rate of a busy dispatcher, in requests per second, from script time `start` in seconds."""

    start: float
    rate: float


class Restart(msgspec.Struct, frozen=True):
    """Kills the dispatchers at script time `at` and restarts them `pause_s` later; None: they are not restarted."""

    at: float
    dispatchers: tuple[int, ...]
    pause_s: float | None


class Member(msgspec.Struct, frozen=True):
    """One hollow dispatcher. `settings`: index in Orders.settings of the settings that its zone uses."""

    index: int
    name: str
    zone: str
    settings: int
    rate: float


class Orders(msgspec.Struct, frozen=True):
    """Configuration of one process. Times are seconds of script time; `record` is the file of its decisions."""

    seed: int
    members: tuple[Member, ...]
    settings: tuple[FleetSettings, ...]
    quotas: tuple[float, ...]
    seconds: float
    record: str
    marks: tuple[float, ...]
    restarts: tuple[Restart, ...] = ()
    topology: str = OWN_ZONE
    owners: dict[str, str] = {}  # shard -> name of its owner, for the topology ALL_OWNERS


class Mark(msgspec.Struct):
    """Totals of the process at script time `at`. `resident`: resident memory in bytes."""

    at: float
    cpu_s: float
    resident: int
    traffic: Traffic
    figures: dict[str, float]


class Report(msgspec.Struct):
    """Measurements that a process prints at its end.

    `lost`: requests that were waiting at a dispatcher when it was killed. `latest_s`: the longest delay of an arrival
    after its scheduled time. `resident_before`: resident bytes before the dispatchers were created.
    """

    marks: list[Mark]
    arrivals: int
    lost: int
    latest_s: float
    resident_before: int


def now_us() -> int:
    return time.monotonic_ns() // 1000


def resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class LeaseSet:
    """The leases of one dispatcher: one DispatcherLeases for its zone's controller, or one for each controller."""

    def __init__(self, orders: Orders, member: Member, incarnation: int) -> None:
        settings = orders.settings[member.settings]
        now = now_us()
        if orders.topology == OWN_ZONE:
            random = Random(f"{orders.seed} {member.name} {incarnation}")
            self.by_controller = {"": DispatcherLeases(settings, member.name, member.zone, incarnation, now, random)}
            self.owner_of_team: list[str] = []
            return
        self.by_controller = {}
        for controller in settings.controllers:
            random = Random(f"{orders.seed} {member.name} {controller.name} {incarnation}")
            alone = (msgspec.structs.replace(controller, voter=True),)
            only = msgspec.structs.replace(settings, controllers=alone)
            leases = DispatcherLeases(only, member.name, controller.zone, incarnation, now, random)
            self.by_controller[controller.name] = leases
        self.owner_of_team = [
            orders.owners[str(settings.shard_of(team))] for team in traffic.team_names(len(orders.quotas))
        ]

    def for_team(self, team: int) -> DispatcherLeases:
        return self.by_controller[self.owner_of_team[team] if self.owner_of_team else ""]

    def for_peer(self, name: str) -> DispatcherLeases:
        return self.by_controller[name if self.owner_of_team else ""]


class HollowDispatcher:
    """One dispatcher: its rules, its connections and its waiting requests."""

    def __init__(self, process: HollowProcess, member: Member, incarnation: int) -> None:
        self.process, self.member = process, member
        orders = process.orders
        settings = orders.settings[member.settings]
        self.tick_s = settings.tick_ms / 1000
        self.leases = LeaseSet(orders, member, incarnation)
        hello = Hello(VERSION, member.name, member.zone, ROLE_DISPATCHER, incarnation)
        addresses = {controller.name: (controller.host, controller.port) for controller in settings.controllers}
        self.connections = Connections(hello, addresses, self, Random(f"{orders.seed} {member.name} connections"))
        self.waiting: dict[int, tuple[int, int]] = {}
        self.closed = False
        asyncio.get_running_loop().call_later(process.random.random() * self.tick_s, self.tick)

    def request(self, number: int, team: int) -> None:
        now = now_us()
        self.waiting[number] = (team, now)
        leases = self.leases.for_team(team)
        self.execute(leases.request(now, number, self.process.teams[team]))
        self.schedule_wakeup(leases)

    def received(self, sender: Peer, message: Message) -> None:
        if not self.closed:
            leases = self.leases.for_peer(sender.name)
            self.execute(leases.receive(now_us(), sender, message))
            self.schedule_wakeup(leases)

    def lost(self, name: str) -> None:
        if not self.closed:
            self.execute(self.leases.for_peer(name).peer_lost(now_us(), name))

    def tick(self) -> None:
        if self.closed:
            return
        asyncio.get_running_loop().call_later(self.tick_s, self.tick)
        for leases in self.leases.by_controller.values():
            self.execute(leases.tick(now_us()))
            self.schedule_wakeup(leases)

    def schedule_wakeup(self, leases: DispatcherLeases) -> None:
        when = leases.next_wakeup()
        if when is not None:
            wait = max(0, when - now_us()) / 1_000_000
            if wait < self.tick_s:
                asyncio.get_running_loop().call_later(wait, self.wake, leases)

    def wake(self, leases: DispatcherLeases) -> None:
        when = leases.next_wakeup()
        if not self.closed and when is not None and when <= now_us():
            self.execute(leases.tick(now_us()))

    def execute(self, actions: Any) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self.connections.send(action.to, action.message)
            elif isinstance(action, QuotaDecision):
                self.decided(action)

    def decided(self, action: QuotaDecision) -> None:
        team, requested_at = self.waiting.pop(action.request)
        now = now_us()
        self.process.record(now / 1_000_000, team, self.member.index, action.over_quota, now - requested_at)

    def close(self) -> None:
        """Close the connections without returning leases, as a killed process does."""
        self.closed = True
        self.connections.close()


class HollowProcess:
    """Runs all hollow dispatchers of this process by the script, and measures them."""

    def __init__(self, orders: Orders) -> None:
        self.orders = orders
        self.random = Random(f"{orders.seed} {orders.record}")
        self.teams = traffic.team_names(len(orders.quotas))
        self.file = open(orders.record, "wb")  # noqa: SIM115 - closed by `report`
        self.number = 0
        self.lost = 0
        self.latest_s = 0.0
        self.marks: list[Mark] = []
        self.traffic_of_killed = Traffic()
        self.resident_before = resident_bytes()
        self.dispatchers = {member.index: HollowDispatcher(self, member, 1) for member in orders.members}
        self.members = {member.index: member for member in orders.members}
        self.incarnations = {member.index: 1 for member in orders.members}

    def record(self, at: float, team: int, dispatcher: int, over: bool, wait_us: int) -> None:
        self.file.write(RECORD.pack(at, team, dispatcher, over, min(wait_us, 0xFFFFFFFF)))

    def begin(self, epoch: float) -> None:
        self.epoch = epoch
        loop = asyncio.get_running_loop()
        for member in self.orders.members:
            if member.rate:
                source = traffic.arrivals(self.orders.quotas, member.rate, self.orders.seed, member.index)
                self.next_arrival(member.index, source)
        for mark in self.orders.marks:
            loop.call_at(epoch + mark, self.take_mark, mark)
        for restart in self.orders.restarts:
            local = [index for index in restart.dispatchers if index in self.members]
            loop.call_at(epoch + restart.at, self.kill_dispatchers, local)
            if restart.pause_s is not None:
                loop.call_at(epoch + restart.at + restart.pause_s, self.restart_dispatchers, local)

    def next_arrival(self, index: int, source: Iterator[traffic.Arrival]) -> None:
        arrival = next(source)
        if arrival.at < self.orders.seconds:
            asyncio.get_running_loop().call_at(self.epoch + arrival.at, self.arrive, index, source, arrival)

    def arrive(self, index: int, source: Iterator[traffic.Arrival], arrival: traffic.Arrival) -> None:
        self.latest_s = max(self.latest_s, time.monotonic() - self.epoch - arrival.at)
        self.next_arrival(index, source)
        dispatcher = self.dispatchers.get(index)
        if dispatcher is not None:
            self.number += 1
            dispatcher.request(self.number, arrival.team)

    def kill_dispatchers(self, indices: list[int]) -> None:
        for index in indices:
            dispatcher = self.dispatchers.pop(index, None)
            if dispatcher is not None:
                dispatcher.close()
                self.lost += len(dispatcher.waiting)
                self.traffic_of_killed.add(dispatcher.connections.traffic())

    def restart_dispatchers(self, indices: list[int]) -> None:
        for index in indices:
            self.incarnations[index] += 1
            self.dispatchers[index] = HollowDispatcher(self, self.members[index], self.incarnations[index])

    def take_mark(self, at: float) -> None:
        total = Traffic()
        total.add(self.traffic_of_killed)
        for dispatcher in self.dispatchers.values():
            total.add(dispatcher.connections.traffic())
        self.marks.append(Mark(at, time.process_time(), resident_bytes(), total, self.figures()))

    def figures(self) -> dict[str, float]:
        """Return the sums of the rules' counters over all dispatchers."""
        sums: dict[str, float] = {}
        now = now_us()
        for dispatcher in self.dispatchers.values():
            for leases in dispatcher.leases.by_controller.values():
                for field, value in msgspec.to_builtins(leases.figures(now)).items():
                    if isinstance(value, int | float):
                        sums[field] = sums.get(field, 0) + value
        return sums

    def report(self) -> Report:
        self.file.close()
        return Report(self.marks, self.number, self.lost, self.latest_s, self.resident_before)


async def run() -> None:
    loop = asyncio.get_running_loop()
    stdin = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(stdin), sys.stdin)
    process = HollowProcess(msgspec.json.decode(await stdin.readline(), type=Orders))
    gc.freeze()
    print("ready", flush=True)
    epoch = await stdin.readline()
    if epoch:
        process.begin(float(epoch))
        await stdin.read()
    print(msgspec.json.encode(process.report()).decode(), flush=True)


if __name__ == "__main__":
    logs.configure(logs.LogSettings(level="warning"))
    asyncio.run(run())
