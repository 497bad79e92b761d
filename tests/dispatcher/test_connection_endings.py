"""The last instant: what ends while something is still owed, and what may no longer begin. Each bad order is forced."""

import asyncio
import json
import socket

import pytest
from tornado.ioloop import IOLoop

from badgerroad.discovery.watch_schedule import TOLD
from badgerroad.frontend.client import ClientConnection
from badgerroad.load_balancing import interface
from tests.support.loopback import SETTINGS, World, async_test, id_of, job, reply, serve, until
from tests.support.policy_driver import SEC

FULL = reply(503, b"", b"Not-Started: 1")


def posts(peer):
    return [id_of(head) for head, _ in peer.got if head.startswith(b"POST")]


class Waits:
    """r1 has been called off at h0, which has not answered the cancel yet; h1 was full; so the next attempt waits for h0."""

    def __init__(self, cls="bundle", **settings):
        self.gate, self.settings, self.cls = asyncio.Event(), settings, cls

    async def first(self, _world, head, _body):
        if head.startswith(b"DELETE"):
            await self.gate.wait()
            return reply(200)
        return reply(202)

    async def __aenter__(self):
        self.world = w = World(self.first, lambda *_: FULL, **self.settings)
        await w.__aenter__()
        await until(lambda: w.dispatcher.ready)
        d = w.dispatcher
        d.decisions.workers["h1"].ejected_until = d.clock.now() + SEC  # so h0 is the first
        self.sock = socket.create_connection(("127.0.0.1", w.port))
        self.sock.sendall(job("r1", self.cls, 5000))
        await until(lambda: d.open_requests and d.open_requests[1].attempts and d.open_requests[1].attempts[0].accepted)
        d.decisions.workers["h1"].ejected_until = 0
        d.backend.cancel_attempt(d.open_requests[1].attempts[0])
        await until(lambda: len(d.open_requests[1].attempts) == 3)
        self.attempt, self.connections = d.open_requests[1].attempts[2], len(w.hosts[0].writers)
        assert (self.attempt.worker, posts(w.hosts[0]), posts(w.hosts[1])) == ("h0", ["r1"], ["r1"])
        return self

    async def __aexit__(self, *_):
        self.sock.close()
        await self.world.__aexit__()

    async def open_gate(self):
        self.gate.set()
        await until(lambda: self.attempt.ended)
        await asyncio.sleep(0.05)
        return posts(self.world.hosts[0])


@pytest.mark.parametrize("change", ["nothing", "draining", "gone", "another start"])
@async_test
async def test_an_attempt_that_waits_is_looked_at_again_before_its_first_byte(change):
    async with Waits() as s:
        w = s.world
        h0, h1 = w.entries
        entries = {
            "nothing": [h0, h1],
            "draining": [{**h0, "health": "draining"}, h1],
            "gone": [h1],
            "another start": [{**h0, "born_ms": 1_700_000_000_000}, h1],
        }[change]
        seen = w.dispatcher.endpoint_watch.version
        w.lists.put_nowait({"seq": 3, "whole": True, "hosts": entries})
        await until(lambda: w.dispatcher.endpoint_watch.version != seen)
        if change == "nothing":
            s.gate.set()
            await until(lambda: posts(w.hosts[0]) == ["r1", "r1"])
            return
        # The start of another process at h0 leaves it a host that the module may choose anew, by what it knows then.
        assert await s.open_gate() == (["r1", "r1"] if change == "another start" else ["r1"])
        assert s.attempt.not_sent
        assert w.dispatcher.decisions.workers["h1"].consecutive_failures == 1
        assert change == "another start" or w.dispatcher.decisions.requests[1].attempt_count <= 3
        if change == "draining":
            assert len(w.hosts[0].writers) == s.connections  # the connection is kept for others


@async_test
async def test_a_repeat_whose_window_has_run_out_while_it_waited_is_not_sent():
    bundle = {**SETTINGS["requestClasses"][1], "dedupWindowUs": 300_000}
    async with Waits(requestClasses=[SETTINGS["requestClasses"][0], bundle]) as s:
        await asyncio.sleep(0.35)
        assert await s.open_gate() == ["r1"]
        assert b" 502 " in await asyncio.get_running_loop().run_in_executor(None, s.sock.recv, 1000)  # no refusal


@async_test
async def test_an_attempt_is_not_begun_for_a_client_whose_end_lies_unread_on_its_socket():
    async with Waits("preview") as s:
        (connection,) = (c for c in s.world.dispatcher.frontend.connections if c.exchange)
        IOLoop.current().remove_handler(connection.stream.fileno())  # the loop does not come to read it
        s.sock.close()
        assert await s.open_gate() == ["r1"]
        assert not s.world.dispatcher.open_requests
        assert connection.closed


@async_test
async def test_a_client_that_sends_much_at_once_and_goes_is_seen_to_have_gone():
    """Behind more than a ring of requests its end was not read, and all of them were sent on."""
    async with World(lambda *_: reply(202)) as w:
        await until(lambda: w.dispatcher.ready)
        sock = socket.create_connection(("127.0.0.1", w.port))
        sock.sendall(b"".join(job(f"r{n}", "preview", 5000, b"x" * 30_000) for n in range(20)))
        await until(lambda: w.hosts[0].got)
        heard, handle = [], w.dispatcher.decisions.handle
        w.dispatcher.decisions.handle = lambda now, e: heard.append(type(e)) or handle(now, e)
        sock.close()
        await until(lambda: not w.dispatcher.has_pending_responses)
        # Seen at once: the attempt has not run out of its time first.
        assert (
            next(e for e in heard if e in (interface.ClientDisconnected, interface.AttemptEnded))
            is interface.ClientDisconnected
        )
        assert posts(w.hosts[0]) == ["r0"]
        assert not w.dispatcher.frontend.connections


@async_test
async def test_a_flood_behind_an_open_request_ends_it():
    async with World(lambda *_: reply(202)) as w:
        reader, writer = await w.connect()
        writer.write(job("r1"))
        writer.write(b"".join(job(f"s{n}", "preview", 5000, b"x" * 60_000) for n in range(400)))  # 24 MB
        assert b" 413 " in await reader.readline()
        await until(lambda: not w.dispatcher.open_requests)
        writer.close()


@async_test
async def test_the_answer_reaches_a_client_whose_next_bytes_come_in_the_moment_of_the_close(monkeypatch):
    """Looked at an instant before, nothing was there; closed over unread bytes, the connection is reset."""
    monkeypatch.setattr(ClientConnection, "peer_has_sent", lambda self: False)
    async with World(lambda *_: reply(202)) as w:
        await until(lambda: w.dispatcher.ready)
        sock = socket.create_connection(("127.0.0.1", w.port))
        sock.sendall(job("r1"))
        await until(lambda: w.dispatcher.open_requests)
        w.dispatcher.frontend.draining = True  # each answer closes
        sock.sendall(job("r2")[:-1])  # in the same turn of the loop as the answer
        w.dispatcher.open_requests[1].exchange.answer(200, b"made")
        loop, got = asyncio.get_running_loop(), b""
        while data := await loop.run_in_executor(None, sock.recv, 65536):  # a reset would raise
            got += data
        assert got.startswith(b"HTTP/1.1 200 ")
        assert got.endswith(b"made")
        sock.close()


@pytest.mark.parametrize("ends", ["drain", "shed", "patience"])
@async_test
async def test_a_request_that_crosses_the_end_of_a_resting_connection_is_not_sent_on(ends, monkeypatch):
    monkeypatch.setattr("badgerroad.frontend.client.MIN_IDLE_BEFORE_EVICTION_US", 0)
    async with World(serve) as w:
        sock = socket.create_connection(("127.0.0.1", w.port))
        sock.sendall(b"GET /-/ready HTTP/1.1\r\n\r\n")
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, sock.recv, 65536)
        (connection,) = w.dispatcher.frontend.connections
        if ends == "shed":
            w.dispatcher.descriptors.used += w.dispatcher.descriptors.limit
        {
            "drain": w.dispatcher.drain,
            "shed": w.dispatcher.frontend.shed_idle_connections,
            "patience": connection._request_timed_out,
        }[ends]()
        sock.sendall(job("r1"))  # before the loop turns again
        assert await loop.run_in_executor(None, sock.recv, 65536) == b""
        await asyncio.sleep(0.05)
        sock.sendall(b"x")  # raises if what crossed was met by a reset
        assert not w.hosts[0].got
        assert not w.dispatcher.open_requests
        sock.close()
        await until(lambda: not w.dispatcher.frontend.connections)


@async_test
async def test_at_the_end_who_waits_in_the_listeners_queue_and_what_has_come_are_answered():
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        resting = await w.connect()
        assert (await w.ask(job("r0"), resting))[0] == 200
        w.dispatcher.drain()
        late = socket.create_connection(("127.0.0.1", w.port))  # accepted by the system, not by the loop
        late.sendall(job("r1"))
        while w.dispatcher.has_pending_responses or not w.dispatcher.end_client_connections():
            await asyncio.sleep(0.005)
        w.dispatcher.close()
        got = await asyncio.get_running_loop().run_in_executor(None, late.recv, 65536)
        assert got.startswith(b"HTTP/1.1 ")
        assert b"Connection: close" in got
        assert await resting[0].read() == b""
        late.close()


@async_test
async def test_a_second_answer_is_not_taken_for_the_answer_to_the_next_attempt():
    """It said of a job that runs that it never ran."""
    gate = asyncio.Event()

    async def full_once(_world, head, _body):
        if id_of(head) == "r1":
            return FULL
        await gate.wait()
        return reply(202)

    unsafe = {**SETTINGS["requestClasses"][0], "semantics": "fragile"}
    async with World(full_once, requestClasses=[unsafe]) as w:
        await until(lambda: w.dispatcher.ready)
        w.begin(w.ask(job("r1", timeout=5000)))
        await until(lambda: w.dispatcher.open_requests and w.dispatcher.open_requests[1].attempts[0].ended)
        w.dispatcher.decisions.workers["h0"].ejected_until = w.dispatcher.decisions.workers[
            "h0"
        ].consecutive_failures = 0
        w.begin(w.ask(job("r2")))
        await until(lambda: posts(w.hosts[0])[-1] == "r2")
        attempt = w.dispatcher.requests_by_id[b"r2"].attempts[0]
        w.hosts[0].writers[0].write(FULL)  # the second answer to r1
        await asyncio.sleep(0.05)
        gate.set()
        await until(lambda: attempt.accepted or attempt.ended)
        assert attempt.accepted
        assert not attempt.ended


@async_test
async def test_a_202_that_lies_unread_when_its_attempt_is_given_up_has_its_host_told():
    gate = asyncio.Event()

    async def takes(_world, head, _body):
        if not head.startswith(b"DELETE"):
            await gate.wait()
        return reply(200 if head.startswith(b"DELETE") else 202)

    async with World(takes) as w:
        await until(lambda: w.dispatcher.ready)
        w.begin(w.ask(job("r1")))
        await until(lambda: w.hosts[0].got)
        attempt = w.dispatcher.open_requests[1].attempts[0]
        w.hosts[0].writers[0].write(reply(202))  # it goes to the socket at once; the loop has not turned since
        w.dispatcher.backend.cancel_attempt(attempt)
        await until(lambda: any(head.startswith(b"DELETE /jobs/r1 ") for head, _ in w.hosts[0].got))


@pytest.mark.parametrize("hears", [True, False])
@async_test
async def test_where_two_may_never_be_out_an_attempt_has_ended_only_when_its_host_has_heard_so(hears, monkeypatch):
    monkeypatch.setattr("badgerroad.backend.cancels.CANCEL_TIMEOUT_US", 100_000)
    gate = asyncio.Event()

    async def slow(_world, head, _body):
        if head.startswith(b"DELETE"):
            await gate.wait()
        return reply(202 if head.startswith(b"POST") else 200)

    async with World(slow, slow, permissions={**SETTINGS["permissions"], "secondCopies": False}) as w:
        await until(lambda: w.dispatcher.ready)
        w.begin(w.ask(job("r1")))
        await until(lambda: w.dispatcher.open_requests and w.dispatcher.open_requests[1].attempts[0].accepted)
        request = w.dispatcher.open_requests[1]
        w.dispatcher.backend.cancel_attempt(request.attempts[0])
        await asyncio.sleep(0.05)
        assert not request.attempts[0].ended
        assert len(request.attempts) == 1
        if hears:
            gate.set()
            await until(lambda: len(request.attempts) == 2)
            assert request.attempts[0].ended
        else:
            await asyncio.sleep(0.2)  # the cancel was lost: it still counts as out
            assert not request.attempts[0].ended
            assert len(request.attempts) == 1
            assert await w.call_back("r1", "done", request.attempts[0].worker, result="made") == 200
            await until(lambda: not w.dispatcher.open_requests)
        gate.set()


@async_test
async def test_what_one_copy_proves_never_to_have_run_does_not_free_another_that_may_have():
    """The first copy was full after the second had been reset: the third went to another cell, where nobody drops it."""
    gate = asyncio.Event()

    async def full_in_the_end(_world, _head, _body):
        await gate.wait()
        return FULL

    async with World(full_in_the_end, lambda *_: None, serve) as w:
        w.entries[2]["block"] = 2
        await until(lambda: w.dispatcher.ready)
        w.lists.put_nowait({"seq": 3, "whole": True, "hosts": w.entries})
        await until(lambda: w.dispatcher.endpoint_watch.version == 3)
        d, decisions = w.dispatcher, w.dispatcher.decisions
        for name in ("h1", "h2"):
            decisions.workers[name].ejected_until = d.clock.now() + SEC  # so h0 is the first
        answer = w.begin(w.ask(job("r1", "bundle", 1500)))
        await until(lambda: w.hosts[0].got)
        decisions.workers["h2"].ejected_until = 0
        decisions.placement.send(decisions.requests[1], decisions.workers["h1"])
        out = decisions.context.take_actions()
        d.perform_actions(out)
        await until(lambda: d.open_requests[1].attempts[1].ended)  # reset: it may have run
        gate.set()
        assert (await answer)[0] in (502, 504)  # a failure: it may have run
        assert not w.hosts[2].got


@async_test
async def test_what_an_agent_gets_after_an_outage_is_known_within_the_time_that_sends_have_to_stop():
    out = asyncio.Event()

    async def script(head, _body):
        while out.is_set():
            await asyncio.sleep(60)  # silent, and what waits is not answered later
        if b"wait=0" in head:
            state = "draining" if w.returned else "ready"
            hosts = [{**e, "health": state} for e in w.entries]
            return reply(200, json.dumps({"seq": 3 if w.returned else 2, "whole": True, "hosts": hosts}).encode())
        await asyncio.sleep(int(head.split(b"wait=")[1].split(b" ")[0]) / 1000)
        return reply(200, b'{"seq": 2, "whole": false, "hosts": []}')

    w = World(serve, discovery=script, registryMode="automatic", siblings=200, index=7)
    w.returned = False
    async with w:
        await until(lambda: w.dispatcher.ready)
        out.set()
        await asyncio.sleep(1.2)
        out.clear()
        w.returned, back = True, w.dispatcher.clock.now()
        await until(lambda: not w.dispatcher.decisions.subsets.ready)
        assert w.dispatcher.clock.now() - back <= SETTINGS["obligations"]["stopSendingWithinUs"]


@async_test
async def test_a_whole_list_that_cannot_be_asked_for_is_a_failure_that_the_module_hears_of(monkeypatch):
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        heard, table = [], w.dispatcher.endpoint_watch
        table.close()  # its watch would fail too, and be heard of
        await until(lambda: not table._watching)
        table.on_update = lambda news, places: heard.append(news.scope)

        def none_left(*_):
            raise OSError(24, "Too many open files")

        monkeypatch.setattr("badgerroad.discovery.endpoint_watch.CallConnection", none_left)
        table.fetch()
        await until(lambda: heard)
        assert heard == [interface.ListScope.FAILED]


@async_test
async def test_clients_that_filled_the_descriptors_while_discovery_was_down_hinder_neither_it_nor_attempts():
    out, returned = asyncio.Event(), asyncio.Event()

    async def script(head, _body):
        await asyncio.sleep(0.05)
        if out.is_set():
            return reply(503)
        return reply(200, json.dumps({"seq": 2 + returned.is_set(), "whole": True, "hosts": w.entries}).encode())

    w = World(serve, limits=224, discovery=script)
    async with w:
        await until(lambda: w.dispatcher.ready)
        out.set()
        idle = [await w.connect() for _ in range(230)]
        for _, writer in idle:
            writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
        await until(lambda: w.dispatcher.descriptors.scarce)
        out.clear()
        returned.set()
        began = w.dispatcher.clock.now()
        await until(lambda: w.dispatcher.endpoint_watch.version == 3)
        assert w.dispatcher.clock.now() - began < TOLD
        assert (await w.ask(job("r1")))[0] == 200
