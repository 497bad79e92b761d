"""The simulated render node: queue, slots, memory, faults, warm-up, process ends and load reports."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgerroad.emulator.model import nodes
from badgerroad.emulator.model.jobs import Job, Profile
from badgerroad.emulator.model.kernel import SEC, Draws, Kernel
from badgerroad.emulator.model.nodes import ACCEPTED, FULL, RenderNode

MS = 1000


class NodeHarness:
    """A node with its own kernel, which records its job events and collapses."""

    def __init__(self, **profile):
        self.kernel, self.events, self.collapses = Kernel(), [], []
        p = Profile(**{"cores": 2, "speed": 1.0, "slots": 2, **profile})
        self.node = RenderNode(
            self.kernel,
            "n",
            p,
            0,
            0,
            0,
            Draws(1, "n"),
            lambda n, j, s, x: self.events.append((self.kernel.now, j.id, s)),
            lambda n, sent: self.collapses.append(sent),
            lambda n, s: None,
        )

    def submit(self, request_id, work=100 * MS, slots=1, memory=0.0, dispatcher=0):
        return self.node.submit(Job(request_id, request_id, 0, dispatcher, work, slots, memory))

    def event_times_ms(self, request_id, state):
        return [t // MS for t, j, s in self.events if (j, s) == (request_id, state)]


def test_first_queued_job_that_does_not_fit_blocks_the_jobs_behind_it():
    harness = NodeHarness()
    assert [harness.submit("a"), harness.submit("big", slots=2), harness.submit("small")] == [ACCEPTED] * 3
    harness.kernel.run(SEC)
    assert (
        harness.event_times_ms("a", "started"),
        harness.event_times_ms("big", "started"),
        harness.event_times_ms("small", "started"),
    ) == ([0], [100], [200])


def test_job_waits_for_free_memory():
    harness = NodeHarness(memory=2.0)
    harness.submit("a", memory=1.5)
    harness.submit("b", memory=1.0)
    harness.kernel.run(SEC)
    assert harness.event_times_ms("b", "started") == [100]


def test_jobs_share_the_cores_if_there_are_more_slots_than_cores():
    harness = NodeHarness(cores=1, slots=2)
    harness.submit("a", 100 * MS)
    harness.kernel.run(50 * MS)
    harness.submit("b", 100 * MS)
    harness.kernel.run(SEC)
    assert (harness.event_times_ms("a", "done"), harness.event_times_ms("b", "done")) == ([150], [200])


@pytest.mark.parametrize(("fault", "done_ms"), [(dict(slowdown=4.0), 400), (dict(cpu_stolen=0.5), 200), ({}, 100)])
def test_faults_slow_down_running_jobs(fault, done_ms):
    harness = NodeHarness()
    harness.node.set_faults(**fault)
    harness.submit("a")
    harness.kernel.run(SEC)
    assert harness.event_times_ms("a", "done") == [done_ms]


def test_paused_node_makes_no_progress_and_sends_no_progress_events():
    harness = NodeHarness(progress_interval=50 * MS)
    harness.submit("a", 120 * MS)
    harness.kernel.run(10 * MS)
    harness.node.pause(500 * MS)
    harness.kernel.run(2 * SEC)
    assert harness.event_times_ms("a", "done") == [620]
    assert harness.event_times_ms("a", "running") == [550, 600]


def test_too_many_jobs_per_core_reduce_efficiency():
    harness = NodeHarness(crowding_threshold=2.0, crowding_loss=0.5)
    for n in range(8):
        harness.submit(f"j{n}")
    harness.kernel.run(SEC)
    assert harness.event_times_ms("j0", "done")[0] > 190  # 4 jobs per core are twice the threshold: half the speed


def test_node_starts_with_its_initial_capacity_and_warms_up():
    harness = NodeHarness(initial_capacity=0.25, warm_up_time=10 * SEC)
    harness.kernel.run(SEC)
    harness.node.kill()
    harness.node.start()
    started_at = harness.kernel.now
    assert harness.node.capacity_share == 0.25
    harness.submit("a", 100 * MS)
    harness.kernel.run(started_at + 20 * SEC)
    assert 350 < harness.event_times_ms("a", "done")[0] - started_at // MS < 400
    assert harness.node.capacity_share == 1.0


@pytest.mark.parametrize(("jobs", "collapses"), [(3, False), (40, True)])
def test_node_overloaded_during_warm_up_collapses_and_stays_down(jobs, collapses):
    harness = NodeHarness(initial_capacity=0.2, warm_up_time=10 * SEC, overload_multiple=3.0, overload_window=SEC)
    harness.kernel.run(SEC)
    harness.node.kill()
    harness.node.start()
    for n in range(jobs):
        harness.submit(f"j{n}", dispatcher=n % 2)
    assert bool(harness.collapses) == collapses
    assert harness.node.up != collapses
    harness.node.start()
    assert harness.node.up != collapses


def test_overload_limit_includes_an_allowance_for_random_variation():
    """The limit is 3 times the work of 2 cores at a fifth of their capacity in 1 s, which is 12 jobs of 100 ms.

    With the allowance it is 12 + 2 * sqrt(12) + 2 = 20.93 jobs.
    """
    harness = NodeHarness(
        initial_capacity=0.2,
        warm_up_time=10_000 * SEC,
        overload_multiple=3.0,
        overload_window=SEC,
        mean_work=100.0 * MS,
    )
    harness.kernel.run(SEC)
    harness.node.kill()
    harness.node.start()
    for n in range(20):
        harness.submit(f"j{n}")
    assert not harness.collapses
    assert 0.95 < harness.node.peak_overload_share < 1
    harness.submit("last")
    assert harness.collapses


def test_silent_node_continues_its_jobs_and_sends_recent_events_afterwards():
    harness = NodeHarness()
    harness.submit("a")
    harness.kernel.run(10 * MS)
    harness.node.silence(2 * SEC)
    assert harness.submit("b") == nodes.SILENT
    assert harness.node.probe() is None
    assert not harness.node.cancel("a")
    harness.kernel.run(3 * SEC)
    assert harness.event_times_ms("a", "done") == [2010]
    harness.submit("c")
    harness.node.silence(20 * SEC)
    harness.kernel.run(60 * SEC)
    assert not harness.event_times_ms("c", "done")


def test_killed_node_loses_its_jobs_and_draining_node_returns_queued_jobs():
    harness = NodeHarness(returns_on_drain=True)
    for n in "abc":
        harness.submit(n)
    harness.kernel.run(MS)
    harness.node.drain()
    assert harness.event_times_ms("c", "returned") == [1]
    assert harness.submit("d") == FULL
    harness.node.kill()
    assert harness.event_times_ms("a", "lost") == harness.event_times_ms("b", "lost") == [1]
    assert harness.submit("e") == nodes.REFUSED


def test_load_reports_are_delayed():
    harness = NodeHarness(slots=4, cores=4, report_period=100 * MS, report_delay=300 * MS)
    harness.node.probe()
    harness.kernel.run(150 * MS)
    harness.submit("a", 10 * SEC)
    for until_ms, free_slots in ((200, 4.0), (400, 4.0), (700, 3.0)):
        harness.kernel.run(until_ms * MS)
        assert harness.node.probe()["x0"] == free_slots


def test_handshakes_and_health_checks_delay_jobs_if_no_core_is_free():
    harness = NodeHarness(cores=1, slots=1, handshake_work=20 * MS, probe_work=10 * MS, connections=2)
    harness.submit("a")
    assert [harness.node.connect() for _ in range(3)] == [True, True, False]
    harness.node.probe()
    harness.kernel.run(SEC)
    assert harness.event_times_ms("a", "done") == [150]


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("scpdkw"), st.integers(1, 3), st.integers(1, 400)), max_size=60))
def test_slots_memory_and_jobs_are_released_after_any_history(steps):
    """Used slots and memory match the running jobs at every step, and each accepted job ends exactly once."""
    harness = NodeHarness(cores=2, slots=3, memory=3.0, queue=5, returns_on_drain=True)
    accepted = set()
    for n, (step, slots, work) in enumerate(steps):
        if step == "s" and harness.submit(f"j{n}", work * MS, slots, slots * 0.5) == ACCEPTED:
            accepted.add(f"j{n}")
        elif step == "c" and harness.node.jobs:
            cancelled = sorted(harness.node.jobs)[0]
            assert harness.node.cancel(cancelled)
            accepted.discard(cancelled)
        elif step == "p":
            harness.node.pause(work * MS)
        elif step == "d":
            harness.node.drain()
        elif step == "k":
            harness.node.kill()
            harness.node.start()
        harness.kernel.run(harness.kernel.now + work * MS)
        running = [j for j in harness.node.jobs.values() if j.state == "running"]
        assert harness.node.busy_slots == sum(j.slots for j in running) <= 3
        assert harness.node.used_memory == pytest.approx(sum(j.memory for j in running))
    harness.kernel.run(harness.kernel.now + 3600 * SEC)
    ended = [j for _, j, s in harness.events if s in ("done", "returned", "lost")]
    assert sorted(ended) == sorted(accepted)
    assert not harness.node.jobs
    assert harness.node.busy_slots == 0
    assert harness.node.job_time == pytest.approx(harness.node.residence_time, abs=1)  # Little's law
