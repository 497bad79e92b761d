"""Reads traces: CSV files of arrivals, one job per line: at_s, class, work_ms[, slots[, zone]]."""

from __future__ import annotations

from pathlib import Path

import msgspec

from badgerroad.emulator.errors import ScenarioError


class TraceRow(msgspec.Struct, frozen=True):
    """One arrival in a trace."""

    at_s: float
    cls: str
    work_ms: float
    slots: int = 1
    zone: str = ""


def read(path: Path, classes: set[str], zones: set[str]) -> list[TraceRow]:
    """Read the arrivals of a trace, sorted by time; `classes` and `zones` are the valid names. Raises ScenarioError."""
    rows: list[TraceRow] = []
    try:
        lines = path.read_text().splitlines()
    except OSError as e:
        raise ScenarioError(f"{path}: {e.strerror}") from e
    for number, line in enumerate(lines, 1):
        fields = [field.strip() for field in line.split(",")]
        if not line.strip() or line.startswith("#") or fields[0] == "at_s":
            continue
        try:
            row = TraceRow(
                float(fields[0]),
                fields[1],
                float(fields[2]),
                int(fields[3]) if len(fields) > 3 else 1,
                fields[4] if len(fields) > 4 else "",
            )
        except (ValueError, IndexError) as e:
            raise ScenarioError(f"{path}: line {number}: at_s, class, work_ms[, slots[, zone]] expected") from e
        if row.cls not in classes or row.zone and row.zone not in zones or row.work_ms <= 0 or row.at_s < 0:
            raise ScenarioError(f"{path}: line {number}: unknown class or zone, work_ms not above 0 or at_s below 0")
        rows.append(row)
    return sorted(rows, key=lambda r: r.at_s)
