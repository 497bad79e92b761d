"""Runs an experiment's grid in parallel processes."""

from __future__ import annotations

import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

from badgerroad.emulator import virtual
from badgerroad.emulator.report import Report
from badgerroad.emulator.tier import Trace
from badgerroad.lab.experiment import Experiment, Run, build, runs
from badgerroad.lab.policies import policy
from badgerroad.lab.store import Store


def play(run: Run, folder: Path, trace: Trace | None = None) -> Report:
    """Run one scenario of the grid and return its report."""
    scenario = build(folder / run.scenario, run.settings)
    return virtual.run(scenario, run.seed, (folder / run.scenario).parent, policy(run.policy), trace)


def run(
    experiment: Experiment,
    folder: Path,
    store: Store,
    jobs: int | None = None,
    progress: Callable[[int, int], None] = lambda done, total: None,
) -> int:
    """Run the part of the grid that is not in the store, storing each run when it ends. Returns the number of runs.

    `jobs` is the number of processes, by default one for each core. `progress(done, total)` is called before the first
    and after each run.
    """
    grid = runs(experiment)
    stored = store.done(experiment.name)
    remaining = [run_spec for run_spec in grid if run_spec not in stored]
    progress(len(grid) - len(remaining), len(grid))
    if not remaining:
        return 0
    with ProcessPoolExecutor(max_workers=jobs or os.cpu_count()) as pool:
        futures = {pool.submit(play, run_spec, folder): run_spec for run_spec in remaining}
        try:
            for count, future in enumerate(as_completed(futures), len(grid) - len(remaining) + 1):
                store.put(futures[future], str(folder), future.result())
                progress(count, len(grid))
        except BaseException:
            # When stopped, runs in progress are abandoned; finished runs are already stored.
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    return len(remaining)
