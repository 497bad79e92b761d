"""Performs the dispatch policy's actions on requests and attempts, and reports to it how attempts ended."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from badgerroad import request_log
from badgerroad.backend.attempts import Attempt
from badgerroad.backend.http import ACCEPT_TIMEOUT_US, Backend
from badgerroad.backend.reports import LoadReport
from badgerroad.dispatcher.active_settings import ActiveSettings
from badgerroad.dispatcher.decision_host import DecisionHost
from badgerroad.dispatcher.extensions import Extensions
from badgerroad.dispatcher.open_requests import OpenRequests
from badgerroad.load_balancing import interface
from badgerroad.net import http1, logs
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.memory_budget import MemoryBudget
from badgerroad.net.timer_wheel import TimerWheel
from badgerroad.requests import OpenRequest

if TYPE_CHECKING:
    from badgerroad.admin.counters import Counters

log = logs.get("badgerroad")

MICROSECONDS_PER_SECOND = 1e6
DEADLINE_TOLERANCE_TICKS = 10  # a failure within this many ticks of the deadline is answered as a timeout


class Attempts:
    """Owns the backend. Each attempt belongs to an open request; its end is reported to the policy exactly once."""

    def __init__(
        self,
        wheel: TimerWheel,
        descriptors: DescriptorBudget,
        memory: MemoryBudget,
        settings: ActiveSettings,
        host: DecisionHost,
        requests: OpenRequests,
        extensions: Extensions,
        zone_of: Callable[[str], str],
        release_descriptors: Callable[[], None],
        counts: Counters | None,
    ) -> None:
        """Set up the backend. `zone_of` returns the name of a worker's zone, for the log; `release_descriptors` closes
        idle client connections."""
        self._clock = wheel.clock
        self._settings = settings
        self._host = host
        self._requests = requests
        self._extensions = extensions
        self._zone_of = zone_of
        self.backend = Backend(
            wheel,
            descriptors,
            memory,
            settings.current,
            self._ended,
            host.handle_event,
            self._may_begin,
            release_descriptors,
            counts.attempt_sent if counts else None,
        )

    def send(self, action: interface.Send) -> None:
        """Start an attempt, or report it as not needed if it may no longer be sent."""
        request = self._requests.by_number[action.request]
        attempt = Attempt(
            action.request, len(request.attempts), request.forwarded, str(action.worker), self._clock.now()
        )
        request.attempts.append(attempt)
        request.open_attempts += 1
        if not self._may_send(request, attempt):
            attempt.ended = True
            self._ended(attempt, interface.AttemptResult.NOT_NEEDED, None, b"")
            return
        for extension in self._extensions.active:
            extension.attempt_sent(request, attempt)
        # A request that may not be retried gains nothing from giving up early on a worker that does not accept it.
        idempotent = request.request_class.semantics != interface.RetrySemantics.NON_IDEMPOTENT
        self.backend.start_attempt(attempt, action.timeout, ACCEPT_TIMEOUT_US if idempotent else 0)

    def reject(self, action: interface.Reject) -> None:
        """Answer a request with 503, and with Retry-After if the settings allow that."""
        request = self._requests.by_number.get(action.request)
        if request:
            self._requests.answer(request, 503, b"refused\n", self._retry_after_headers(action.retry_after))

    def fail(self, action: interface.Fail) -> None:
        """Answer a request with 504 at its deadline or shortly before it, and with 502 earlier than that."""
        request = self._requests.by_number.get(action.request)
        if request:
            tolerance_us = DEADLINE_TOLERANCE_TICKS * self._settings.current.tick
            late = self._clock.now() >= request.forwarded.deadline - tolerance_us
            self._requests.answer(request, 504 if late else 502, b"failed\n")

    def cancel(self, action: interface.Cancel) -> None:
        """Cancel an attempt at its worker."""
        request = self._requests.by_number.get(action.request)
        if request and action.attempt < len(request.attempts):
            self.backend.cancel_attempt(request.attempts[action.attempt])

    def _retry_after_headers(self, retry_after_us: int) -> http1.Headers:
        settings = self._settings.current
        if not settings.retry_after_allowed:
            return []
        wait_us = min(retry_after_us, settings.max_retry_after)
        return [(b"Retry-After", b"%.3f" % (wait_us / MICROSECONDS_PER_SECOND))] if wait_us > 0 else []

    def _may_send(self, request: OpenRequest, attempt: Attempt) -> bool:
        earlier_attempts = sum(not each.not_sent for each in request.attempts) - 1
        return (
            not request.exchange.answered
            and earlier_attempts < self._settings.current.max_attempts
            and all(extension.may_send(request, attempt) for extension in self._extensions.active)
        )

    def _may_begin(self, attempt: Attempt) -> bool:
        """Return whether an attempt may still be sent; called just before its first byte is written. The client may
        have disconnected unnoticed, or the policy may no longer allow the attempt."""
        exchange = self._requests.by_number[attempt.request].exchange
        if not exchange.answered and exchange.client_has_closed():
            exchange.close()
        if exchange.answered:
            log.info("attempt_withheld", **attempt.log_fields, reason="request is answered or its client has closed")
            return False
        if not self._host.decisions.may_begin(self._clock.now(), attempt.request, attempt.number):
            log.info("attempt_withheld", **attempt.log_fields, reason="worker or request no longer allows it")
            return False
        return True

    def _ended(self, attempt: Attempt, result: str, load: LoadReport, body: bytes) -> None:
        request = self._requests.by_number[attempt.request]
        request.open_attempts -= 1
        for extension in self._extensions.active:
            extension.attempt_ended(request, attempt, result)
        if result == interface.AttemptResult.OK:
            self._requests.answer(request, 200, body)
        elif result == interface.AttemptResult.INVALID_REQUEST and not request.open_attempts:
            # Any other worker would reject the request too. While another attempt is in flight, its result is awaited.
            self._requests.answer(request, attempt.status, b"the host that was asked cannot use it\n")
        now_us = self._clock.now()
        request_log.log_attempt_ended(request, attempt, self._zone_of(attempt.worker), result, now_us)
        self._host.handle_event(
            interface.AttemptEnded(
                attempt.request,
                attempt.number,
                attempt.worker,
                result,
                now_us - attempt.sent_at,
                request.exchange.answered,
                load,
            )
        )
        self._requests.release_if_finished(request)
