"""A job event that the other process of an upgrade has handled is not applied again when its request moves.

Guards against a request that runs twice: the new process kept a copy of an event that it had passed to the old one, and
applied the copy to the request's next attempt at that worker, which ended as never run while it ran.
"""

import pytest

from badgerroad.hot_restart.unmatched_job_events import RECEIVED_FROM_PEER, UnmatchedJobEvents
from badgerroad.process_messages import JobEvent
from tests.hot_restart.test_takeover import with_second_process
from tests.support.counting_worker import CountingWorker, open_request, send_further_attempt
from tests.support.loopback import World, async_test, until


@pytest.mark.parametrize("states", [("returned",), ("started", "failed"), ("started", "lost")], ids="-".join)
@async_test
async def test_an_event_that_the_old_process_has_handled_is_not_applied_by_the_new_one(states, tmp_path):
    worker = CountingWorker()
    worker.accepting.set()
    async with World(worker, ops=True) as w:
        request = await open_request(w)
        first_attempt = request.attempts[0]
        await until(lambda: first_attempt.accepted)
        first_attempt.accepted = False  # the request cannot move
        async with with_second_process(w, tmp_path) as (first, second):
            for state in states:  # job events arrive at the process that listens
                second.dispatcher.intake.handle_job_event(b"r1", "h0", state, {})
            await until(lambda: first_attempt.ended)
            further = send_further_attempt(w.dispatcher, request)
            await until(lambda: further.accepted)
            first.dispatcher.frontend.pass_connections_on()
            await until(lambda: second.dispatcher.open_requests)
            (moved,) = second.dispatcher.open_requests.values()
            assert (moved.attempts[1].ended, moved.attempts[1].started) == (False, False)


def retained(numbers):
    events = UnmatchedJobEvents()
    events.retain(JobEvent(b"r1", "h0", "failed", {}), 0, numbers)
    return events


@pytest.mark.parametrize(
    ("numbers", "handled", "applied"),
    [
        pytest.param({"peer": 5}, 4, 1, id="sent, not handled"),
        pytest.param({"peer": 5}, 5, 0, id="sent and handled"),
        pytest.param({"peer": 5}, 0, 1, id="older version"),
        pytest.param({"other": 5}, 9, 1, id="sent to another process"),
        pytest.param({"peer": RECEIVED_FROM_PEER}, 0, 0, id="received from the sender"),
        pytest.param({"other": RECEIVED_FROM_PEER, "peer": 2}, 1, 1, id="relayed, not handled"),
        pytest.param({"other": RECEIVED_FROM_PEER, "peer": 2}, 2, 0, id="relayed and handled"),
    ],
)
def test_only_events_that_the_sender_of_a_request_has_not_handled_are_applied(numbers, handled, applied):
    assert len(retained(numbers).for_request(b"r1", "peer", handled)) == applied
