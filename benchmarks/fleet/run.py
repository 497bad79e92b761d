"""Runs one scenario: starts the installation, warms up, injects the fault, measures and evaluates."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
import tempfile
import time
from pathlib import Path

from badgerroad.fleet.settings import FleetSettings

from . import children, hollow, layout, relay, traffic
from .installation import Ended, Installation, Plan, read_decisions
from .judge import Judge, Outcome
from .results import Result
from .scenarios import (
    FILLING_S,
    ChangeQuotas,
    CutRegion,
    KillOwner,
    LoseZone,
    RestartDispatchers,
    RollingRestart,
    Scenario,
    StopOwner,
)

BRING_UP_LIMIT_S = 45.0
END_LIMIT_S = 30.0


class Run:
    """One run of one scenario. `play` returns its observations."""

    def __init__(self, scenario: Scenario, dispatchers: int, seed: int, topology: str, folder: Path) -> None:
        self.scenario, self.dispatchers, self.seed, self.topology = scenario, dispatchers, seed, topology
        self.folder = folder
        self.places = layout.places()
        self.quotas = traffic.quotas()
        self.end_s = scenario.warm_s + scenario.seconds
        self.installation = Installation(self.plan(), folder)
        self.owners = self.installation.owners()
        self.controller_marks: list[dict[str, children.Usage]] = []
        self.memory = 0
        self.notes: list[str] = []

    def plan(self) -> Plan:
        scenario, warm = self.scenario, self.scenario.warm_s
        busy = set(traffic.busy_dispatchers(self.dispatchers, scenario.share, self.seed))
        rate = sum(self.quotas) * scenario.load / len(busy)
        cuts: tuple[relay.Cut, ...] = ()
        restarts: tuple[hollow.Restart, ...] = ()
        fault = scenario.fault
        if isinstance(fault, CutRegion):
            zones = tuple(place.zone for place in self.places if place.region == fault.region)
            cuts = (relay.Cut(warm + fault.at, warm + fault.at + fault.seconds, zones),)
        elif isinstance(fault, RestartDispatchers):
            restarted = random.Random(f"restart {self.seed}").sample(
                range(self.dispatchers), round(self.dispatchers * fault.share)
            )
            restarts = (hollow.Restart(warm + fault.at, tuple(restarted), fault.pause_s),)
        elif isinstance(fault, LoseZone):
            restarts = (hollow.Restart(warm + fault.at, self.dispatchers_of(fault.zone), None),)
        return Plan(
            dispatchers=self.dispatchers,
            seed=self.seed,
            quotas=self.quotas,
            rates=[rate if index in busy else 0.0 for index in range(self.dispatchers)],
            seconds=self.end_s,
            marks=(warm, self.end_s),
            places=self.places,
            cuts=cuts,
            noise=scenario.noise,
            restarts=restarts,
            topology=self.topology,
        )

    def dispatchers_of(self, zone: str) -> tuple[int, ...]:
        indices = range(self.dispatchers)
        return tuple(index for index in indices if layout.place_of_dispatcher(index, self.places).zone == zone)

    async def play(self) -> Outcome:
        try:
            await asyncio.wait_for(self.bring_up(), BRING_UP_LIMIT_S)
            await asyncio.wait_for(self.measure(), self.end_s + END_LIMIT_S)
            ended = await asyncio.wait_for(self.installation.finish(), END_LIMIT_S)
        finally:
            await self.installation.end()
        return self.outcome(ended)

    async def bring_up(self) -> None:
        installation = self.installation
        installation.write_quotas(self.scenario.filling_quotas(self.quotas, len(self.places)))
        await installation.start()
        await installation.wait_for_owners()
        await installation.start_hollows()
        await installation.begin()

    async def measure(self) -> None:
        work = (self.fill(), self.fault(), self.watch_memory())
        tasks = [asyncio.ensure_future(one) for one in work]
        try:
            for mark in self.installation.plan.marks:
                await self.installation.until(mark)
                self.controller_marks.append(self.installation.usages())
            await self.installation.until(self.end_s + 0.5)  # the other processes record their last mark at end_s
        finally:
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def watch_memory(self) -> None:
        while True:
            self.memory = max(self.memory, self.installation.children.check_memory())
            await asyncio.sleep(1.0)

    async def fill(self) -> None:
        """Set the actual quotas at the end of the time in which buckets and leases are filled."""
        await self.installation.until(min(FILLING_S, self.scenario.warm_s / 2))
        await self.change_quotas(self.quotas)

    # Faults injected here; relays and hollow dispatchers inject the others.

    async def fault(self) -> None:
        fault = self.scenario.fault
        if fault is None:
            return
        await self.installation.until(self.scenario.warm_s + fault.at)
        if isinstance(fault, KillOwner):
            self.installation.signal(self.first_owner, signal.SIGKILL)
        elif isinstance(fault, StopOwner):
            self.installation.signal(self.first_owner, signal.SIGSTOP)
            await asyncio.sleep(fault.seconds)
            self.installation.signal(self.first_owner, signal.SIGCONT)
        elif isinstance(fault, LoseZone):
            place = next(place for place in self.places if place.zone == fault.zone)
            self.installation.signal(place.controller, signal.SIGKILL)
        elif isinstance(fault, RollingRestart):
            await self.restart_all(fault)
        elif isinstance(fault, ChangeQuotas):
            await self.change_quotas(self.changed_quotas)
            await asyncio.sleep(fault.seconds)
            await self.change_quotas(self.quotas)

    @property
    def first_owner(self) -> str:
        """The owner of the shard of the team with the largest quota."""
        return self.owners[shard_of(0)]

    @property
    def changed_quotas(self) -> list[float]:
        fault = self.scenario.fault
        assert isinstance(fault, ChangeQuotas)
        return [round(q * fault.factor, 3) if n < fault.teams else q for n, q in enumerate(self.quotas)]

    async def change_quotas(self, quotas: list[float]) -> None:
        self.installation.write_quotas(quotas)
        for name in self.installation.controllers:
            self.installation.signal(name, signal.SIGHUP)

    async def restart_all(self, fault: RollingRestart) -> None:
        """Restart the controllers one at a time: a voter, then non-voters until it votes again, then the next voter."""
        voters = [place for place in self.places if place.voter]
        others = [place for place in self.places if not place.voter]
        shutdown_times: list[float] = []
        for voter in voters:
            shutdown_times.append(await self.restart(voter))
            votes_again_at = time.monotonic() + fault.voter_pause_s
            while others and time.monotonic() + fault.pause_s < votes_again_at:
                shutdown_times.append(await self.restart(others.pop()))
                await asyncio.sleep(fault.pause_s)
            await asyncio.sleep(max(0.0, votes_again_at - time.monotonic()))
        for place in others:
            shutdown_times.append(await self.restart(place))
            await asyncio.sleep(fault.pause_s)
        total = time.monotonic() - self.installation.epoch - self.scenario.warm_s - fault.at
        self.notes.append(
            f"{len(shutdown_times)} controllers restarted in {total:.1f} s; the slowest took {max(shutdown_times):.1f} s to end"
        )

    async def restart(self, place: layout.Place) -> float:
        """Restart one controller gracefully; return the seconds that its shutdown took."""
        started = time.monotonic()
        self.installation.signal(place.controller, signal.SIGTERM)
        await self.installation.controllers[place.controller].wait()
        took = time.monotonic() - started
        await self.installation.start_controller(place)
        await self.installation.wait_for_listening(place, starts=2)
        return took

    def outcome(self, ended: Ended) -> Outcome:
        return Outcome(
            scenario=self.scenario,
            dispatchers=self.dispatchers,
            seed=self.seed,
            topology=self.topology,
            places=self.places,
            quotas=self.quotas,
            changed_quotas=self.changed_quotas if isinstance(self.scenario.fault, ChangeQuotas) else None,
            epoch=self.installation.epoch,
            owners=self.owners,
            first_owner=self.first_owner,
            controller_marks=self.controller_marks,
            ended=ended,
            records=read_decisions(self.folder),
            memory=self.memory,
            notes=self.notes,
        )


def shard_of(team: int) -> int:
    return FleetSettings(controllers=()).shard_of(traffic.team_names()[team])


def play(scenario: Scenario, dispatchers: int, seed: int, topology: str = hollow.OWN_ZONE, keep: str = "") -> Result:
    """Run one scenario and evaluate it. `keep`: folder for logs and records; if empty they are deleted."""
    with tempfile.TemporaryDirectory(prefix="fleet-") as temporary:
        folder = Path(keep or temporary)
        folder.mkdir(parents=True, exist_ok=True)
        run = Run(scenario, dispatchers, seed, topology, folder)
        result = Judge(asyncio.run(run.play())).result()
    result.commit = present_commit()
    return result


def present_commit() -> str:
    """Return the short commit hash of the working tree; empty outside of a repository."""
    found = subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=children.ROOT, capture_output=True, text=True)
    return found.stdout.strip()
