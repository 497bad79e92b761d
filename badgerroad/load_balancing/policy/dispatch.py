"""Handles every event of the policy: sends, queues, retries, rejects and fails requests."""

from collections.abc import Callable
from typing import Any

from .. import interface
from ..decision_context import DecisionContext
from ..endpoint_subscription import EndpointSubscription
from ..hint_statistics import ClientTimeouts, HintStatistics
from ..pending_requests import PendingRequest, PendingRequests
from ..quota import QuotaBuckets
from ..waiting_queue import WaitingQueue
from ..workers import Worker
from .answers import FinalAnswers
from .attempt_monitor import AttemptMonitor
from .cancellation import cancel_attempts
from .estimates import LoadEstimates, is_fault
from .hedging import Hedging
from .placement import RequestPlacement
from .retries import may_repeat
from .selection import WorkerSelection
from .slow_start import SlowStartBudget
from .subsets import WorkerSubsets
from .warm_up import WarmUp

OK = interface.AttemptResult.OK
UNREACHABLE_RESULTS = frozenset((interface.AttemptResult.CONNECT_FAILED, interface.AttemptResult.TIMEOUT))
"""Results that suggest that the worker is unreachable, so that its other attempts may fail too."""


class DispatchPolicy:
    """The dispatch policy: `handle` takes one event and the current time, and returns the resulting actions.

    The collaborators created in the constructor own the state. This class decides which of them handle an event, and
    in which order.
    """

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        """`seed` determines every random choice. Raises ValueError on invalid settings."""
        self.context = context = DecisionContext(settings, seed)
        self.subscription = EndpointSubscription(context)
        self.client_timeouts = ClientTimeouts()
        self.quota = QuotaBuckets()
        self.requests = PendingRequests()
        self.queue = WaitingQueue()
        self.hints = HintStatistics(settings.classes)
        self.warm_up = WarmUp(context)
        self.subsets = WorkerSubsets(context, self.warm_up)
        self.slow_start = SlowStartBudget(context, self.warm_up, self.subsets, self.hints)
        self.estimates = LoadEstimates(context, self.warm_up, self.subsets, self.hints)
        self.selection = WorkerSelection(
            context, self.warm_up, self.subsets, self.slow_start, self.estimates, self.hints
        )
        self.answers = FinalAnswers(context, self.requests, self.queue, self.subsets, self.estimates, self.hints)
        self.hedging = Hedging(context, self.subsets, self.estimates)
        self.placement = RequestPlacement(
            context,
            self.queue,
            self.subsets,
            self.slow_start,
            self.estimates,
            self.selection,
            self.answers,
            self.hedging,
        )
        self.monitor = AttemptMonitor(context, self.requests, self.estimates, self.selection)
        self._handlers: dict[type, Callable[[Any], None]] = {
            interface.Timer: self._timer_fired,
            interface.EndpointList: self._endpoints_listed,
            interface.Request: self._request_received,
            interface.AttemptStarted: self._attempt_started,
            interface.AttemptProgressed: self._attempt_progressed,
            interface.AttemptEnded: self._attempt_ended,
            interface.StreamStarted: self._stream_started,
            interface.ClientDisconnected: self._client_disconnected,
            interface.RequestOverdue: self._request_overdue,
            interface.HealthCheckResult: self.estimates.learn_load_report,
            interface.SettingsChanged: self._settings_changed,
        }
        self._settings_changed(interface.SettingsChanged(settings))

    @property
    def settings(self) -> interface.Settings:
        """The current settings."""
        return self.context.settings

    @property
    def workers(self) -> dict[interface.WorkerId, Worker]:
        """Workers by id: all listed ones, and removed ones that are still warming up, as they may be listed again."""
        return self.subsets.roster.workers

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]:
        """Process an event at time `now` (microseconds) and return the actions to be performed in list order."""
        self.context.advance(now)
        if not self.context.timers.order:
            self.subscription.subscribe_if_due()
        handler = self._handlers.get(type(event))
        if handler:
            handler(event)
        return self.context.take_actions()

    def may_begin(self, now: int, request_number: int, attempt_number: int) -> bool:
        """Return whether an attempt may still be sent at time `now` (microseconds).

        The host asks just before it writes the first byte, as the worker or the request may have changed since `Send`.
        """
        self.context.now = now
        request = self.requests[request_number]
        attempt = request.attempts[attempt_number]
        worker = attempt.worker
        if request.finished or attempt.result or not worker.is_ready() or self.workers.get(worker.id) is not worker:
            return False
        return request.first_possibly_run is attempt or may_repeat(request, worker, now)

    def withdraw(self, request: PendingRequest) -> None:
        """Remove a request that another process has taken over. It must have no attempt in flight in this process."""
        self.answers.finish(request)

    def resume(self, now: int, request: PendingRequest) -> list[interface.Action]:
        """Take over a request of another process as if it had been received here; return the actions to perform."""
        self.context.now = now
        self.requests.add(request)
        self.answers.schedule_answer(request)
        for attempt in request.running_attempts():
            self.monitor.watch(request, attempt)
        if not request.attempts_in_flight:
            self.placement.place_or_queue(request)
        return self.context.take_actions()

    # Events: settings, timers and the endpoint list

    def _settings_changed(self, event: interface.SettingsChanged) -> None:
        """Apply new settings to new and open requests. Open requests keep their class; learned statistics are kept."""
        event.settings.check()
        old, new = self.context.settings, event.settings
        self.context.settings = new
        self.client_timeouts.retain(request_class.name for request_class in {*old.classes} & {*new.classes})
        self.hedging.configure(new)
        known = tuple(worker.info for worker in self.workers.values())
        self._endpoints_listed(interface.EndpointList(interface.ListScope.CACHED, 0, known))

    def _timer_fired(self, event: interface.Timer) -> None:
        self.context.fire_timer(event.token)

    def _endpoints_listed(self, event: interface.EndpointList) -> None:
        self.subscription.list_received(event.scope)
        if event.scope != interface.ListScope.FAILED:
            self.subsets.update(event)
            self.placement.dispatch_queued()

    # Events: requests and their clients

    def _request_received(self, event: interface.Request) -> None:
        request = self._accept(event)
        self.requests.add(request)
        self.answers.schedule_answer(request)
        if self.quota.is_over(self.settings, event, self.context.now) and self.queue:
            self.answers.reject_or_fail(request)  # requests over quota are not queued behind other requests
        elif self.settings.health_checks_allowed and not self.subsets.uses_whole_fleet:
            self.placement.check_and_place(request)
        else:
            self.placement.place_or_queue(request)

    def _accept(self, event: interface.Request) -> PendingRequest:
        """Create the record of a new request, with its deadline and its latency objective."""
        settings = self.settings
        now = self.context.now
        request_class = settings.classes[event.class_index]
        work = event.work_hint or self.estimates.class_runs.expected(request_class.name)
        is_long = self.hints.is_long(event.work_hint)
        request = PendingRequest(event, request_class, is_long, now + event.time_left, work)
        time_waited = self.client_timeouts.time_waited(event, request_class, settings.clients_mark_retries)
        objective = request_class.latency_objective + int(request_class.objective_per_work * work)
        request.objective_deadline = min(now + objective - time_waited, request.deadline)
        return request

    def _client_disconnected(self, event: interface.ClientDisconnected) -> None:
        request = self.requests.get(event.request)
        if request:
            if self.settings.cancel_allowed:
                cancel_attempts(self.context, request, request.attempts)
            self.answers.finish(request)

    def _request_overdue(self, event: interface.RequestOverdue) -> None:
        request = self.requests.get(event.request)
        if request:
            self.answers.reject_or_fail(request)

    def _stream_started(self, event: interface.StreamStarted) -> None:
        """Finish the request: its client is receiving the answer, so no other answer is due."""
        request = self.requests.get(event.request)
        if request:
            self.answers.finish(request)

    # Events: attempts

    def _attempt_started(self, event: interface.AttemptStarted) -> None:
        found = self.requests.attempt_of(event)
        if not found:
            return
        request, attempt = found
        attempt.started_at = attempt.last_report_at = self.context.now
        self.estimates.confirm_work(request)
        self.monitor.watch(request, attempt)
        self.estimates.learn_start(request, attempt)
        self.hedging.cancel_all_but_first(request)
        self.placement.dispatch_queued(attempt.worker)

    def _attempt_progressed(self, event: interface.AttemptProgressed) -> None:
        found = self.requests.attempt_of(event)
        if found:
            found[1].last_report_at = self.context.now

    def _attempt_ended(self, event: interface.AttemptEnded) -> None:
        found = self.requests.attempt_of(event)
        if not found:
            return
        request, attempt = found
        worker = attempt.worker
        request.end_attempt(attempt, event.result)
        self.estimates.learn_load_report(event)
        if event.result == OK:
            self.estimates.learn_success(request, attempt)
        elif is_fault(event.result, request, worker):
            self.estimates.learn_fault(request, attempt)
        if event.result in UNREACHABLE_RESULTS:
            self.monitor.cancel_silent_attempts(worker)
        self._retry_or_finish(request, event.finished)
        self.placement.dispatch_queued(worker)

    def _retry_or_finish(self, request: PendingRequest, finished: bool) -> None:
        """Finish, retry or reject the request after one of its attempts has ended."""
        if finished or request.finished:
            self.answers.finish(request)
        elif request.attempts_in_flight:
            return
        elif self.selection.may_send(request, None) and self.context.now < self.answers.latest_answer_time(request):
            self.placement.place_or_queue(request)
        else:
            self.answers.reject_or_fail(request)
