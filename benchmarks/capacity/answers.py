"""Writes the text blocks of the page: the verdict, the two questions, and the comparison with earlier figures."""

from __future__ import annotations

import math
from typing import NamedTuple

from benchmarks.capacity.markdown import significant, table
from benchmarks.capacity.reckon import Reckoning
from benchmarks.capacity.results import Results
from benchmarks.capacity.target import ASSUMED, DAY_S, TARGET

# Time for which a client that does not wait for its task holds a connection in each of its two calls.
CALL_DURATION_S = 1.0


def verdict(results: Results) -> str:
    """Return the list of limits, and whether the estimate for the target stays within each."""
    estimate = Reckoning(results, TARGET, ASSUMED)

    def compare(what: str, value: float, limit: float, unit: str) -> str:
        return f"- {what}: {significant(value)} of {significant(limit)}{' ' if unit else ''}{unit}: {'fits' if value <= limit else '**too much**'}\n"

    return (
        compare(
            "control, CPU of a dispatcher", estimate.control_share * 100, TARGET.control_core_share * 100, "% of a core"
        )
        + compare("control, bytes of a dispatcher", estimate.control_bytes_per_s, TARGET.control_bytes_per_s, "B/s")
        + compare("memory of a dispatcher", estimate.memory_mb, TARGET.control_mb, "MB")
        + compare("descriptors of a dispatcher", estimate.descriptors(), TARGET.descriptors, "")
        + "- quotas of the whole fleet: built (docs/fleet.md), measured in docs/results/fleet.md\n"
        + "- gangs, urgent work, a configuration for all: **missing**\n"
    )


def connections(results: Results) -> str:
    """Answer question 1: whether dispatchers can hold a connection for each running task."""
    estimate = Reckoning(results, TARGET, ASSUMED)
    most_running = results.count("most_running")
    fewest_dispatchers = math.ceil(TARGET.running_tasks / most_running)
    mb_per_task = results.slope("running_memory_mb") - results.slope("idle_memory_mb")
    free_mb = TARGET.most_mb - results.at("memory_mb", TARGET.workers)
    cores = (
        TARGET.starts_per_s * results.slope("job_cpu_ms_many")
        + TARGET.running_tasks / ASSUMED.progress_every_s * results.slope("callback_cpu_ms")
    ) / 1000
    return (
        f"As it is, yes: {estimate.dispatchers:,} dispatchers with {estimate.tasks:,.0f} tasks each. By the lines each then holds "
        f"{significant(estimate.descriptors())} of {TARGET.descriptors:,} descriptors and {significant(estimate.memory_mb)} MB and "
        f"works {significant(estimate.work_share * 100)}% of a core. One process took {significant(most_running)} running tasks at once "
        f"({significant(results.count('most_running_descriptors'))} descriptors, "
        f"{significant(results.count('most_running_mb'))} MB), so {fewest_dispatchers:,} would do with nothing to spare.\n\n"
        f"What it costs: a start cuts {estimate.tasks:,.0f} tasks off from their clients, and the program cancels a task whose "
        f"client has left; {ASSUMED.dispatcher_starts_a_day:,.0f} starts a day without a handover cut off "
        f"{ASSUMED.dispatcher_starts_a_day * estimate.tasks:,.0f} tasks, where a day has {TARGET.jobs_a_day:,} jobs. And each "
        f"quota, each discovery call and each reload is multiplied by {estimate.dispatchers:,}.\n\n"
        f"What instead: an answer at once with the task's id, and a second call for its end. With {CALL_DURATION_S:.0f} s a call "
        f"{significant(2 * CALL_DURATION_S * TARGET.starts_per_s)} connections are open in the whole installation; the work needs "
        f"{significant(cores)} cores, and a task without its connection {significant(mb_per_task * 1000)} KB, so that the free "
        f"{significant(free_mb)} MB of one dispatcher hold {significant(free_mb / mb_per_task)} tasks. "
        f"{math.ceil(TARGET.running_tasks * mb_per_task / free_mb)} dispatchers would do for memory; one for each of the "
        f"{TARGET.zones} zones is more than enough. **Missing:** such calls, and a place outside the dispatcher where the "
        f"state of {TARGET.running_tasks:,} tasks outlives it (it has no lasting disk).\n"
    )


def start(results: Results) -> str:
    """Answer question 2: what the start of a dispatcher takes."""
    estimate = Reckoning(results, TARGET, ASSUMED)
    workers, starts = TARGET.workers, ASSUMED.dispatcher_starts_a_day
    first_job_ms = results.at("first_job_ms", workers)
    rows = [
        ("nothing, to /-/ready", "ready_ms"),
        ("nothing, to the first job at a worker", "first_job_ms"),
        ("the list known, to /-/ready (this one's turn; 0 to 4 s by its number)", "known_ready_ms"),
        ("the list known, to the first job at a worker", "known_first_job_ms"),
        ("CPU of a start with nothing", "start_cpu_ms"),
    ]
    lines = []
    for title, name in rows:
        part = estimate.line("", name, workers)
        highest = results.series[name].points[-1].high
        lines.append((title, part.how, f"{significant(highest)} ms", f"{significant(part.value)} ms"))
    return (
        table(("start with", "slope x size + fixed", "measured at most", "at the target"), lines)
        + f"\nA dispatcher that starts with nothing sends its first job after {significant(first_job_ms / 1000)} s, discovery "
        f"answering at once. {starts:,.0f} times a day that is {significant(starts * first_job_ms / 1000)} s of one dispatcher, "
        f"{significant(starts * first_job_ms / 1000 / DAY_S / estimate.dispatchers * 1e6)} millionths of the fleet's time, and "
        f"{significant(starts * results.at('list_bytes', workers) / 1e6)} MB of whole lists. What it has learnt of workers "
        f"(pace, slots, strikes) starts from nothing: how long that takes to come back is not measured.\n"
    )


class Known(NamedTuple):
    """A figure given before the measurements; `value` is the measured one, or None if it is not measured here."""

    what: str
    given: float
    unit: str
    value: float | None
    tolerance: float = 0.25


def known(results: Results) -> str:
    """Return the table of figures given before the measurements, each confirmed or refuted."""

    def measured(name: str, size: float) -> float | None:
        return next((p.value for p in results.series[name].points if p.size == size), None)

    figures = [
        Known("a list of 6,600 workers", 856_000, "B", measured("list_bytes", 6_600)),
        Known("memory of `serve` with it", 42, "MB", measured("memory_mb", 6_600)),
        Known("a change of one worker", 237, "B", measured("change_bytes", 6_600)),
        Known("CPU of a change, 6,600 workers", 9.1, "ms", measured("change_cpu_ms", 6_600)),
        Known("CPU of a change, 1,000 workers", 1.7, "ms", measured("change_cpu_ms", 1_000)),
        Known("CPU of a change, 15 workers", 0.5, "ms", measured("change_cpu_ms", 15)),
        Known("advice, 6,600 workers, 1,000 jobs open", 5.3, "ms", measured("advice_ms", 6_600)),
        Known("longest hold, whole list of 6,600", 45, "ms", measured("whole_hold_ms", 6_600)),
        Known("longest hold, reload with 6,600", 45, "ms", measured("reload_hold_ms", 6_600)),
        Known("the same with the list in the file", 45, "ms", measured("reload_list_hold_ms", 6_600)),
    ]
    rows = []
    for figure in figures:
        measured_text = "not measured" if figure.value is None else f"{significant(figure.value)} {figure.unit}"
        rows.append((figure.what, f"{significant(figure.given)} {figure.unit}", measured_text, _conclusion(figure)))
    return table(("what", "told", "measured", ""), rows)


def _conclusion(figure: Known) -> str:
    if figure.value is None:
        return ""
    ratio = figure.value / figure.given
    if abs(ratio - 1) <= figure.tolerance:
        return "confirmed"
    return f"refuted: {significant(ratio)} times as much"
