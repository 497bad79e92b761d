"""A virtual dispatcher: a decision module with its requests, connections and list of nodes, without CPU cost."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from json import dumps
from random import Random
from typing import Any

from badgerroad.discovery.watch_schedule import WatchSchedule
from badgerroad.emulator import assembly
from badgerroad.emulator.discovery_call import DiscoveryCall
from badgerroad.emulator.machine_world import MachineWorld
from badgerroad.emulator.model import nodes
from badgerroad.emulator.model.clients import BROKEN, Try
from badgerroad.emulator.model.kernel import SEC
from badgerroad.emulator.model.nodes import RenderNode
from badgerroad.emulator.model.registry import Answer
from badgerroad.emulator.model.rule_checker import FAILED, REFUSED, SERVED
from badgerroad.emulator.open_requests import Attempt, DecisionModuleFactory, OpenRequest
from badgerroad.emulator.platform_settings import settings_of
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.settings_decoder import settings_from

# Timeouts of the response to an attempt and of a health check, as in backend/http.py.
ACCEPT_TIMEOUT_US, HEALTH_CHECK_TIMEOUT_US = 300_000, SEC
MIN_DRAIN_TIME_US = 800_000  # shortest time from SIGTERM to the end of the process
MAX_IDLE_PER_NODE = 64  # idle connections kept per node


class Machine:
    """A virtual dispatcher; a kill discards its state, a start begins a new incarnation."""

    def __init__(self, world: MachineWorld[Machine], number: int, make_policy: DecisionModuleFactory) -> None:
        """`make_policy` creates the decision module from settings and seed."""
        self.world, self.number, self.make_policy = world, number, make_policy
        self.kernel, self.zone = world.kernel, world.dispatcher_zones[number]
        self.settings = settings_from(dumps(settings_of(world.scenario, number, self.zone)).encode())
        self.incarnation, self.up, self.frozen, self.draining = 0, False, False, False
        self.endpoint_list: tuple[Any, ...] = tuple(world.registry.entries.values())
        # Version of `endpoint_list`. Both survive a restart of the process, as the platform stores the list.
        self.version = world.registry.version
        self._backlog: deque[Callable[[], None]] = deque()
        self._performers: dict[type, Callable[[Any], None]] = {
            interface.SetTimer: self._set_timer,
            interface.Send: self._send,
            interface.Reject: self._reject,
            interface.Fail: self._fail,
            interface.Cancel: self._cancel,
            interface.Subscribe: self._subscribe,
            interface.HealthCheck: self._health_check,
            interface.CloseIdle: self._close_idle,
        }

    def start(self) -> None:
        """Start a new dispatcher process; its first endpoint list is the one that the platform stored."""
        self.incarnation += 1
        self.up, self.draining, self.ready, self.frozen = True, False, False, False
        seed = self.world.seed * 1000 + self.number * 16 + self.incarnation
        self.decisions = self.make_policy(self.settings, seed)
        self.budget = assembly.retry_budget(self.world.scenario)
        self.schedule = WatchSchedule(self.settings.dispatcher_count, self.settings.dispatcher_index, Random(seed))
        self.requests: dict[int, OpenRequest] = {}
        self.by_id: dict[str, OpenRequest] = {}
        self.in_flight: dict[tuple[str, str], Attempt] = {}
        self.idle: dict[str, list[tuple[int, int]]] = {}  # connections by node: (node's start time, last use)
        self._request_count, self._event_queue, self._handling_events, self._watching = (
            0,
            deque[interface.Event](),
            False,
            False,
        )
        self._backlog.clear()
        self.feed(interface.EndpointList(interface.ListScope.CACHED, 0, self._infos(self.endpoint_list)))

    def kill(self) -> None:
        """Kill the process: open requests break; jobs that nodes have accepted continue to run."""
        self.up, self.frozen = False, False
        self.incarnation += 1
        requests, self.requests = self.requests, {}
        for request in requests.values():
            if not request.answered:
                self.world.clients.try_ended(request.client_try, BROKEN)
            for attempt in request.attempts:
                if not attempt.ended:
                    attempt.ended = True  # the connection breaks; a job that a node has accepted continues to run
        for name, idle in self.idle.items():
            for _ in idle:
                self.world.by_name[name].disconnect()

    def freeze(self, on: bool) -> None:
        """Freeze the process, or resume it and handle what arrived since then, in order of arrival."""
        self.frozen = on and self.up
        while not self.frozen and self._backlog:
            self._backlog.popleft()()

    def call_later(self, delay: int | None, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call in this incarnation; `delay` None means that the message is lost.

        While the process is frozen, the call is kept, and runs when the process resumes.
        """
        if delay is not None:
            self.kernel.after(delay, self._run_in_incarnation, self.incarnation, partial(call, *args))

    def _run_in_incarnation(self, incarnation: int, call: Callable[[], None]) -> None:
        if incarnation != self.incarnation or not self.up:
            return
        if self.frozen:
            self._backlog.append(call)
        else:
            call()

    def feed(self, event: interface.Event) -> None:
        """Pass an event to the decision module and perform its actions.

        Events raised by these actions are queued and handled afterwards.
        """
        self._event_queue.append(event)
        if self._handling_events:
            return
        self._handling_events = True
        try:
            while self._event_queue:
                for action in self.decisions.handle(self.kernel.now + self.world.start, self._event_queue.popleft()):
                    self._perform(action)
        finally:
            self._handling_events = False

    def _perform(self, action: interface.Action) -> None:
        perform = self._performers.get(type(action))
        if perform is not None:
            perform(action)

    def _set_timer(self, action: interface.SetTimer) -> None:
        self.call_later(action.delay, self.feed, interface.Timer(action.token))

    def _reject(self, action: interface.Reject) -> None:
        wait = min(action.retry_after, self.settings.max_retry_after) if self.settings.retry_after_allowed else 0
        self._answer(self.requests.get(action.request), REFUSED, wait)

    def _fail(self, action: interface.Fail) -> None:
        self._answer(self.requests.get(action.request), FAILED)

    def _cancel(self, action: interface.Cancel) -> None:
        request = self.requests.get(action.request)
        if request and action.attempt < len(request.attempts):
            self._give_up(request, request.attempts[action.attempt], interface.AttemptResult.CANCELLED)

    def _subscribe(self, action: interface.Subscribe) -> None:
        if action.on and not self._watching:
            self._watching = True
            self.call_later(self.schedule.first_call_delay(True), self.call_discovery)

    def _health_check(self, action: interface.HealthCheck) -> None:
        self._probe(self.world.by_name[str(action.worker)])

    def _close_idle(self, action: interface.CloseIdle) -> None:
        for _ in self.idle.pop(str(action.worker), []):
            self.world.by_name[str(action.worker)].disconnect()

    def receive(self, client_try: Try) -> None:
        """Receive a request of a client."""
        self._request_count += 1
        job, time_left = client_try.job, client_try.deadline - self.kernel.now
        self.world.rule_checker.request_received(
            client_try.id, job.key, job.class_index, self.number, client_try.deadline
        )
        request = self.requests[self._request_count] = self.by_id[client_try.id] = OpenRequest(
            self._request_count, client_try, client_try.deadline
        )
        self.call_later(max(time_left - self.settings.tick, 0), self._answer, request, FAILED)
        self.feed(
            interface.Request(
                request.number,
                job.class_index,
                0,
                0,
                max(time_left // 1000 * 1000, 1000),
                job.hint,
                float(job.slots),
                job.memory,
                job.tries > 1 and self.settings.clients_mark_retries,
            )
        )

    def on_client_disconnected(self, client_try: Try) -> None:
        """Handle that a client has closed the connection of its request."""
        request = self.by_id.get(client_try.id)
        if request and not request.answered:
            request.answered = True
            self.feed(interface.ClientDisconnected(request.number))
            self._remove_if_done(request)

    def _answer(self, request: OpenRequest | None, outcome: str, wait: int = 0) -> None:
        if request is None or request.answered:
            return
        request.answered = True
        self.world.send_answer(request.client_try, outcome, wait)
        self._remove_if_done(request)

    def _remove_if_done(self, request: OpenRequest) -> None:
        if request.answered and not request.open_attempts:
            self.requests.pop(request.number, None)
            self.by_id.pop(request.client_try.id, None)

    @property
    def has_unanswered(self) -> bool:
        """Whether any request has not been answered yet."""
        return any(not r.answered for r in self.requests.values())

    # Attempts.

    def _send(self, action: interface.Send) -> None:
        request, now = self.requests[action.request], self.kernel.now
        node = self.world.by_name[str(action.worker)]
        attempt = Attempt(len(request.attempts), node, now)
        request.attempts.append(attempt)
        request.open_attempts += 1
        key = request.client_try.id, node.name
        time_left = request.deadline - now
        time_left = min(time_left, action.timeout) if action.timeout else time_left
        if (
            request.answered
            or attempt.number >= self.settings.max_attempts
            or key in self.in_flight
            or time_left <= 0
            or self._beyond_budget(request, attempt)
        ):
            self._attempt_ended(request, attempt, interface.AttemptResult.NOT_NEEDED)
            return
        self.in_flight[key] = attempt
        attempt.timer = self.kernel.after(
            time_left,
            self._run_in_incarnation,
            self.incarnation,
            partial(self._give_up, request, attempt, interface.AttemptResult.TIMEOUT),
        )
        idle = self.idle.get(node.name)
        attempt.new_connection = True
        while idle and attempt.new_connection:
            node_started_at, used = idle.pop()
            attempt.new_connection = (
                node_started_at != node.started_at
                or not node.up
                or now - used > self.settings.connection_idle_timeout * 3 // 4
            )
        attempt.node_started_at = node.started_at
        delay = self.world.network.delay(self.zone, node.zone)
        return_delay = self.world.network.delay(node.zone, self.zone)
        if attempt.new_connection:
            round_trips = self.world.scenario.network.handshake_trips
            if delay is None or return_delay is None or node.silent:
                self.call_later(self.settings.connect_timeout or SEC, self._connect_failed, request, attempt)
                return
            self.world.rule_checker.handshakes += 1
            self.world.trace_event("connect", dispatcher=self.number, node=node.name)
            delay = delay + int((delay + return_delay) * round_trips / 2)
        job = request.client_try.job
        if (
            job is not None
            and self.settings.classes[job.class_index].semantics != interface.RetrySemantics.NON_IDEMPOTENT
        ):
            attempt.accept_timer = self.kernel.after(
                (delay or 0) + ACCEPT_TIMEOUT_US,
                self._run_in_incarnation,
                self.incarnation,
                partial(self._on_accept_timeout, request, attempt),
            )
        if delay is not None:
            self.kernel.after(delay, self.world.attempt_arrives, self, request, attempt)

    def _beyond_budget(self, request: OpenRequest, attempt: Attempt) -> bool:
        if self.budget is None:
            return False
        class_name = self.settings.classes[request.client_try.job.class_index].name
        if attempt.number:
            return not self.budget.allow_retry(class_name, self.kernel.now, request.open_attempts > 1)
        self.budget.count_first(class_name, self.kernel.now)
        return False

    def _connect_failed(self, request: OpenRequest, attempt: Attempt) -> None:
        self.attempt_ended(request, attempt, interface.AttemptResult.CONNECT_FAILED)

    def _on_accept_timeout(self, request: OpenRequest, attempt: Attempt) -> None:
        if not attempt.ended and not attempt.accepted and not attempt.event_received:
            self._give_up(request, attempt, interface.AttemptResult.TIMEOUT)

    def on_accepted(self, attempt: Attempt) -> None:
        """Handle the 202 response of a node."""
        attempt.accepted = True

    def on_job_event(self, request: OpenRequest, attempt: Attempt, state: str, share: float) -> None:
        """Handle a job event of a node."""
        if attempt.ended:
            return
        attempt.event_received = True
        if state == nodes.STARTED:
            if not attempt.started:
                attempt.started = True
                self.feed(interface.AttemptStarted(request.number, attempt.number, attempt.node.name))
        elif state == nodes.RUNNING:
            self.feed(interface.AttemptProgressed(request.number, attempt.number, attempt.node.name, share))
        else:
            result = {
                nodes.DONE: interface.AttemptResult.OK,
                nodes.FAILED: interface.AttemptResult.ERROR,
                nodes.RETURNED: interface.AttemptResult.QUEUE_FULL,
                nodes.LOST: interface.AttemptResult.RESET,
            }[state]
            self.attempt_ended(request, attempt, result)

    def attempt_ended(self, request: OpenRequest, attempt: Attempt, result: str) -> None:
        """End an attempt with the result given by its node or the network."""
        if attempt.ended:
            return
        if result != interface.AttemptResult.CONNECT_FAILED:
            idle = self.idle.setdefault(attempt.node.name, [])
            if attempt.node_started_at == attempt.node.started_at and len(idle) < MAX_IDLE_PER_NODE:
                idle.append((attempt.node_started_at, self.kernel.now))
        if result == interface.AttemptResult.OK:
            self._answer(request, SERVED)
        self._attempt_ended(request, attempt, result)

    def _give_up(self, request: OpenRequest, attempt: Attempt, result: str) -> None:
        """Give an attempt up and send a cancel to its node."""
        if attempt.ended:
            return
        delay = self.world.network.delay(self.zone, attempt.node.zone)
        if delay is not None:
            self.kernel.after(delay, self.world.attempt_cancelled, self, request.client_try.id, attempt)
        self.world.rule_checker.attempt_ended(attempt.checked_attempt, False)
        self._attempt_ended(request, attempt, result)

    def _attempt_ended(self, request: OpenRequest, attempt: Attempt, result: str) -> None:
        """Release an attempt and notify the decision module; every end of an attempt passes here."""
        attempt.ended = True
        for timer in (attempt.timer, attempt.accept_timer):
            if timer is not None:
                timer.cancel()
        if self.in_flight.get((request.client_try.id, attempt.node.name)) is attempt:
            del self.in_flight[request.client_try.id, attempt.node.name]
        request.open_attempts -= 1
        self.world.trace_event(
            "attempt", id=request.client_try.id, dispatcher=self.number, node=attempt.node.name, result=result
        )
        self.feed(
            interface.AttemptEnded(
                request.number,
                attempt.number,
                attempt.node.name,
                result,
                self.kernel.now - attempt.sent_at,
                request.answered,
                None,
            )
        )
        self._remove_if_done(request)

    def _infos(self, entries: tuple[Any, ...]) -> tuple[interface.Endpoint, ...]:
        return tuple(
            interface.Endpoint(
                entry.node, entry.state, entry.started_at, entry.machine_type, entry.zone, entry.cell, entry.weight
            )
            for entry in entries
        )

    def call_discovery(self) -> None:
        """Request the changes since the current list from discovery."""
        DiscoveryCall(self).start()

    def apply_list(self, answer: Answer) -> None:
        """Apply an answer of discovery and pass it to the decision module."""
        scope = interface.ListScope.COMPLETE if answer.complete else interface.ListScope.INCREMENTAL
        entries = {} if answer.complete else {entry.node: entry for entry in self.endpoint_list}
        entries.update((entry.node, entry) for entry in answer.entries)
        self.endpoint_list = tuple(entry for entry in entries.values() if entry.state != "gone")
        self.version = answer.version
        self.world.trace_event("listed", dispatcher=self.number, version=answer.version)
        self._report_ready()
        self.feed(interface.EndpointList(scope, answer.version, self._infos(answer.entries)))

    def discovery_failed(self) -> None:
        """Notify the decision module that discovery is unavailable."""
        self.world.trace_event("discovery failed", dispatcher=self.number)
        self._report_ready()
        self.feed(interface.EndpointList(interface.ListScope.FAILED))

    def _report_ready(self) -> None:
        if not self.ready:
            self.ready = True
            if not self.draining:
                self.world.dispatcher_ready(self.number)

    def _probe(self, node: RenderNode) -> None:
        sent_at, send_delay = self.kernel.now, self.world.network.delay(self.zone, node.zone)
        return_delay = self.world.network.delay(node.zone, self.zone)
        self.world.rule_checker.probes += 1
        self.world.trace_event("probe", dispatcher=self.number, node=node.name)
        if send_delay is None or return_delay is None or not node.up or node.silent:
            result = interface.AttemptResult.CONNECT_FAILED if not node.up else interface.AttemptResult.TIMEOUT
            self.call_later(
                2000 if not node.up else HEALTH_CHECK_TIMEOUT_US,
                lambda: self.feed(interface.HealthCheckResult(node.name, result, self.kernel.now - sent_at)),
            )
            return

        def on_arrival() -> None:
            """Handle the arrival of the health check at the node."""
            load = node.probe()
            values = None if load is None else (load["qps"], load["inflight"], load["x0"], load["x1"])
            self.call_later(
                return_delay,
                lambda: self.feed(
                    interface.HealthCheckResult(
                        node.name,
                        interface.AttemptResult.CONNECT_FAILED if values is None else interface.AttemptResult.OK,
                        self.kernel.now - sent_at,
                        values,
                    )
                ),
            )

        self.kernel.after(send_delay, on_arrival)
