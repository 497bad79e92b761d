"""Every event and what is done about it: requests are sent, queued, retried, rejected or failed."""

from collections.abc import Callable
from typing import Any

from .. import interface
from ..decision_context import DecisionContext
from ..endpoint_subscription import EndpointSubscription
from ..hint_statistics import ClientPatience, HintStatistics
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
NO_CONTACT = frozenset((interface.AttemptResult.CONNECT_FAILED, interface.AttemptResult.TIMEOUT))
"""Results after which the worker may not answer its other attempts either."""


class DispatchPolicy:
    """Takes one event at a time with the clock; each call of `handle` returns the actions.

    The collaborators below own the state; this class says which of them an event goes to, and in which order.
    """

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        """`seed` determines every random choice. Raises ValueError on settings that cannot be."""
        self.context = context = DecisionContext(settings, seed)
        self.subscription = EndpointSubscription(context)
        self.client_patience = ClientPatience()
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
            interface.HealthCheckResult: self.estimates.learn_load_report,
            interface.SettingsChanged: self._settings_changed,
        }
        self._settings_changed(interface.SettingsChanged(settings))

    @property
    def settings(self) -> interface.Settings:
        """The settings in force."""
        return self.context.settings

    @property
    def workers(self) -> dict[interface.WorkerId, Worker]:
        """All listed workers, and those that are gone while they might be listed again as warming up."""
        return self.subsets.roster.workers

    def handle(self, now: int, event: interface.Event) -> list[interface.Action]:
        """Take in an event at `now` (microseconds) and return what is to be done, in order."""
        self.context.advance(now)
        if not self.context.timers.order:
            self.subscription.subscribe_if_due()
        handler = self._handlers.get(type(event))
        if handler:
            handler(event)
        return self.context.take_actions()

    def may_begin(self, now: int, request_number: int, attempt_number: int) -> bool:
        """May an attempt still go, by what is known at `now` (microseconds)? Asked before its first byte."""
        self.context.now = now
        request = self.requests[request_number]
        attempt = request.attempts[attempt_number]
        worker = attempt.worker
        if request.finished or attempt.result or not worker.is_ready() or self.workers.get(worker.id) is not worker:
            return False
        return request.first_possibly_run is attempt or may_repeat(request, worker, now)

    def withdraw(self, request: PendingRequest) -> None:
        """Forget a request that another process goes on with; its attempts have ended here."""
        self.answers.finish(request)

    def resume(self, now: int, request: PendingRequest) -> list[interface.Action]:
        """Go on with a request of another process as if it had come here; return what is to be done."""
        self.context.now = now
        self.requests.add(request)
        self.answers.arm(request)
        for attempt in request.running_attempts():
            self.monitor.watch(request, attempt)
        if not request.attempts_in_flight:
            self.placement.place_or_queue(request)
        return self.context.take_actions()

    # Settings, timers and the endpoint list.

    def _settings_changed(self, event: interface.SettingsChanged) -> None:
        """New settings hold from now on, for open requests too but for their class. What is learned stays."""
        event.settings.check()
        old, new = self.context.settings, event.settings
        self.context.settings = new
        self.client_patience.keep(request_class.name for request_class in {*old.classes} & {*new.classes})
        self.hedging.configure(new)
        known = tuple(worker.info for worker in self.workers.values())
        self._endpoints_listed(interface.EndpointList(interface.ListScope.CACHED, 0, known))

    def _timer_fired(self, event: interface.Timer) -> None:
        self.context.fire_timer(event.token)

    def _endpoints_listed(self, event: interface.EndpointList) -> None:
        self.subscription.list_received(event.scope)
        if event.scope != interface.ListScope.FAILED:
            self.subsets.update(event)
            self.placement.release()

    # A request.

    def _request_received(self, event: interface.Request) -> None:
        request = self._accept(event)
        self.requests.add(request)
        self.answers.arm(request)
        if self.quota.is_over(self.settings, event, self.context.now) and self.queue:
            self.answers.give_up(request)  # beyond its tenant's quota, it yields while others wait
        elif self.settings.health_checks_allowed and not self.subsets.uses_whole_fleet:
            self.placement.check_and_place(request)
        else:
            self.placement.place_or_queue(request)

    def _accept(self, event: interface.Request) -> PendingRequest:
        """The record of a new request, with its deadline and its objective."""
        settings = self.settings
        now = self.context.now
        request_class = settings.classes[event.class_index]
        work = event.work_hint or self.estimates.class_runs.expected(request_class.name)
        is_long = self.hints.is_long(event.work_hint)
        request = PendingRequest(event, request_class, is_long, now + event.time_left, work)
        waited = self.client_patience.waited(event, request_class, settings.clients_mark_retries)
        objective = request_class.latency_objective + int(request_class.objective_per_work * work)
        request.objective_deadline = min(now + objective - waited, request.deadline)
        return request

    def _client_disconnected(self, event: interface.ClientDisconnected) -> None:
        request = self.requests.get(event.request)
        if request:
            if self.settings.cancel_allowed:
                cancel_attempts(self.context, request, request.attempts)
            self.answers.finish(request)

    def _stream_started(self, event: interface.StreamStarted) -> None:
        """The client receives its answer: no other is due."""
        request = self.requests.get(event.request)
        if request:
            self.answers.finish(request)

    # Its attempts.

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
        self.placement.release(attempt.worker)

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
        if event.result in NO_CONTACT:
            self.monitor.leave(worker)
        self._continue(request, event.finished)
        self.placement.release(worker)

    def _continue(self, request: PendingRequest, finished: bool) -> None:
        """One of its attempts has ended: the request is finished, retried or given up."""
        if finished or request.finished:
            self.answers.finish(request)
        elif request.attempts_in_flight:
            return
        elif self.selection.may_send(request, None) and self.context.now < self.answers.latest_answer(request):
            self.placement.place_or_queue(request)
        else:
            self.answers.give_up(request)
