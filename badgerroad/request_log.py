"""Writes the log events from which fleet statistics are computed: one for each answer and one for each attempt.

Their times are in milliseconds.
"""

from __future__ import annotations

from badgerroad.backend.attempts import Attempt
from badgerroad.net import logs
from badgerroad.requests import OpenRequest

log = logs.get("badgerroad")


def log_answer(request: OpenRequest, status: int, now_us: int) -> None:
    """Log the final answer of a request."""
    due_us = min(
        request.request_class.latency_objective + int(request.request_class.objective_per_work * request.work_hint),
        request.forwarded.deadline - request.received_at,
    )
    log.info(
        "answered",
        request=request.forwarded.id.decode("latin-1"),
        cls=request.request_class.name,
        status=status,
        ms=(now_us - request.received_at) // 1000,
        attempts=len(request.attempts),
        hint=request.work_hint // 1000,
        due=due_us // 1000,
    )


def log_attempt_ended(request: OpenRequest, attempt: Attempt, zone: str, result: str, now_us: int) -> None:
    """Log the end of an attempt; `result` is an `interface.AttemptResult`."""
    log.info(
        "attempt_ended",
        request=request.forwarded.id.decode("latin-1"),
        attempt=attempt.number,
        host=attempt.worker,
        zone=zone,
        result=result,
        after=(attempt.sent_at - request.received_at) // 1000,
        start=(attempt.started_at - attempt.sent_at) // 1000 if attempt.started_at else -1,
        ms=(now_us - attempt.sent_at) // 1000,
        opened=int(attempt.opened_connection),
        slots=int(request.slots),
    )
