"""Scenarios of the program itself, of drains, of limits and of long lists, over loopback."""

import asyncio
import contextlib
import json
import os
import signal
import sys

import pytest

from badgerroad.discovery import endpoint_watch
from badgerroad.dispatcher import shutdown
from badgerroad.frontend import client as frontend_client
from badgerroad.load_balancing import interface
from badgerroad.net.descriptor_budget import DescriptorBudget
from tests.support.loopback import SETTINGS, Peer, World, async_test, host, id_of, job, reply, serve, until
from tests.support.program import program


def silent(_world, head, _body):
    """Takes each job and says nothing more."""
    return reply(200 if head.startswith(b"DELETE") else 202)


@async_test
async def test_the_program_serves_and_leaves_on_sigterm_with_all_answered(tmp_path):
    async with World(serve) as w, program(w, tmp_path / "config.json") as process:
        answer = w.begin(w.ask(job()))
        await until(lambda: w.hosts[0].got)
        process.terminate()
        while process.returncode is None:  # harmless during a drain, to the very end
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGHUP)  # its own send_signal may reap the child behind asyncio's back: 255
            await asyncio.sleep(0.002)
        assert (await answer)[0] == 200
        assert process.returncode == 0


@async_test
async def test_sighup_moves_discovery_and_a_wrong_file_changes_nothing(tmp_path):
    async with World(serve) as w:
        config, new = tmp_path / "config.json", await Peer(w.whole_list).open()
        async with program(w, config, PROXY_DISCOVERY=f"127.0.0.1:{w.discovery.port}") as process:
            good = json.loads(config.read_text())
            for wrong, field in (("{", b"PROXY_CONFIG"), (json.dumps({**good, "discovery": "x"}), b"discovery: ")):
                config.write_text(wrong)
                process.send_signal(signal.SIGHUP)
                line = b""
                while b" error reload_failed" not in line:
                    line = await process.stderr.readline()
                assert field in line
                assert not new.got
                assert (await w.ask(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 200
            config.write_text(json.dumps({**good, "discovery": f"127.0.0.1:{new.port}"}))
            process.send_signal(signal.SIGHUP)
            await until(lambda: len(new.got) == 2)  # the whole list, then the watch
        new.server.close()


@async_test
async def test_a_move_starts_from_the_whole_list_and_asks_again_without_a_failure(monkeypatch):
    monkeypatch.setattr(endpoint_watch, "MOVE_RETRY_DELAY_US", 20_000)
    gate, calls = asyncio.Event(), []

    async def slow(world, head, body):
        await gate.wait()
        return await serve(world, head, body)

    async def new_list(head, body):
        calls.append(head)
        return reply(503) if len(calls) == 1 else await w.whole_list(head, body)

    async with World(slow) as w:
        scopes, handle = [], w.dispatcher.decisions.handle
        w.dispatcher.decisions.handle = lambda now, e: (
            scopes.append(e.scope) if type(e) is interface.EndpointList else None
        ) or handle(now, e)
        answer = w.begin(w.ask(job()))
        await until(lambda: w.hosts[0].got and any(b"index=" in head for head, _ in w.discovery.got))
        peer = await Peer(new_list).open()
        w.dispatcher.reload(w.dispatcher.config._replace(discovery=("127.0.0.1", peer.port)))
        await until(lambda: len(calls) == 3)
        w.lists.put_nowait({})  # the old address finds that nobody waits there any more
        await w.discovery.ended.wait()
        assert [head.split(b" ")[1][:18] for head in calls] == [b"/api/targets"] * 2 + [b"/api/targets?index"]
        assert scopes == [interface.ListScope.COMPLETE, interface.ListScope.COMPLETE]
        assert w.dispatcher.ready
        gate.set()
        assert (await answer)[0] == 200
        peer.server.close()


@async_test
async def test_an_address_that_is_taken_is_one_line_and_an_exit(tmp_path):
    async with World() as w:
        config = tmp_path / "config.json"
        config.write_text(
            json.dumps(
                {"listen": f"127.0.0.1:{w.port}", "discovery": f"127.0.0.1:{w.discovery.port}", "settings": SETTINGS}
            )
        )
        program = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "badgerroad",
            "serve",
            env={**os.environ, "PROXY_CONFIG": str(config)},
            stderr=asyncio.subprocess.PIPE,
        )
        said = (await program.communicate())[1].decode()
        assert program.returncode == 1
        assert "listen" in said
        assert said.count("\n") == 1


@async_test
async def test_a_drain_answers_what_is_taken_and_what_still_comes():
    gate = asyncio.Event()

    async def slow(world, head, body):
        await gate.wait()
        return await serve(world, head, body)

    async with World(slow) as w:
        idle, busy = await w.connect(), w.begin(w.ask(job("r1")))
        await w.ask(b"GET /-/ready HTTP/1.1\r\n\r\n", idle)
        await until(lambda: w.hosts[0].got and len(w.dispatcher.frontend.connections) == 2)
        w.dispatcher.drain()
        assert await idle[0].read() == b""  # closed between requests
        assert (await w.ask(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 503
        late = w.begin(w.ask(job("r2")))
        await until(lambda: len(w.dispatcher.open_requests) == 2)
        assert w.dispatcher.has_pending_responses
        gate.set()
        for status, head, _ in await asyncio.gather(busy, late):
            assert status == 200
            assert b"Connection: close" in head
        await until(lambda: not w.dispatcher.has_pending_responses)


@pytest.mark.parametrize("hint", [10_000_000, 0])
@async_test
async def test_what_comes_after_sigterm_is_answered_before_sigkill_at_once_if_it_cannot_be_done(hint, monkeypatch):
    """On a connection that stays open clients go on sending, up to SIGKILL; their own patience is longer than that."""
    monkeypatch.setattr(shutdown, "LONGEST_DRAIN_US", 0)
    async with World(silent, silent) as w:
        await until(lambda: w.dispatcher.ready)
        fresh, late = await w.connect(), await w.connect()
        await until(lambda: len(w.dispatcher.frontend.connections) == 2)
        before = w.begin(w.ask(job("r0", "preview", 5000)))
        await until(lambda: w.hosts[0].got + w.hosts[1].got)
        began = w.dispatcher.clock.now()
        w.dispatcher.drain()
        status, head, _ = await w.ask(job("r1", "preview", 5000, b"x", f"Work-Hint: {hint}"), fresh)
        took = w.dispatcher.clock.now() - began
        assert status == 503
        assert b"Retry-After" in head
        assert b"Connection: close" in head
        assert len(w.hosts[0].got + w.hosts[1].got) == (1 if hint else 2)
        assert not hint or took < 300_000
        assert took < shutdown.KILL_DELAY_US
        assert not before.done()
        await asyncio.sleep(max(shutdown.KILL_DELAY_US - shutdown.CLIENT_DELIVERY_MARGIN_US - took, 0) / 1e6)
        assert (await w.ask(job("r2"), late))[0] == 503  # in the last moment


@async_test
async def test_near_the_descriptor_limit_the_least_useful_connections_go_first(monkeypatch):
    monkeypatch.setattr(frontend_client, "MIN_IDLE_BEFORE_EVICTION_US", 0)
    async with World(silent, limits=64) as w:
        served = [await w.connect() for _ in range(5)]
        for connection in served:
            await w.ask(b"GET /-/ready HTTP/1.1\r\n\r\n", connection)
        mute = [await w.connect() for _ in range(40)]
        await until(lambda: any(reader.at_eof() for reader, _ in mute))
        assert not any(reader.at_eof() for reader, _ in served)


@async_test
async def test_near_the_descriptor_limit_fresh_connections_stay_and_then_requests_are_refused():
    async with World(silent, limits=64) as w:
        idle = [await w.connect() for _ in range(34)]
        for connection in idle:
            await w.ask(b"GET /-/ready HTTP/1.1\r\n\r\n", connection)
        await asyncio.sleep(frontend_client.MIN_IDLE_BEFORE_EVICTION_US / 1e6 + 0.1)  # they have rested
        idle += [await w.connect() for _ in range(3)]  # each may have a request on its way
        await until(lambda: any(reader.at_eof() for reader, _ in idle))
        assert not any(reader.at_eof() for reader, _ in idle[34:])
        answers = []
        for n in range(60):
            w.begin(w.ask(job(f"r{n}"))).add_done_callback(lambda f: answers.append(f.result()))
        await until(lambda: any(status == 503 and b"Retry-After" in head for status, head, _ in answers))
        assert w.dispatcher.descriptors.used <= w.dispatcher.descriptors.limit


@async_test
async def test_without_a_descriptor_for_the_attempt_the_client_is_refused_and_no_host_struck():
    async with World(serve, serve) as w:
        client = await w.connect()
        await w.ask(b"GET /-/ready HTTP/1.1\r\n\r\n", client)
        w.dispatcher.backend.pools.descriptors = DescriptorBudget(0)
        w.dispatcher.backend.pools.descriptors.used = 8
        status, head, _ = await w.ask(job(), client)
        assert status == 503
        assert b"Retry-After" in head
        assert [x.consecutive_failures for x in w.dispatcher.decisions.subsets.ready] == [0, 0]
        assert not w.hosts[0].got + w.hosts[1].got


@async_test
async def test_clients_cannot_take_the_last_descriptors():
    async with World(serve, limits=224) as w:  # 200 without the reserve
        mute = [await w.connect() for _ in range(220)]
        for _, writer in mute:
            writer.write(b"POST")  # none of them is idle
        descriptors, seen = w.dispatcher.descriptors, []
        for _ in range(60):  # the listener rests and tries again
            await asyncio.sleep(0.005)
            seen.append(descriptors.used)
        assert 170 < max(seen) <= 196
        assert not descriptors.exhausted


@async_test
async def test_half_a_request_does_not_put_off_the_end_of_a_drain():
    async with World(serve) as w:
        _, writer = await w.connect()
        writer.write(job()[:40])
        await until(lambda: any(not c.idle for c in w.dispatcher.frontend.connections))
        w.dispatcher.drain()
        assert not w.dispatcher.has_pending_responses


@async_test
async def test_the_log_says_of_each_attempt_and_answer_what_a_fleet_is_counted_by(capsys):
    async def starts(world, head, _body):
        async def told():
            for state in ("started", "done"):
                await world.call_back(id_of(head), state, "h0", result="made")

        world.begin(told())
        return reply(202)

    async with World(starts, familyInfo={"tellsStart": True, "classStretch": [2.0, 2.0]}) as w:
        for n in (1, 2):
            assert (await w.ask(job(f"r{n}", "preview", 5000, b"x", "Work-Hint: 300000")))[0] == 200
        said = capsys.readouterr().err
    attempts = [
        dict(f.split("=") for f in line.split(" attempt_ended ")[1].split())
        for line in said.splitlines()
        if " attempt_ended " in line
    ]
    assert [(x["result"], x["opened"], x["host"]) for x in attempts] == [("ok", "1", "h0"), ("ok", "0", "h0")]
    assert all(0 <= int(x["start"]) <= int(x["ms"]) for x in attempts)
    assert said.count("hint=300 due=4600") == 2  # an aim of 4 s and twice the hint
    assert "endpoint_list_received scope=cached seq=1 entries=1 hosts=1" in said


@async_test
async def test_an_exception_in_the_module_is_logged_and_its_request_answered(capsys):
    async with World(serve) as w:
        handle = w.dispatcher.decisions.handle

        def broken(now, event):
            if type(event) is interface.Request and event.request == 1:
                raise RuntimeError("boom")
            return handle(now, event)

        w.dispatcher.decisions.handle = broken
        assert (await w.ask(job("r1")))[0] == 500
        said = capsys.readouterr().err
        assert "Traceback" in said
        assert "boom" in said
        assert (await w.ask(job("r2")))[0] == 200


@async_test
async def test_a_probe_brings_the_load_report_in_the_order_of_the_settings():
    async with World(lambda *_: reply(200, b"qps=1.5,inflight=3,x0=2,x1=9")) as w:
        got = []
        w.dispatcher.backend.health_checks.raise_event = got.append
        w.dispatcher.backend.check_health("h0")
        await until(lambda: got)
        assert (got[0].worker, got[0].result, got[0].load_report) == ("h0", interface.AttemptResult.OK, (1.5, 3.0, 2.0))
        assert w.dispatcher.backend.reports.from_text(json.dumps({"load": {"rps": 1, "active": 2, "x0": 0}})) == (
            1,
            2,
            0,
        )


@async_test
async def test_a_refusal_tells_the_client_when_to_come_back():
    classes = [{**SETTINGS["requestClasses"][0], "goalTimeUs": 1000}]
    async with World(requestClasses=classes) as w:  # no host at all: nothing can be in time
        status, head, _ = await w.ask(job())
        assert status == 503
        assert b"Retry-After: 2.000\r\n" in head


@async_test
async def test_a_stopped_process_that_wakes_strikes_no_host_and_sends_nothing_again(tmp_path):
    """SIGSTOP for 1.5 s with an attempt at each of 8 hosts: what they said meanwhile is heard before silence is concluded."""

    async def slow(world, head, body):
        if head.startswith(b"DELETE"):
            return reply(200)
        world.begin(tell(world, id_of(head), world.name_of(head)))
        return reply(202)

    async def tell(world, request_id, name):
        await world.call_back(request_id, "started", name)
        for _ in range(5):
            await asyncio.sleep(0.4)
            await world.call_back(request_id, "running", name, share=0.5)
        await world.call_back(request_id, "done", name, result="made")

    async with (
        World(*[slow] * 8, familyInfo={"tellsStart": True, "progressUs": 400_000}) as w,
        program(w, tmp_path / "config.json") as process,
    ):
        for n in range(2):
            answers = [w.begin(w.ask(job(f"s{n}-{k}"))) for k in range(8)]
            await until(lambda n=n: sum(len(h.got) for h in w.hosts) == 8 * (n + 1))
            await asyncio.sleep(0.5)
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(1.5)  # three reports of progress are missed, as far as the clock shows
            process.send_signal(signal.SIGCONT)
            assert [a[0] for a in await asyncio.gather(*answers)] == [200] * 8
        assert sum(len(h.got) for h in w.hosts) == 16  # no cancel, no second attempt
        seen = b""
        process.terminate()
        while line := await process.stderr.readline():
            seen += line
        attempts = [line for line in seen.splitlines() if b" attempt_ended " in line]
    assert attempts
    assert all(b" result=ok " in line for line in attempts)
    assert seen.count(b" warning event_loop_stalled ") >= 2


@async_test
async def test_a_list_longer_than_other_messages_is_read_and_served_from():
    async with World(serve) as w:
        many = [host(f"x{n:05}", 9, "draining", block=n) for n in range(9_999)]
        await w.lists.put({"seq": 3, "whole": True, "hosts": [*w.entries, *many]})
        await until(lambda: len(w.dispatcher.endpoint_watch.states) == 10_000)
        assert (await w.ask(job()))[0] == 200
        for wrong in (
            {"seq": 4, "whole": True, "hosts": 5},
            {"seq": 4, "whole": True, "hosts": [*many, {"host": "x"}]},
            {"seq": 4, "whole": True, "hosts": [], "pad": "x" * endpoint_watch.WIRE_LIST_LIMIT_BYTES},
        ):
            calls = len(w.discovery.got)
            await w.lists.put(wrong)
            await until(lambda calls=calls: len(w.discovery.got) > calls + 1)  # a failure; the module asks again
            assert (await w.ask(job(f"r{calls}")))[0] == 200
