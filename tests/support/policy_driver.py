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
        self.d = DispatchPolicy(settings(**over), seed)
        self.now, self.said = 100 * SEC, []
        if infos is None:
            infos = tuple(interface.Endpoint(f"w{n}") for n in range(workers))
        self.feed(interface.EndpointList(interface.ListScope.CACHED, 1, infos))

    def feed(self, *given):
        out = []
        for e in given:
            out += self.d.handle(self.now, e)
        self.said += out
        return out

    def later(self, us):
        """Time passes; the timer that is out is delivered when due."""
        end, out = self.now + us, []
        while self.d.timers.wake and self.d.timers.wake <= end:
            self.now = self.d.timers.wake
            out += self.feed(interface.Timer(self.d.timers.wake))
        self.now = end
        return out

    def ask(self, rid, hint=10 * MS, left=6 * SEC, **more):
        return self.feed(interface.Request(rid, time_left=left, work_hint=hint, **more))

    def start(self, rid, attempt, worker):
        return self.feed(interface.AttemptStarted(rid, attempt, worker))

    def end(self, rid, attempt, worker, result=interface.AttemptResult.OK, finished=None):
        done = result == interface.AttemptResult.OK if finished is None else finished
        return self.feed(interface.AttemptEnded(rid, attempt, worker, result, 0, done))


def sends(actions):
    return [(a.request, a.worker) for a in actions if isinstance(a, interface.Send)]


def finals(actions):
    return [a for a in actions if isinstance(a, interface.Reject | interface.Fail)]
