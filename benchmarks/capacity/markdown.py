"""Formats tables and numbers for the page."""

from __future__ import annotations

from collections.abc import Iterable


def table(header: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Return a Markdown table."""
    names = list(header)
    lines = [f"| {' | '.join(names)} |", f"|{' --- |' * len(names)}"]
    lines += [f"| {' | '.join(row)} |" for row in rows]
    return "\n".join(lines) + "\n"


def significant(value: float, digits: int = 3) -> str:
    """Format `value` with `digits` significant digits, and commas between thousands."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{float(f'{value:.{digits}g}'):.10f}".rstrip("0").rstrip(".")
