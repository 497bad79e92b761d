"""Transfer of the dispatch policy's learned state and of an open request to another process."""

import json

from badgerroad.load_balancing import interface, state
from badgerroad.load_balancing.policy import DispatchPolicy


def policy_with_fleet(seed=1):
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
        seed,
    )
    policy.handle(
        100,
        interface.EndpointList(
            interface.ListScope.COMPLETE, 1, tuple(interface.Endpoint(w, started_at=90 * (w == "c")) for w in "abc")
        ),
    )
    return policy


def test_learned_state_and_an_open_request_continue_in_another_process():
    old, new = policy_with_fleet(), policy_with_fleet(2)
    old.workers["c"].slow_start_sends.append((150, 7.0))  # a send counted against the worker's slow-start budget
    for n in range(1, 9):
        send = [
            a
            for a in old.handle(200 + n, interface.Request(n, time_left=9_000_000, work_hint=1000))
            if isinstance(a, interface.Send)
        ][0]
        old.handle(300 + n, interface.AttemptStarted(n, 0, send.worker))
        if n < 8:
            old.handle(
                2000 + n,
                interface.AttemptEnded(
                    n,
                    0,
                    send.worker,
                    interface.AttemptResult.ERROR if n == 1 else interface.AttemptResult.OK,
                    finished=True,
                ),
            )
    state.import_learned_state(new, json.loads(json.dumps(state.export_learned_state(old))))
    assert (vars(new.hints), new.estimates.fastest_start) == (vars(old.hints), old.estimates.fastest_start)
    for w in "abc":
        a, b = old.workers[w], new.workers[w]
        assert (a.consecutive_failures, a.ejected_until, vars(a.throughput), list(a.slow_start_sends)) == (
            b.consecutive_failures,
            b.ejected_until,
            vars(b.throughput),
            [tuple(x) for x in b.slow_start_sends],
        )
    job = json.loads(json.dumps(state.export_request(old, 8, 5000)))
    state.withdraw_request(old, 8)
    assert not old.requests
    assert all(w.in_flight_slots == w.running_slots == 0 for w in old.workers.values())
    failures_before = new.workers[send.worker].consecutive_failures
    state.import_request(new, 1, old.settings.classes[0], job, 6000)
    assert new.requests[1].deadline == 208 + 9_000_000 + 1000
    assert new.workers[send.worker].running_slots == 1
    # The worker has not reported on the job for long, which counts as a failure in the new process too.
    assert new.workers[send.worker].consecutive_failures > failures_before
    retries = [
        a
        for a in new.handle(7000, interface.AttemptEnded(1, 0, send.worker, interface.AttemptResult.ERROR))
        if isinstance(a, interface.Send)
    ]
    assert len(retries) == 1
    assert retries[0].worker != send.worker
    assert len(new.requests[1].attempts) == 2


def test_attempts_of_the_other_process_count_until_they_end():
    policy = policy_with_fleet()
    peer_attempts = state.PeerAttempts(policy)
    peer_attempts.record_send("x", "a", 2.0, True, (150, 5.0))
    peer_attempts.record_send("y", "c", 1.0, False, (150, 5.0))
    peer_attempts.record_send("y", "c", 1.0, False, (150, 5.0))  # a repeated report, which must not count
    peer_attempts.record_start("x")
    a, c = policy.workers["a"], policy.workers["c"]
    assert (a.in_flight_slots, a.long_in_flight, a.running_slots, list(a.slow_start_sends)) == (2.0, 1, 2.0, [])
    assert (c.in_flight_slots, list(c.slow_start_sends)) == (1.0, [(150, 5.0)])
    peer_attempts.record_end("x")
    peer_attempts.clear()
    assert a.in_flight_slots == a.long_in_flight == a.running_slots == c.in_flight_slots == 0
