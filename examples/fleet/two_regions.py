"""Shows two regions that share the quota of one tenant during a network partition between them.

Usage: python examples/fleet/two_regions.py [--before S] [--cut S] [--after S]

Starts three controllers (`badgerroad control`): one each in north and south, and a witness in a third region, which
votes and stays connected to north during the partition. Simulated dispatchers request twice the quota, and count the
requests within the quota and over it. Relays connect south to the other regions, and are cut for the partition. Prints
a line per second. Everything runs on loopback, and the example ends without input.
"""

import argparse
import asyncio
import contextlib
import json
import socket
import sys
import tempfile
import time
from pathlib import Path
from random import Random, SystemRandom

from relay import Relay

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from badgerroad.fleet import table  # noqa: E402
from badgerroad.fleet.connections import ROLE_DISPATCHER, Connections, new_incarnation  # noqa: E402
from badgerroad.fleet.messages import VERSION, Hello  # noqa: E402
from badgerroad.fleet.rules.actions import QuotaDecision  # noqa: E402
from badgerroad.fleet.rules.dispatcher import DispatcherLeases  # noqa: E402
from badgerroad.net import logs  # noqa: E402
from badgerroad.operator.schema import load  # noqa: E402

NORTH, SOUTH, WITNESS = "north", "south", "witness"
REGIONS = (NORTH, SOUTH, WITNESS)
TEAM, QUOTA = "team", 60  # the tenant, and its quota in requests per second in both regions together
DISPATCHERS = 2  # number of simulated dispatchers in each of north and south
RATE = QUOTA / DISPATCHERS  # requests per second of each dispatcher; together twice the quota
# These times are shorter than the defaults, so that the partition takes effect within seconds.
LEASE_TIMES = {
    "ownership_lease_ms": 2000,
    "quota_lease_ms": 1200,
    "dispatcher_lease_ms": 800,
    "renew_ms": 300,
    "lending_ms": 1500,
}
TICK_S = 0.01
START_LIMIT_S = 20.0


def monotonic_us():
    return time.monotonic_ns() // 1000


class Dispatcher:
    """A simulated dispatcher, which generates requests at random times and holds leases like a real one."""

    def __init__(self, settings, region, number):
        self.region, self.random = region, Random(f"{region} {number}")
        name, incarnation = f"{region}-{number}", new_incarnation()
        self.leases = DispatcherLeases(settings, name, region, incarnation, monotonic_us(), self.random)
        hello = Hello(VERSION, name, region, ROLE_DISPATCHER, incarnation)
        addresses = {c.name: (c.host, c.port) for c in settings.controllers if c.name == region}
        self.connections = Connections(hello, addresses, self, self.random)
        self.connections.connect(region)
        self.requests = self.within = self.over = 0

    def received(self, sender, message):
        """Process a message; called by the connections."""
        self._perform(self.leases.receive(monotonic_us(), sender, message))

    def lost(self, name):
        """Process the loss of a connection; called by the connections."""
        self._perform(self.leases.peer_lost(monotonic_us(), name))

    async def run(self):
        asyncio.ensure_future(self._tick())
        while True:
            await asyncio.sleep(self.random.expovariate(RATE))
            self.requests += 1
            self._perform(self.leases.request(monotonic_us(), self.requests, TEAM))

    async def _tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            self._perform(self.leases.tick(monotonic_us()))

    def _perform(self, actions):
        for action in actions:
            if isinstance(action, QuotaDecision):
                self.within += not action.over_quota
                self.over += action.over_quota
            else:
                self.connections.send(action.to, action.message)


class Fleet:
    """The configuration files, relays, controllers and dispatchers of all regions."""

    def __init__(self, folder):
        self.folder = folder
        self.ports = dict(zip(REGIONS, free_ports(len(REGIONS)), strict=False))
        self.relays, self.processes, self.dispatchers = {}, [], []

    async def start(self):
        for region in (NORTH, WITNESS):
            for source, target in ((SOUTH, region), (region, SOUTH)):
                self.relays[source, target] = await Relay(self.ports[target]).open()
        (self.folder / "quotas.toml").write_text(f"{TEAM} = {QUOTA}\n")
        for region in REGIONS:
            self.processes.append(await self.start_controller(region))
        for region in (NORTH, SOUTH):
            settings = table.settings_of(load(str(self.folder / f"{region}.toml")).fleet, region)
            self.dispatchers += [Dispatcher(settings, region, number) for number in range(DISPATCHERS)]
        for dispatcher in self.dispatchers:
            asyncio.ensure_future(dispatcher.run())

    async def start_controller(self, region):
        """Start a controller; its members file has the addresses of relays for the controllers beyond the partition."""
        members = ""
        for other in REGIONS:
            port = self.relays[region, other].port if (region, other) in self.relays else self.ports[other]
            values = {"name": other, "zone": other, "region": other, "host": "127.0.0.1", "port": port, "voter": True}
            members += "[[controllers]]\n" + toml(values)
        # A controller listens at the address of its entry in this file, which is never that of a relay.
        (self.folder / f"{region}.members.toml").write_text(members)
        fleet = {"name": region, "members": f"{region}.members.toml", "quotas": "quotas.toml", **LEASE_TIMES}
        operator = self.folder / f"{region}.toml"
        operator.write_text("[fleet]\n" + toml(fleet))
        with (self.folder / f"{region}.log").open("wb") as output:
            command = [sys.executable, "-m", "badgerroad", "control", "--operator", str(operator)]
            return await asyncio.create_subprocess_exec(*command, stderr=output, cwd=ROOT)

    def cut(self):
        """Separate south from the other regions."""
        for relay in self.relays.values():
            relay.cut()

    def heal(self):
        """End the partition."""
        for relay in self.relays.values():
            relay.heal()

    def counts(self, region):
        """Return the requests within the quota and over it so far."""
        local = [dispatcher for dispatcher in self.dispatchers if dispatcher.region == region]
        return sum(dispatcher.within for dispatcher in local), sum(dispatcher.over for dispatcher in local)

    async def stop(self):
        """Stop dispatchers, controllers and relays, and return the exit codes of the controllers."""
        for dispatcher in self.dispatchers:
            for message in dispatcher.leases.release(monotonic_us()):
                dispatcher.connections.send(message.to, message.message)
            dispatcher.connections.close()
        for process in self.processes:
            process.terminate()
        codes = [await process.wait() for process in self.processes]
        for relay in self.relays.values():
            relay.close()
        return codes


async def print_counts(fleet, phase, seconds):
    """Print a line per second, and return the requests per second within the quota of each region."""
    initial = {region: fleet.counts(region) for region in (NORTH, SOUTH)}
    for _ in range(seconds):
        before = {region: fleet.counts(region) for region in (NORTH, SOUTH)}
        await asyncio.sleep(1)
        line = f"{phase:<12}"
        for region in (NORTH, SOUTH):
            within, over = (
                after - earlier for after, earlier in zip(fleet.counts(region), before[region], strict=False)
            )
            line += f"  {region} within {within:>3} over {over:>3}"
        print(line, flush=True)
    return {region: (fleet.counts(region)[0] - initial[region][0]) / max(seconds, 1) for region in initial}


async def run(options):
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        print(f"a quota of {QUOTA} requests a second; {2 * DISPATCHERS} dispatchers ask for {2 * QUOTA}", flush=True)
        try:
            await fleet.start()
            await until_served(fleet)
            rates = {"before": await print_counts(fleet, "before", options.before)}
            print("the regions are cut from one another", flush=True)
            fleet.cut()
            rates["cut"] = await print_counts(fleet, "cut", options.cut)
            print("the relay passes again", flush=True)
            fleet.heal()
            rates["after"] = await print_counts(fleet, "after", options.after)
        finally:
            codes = await fleet.stop()
    for phase, by_region in rates.items():
        print(
            f"{phase}: within the quota, a second: "
            + ", ".join(f"{region} {rate:.1f}" for region, rate in by_region.items())
        )
    print(f"controllers ended with {codes}")
    return 0 if codes == [0] * len(REGIONS) else 1


async def until_served(fleet):
    """Wait until each region has a request within the quota.

    A voter grants nothing during the first ownership lease after its start.
    """
    deadline = time.monotonic() + START_LIMIT_S
    while not all(fleet.counts(region)[0] for region in (NORTH, SOUTH)):
        if time.monotonic() > deadline:
            raise SystemExit("no request was within the quota; check that no other program uses the CPU")
        await asyncio.sleep(0.1)


def free_ports(count):
    """Return `count` free ports below the range of ephemeral ports."""
    ports = set()
    while len(ports) < count:
        port = SystemRandom().randrange(10_000, 32_000)
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind(("127.0.0.1", port))
            ports.add(port)
    return list(ports)


def toml(values):
    """Return `values` as TOML; its strings, numbers and booleans are written as in JSON."""
    return "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    for phase, seconds in (("before", 4), ("cut", 8), ("after", 5)):
        parser.add_argument(f"--{phase}", type=int, default=seconds, metavar="S")
    logs.configure(logs.LogSettings("console", "warning"))
    return asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
