"""One dispatcher in virtual time: the decision module on a machine that costs nothing, with what it holds."""

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
from badgerroad.emulator.open_requests import Attempt, Make, Open
from badgerroad.emulator.platform_settings import settings_of
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.settings_decoder import settings_from

ACCEPT_TIME, PROBE_TIME = 300_000, SEC  # as backend/http.py has them
DRAIN_LEAST = 800_000
KEPT_IDLE = 64  # connections kept to one node


class Machine:
    """One dispatcher. A kill makes all that it held void; a start makes a new life."""

    def __init__(self, world: MachineWorld[Machine], number: int, make: Make) -> None:
        """`make` makes the decisions from settings and seed."""
        self.world, self.number, self.make = world, number, make
        self.kernel, self.zone = world.kernel, world.home[number]
        self.settings = settings_from(dumps(settings_of(world.scenario, number, self.zone)).encode())
        self.life, self.up, self.frozen, self.draining = 0, False, False, False
        self.list: tuple[Any, ...] = tuple(world.registry.entries.values())
        self.version = world.registry.version  # of the list held; it outlives a restart, as the platform keeps it
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
        """A new process starts, with the list that the platform kept."""
        self.life += 1
        self.up, self.draining, self.ready, self.frozen = True, False, False, False
        seed = self.world.seed * 1000 + self.number * 16 + self.life
        self.decisions = self.make(self.settings, seed)
        self.budget = assembly.retry_budget(self.world.scenario)
        self.schedule = WatchSchedule(self.settings.dispatcher_count, self.settings.dispatcher_index, Random(seed))
        self.requests: dict[int, Open] = {}
        self.by_id: dict[str, Open] = {}
        self.busy: dict[tuple[str, str], Attempt] = {}
        self.idle: dict[str, list[tuple[int, int]]] = {}  # node: (its life, last used)
        self._count, self._line, self._handling, self._watching = 0, deque[interface.Event](), False, False
        self._backlog.clear()
        self.feed(interface.EndpointList(interface.ListScope.CACHED, 0, self._infos(self.list)))

    def kill(self) -> None:
        """The process dies: open requests break, accepted jobs run on at their nodes."""
        self.up, self.frozen = False, False
        self.life += 1
        requests, self.requests = self.requests, {}
        for request in requests.values():
            if not request.answered:
                self.world.clients.ended(request.client_try, BROKEN)
            for attempt in request.attempts:
                if not attempt.over:
                    attempt.over = True  # its connection breaks; a job that a node has accepted runs on
        for name, kept in self.idle.items():
            for _ in kept:
                self.world.by_name[name].disconnect()

    def freeze(self, on: bool) -> None:
        """While stopped nothing is handled; then all of it, in the order in which it came."""
        self.frozen = on and self.up
        while not self.frozen and self._backlog:
            self._backlog.popleft()()

    def later(self, delay: int | None, call: Callable[..., None], *args: Any) -> None:
        """Play something in this life, once it is awake; a vanished message never."""
        if delay is not None:
            self.kernel.after(delay, self._play, self.life, partial(call, *args))

    def _play(self, life: int, call: Callable[[], None]) -> None:
        if life != self.life or not self.up:
            return
        if self.frozen:
            self._backlog.append(call)
        else:
            call()

    def feed(self, event: interface.Event) -> None:
        """Give the decisions an event and perform their actions; events raised meanwhile wait in line."""
        self._line.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._line:
                for action in self.decisions.handle(self.kernel.now + self.world.start, self._line.popleft()):
                    self._perform(action)
        finally:
            self._handling = False

    def _perform(self, action: interface.Action) -> None:
        perform = self._performers.get(type(action))
        if perform is not None:
            perform(action)

    def _set_timer(self, action: interface.SetTimer) -> None:
        self.later(action.delay, self.feed, interface.Timer(action.token))

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
            self.later(self.schedule.first_call_delay(True), self.call_discovery)

    def _health_check(self, action: interface.HealthCheck) -> None:
        self._probe(self.world.by_name[str(action.worker)])

    def _close_idle(self, action: interface.CloseIdle) -> None:
        for _ in self.idle.pop(str(action.worker), []):
            self.world.by_name[str(action.worker)].disconnect()

    def take(self, client_try: Try) -> None:
        """A client's request has arrived."""
        self._count += 1
        job, left = client_try.job, client_try.deadline - self.kernel.now
        self.world.referee.took(client_try.id, job.key, job.class_index, self.number, client_try.deadline)
        request = self.requests[self._count] = self.by_id[client_try.id] = Open(
            self._count, client_try, client_try.deadline
        )
        self.later(max(left - self.settings.tick, 0), self._answer, request, FAILED)
        self.feed(
            interface.Request(
                request.number,
                job.class_index,
                0,
                0,
                max(left // 1000 * 1000, 1000),
                job.hint,
                float(job.slots),
                job.memory,
                job.tries > 1 and self.settings.clients_mark_retries,
            )
        )

    def client_gone(self, client_try: Try) -> None:
        """The client has closed the connection of a request."""
        request = self.by_id.get(client_try.id)
        if request and not request.answered:
            request.answered = True
            self.feed(interface.ClientDisconnected(request.number))
            self._settle(request)

    def _answer(self, request: Open | None, kind: str, wait: int = 0) -> None:
        if request is None or request.answered:
            return
        request.answered = True
        self.world.answered(request.client_try, kind, wait)
        self._settle(request)

    def _settle(self, request: Open) -> None:
        if request.answered and not request.out:
            self.requests.pop(request.number, None)
            self.by_id.pop(request.client_try.id, None)

    @property
    def owed(self) -> bool:
        """Whether an answer is still pending."""
        return any(not r.answered for r in self.requests.values())

    # Attempts.

    def _send(self, a: interface.Send) -> None:
        request, now = self.requests[a.request], self.kernel.now
        node = self.world.by_name[str(a.worker)]
        attempt = Attempt(len(request.attempts), node, now)
        request.attempts.append(attempt)
        request.out += 1
        key = request.client_try.id, node.name
        left = request.deadline - now
        left = min(left, a.timeout) if a.timeout else left
        if (
            request.answered
            or attempt.number >= self.settings.max_attempts
            or key in self.busy
            or left <= 0
            or self._beyond_budget(request, attempt)
        ):
            self._attempt_ended(request, attempt, interface.AttemptResult.NOT_NEEDED)
            return
        self.busy[key] = attempt
        attempt.timer = self.kernel.after(
            left, self._play, self.life, partial(self._give_up, request, attempt, interface.AttemptResult.TIMEOUT)
        )
        idle = self.idle.get(node.name)
        attempt.fresh = True
        while idle and attempt.fresh:
            life, used = idle.pop()
            attempt.fresh = (
                life != node.since or not node.up or now - used > self.settings.connection_idle_timeout * 3 // 4
            )
        attempt.life = node.since
        delay = self.world.network.delay(self.zone, node.zone)
        back = self.world.network.delay(node.zone, self.zone)
        if attempt.fresh:
            trips = self.world.scenario.network.handshake_trips
            if delay is None or back is None or node.silent:
                self.later(self.settings.connect_timeout or SEC, self._connect_failed, request, attempt)
                return
            self.world.referee.handshakes += 1
            self.world.note("connect", dispatcher=self.number, node=node.name)
            delay = delay + int((delay + back) * trips / 2)
        job = request.client_try.job
        if (
            job is not None
            and self.settings.classes[job.class_index].semantics != interface.RetrySemantics.NON_IDEMPOTENT
        ):
            attempt.accept = self.kernel.after(
                (delay or 0) + ACCEPT_TIME, self._play, self.life, partial(self._unheard, request, attempt)
            )
        if delay is not None:
            self.kernel.after(delay, self.world.attempt_arrives, self, request, attempt)

    def _beyond_budget(self, request: Open, attempt: Attempt) -> bool:
        if self.budget is None:
            return False
        cls = self.settings.classes[request.client_try.job.class_index].name
        if attempt.number:
            return not self.budget.allow_retry(cls, self.kernel.now, request.out > 1)
        self.budget.count_first(cls, self.kernel.now)
        return False

    def _connect_failed(self, request: Open, attempt: Attempt) -> None:
        self.attempt_ended(request, attempt, interface.AttemptResult.CONNECT_FAILED)

    def _unheard(self, request: Open, attempt: Attempt) -> None:
        if not attempt.over and not attempt.accepted and not attempt.heard:
            self._give_up(request, attempt, interface.AttemptResult.TIMEOUT)

    def accepted(self, attempt: Attempt) -> None:
        """A node's 202 has arrived."""
        attempt.accepted = True

    def called_back(self, request: Open, attempt: Attempt, state: str, share: float) -> None:
        """A node's job event has arrived."""
        if attempt.over:
            return
        attempt.heard = True
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

    def attempt_ended(self, request: Open, attempt: Attempt, result: str) -> None:
        """A node, or the network, has ended an attempt."""
        if attempt.over:
            return
        if result != interface.AttemptResult.CONNECT_FAILED:
            kept = self.idle.setdefault(attempt.node.name, [])
            if attempt.life == attempt.node.since and len(kept) < KEPT_IDLE:
                kept.append((attempt.life, self.kernel.now))
        if result == interface.AttemptResult.OK:
            self._answer(request, SERVED)
        self._attempt_ended(request, attempt, result)

    def _give_up(self, request: Open, attempt: Attempt, result: str) -> None:
        """Stop waiting, and tell the node so."""
        if attempt.over:
            return
        delay = self.world.network.delay(self.zone, attempt.node.zone)
        if delay is not None:
            self.kernel.after(delay, self.world.attempt_cancelled, self, request.client_try.id, attempt)
        self.world.referee.attempt_over(attempt.seen, False)
        self._attempt_ended(request, attempt, result)

    def _attempt_ended(self, request: Open, attempt: Attempt, result: str) -> None:
        """The one place where an attempt is given back."""
        attempt.over = True
        for timer in (attempt.timer, attempt.accept):
            if timer is not None:
                timer.cancel()
        if self.busy.get((request.client_try.id, attempt.node.name)) is attempt:
            del self.busy[request.client_try.id, attempt.node.name]
        request.out -= 1
        self.world.note(
            "attempt", id=request.client_try.id, dispatcher=self.number, node=attempt.node.name, result=result
        )
        self.feed(
            interface.AttemptEnded(
                request.number,
                attempt.number,
                attempt.node.name,
                result,
                self.kernel.now - attempt.sent,
                request.answered,
                None,
            )
        )
        self._settle(request)

    def _infos(self, entries: tuple[Any, ...]) -> tuple[interface.Endpoint, ...]:
        return tuple(interface.Endpoint(e.node, e.state, e.since, e.kind, e.zone, e.rack, e.weight) for e in entries)

    def call_discovery(self) -> None:
        """Ask discovery for what has changed since the list that is cached."""
        DiscoveryCall(self).start()

    def take_list(self, answer: Answer) -> None:
        """Discovery's answer: the decisions have the list from now on."""
        scope = interface.ListScope.COMPLETE if answer.whole else interface.ListScope.INCREMENTAL
        entries = {} if answer.whole else {entry.node: entry for entry in self.list}
        entries.update((entry.node, entry) for entry in answer.entries)
        self.list = tuple(entry for entry in entries.values() if entry.state != "gone")
        self.version = answer.version
        self.world.note("listed", dispatcher=self.number, version=answer.version)
        self._be_ready()
        self.feed(interface.EndpointList(scope, answer.version, self._infos(answer.entries)))

    def discovery_failed(self) -> None:
        """Discovery counts as unavailable: the decisions are notified."""
        self.world.note("discovery failed", dispatcher=self.number)
        self._be_ready()
        self.feed(interface.EndpointList(interface.ListScope.FAILED))

    def _be_ready(self) -> None:
        if not self.ready:
            self.ready = True
            if not self.draining:
                self.world.dispatcher_ready(self.number)

    def _probe(self, node: RenderNode) -> None:
        sent, there = self.kernel.now, self.world.network.delay(self.zone, node.zone)
        back = self.world.network.delay(node.zone, self.zone)
        self.world.referee.probes += 1
        self.world.note("probe", dispatcher=self.number, node=node.name)
        if there is None or back is None or not node.up or node.silent:
            result = interface.AttemptResult.CONNECT_FAILED if not node.up else interface.AttemptResult.TIMEOUT
            self.later(
                2000 if not node.up else PROBE_TIME,
                lambda: self.feed(interface.HealthCheckResult(node.name, result, self.kernel.now - sent)),
            )
            return

        def arrives() -> None:
            """The health check is at the node."""
            load = node.probe()
            values = None if load is None else (load["qps"], load["inflight"], load["x0"], load["x1"])
            self.later(
                back,
                lambda: self.feed(
                    interface.HealthCheckResult(
                        node.name,
                        interface.AttemptResult.CONNECT_FAILED if values is None else interface.AttemptResult.OK,
                        self.kernel.now - sent,
                        values,
                    )
                ),
            )

        self.kernel.after(there, arrives)
