"""Applies job events, by which a worker reports the progress and the end of a job in a POST to the dispatcher.

An event identifies the request and the worker, not the attempt. It may be repeated and may arrive before the 202.
`badgerroad.backend.job_event_history` tells which events may belong to an earlier attempt.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, Protocol

from badgerroad.backend.attempts import Attempt
from badgerroad.backend.reports import LoadReport, LoadReportParser
from badgerroad.job_states import JobState
from badgerroad.load_balancing import interface
from badgerroad.net.timer_wheel import TimerWheel

# How long to wait for the 202 of an attempt that a job event has already ended.
LATE_ACCEPT_TIMEOUT_US = 2_000_000

_RESULTS = {
    JobState.DONE: interface.AttemptResult.OK,
    JobState.FAILED: interface.AttemptResult.ERROR,
    JobState.RETURNED: interface.AttemptResult.QUEUE_FULL,
    JobState.LOST: interface.AttemptResult.RESET,
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

    def apply(self, attempt: Attempt, state: JobState, event: dict[str, Any]) -> None:
        """Apply an event to an attempt whose request has been written."""
        attempt.event_received = True
        if state is JobState.STARTED:
            self._started(attempt)
        elif state is JobState.RUNNING:
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
        attempt.progressed = True
        self._raise_event(interface.AttemptProgressed(attempt.request, attempt.number, attempt.worker, share))

    def _ended(self, attempt: Attempt, state: JobState, event: dict[str, Any]) -> None:
        attempt.final_event = state
        load = self.reports.from_fields(event["load"]) if isinstance(event.get("load"), dict) else None
        body = _result_body(event.get("result", "")) if state is JobState.DONE else b""
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
