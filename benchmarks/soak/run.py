"""Runs one soak, and prints its result with the command that repeats it."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass

from benchmarks.memory_pressure.random_crowds import RandomCrowd
from benchmarks.soak import plan as soak_plan
from benchmarks.soak.checker import Checker, Violation
from benchmarks.soak.clients import Client, hold_silent_connections
from benchmarks.soak.dispatchers import DispatcherGroup
from benchmarks.soak.plan import DiscoveryState, SoakPlan
from benchmarks.soak.workers import Discovery, Fleet


@dataclass(frozen=True)
class SoakResult:
    """The outcome of one soak."""

    plan: SoakPlan
    statuses: dict[int, int]
    longest_stall_s: float
    violations: tuple[Violation, ...]

    def __str__(self):
        """Return a line on the soak, a line for each violation, and the command that repeats it if there are some."""
        rules = Counter(violation.rule.name.lower() for violation in self.violations)
        lines = [
            f"seed {self.plan.seed}: {sum(self.statuses.values())} answers {dict(sorted(self.statuses.items()))},"
            f" signals {len(self.plan.signals)}, crowd {self.plan.has_crowd}, memory crowds {len(self.plan.memory_crowds)},"
            f" hedging {self.plan.hedging},"
            f" own stall {self.longest_stall_s:.3f} s, violations {dict(rules) or 'none'}"
        ]
        lines += [f"    {each.at_s:7.3f} s {each.rule.name.lower()}: {each.detail}" for each in self.violations]
        if self.violations:
            lines.append(f"    python -m benchmarks.soak --seeds {self.plan.seed} --logs logs")
        return "\n".join(lines)


async def run(seed, folder):
    """Run the soak of a seed; `folder` gets the configurations and logs of the dispatchers."""
    plan = SoakPlan.draw(seed)
    checker = Checker(plan.hedging)
    dispatchers = []
    fleet = Fleet(seed, checker, lambda number: dispatchers[number].address)
    for _ in range(soak_plan.WORKERS):
        await fleet.add()
    discoveries = [await Discovery(n, fleet, checker).open() for n in range(soak_plan.DISPATCHERS)]
    for n, discovery in enumerate(discoveries):
        dispatchers.append(DispatcherGroup(n, folder, discovery.ports, checker, plan.hedging))
    try:
        await asyncio.gather(*(dispatcher.start() for dispatcher in dispatchers))
        checker.started_at = time.monotonic()
        await _play(plan, checker, fleet, discoveries, dispatchers)
    finally:
        for dispatcher in dispatchers:
            await dispatcher.close()
        fleet.close()
        for discovery in discoveries:
            discovery.close()
    return SoakResult(plan, checker.statuses, checker.longest_stall_s, tuple(checker.violations))


async def _play(plan, checker, fleet, discoveries, dispatchers):
    end_at = checker.started_at + plan.duration_s
    clients = [
        Client(f"c{n}", plan.seed, dispatchers, checker, end_at, plan.has_crowd)
        for n in range(soak_plan.CLIENTS_PER_DISPATCHER * soak_plan.DISPATCHERS)
    ]
    tasks = [checker.watch_stalls(end_at), *(client.run() for client in clients)]
    tasks += [dispatcher.watch_memory(end_at) for dispatcher in dispatchers]
    tasks += [_at(signal.at_s, dispatchers[signal.dispatcher].apply, signal.kind) for signal in plan.signals]
    tasks += [_at(at_s, fleet.replace_one) for at_s in plan.replaced_workers_at_s]
    tasks += [_at(at_s, fleet.drain_one) for at_s in plan.drained_workers_at_s]
    tasks += [_discovery_fault(fault, fleet, discoveries) for fault in plan.discovery_faults]
    for crowd in plan.memory_crowds:
        play = RandomCrowd(crowd.seed, dispatchers[crowd.dispatcher].address[1], soak_plan.MEMORY_CROWD_SCALE)
        tasks.append(_at(crowd.at_s, play.run))
    if plan.has_crowd:
        tasks.append(hold_silent_connections(soak_plan.CROWD_SIZE, dispatchers, end_at))
    await asyncio.gather(*tasks)


async def _at(at_s, act, *arguments):
    await asyncio.sleep(at_s)
    await act(*arguments)


async def _discovery_fault(fault, fleet, discoveries):
    await asyncio.sleep(fault.at_s)
    fleet.set_state(fault.state)
    if fault.state in (DiscoveryState.DEAD, DiscoveryState.CROWDED):
        for discovery in discoveries:
            discovery.end_connections()
    await asyncio.sleep(fault.until_s - fault.at_s)
    fleet.set_state(DiscoveryState.WORKING)
    if fault.state is DiscoveryState.SILENT:
        for discovery in discoveries:
            discovery.end_connections()
