"""Load reports of workers: figures in the order in which the settings name them."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from typing import Any

LoadReport = tuple[float, ...] | None

# The settings and the workers may use different names for one figure; here each has one.
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
    """Reads load reports in each form that workers use. All methods give None for a report that is not usable."""

    def __init__(self, names: Iterable[str]) -> None:
        """`names`: of the figures, as the settings have them."""
        self.field_names = [_standard_name(name) for name in names]

    def from_header(self, value: bytes | None) -> LoadReport:
        """The value of a `Server-Load` header."""
        return None if value is None else self.from_text(value.decode("latin-1"))

    def from_text(self, text: str) -> LoadReport:
        """`name=value,name=value`, or a JSON object."""
        if not text.lstrip().startswith("{"):
            return self.from_fields(dict(part.strip().partition("=")[::2] for part in text.split(",") if "=" in part))
        try:
            return self.from_fields(json.loads(text))
        except ValueError:
            return None

    def from_fields(self, report: dict[str, Any]) -> LoadReport:
        """A decoded report, or an object with one in its field `load`."""
        if isinstance(report.get("load"), dict):
            report = report["load"]
        try:
            figures = {_standard_name(name): float(value) for name, value in report.items()}
            values = tuple(figures[name] for name in self.field_names)
        except (KeyError, TypeError, ValueError):
            return None  # an incomplete report would be taken for another one
        return values if values and all(math.isfinite(value) for value in values) else None
