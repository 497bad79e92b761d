"""Small fleets for tests: free ports, operator's files, and real `control` processes whose logs are read."""

import asyncio
import contextlib
import functools
import json
import os
import re
import socket
import sys
import time
from random import Random, SystemRandom

from badgerroad.fleet import connections as c
from badgerroad.fleet import table
from badgerroad.fleet.controller import monotonic_us
from badgerroad.fleet.messages import VERSION, Hello, LeaseCredit, LeaseGrant, LeaseRequest
from badgerroad.fleet.rules.actions import QuotaDecision
from badgerroad.fleet.rules.dispatcher import DispatcherLeases
from badgerroad.operator.schema import load

PATIENCE_S = 30  # for a condition on a busy machine; no test waits so long on an idle one


def free_ports(count):
    """Ports that nobody listens on now, below those that the system gives to connections by itself: one of these could
    be taken between now and its use."""
    ports = set()
    while len(ports) < count:
        port = SystemRandom().randrange(10_000, 32_000)
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            ports.add(port)
    return list(ports)


async def until(condition, what="", limit_s=PATIENCE_S):
    """Wait for a condition of any kind; TimeoutError, naming it, when it does not come."""
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(what or condition)
        await asyncio.sleep(0.01)


def asynchronous(play):
    """Run a coroutine as a test; one that hangs fails."""

    @functools.wraps(play)
    def test(**arguments):
        asyncio.run(asyncio.wait_for(play(**arguments), 4 * PATIENCE_S))

    return test


class Controllers:
    """The files and processes of some controllers: c0, c1, ... of zones z0, z1, ..., each the voter of a region."""

    def __init__(self, folder, count=3, quotas=None, **times):
        self.folder, self.times = folder, times
        self.members = [
            {"name": f"c{n}", "zone": f"z{n}", "region": f"r{n}", "host": "127.0.0.1", "port": port, "voter": True}
            for n, port in enumerate(free_ports(count))
        ]
        self.running, self.askers = {}, []
        (folder / "members.toml").write_text("".join("[[controllers]]\n" + _toml(member) for member in self.members))
        self.write_quotas(quotas or {"team0": 20})
        for member in self.members:
            self.write_operator(member["name"])

    def write_quotas(self, quotas):
        (self.folder / "quotas.toml").write_text(_toml(quotas))

    def write_operator(self, name, **more):
        """The operator's file of a controller, or of a dispatcher."""
        is_controller = name in [member["name"] for member in self.members]
        told = {**({"name": name} if is_controller else {}), "members": "members.toml", **self.times, **more}
        if is_controller:
            told.setdefault("quotas", "quotas.toml")
        path = self.folder / f"{name}.toml"
        path.write_text("[fleet]\n" + _toml(told))
        return path

    async def start(self, *names):
        """Start these controllers, or all; returns once they listen."""
        for name in names or [member["name"] for member in self.members]:
            self.running[name] = await Program.start("control", "--operator", str(self.folder / f"{name}.toml"))
        for name in names or list(self.running):
            await self.running[name].says("listening")

    def asker(self, zone):
        """Closed at the end."""
        self.askers.append(Asker(self, zone))
        return self.askers[-1]

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for asker in self.askers:
            asker.close()
        for program in self.running.values():
            await program.kill()


class Program:
    """A process of this program, and all that its log has said."""

    def __init__(self, process):
        self.process, self.lines = process, []
        self._reader = asyncio.ensure_future(self._read())

    @classmethod
    async def start(cls, *arguments, **environment):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "badgerroad",
            *arguments,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, **environment},
        )
        return cls(process)

    async def _read(self):
        while line := await self.process.stderr.readline():
            self.lines.append(line.decode())

    async def says(self, pattern, since=0):
        """The first line, from the `since`-th on, in which the pattern is found."""
        found = []

        def said():
            found[:] = [line for line in self.lines[since:] if re.search(pattern, line)]
            return found or self.process.returncode is not None

        await until(said, f"{pattern!r} in {self.lines}")
        assert found, (pattern, self.process.returncode, self.lines)
        return found[0]

    async def ends(self):
        """Its exit code."""
        await asyncio.wait_for(self.process.wait(), PATIENCE_S)
        await self._reader
        return self.process.returncode

    async def kill(self):
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.ends()


def _toml(values):
    """Simple values as TOML lines: TOML's texts, numbers and booleans are those of JSON."""
    return "".join(f"{json.dumps(key)} = {json.dumps(value)}\n" for key, value in values.items())


# Leases run shorter than by default, so that their ends come within a test.
QUICK = {
    "ownership_lease_ms": 2000,
    "quota_lease_ms": 1200,
    "dispatcher_lease_ms": 800,
    "renew_ms": 300,
    "lending_ms": 1500,
    "ask_timeout_ms": 500,  # the machine may be busy: a request waits longer than in service
}


class Asker:
    """A dispatcher without clients: it asks for requests of teams, and keeps what it is told."""

    def __init__(self, fleet, zone):
        settings = table.settings_of(load(str(fleet.folder / "c0.toml")).fleet, "c0.toml")
        random, incarnation = Random(zone), c.new_incarnation()
        self.leases = DispatcherLeases(settings, f"asker-{zone}", zone, incarnation, monotonic_us(), random)
        hello = Hello(VERSION, f"asker-{zone}", zone, c.ROLE_DISPATCHER, incarnation)
        addresses = {member["name"]: (member["host"], member["port"]) for member in fleet.members}
        self.connections = c.Connections(hello, addresses, self, random)
        self.over_quota, self.count = {}, 0
        self._ticks = asyncio.ensure_future(self._tick())

    def ask(self, team):
        """The request's number, under which `over_quota` will say what it is."""
        self.count += 1
        self._perform(self.leases.request(monotonic_us(), self.count, team))
        return self.count

    async def within(self, team):
        """Ask until one request of that team is within its quota."""
        end = time.monotonic() + PATIENCE_S
        while time.monotonic() < end:
            number = self.ask(team)
            await until(lambda number=number: number in self.over_quota)
            if not self.over_quota[number]:
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"no request of {team} was within its quota: {self.leases.figures(monotonic_us())}")

    def received(self, sender, message):
        self._perform(self.leases.receive(monotonic_us(), sender, message))

    def lost(self, name):
        self._perform(self.leases.peer_lost(monotonic_us(), name))

    def _perform(self, actions):
        for action in actions:
            if isinstance(action, QuotaDecision):
                assert action.request not in self.over_quota  # once
                self.over_quota[action.request] = action.over_quota
            else:
                self.connections.send(action.to, action.message)

    async def _tick(self):
        while True:
            await asyncio.sleep(0.01)
            self._perform(self.leases.tick(monotonic_us()))

    def close(self):
        self._ticks.cancel()
        self.connections.close()


class ScriptedController:
    """In this process, in the place of a controller: it grants all that is asked for, or answers nothing."""

    def __init__(self, fleet, name="c0", answers=True):
        self.answers, self.asked, self.losses = answers, [], []
        self._granted, self._returned = {}, {}  # by peer and team
        (member,) = (member for member in fleet.members if member["name"] == name)
        self._address = (member["host"], member["port"])
        hello = Hello(VERSION, name, member["zone"], c.ROLE_CONTROLLER, c.new_incarnation())
        self.connections = c.Connections(hello, {name: self._address}, self, Random(1))

    async def __aenter__(self):
        self.connections.listen(self._address)
        return self

    async def __aexit__(self, *_):
        self.connections.close()

    def received(self, sender, message):
        totals = message.needs if isinstance(message, LeaseRequest) else message.usages
        for total in totals:
            self._returned[sender.name, total.team] = total.used + total.returned
        if isinstance(message, LeaseRequest):
            self.asked.append(sender.name)
            if self.answers:
                granted = tuple(self._grant(sender.name, need) for need in message.needs)
                self.connections.send(sender.name, LeaseGrant(message.sequence, granted))

    def _grant(self, peer, need):
        granted = self._granted[peer, need.team] = need.used + need.returned + need.wanted
        return LeaseCredit(need.team, granted, 1500)

    def lost(self, name):
        self.losses.append(name)

    def peers(self):
        return {peer for peer, _ in self._granted}

    def granted(self, peer=None):
        return sum(count for (name, _), count in self._granted.items() if peer in (None, name))

    def held(self, peer=None):
        """By team: what was granted and neither used nor returned, as far as has been told."""
        held = {}
        for (name, team), count in self._granted.items():
            if peer in (None, name):
                held[team] = held.get(team, 0) + count - self._returned.get((name, team), 0)
        return held
