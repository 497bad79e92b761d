"""Settings and a driver that feeds events to one load-balancing policy in virtual time."""

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy

MS = 1000
SEC = 1_000_000


def settings(cls=None, **overrides):
    """Return valid settings with one request class, `cls`; `overrides` replace single fields."""
    values = dict(
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
    values.update(overrides)
    return interface.Settings(**values)


class Driver:
    """Feeds events to one policy in virtual time, and records the actions it returns."""

    def __init__(self, workers=2, seed=1, endpoints=None, **overrides):
        self.policy = DispatchPolicy(settings(**overrides), seed)
        self.now = 100 * SEC
        self.actions = []
        if endpoints is None:
            endpoints = tuple(interface.Endpoint(f"w{number}") for number in range(workers))
        self.handle(interface.EndpointList(interface.ListScope.CACHED, 1, endpoints))

    def handle(self, *events):
        actions = []
        for event in events:
            actions += self.policy.handle(self.now, event)
        self.actions += actions
        return actions

    def advance(self, microseconds):
        """Let time pass, and deliver the timers that fall due; return the actions."""
        end = self.now + microseconds
        timers = self.policy.context.timers
        actions = []
        while timers.fires_at and timers.fires_at <= end:
            self.now = timers.fires_at
            actions += self.handle(interface.Timer(timers.fires_at))
        self.now = end
        return actions

    def request(self, number, hint=10 * MS, left=6 * SEC, **more):
        return self.handle(interface.Request(number, time_left=left, work_hint=hint, **more))

    def start(self, request, attempt, worker):
        return self.handle(interface.AttemptStarted(request, attempt, worker))

    def end(self, request, attempt, worker, result=interface.AttemptResult.OK, finished=None):
        if finished is None:
            finished = result == interface.AttemptResult.OK
        return self.handle(interface.AttemptEnded(request, attempt, worker, result, 0, finished))


def sends(actions):
    """Return (request, worker) of each action that sends an attempt."""
    return [(action.request, action.worker) for action in actions if isinstance(action, interface.Send)]


def finals(actions):
    """Return the actions that end a request without a result."""
    return [action for action in actions if isinstance(action, interface.Reject | interface.Fail)]
