"""Estimates the cost of one dispatcher and of discovery at the target, from the fitted lines."""

from __future__ import annotations

from typing import NamedTuple

from benchmarks.capacity.markdown import significant
from benchmarks.capacity.results import Results
from benchmarks.capacity.target import DAY_S, Assumptions, Target, dispatchers_needed

HEALTH_CHECKS_PER_REQUEST = 2
MEASURED_WATCH_S = 1.3  # mean duration of the watches during the measurements, drawn by `WatchSchedule`
JOB_EVENTS_PER_TASK = 2  # `started` and `done`; the number of progress reports depends on the time that a task runs


class Part(NamedTuple):
    """One term of a sum, with the formula `how` and the resulting value."""

    what: str
    how: str
    value: float


class Reckoning:
    """Estimates for one set of assumptions; `dispatchers` replaces the number of dispatchers that are needed."""

    def __init__(self, results: Results, target: Target, assumed: Assumptions, dispatchers: int | None = None) -> None:
        self.results, self.target, self.assumed = results, target, assumed
        self.dispatchers = dispatchers or dispatchers_needed(target, assumed)

    # Sizes and rates of one dispatcher.

    @property
    def tasks(self) -> float:
        return self.target.running_tasks / self.dispatchers

    @property
    def connections(self) -> float:
        return self.tasks * self.assumed.connections_a_task

    @property
    def starts_per_s(self) -> float:
        return self.target.starts_per_s / self.dispatchers

    @property
    def list_changes_per_s(self) -> float:
        restarts = self.target.restarts_a_day * self.assumed.list_changes_a_restart
        return (restarts + 2 * self.target.failures_a_day) / DAY_S

    @property
    def reloads_per_s(self) -> float:
        return self.target.configurations_a_day / DAY_S

    @property
    def watches_per_s(self) -> float:
        return 1 / self.assumed.watch_s

    # Terms of the estimates.

    def line(self, what: str, name: str, size: float, times: float = 1.0, per: str = "") -> Part:
        """Return the term `what`: the fitted line of the series `name` at `size`, multiplied by `times`.

        `per`: text for `times` in the formula of the term, such as "0.5 a second"; empty if there is no factor.
        """
        fitted = self.results.series[name].line
        how = f"{significant(fitted.slope)} x {size:,.0f} {'+' if fitted.fixed >= 0 else '-'} {significant(abs(fitted.fixed))}"
        if per:
            how = f"({how}) x {per}"
        return Part(what, how, fitted.at(size) * times)

    def control_cpu(self) -> list[Part]:
        """Return the terms of the CPU time for control, in milliseconds per second."""
        workers, teams = self.target.workers, self.target.teams
        watches, changes, reloads = self.watches_per_s, self.list_changes_per_s, self.reloads_per_s
        team_cost = self.results.slope("team_reload_cpu_ms") * teams
        return [
            self.line(
                "watches without news", "quiet_watch_cpu_ms", workers, watches, f"{significant(watches)} a second"
            ),
            self.line("changes of one worker", "change_cpu_ms", workers, changes, f"{significant(changes)} a second"),
            self.line("reloads", "reload_cpu_ms", workers, reloads, f"{significant(reloads)} a second"),
            Part(
                "teams in the reloads",
                f"{significant(self.results.slope('team_reload_cpu_ms'))} x {teams} x {significant(reloads)} a second",
                team_cost * reloads,
            ),
        ]

    def work_cpu(self) -> list[Part]:
        """Return the terms of the CPU time for jobs, in milliseconds per second."""
        starts = self.starts_per_s * self.assumed.requests_a_start
        job = self.results.slope("job_cpu_ms_many")
        progress = self.tasks / self.assumed.progress_every_s
        callback = self.results.slope("callback_cpu_ms")
        refusals = self.starts_per_s * self.assumed.refusals_a_start
        return [
            Part("jobs", f"{significant(job)} x {significant(starts)} a second", job * starts),
            Part("progress", f"{significant(callback)} x {significant(progress)} a second", callback * progress),
            self.line(
                "refusals with advice",
                "open_refusal_cpu_ms",
                self.tasks,
                refusals,
                f"{significant(refusals)} a second",
            ),
        ]

    def work_bytes(self) -> list[Part]:
        """Return the terms of the bytes per second for jobs of 200 B, received and sent separately."""
        starts = self.starts_per_s * self.assumed.requests_a_start
        progress = self.tasks / self.assumed.progress_every_s
        parts = []
        for name, rate_per_s in (("job", starts), ("callback", progress)):
            for direction in ("in", "out"):
                suffix = "_many" if name == "job" else ""
                slope = self.results.slope(f"{name}_bytes_{direction}{suffix}")
                what = f"{'jobs' if name == 'job' else 'progress'}, {direction}"
                parts.append(
                    Part(what, f"{significant(slope)} x {significant(rate_per_s)} a second", slope * rate_per_s)
                )
        return parts

    def control_bytes(self) -> list[Part]:
        """Return the terms of the bytes per second for control, received and sent."""
        teams = self.target.teams
        watch_in, watch_out = (self.results.slope(name) for name in ("discovery_in", "discovery_out"))
        changes, reloads = self.list_changes_per_s, self.reloads_per_s
        starts = self.assumed.dispatcher_starts_a_day / self.dispatchers / DAY_S
        return [
            Part("watches, out", significant(watch_in), watch_in * self.watch_rate_factor),
            Part("watches, in", significant(watch_out), watch_out * self.watch_rate_factor),
            self.line("changes, in", "change_bytes", self.target.workers, changes, f"{significant(changes)} a second"),
            self.line("configurations, in", "team_bytes", teams, reloads, f"{significant(reloads)} a second"),
            self.line(
                "whole lists at starts, in",
                "list_bytes",
                self.target.workers,
                starts,
                f"{significant(starts * DAY_S)} a day",
            ),
        ]

    def memory(self) -> list[Part]:
        """Return the terms of the memory, in MB."""
        tasks = self.results.slope("running_memory_mb")
        return [
            self.line("process and list", "memory_mb", self.target.workers),
            Part("tasks running", f"{significant(tasks)} x {self.tasks:,.0f}", tasks * self.tasks),
        ]

    def descriptors(self) -> float:
        return self.results.at("running_descriptors", self.tasks)

    # Sums of these terms.

    @property
    def control_share(self) -> float:
        """CPU time for control, as a share of a core."""
        return total(self.control_cpu()) / 1000

    @property
    def work_share(self) -> float:
        return total(self.work_cpu()) / 1000

    @property
    def control_bytes_per_s(self) -> float:
        return total(self.control_bytes())

    @property
    def memory_mb(self) -> float:
        return total(self.memory())

    @property
    def watch_rate_factor(self) -> float:
        """Factor by which watches end more often under the assumptions than in the measurement."""
        return MEASURED_WATCH_S / self.assumed.watch_s

    @property
    def discovery_calls_per_s(self) -> float:
        return self.results.slope("discovery_calls") * self.dispatchers * self.watch_rate_factor

    @property
    def discovery_bytes_per_s(self) -> float:
        watches = self.results.slope("discovery_out") * self.dispatchers * self.watch_rate_factor
        changes = self.results.at("change_bytes", self.target.workers) * self.list_changes_per_s * self.dispatchers
        starts = self.assumed.dispatcher_starts_a_day / DAY_S
        return watches + changes + self.results.at("list_bytes", self.target.workers) * starts


def total(parts: list[Part]) -> float:
    return sum(part.value for part in parts)
