"""The exported policy state is compatible with that of the version before the packages were renamed."""

import json
from pathlib import Path

from badgerroad.load_balancing import interface, state
from badgerroad.load_balancing.policy import DispatchPolicy

DATA = Path(__file__).parent / "data" / "decisions"
RECORDED_AT = 5000  # time of the recording of the request, in microseconds of the policy's clock


def recorded(name):
    return (DATA / f"{name}.json").read_text()


def as_json(value):
    return json.dumps(value, separators=(",", ":"))


def recorded_policy():
    """Return a policy with the settings and workers of the recording; worker `c` is warming up."""
    policy = DispatchPolicy(
        interface.Settings(
            (interface.RequestClass("s", deadline=9_000_000),),
            reports_start=True,
            progress_interval=1000,
            slow_start_share=0.2,
            slow_start_duration=10_000_000,
            overload_threshold=3.0,
            max_attempts=3,
        ),
        2,
    )
    workers = tuple(interface.Endpoint(worker, started_at=90 * (worker == "c")) for worker in "abc")
    policy.handle(100, interface.EndpointList(interface.ListScope.COMPLETE, 1, workers))
    return policy


def test_a_recorded_state_is_imported_and_exported_as_the_same_bytes():
    policy = recorded_policy()
    state.import_learned_state(policy, json.loads(recorded("copy_out")))
    assert as_json(state.export_learned_state(policy)) == recorded("copy_out")


def test_a_recorded_open_request_is_imported_and_exported_as_the_same_bytes():
    policy = recorded_policy()
    state.import_learned_state(policy, json.loads(recorded("copy_out")))
    state.import_request(policy, 1, policy.settings.classes[0], json.loads(recorded("job_out")), RECORDED_AT)
    assert as_json(state.export_request(policy, 1, RECORDED_AT)) == recorded("job_out")
