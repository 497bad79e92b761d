"""Plays one disturbance against one dispatcher process, with usual clients beside it, and measures both."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.memory_pressure.platform import DispatcherProcesses, Limits
from tests.support.loopback import CLASS, SETTINGS, World, id_of, job, read_message, reply
from tests.support.ports import free_port

WORKERS = 4
RUN_S = 0.3
LARGE_RESULT = "x" * 60_000
USUAL_REQUESTS_IN_A_SECOND = 10
USUAL_TIMEOUT_MS = 7_500
LATE_S = 0.55  # a request without an answer so long after its time is lost
SETTLE_S = 10.0
RUNNING_CHECK_INTERVAL_S = 0.1
UPGRADE_AFTER_S = 2.0  # from the start of the first disturbance
CLASSES = [
    {**CLASS, "name": "preview", "deadlineUs": 7_500_000},
    {**CLASS, "name": "echo", "deadlineUs": 7_500_000},
    {**CLASS, "name": "large", "deadlineUs": 7_500_000},
    {**CLASS, "name": "bundle", "semantics": "dedup", "group": "all", "dedupWindowUs": 5_000_000},
    {**CLASS, "name": "amend", "semantics": "fragile", "deadlineUs": 7_500_000},
]


@dataclass
class Outcome:
    """What was measured in one run."""

    kind: str
    limits: Limits
    before_mb: float = 0.0
    peak_mb: float = 0.0
    after_mb: float = 0.0
    killed_at_mb: float = 0.0
    slowest_s: float = 0.0
    usual: int = 0
    lost: list[str] = field(default_factory=list)
    rejected: int = 0
    reasons: Counter[str] = field(default_factory=Counter)  # of other answers than 200, by their texts

    def __str__(self) -> str:
        """Return the figures in one line."""
        killed = f", KILLED at {self.killed_at_mb:.0f} MB" if self.killed_at_mb else ""
        return (
            f"{self.kind:22} {self.limits.memory_mb:4} MB {self.limits.descriptors:5}: memory {self.before_mb:.0f}, "
            f"{self.peak_mb:.0f}, {self.after_mb:.0f} MB; usual requests {self.usual}, slowest {self.slowest_s:.2f} s, "
            f"rejected {self.rejected}, lost {len(self.lost)}{killed}"
            f"{' ' + str(dict(self.reasons)) if self.reasons else ''}{' ' + '; '.join(self.lost) if self.lost else ''}"
        )


def result_of(head: bytes, body: bytes) -> str:
    """Return the result of a job: its body, much, or little, by its class."""
    if head.startswith(b"POST /echo"):
        return body.decode()
    return LARGE_RESULT if head.startswith(b"POST /large") else "made"


async def run_job(world: World, head: bytes, body: bytes) -> bytes:
    """Script of a worker that runs each job for RUN_S."""
    if not head.startswith(b"POST"):
        return reply(200, b"rps=1,active=1,x0=0")

    async def finish() -> None:
        await asyncio.sleep(RUN_S)
        result = result_of(head, body)
        for _ in range(10):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await world.call_back(id_of(head), "done", world.name_of(head), result=result)
                return
            await asyncio.sleep(0.1)

    task = asyncio.ensure_future(finish())
    world.running.add(task)
    task.add_done_callback(world.running.discard)
    return reply(202)


class UsualClients:
    """Clients that send one request each on a new connection, at an even rate."""

    def __init__(self, world: World, outcome: Outcome) -> None:
        self._world = world
        self._outcome = outcome
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Send requests until stopped, and wait for the last answers."""
        asking = []
        for number in itertools.count():
            if self._stopping.is_set():
                break
            asking.append(asyncio.ensure_future(self._ask(f"usual{number}")))
            await asyncio.sleep(1 / USUAL_REQUESTS_IN_A_SECOND)
        await asyncio.gather(*asking)

    def stop(self) -> None:
        """Send no further requests."""
        self._stopping.set()

    async def _ask(self, name: str) -> None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        status = 0
        self._outcome.usual += 1
        error = ""
        try:
            async with asyncio.timeout(USUAL_TIMEOUT_MS / 1000 + LATE_S):
                reader, writer = await self._world.connect()
                writer.write(job(name, "preview", USUAL_TIMEOUT_MS, b"x", "Work-Hint: 300000"))
                head, body = await read_message(reader)
                status = int(head.split()[1])
                if status != 200:
                    self._outcome.reasons[body.decode().strip()] += 1
                writer.close()
        except (OSError, asyncio.IncompleteReadError) as exception:
            error = repr(exception)
        self._outcome.slowest_s = max(self._outcome.slowest_s, loop.time() - began_at)
        self._outcome.rejected += status in (429, 503)
        if status == 0:
            self._outcome.lost.append(f"{name} after {loop.time() - began_at:.2f} s: {error}")


async def play(
    kinds: Sequence[str],
    limits: Limits,
    folder: Path,
    scale: float = 1.0,
    settle_s: float = SETTLE_S,
    kills: bool = True,
    upgrades: bool = False,
) -> Outcome:
    """Play disturbances one after the other, named as in `disturbances.named`; `scale` as there.

    With `upgrades`, a second process of the dispatcher takes over during the first disturbance.
    """
    outcome = Outcome("+".join(kinds) + (" upgrade" if upgrades else ""), limits)
    world = World(*[run_job] * WORKERS, requestClasses=CLASSES)
    world.running = set()
    await world.open()
    world.port = free_port()
    dispatcher = DispatcherProcesses(limits, folder, kills)
    try:
        dispatcher.configure(world.port, world.discovery.port, {**SETTINGS, "requestClasses": CLASSES})
        await dispatcher.start()
        await asyncio.sleep(1.0)
        outcome.before_mb = dispatcher.resident_mb
        usual = UsualClients(world, outcome)
        asking = asyncio.ensure_future(usual.run())
        upgrade = asyncio.ensure_future(upgrade_soon(dispatcher)) if upgrades else None
        for kind in kinds:
            await disturb(kind, world.port, scale, dispatcher)
        if upgrade is not None:
            await upgrade
        usual.stop()
        await asking
        await asyncio.sleep(settle_s)
        outcome.after_mb = dispatcher.resident_mb
        outcome.peak_mb = dispatcher.peak_mb
        outcome.killed_at_mb = dispatcher.killed_at_mb
        if dispatcher.ended_by_itself and not outcome.killed_at_mb:
            outcome.lost.append("the dispatcher has ended")
    finally:
        await dispatcher.end()
        await world.close()
    return outcome


async def upgrade_soon(dispatcher: DispatcherProcesses) -> None:
    """Upgrade the dispatcher while the first disturbance is at its height."""
    await asyncio.sleep(UPGRADE_AFTER_S)
    with contextlib.suppress(RuntimeError):
        await dispatcher.upgrade()


async def disturb(kind: str, port: int, scale: float, dispatcher: DispatcherProcesses) -> None:
    """Run the disturbance in a process of its own, to its end or to that of the dispatcher."""
    command = [sys.executable, "-m", "benchmarks.memory_pressure.disturbances", kind, str(port), str(scale)]
    process = await asyncio.create_subprocess_exec(*command)
    while process.returncode is None and dispatcher.running:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), RUNNING_CHECK_INTERVAL_S)
    if process.returncode is None:
        process.kill()
    await process.wait()
