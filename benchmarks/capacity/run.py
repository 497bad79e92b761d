"""Runs all measurements in sequence; if asked, under a lock on the cores of the machine."""

from __future__ import annotations

import asyncio
import fcntl
import platform
import subprocess
import tempfile
import time
from collections.abc import Callable, Coroutine, Mapping, Sequence
from datetime import UTC, datetime
from functools import partial
from pathlib import Path
from typing import Any, TypeVar

from benchmarks.capacity import by_connections, by_load, by_workers, virtual
from benchmarks.capacity.fit import Point
from benchmarks.capacity.results import Count, Results, point_of, series_of
from benchmarks.capacity.server import ROOT
from benchmarks.capacity.target import TARGET

T = TypeVar("T")
Measured = Mapping[int, Mapping[str, Sequence[float]]]
Titles = Mapping[str, tuple[str, str]]
LONGEST_HOLD_S = 55.0  # longest time for which the lock is held at a time
RELEASE_AFTER_S = 25.0  # a lock held for at least this long is released before the next step

BEFORE = (
    "docs/results/capacity_before.json has the same run of the program at commit b3d8ca1, where a change of one worker and "
    "the advice in a refusal each looked at every worker on the list"
)


class Sizes:
    """The sizes to measure; a quick run has four small sizes of each quantity."""

    def __init__(self, quick: bool) -> None:
        self.quick = quick
        self.repeats = 1 if quick else 7
        self.starts = 1 if quick else 5
        self.number = 0 if quick else by_workers.DISPATCHER_INDEX
        self.workers = by_workers.sizes(quick)
        self.large_list = 200 if quick else 6_600
        self.idle = (0, 20, 40, 60) if quick else (0, 200, 400, 600, 800)
        self.running = (10, 20, 30, 40) if quick else (100, 200, 300, 400, 500)
        self.most = 100 if quick else 1_000
        self.jobs = (16, 32, 48, 64) if quick else (100, 200, 400, 800)
        self.callbacks = (50, 100, 150, 200) if quick else (500, 1_000, 2_000, 4_000)
        self.teams = (10, 100, 250, 510)
        self.losses = (1, 10, 20, 40) if quick else (1, 40, 350, 950)
        self.dispatchers = (1, 2, 3, 4) if quick else (1, 2, 4, 6, 8)
        self.discovery_s = 0.4 if quick else 6.0
        self.turns = (50, 100, 150, 200) if quick else (75, 150, 300, 600)
        self.quota_dispatchers = (1, 2, 4, 8) if quick else (1, 2, 4, 8, 19, 100, 587)
        self.jobs_open = (0, 100, 200, 300) if quick else (0, 250, 500, 1_000)


class Cores:
    """The exclusive lock on the cores, held for LONGEST_HOLD_S at most at a time; without a file nothing is locked."""

    def __init__(self, lock: Path | None) -> None:
        self._file = open(lock, "a") if lock is not None else None  # noqa: SIM115 - held for the whole run
        self._held_since: float | None = None

    def take(self) -> None:
        """Prepare a step: take the lock, after releasing it for other programs if it has been held for long."""
        if self._held_since is not None and self.left_s <= LONGEST_HOLD_S - RELEASE_AFTER_S:
            self.release()
        if self._held_since is None:
            if self._file is not None:
                fcntl.flock(self._file, fcntl.LOCK_EX)
            self._held_since = time.monotonic()

    @property
    def left_s(self) -> float:
        """Seconds for which the lock may still be held."""
        return LONGEST_HOLD_S if self._held_since is None else LONGEST_HOLD_S - (time.monotonic() - self._held_since)

    def release(self) -> None:
        self._held_since = None
        if self._file is not None:
            fcntl.flock(self._file, fcntl.LOCK_UN)


class Run:
    """One run of all measurements, which collects their results."""

    def __init__(self, quick: bool, lock: Path | None) -> None:
        self.sizes, self.cores = Sizes(quick), Cores(lock)
        machine = f"{platform.machine()}, {platform.system()} {platform.release()}, Python {platform.python_version()}"
        commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True)
        self.results = Results(
            datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC"), quick, machine, commit.stdout.strip(), BEFORE
        )
        self.folder = Path()

    def all(self) -> Results:
        with tempfile.TemporaryDirectory(prefix="capacity-") as folder:
            self.folder = Path(folder)
            self._by_workers()
            self._by_connections()
            self._by_load()
            self._virtual()
        self.cores.release()
        return self.results

    def _by_workers(self) -> None:
        sizes = self.sizes
        measured = {}
        for size in sizes.workers:
            measured[size] = self._serve(
                f"{size} workers", by_workers.measure(self.folder, size, sizes.starts, sizes.number)
            )
        self._keep(by_workers.TITLES, "workers on the list", measured)
        idle = self._serve("idle connections", by_connections.idle(self.folder, sizes.idle))
        self._keep(by_connections.IDLE_TITLES, "idle clients' connections", idle)

    def _by_connections(self) -> None:
        sizes, folder = self.sizes, self.folder
        by = f"tasks running, {sizes.large_list} workers"
        measured = self._serve(
            "running tasks", by_connections.running(folder, sizes.large_list, sizes.running, sizes.repeats)
        )
        self._keep(by_connections.RUNNING_TITLES, by, measured)
        measured = self._serve("call-backs closed", by_connections.closed(folder, sizes.large_list, sizes.running))
        self._keep(by_connections.CLOSED_TITLES, by, measured)
        most = self._serve("most tasks", by_connections.most_running(folder, sizes.large_list, sizes.most))
        self._count("most_running", f"tasks running at once, {sizes.most} tried", "tasks", most)
        self._count("most_running_mb", "memory then", "MB", most)
        self._count("most_running_descriptors", "descriptors then", "descriptors", most)
        measured = self._serve("call-backs", by_connections.callbacks(folder, sizes.callbacks))
        self._keep(by_connections.CALLBACK_TITLES, "call-backs of progress", measured)

    def _by_load(self) -> None:
        sizes, folder = self.sizes, self.folder
        for workers, name in ((15, "few"), (sizes.large_list, "many")):
            measured = self._serve(f"jobs, {workers} workers", by_load.jobs(folder, workers, sizes.jobs, 3))
            self._keep(by_load.JOB_TITLES, f"jobs, {workers} workers", measured, suffix=f"_{name}")
        self._keep(
            by_load.TEAM_TITLES, "teams", self._serve("teams", by_load.teams(folder, sizes.teams, sizes.repeats))
        )
        loss_values = self._serve("losses", by_load.losses(folder, sizes.large_list, sizes.losses, sizes.repeats))
        self._keep(by_load.LOSS_TITLES, f"workers in one change, {sizes.large_list} listed", loss_values)
        discovery_values = {
            count: self._serve(f"{count} dispatchers", by_load.discovery_load(folder, count, 200, sizes.discovery_s))
            for count in sizes.dispatchers
        }
        self._keep(by_load.DISCOVERY_TITLES, "dispatchers, nothing changes", discovery_values)

    def _virtual(self) -> None:
        sizes = self.sizes
        advice = {
            size: self._step(f"advice, {size} workers", partial(virtual.advice, size, virtual.JOBS_OPEN, sizes.repeats))
            for size in sizes.workers
        }
        self._keep(virtual.ADVICE_TITLES, "workers on the list", _named("advice_ms", advice))
        advice = {
            jobs: self._step(f"advice, {jobs} jobs", partial(virtual.advice, sizes.large_list, jobs, sizes.repeats))
            for jobs in sizes.jobs_open
        }
        by = f"jobs open, {sizes.large_list} workers"
        self._keep(virtual.ADVICE_JOB_TITLES, by, _named("advice_job_ms", advice))
        for teams, suffix in ((TARGET.teams, ""), (virtual.FEW_TEAMS, "_few_teams")):
            quota = {
                count: self._step(f"quota, {count}", partial(virtual.over_quota, count, teams, TARGET.starts_per_s))
                for count in sizes.quota_dispatchers
            }
            by = f"dispatchers, {teams} teams"
            self._keep(virtual.QUOTA_TITLES, by, _named("over_quota", quota), suffix=suffix)
        turns = {count: self._step(f"turns, {count}", partial(virtual.turns, count)) for count in sizes.turns}
        self._keep(virtual.TURN_TITLES, "dispatchers", turns)

    def _keep(self, titles: Titles, by: str, measured: Measured, suffix: str = "") -> None:
        for name, (title, unit) in titles.items():
            points: list[Point] = [point_of(size, values[name]) for size, values in measured.items()]
            self.results.series[name + suffix] = series_of(name + suffix, title, unit, by, points)

    def _count(self, name: str, title: str, unit: str, values: Mapping[str, float]) -> None:
        self.results.counts[name] = Count(name, title, unit, values[name])

    def _serve(self, what: str, measured: Coroutine[Any, Any, T]) -> T:
        """Run a measurement with processes. Raises TimeoutError if the lock would be held for too long."""
        return self._step(what, lambda: asyncio.run(asyncio.wait_for(measured, self.cores.left_s)))

    def _step(self, what: str, measure: Callable[[], T]) -> T:
        self.cores.take()
        started = time.monotonic()
        values = measure()
        duration_s = time.monotonic() - started
        print(f"{what}: {duration_s:.1f} s", flush=True)
        return values


def _named(name: str, measured: Mapping[int, Sequence[float]]) -> dict[int, dict[str, Sequence[float]]]:
    return {size: {name: values} for size, values in measured.items()}
