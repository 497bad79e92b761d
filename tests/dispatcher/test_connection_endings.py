"""Races at the end of connections, attempts and processes: what is still answered, and what is no longer sent. Each
test forces the order of events that could go wrong."""

import asyncio
import json
import socket

import pytest

from badgerroad.discovery.watch_schedule import NOTIFICATION_DEADLINE_US
from badgerroad.frontend.client import ClientConnection
from badgerroad.load_balancing import interface
from tests.support.loopback import SETTINGS, World, async_test, id_of, job, reply, serve, until
from tests.support.policy_driver import SEC

BUSY = reply(503, b"", b"Not-Started: 1")


def posted_ids(peer):
    return [id_of(head) for head, _ in peer.received if head.startswith(b"POST")]


class WaitingAttempt:
    """An attempt that waits to be sent: r1 was cancelled at h0, which has not answered the cancel yet, and rejected by
    h1 as busy, so the third attempt waits for h0."""

    def __init__(self, cls="bundle", **settings):
        self.answer_cancel, self.settings, self.cls = asyncio.Event(), settings, cls

    async def delay_cancel(self, _world, head, _body):
        if head.startswith(b"DELETE"):
            await self.answer_cancel.wait()
            return reply(200)
        return reply(202)

    async def __aenter__(self):
        self.world = w = World(self.delay_cancel, lambda *_: BUSY, **self.settings)
        await w.__aenter__()
        await until(lambda: w.dispatcher.ready)
        dispatcher = w.dispatcher
        # Ejects h1, so that the first attempt goes to h0.
        dispatcher.decisions.workers["h1"].ejected_until = dispatcher.clock.now() + SEC
        self.sock = socket.create_connection(("127.0.0.1", w.port))
        self.sock.sendall(job("r1", self.cls, 5000))
        await until(
            lambda: (
                dispatcher.open_requests
                and dispatcher.open_requests[1].attempts
                and dispatcher.open_requests[1].attempts[0].accepted
            )
        )
        dispatcher.decisions.workers["h1"].ejected_until = 0
        dispatcher.backend.cancel_attempt(dispatcher.open_requests[1].attempts[0])
        await until(lambda: len(dispatcher.open_requests[1].attempts) == 3)
        self.attempt, self.connections = dispatcher.open_requests[1].attempts[2], len(w.hosts[0].writers)
        assert (self.attempt.worker, posted_ids(w.hosts[0]), posted_ids(w.hosts[1])) == ("h0", ["r1"], ["r1"])
        return self

    async def __aexit__(self, *_):
        self.sock.close()
        await self.world.__aexit__()

    async def release(self):
        """Let h0 answer the cancel; returns the ids of the requests that h0 was sent."""
        self.answer_cancel.set()
        await until(lambda: self.attempt.ended)
        await asyncio.sleep(0.05)
        return posted_ids(self.world.hosts[0])


@pytest.mark.parametrize("change", ["nothing", "draining", "gone", "another start"])
@async_test
async def test_a_waiting_attempt_is_checked_again_before_its_first_byte(change):
    async with WaitingAttempt() as waiting:
        w = waiting.world
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
            waiting.answer_cancel.set()
            await until(lambda: posted_ids(w.hosts[0]) == ["r1", "r1"])
            return
        # After a restart of h0 the policy may choose it again, for another attempt.
        assert await waiting.release() == (["r1", "r1"] if change == "another start" else ["r1"])
        assert waiting.attempt.not_sent
        assert w.dispatcher.decisions.workers["h1"].consecutive_failures == 1
        assert change == "another start" or w.dispatcher.decisions.requests[1].attempt_count <= 3
        if change == "draining":
            assert len(w.hosts[0].writers) == waiting.connections  # the connection is kept for other requests


@async_test
async def test_a_retry_whose_deduplication_window_ends_while_it_waits_is_not_sent():
    bundle = {**SETTINGS["requestClasses"][1], "dedupWindowUs": 300_000}
    async with WaitingAttempt(requestClasses=[SETTINGS["requestClasses"][0], bundle]) as waiting:
        await asyncio.sleep(0.35)
        assert await waiting.release() == ["r1"]
        # 502 rather than 503 with Retry-After: an attempt may have run.
        assert b" 502 " in await asyncio.get_running_loop().run_in_executor(None, waiting.sock.recv, 1000)


@async_test
async def test_an_attempt_is_not_sent_for_a_client_whose_disconnection_has_not_been_read():
    async with WaitingAttempt("preview") as waiting:
        (connection,) = (c for c in waiting.world.dispatcher.frontend.connections if c.exchange)
        connection.stream.ignore_reads()  # the event loop does not read the socket
        waiting.sock.close()
        assert await waiting.release() == ["r1"]
        assert not waiting.world.dispatcher.open_requests
        assert connection.closed


@async_test
async def test_the_disconnection_of_a_client_that_pipelines_many_requests_is_noticed():
    """Guards against not reading the end of a connection behind more requests than the ring buffer holds; all of them
    were sent to workers."""
    async with World(lambda *_: reply(202)) as w:
        await until(lambda: w.dispatcher.ready)
        sock = socket.create_connection(("127.0.0.1", w.port))
        sock.sendall(b"".join(job(f"r{n}", "preview", 5000, b"x" * 30_000) for n in range(20)))
        await until(lambda: w.hosts[0].received)
        event_types, handle = [], w.dispatcher.decisions.handle
        w.dispatcher.decisions.handle = lambda now, event: event_types.append(type(event)) or handle(now, event)
        sock.close()
        await until(lambda: not w.dispatcher.has_pending_responses)
        # The disconnection is noticed at once, before the attempt could time out.
        assert (
            next(kind for kind in event_types if kind in (interface.ClientDisconnected, interface.AttemptEnded))
            is interface.ClientDisconnected
        )
        assert posted_ids(w.hosts[0]) == ["r0"]
        assert not w.dispatcher.frontend.connections


@async_test
async def test_too_much_pipelined_data_behind_an_open_request_ends_the_request():
    async with World(lambda *_: reply(202)) as w:
        reader, writer = await w.connect()
        writer.write(job("r1"))
        writer.write(b"".join(job(f"s{n}", "preview", 5000, b"x" * 60_000) for n in range(400)))  # 24 MB
        assert b" 413 " in await reader.readline()
        await until(lambda: not w.dispatcher.open_requests)
        writer.close()


@async_test
async def test_the_answer_reaches_a_client_whose_next_bytes_arrive_as_the_connection_is_closed(monkeypatch):
    """Closing a socket with unread bytes resets the connection, and the client loses its answer. The bytes may arrive
    after the check for them and before the close."""
    monkeypatch.setattr(ClientConnection, "peer_has_sent", lambda self: False)
    async with World(lambda *_: reply(202)) as w:
        await until(lambda: w.dispatcher.ready)
        sock = socket.create_connection(("127.0.0.1", w.port))
        sock.sendall(job("r1"))
        await until(lambda: w.dispatcher.open_requests)
        w.dispatcher.frontend.draining = True  # each answer closes its connection
        sock.sendall(job("r2")[:-1])  # arrives in the same iteration of the event loop as the answer
        w.dispatcher.open_requests[1].exchange.answer(200, b"made")
        loop, received = asyncio.get_running_loop(), b""
        while data := await loop.run_in_executor(None, sock.recv, 65536):  # a reset would raise
            received += data
        assert received.startswith(b"HTTP/1.1 200 ")
        assert received.endswith(b"made")
        sock.close()


@pytest.mark.parametrize("cause", ["drain", "shed", "timeout"])
@async_test
async def test_a_request_that_arrives_as_an_idle_connection_is_closed_is_not_sent(cause, monkeypatch):
    monkeypatch.setattr("badgerroad.frontend.client.MIN_IDLE_BEFORE_EVICTION_US", 0)
    async with World(serve) as w:
        sock = socket.create_connection(("127.0.0.1", w.port))
        sock.sendall(b"GET /-/ready HTTP/1.1\r\n\r\n")
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, sock.recv, 65536)
        (connection,) = w.dispatcher.frontend.connections
        if cause == "shed":
            w.dispatcher.descriptors.used += w.dispatcher.descriptors.limit
        {
            "drain": w.dispatcher.drain,
            "shed": w.dispatcher.frontend.shed_idle_connections,
            "timeout": connection._request_timed_out,
        }[cause]()
        sock.sendall(job("r1"))  # before the next iteration of the event loop
        assert await loop.run_in_executor(None, sock.recv, 65536) == b""
        await asyncio.sleep(0.05)
        sock.sendall(b"x")  # raises if the connection was reset because of the request
        assert not w.hosts[0].received
        assert not w.dispatcher.open_requests
        sock.close()
        await until(lambda: not w.dispatcher.frontend.connections)


@async_test
async def test_at_a_shutdown_clients_in_the_listeners_queue_are_answered():
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        idle = await w.connect()
        assert (await w.ask(job("r0"), idle))[0] == 200
        w.dispatcher.drain()
        late = socket.create_connection(("127.0.0.1", w.port))  # accepted by the kernel, not yet by the event loop
        late.sendall(job("r1"))
        while w.dispatcher.has_pending_responses or not w.dispatcher.end_client_connections():
            await asyncio.sleep(0.005)
        w.dispatcher.close()
        received = await asyncio.get_running_loop().run_in_executor(None, late.recv, 65536)
        assert received.startswith(b"HTTP/1.1 ")
        assert b"Connection: close" in received
        assert await idle[0].read() == b""
        late.close()


@async_test
async def test_at_a_shutdown_a_client_that_has_just_connected_has_time_to_send_its_request():
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        w.dispatcher.drain()
        late = await w.connect()
        assert not w.dispatcher.end_client_connections()
        late[1].write(job("r1"))
        while w.dispatcher.has_pending_responses or not w.dispatcher.end_client_connections():
            await asyncio.sleep(0.005)
        assert (await late[0].read()).startswith(b"HTTP/1.1 200 ")


@async_test
async def test_a_second_answer_is_not_taken_for_the_answer_to_the_next_attempt():
    """Otherwise a second Not-Started answer would report a running job as never started, and the job would run
    twice."""
    accept = asyncio.Event()

    async def reject_r1(_world, head, _body):
        if id_of(head) == "r1":
            return BUSY
        await accept.wait()
        return reply(202)

    unsafe = {**SETTINGS["requestClasses"][0], "semantics": "fragile"}
    async with World(reject_r1, requestClasses=[unsafe]) as w:
        await until(lambda: w.dispatcher.ready)
        w.begin(w.ask(job("r1", timeout=5000)))
        await until(lambda: w.dispatcher.open_requests and w.dispatcher.open_requests[1].attempts[0].ended)
        w.dispatcher.decisions.workers["h0"].ejected_until = w.dispatcher.decisions.workers[
            "h0"
        ].consecutive_failures = 0
        w.begin(w.ask(job("r2")))
        await until(lambda: posted_ids(w.hosts[0])[-1] == "r2")
        attempt = w.dispatcher.requests_by_id[b"r2"].attempts[0]
        w.hosts[0].writers[0].write(BUSY)  # the second answer to r1
        await asyncio.sleep(0.05)
        accept.set()
        await until(lambda: attempt.accepted or attempt.ended)
        assert attempt.accepted
        assert not attempt.ended


@async_test
async def test_an_attempt_cancelled_while_its_202_is_unread_is_cancelled_at_the_worker():
    accept = asyncio.Event()

    async def accept_later(_world, head, _body):
        if not head.startswith(b"DELETE"):
            await accept.wait()
        return reply(200 if head.startswith(b"DELETE") else 202)

    async with World(accept_later) as w:
        await until(lambda: w.dispatcher.ready)
        w.begin(w.ask(job("r1")))
        await until(lambda: w.hosts[0].received)
        attempt = w.dispatcher.open_requests[1].attempts[0]
        w.hosts[0].writers[0].write(reply(202))  # in the socket at once; the event loop has not read it yet
        w.dispatcher.backend.cancel_attempt(attempt)
        await until(lambda: any(head.startswith(b"DELETE /jobs/r1 ") for head, _ in w.hosts[0].received))


@pytest.mark.parametrize("cancel_answered", [True, False])
@async_test
async def test_without_hedging_an_attempt_ends_only_when_its_worker_has_confirmed_the_cancel(
    cancel_answered, monkeypatch
):
    monkeypatch.setattr("badgerroad.backend.cancels.CANCEL_TIMEOUT_US", 100_000)
    answer_cancel = asyncio.Event()

    async def delay_cancel(_world, head, _body):
        if head.startswith(b"DELETE"):
            await answer_cancel.wait()
        return reply(202 if head.startswith(b"POST") else 200)

    async with World(delay_cancel, delay_cancel, permissions={**SETTINGS["permissions"], "secondCopies": False}) as w:
        await until(lambda: w.dispatcher.ready)
        w.begin(w.ask(job("r1")))
        await until(lambda: w.dispatcher.open_requests and w.dispatcher.open_requests[1].attempts[0].accepted)
        request = w.dispatcher.open_requests[1]
        w.dispatcher.backend.cancel_attempt(request.attempts[0])
        await asyncio.sleep(0.05)
        assert not request.attempts[0].ended
        assert len(request.attempts) == 1
        if cancel_answered:
            answer_cancel.set()
            await until(lambda: len(request.attempts) == 2)
            assert request.attempts[0].ended
        else:
            await asyncio.sleep(0.2)  # the cancel timed out, so the attempt still counts as running
            assert not request.attempts[0].ended
            assert len(request.attempts) == 1
            assert await w.call_back("r1", "done", request.attempts[0].worker, result="made") == 200
            await until(lambda: not w.dispatcher.open_requests)
        answer_cancel.set()


@async_test
async def test_a_rejected_attempt_does_not_allow_a_retry_while_another_one_may_have_run():
    """The first attempt is rejected after the connection of the second was reset. A third attempt in another cell would
    not be recognised there as a duplicate of the second, which may have run."""
    reject = asyncio.Event()

    async def reject_later(_world, _head, _body):
        await reject.wait()
        return BUSY

    async with World(reject_later, lambda *_: None, serve) as w:
        w.entries[2]["block"] = 2
        await until(lambda: w.dispatcher.ready)
        w.lists.put_nowait({"seq": 3, "whole": True, "hosts": w.entries})
        await until(lambda: w.dispatcher.endpoint_watch.version == 3)
        dispatcher, decisions = w.dispatcher, w.dispatcher.decisions
        for name in ("h1", "h2"):
            decisions.workers[name].ejected_until = dispatcher.clock.now() + SEC  # so the first attempt goes to h0
        answer = w.begin(w.ask(job("r1", "bundle", 1500)))
        await until(lambda: w.hosts[0].received)
        decisions.workers["h2"].ejected_until = 0
        decisions.placement.send(decisions.requests[1], decisions.workers["h1"])
        actions = decisions.context.take_actions()
        dispatcher.perform_actions(actions)
        await until(lambda: dispatcher.open_requests[1].attempts[1].ended)  # its connection was reset: it may have run
        reject.set()
        assert (await answer)[0] in (502, 504)  # a failure rather than a rejection, because an attempt may have run
        assert not w.hosts[2].received


@async_test
async def test_a_change_that_an_agent_receives_after_an_outage_is_known_before_sends_must_stop():
    agent_down = asyncio.Event()

    async def script(head, _body):
        while agent_down.is_set():
            await asyncio.sleep(60)  # calls made during the outage are never answered
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
        agent_down.set()
        await asyncio.sleep(1.2)
        agent_down.clear()
        w.returned, returned_at = True, w.dispatcher.clock.now()
        await until(lambda: not w.dispatcher.decisions.subsets.ready)
        assert w.dispatcher.clock.now() - returned_at <= SETTINGS["obligations"]["stopSendingWithinUs"]


@async_test
async def test_a_list_that_cannot_be_requested_is_reported_as_a_failed_update(monkeypatch):
    async with World(serve) as w:
        await until(lambda: w.dispatcher.ready)
        scopes, watch = [], w.dispatcher.endpoint_watch
        watch.on_update = lambda update, addresses: scopes.append(update.scope)

        def no_descriptor_left(*_):
            raise OSError(24, "Too many open files")

        monkeypatch.setattr("badgerroad.discovery.discovery_calls.CallConnection", no_descriptor_left)
        for writer in w.discovery.writers:
            writer.close()
        await until(lambda: scopes)
        assert scopes == [interface.ListScope.FAILED]


@async_test
async def test_clients_that_used_up_the_descriptors_during_an_outage_of_discovery_block_neither_it_nor_attempts():
    discovery_down, returned = asyncio.Event(), asyncio.Event()

    async def script(head, _body):
        await asyncio.sleep(0.05)
        if discovery_down.is_set():
            return reply(503)
        return reply(200, json.dumps({"seq": 2 + returned.is_set(), "whole": True, "hosts": w.entries}).encode())

    w = World(serve, limits=224, discovery=script)
    async with w:
        await until(lambda: w.dispatcher.ready)
        discovery_down.set()
        idle = [await w.connect() for _ in range(230)]
        for _, writer in idle:
            writer.write(b"GET /-/ready HTTP/1.1\r\n\r\n")
        await until(lambda: w.dispatcher.descriptors.scarce)
        discovery_down.clear()
        returned.set()
        returned_at = w.dispatcher.clock.now()
        await until(lambda: w.dispatcher.endpoint_watch.version == 3)
        assert w.dispatcher.clock.now() - returned_at < NOTIFICATION_DEADLINE_US
        assert (await w.ask(job("r1")))[0] == 200
