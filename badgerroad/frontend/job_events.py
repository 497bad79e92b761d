"""Handles the HTTP requests by which workers report job events."""

from __future__ import annotations

import json
from typing import Any

from badgerroad.frontend.exchange import Exchange, RequestHandler
from badgerroad.job_states import JobState
from badgerroad.net import http1

_STATES = tuple(JobState)


def handle_job_event(message: http1.Message, exchange: Exchange, handler: RequestHandler) -> None:
    """Respond with 200 to a valid job event and pass it to `handler`; respond with 400 to anything else."""
    try:
        event = _decode(message.body)
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        exchange.answer(400, f"not a call-back: {type(error).__name__}\n".encode())
        return
    # Respond first: if handling the event delayed the response, the worker could repeat the event.
    exchange.answer(200)
    handler.handle_job_event(event["id"].encode("utf-8", "replace"), event["from"], event["state"], event)


def _decode(body: bytes) -> dict[str, Any]:
    """Decode a job event. Raises ValueError, KeyError, TypeError or RecursionError if it is not valid."""
    event: dict[str, Any] = json.loads(body)
    request_id, worker, state = event["id"], event["from"], event["state"]
    if not (isinstance(request_id, str) and isinstance(worker, str) and state in _STATES):
        raise ValueError("id and from must be strings, and state a known state")
    if state == JobState.RUNNING:
        float(event.get("share") or 0.0)
    return event
