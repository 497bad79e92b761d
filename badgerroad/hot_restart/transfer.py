"""An open job on its way to another process of the same dispatcher: order, attempts, what the decisions keep of it.

A job can move once each of its attempts is over or accepted: from then on the host speaks of it by call-backs, which
reach whoever listens. What still waits for a 202 moves when that is there. Times go as differences from now, since the
clocks of two processes need not agree.
"""

from __future__ import annotations

from typing import Any

from badgerroad.backend.attempts import Attempt, ForwardedRequest
from badgerroad.dispatcher import Dispatcher
from badgerroad.frontend.client import ClientConnection, Exchange
from badgerroad.load_balancing import state
from badgerroad.requests import OpenRequest

# The field of a message, and the attribute of the attempt that it carries.
_FIELDS = {
    "heard": "event_received",
    "started": "started",
    "over": "ended",
    "opened": "opened_connection",
    "status": "status",
}
_LATER_FIELDS = {"unsent": "not_sent"}  # older versions do not send it


def movable(request: OpenRequest) -> bool:
    return (
        request.admitted
        and not request.exchange.answered
        and all(attempt.ended or attempt.accepted and attempt.connection is None for attempt in request.attempts)
    )


def copied(d: Dispatcher, request: OpenRequest) -> tuple[dict[str, Any], bytes]:
    """All that another process needs; nothing changes here."""
    now, order = d.clock.now(), request.forwarded
    attempts = [
        {
            "worker": attempt.worker,
            "sent": attempt.sent_at - now,
            "start": attempt.started_at - now if attempt.started_at else 0,
            "left": attempt.timeout_timer.due_at - now if attempt.timeout_timer else 0,
            **{field: getattr(attempt, name) for field, name in {**_FIELDS, **_LATER_FIELDS}.items()},
        }
        for attempt in request.attempts
    ]
    head = {
        "id": order.id.decode("latin-1"),
        "method": order.method.decode("latin-1"),
        "target": order.target.decode("latin-1"),
        "deadline": order.deadline - now,
        "begun": request.received_at - now,
        "headers": [[n.decode("latin-1"), v.decode("latin-1")] for n, v in order.headers],
        "cls": list(request.request_class),
        "hint": request.work_hint,
        "slots": request.slots,
        "attempts": attempts,
        "job": state.job_out(d.decisions, request.number, now),
    }
    return head, order.body


def gone(d: Dispatcher, request: OpenRequest) -> None:
    """It is another process's now: forget it without a word to client or hosts."""
    for attempt in request.attempts:
        d.backend.release_attempt(attempt)
    state.job_gone(d.decisions, request.number)
    request.exchange.answered = True
    request.open_attempts = 0
    if d.counts:
        d.counts.current -= 1
    d.release_if_finished(request)


def taken_in(d: Dispatcher, head: dict[str, Any], body: bytes, connection: ClientConnection) -> None:
    """Go on with it here, from where the other process was."""
    now = d.clock.now()
    exchange = connection.exchange = Exchange(connection)
    method, target, name = (head[field].encode("latin-1") for field in ("method", "target", "id"))
    headers = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in head["headers"]]
    order = ForwardedRequest(method, target, body, name, headers, now + head["deadline"])
    cls = state.class_of(head["cls"])
    request = OpenRequest(d.next_request_number(), order, exchange, cls, now + head["begun"])
    exchange.number = request.number
    request.work_hint, request.slots, request.admitted = head["hint"], head["slots"], True
    for n, told in enumerate(head["attempts"]):
        attempt = Attempt(request.number, n, order, told["worker"], now + told["sent"])
        for field, name in _FIELDS.items():
            setattr(attempt, name, told[field])
        for field, name in _LATER_FIELDS.items():
            setattr(attempt, name, told.get(field, False))
        attempt.written = attempt.accepted = True
        attempt.started_at = now + told["start"] if told["start"] else 0
        request.attempts.append(attempt)
        if not attempt.ended:
            request.open_attempts += 1
            d.backend.resume_attempt(attempt, told["left"])
    d.register_request(request)
    d.perform_actions(state.job_in(d.decisions, request.number, cls, head["job"], now))
