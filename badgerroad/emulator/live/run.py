"""Runs a scenario against real dispatcher processes, in real time."""

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
    """Simulation environment whose dispatchers are real processes."""

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
        """Create the environment. `command` starts a dispatcher; `logs` is the folder for the dispatchers' logs."""
        kernel = LiveKernel(loop)
        self.clock = kernel
        import time  # only for the Unix time of the scenario's start, as discovery lists nodes' starts in Unix time

        super().__init__(
            scenario,
            seed,
            folder,
            lambda world: LiveTier(world, loop, logs, command),
            live=True,
            trace=trace,
            start=time.time_ns() // 1000 + LiveKernel.STARTUP_OFFSET_US,
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
    """Run the scenario and return its environment, which holds the results. `watch` is called twice a second."""
    import time

    loop = asyncio.get_running_loop()
    with tempfile.TemporaryDirectory(prefix="badgerroad-") as scratch:
        log_folder = logs or Path(scratch)
        log_folder.mkdir(parents=True, exist_ok=True)
        world = LiveWorld(scenario, seed, folder, log_folder, loop, trace, command)
        try:
            await world.tier.open()
            world.start = time.time_ns() // 1000
            world.clock.begin()
            world.start_arrivals()
            world.tier.start_malformed_clients(scenario.clients.bad_per_s)
            while world.kernel.now < world.end and (world.kernel.now < world.length or world.clients.open_jobs):
                if watch is not None:
                    watch(world)
                await asyncio.sleep(0.5)
            # This pause leaves time for a second answer or a late attempt, which the rule checker reports.
            await asyncio.sleep(0.3)
            if watch is not None:
                watch(world)
        finally:
            await world.tier.close()
    return world
