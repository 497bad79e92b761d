"""The model of a render node: queue, slots, memory, troubles, cold starts, deaths and reports."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from badgerroad.emulator.model import nodes
from badgerroad.emulator.model.jobs import Job, Profile
from badgerroad.emulator.model.kernel import SEC, Draws, Kernel
from badgerroad.emulator.model.nodes import ACCEPTED, FULL, RenderNode

MS = 1000


class Bed:
    """One node on a kernel, and all that it told."""

    def __init__(self, **profile):
        self.kernel, self.told, self.fallen = Kernel(), [], []
        p = Profile(**{"cores": 2, "speed": 1.0, "slots": 2, **profile})
        self.node = RenderNode(
            self.kernel,
            "n",
            p,
            0,
            0,
            0,
            Draws(1, "n"),
            lambda n, j, s, x: self.told.append((self.kernel.now, j.id, s)),
            lambda n, sent: self.fallen.append(sent),
            lambda n, s: None,
        )

    def ask(self, request_id, work=100 * MS, slots=1, memory=0.0, dispatcher=0):
        return self.node.submit(Job(request_id, request_id, 0, dispatcher, work, slots, memory))

    def when(self, request_id, state):
        return [t // MS for t, j, s in self.told if (j, s) == (request_id, state)]


def test_the_head_of_the_queue_waits_until_it_fits_and_nothing_overtakes_it():
    bed = Bed()
    assert [bed.ask("a"), bed.ask("big", slots=2), bed.ask("small")] == [ACCEPTED] * 3
    bed.kernel.run(SEC)
    assert (bed.when("a", "started"), bed.when("big", "started"), bed.when("small", "started")) == ([0], [100], [200])


def test_memory_holds_a_job_back_as_slots_do():
    bed = Bed(memory=2.0)
    bed.ask("a", memory=1.5)
    bed.ask("b", memory=1.0)
    bed.kernel.run(SEC)
    assert bed.when("b", "started") == [100]


def test_more_slots_than_cores_share_them():
    bed = Bed(cores=1, slots=2)
    bed.ask("a", 100 * MS)
    bed.kernel.run(50 * MS)
    bed.ask("b", 100 * MS)
    bed.kernel.run(SEC)
    assert (bed.when("a", "done"), bed.when("b", "done")) == ([150], [200])


@pytest.mark.parametrize(("trouble", "done"), [(dict(slowness=4.0), 400), (dict(taken=0.5), 200), ({}, 100)])
def test_troubles_stretch_what_runs(trouble, done):
    bed = Bed()
    bed.node.trouble(**trouble)
    bed.ask("a")
    bed.kernel.run(SEC)
    assert bed.when("a", "done") == [done]


def test_a_pause_stands_still_and_tells_no_progress():
    bed = Bed(progress_every=50 * MS)
    bed.ask("a", 120 * MS)
    bed.kernel.run(10 * MS)
    bed.node.pause(500 * MS)
    bed.kernel.run(2 * SEC)
    assert bed.when("a", "done") == [620]
    assert bed.when("a", "running") == [550, 600]


def test_crowding_costs_efficiency():
    bed = Bed(crowd_at=2.0, crowd_loss=0.5)
    for n in range(8):
        bed.ask(f"j{n}")
    bed.kernel.run(SEC)
    assert bed.when("j0", "done")[0] > 190  # twice what it may hold: half the pace


def test_a_cold_node_starts_at_its_share_and_warms():
    bed = Bed(cold_from=0.25, cold_for=10 * SEC)
    bed.kernel.run(SEC)
    bed.node.kill()
    bed.node.start()
    began = bed.kernel.now
    assert bed.node.warmth == 0.25
    bed.ask("a", 100 * MS)
    bed.kernel.run(began + 20 * SEC)
    assert 350 < bed.when("a", "done")[0] - began // MS < 400
    assert bed.node.warmth == 1.0


@pytest.mark.parametrize(("jobs", "falls"), [(3, False), (40, True)])
def test_a_cold_node_falls_over_from_too_much_and_stays_down(jobs, falls):
    bed = Bed(cold_from=0.2, cold_for=10 * SEC, fall_multiple=3.0, overload_for=SEC)
    bed.kernel.run(SEC)
    bed.node.kill()
    bed.node.start()
    for n in range(jobs):
        bed.ask(f"j{n}", dispatcher=n % 2)
    assert bool(bed.fallen) == falls
    assert bed.node.up != falls
    bed.node.start()
    assert bed.node.up != falls


def test_a_cold_node_bears_what_the_settings_allow_and_what_chance_adds():
    """2 cores at a fifth, three times that for a second: 12 jobs of 100 ms; two roots of 12 and 2 more are 20.93."""
    bed = Bed(
        cold_from=0.2,
        cold_for=10_000 * SEC,
        fall_multiple=3.0,
        overload_for=SEC,
        mean_work=100.0 * MS,
    )
    bed.kernel.run(SEC)
    bed.node.kill()
    bed.node.start()
    for n in range(20):
        bed.ask(f"j{n}")
    assert not bed.fallen
    assert 0.95 < bed.node.cold_peak < 1
    bed.ask("last")
    assert bed.fallen


def test_a_silent_node_runs_on_and_tells_later_what_is_not_too_old():
    bed = Bed()
    bed.ask("a")
    bed.kernel.run(10 * MS)
    bed.node.silence(2 * SEC)
    assert bed.ask("b") == nodes.SILENT
    assert bed.node.probe() is None
    assert not bed.node.cancel("a")
    bed.kernel.run(3 * SEC)
    assert bed.when("a", "done") == [2010]
    bed.ask("c")
    bed.node.silence(20 * SEC)
    bed.kernel.run(60 * SEC)
    assert not bed.when("c", "done")


def test_a_death_loses_what_is_inside_and_a_drain_hands_back_what_has_not_started():
    bed = Bed(returns_on_drain=True)
    for n in "abc":
        bed.ask(n)
    bed.kernel.run(MS)
    bed.node.drain()
    assert bed.when("c", "returned") == [1]
    assert bed.ask("d") == FULL
    bed.node.kill()
    assert bed.when("a", "lost") == bed.when("b", "lost") == [1]
    assert bed.ask("e") == nodes.REFUSED


def test_reports_are_late():
    bed = Bed(slots=4, cores=4, reports_every=100 * MS, reports_late=300 * MS)
    bed.node.probe()
    bed.kernel.run(150 * MS)
    bed.ask("a", 10 * SEC)
    for until, free in ((200, 4.0), (400, 4.0), (700, 3.0)):
        bed.kernel.run(until * MS)
        assert bed.node.probe()["x0"] == free


def test_handshakes_and_probes_take_work_from_jobs_where_no_core_is_free():
    bed = Bed(cores=1, slots=1, handshake_work=20 * MS, probe_work=10 * MS, connections=2)
    bed.ask("a")
    assert [bed.node.connect() for _ in range(3)] == [True, True, False]
    bed.node.probe()
    bed.kernel.run(SEC)
    assert bed.when("a", "done") == [150]


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("scpdkw"), st.integers(1, 3), st.integers(1, 400)), max_size=60))
def test_a_node_gives_all_back_whatever_happens(steps):
    """Slots, memory and jobs add up after any history, and every accepted job ends once."""
    bed = Bed(cores=2, slots=3, memory=3.0, queue=5, returns_on_drain=True)
    accepted = set()
    for n, (step, slots, work) in enumerate(steps):
        if step == "s" and bed.ask(f"j{n}", work * MS, slots, slots * 0.5) == ACCEPTED:
            accepted.add(f"j{n}")
        elif step == "c" and bed.node.jobs:
            gone = sorted(bed.node.jobs)[0]
            assert bed.node.cancel(gone)
            accepted.discard(gone)
        elif step == "p":
            bed.node.pause(work * MS)
        elif step == "d":
            bed.node.drain()
        elif step == "k":
            bed.node.kill()
            bed.node.start()
        bed.kernel.run(bed.kernel.now + work * MS)
        running = [j for j in bed.node.jobs.values() if j.state == "running"]
        assert bed.node.busy == sum(j.slots for j in running) <= 3
        assert bed.node.used == pytest.approx(sum(j.memory for j in running))
    bed.kernel.run(bed.kernel.now + 3600 * SEC)
    ends = [j for _, j, s in bed.told if s in ("done", "returned", "lost")]
    assert sorted(ends) == sorted(accepted)
    assert not bed.node.jobs
    assert bed.node.busy == 0
    assert bed.node.held_time == pytest.approx(bed.node.residence, abs=1)  # Little's law
