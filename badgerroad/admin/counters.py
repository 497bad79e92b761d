"""The counters behind `/metrics`: each request once, where it ends; each attempt where its last byte is written."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

STATUS_OK = 200
REJECTED_STATUSES = (429, 503)  # the answers that the protocol calls refused, whichever side worded them
CLIENT_GONE = 0  # in place of a status


class Counters:
    """From the start of the process. A class that the settings no longer name keeps its counters."""

    def __init__(self, request_classes: Iterable[str]) -> None:
        """All at zero."""
        self.answered: dict[str, int] = {}
        self.deferred: dict[str, int] = {}
        self.errored: dict[str, int] = {}
        self.attempts = 0
        self.open_requests = 0
        self.reloads = 0
        self.failed_reloads = 0
        self.add_classes(request_classes)

    def add_classes(self, request_classes: Iterable[str]) -> None:
        """Every class of the settings is shown from the first moment on, at zero too."""
        for name in request_classes:
            for counter in (self.answered, self.deferred, self.errored):
                counter.setdefault(name, 0)

    def request_admitted(self) -> None:
        """A request is open."""
        self.open_requests += 1

    def request_ended(self, request_class: str, status: int) -> None:
        """An admitted request has its final answer. `status` CLIENT_GONE: its client left before."""
        self.open_requests -= 1
        self._count(request_class, status)

    def request_rejected(self, request_class: str) -> None:
        """Rejected before it was admitted: too few descriptors, or draining."""
        self._count(request_class, 503)

    def _count(self, request_class: str, status: int) -> None:
        if status == STATUS_OK:
            counter = self.answered
        elif status in REJECTED_STATUSES:
            counter = self.deferred
        else:
            counter = self.errored
        counter[request_class] = counter.get(request_class, 0) + 1

    def attempt_sent(self) -> None:
        """An attempt's last byte is written."""
        self.attempts += 1

    def metrics(self, workers: int, avoided_workers: int) -> dict[str, Any]:
        """What `/metrics` shows. `workers`: in the list; `avoided_workers`: those of them that get nothing now."""
        return {
            "answered": self.answered,
            "deferred": self.deferred,
            "errored": self.errored,
            "sends": self.attempts,
            "current": self.open_requests,
            "cluster_size": workers,
            "cluster_unhealthy": avoided_workers,
            "conf_loaded": self.reloads,
            "conf_invalid": self.failed_reloads,
        }
