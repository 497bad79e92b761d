"""Cancels attempts that are no longer needed, so that their slots become free for other requests."""

from collections.abc import Container

from .. import interface
from ..decision_context import DecisionContext
from ..pending_requests import Attempt, PendingRequest


def cancel_attempts(context: DecisionContext, request: PendingRequest, attempts: Container[Attempt]) -> None:
    """Cancel the request's attempts in flight that are contained in `attempts`."""
    context.actions += [
        interface.Cancel(request.id, number)
        for number, attempt in enumerate(request.attempts)
        if attempt in attempts and not attempt.result
    ]
