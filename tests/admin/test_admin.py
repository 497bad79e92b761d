"""The second address: who gets an answer there, and figures that agree with an exact ledger of job scenarios."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
from collections import Counter

import pytest

from badgerroad import serving
from badgerroad.admin import listener as admin_listener
from badgerroad.config import ConfigError, check_config
from badgerroad.errors import ListenError
from tests.support.loopback import CLASS, SETTINGS, World, async_test, id_of, job, read_message, reply, serve, until


async def call(world, text):
    """One call as it stands; status and head, or None if the connection was closed without a word."""
    reader, writer = await asyncio.open_connection("127.0.0.1", world.ops_port)
    writer.write(text)
    try:
        head, _ = await read_message(reader)
        assert await reader.read() == b""
        assert b"Connection: close" in head
        return int(head.split()[1]), head
    except asyncio.IncompleteReadError:
        return None
    finally:
        writer.close()


async def as_told(world, head, _body):
    """Each job ends as its id says."""
    name = id_of(head) if b"Request-Id: " in head else ""
    if head.startswith(b"DELETE"):
        return reply(200)
    if name.startswith("fail"):
        return reply(500)
    if name.startswith("reject"):
        return reply(404)
    if name.startswith("full"):
        return reply(503, b"", b"Not-Started: 1")
    if not name.startswith(("late", "gone")):
        world.begin(world.call_back(name, "done", world.name_of(head), result="made"))
    return reply(202)


@pytest.mark.parametrize("seed", [1, 2])
@async_test
async def test_metrics_agree_with_a_ledger_of_all_ends(seed):
    """Served, failed, rejected, refused, out of time, client gone: each job counts once, under its class."""
    rng, ledger, got = random.Random(seed), Counter(), []
    settings = {"permissions": {**SETTINGS["permissions"], "tryLimit": 2}}
    async with World(as_told, as_told, ops=True, **settings) as w:

        async def play(n):
            cls, end = (
                rng.choice(["preview", "bundle"]),
                rng.choice(["ok", "ok", "fail", "reject", "full", "late", "gone"]),
            )
            connection = await w.connect()
            told = job(f"{end}{n}", cls, 300 if end == "late" else 5000)
            if end == "gone":
                connection[1].write(told)
                await until(lambda: f"gone{n}".encode() in w.dispatcher.requests_by_id)
                connection[1].close()
                ledger["errored", cls] += 1
                return
            status = (await w.ask(told, connection))[0]
            got.append(status)
            ledger[{200: "answered", 503: "deferred", 429: "deferred"}.get(status, "errored"), cls] += 1

        await asyncio.gather(*(play(n) for n in range(60)))
        await until(lambda: not w.dispatcher.open_requests)
        figures = await w.read_metrics()
        for word in ("answered", "deferred", "errored"):
            assert figures[word] == {cls: ledger[word, cls] for cls in ("preview", "bundle")}
        assert {200, 503} < set(got)
        assert sum(ledger.values()) == 60
        jobs = [head for peer in w.hosts for head, _ in peer.received if head.startswith(b"POST")]
        assert figures["sends"] == len(jobs)
        assert figures["current"] == 0


@async_test
async def test_metrics_show_open_requests_and_listed_and_avoided_workers():
    async def breaks(_world, _head, _body):
        return None

    async with World(as_told, breaks, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        first = await w.read_metrics()
        assert first["answered"] == first["errored"] == {"preview": 0, "bundle": 0}
        assert (first["current"], first["cluster_size"], first["cluster_unhealthy"]) == (0, 2, 0)
        assert (first["conf_loaded"], first["conf_invalid"]) == (0, 0)
        w.entries[0]["health"] = "draining"
        await w.lists.put({"seq": 3, "whole": True, "hosts": w.entries})
        await until(lambda: "draining" in w.dispatcher.endpoint_watch.states.values())
        connection = await w.connect()
        connection[1].write(job("late1"))
        await until(lambda: w.hosts[1].received)
        seen = await w.read_metrics()
        assert (seen["current"], seen["cluster_size"]) == (1, 2)
        assert seen["cluster_unhealthy"] >= 1


@async_test
async def test_unknown_paths_methods_and_malformed_calls_get_their_status():
    async with World(serve, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        assert (await call(w, b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200
        assert (await call(w, b"GET /elsewhere HTTP/1.1\r\n\r\n"))[0] == 404
        status, head = await call(w, b"POST /metrics HTTP/1.1\r\nContent-Length: 1\r\n\r\nx")
        assert status == 405
        assert b"Allow: GET" in head
        assert (await call(w, b"GET\r\n\r\n"))[0] == 400
        assert (await call(w, b"GET /ready HTTP/1.1\r\nA: " + b"a" * 20_000))[0] == 431
        w.dispatcher.drain()
        assert (await call(w, b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 503


@async_test
async def test_a_caller_is_answered_beside_any_number_of_silent_ones(monkeypatch):
    """Silent and half calls are bounded in number and time, and take no descriptor of clients."""
    monkeypatch.setattr(admin_listener, "MIN_CLOSE_AGE_US", 1_000_000)
    async with World(serve, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        crowd = [await asyncio.open_connection("127.0.0.1", w.ops_port) for _ in range(2 * admin_listener.MAX_CALLERS)]
        reader, asks = crowd[admin_listener.MAX_CALLERS - 1]
        await until(lambda: len(w.second.callers) == admin_listener.MAX_CALLERS)
        asks.write(b"GET /ready HTTP/1.1\r\n\r\n")  # as many more wait, but it has had no time to speak yet
        assert b" 200 " in (await read_message(reader))[0]
        monkeypatch.setattr(admin_listener, "MIN_CLOSE_AGE_US", 0)
        monkeypatch.setattr(admin_listener, "CALL_TIMEOUT_US", 300_000)
        free = w.dispatcher.descriptors.used
        idle = [await asyncio.open_connection("127.0.0.1", w.ops_port) for _ in range(500)]
        for _, writer in idle[::2]:
            writer.write(b"GET /metr")
        assert (await call(w, b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200
        assert len(w.second.callers) <= admin_listener.MAX_CALLERS
        assert w.dispatcher.descriptors.used == free
        await until(lambda: not w.second.callers)  # out of time


@async_test
async def test_a_saturated_listener_does_not_affect_callers_and_its_rejections_count():
    async with World(serve, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        w.dispatcher.descriptors.used += w.dispatcher.descriptors.limit  # not one is left
        waiting = [await w.connect() for _ in range(5)]
        assert (await call(w, b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200
        assert not w.dispatcher.frontend.connections
        w.dispatcher.descriptors.used -= 0.04 * w.dispatcher.descriptors.limit  # short, but clients are heard
        assert (await w.ask(job(), waiting[0]))[0] == 503
        assert (await w.read_metrics())["deferred"] == {"preview": 1, "bundle": 0}
        w.dispatcher.descriptors.used = 10
        w.dispatcher.decisions.handle = lambda now, event: []  # a job that the module forgets ends at the backstop
        assert (await w.ask(job("r1", "preview", 200)))[0] == 504
        assert (await w.read_metrics())["errored"]["preview"] == 1


@async_test
async def test_sighups_are_handled_from_the_start_and_a_taken_address_ends_with_one_line(tmp_path, monkeypatch, capsys):
    w = World()
    for name, value in (("PROXY_CONFIG", tmp_path / "c.json"), ("TMPDIR", tmp_path)):
        monkeypatch.setenv(name, str(value))
    with socket.create_server(("127.0.0.1", 0)) as one, socket.create_server(("127.0.0.1", 0)) as two:
        listen, w.ops_port = (s.getsockname()[1] for s in (one, two))
        one.close()
        data = {
            "listen": f"127.0.0.1:{listen}",
            "discovery": "127.0.0.1:1",
            "settings": SETTINGS,
            "ops": f"127.0.0.1:{w.ops_port}",
        }
        assert await serving.serve(check_config(data, {}), None, None) == 1
        said = [ln for ln in capsys.readouterr().err.splitlines() if ln.startswith("badgerroad:")]
        assert said == [
            f"badgerroad: listen: ops: 127.0.0.1:{w.ops_port}: Address already in use; {ListenError.remedy}"
        ]
    good = json.dumps({**data, "settings": {**SETTINGS, "requestClasses": [{**CLASS, "name": "other"}]}})
    monkeypatch.setattr(serving.startup_signals, "reload_count", 2)
    (tmp_path / "c.json").write_text(json.dumps(data))
    running, figures = asyncio.ensure_future(serving.serve(check_config(data, {}), None, None)), {}
    for text, name, count in (
        (None, "conf_loaded", 2),
        ("", "conf_invalid", 1),
        (good[:-9], "conf_invalid", 2),
        (good, "conf_loaded", 3),
    ):
        if text is not None:
            (tmp_path / "c.json").write_text(text)
            os.kill(os.getpid(), signal.SIGHUP)
        while figures.get(name) != count:
            await asyncio.sleep(0.02)
            with contextlib.suppress(OSError):
                figures = await w.read_metrics()
    assert figures["conf_invalid"] == 2
    assert set(figures["answered"]) == {"preview", "bundle", "other"}
    os.kill(os.getpid(), signal.SIGTERM)
    assert await running == 0
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))


def test_without_a_second_address_nothing_of_it_is_imported():
    code = (
        "import sys, badgerroad.serving\n"
        "assert not [m for m in sys.modules if m.startswith(('badgerroad.admin', 'badgerroad.hot_restart',"
        " 'badgerroad.multiprocess', 'badgerroad.retry_budget'))]"
    )
    subprocess.run([sys.executable, "-c", code], check=True)


@pytest.mark.parametrize("value", ["nowhere", "127.0.0.1:", "127.0.0.1:99999", ":7"])
def test_a_malformed_second_address_is_named(value):
    data = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}
    with pytest.raises(ConfigError, match="^ops: "):
        check_config({**data, "ops": value}, {})
    with pytest.raises(ConfigError, match="^ops: "):
        check_config({**data, "ops": "127.0.0.1:3"}, {"PROXY_OPS": value})
    assert check_config(data, {}).admin is None
