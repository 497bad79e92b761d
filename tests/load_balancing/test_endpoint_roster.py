"""The roster's incrementally maintained lists equal those computed from all workers."""

from zlib import crc32

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerroad.load_balancing import interface
from badgerroad.load_balancing import workers as workers_module
from badgerroad.load_balancing.endpoint_roster import EndpointRoster

STATES = st.sampled_from(
    [
        interface.WorkerState.READY,
        interface.WorkerState.READY,
        interface.WorkerState.DRAINING,
        interface.WorkerState.GONE,
    ]
)
ENTRIES = st.builds(
    interface.Endpoint,
    worker=st.sampled_from("abcdefgh"),
    state=STATES,
    started_at=st.sampled_from([0, 5, 40, 70]),
    machine_type=st.integers(0, 2),
    zone=st.integers(0, 1),
    cell=st.integers(0, 2),
    weight=st.just(1.0),
)
LISTS = st.tuples(
    st.sampled_from(
        [
            interface.ListScope.INCREMENTAL,
            interface.ListScope.INCREMENTAL,
            interface.ListScope.INCREMENTAL,
            interface.ListScope.COMPLETE,
            interface.ListScope.CACHED,
        ]
    ),
    st.lists(ENTRIES, max_size=4),
    st.integers(0, 30),
)


@pytest.fixture(autouse=True)
def _sort_keys_collide(monkeypatch):
    monkeypatch.setattr(workers_module, "crc32", lambda data: crc32(data) % 2)


@given(st.lists(LISTS, max_size=25))
def test_incremental_orders_equal_a_full_sort(lists):
    now = 0

    def is_warming_up(worker):
        return worker.info.started_at > 0 and now - worker.info.started_at < 30

    def is_remote(worker):
        return worker.info.zone == 1

    roster = EndpointRoster(is_remote, is_warming_up)
    for number, (scope, entries, elapsed) in enumerate(lists):
        now += elapsed
        roster.update(interface.EndpointList(scope, number, tuple(entries)))
        listed = roster.workers.values()
        ready = sorted(
            (worker for worker in listed if worker.is_ready()), key=lambda worker: worker.sort_key[:2]
        )  # workers with equal sort keys stay in the order in which their ids were first listed
        assert roster.ready == ready
        assert roster.local == [worker for worker in ready if not is_remote(worker)]
        assert roster.remote == [worker for worker in ready if is_remote(worker)]
        assert roster.warming_up == [worker for worker in ready if is_warming_up(worker)]
        assert all(worker.info.state != interface.WorkerState.GONE or is_warming_up(worker) for worker in listed)


def test_incremental_change_examines_only_the_changed_worker():
    examined = []

    def is_remote(worker):
        examined.append(worker.id)
        return False

    roster = EndpointRoster(is_remote, lambda worker: False)
    roster.update(
        interface.EndpointList(interface.ListScope.COMPLETE, 1, tuple(interface.Endpoint(f"w{n}") for n in range(500)))
    )
    examined.clear()
    for state in (
        interface.WorkerState.DRAINING,
        interface.WorkerState.READY,
        interface.WorkerState.GONE,
        interface.WorkerState.READY,
    ):
        roster.update(interface.EndpointList(interface.ListScope.INCREMENTAL, 2, (interface.Endpoint("w7", state),)))
    assert set(examined) == {"w7"}
