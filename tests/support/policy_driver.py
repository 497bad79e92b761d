"""Small fleets and a driver for the module tests."""

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy

MS = 1000
SEC = 1_000_000


def settings(cls=None, **over):
    base = dict(
        classes=(
            cls or interface.RequestClass("job", interface.RetrySemantics.NON_IDEMPOTENT, 400 * MS, 6 * SEC, 2.0),
        ),
        max_attempts=4,
        tick=5 * MS,
        poll_interval=10 * SEC,
        drain_grace=500 * MS,
        slow_start_share=0.2,
        slow_start_duration=10 * SEC,
        overload_threshold=3.0,
        overload_window=SEC,
        reports_start=True,
    )
    base.update(over)
    return interface.Settings(**base)


class Driver:
    """Feeds one dispatcher and keeps what it says."""

    def __init__(self, workers=2, seed=1, infos=None, **over):
        self.policy = DispatchPolicy(settings(**over), seed)
        self.now = 100 * SEC
        self.actions = []
        if infos is None:
            infos = tuple(interface.Endpoint(f"w{n}") for n in range(workers))
        self.handle(interface.EndpointList(interface.ListScope.CACHED, 1, infos))

    def handle(self, *given):
        out = []
        for event in given:
            out += self.policy.handle(self.now, event)
        self.actions += out
        return out

    def advance(self, us):
        """Time passes; the timer that is out is delivered when due."""
        end, out = self.now + us, []
        while self.policy.context.timers.fires_at and self.policy.context.timers.fires_at <= end:
            self.now = self.policy.context.timers.fires_at
            out += self.handle(interface.Timer(self.policy.context.timers.fires_at))
        self.now = end
        return out

    def request(self, rid, hint=10 * MS, left=6 * SEC, **more):
        return self.handle(interface.Request(rid, time_left=left, work_hint=hint, **more))

    def start(self, rid, attempt, worker):
        return self.handle(interface.AttemptStarted(rid, attempt, worker))

    def end(self, rid, attempt, worker, result=interface.AttemptResult.OK, finished=None):
        done = result == interface.AttemptResult.OK if finished is None else finished
        return self.handle(interface.AttemptEnded(rid, attempt, worker, result, 0, done))


def sends(actions):
    return [(a.request, a.worker) for a in actions if isinstance(a, interface.Send)]


def finals(actions):
    return [a for a in actions if isinstance(a, interface.Reject | interface.Fail)]
