"""One run of a scenario round real dispatcher processes, on the wall clock."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from badgerroad.emulator import scenario as sc
from badgerroad.emulator.live.clock import LiveKernel
from badgerroad.emulator.live.tier import LiveTier
from badgerroad.emulator.model.nodes import RenderNode
from badgerroad.emulator.world import World


class LiveWorld(World):
    """The world round real processes."""

    tier: LiveTier

    def __init__(
        self,
        scenario: sc.Scenario,
        seed: int,
        folder: Path,
        logs: Path,
        loop: asyncio.AbstractEventLoop,
        trace: Any | None = None,
        command: list[str] | None = None,
    ) -> None:
        """`command` starts a dispatcher; `logs`: the folder that keeps their logs."""
        kernel = LiveKernel(loop)
        self.clock = kernel
        import time  # the anchor to Unix time, in which nodes' starts are told; nothing else reads it

        super().__init__(
            scenario,
            seed,
            folder,
            lambda world: LiveTier(world, loop, logs, command),
            live=True,
            trace=trace,
            start=time.time_ns() // 1000 + LiveKernel.LEAD,
            kernel=kernel,
        )

    def _on_node_state(self, node: RenderNode, state: str) -> None:
        if state == "ready":
            self.tier.node_back(node)
        super()._on_node_state(node, state)


async def play(
    scenario: sc.Scenario,
    seed: int,
    folder: Path,
    logs: Path | None = None,
    command: list[str] | None = None,
    trace: Any | None = None,
    watch: Callable[[LiveWorld], None] | None = None,
) -> LiveWorld:
    """One live run. `watch` is called twice a second. The world that it leaves holds the result."""
    import time

    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory(prefix="badgerroad-") as scratch:
        where = logs or Path(scratch)
        where.mkdir(parents=True, exist_ok=True)
        world = LiveWorld(scenario, seed, folder, where, loop, trace, command)
        try:
            await world.tier.open()
            world.start = time.time_ns() // 1000
            world.clock.begin()
            world.start_arrivals()
            world.tier.begin_bad(scenario.clients.bad_per_s)
            while world.kernel.now < world.end and (world.kernel.now < world.length or world.clients.open_jobs):
                if watch is not None:
                    watch(world)
                await asyncio.sleep(0.5)
            # A second answer, or an attempt after the end, would come now.
            await asyncio.sleep(0.3)
            if watch is not None:
                watch(world)
        finally:
            await world.tier.close()
    return world
