"""Cancels attempts that are not needed, so that their slots serve other requests."""

from collections.abc import Container

from .. import interface
from ..decision_context import DecisionContext
from ..pending_requests import Attempt, PendingRequest


def cancel_attempts(context: DecisionContext, request: PendingRequest, attempts: Container[Attempt]) -> None:
    """Cancel those of the request's attempts that are among `attempts` and in flight."""
    context.actions += [
        interface.Cancel(request.id, number)
        for number, attempt in enumerate(request.attempts)
        if attempt in attempts and not attempt.result
    ]
