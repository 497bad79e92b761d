"""Fills the blocks of `docs/CAPACITY.md`, each between two markers, from the results file."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

from benchmarks.capacity import answers, role_tables
from benchmarks.capacity.markdown import significant, table
from benchmarks.capacity.results import Results
from benchmarks.capacity.target import TARGET
from benchmarks.capacity.virtual import FEW_TEAMS

BLOCK = re.compile(r"<!-- capacity:([a-z-]+) -->\n.*?<!-- /capacity:\1 -->", re.DOTALL)
SERIES_WITHOUT_LINE = (
    "over_quota",
    "over_quota_few_teams",
)  # series of shares; the page shows their points and no fitted line


class UnknownBlockError(ValueError):
    """The page lacks a block, or has one that is unknown or repeated."""


def run(results: Results) -> str:
    description = "a --quick run, whose figures mean nothing" if results.quick else "a full run"
    return (
        f"Measured {results.measured_at} at commit {results.commit} ({description}), {results.machine}. "
        f"Before: {results.before}.\n"
    )


def slopes(results: Results) -> str:
    lines = [series for name, series in results.series.items() if name not in SERIES_WITHOUT_LINE]
    rows = [
        (
            series.title,
            series.by,
            ", ".join(f"{significant(point.size)}: {significant(point.value)}" for point in series.points),
            significant(series.line.slope),
            significant(series.line.fixed),
            f"{series.line.r2:.4f}",
            significant(series.line.largest_residual),
            series.unit,
        )
        for series in lines
    ]
    return table(("what", "by", "size: median measured", "slope", "fixed", "r²", "largest residual", "unit"), rows)


def quota(results: Results) -> str:
    many, few = (results.series[name] for name in SERIES_WITHOUT_LINE)
    quota_per_s = [TARGET.starts_per_s / teams for teams in (TARGET.teams, FEW_TEAMS)]
    rows = []
    for all_teams, few_teams in zip(many.points, few.points, strict=False):
        rows.append(
            (
                significant(all_teams.size),
                significant(quota_per_s[0] / all_teams.size),
                significant(all_teams.value),
                significant(quota_per_s[1] / few_teams.size),
                significant(few_teams.value),
            )
        )
    return table(
        (
            "dispatchers",
            f"bucket of a team, {TARGET.teams} teams",
            f"counted over quota, {TARGET.teams} teams",
            f"bucket of a team, {FEW_TEAMS} teams",
            f"counted over quota, {FEW_TEAMS} teams",
        ),
        rows,
    )


def counts(results: Results) -> str:
    rows = [(count.title, significant(count.value), count.unit) for count in results.counts.values()]
    return table(("what", "measured", "unit"), rows)


BLOCKS: Mapping[str, Callable[[Results], str]] = {
    "run": run,
    "verdict": answers.verdict,
    "slopes": slopes,
    "dispatcher": role_tables.dispatcher,
    "discovery": role_tables.discovery,
    "controller": role_tables.controller,
    "voter": role_tables.voter,
    "connections": answers.connections,
    "counts": counts,
    "start": answers.start,
    "quota": quota,
    "assumptions": role_tables.assumptions,
    "faults": role_tables.faults,
    "known": answers.known,
}


def block(name: str, results: Results) -> str:
    """Return a block with its markers."""
    return f"<!-- capacity:{name} -->\n{BLOCKS[name](results)}<!-- /capacity:{name} -->"


def tables(results: Results) -> str:
    """Return the text of `docs/results/capacity.md`, which has all blocks."""
    return "# Capacity: the tables\n\n" + "\n\n".join(block(name, results) for name in BLOCKS) + "\n"


def fill(page: str, results: Results) -> str:
    """Return `page` with its blocks filled from `results`. Raises UnknownBlockError."""
    found = [match[1] for match in BLOCK.finditer(page)]
    if sorted(found) != sorted(BLOCKS):
        raise UnknownBlockError(f"blocks differ: {sorted(set(found) ^ set(BLOCKS)) or 'a block is repeated'}")
    return BLOCK.sub(lambda match: block(match[1], results), page)
