"""Takeover between two dispatchers that run in the test's process: what is transferred, and what faulty peers cause."""

import array
import asyncio
import contextlib
import json
import socket
from collections import Counter

import pytest
from tornado.ioloop import IOLoop

from badgerroad.frontend import client as frontend_client
from badgerroad.hot_restart import request_transfer, rules
from badgerroad.hot_restart.process import HotRestart
from badgerroad.hot_restart.rules import Action
from badgerroad.net.timer_wheel import Clock, TimerWheel
from badgerroad.net.unix_channel import UnixSocketPath
from badgerroad.serving import assemble
from tests.support.loopback import World, async_test, id_of, job, read_message, reply, serve, until


@contextlib.asynccontextmanager
async def with_second_process(w, folder, **changes):
    """Start a second dispatcher, its configuration changed by `changes`, that takes over from that of the World `w`."""
    first = HotRestart(w.dispatcher, w.dispatcher.wheel, str(folder))
    first.announce()
    new, ops = assemble(w.dispatcher.config._replace(**changes), TimerWheel(Clock(), IOLoop.current()))
    second = HotRestart(new, new.wheel, str(folder))
    w.begin(second.begin())
    await until(lambda: new.accepts_clients)
    try:
        yield first, second
    finally:
        for hot_restart in (first, second):
            hot_restart.close()
        ops.close()
        new.close()


@async_test
async def test_idle_half_written_and_waiting_connections_move_to_the_new_process(tmp_path):
    may_finish = asyncio.Event()

    async def finish_when_allowed(world, head, body):
        async def finish():
            await may_finish.wait()
            await world.call_back(id_of(head), "done", world.name_of(head), result="made")

        world.begin(finish())
        return reply(202)

    async with World(finish_when_allowed, finish_when_allowed, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        connections = [await w.connect() for _ in range(60)]
        requests = [job(f"r{n}") for n in range(len(connections))]
        for n, (_, writer) in enumerate(connections):
            writer.write(requests[n][: 2 * n])
        pipelined = await w.connect()
        pipelined[1].write(job("first") + job("second"))  # the second request is read while the first is open
        await until(lambda: b"first" in w.dispatcher.requests_by_id and len(w.dispatcher.frontend.connections) == 61)
        attempt = w.dispatcher.requests_by_id[b"first"].attempts[0]
        await until(lambda: attempt.accepted)
        attempt.accepted = False  # as if the 202 had not arrived yet, so that the request cannot be moved
        async with with_second_process(w, tmp_path) as (first, second):
            await until(lambda: len(second.dispatcher.frontend.connections) >= 60)
            assert first.dispatcher.open_requests
            assert not first.dispatcher.accepts_clients
            status, _, error_text = await w.ask(job("first"))
            assert status == 400
            assert b"open request" in error_text
            attempt.accepted = True
            first.terminate()
            await until(
                lambda: not first.dispatcher.has_pending_responses
                and not first.dispatcher.frontend.has_connections_to_pass
            )
            for n, (_, writer) in enumerate(connections):
                writer.write(requests[n][2 * n :])
            may_finish.set()
            for reader, _ in [*connections, pipelined, pipelined]:
                head, body = await read_message(reader)
                assert (head.split()[1], body) == (b"200", b"made")
            runs = Counter(id_of(head) for peer in w.hosts for head, _ in peer.received if head.startswith(b"POST"))
            assert runs == {f"r{n}": 1 for n in range(60)} | {"first": 1, "second": 1}
            assert not any(x.in_flight_slots or x.running_slots for x in second.dispatcher.decisions.workers.values())


@async_test
async def test_of_three_processes_the_first_stays_retired_if_the_middle_one_ends(tmp_path):
    async with World(serve, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        async with with_second_process(w, tmp_path) as (first, second):
            for returns in (True, False):
                dispatcher, ops = assemble(w.dispatcher.config, TimerWheel(Clock(), IOLoop.current()))
                third = HotRestart(dispatcher, dispatcher.wheel, str(tmp_path))
                w.begin(third.begin())
                await until(
                    lambda dispatcher=dispatcher: (
                        dispatcher.accepts_clients and first.peers.predecessor.state == "passed"
                    )
                )
                first._on_connection(rejected_socket := socket.socket())  # only one newer process is accepted
                assert rejected_socket.fileno() == -1
                if returns:
                    third.terminate()  # the second process accepts again and reports that to the first
                    await until(
                        lambda: second.dispatcher.accepts_clients and first.peers.predecessor.state == "yielded"
                    )
                    third.close()
                    dispatcher.close()
                    await until(lambda: second.peers.newer is None)
            second.close()
            await until(lambda: first.peers.newer is None)
            assert not w.dispatcher.accepts_clients
            assert not w.dispatcher.frontend.accepting
            second.dispatcher.frontend.close()
            assert (await w.ask(job()))[0] == 200
            for resource in (third, ops, dispatcher):
                resource.close()


async def open_immovable_request(w, name="r1", *headers):
    """Send a request that a worker accepts, and mark its attempt as not accepted.

    A request cannot be moved to another process while it has an open attempt that is not accepted.
    """
    answer = w.begin(w.ask(job(name, "preview", 5000, b"x", *headers)))
    await until(lambda: any(attempt.accepted for r in w.dispatcher.requests_by_id.values() for attempt in r.attempts))
    (attempt,) = w.dispatcher.requests_by_id[name.encode()].attempts
    attempt.accepted = False
    return answer, attempt


@pytest.mark.parametrize("sender_ends", [False, True])
@async_test
async def test_a_job_event_that_arrives_before_its_moving_request_is_applied(sender_ends, tmp_path):
    """The event is applied even if the process that has passed the request on ends at once."""
    async with World(lambda w, head, body: reply(202), ops=True) as w:
        answer, attempt = await open_immovable_request(w)
        async with with_second_process(w, tmp_path) as (first, second):
            attempt.accepted = True
            first.dispatcher.frontend.pass_connections_on()
            assert not first.dispatcher.open_requests
            assert not second.dispatcher.open_requests
            for n in range(99):
                second.dispatcher.intake.handle_job_event(b"other", "h0", "done", {"result": str(n)})
            second.dispatcher.intake.handle_job_event(b"r1", "h0", "done", {"result": "made"})
            if sender_ends:
                first.peers.newer.channel.close()
            assert (await answer)[0] == 200
            assert (await w.read_metrics())["current"] == 0
            client_end, dispatcher_end = socket.socketpair()
            # A connection whose request cannot be restored is closed, since its client would wait for ever otherwise.
            with pytest.raises(ZeroDivisionError):
                w.dispatcher.frontend.adopt_connection(
                    dispatcher_end, {"served": True, "left": -1, "closing": False}, b"", lambda c: 1 // 0
                )
            assert client_end.recv(1) == b""


@async_test
async def test_the_new_process_gets_the_state_and_each_counts_the_attempts_of_the_other(tmp_path, monkeypatch):
    monkeypatch.setattr(frontend_client, "REQUEST_TIMEOUT_US", 1_000_000)
    # Open requests are not moved, so that both processes have attempts in flight.
    monkeypatch.setattr(request_transfer, "can_move", lambda request: False)

    def slots_by_worker(dispatcher):
        return {name: (x.in_flight_slots, x.running_slots) for name, x in dispatcher.decisions.workers.items()}

    async with World(
        *[lambda w, head, body: reply(202)] * 3, ops=True, familyInfo={"tellsStart": True, "classKind": [-1, 0]}
    ) as w:
        w.entries[2].update(site="far", **{"class": "big"})  # the settings name neither this zone nor this machine type
        old = w.dispatcher
        await until(lambda: old.ready)
        w.discovery.script = lambda head, body: reply(503)
        answer, attempt = await open_immovable_request(w, "r0", "Work-Hint: 300000")
        for job_state in ("started", "done"):
            assert await w.call_back("r0", job_state, attempt.worker, result="made") == 200
        assert (await answer)[0] == 200
        answer, attempt = await open_immovable_request(w)
        silent = await w.connect()
        await w.call_back("r1", "started", attempt.worker)
        old.decisions.workers[attempt.worker].consecutive_failures = 3
        changes = {
            "zones": ["far", "a"],
            "machine_types": ["big", "m2"],
            "cached_endpoints": {"seq": 0, "whole": True, "hosts": []},
        }
        async with with_second_process(w, tmp_path, **changes) as (first, second):
            new = second.dispatcher
            # The new process has the old one's endpoint list, though discovery fails and its cached list is empty.
            # The old process's indices of zones and machine types apply to the list and to the settings.
            assert {n: x.info for n, x in new.decisions.workers.items()} == {
                n: x.info for n, x in old.decisions.workers.items()
            }
            assert new.settings.zone == 1
            assert [c.machine_type for c in new.settings.classes] == [-1, 1]
            assert new.decisions.workers[attempt.worker].consecutive_failures == 3
            assert list(new.decisions.hints.sample) == list(old.decisions.hints.sample)
            assert new.decisions.hints.sample[0] == 300_000
            assert new.decisions.estimates.class_runs.mean_of == old.decisions.estimates.class_runs.mean_of != {}
            assert slots_by_worker(new)[attempt.worker] == (1, 1)
            assert any(h.idle for h in new.backend.workers.values())
            assert not any(h.idle for h in old.backend.workers.values())
            assert old.descriptors.limit < old.descriptors.total / 2
            # Both processes together have one limit of descriptors.
            assert new.descriptors.limit <= new.descriptors.total - old.descriptors.used
            assert await silent[0].read() == b""  # the client's request time-out continued in the new process
            # The old process reports its retry, the retry's start and its end; the new process reports its own attempt.
            await w.call_back("r1", "failed", attempt.worker)
            await until(
                lambda: len(old.requests_by_id[b"r1"].attempts) == 2 and old.requests_by_id[b"r1"].attempts[1].written
            )
            retry = old.requests_by_id[b"r1"].attempts[1]
            await until(
                lambda: slots_by_worker(new)[retry.worker][0] == 1 and slots_by_worker(new)[attempt.worker] == (0, 0)
            )
            await w.call_back("r1", "started", retry.worker)
            await until(lambda: slots_by_worker(new)[retry.worker] == (1, 1))
            w.begin(w.ask(job("n1")))
            await until(
                lambda: b"n1" in new.requests_by_id
                and new.requests_by_id[b"n1"].attempts
                and slots_by_worker(old)[new.requests_by_id[b"n1"].attempts[0].worker][0] == 1
            )
            first.terminate()
            # The job event arrives at the new process, which passes it to the old one.
            assert await w.call_back("r1", "done", retry.worker, result="made") == 200
            assert (await answer)[0] == 200
            assert b"close" not in (await answer)[1]
            first.peers.newer.channel.close()
            # The old process drops the attempts of a peer that it has lost.
            await until(lambda: set(slots_by_worker(old).values()) == {(0, 0)})


HELLO = dict(kind="hello", version=2, name="n0", listen=["127.0.0.1", 0])
OFFER = dict(kind="offer", version=2, held=100, zones=["a"], kinds=["m2"], known={"seq": 0, "whole": True, "hosts": []})


def play_step(sock, step, *descriptors):
    """Play one step of a peer: send a packet (dict) or invalid bytes, close the channel, or do nothing (None)."""
    if step == "close":
        sock.close()
    elif step is not None:
        sock.sendmsg(
            [step if isinstance(step, bytes) else json.dumps(step).encode() + b"\n"],
            [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))] * bool(descriptors),
        )


@pytest.mark.parametrize(
    ("regular_steps", "faulty_step"),
    [
        (0, None),
        (0, "close"),
        (0, b"?"),
        (0, dict(HELLO, version=99)),
        (0, dict(HELLO, name="other")),
        (1, None),
        (1, "close"),
        (1, dict(kind="odd")),
        (2, None),
        (2, "close"),
        (2, dict(kind="started")),
        (2, dict(kind="held", held=5)),
        (2, dict(kind="call back", id=7)),
    ],
)
@async_test
async def test_the_old_process_keeps_serving_when_the_new_one_is_faulty_at_any_step(
    regular_steps, faulty_step, tmp_path, monkeypatch
):
    """After `regular_steps` valid steps the new process is silent, closes the channel or sends an invalid message."""
    for name in ("HELLO_TIMEOUT_US", "MISSING_HEARTBEAT_US"):
        monkeypatch.setattr(rules, name, 200_000)
    monkeypatch.setattr(
        rules,
        "REPLY_TIMEOUT_US",
        {**rules.REPLY_TIMEOUT_US, Action.SEND_OFFER: 200_000, Action.SEND_GRANT: 200_000},
    )
    async with World(serve, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        first = HotRestart(w.dispatcher, w.dispatcher.wheel, str(tmp_path))
        first.announce()
        new = first.socket_path.connect()
        await until(lambda: first.peers.newer is not None)
        for step in [*[HELLO, dict(kind="take")][:regular_steps], faulty_step]:
            play_step(new, step)
        if regular_steps == 0 and faulty_step != "close":  # without a valid hello there is no offer
            assert await asyncio.get_running_loop().sock_recv(new, 1) == b""
        await until(lambda: first.peers.newer is None and w.dispatcher.accepts_clients)
        assert first.peers.predecessor.state == "over"
        assert (await w.ask(job()))[0] == 200
        assert w.dispatcher.descriptors.limit == w.dispatcher.descriptors.total
        first.close()
        new.close()


@pytest.mark.parametrize(
    ("regular_steps", "faulty_step"),
    [
        (0, None),
        (0, "close"),
        (0, b"?"),
        (0, dict(OFFER, version=99)),
        (0, dict(kind="offer", version=2)),
        (1, None),
        (1, "close"),
        (1, dict(kind="yours")),
    ],
)
@async_test
async def test_a_new_process_serves_when_the_old_one_is_faulty_at_any_step(
    regular_steps, faulty_step, tmp_path, monkeypatch
):
    monkeypatch.setattr(rules, "REPLY_TIMEOUT_US", dict.fromkeys(rules.REPLY_TIMEOUT_US, 200_000))
    async with World(serve, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        config, channels = w.dispatcher.config._replace(listen=("127.0.0.1", w.port)), []
        socket_path = UnixSocketPath(str(tmp_path), f"badgerroad-127.0.0.1-{w.port}.sock")
        socket_path.listen(channels.append)
        dispatcher, ops = assemble(config, TimerWheel(Clock(), IOLoop.current()))
        second = HotRestart(dispatcher, dispatcher.wheel, str(tmp_path))
        w.begin(second.begin())
        await until(lambda: channels)
        if regular_steps:
            play_step(channels[0], dict(OFFER, known=config.cached_endpoints), w.dispatcher.frontend.listener.fileno())
            await until(lambda: second.peers.successor.state == "claiming")
            assert dispatcher.descriptors.limit <= dispatcher.descriptors.total - 100
            assert not dispatcher.accepts_clients
        play_step(channels[0], faulty_step, w.dispatcher.frontend.listener.fileno())
        await until(lambda: dispatcher.accepts_clients)
        assert (second._actions.received_listener is None) == (
            regular_steps == 0 and faulty_step != dict(kind="offer", version=2)
        )
        w.dispatcher.close()
        assert (await w.ask(job()))[0] == 200
        assert len(dispatcher.decisions.workers) == 1
        for resource in (second, ops, dispatcher, socket_path, *channels):
            resource.close()
