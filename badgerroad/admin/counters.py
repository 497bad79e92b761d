"""The counters behind `/metrics`.

A request is counted once, when it ends; an attempt when its last byte is written.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

STATUS_OK = 200
REJECTED_STATUSES = (429, 503)  # refusals by the protocol, whether the dispatcher or a worker sent them
CLIENT_DISCONNECTED = 0  # in place of a status, if the client disconnected before its response


class Counters:
    """Counts since the start of the process. A class removed from the settings keeps its counters."""

    def __init__(self, request_classes: Iterable[str]) -> None:
        """Create the counters at zero, those by class for each of `request_classes`."""
        self.answered: dict[str, int] = {}
        self.deferred: dict[str, int] = {}
        self.errored: dict[str, int] = {}
        self.attempts = 0
        self.open_requests = 0
        self.reloads = 0
        self.failed_reloads = 0
        self.add_classes(request_classes)

    def add_classes(self, request_classes: Iterable[str]) -> None:
        """Add counters at zero for new classes, so that a class is shown before its first request ends."""
        for name in request_classes:
            for counter in (self.answered, self.deferred, self.errored):
                counter.setdefault(name, 0)

    def request_admitted(self) -> None:
        """Count a request that is now open."""
        self.open_requests += 1

    def request_ended(self, request_class: str, status: int) -> None:
        """Count the end of an admitted request by its status, or CLIENT_DISCONNECTED."""
        self.open_requests -= 1
        self._count(request_class, status)

    def request_rejected(self, request_class: str) -> None:
        """Count a request rejected before admission, because of too few descriptors or a drain."""
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
        """Count an attempt whose last byte is written."""
        self.attempts += 1

    def metrics(self, workers: int, avoided_workers: int) -> dict[str, Any]:
        """Return the metrics that `/metrics` shows.

        `workers` is the number of listed workers, `avoided_workers` the number of those that get no requests now.
        """
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
