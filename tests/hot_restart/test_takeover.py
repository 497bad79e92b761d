"""Two processes as one dispatcher, in one process: what goes along, and what each does if the other does not keep to it."""

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
async def with_second_process(w, folder, **over):
    """A second dispatcher in this process, with `over` in its configuration, that takes over from the one of a World."""
    first = HotRestart(w.dispatcher, w.dispatcher.wheel, str(folder))
    first.announce()
    new, ops = assemble(w.dispatcher.config._replace(**over), TimerWheel(Clock(), IOLoop.current()))
    second = HotRestart(new, new.wheel, str(folder))
    w.begin(second.begin())
    await until(lambda: new.accepts_clients)
    try:
        yield first, second
    finally:
        for s in (first, second):
            s.close()
        ops.close()
        new.close()


@async_test
async def test_idle_half_written_and_waiting_connections_move_to_the_new_process(tmp_path):
    gate = asyncio.Event()

    async def late(world, head, body):
        async def ends():
            await gate.wait()
            await world.call_back(id_of(head), "done", world.name_of(head), result="made")

        world.begin(ends())
        return reply(202)

    async with World(late, late, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        crowd = [await w.connect() for _ in range(60)]
        texts = [job(f"r{n}") for n in range(len(crowd))]
        for n, (_, writer) in enumerate(crowd):
            writer.write(texts[n][: 2 * n])
        ahead = await w.connect()
        ahead[1].write(job("first") + job("second"))  # the one is open at a host, the other was read behind it
        await until(lambda: b"first" in w.dispatcher.requests_by_id and len(w.dispatcher.frontend.connections) == 61)
        attempt = w.dispatcher.requests_by_id[b"first"].attempts[0]
        await until(lambda: attempt.accepted)
        attempt.accepted = False  # as if the 202 had not come yet: that job has to wait
        async with with_second_process(w, tmp_path) as (first, second):
            await until(lambda: len(second.dispatcher.frontend.connections) >= 60)
            assert first.dispatcher.open_requests
            assert not first.dispatcher.accepts_clients
            status, _, why = await w.ask(job("first"))
            assert status == 400
            assert b"open request" in why
            attempt.accepted = True
            first.terminate()
            await until(
                lambda: not first.dispatcher.has_pending_responses
                and not first.dispatcher.frontend.has_connections_to_pass
            )
            for n, (_, writer) in enumerate(crowd):
                writer.write(texts[n][2 * n :])
            gate.set()
            for reader, _ in [*crowd, ahead, ahead]:
                head, body = await read_message(reader)
                assert (head.split()[1], body) == (b"200", b"made")
            ran = Counter(id_of(head) for peer in w.hosts for head, _ in peer.got if head.startswith(b"POST"))
            assert ran == {f"r{n}": 1 for n in range(60)} | {"first": 1, "second": 1}
            assert not any(x.in_flight_slots or x.running_slots for x in second.dispatcher.decisions.workers.values())


@async_test
async def test_of_three_processes_the_first_stays_retired_if_the_middle_one_ends(tmp_path):
    async with World(serve, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        async with with_second_process(w, tmp_path) as (first, second):
            for back in (True, False):
                d, ops = assemble(w.dispatcher.config, TimerWheel(Clock(), IOLoop.current()))
                third = HotRestart(d, d.wheel, str(tmp_path))
                w.begin(third.begin())
                await until(lambda d=d: d.accepts_clients and first.peers.predecessor.state == "passed")
                first._on_connection(rejected_socket := socket.socket())  # one at a time: it is sent away
                assert rejected_socket.fileno() == -1
                if back:
                    third.terminate()  # the second takes the new jobs again, and says so
                    await until(
                        lambda: second.dispatcher.accepts_clients and first.peers.predecessor.state == "yielded"
                    )
                    third.close()
                    d.close()
                    await until(lambda: second.peers.newer is None)
            second.close()
            await until(lambda: first.peers.newer is None)
            assert not w.dispatcher.accepts_clients
            assert not w.dispatcher.frontend.accepting
            second.dispatcher.frontend.close()
            assert (await w.ask(job()))[0] == 200
            for thing in (third, ops, d):
                thing.close()


async def stuck(w, name="r1", *headers):
    """An open job, accepted by a host, that stays with its process as if the 202 had not come yet."""
    answer = w.begin(w.ask(job(name, "preview", 5000, b"x", *headers)))
    await until(lambda: any(attempt.accepted for r in w.dispatcher.requests_by_id.values() for attempt in r.attempts))
    (attempt,) = w.dispatcher.requests_by_id[name.encode()].attempts
    attempt.accepted = False
    return answer, attempt


@pytest.mark.parametrize("ends", [False, True])
@async_test
async def test_a_job_event_that_arrives_before_its_moving_request_is_applied(ends, tmp_path):
    """Also if the process that the job has left ends at once."""
    async with World(lambda w, head, body: reply(202), ops=True) as w:
        answer, attempt = await stuck(w)
        async with with_second_process(w, tmp_path) as (first, second):
            attempt.accepted = True
            first.dispatcher.frontend.pass_connections_on()
            assert not first.dispatcher.open_requests
            assert not second.dispatcher.open_requests
            for n in range(99):
                second.dispatcher.intake.handle_job_event(b"other", "h0", "done", {"result": str(n)})
            second.dispatcher.intake.handle_job_event(b"r1", "h0", "done", {"result": "made"})
            if ends:
                first.peers.newer.channel.close()
            assert (await answer)[0] == 200
            assert (await w.figures())["current"] == 0
            here, there = socket.socketpair()
            with pytest.raises(ZeroDivisionError):  # a job that cannot be read: its client must not wait for ever
                w.dispatcher.frontend.adopt_connection(
                    there, {"served": True, "left": -1, "closing": False}, b"", lambda c: 1 // 0
                )
            assert here.recv(1) == b""


@async_test
async def test_the_new_process_gets_the_state_and_each_counts_the_attempts_of_the_other(tmp_path, monkeypatch):
    monkeypatch.setattr(frontend_client, "REQUEST_TIMEOUT_US", 1_000_000)
    monkeypatch.setattr(request_transfer, "can_move", lambda request: False)  # open jobs stay: each has attempts out

    def tallies(d):
        return {n: (x.in_flight_slots, x.running_slots) for n, x in d.decisions.workers.items()}

    async with World(
        *[lambda w, head, body: reply(202)] * 3, ops=True, familyInfo={"tellsStart": True, "classKind": [-1, 0]}
    ) as w:
        w.entries[2].update(site="far", **{"class": "big"})  # neither is in the settings
        old = w.dispatcher
        await until(lambda: old.ready)
        w.discovery.script = lambda head, body: reply(503)
        answer, attempt = await stuck(w, "r0", "Work-Hint: 300000")
        for word in ("started", "done"):
            assert await w.call_back("r0", word, attempt.worker, result="made") == 200
        assert (await answer)[0] == 200
        answer, attempt = await stuck(w)
        silent = await w.connect()
        await w.call_back("r1", "started", attempt.worker)
        old.decisions.workers[attempt.worker].consecutive_failures = 3
        told = {
            "zones": ["far", "a"],
            "machine_types": ["big", "m2"],
            "cached_endpoints": {"seq": 0, "whole": True, "hosts": []},
        }
        async with with_second_process(w, tmp_path, **told) as (first, second):
            new = second.dispatcher
            # The list, though discovery is dead and the file knows no host; in the old one's numbers, the settings too.
            assert {n: x.info for n, x in new.decisions.workers.items()} == {
                n: x.info for n, x in old.decisions.workers.items()
            }
            assert new.settings.zone == 1
            assert [c.machine_type for c in new.settings.classes] == [-1, 1]
            assert new.decisions.workers[attempt.worker].consecutive_failures == 3
            assert list(new.decisions.hints.sample) == list(old.decisions.hints.sample)
            assert new.decisions.hints.sample[0] == 300_000
            assert new.decisions.estimates.class_runs.mean_of == old.decisions.estimates.class_runs.mean_of != {}
            assert tallies(new)[attempt.worker] == (1, 1)
            assert any(h.idle for h in new.backend.workers.values())
            assert not any(h.idle for h in old.backend.workers.values())
            assert old.descriptors.limit < old.descriptors.total / 2
            assert new.descriptors.limit <= new.descriptors.total - old.descriptors.used  # one limit for both
            assert await silent[0].read() == b""  # its time went on over there
            # A repeat of the old one is told, with its start, and its end; the new one's own job likewise.
            await w.call_back("r1", "failed", attempt.worker)
            await until(
                lambda: len(old.requests_by_id[b"r1"].attempts) == 2 and old.requests_by_id[b"r1"].attempts[1].written
            )
            again_ = old.requests_by_id[b"r1"].attempts[1]
            await until(lambda: tallies(new)[again_.worker][0] == 1 and tallies(new)[attempt.worker] == (0, 0))
            await w.call_back("r1", "started", again_.worker)
            await until(lambda: tallies(new)[again_.worker] == (1, 1))
            w.begin(w.ask(job("n1")))
            await until(
                lambda: b"n1" in new.requests_by_id
                and new.requests_by_id[b"n1"].attempts
                and tallies(old)[new.requests_by_id[b"n1"].attempts[0].worker][0] == 1
            )
            first.terminate()
            assert (
                await w.call_back("r1", "done", again_.worker, result="made") == 200
            )  # to the new one, for the old one
            assert (await answer)[0] == 200
            assert b"close" not in (await answer)[1]
            first.peers.newer.channel.close()
            await until(lambda: set(tallies(old).values()) == {(0, 0)})  # what it had out is forgotten


HELLO = dict(kind="hello", version=2, name="n0", listen=["127.0.0.1", 0])
OFFER = dict(kind="offer", version=2, held=100, zones=["a"], kinds=["m2"], known={"seq": 0, "whole": True, "hosts": []})


def say(sock, step, *descriptors):
    """One step of a process that is played: a packet, bytes that are none, an end, or nothing."""
    if step == "close":
        sock.close()
    elif step is not None:
        sock.sendmsg(
            [step if isinstance(step, bytes) else json.dumps(step).encode() + b"\n"],
            [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))] * bool(descriptors),
        )


@pytest.mark.parametrize(
    ("at", "told"),
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
async def test_the_old_process_keeps_serving_whatever_the_new_one_does_at_any_step(at, told, tmp_path, monkeypatch):
    """`at`: how many steps go well; then silence, an end or nonsense."""
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
        for step in [*[HELLO, dict(kind="take")][:at], told]:
            say(new, step)
        if at == 0 and told != "close":  # no offer for one that is not of this dispatcher
            assert await asyncio.get_running_loop().sock_recv(new, 1) == b""
        await until(lambda: first.peers.newer is None and w.dispatcher.accepts_clients)
        assert first.peers.predecessor.state == "over"
        assert (await w.ask(job()))[0] == 200
        assert w.dispatcher.descriptors.limit == w.dispatcher.descriptors.total
        first.close()
        new.close()


@pytest.mark.parametrize(
    ("at", "told"),
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
async def test_a_new_process_serves_whatever_the_old_one_does_at_any_step(at, told, tmp_path, monkeypatch):
    monkeypatch.setattr(rules, "REPLY_TIMEOUT_US", dict.fromkeys(rules.REPLY_TIMEOUT_US, 200_000))
    async with World(serve, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        config, arrived = w.dispatcher.config._replace(listen=("127.0.0.1", w.port)), []
        place = UnixSocketPath(str(tmp_path), f"badgerroad-127.0.0.1-{w.port}.sock")
        place.listen(arrived.append)
        d, ops = assemble(config, TimerWheel(Clock(), IOLoop.current()))
        second = HotRestart(d, d.wheel, str(tmp_path))
        w.begin(second.begin())
        await until(lambda: arrived)
        if at:
            say(arrived[0], dict(OFFER, known=config.cached_endpoints), w.dispatcher.frontend.listener.fileno())
            await until(lambda: second.peers.successor.state == "claiming")
            assert d.descriptors.limit <= d.descriptors.total - 100
            assert not d.accepts_clients
        say(arrived[0], told, w.dispatcher.frontend.listener.fileno())
        await until(lambda: d.accepts_clients)
        assert (second._actions.received_listener is None) == (at == 0 and told != dict(kind="offer", version=2))
        w.dispatcher.close()
        assert (await w.ask(job()))[0] == 200
        assert len(d.decisions.workers) == 1
        for thing in (second, ops, d, place, *arrived):
            thing.close()
