"""Applies job events, by which a worker reports the progress and the end of a job in a POST to the dispatcher.

An event identifies the request and the worker, not the attempt. It may be repeated and may arrive before the 202.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

from badgerroad.backend.attempts import Attempt
from badgerroad.backend.reports import LoadReport, LoadReportParser
from badgerroad.load_balancing import interface
from badgerroad.net.timer_wheel import TimerWheel

# How long to wait for the 202 of an attempt that a job event has already ended.
LATE_ACCEPT_TIMEOUT_US = 2_000_000

_RESULTS = {
    "done": interface.AttemptResult.OK,
    "failed": interface.AttemptResult.ERROR,
    "returned": interface.AttemptResult.QUEUE_FULL,
    "lost": interface.AttemptResult.RESET,
}


class EndAttempt(Protocol):
    """The type of the function that ends an attempt with its result, load report and response body."""

    def __call__(
        self, attempt: Attempt, result: interface.AttemptResult, load: LoadReport = None, body: bytes = b""
    ) -> None:
        """End `attempt`; no effect if it has ended."""


class JobEvents:
    """Applies job events to attempts."""

    def __init__(
        self,
        timers: TimerWheel,
        reports: LoadReportParser,
        raise_event: Callable[[interface.Event], None],
        end_attempt: EndAttempt,
    ) -> None:
        """Parse load reports with `reports`, which is replaced when the settings change."""
        self.reports = reports
        self._timers = timers
        self._raise_event = raise_event
        self._end_attempt = end_attempt

    def apply(self, attempt: Attempt, state: str, event: dict[str, Any]) -> None:
        """Apply an event with a valid `state` to an attempt whose request has been written."""
        attempt.event_received = True
        if state == "started":
            self._started(attempt)
        elif state == "running":
            self._progressed(attempt, float(event.get("share") or 0.0))
        else:
            self._ended(attempt, state, event)

    def _started(self, attempt: Attempt) -> None:
        if attempt.started:
            return
        attempt.started = True
        attempt.started_at = self._timers.clock.now()
        self._raise_event(interface.AttemptStarted(attempt.request, attempt.number, attempt.worker))

    def _progressed(self, attempt: Attempt, share: float) -> None:
        self._raise_event(interface.AttemptProgressed(attempt.request, attempt.number, attempt.worker, share))

    def _ended(self, attempt: Attempt, state: str, event: dict[str, Any]) -> None:
        load = self.reports.from_fields(event["load"]) if isinstance(event.get("load"), dict) else None
        body = _result_body(event.get("result", "")) if state == "done" else b""
        connection = attempt.connection
        self._end_attempt(attempt, _RESULTS[state], load, body)
        if connection is not None:
            # The 202 has yet to arrive; without a timeout an unresponsive worker would hold the socket forever.
            self._timers.after(
                LATE_ACCEPT_TIMEOUT_US,
                lambda: connection.close() if attempt.connection is connection else None,
            )


def _result_body(result: object) -> bytes:
    return result.encode() if isinstance(result, str) else json.dumps(result).encode()
