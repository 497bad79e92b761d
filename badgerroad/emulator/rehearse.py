"""`badgerroad rehearse`: a scenario played live, with a table that moves while it runs and a verdict at the end."""

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

PLAIN_EVERY = 5 * SEC  # where the output is no terminal, a line this often


def moving(world: LiveWorld) -> Table:
    """The table that is shown while a run goes on."""
    now = min(max(world.kernel.now, 0), world.length)
    table = Table(
        box=box.SIMPLE,
        padding=0,
        pad_edge=False,
        show_edge=False,
        title=f"{world.scenario.name}: {now / SEC:.1f} of {world.length / SEC:.0f} s",
    )
    for head in ("class", "asked", "served", "in time", "refused", "failed", "lost"):
        table.add_column(head, justify="left" if head == "class" else "right")
    for kind, t in zip(world.kinds, world.clients.tallies, strict=False):
        table.add_row(kind.name, *(str(n) for n in (t.asked, t.served, t.in_time, t.refused, t.failed, t.lost)))
    up = sum(p.up for p in world.tier.processes)
    ready = sum(n.up and not n.draining for n in world.nodes)
    table.caption = (
        f"{up} of {len(world.tier.processes)} dispatchers, {ready} of {len(world.nodes)} nodes ready, "
        f"{world.clients.open} jobs open, {len(world.referee.breaches)} rules broken"
    )
    return table


def result(r: report.Report, world: LiveWorld | None = None) -> Table:
    """The table of a finished run."""
    # 80 columns must do: where the output is no terminal there are no more.
    table = Table(
        box=box.SIMPLE,
        padding=0,
        pad_edge=False,
        show_edge=False,
        title=f"{r.scenario}, seed {r.seed}: served worth {r.worth:.1%}, worst class {r.worst_class:.1%}, "
        f"figure {r.figure:.3f}",
    )
    for head in ("class", "asked", "served", "in time", "refused", "failed", "lost", "worth", "p50 ms", "p90", "p99"):
        table.add_column(head, justify="left" if head == "class" else "right", no_wrap=True, min_width=len(head))
    for name, c in r.classes.items():
        table.add_row(
            name,
            *(str(n) for n in (c.asked, c.served, c.in_time, c.refused, c.failed, c.lost)),
            f"{100 * c.worth:.0f}%",
            *(f"{ms:.0f}" for ms in (c.p50_ms, c.p90_ms, c.p99_ms)),
        )
    if world is not None:
        table.caption = "; ".join(
            f"dispatcher {p.number}: {p.peak_mb:.0f} MB, {p.cpu_s:.1f} s of CPU, "
            f"{p.starts} start{'s' * (p.starts > 1)}"
            for p in world.tier.processes
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
    console, said = Console(), [0]

    def plain(world: LiveWorld) -> None:
        """Print a line of progress, where the output is no terminal."""
        if world.kernel.now >= said[0]:
            said[0] += PLAIN_EVERY
            t = world.clients.tallies
            console.print(
                f"{world.kernel.now / SEC:5.1f} s: {world.clients.jobs} jobs asked for, "
                f"{sum(x.served for x in t)} served, {sum(x.refused for x in t)} refused, "
                f"{sum(x.failed + x.lost for x in t)} failed, {len(world.referee.breaches)} rules broken",
                highlight=False,
            )

    async def go() -> LiveWorld:
        """Play the scenario and show its progress."""
        where = Path(logs) if logs else None
        if not console.is_terminal:
            return await play(s, seed or s.seed, file.parent, where, watch=plain)
        with Live(console=console, refresh_per_second=4) as live:
            return await play(s, seed or s.seed, file.parent, where, watch=lambda w: live.update(moving(w)))

    console.print(
        f"{s.name}: {s.about or 'no description'} {s.nodes} nodes, {s.dispatchers} dispatchers.", highlight=False
    )
    world = asyncio.run(go())
    r = report.of(world, 0.0)
    console.print(result(r, world))
    for line in r.breaches:
        console.print(f"broken: {line}", highlight=False, markup=False)
    console.print("no rule broken" if not r.breaches else f"rules broken: {r.breaches_by_rule}", highlight=False)
    if json_file:
        Path(json_file).write_bytes(msgspec.json.format(msgspec.json.encode(r), indent=1))
    return 1 if r.breaches else 0
