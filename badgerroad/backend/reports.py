"""Load reports of workers, in the order in which the settings name their figures."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from typing import Any, Optional

LoadReport = Optional[tuple[float, ...]]
# The settings and the sockets may use different words for one figure of a load report.
STANDARD_FIELD_NAMES = {
    "qps": "rps",
    "eps": "err_rps",
    "inflight": "active",
    "queue": "waiting",
    "util": "cpu",
    "latency_ms": "avg_ms",
}


class LoadReportParser:
    def __init__(self, names: Iterable[str]) -> None:
        self.words = [STANDARD_FIELD_NAMES.get(n, n) for n in names]

    def header(self, value: bytes | None) -> LoadReport:
        return None if value is None else self.text(value.decode("latin-1"))

    def text(self, text: str) -> LoadReport:
        """A report comes as `name=value,name=value`, in a body also as a JSON object."""
        if text.lstrip().startswith("{"):
            try:
                return self.item(json.loads(text))
            except ValueError:
                return None
        return self.item(dict(part.strip().partition("=")[::2] for part in text.split(",") if "=" in part))

    def item(self, report: dict[str, Any]) -> LoadReport:
        if isinstance(report.get("load"), dict):
            report = report["load"]
        try:
            given = {STANDARD_FIELD_NAMES.get(n, n): float(v) for n, v in report.items()}
            values = tuple(given[word] for word in self.words)
        except (KeyError, TypeError, ValueError):
            return None  # a half report would be read as another one
        return values if values and all(math.isfinite(v) for v in values) else None
