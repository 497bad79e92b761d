"""The admin listener: which requests get a response, and metrics that agree with an exact count of request outcomes."""

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


async def send_raw(world, text):
    """Send one request as is; returns status and head, or None if the connection was closed without a response."""
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


async def ends_as_id_says(world, head, _body):
    """A worker that ends each job in the way that the prefix of its request ID names."""
    request_id = id_of(head) if b"Request-Id: " in head else ""
    if head.startswith(b"DELETE"):
        return reply(200)
    if request_id.startswith("fail"):
        return reply(500)
    if request_id.startswith("reject"):
        return reply(404)
    if request_id.startswith("full"):
        return reply(503, b"", b"Not-Started: 1")
    if not request_id.startswith(("late", "gone")):
        world.begin(world.call_back(request_id, "done", world.name_of(head), result="made"))
    return reply(202)


@pytest.mark.parametrize("seed", [1, 2])
@async_test
async def test_metrics_agree_with_an_exact_count_of_request_outcomes(seed):
    """Each request is counted once, under its class: served, failed, rejected, refused, timed out or abandoned."""
    rng, expected, statuses = random.Random(seed), Counter(), []
    settings = {"permissions": {**SETTINGS["permissions"], "tryLimit": 2}}
    async with World(ends_as_id_says, ends_as_id_says, ops=True, **settings) as w:

        async def send_request(n):
            cls, outcome = (
                rng.choice(["preview", "bundle"]),
                rng.choice(["ok", "ok", "fail", "reject", "full", "late", "gone"]),
            )
            connection = await w.connect()
            request = job(f"{outcome}{n}", cls, 300 if outcome == "late" else 5000)
            if outcome == "gone":
                connection[1].write(request)
                await until(lambda: f"gone{n}".encode() in w.dispatcher.requests_by_id)
                connection[1].close()
                expected["errored", cls] += 1
                return
            status = (await w.ask(request, connection))[0]
            statuses.append(status)
            expected[{200: "answered", 503: "deferred", 429: "deferred"}.get(status, "errored"), cls] += 1

        await asyncio.gather(*(send_request(n) for n in range(60)))
        await until(lambda: not w.dispatcher.open_requests)
        metrics = await w.read_metrics()
        for metric in ("answered", "deferred", "errored"):
            assert metrics[metric] == {cls: expected[metric, cls] for cls in ("preview", "bundle")}
        assert {200, 503} < set(statuses)
        assert sum(expected.values()) == 60
        attempts = [head for peer in w.hosts for head, _ in peer.received if head.startswith(b"POST")]
        assert metrics["sends"] == len(attempts)
        assert metrics["current"] == 0


@async_test
async def test_metrics_show_open_requests_and_listed_and_avoided_workers():
    async def closes_connection(_world, _head, _body):
        return None

    async with World(ends_as_id_says, closes_connection, ops=True) as w:
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
async def test_unknown_paths_methods_and_malformed_requests_get_their_status():
    async with World(serve, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        assert (await send_raw(w, b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200
        assert (await send_raw(w, b"GET /elsewhere HTTP/1.1\r\n\r\n"))[0] == 404
        status, head = await send_raw(w, b"POST /metrics HTTP/1.1\r\nContent-Length: 1\r\n\r\nx")
        assert status == 405
        assert b"Allow: GET" in head
        assert (await send_raw(w, b"GET\r\n\r\n"))[0] == 400
        assert (await send_raw(w, b"GET /ready HTTP/1.1\r\nA: " + b"a" * 20_000))[0] == 431
        w.dispatcher.drain()
        assert (await send_raw(w, b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 503


@async_test
async def test_request_is_answered_despite_any_number_of_idle_connections(monkeypatch):
    """Idle connections and incomplete requests are limited in number and time, and use no descriptors of clients."""
    monkeypatch.setattr(admin_listener, "MIN_CLOSE_AGE_US", 1_000_000)
    async with World(serve, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        connections = [
            await asyncio.open_connection("127.0.0.1", w.ops_port) for _ in range(2 * admin_listener.MAX_CONNECTIONS)
        ]
        reader, writer = connections[admin_listener.MAX_CONNECTIONS - 1]
        await until(lambda: len(w.second.connections) == admin_listener.MAX_CONNECTIONS)
        # Other connections wait in the backlog, but this connection is too young to be closed for them.
        writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
        assert b" 200 " in (await read_message(reader))[0]
        monkeypatch.setattr(admin_listener, "MIN_CLOSE_AGE_US", 0)
        monkeypatch.setattr(admin_listener, "REQUEST_TIMEOUT_US", 300_000)
        used_before = w.dispatcher.descriptors.used
        idle = [await asyncio.open_connection("127.0.0.1", w.ops_port) for _ in range(500)]
        for _, writer in idle[::2]:
            writer.write(b"GET /metr")
        assert (await send_raw(w, b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200
        assert len(w.second.connections) <= admin_listener.MAX_CONNECTIONS
        assert w.dispatcher.descriptors.used == used_before
        await until(lambda: not w.second.connections)  # the timeout has closed all connections


@async_test
async def test_exhausted_client_descriptors_do_not_affect_admin_requests_and_rejections_are_counted():
    async with World(serve, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        w.dispatcher.descriptors.used += w.dispatcher.descriptors.limit  # no descriptor is left
        waiting = [await w.connect() for _ in range(5)]
        assert (await send_raw(w, b"GET /ready HTTP/1.1\r\n\r\n"))[0] == 200
        assert not w.dispatcher.frontend.connections
        # Descriptors are nearly exhausted: connections of clients are accepted, but their requests are rejected.
        w.dispatcher.descriptors.used -= 0.04 * w.dispatcher.descriptors.limit
        assert (await w.ask(job(), waiting[0]))[0] == 503
        assert (await w.read_metrics())["deferred"] == {"preview": 1, "bundle": 0}
        w.dispatcher.descriptors.used = 10
        w.dispatcher.decisions.handle = lambda now, event: []  # the policy never decides: the deadline timer responds
        assert (await w.ask(job("r1", "preview", 200)))[0] == 504
        assert (await w.read_metrics())["errored"]["preview"] == 1


@async_test
async def test_sighups_are_handled_from_the_start_and_a_used_address_ends_it_with_one_line(
    tmp_path, monkeypatch, capsys
):
    w = World()
    for name, value in (("PROXY_CONFIG", tmp_path / "c.json"), ("TMPDIR", tmp_path)):
        monkeypatch.setenv(name, str(value))
    with socket.create_server(("127.0.0.1", 0)) as freed, socket.create_server(("127.0.0.1", 0)) as taken:
        listen, w.ops_port = (s.getsockname()[1] for s in (freed, taken))
        freed.close()
        data = {
            "listen": f"127.0.0.1:{listen}",
            "discovery": "127.0.0.1:1",
            "settings": SETTINGS,
            "ops": f"127.0.0.1:{w.ops_port}",
        }
        assert await serving.serve(check_config(data, {}), None, None) == 1
        messages = [line for line in capsys.readouterr().err.splitlines() if line.startswith("badgerroad:")]
        assert messages == [
            f"badgerroad: listen: ops: 127.0.0.1:{w.ops_port}: Address already in use; {ListenError.remedy}"
        ]
    changed = json.dumps({**data, "settings": {**SETTINGS, "requestClasses": [{**CLASS, "name": "other"}]}})
    monkeypatch.setattr(serving.startup_signals, "reload_count", 2)
    (tmp_path / "c.json").write_text(json.dumps(data))
    running, figures = asyncio.ensure_future(serving.serve(check_config(data, {}), None, None)), {}
    for text, name, count in (
        (None, "conf_loaded", 2),
        ("", "conf_invalid", 1),
        (changed[:-9], "conf_invalid", 2),
        (changed, "conf_loaded", 3),
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


def test_importing_serving_does_not_import_optional_packages():
    code = (
        "import sys, badgerroad.serving\n"
        "assert not [m for m in sys.modules if m.startswith(('badgerroad.admin', 'badgerroad.hot_restart',"
        " 'badgerroad.multiprocess', 'badgerroad.retry_budget'))]"
    )
    subprocess.run([sys.executable, "-c", code], check=True)


@pytest.mark.parametrize("value", ["nowhere", "127.0.0.1:", "127.0.0.1:99999", ":7"])
def test_malformed_admin_address_is_reported_under_its_setting(value):
    data = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}
    with pytest.raises(ConfigError, match="^ops: "):
        check_config({**data, "ops": value}, {})
    with pytest.raises(ConfigError, match="^ops: "):
        check_config({**data, "ops": "127.0.0.1:3"}, {"PROXY_OPS": value})
    assert check_config(data, {}).admin is None
