"""An open request on its way to another process of the dispatcher: its order, its attempts, the decisions' state of it.

A request can move once each of its attempts is ended or accepted: from then on the worker reports on it by job events,
which reach whichever process listens. One that still awaits a 202 moves when that has come. Times are sent as
differences from now, since the clocks of two processes need not agree.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from badgerroad.backend.attempts import Attempt, ForwardedRequest
from badgerroad.dispatcher import Dispatcher
from badgerroad.frontend.client import ClientConnection
from badgerroad.frontend.exchange import Exchange
from badgerroad.load_balancing import state
from badgerroad.requests import OpenRequest

# The field of a message, and the attribute of the attempt that it carries.
_ATTEMPT_FIELDS = {
    "heard": "event_received",
    "started": "started",
    "over": "ended",
    "opened": "opened_connection",
    "status": "status",
}
_LATER_ATTEMPT_FIELDS = {"unsent": "not_sent"}  # older versions do not send it


class RequestCopy(NamedTuple):
    """All that another process needs to continue a request."""

    fields: dict[str, Any]  # as JSON holds it, see `messages.ClientConnection`
    body: bytes


def can_move(request: OpenRequest) -> bool:
    """Whether nothing of the request depends on a connection of this process but its client's."""
    return (
        request.admitted
        and not request.exchange.answered
        and all(attempt.ended or attempt.accepted and attempt.connection is None for attempt in request.attempts)
    )


def copy(dispatcher: Dispatcher, request: OpenRequest) -> RequestCopy:
    """A copy for another process; nothing changes here."""
    now = dispatcher.clock.now()
    order = request.forwarded
    fields = {
        "id": order.id.decode("latin-1"),
        "method": order.method.decode("latin-1"),
        "target": order.target.decode("latin-1"),
        "deadline": order.deadline - now,
        "begun": request.received_at - now,
        "headers": [[name.decode("latin-1"), value.decode("latin-1")] for name, value in order.headers],
        "cls": list(request.request_class),
        "hint": request.work_hint,
        "slots": request.slots,
        "attempts": [_attempt_fields(attempt, now) for attempt in request.attempts],
        "job": state.export_request(dispatcher.decisions, request.number, now),
    }
    return RequestCopy(fields, order.body)


def _attempt_fields(attempt: Attempt, now: int) -> dict[str, Any]:
    fields = {
        "worker": attempt.worker,
        "sent": attempt.sent_at - now,
        "start": attempt.started_at - now if attempt.started_at else 0,
        "left": attempt.timeout_timer.due_at - now if attempt.timeout_timer else 0,
    }
    for field, attribute in {**_ATTEMPT_FIELDS, **_LATER_ATTEMPT_FIELDS}.items():
        fields[field] = getattr(attempt, attribute)
    return fields


def forget(dispatcher: Dispatcher, request: OpenRequest) -> None:
    """The request is another process's now: drop it without a message to its client or its workers."""
    for attempt in request.attempts:
        dispatcher.backend.release_attempt(attempt)
    state.withdraw_request(dispatcher.decisions, request.number)
    request.exchange.answered = True
    request.open_attempts = 0
    if dispatcher.counts:
        dispatcher.counts.open_requests -= 1
    dispatcher.release_if_finished(request)


def restore(dispatcher: Dispatcher, fields: dict[str, Any], body: bytes, connection: ClientConnection) -> None:
    """Continue the request that `copy` described. Raises KeyError, TypeError or ValueError if it cannot be read."""
    now = dispatcher.clock.now()
    exchange = connection.exchange = Exchange(connection)
    order = _order(fields, body, now)
    request_class = state.request_class_from_values(fields["cls"])
    request = OpenRequest(dispatcher.next_request_number(), order, exchange, request_class, now + fields["begun"])
    exchange.number = request.number
    request.work_hint = fields["hint"]
    request.slots = fields["slots"]
    request.admitted = True
    for number, attempt_fields in enumerate(fields["attempts"]):
        attempt = _attempt(request, number, attempt_fields, now)
        request.attempts.append(attempt)
        if not attempt.ended:
            request.open_attempts += 1
            dispatcher.backend.resume_attempt(attempt, attempt_fields["left"])
    dispatcher.register_request(request)
    dispatcher.perform_actions(
        state.import_request(dispatcher.decisions, request.number, request_class, fields["job"], now)
    )


def _order(fields: dict[str, Any], body: bytes, now: int) -> ForwardedRequest:
    method, target, request_id = (fields[name].encode("latin-1") for name in ("method", "target", "id"))
    headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in fields["headers"]]
    return ForwardedRequest(method, target, body, request_id, headers, now + fields["deadline"])


def _attempt(request: OpenRequest, number: int, fields: dict[str, Any], now: int) -> Attempt:
    attempt = Attempt(request.number, number, request.forwarded, fields["worker"], now + fields["sent"])
    for field, attribute in _ATTEMPT_FIELDS.items():
        setattr(attempt, attribute, fields[field])
    for field, attribute in _LATER_ATTEMPT_FIELDS.items():
        setattr(attempt, attribute, fields.get(field, False))
    attempt.written = attempt.accepted = True
    attempt.started_at = now + fields["start"] if fields["start"] else 0
    return attempt
