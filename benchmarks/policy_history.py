"""A random history of a decision module, from its seed alone: settings, workers, clock, outcomes, timers and handovers.

Used by benchmarks/policy_traces.py to compare what two copies of the module say.
"""

import json
import random

from policy_vocabulary import describe, pending_requests, present_name

MS, SEC = 1_000, 1_000_000


def draw_settings(rng, events):
    """Settings with or without each permission; small and large fleets against few and many dispatchers."""
    groups = (events.DeduplicationScope.ALL, events.DeduplicationScope.ZONE, events.DeduplicationScope.CELL)
    with_unsafe = rng.random() < 0.4
    kinds = (
        (events.RetrySemantics.IDEMPOTENT, events.RetrySemantics.IDEMPOTENCY_KEY, events.RetrySemantics.NON_IDEMPOTENT)
        if with_unsafe
        else (events.RetrySemantics.IDEMPOTENT, events.RetrySemantics.IDEMPOTENCY_KEY)
    )
    classes = tuple(
        events.RequestClass(
            f"class{n}",
            rng.choice(kinds),
            rng.choice((100, 400, 900)) * MS,
            rng.choice((2, 6)) * SEC,
            rng.choice((0.0, 1.0, 2.0)),
            rng.choice(groups),
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
    # All permissions, and many dispatchers: probes, copies and other zones meet in one history.
    return settings._replace(
        classes=tuple(c._replace(semantics=events.RetrySemantics.IDEMPOTENT, machine_type=-1) for c in classes),
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
    """One seed's settings, workers and outside world; `play` feeds one decision module and notes what it says."""

    def __init__(self, seed, package, with_tenants=True):
        self.rng = random.Random(seed)
        self.package, self.events = package, package.events
        self.with_tenants = with_tenants
        self.settings = self.draw_settings()
        self.decisions = package.make(self.settings, seed)
        self.now = 1_000 * SEC + self.rng.randrange(SEC)
        self.timers = []
        self.open = {}  # (request, attempt): worker, started
        self.made = {}  # request: attempts sent
        self.infos = {}
        self.next_request = self.next_worker = self.version = 0
        self.lines, self.actions = [], 0
        self.hint_scale = self.rng.choice((1, 10, 40))
        self.busyness = self.rng.choice((0.1, 0.25, 0.45, 0.65))
        self.slow_zone = self.rng.choice((-1, -1, 0, 1))  # its workers seldom start anything
        self.cold_part = self.rng.choice((0.1, 0.6, 1.0))

    def play(self, count):
        e = self.events
        for _ in range(self.rng.choice((0, 1, 3, 8, 30, 80))):
            self.new_worker()
        self.give(
            e.EndpointList(self.rng.choice((e.ListScope.CACHED, e.ListScope.COMPLETE)), 1, tuple(self.infos.values()))
        )
        for _ in range(count):
            self.step()
        for _ in range(200):  # all that is out comes to its end
            self.pass_time(100 * MS)
        self.note(self.state())

    def draw_settings(self):
        settings = draw_settings(self.rng, self.events)
        return settings if self.with_tenants else settings._replace(tenants=())

    def note(self, text):
        self.lines.append(text)

    def state(self):
        return json.dumps(self.package.state.copy_out(self.decisions), sort_keys=True)

    def give(self, event):
        self.take(event, self.decisions.handle(self.now, event))

    def take(self, event, actions):
        self.actions += len(actions)
        self.note(f"{self.now} {present_name(event)} {describe(event[:3])} -> {self.actions_text(actions)}")
        for action in actions:
            name = type(action).__name__
            if name == "SetTimer":
                self.timers.append((self.now + action.delay, action.token))
            elif name == "Send":
                number = self.made.get(action.request, 0)
                self.made[action.request] = number + 1
                self.open[action.request, number] = [action.worker, 0]

    @staticmethod
    def actions_text(actions):
        return "; ".join(f"{present_name(action)}{describe(action)}" for action in actions)

    def pass_time(self, by):
        """Timers come due on the way, sometimes a little late."""
        end = self.now + by
        while self.timers:
            when, token = min(self.timers)
            if when > end:
                break
            self.timers.remove((when, token))
            self.now = max(self.now, when + (self.rng.randrange(3 * MS) if self.rng.random() < 0.2 else 0))
            self.give(self.events.Timer(token))
        self.now = max(self.now, end)

    def step(self):
        self.pass_time(self.rng.choice((0, 0, 1, 200, 2 * MS, 5 * MS, 20 * MS)))
        roll = self.rng.random()
        if roll < self.busyness:
            self.ask()
        elif roll < 0.93:
            for _ in range(self.rng.randint(1, 3)):
                self.work()
        elif roll < 0.96:
            self.change_list()
        elif roll < 0.985:
            self.outside()
        else:
            self.rare()

    def ask(self):
        rng = self.rng
        request, self.next_request = self.next_request, self.next_request + 1
        work = rng.choice((0, rng.randrange(1, 20) * MS, rng.randrange(1, 200) * MS)) * self.hint_scale
        self.give(
            self.events.Request(
                request,
                rng.randrange(len(self.settings.classes)),
                rng.randrange(4),
                rng.randrange(3),
                rng.choice((6 * SEC, 2 * SEC, 300 * MS, 20 * MS, 3_600 * SEC)),
                work,
                rng.choice((1.0, 1.0, 1.0, 0.5, 2.0, 100.0)),
                client_retry=rng.random() < 0.2,
            )
        )

    def work(self):
        """A worker tells of an attempt: its start, its progress or its end."""
        e, rng = self.events, self.rng
        if not self.open:
            return
        key = rng.choice(list(self.open))
        worker, started = self.open[key]
        roll = rng.random()
        zone = next((info.zone for info in self.infos.values() if info.worker == worker), 0)
        if not started and zone == self.slow_zone and roll > 0.03:
            return
        if not started and roll < 0.6 and self.settings.reports_start:
            self.open[key][1] = self.now
            if self.may_begin(key):
                self.give(e.AttemptStarted(*key, worker))
        elif roll < 0.7:
            self.give(e.AttemptProgressed(*key, worker, 0.5))
        elif roll < 0.9 or self.now - started > 400 * MS:
            self.end(key, e.AttemptResult.OK if rng.random() < 0.75 else self.bad_ending())

    def may_begin(self, key):
        """The host's last look before the first byte; what may not go any more ends unsent."""
        if key[0] in pending_requests(self.decisions) and self.rng.random() < 0.5:
            allowed = self.decisions.may_begin(self.now, *key)
            self.note(f"may begin {key}: {allowed}")
            if not allowed:
                self.end(key, self.events.AttemptResult.NOT_SENT)
            return allowed
        return True

    def bad_ending(self):
        e = self.events
        return self.rng.choice(
            (
                e.AttemptResult.ERROR,
                e.AttemptResult.QUEUE_FULL,
                e.AttemptResult.TIMEOUT,
                e.AttemptResult.CONNECT_FAILED,
                e.AttemptResult.RESET,
                e.AttemptResult.CANCELLED,
                e.AttemptResult.NOT_NEEDED,
                e.AttemptResult.INVALID_REQUEST,
            )
        )

    def end(self, key, result):
        worker, _ = self.open.pop(key)
        finished = (
            result == self.events.AttemptResult.OK
            or result == self.events.AttemptResult.INVALID_REQUEST
            and self.rng.random() < 0.5
        )
        self.give(self.events.AttemptEnded(*key, worker, result, 0, finished, self.load()))

    def load(self):
        if not self.settings.load_report_fields or self.rng.random() < 0.3:
            return None
        return tuple(float(self.rng.choice((0, 0, 1, 2, 5))) for _ in self.settings.load_report_fields)

    def new_worker(self):
        rng, number = self.rng, self.next_worker
        self.next_worker += 1
        since = self.now - rng.randrange(12 * SEC) if rng.random() < self.cold_part else 0
        self.infos[number] = self.events.Endpoint(
            f"w{number}",
            self.events.WorkerState.READY,
            since,
            rng.randrange(2),
            rng.randrange(2),
            number % 5,
            rng.choice((1.0, 0.3, 4.0)),
        )

    def change_list(self):
        e, rng = self.events, self.rng
        self.version += 1
        changed = []
        for _ in range(rng.randint(1, 3)):
            if not self.infos or rng.random() < 0.15:
                self.new_worker()
                changed.append(self.infos[self.next_worker - 1])
                continue
            number = rng.choice(list(self.infos))
            change = {
                "state": rng.choice(
                    (
                        e.WorkerState.READY,
                        e.WorkerState.READY,
                        e.WorkerState.READY,
                        e.WorkerState.DRAINING,
                        e.WorkerState.GONE,
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
            self.infos[number] = self.infos[number]._replace(**change)
            changed.append(self.infos[number])
        if rng.random() < 0.75:
            self.give(e.EndpointList(e.ListScope.INCREMENTAL, self.version, tuple(changed)))
        elif rng.random() < 0.3:
            self.give(e.EndpointList(e.ListScope.FAILED))
        else:
            listed = [info for info in self.infos.values() if rng.random() < 0.95]
            rng.shuffle(listed)
            self.give(
                e.EndpointList(rng.choice((e.ListScope.COMPLETE, e.ListScope.CACHED)), self.version, tuple(listed))
            )

    def outside(self):
        e, rng = self.events, self.rng
        roll = rng.random()
        if roll < 0.4 and self.next_request:
            self.give(e.ClientDisconnected(rng.randrange(self.next_request)))
        elif roll < 0.5 and self.open:
            key = rng.choice(list(self.open))
            self.give(e.StreamStarted(*key, self.open[key][0]))
        elif roll < 0.9 and self.infos:
            worker = rng.choice(list(self.infos.values())).worker
            self.give(
                e.HealthCheckResult(worker, rng.choice((e.AttemptResult.OK, e.AttemptResult.TIMEOUT)), 0, self.load())
            )
        else:
            self.give(e.PeerMessage(1, b"x"))

    def rare(self):
        """New settings, a long silence, or another instance that goes on with what this one learned."""
        roll = self.rng.random()
        if roll < 0.4:
            self.new_settings()
        elif roll < 0.7:
            self.pass_time(self.rng.choice((SEC, 5 * SEC, 12 * SEC)))
        elif roll < 0.85:
            self.move_jobs()
        else:
            learned = self.state()
            self.note(learned)
            self.package.state.copy_in(self.decisions, json.loads(learned))

    def new_settings(self):
        old, new = self.settings, self.draw_settings()
        names = {cls.name for cls in old.classes}
        classes = (*(cls for cls in new.classes if cls.name not in names), *old.classes)
        same = {"zone": old.zone, "load_report_fields": old.load_report_fields, "reports_start": old.reports_start}
        if self.rng.random() < 0.6:
            same |= {"dispatcher_count": old.dispatcher_count, "dispatcher_index": old.dispatcher_index}
        # A place among the classes is kept: open requests name theirs by it.
        self.settings = new._replace(classes=(*old.classes, *classes[: -len(old.classes)])[:5], **same)
        self.give(self.events.SettingsChanged(self.settings))

    def move_jobs(self):
        """Some open jobs leave and come back, as between two processes of one dispatcher."""
        state, decisions = self.package.state, self.decisions
        pending = pending_requests(decisions)
        self.note(repr(state.cost_of(decisions, next(iter(pending)))) if pending else "no jobs")
        for request in [number for number in pending if self.rng.random() < 0.3]:
            finished, request_class = pending_requests(decisions)[request]
            if finished:
                continue
            cls = state.class_of(json.loads(json.dumps(request_class)))
            told = json.loads(json.dumps(state.job_out(decisions, request, self.now)))
            self.note(json.dumps(told, sort_keys=True))
            state.job_gone(decisions, request)
            self.take((request,), state.job_in(decisions, request, cls, told, self.now))
