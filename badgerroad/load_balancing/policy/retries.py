"""Retry safety: what the semantics of a request class allow after an attempt that may have run."""

from .. import interface
from ..pending_requests import PendingRequest
from ..workers import Worker

IDEMPOTENT = interface.RetrySemantics.IDEMPOTENT
IDEMPOTENCY_KEY = interface.RetrySemantics.IDEMPOTENCY_KEY
NON_IDEMPOTENT = interface.RetrySemantics.NON_IDEMPOTENT
SCOPE_ALL = interface.DeduplicationScope.ALL
SCOPE_ZONE = interface.DeduplicationScope.ZONE


def may_repeat(request: PendingRequest, worker: Worker | None, now: int) -> bool:
    """Return whether the request may run again on the worker (None: on any worker) at time `now` (microseconds)."""
    first = request.first_possibly_run
    request_class = request.request_class
    if first is None or request_class.semantics == IDEMPOTENT:
        return True
    if request_class.semantics == NON_IDEMPOTENT or now >= first.sent_at + request_class.deduplication_window:
        return False
    scope = request_class.deduplication_scope
    if worker is None or scope == SCOPE_ALL:
        return True
    if scope == SCOPE_ZONE:
        return worker.info.zone == first.worker.info.zone
    return worker.info.cell == first.worker.info.cell


def may_reject(request: PendingRequest) -> bool:
    """Return whether the client can safely repeat the request after a rejection."""
    request_class = request.request_class
    if request.first_possibly_run is None or request_class.semantics == IDEMPOTENT:
        return True
    return request_class.semantics == IDEMPOTENCY_KEY and request_class.deduplication_scope == SCOPE_ALL
