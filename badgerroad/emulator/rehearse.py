"""`badgerroad rehearse`: runs a scenario live, shows its progress and reports the result."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import msgspec
from rich import box
from rich.console import Console
from rich.live import Live
from rich.table import Table

from badgerroad.emulator import report, scenario
from badgerroad.emulator.errors import ScenarioError
from badgerroad.emulator.live.run import LiveWorld, play
from badgerroad.emulator.model.kernel import SEC

PROGRESS_INTERVAL_US = 5 * SEC  # interval of progress lines if the output is not a terminal


def progress_table(world: LiveWorld) -> Table:
    """Build the progress table of a run."""
    now = min(max(world.kernel.now, 0), world.length)
    table = Table(
        box=box.SIMPLE,
        padding=0,
        pad_edge=False,
        show_edge=False,
        title=f"{world.scenario.name}: {now / SEC:.1f} of {world.length / SEC:.0f} s",
    )
    for heading in ("class", "asked", "served", "in time", "refused", "failed", "lost"):
        table.add_column(heading, justify="left" if heading == "class" else "right")
    for request_class, counts in zip(world.request_classes, world.clients.class_counts, strict=False):
        table.add_row(
            request_class.name,
            *(
                str(count)
                for count in (counts.asked, counts.served, counts.in_time, counts.refused, counts.failed, counts.lost)
            ),
        )
    up = sum(process.up for process in world.tier.processes)
    ready = sum(node.up and not node.draining for node in world.nodes)
    table.caption = (
        f"{up} of {len(world.tier.processes)} dispatchers, {ready} of {len(world.nodes)} nodes ready, "
        f"{world.clients.open_jobs} jobs open, {len(world.rule_checker.violations)} rules broken"
    )
    return table


def result_table(r: report.Report, world: LiveWorld | None = None) -> Table:
    """Build the result table of a finished run."""
    # The table must fit 80 columns, the width of an output that is not a terminal.
    table = Table(
        box=box.SIMPLE,
        padding=0,
        pad_edge=False,
        show_edge=False,
        title=f"{r.scenario}, seed {r.seed}: served worth {r.worth:.1%}, worst class {r.worst_class:.1%}, "
        f"figure {r.figure:.3f}",
    )
    for heading in (
        "class",
        "asked",
        "served",
        "in time",
        "refused",
        "failed",
        "lost",
        "worth",
        "p50 ms",
        "p90",
        "p99",
    ):
        table.add_column(
            heading, justify="left" if heading == "class" else "right", no_wrap=True, min_width=len(heading)
        )
    for name, c in r.classes.items():
        table.add_row(
            name,
            *(str(count) for count in (c.asked, c.served, c.in_time, c.refused, c.failed, c.lost)),
            f"{100 * c.worth:.0f}%",
            *(f"{ms:.0f}" for ms in (c.p50_ms, c.p90_ms, c.p99_ms)),
        )
    if world is not None:
        table.caption = "; ".join(
            f"dispatcher {process.number}: {process.peak_mb:.0f} MB, {process.cpu_s:.1f} s of CPU, "
            f"{process.starts} start{'s' * (process.starts > 1)}"
            for process in world.tier.processes
        )
    return table


def main(path: str, seed: int | None, json_file: str | None, logs: str | None) -> int:
    """Run `badgerroad rehearse`; returns the exit code."""
    file = Path(path)
    try:
        s = scenario.load(file)
    except ScenarioError as e:
        print(f"badgerroad: {e.line}", file=sys.stderr)
        return 2
    console, next_progress_at = Console(), [0]

    def print_progress(world: LiveWorld) -> None:
        """Print a progress line; used if the output is not a terminal."""
        if world.kernel.now >= next_progress_at[0]:
            next_progress_at[0] += PROGRESS_INTERVAL_US
            counts = world.clients.class_counts
            console.print(
                f"{world.kernel.now / SEC:5.1f} s: {world.clients.jobs} jobs asked for, "
                f"{sum(c.served for c in counts)} served, {sum(c.refused for c in counts)} refused, "
                f"{sum(c.failed + c.lost for c in counts)} failed, {len(world.rule_checker.violations)} rules broken",
                highlight=False,
            )

    async def run_live() -> LiveWorld:
        """Run the scenario and show its progress."""
        where = Path(logs) if logs else None
        if not console.is_terminal:
            return await play(s, seed or s.seed, file.parent, where, watch=print_progress)
        with Live(console=console, refresh_per_second=4) as live:
            return await play(s, seed or s.seed, file.parent, where, watch=lambda w: live.update(progress_table(w)))

    console.print(
        f"{s.name}: {s.about or 'no description'} {s.nodes} nodes, {s.dispatchers} dispatchers.", highlight=False
    )
    world = asyncio.run(run_live())
    r = report.create(world, 0.0)
    console.print(result_table(r, world))
    for line in r.breaches:
        console.print(f"broken: {line}", highlight=False, markup=False)
    console.print("no rule broken" if not r.breaches else f"rules broken: {r.breaches_by_rule}", highlight=False)
    if json_file:
        Path(json_file).write_bytes(msgspec.json.format(msgspec.json.encode(r), indent=1))
    return 1 if r.breaches else 0
