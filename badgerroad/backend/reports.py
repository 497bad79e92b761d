"""Parses load reports of workers into figures in the order of the settings' field names."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from typing import Any

LoadReport = tuple[float, ...] | None

# The settings and the workers may use different names for the same figure; both are mapped to the name given here.
_STANDARD_NAMES = {
    "qps": "rps",
    "eps": "err_rps",
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
}


def _standard_name(name: str) -> str:
    return _STANDARD_NAMES.get(name, name)


class LoadReportParser:
    """Parses load reports in all forms that workers use. The methods return None for an unusable report."""

    def __init__(self, names: Iterable[str]) -> None:
        """Create a parser for the figures `names`, as the settings name them."""
        self.field_names = [_standard_name(name) for name in names]

    def from_header(self, value: bytes | None) -> LoadReport:
        """Parse the value of a `Server-Load` header."""
        return None if value is None else self.from_text(value.decode("latin-1"))

    def from_text(self, text: str) -> LoadReport:
        """Parse the form `name=value,name=value`, or a JSON object."""
        if not text.lstrip().startswith("{"):
            return self.from_fields(dict(part.strip().partition("=")[::2] for part in text.split(",") if "=" in part))
        try:
            return self.from_fields(json.loads(text))
        except ValueError:
            return None

    def from_fields(self, report: dict[str, Any]) -> LoadReport:
        """Parse a decoded report, or an object that has a report in its field `load`."""
        if isinstance(report.get("load"), dict):
            report = report["load"]
        try:
            figures = {_standard_name(name): float(value) for name, value in report.items()}
            values = tuple(figures[name] for name in self.field_names)
        except (KeyError, TypeError, ValueError):
            return None  # an incomplete report would shift the figures to other positions
        return values if values and all(math.isfinite(value) for value in values) else None
