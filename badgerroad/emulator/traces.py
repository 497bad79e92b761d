"""Traces: CSV files of arrivals, one job a line: at_s, class, work_ms[, slots[, zone]]."""

from __future__ import annotations

from pathlib import Path

import msgspec

from badgerroad.emulator.errors import ScenarioError


class TraceRow(msgspec.Struct, frozen=True):
    """One arrival of a trace."""

    at_s: float
    cls: str
    work_ms: float
    slots: int = 1
    zone: str = ""


def read(path: Path, classes: set[str], zones: set[str]) -> list[TraceRow]:
    """The arrivals in the order of time; `classes` and `zones` are those there are. Raises ScenarioError."""
    out: list[TraceRow] = []
    try:
        text = path.read_text().splitlines()
    except OSError as e:
        raise ScenarioError(f"{path}: {e.strerror}") from e
    for number, line in enumerate(text, 1):
        cells = [c.strip() for c in line.split(",")]
        if not line.strip() or line.startswith("#") or cells[0] == "at_s":
            continue
        try:
            row = TraceRow(
                float(cells[0]),
                cells[1],
                float(cells[2]),
                int(cells[3]) if len(cells) > 3 else 1,
                cells[4] if len(cells) > 4 else "",
            )
        except (ValueError, IndexError) as e:
            raise ScenarioError(f"{path}: line {number}: at_s, class, work_ms[, slots[, zone]] expected") from e
        if row.cls not in classes or row.zone and row.zone not in zones or row.work_ms <= 0 or row.at_s < 0:
            raise ScenarioError(f"{path}: line {number}: unknown class or zone, or a figure out of range")
        out.append(row)
    return sorted(out, key=lambda r: r.at_s)
