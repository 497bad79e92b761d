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

from badgerroad.fleet import connections as fleet_connections
from badgerroad.fleet import table
from badgerroad.fleet.controller import monotonic_us
from badgerroad.fleet.messages import VERSION, Hello, LeaseCredit, LeaseGrant, LeaseRequest
from badgerroad.fleet.rules.actions import QuotaDecision
from badgerroad.fleet.rules.dispatcher import DispatcherLeases
from badgerroad.operator.schema import load

CONDITION_TIMEOUT_S = 30  # time for a condition to become true on a busy machine; far longer than an idle machine needs


def free_ports(count):
    """Return unused ports below the ephemeral range, since the system may assign ephemeral ports before they are used."""
    ports = set()
    while len(ports) < count:
        port = SystemRandom().randrange(10_000, 32_000)
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            ports.add(port)
    return list(ports)


async def until(condition, what="", timeout_s=CONDITION_TIMEOUT_S):
    """Wait until the condition is true. Raises TimeoutError, which names the condition."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(what or condition)
        await asyncio.sleep(0.01)


def asynchronous(play):
    """Run a coroutine function as a test with a time-out."""

    @functools.wraps(play)
    def test(**arguments):
        asyncio.run(asyncio.wait_for(play(**arguments), 4 * CONDITION_TIMEOUT_S))

    return test


class Controllers:
    """The files and processes of controllers c0, c1, ... in zones z0, z1, ..., each the voter of its own region."""

    def __init__(self, folder, count=3, quotas=None, **times):
        self.folder, self.times = folder, times
        self.members = [
            {"name": f"c{n}", "zone": f"z{n}", "region": f"r{n}", "host": "127.0.0.1", "port": port, "voter": True}
            for n, port in enumerate(free_ports(count))
        ]
        self.running, self.lease_clients = {}, []
        (folder / "members.toml").write_text("".join("[[controllers]]\n" + _toml(member) for member in self.members))
        self.write_quotas(quotas or {"team0": 20})
        for member in self.members:
            self.write_operator(member["name"])

    def write_quotas(self, quotas):
        (self.folder / "quotas.toml").write_text(_toml(quotas))

    def write_operator(self, name, **more):
        """Write the operator's file of a controller or a dispatcher."""
        is_controller = name in [member["name"] for member in self.members]
        fields = {**({"name": name} if is_controller else {}), "members": "members.toml", **self.times, **more}
        if is_controller:
            fields.setdefault("quotas", "quotas.toml")
        path = self.folder / f"{name}.toml"
        path.write_text("[fleet]\n" + _toml(fields))
        return path

    async def start(self, *names):
        """Start the named controllers, or all if no name is given, and wait until they listen."""
        for name in names or [member["name"] for member in self.members]:
            self.running[name] = await Program.start("control", "--operator", str(self.folder / f"{name}.toml"))
        for name in names or list(self.running):
            await self.running[name].wait_for_log("listening")

    def lease_client(self, zone):
        """Create a lease client, which is closed together with these controllers."""
        self.lease_clients.append(LeaseClient(self, zone))
        return self.lease_clients[-1]

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for lease_client in self.lease_clients:
            lease_client.close()
        for program in self.running.values():
            await program.kill()


class Program:
    """A badgerroad process and the lines of its log."""

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

    async def wait_for_log(self, pattern, since=0):
        """Return the first log line at or after index `since` that matches the pattern."""
        found = []

        def matching():
            found[:] = [line for line in self.lines[since:] if re.search(pattern, line)]
            return found or self.process.returncode is not None

        await until(matching, f"{pattern!r} in {self.lines}")
        assert found, (pattern, self.process.returncode, self.lines)
        return found[0]

    async def wait_for_exit(self):
        """Wait for the end of the process and return its exit code."""
        await asyncio.wait_for(self.process.wait(), CONDITION_TIMEOUT_S)
        await self._reader
        return self.process.returncode

    async def kill(self):
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.wait_for_exit()


def _toml(values):
    """Return simple values as TOML lines. Strings, numbers and booleans are the same in TOML and JSON."""
    return "".join(f"{json.dumps(key)} = {json.dumps(value)}\n" for key, value in values.items())


# Leases are shorter than by default, so that they end within a test.
QUICK = {
    "ownership_lease_ms": 2000,
    "quota_lease_ms": 1200,
    "dispatcher_lease_ms": 800,
    "renew_ms": 300,
    "lending_ms": 1500,
    "ask_timeout_ms": 500,  # longer than in production, because the machine may be busy
}


class LeaseClient:
    """A dispatcher without HTTP clients that requests leases for teams and records the decisions."""

    def __init__(self, fleet, zone):
        settings = table.settings_of(load(str(fleet.folder / "c0.toml")).fleet, "c0.toml")
        random, incarnation = Random(zone), fleet_connections.new_incarnation()
        self.leases = DispatcherLeases(settings, f"asker-{zone}", zone, incarnation, monotonic_us(), random)
        hello = Hello(VERSION, f"asker-{zone}", zone, fleet_connections.ROLE_DISPATCHER, incarnation)
        addresses = {member["name"]: (member["host"], member["port"]) for member in fleet.members}
        self.connections = fleet_connections.Connections(hello, addresses, self, random)
        self.over_quota, self.count = {}, 0
        self._ticks = asyncio.ensure_future(self._tick())

    def request(self, team):
        """Start a request of the team and return its number, the key of its decision in `over_quota`."""
        self.count += 1
        self._perform(self.leases.request(monotonic_us(), self.count, team))
        return self.count

    async def wait_until_within(self, team):
        """Repeat requests of the team until one of them is within its quota."""
        end = time.monotonic() + CONDITION_TIMEOUT_S
        while time.monotonic() < end:
            number = self.request(team)
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
                assert action.request not in self.over_quota  # each request is decided once
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
    """A controller in this process that grants every request, or does not reply."""

    def __init__(self, fleet, name="c0", replies=True):
        self.replies, self.requesters, self.losses = replies, [], []
        self._granted, self._returned = {}, {}  # total numbers of requests by peer and team
        (member,) = (member for member in fleet.members if member["name"] == name)
        self._address = (member["host"], member["port"])
        hello = Hello(
            VERSION, name, member["zone"], fleet_connections.ROLE_CONTROLLER, fleet_connections.new_incarnation()
        )
        self.connections = fleet_connections.Connections(hello, {name: self._address}, self, Random(1))

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
            self.requesters.append(sender.name)
            if self.replies:
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

    def unused(self, peer=None):
        """Return the requests by team that were granted and not yet reported as used or returned."""
        unused = {}
        for (name, team), count in self._granted.items():
            if peer in (None, name):
                unused[team] = unused.get(team, 0) + count - self._returned.get((name, team), 0)
        return unused
