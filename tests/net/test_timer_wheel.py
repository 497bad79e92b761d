"""The timer wheel on a simulated clock and event loop."""

import pytest

from badgerroad.net.timer_wheel import TICK_US, TimerWheel


class ManualLoop:
    """Both a clock in microseconds and an event loop, which advance only in `run_to`."""

    def __init__(self):
        self.time = 10_500
        self.calls = []

    def now(self):
        return self.time

    def call_later(self, delay, callback):
        self.calls = [(self.time + round(delay * 1e6), callback)]
        return self.calls[0]

    def remove_timeout(self, _timeout):
        self.calls = []

    def run_to(self, end):
        while self.calls and self.calls[0][0] <= end:
            self.time, callback = self.calls.pop()
            callback()
        self.time = end


@pytest.fixture
def loop():
    return ManualLoop()


@pytest.fixture
def timers(loop):
    return TimerWheel(loop, loop)


def test_timers_fire_in_order_and_never_early_even_beyond_one_revolution(loop, timers):
    fired = []
    for delay in (3_000_000, 1, 2_600, 2_500):
        due = loop.now() + delay
        timers.after(delay, lambda due=due: fired.append((due, loop.now())))
    timers.after(5_500, lambda: timers.after(100, lambda: fired.append((16_100, loop.now()))))
    timers.after(5_000, lambda: fired.append("cancelled")).cancel()
    loop.run_to(4_000_000)
    assert [due for due, _ in fired] == [10_501, 13_000, 13_100, 16_100, 3_010_500]
    assert all(due <= fired_at < due + 2 * TICK_US for due, fired_at in fired)


def test_timer_that_raises_does_not_stop_the_others(loop, timers):
    fired = []
    timers.after(100, lambda: 1 / 0)
    timers.after(200, lambda: fired.append(1))
    timers.after(90_000, lambda: fired.append(2))
    loop.run_to(200_000)
    assert fired == [1, 2]
