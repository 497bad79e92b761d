"""Random histories of a policy, determined by their seed: settings, workers, clock, results, timers and transfers.

Used by benchmarks/policy_traces.py to compare the actions of two versions of the policy.
"""

import json
import random

from policy_vocabulary import describe, pending_requests, present_name

MS, SEC = 1_000, 1_000_000


def draw_settings(rng, events):
    """Draw settings with or without each permission, for one to 200 dispatchers."""
    scopes = (events.DeduplicationScope.ALL, events.DeduplicationScope.ZONE, events.DeduplicationScope.CELL)
    with_non_idempotent = rng.random() < 0.4
    semantics = (
        (events.RetrySemantics.IDEMPOTENT, events.RetrySemantics.IDEMPOTENCY_KEY, events.RetrySemantics.NON_IDEMPOTENT)
        if with_non_idempotent
        else (events.RetrySemantics.IDEMPOTENT, events.RetrySemantics.IDEMPOTENCY_KEY)
    )
    classes = tuple(
        events.RequestClass(
            f"class{n}",
            rng.choice(semantics),
            rng.choice((100, 400, 900)) * MS,
            rng.choice((2, 6)) * SEC,
            rng.choice((0.0, 1.0, 2.0)),
            rng.choice(scopes),
            rng.choice((0, 300 * MS, 5 * SEC)),
            machine_type=rng.choice((-1, -1, -1, 0, 1)),
        )
        for n in range(rng.randint(1, 4))
    )
    tenants = tuple(events.Tenant(f"t{n}", rng.choice((0.0, 2.0, 60.0, 400.0))) for n in range(rng.randint(0, 3)))
    dispatchers = rng.choice((1, 1, 2, 3, 12, 40, 200))
    settings = events.Settings(
        classes=classes,
        tenants=tenants,
        dispatcher_count=dispatchers,
        dispatcher_index=rng.randrange(dispatchers),
        zone=rng.randrange(2),
        tick=rng.choice((1, 5)) * MS,
        max_attempts=rng.randint(1, 5),
        hedging_allowed=rng.random() < 0.5,
        cancel_allowed=rng.random() < 0.7,
        health_checks_allowed=rng.random() < 0.5,
        must_subscribe=rng.random() < 0.8,
        poll_interval=rng.choice((2, 10)) * SEC,
        slow_start_share=rng.choice((0.1, 0.2, 1.0)),
        slow_start_duration=rng.choice((0, 3 * SEC, 10 * SEC)),
        overload_threshold=rng.choice((1.0, 3.0)),
        overload_window=rng.choice((200 * MS, SEC)),
        reports_start=rng.random() < 0.8,
        over_quota_priority=rng.choice((1.0, 0.1)),
        cross_zone_cost=rng.choice((0.0, 0.3)),
        load_report_fields=rng.choice(((), ("x0",), ("other", "x0"))),
        clients_mark_retries=rng.random() < 0.5,
        retry_after_allowed=rng.random() < 0.7,
        max_retry_after=rng.choice((100 * MS, 2 * SEC, 60 * SEC)),
        progress_interval=rng.choice((0, 100 * MS, SEC)),
        connect_timeout=rng.choice((0, 200 * MS)),
    )
    if rng.random() < 0.7:
        return settings
    # The other histories have all permissions and many dispatchers, to combine health checks, hedging and remote zones.
    return settings._replace(
        classes=tuple(
            request_class._replace(semantics=events.RetrySemantics.IDEMPOTENT, machine_type=-1)
            for request_class in classes
        ),
        dispatcher_count=200,
        dispatcher_index=rng.randrange(200),
        max_attempts=4,
        hedging_allowed=True,
        cancel_allowed=True,
        health_checks_allowed=True,
        reports_start=True,
        cross_zone_cost=0.3,
    )


class History:
    """The settings, workers and environment of one seed; `play` delivers events to a policy and records its actions."""

    def __init__(self, seed, package, with_tenants=True):
        self.rng = random.Random(seed)
        self.package, self.events = package, package.events
        self.with_tenants = with_tenants
        self.settings = self.draw_settings()
        self.policy = package.make(self.settings, seed)
        self.now = 1_000 * SEC + self.rng.randrange(SEC)
        self.timers = []
        self.attempts_in_flight = {}  # by (request, attempt): worker, and whether the attempt has started
        self.attempt_counts = {}  # by request: number of attempts sent
        self.endpoints = {}
        self.next_request = self.next_worker = self.version = 0
        self.lines, self.actions = [], 0
        self.hint_scale = self.rng.choice((1, 10, 40))
        self.request_share = self.rng.choice((0.1, 0.25, 0.45, 0.65))
        self.slow_zone = self.rng.choice((-1, -1, 0, 1))  # zone whose workers rarely start an attempt; -1: no zone
        self.warming_up_share = self.rng.choice((0.1, 0.6, 1.0))

    def play(self, count):
        events = self.events
        for _ in range(self.rng.choice((0, 1, 3, 8, 30, 80))):
            self.new_worker()
        self.deliver(
            events.EndpointList(
                self.rng.choice((events.ListScope.CACHED, events.ListScope.COMPLETE)), 1, tuple(self.endpoints.values())
            )
        )
        for _ in range(count):
            self.step()
        for _ in range(200):  # 20 s pass, so that the pending timers fire
            self.pass_time(100 * MS)
        self.note(self.state())

    def draw_settings(self):
        settings = draw_settings(self.rng, self.events)
        return settings if self.with_tenants else settings._replace(tenants=())

    def note(self, text):
        self.lines.append(text)

    def state(self):
        return json.dumps(self.package.state.export_learned_state(self.policy), sort_keys=True)

    def deliver(self, event):
        self.record_actions(event, self.policy.handle(self.now, event))

    def record_actions(self, event, actions):
        self.actions += len(actions)
        self.note(f"{self.now} {present_name(event)} {describe(event[:3])} -> {self.actions_text(actions)}")
        for action in actions:
            name = type(action).__name__
            if name == "SetTimer":
                self.timers.append((self.now + action.delay, action.token))
            elif name == "Send":
                number = self.attempt_counts.get(action.request, 0)
                self.attempt_counts[action.request] = number + 1
                self.attempts_in_flight[action.request, number] = [action.worker, 0]

    @staticmethod
    def actions_text(actions):
        return "; ".join(f"{present_name(action)}{describe(action)}" for action in actions)

    def pass_time(self, microseconds):
        """Advance the clock, and fire the timers that are due, sometimes slightly late."""
        end = self.now + microseconds
        while self.timers:
            when, token = min(self.timers)
            if when > end:
                break
            self.timers.remove((when, token))
            self.now = max(self.now, when + (self.rng.randrange(3 * MS) if self.rng.random() < 0.2 else 0))
            self.deliver(self.events.Timer(token))
        self.now = max(self.now, end)

    def step(self):
        self.pass_time(self.rng.choice((0, 0, 1, 200, 2 * MS, 5 * MS, 20 * MS)))
        draw = self.rng.random()
        if draw < self.request_share:
            self.send_request()
        elif draw < 0.93:
            for _ in range(self.rng.randint(1, 3)):
                self.advance_attempt()
        elif draw < 0.96:
            self.change_endpoint_list()
        elif draw < 0.985:
            self.other_event()
        else:
            self.rare_event()

    def send_request(self):
        rng = self.rng
        request, self.next_request = self.next_request, self.next_request + 1
        work_hint = rng.choice((0, rng.randrange(1, 20) * MS, rng.randrange(1, 200) * MS)) * self.hint_scale
        self.deliver(
            self.events.Request(
                request,
                rng.randrange(len(self.settings.classes)),
                rng.randrange(4),
                rng.randrange(3),
                rng.choice((6 * SEC, 2 * SEC, 300 * MS, 20 * MS, 3_600 * SEC)),
                work_hint,
                rng.choice((1.0, 1.0, 1.0, 0.5, 2.0, 100.0)),
                client_retry=rng.random() < 0.2,
            )
        )

    def advance_attempt(self):
        """Deliver a start, a progress report or an end of a random attempt."""
        events, rng = self.events, self.rng
        if not self.attempts_in_flight:
            return
        key = rng.choice(list(self.attempts_in_flight))
        worker, started = self.attempts_in_flight[key]
        draw = rng.random()
        zone = next((endpoint.zone for endpoint in self.endpoints.values() if endpoint.worker == worker), 0)
        if not started and zone == self.slow_zone and draw > 0.03:
            return
        if not started and draw < 0.6 and self.settings.reports_start:
            self.attempts_in_flight[key][1] = self.now
            if self.may_begin(key):
                self.deliver(events.AttemptStarted(*key, worker))
        elif draw < 0.7:
            self.deliver(events.AttemptProgressed(*key, worker, 0.5))
        elif draw < 0.9 or self.now - started > 400 * MS:
            self.end(key, events.AttemptResult.OK if rng.random() < 0.75 else self.failed_result())

    def may_begin(self, key):
        """Ask the policy, as the host does before the first byte; end the attempt as NOT_SENT if it refuses."""
        if key[0] in pending_requests(self.policy) and self.rng.random() < 0.5:
            allowed = self.policy.may_begin(self.now, *key)
            self.note(f"may begin {key}: {allowed}")
            if not allowed:
                self.end(key, self.events.AttemptResult.NOT_SENT)
            return allowed
        return True

    def failed_result(self):
        events = self.events
        return self.rng.choice(
            (
                events.AttemptResult.ERROR,
                events.AttemptResult.QUEUE_FULL,
                events.AttemptResult.TIMEOUT,
                events.AttemptResult.CONNECT_FAILED,
                events.AttemptResult.RESET,
                events.AttemptResult.CANCELLED,
                events.AttemptResult.NOT_NEEDED,
                events.AttemptResult.INVALID_REQUEST,
            )
        )

    def end(self, key, result):
        worker, _ = self.attempts_in_flight.pop(key)
        finished = (
            result == self.events.AttemptResult.OK
            or result == self.events.AttemptResult.INVALID_REQUEST
            and self.rng.random() < 0.5
        )
        self.deliver(self.events.AttemptEnded(*key, worker, result, 0, finished, self.load()))

    def load(self):
        if not self.settings.load_report_fields or self.rng.random() < 0.3:
            return None
        return tuple(float(self.rng.choice((0, 0, 1, 2, 5))) for _ in self.settings.load_report_fields)

    def new_worker(self):
        rng, number = self.rng, self.next_worker
        self.next_worker += 1
        started_at = self.now - rng.randrange(12 * SEC) if rng.random() < self.warming_up_share else 0
        self.endpoints[number] = self.events.Endpoint(
            f"w{number}",
            self.events.WorkerState.READY,
            started_at,
            rng.randrange(2),
            rng.randrange(2),
            number % 5,
            rng.choice((1.0, 0.3, 4.0)),
        )

    def change_endpoint_list(self):
        events, rng = self.events, self.rng
        self.version += 1
        changed = []
        for _ in range(rng.randint(1, 3)):
            if not self.endpoints or rng.random() < 0.15:
                self.new_worker()
                changed.append(self.endpoints[self.next_worker - 1])
                continue
            number = rng.choice(list(self.endpoints))
            change = {
                "state": rng.choice(
                    (
                        events.WorkerState.READY,
                        events.WorkerState.READY,
                        events.WorkerState.READY,
                        events.WorkerState.DRAINING,
                        events.WorkerState.GONE,
                    )
                )
            }
            if rng.random() < 0.3:
                change["started_at"] = self.now - rng.randrange(SEC)
            if rng.random() < 0.2:
                change["weight"] = rng.choice((0.5, 1.0, 2.0))
            if rng.random() < 0.1:
                change["zone"] = rng.randrange(2)
            if rng.random() < 0.05:
                change["cell"] = rng.randrange(7)
            if rng.random() < 0.05:
                change["machine_type"] = rng.randrange(3)
            self.endpoints[number] = self.endpoints[number]._replace(**change)
            changed.append(self.endpoints[number])
        if rng.random() < 0.75:
            self.deliver(events.EndpointList(events.ListScope.INCREMENTAL, self.version, tuple(changed)))
        elif rng.random() < 0.3:
            self.deliver(events.EndpointList(events.ListScope.FAILED))
        else:
            listed = [endpoint for endpoint in self.endpoints.values() if rng.random() < 0.95]
            rng.shuffle(listed)
            self.deliver(
                events.EndpointList(
                    rng.choice((events.ListScope.COMPLETE, events.ListScope.CACHED)), self.version, tuple(listed)
                )
            )

    def other_event(self):
        events, rng = self.events, self.rng
        draw = rng.random()
        if draw < 0.4 and self.next_request:
            self.deliver(events.ClientDisconnected(rng.randrange(self.next_request)))
        elif draw < 0.5 and self.attempts_in_flight:
            key = rng.choice(list(self.attempts_in_flight))
            self.deliver(events.StreamStarted(*key, self.attempts_in_flight[key][0]))
        elif draw < 0.9 and self.endpoints:
            worker = rng.choice(list(self.endpoints.values())).worker
            self.deliver(
                events.HealthCheckResult(
                    worker, rng.choice((events.AttemptResult.OK, events.AttemptResult.TIMEOUT)), 0, self.load()
                )
            )
        else:
            self.deliver(events.PeerMessage(1, b"x"))

    def rare_event(self):
        """Change the settings, pass a long time without events, or transfer requests or learned state."""
        draw = self.rng.random()
        if draw < 0.4:
            self.new_settings()
        elif draw < 0.7:
            self.pass_time(self.rng.choice((SEC, 5 * SEC, 12 * SEC)))
        elif draw < 0.85:
            self.transfer_requests()
        else:
            exported = self.state()
            self.note(exported)
            self.package.state.import_learned_state(self.policy, json.loads(exported))

    def new_settings(self):
        old, new = self.settings, self.draw_settings()
        names = {request_class.name for request_class in old.classes}
        classes = (*(request_class for request_class in new.classes if request_class.name not in names), *old.classes)
        unchanged = {"zone": old.zone, "load_report_fields": old.load_report_fields, "reports_start": old.reports_start}
        if self.rng.random() < 0.6:
            unchanged |= {"dispatcher_count": old.dispatcher_count, "dispatcher_index": old.dispatcher_index}
        # Classes keep their index, by which open requests refer to them.
        self.settings = new._replace(classes=(*old.classes, *classes[: -len(old.classes)])[:5], **unchanged)
        self.deliver(self.events.SettingsChanged(self.settings))

    def transfer_requests(self):
        """Export some open requests and import them again, as between two processes of a dispatcher."""
        state, policy = self.package.state, self.policy
        pending = pending_requests(policy)
        self.note(repr(state.attempt_cost(policy, next(iter(pending)))) if pending else "no requests")
        for request in [number for number in pending if self.rng.random() < 0.3]:
            finished, request_class = pending_requests(policy)[request]
            if finished:
                continue
            restored_class = state.request_class_from_values(json.loads(json.dumps(request_class)))
            exported = json.loads(json.dumps(state.export_request(policy, request, self.now)))
            self.note(json.dumps(exported, sort_keys=True))
            state.withdraw_request(policy, request)
            self.record_actions((request,), state.import_request(policy, request, restored_class, exported, self.now))
