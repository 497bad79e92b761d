"""Transfers an open request to another process of the dispatcher.

The copy holds the request as forwarded, its attempts, the workers that may still run an ended attempt, the job events
that ended attempts may still cause, and the dispatch policy's state of it. A request can be moved once each of its
attempts has ended or has been accepted by its worker with a 202: from then on the worker reports on the attempt by job
events, which arrive at the process that listens. It cannot be moved while a cancel is open, which could otherwise reach
the worker after the other process's next attempt.

Times are sent as differences from the present time, since the clocks of two processes need not agree.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from badgerroad.backend.attempts import Attempt, ForwardedRequest
from badgerroad.dispatcher import Dispatcher
from badgerroad.frontend.client import ClientConnection
from badgerroad.frontend.exchange import Exchange
from badgerroad.load_balancing import state
from badgerroad.requests import OpenRequest

# Names of message fields, and the attributes of `Attempt` that they carry.
_ATTEMPT_FIELDS = {
    "heard": "event_received",
    "started": "started",
    "over": "ended",
    "opened": "opened_connection",
    "status": "status",
}
# These fields are missing in messages of older versions.
_OPTIONAL_ATTEMPT_FIELDS = {"unsent": "not_sent", "progressed": "progressed"}


class RequestCopy(NamedTuple):
    """The data with which another process can continue a request."""

    fields: dict[str, Any]  # `messages.ClientConnection.request`, to be encoded as JSON
    body: bytes


def can_move(request: OpenRequest) -> bool:
    """Whether the request depends on no connection of this process except its client's."""
    return (
        request.admitted
        and not request.exchange.answered
        and all(attempt.ended or attempt.accepted and attempt.connection is None for attempt in request.attempts)
        and not any(attempt.has_open_cancel for attempt in request.attempts)
    )


def copy(dispatcher: Dispatcher, request: OpenRequest) -> RequestCopy:
    """Return a copy of the request for another process, without a change to the request."""
    now = dispatcher.clock.now()
    forwarded = request.forwarded
    fields = {
        "id": forwarded.id.decode("latin-1"),
        "method": forwarded.method.decode("latin-1"),
        "target": forwarded.target.decode("latin-1"),
        "deadline": forwarded.deadline - now,
        "begun": request.received_at - now,
        "headers": [[name.decode("latin-1"), value.decode("latin-1")] for name, value in forwarded.headers],
        "cls": list(request.request_class),
        "hint": request.work_hint,
        "slots": request.slots,
        "attempts": [_attempt_fields(attempt, now) for attempt in request.attempts],
        "unconfirmed": sorted(forwarded.unconfirmed_workers),
        "events": forwarded.job_events.to_fields(),
        "job": state.export_request(dispatcher.decisions, request.number, now),
    }
    return RequestCopy(fields, forwarded.body)


def _attempt_fields(attempt: Attempt, now: int) -> dict[str, Any]:
    fields = {
        "worker": attempt.worker,
        "sent": attempt.sent_at - now,
        "start": attempt.started_at - now if attempt.started_at else 0,
        "left": attempt.timeout_timer.due_at - now if attempt.timeout_timer else 0,
    }
    for field, attribute in {**_ATTEMPT_FIELDS, **_OPTIONAL_ATTEMPT_FIELDS}.items():
        fields[field] = getattr(attempt, attribute)
    return fields


def forget(dispatcher: Dispatcher, request: OpenRequest) -> None:
    """Drop a request that another process has taken over, without a message to its client or its workers."""
    for attempt in request.attempts:
        dispatcher.backend.release_attempt(attempt)
    state.withdraw_request(dispatcher.decisions, request.number)
    request.exchange.abandon()
    request.open_attempts = 0
    if dispatcher.counts:
        dispatcher.counts.open_requests -= 1
    dispatcher.release_if_finished(request)


def restore(dispatcher: Dispatcher, fields: dict[str, Any], body: bytes, connection: ClientConnection) -> None:
    """Continue a request from its `RequestCopy`. Raises KeyError, TypeError or ValueError if a field is invalid."""
    now = dispatcher.clock.now()
    exchange = connection.exchange = Exchange(connection)
    forwarded = _restore_forwarded_request(fields, body, now)
    request_class = state.request_class_from_values(fields["cls"])
    request = OpenRequest(dispatcher.next_request_number(), forwarded, exchange, request_class, now + fields["begun"])
    exchange.number = request.number
    exchange.deadline = forwarded.deadline
    request.work_hint = fields["hint"]
    request.slots = fields["slots"]
    request.admitted = True
    for number, attempt_fields in enumerate(fields["attempts"]):
        attempt = _restore_attempt(request, number, attempt_fields, now)
        request.attempts.append(attempt)
        if not attempt.ended:
            request.open_attempts += 1
            dispatcher.backend.resume_attempt(attempt, attempt_fields["left"])
    forwarded.unconfirmed_workers.update(_unconfirmed_workers(fields, request))
    _restore_job_events(fields, request)
    dispatcher.register_request(request)
    dispatcher.perform_actions(
        state.import_request(dispatcher.decisions, request.number, request_class, fields["job"], now)
    )


def _unconfirmed_workers(fields: dict[str, Any], request: OpenRequest) -> list[str]:
    """Return the workers that may still run an ended attempt: all that were sent one, if an older version wrote the
    fields."""
    tried = [attempt.worker for attempt in request.attempts if attempt.ended and not attempt.not_sent]
    return list(fields.get("unconfirmed", tried))


def _restore_job_events(fields: dict[str, Any], request: OpenRequest) -> None:
    """Restore which job events ended attempts may still cause: any, if an older version wrote the fields."""
    if "events" in fields:
        request.forwarded.job_events.add_fields(fields["events"])
        return
    for attempt in request.attempts:
        if attempt.ended and not attempt.not_sent:
            attempt.record_end(sent_completely=True)


def _restore_forwarded_request(fields: dict[str, Any], body: bytes, now: int) -> ForwardedRequest:
    method, target, request_id = (fields[name].encode("latin-1") for name in ("method", "target", "id"))
    headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in fields["headers"]]
    return ForwardedRequest(method, target, body, request_id, headers, now + fields["deadline"])


def _restore_attempt(request: OpenRequest, number: int, fields: dict[str, Any], now: int) -> Attempt:
    attempt = Attempt(request.number, number, request.forwarded, fields["worker"], now + fields["sent"])
    for field, attribute in _ATTEMPT_FIELDS.items():
        setattr(attempt, attribute, fields[field])
    for field, attribute in _OPTIONAL_ATTEMPT_FIELDS.items():
        setattr(attempt, attribute, fields.get(field, False))
    attempt.written = attempt.accepted = True
    attempt.started_at = now + fields["start"] if fields["start"] else 0
    return attempt
