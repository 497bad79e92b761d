"""The emulator round real dispatcher processes, and dispatchers that break rules on purpose."""

import asyncio
import json
import os
import sys
from pathlib import Path

import msgspec
import pytest

from badgerroad.emulator import report, scenario, virtual
from badgerroad.emulator.live.run import play

EXAMPLES = Path(__file__).parents[2] / "examples"
SMALL = dict(
    zone=(scenario.Zone(name="paseo-colon", nodes=3, traffic=1.0),),
    load=scenario.Load(rate_per_s=8.0),
    length_s=4.0,
    cls=tuple(msgspec.structs.replace(c, work_ms=(40, 60), cv=0.3, deadline_ms=2500) for c in scenario.CLASSES),
)


def live(event=(), command=None, logs=None, **over):
    s = scenario.Scenario(name="small", event=tuple(event), **{**SMALL, **over})
    world = asyncio.run(asyncio.wait_for(play(s, 1, EXAMPLES, logs, command), 60))
    return s, world, report.create(world, 0.0)


def test_a_live_run_and_a_virtual_one_ask_for_the_same_and_serve_alike():
    s, world, r = live(clients=scenario.Clients(bad_per_s=5.0))
    v = virtual.run(s, 1, EXAMPLES)
    assert r.breaches == []
    assert r.jobs == v.jobs
    assert min(r.served, v.served) > 0.8 * r.jobs
    assert r.little == pytest.approx(1, abs=0.01)
    assert world.tier.bad_clients > 5
    assert not world.tier.bad_served
    assert all(p.peak_mb < 60 and p.starts == 1 for p in world.tier.processes)


def test_what_a_scenario_may_do_to_processes_and_nodes_breaks_no_rule():
    hurt = [
        scenario.Event(at_s=a, what=w, for_s=f, dispatcher=0 if "dispatcher" in w else -1, nodes=n)
        for a, w, f, n in (
            (0.4, "reload_dispatcher", 0, ()),
            (0.5, "silence", 0.8, ("n0000",)),
            (0.8, "restart_node", 0.5, ("n0001",)),
            (0.9, "reset", 0, ("n0000",)),
            (1.0, "drain_node", 0, ("n0002",)),
            (1.5, "discovery_down", 1.0, ()),
            (2.0, "kill_dispatcher", 0, ()),
        )
    ]
    s, world, r = live(hurt, discovery=scenario.Discovery(notice_s=(0.1, 0.3)))
    assert r.breaches == []
    assert r.served > r.jobs / 2
    assert world.tier.processes[0].starts == 2


def test_a_planned_restart_loses_nothing_that_came_in_time():
    _, world, r = live(
        [scenario.Event(at_s=1, what="restart_dispatcher", dispatcher=0)],
        zone=(scenario.Zone(name="paseo-colon", nodes=3, dispatchers=2, traffic=1.0),),
        length_s=6.0,
    )
    assert r.breaches == []
    assert world.tier.processes[0].starts == 2
    assert r.failed == 0


# Stand-ins for a dispatcher that breaks a rule, so that the referee has something to catch on real sockets.
ROGUE = """
import asyncio, json, os, sys
how = sys.argv[1]
config = json.load(open(os.environ["PROXY_CONFIG"]))
hosts = [h["dial"].rsplit(":", 1) for h in config["known"]["hosts"]]
async def read(r):
    head = await r.readuntil(b"\\r\\n\\r\\n")
    size = [l for l in head.lower().split(b"\\r\\n") if l.startswith(b"content-length:")]
    return head, await r.readexactly(int(size[0].split(b":")[1])) if size else b""
async def attempt(n, head, body):
    r, w = await asyncio.open_connection(hosts[n][0], int(hosts[n][1]))
    w.write(head + body)
    await read(r)
async def client(r, w):
    while True:
        try:
            head, body = await read(r)
        except asyncio.IncompleteReadError:
            return
        say = lambda text, code=200: w.write(b"HTTP/1.1 %d X\\r\\nContent-Length: %d\\r\\n\\r\\n" % (code, len(text)) + text)
        if not head.startswith(b"POST /") or b"/v1/job-events" in head:
            say(b"")
        elif how == "forges":
            say(b"forged")
        elif how == "answers twice":
            say(b"no", 500); say(b"no", 500)
        elif how == "breaks":
            w.close(); return
        elif how == "says nothing":
            pass
        elif how == "resends":
            for n in range(3):
                await attempt(n, head, body)
            say(b"no", 500)
        elif how == "refuses what ran":
            await attempt(0, head, body)
            say(b"no", 503)
        elif how == "alters":
            await attempt(0, head, body[:-1] + b"?")
            say(b"no", 500)
async def main():
    host, port = os.environ["PROXY_LISTEN"].rsplit(":", 1)
    await asyncio.start_server(client, host, int(port))
    await asyncio.Event().wait()
asyncio.run(main())
"""


@pytest.mark.parametrize(
    ("how", "rule", "cls"),
    [
        ("forges", "1", "preview"),
        ("breaks", "1", "preview"),
        ("answers twice", "1", "preview"),
        ("says nothing", "1", "preview"),
        ("resends", "2", "fragile"),
        ("refuses what ran", "2", "amend"),
        ("alters", "2", "preview"),
    ],
)
def test_a_dispatcher_that_breaks_a_rule_is_caught_from_outside(how, rule, cls):
    base = next((c for c in SMALL["cls"] if c.name == cls), SMALL["cls"][0])
    kind = msgspec.structs.replace(
        base, name=cls, deadline_ms=600, semantics="fragile" if cls == "fragile" else base.semantics
    )
    _, _, r = live(
        command=[sys.executable, "-c", ROGUE, how],
        cls=(kind,),
        length_s=0.8,
        clients=scenario.Clients(retries=0, impatient=0.0),
    )
    assert r.breaches_by_rule.get(rule, 0) > 0, json.dumps(r.breaches)


def test_a_process_over_its_memory_or_gone_by_itself_has_crashed():
    for code in ("import time; x = b'x' * 90_000_000; time.sleep(9)", "raise SystemExit(3)"):
        _, world, r = live(
            command=[sys.executable, "-c", code],
            length_s=0.3,
            limits=scenario.Limits(memory_mb=60),
            clients=scenario.Clients(retries=0),
            load=scenario.Load(rate_per_s=1.0),
        )
        assert any("crashed" in b for b in r.breaches)
        assert not any(os.path.exists(f"/proc/{p.process.pid}") for p in world.tier.processes)
