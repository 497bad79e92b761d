"""Live runs of the emulator, with real dispatcher processes and with stand-ins that violate the rules."""

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


def run_live(events=(), command=None, logs=None, **overrides):
    s = scenario.Scenario(name="small", event=tuple(events), **{**SMALL, **overrides})
    world = asyncio.run(asyncio.wait_for(play(s, 1, EXAMPLES, logs, command), 60))
    return s, world, report.create(world, 0.0)


def test_live_and_virtual_runs_have_the_same_requests_and_similar_results():
    s, world, result = run_live(clients=scenario.Clients(bad_per_s=5.0))
    virtual_result = virtual.run(s, 1, EXAMPLES)
    assert result.breaches == []
    assert result.jobs == virtual_result.jobs
    assert min(result.served, virtual_result.served) > 0.8 * result.jobs
    assert result.little == pytest.approx(1, abs=0.01)
    assert world.tier.malformed_requests > 5
    assert not world.tier.malformed_served
    assert all(process.peak_mb < 60 and process.starts == 1 for process in world.tier.processes)


def test_scenario_events_on_processes_and_nodes_cause_no_violation():
    events = [
        scenario.Event(at_s=at_s, what=what, for_s=for_s, dispatcher=0 if "dispatcher" in what else -1, nodes=nodes)
        for at_s, what, for_s, nodes in (
            (0.4, "reload_dispatcher", 0, ()),
            (0.5, "silence", 0.8, ("n0000",)),
            (0.8, "restart_node", 0.5, ("n0001",)),
            (0.9, "reset", 0, ("n0000",)),
            (1.0, "drain_node", 0, ("n0002",)),
            (1.5, "discovery_down", 1.0, ()),
            (2.0, "kill_dispatcher", 0, ()),
        )
    ]
    s, world, result = run_live(events, discovery=scenario.Discovery(notice_s=(0.1, 0.3)))
    assert result.breaches == []
    assert result.served > result.jobs / 2
    assert world.tier.processes[0].starts == 2


def test_planned_restart_fails_no_request():
    _, world, result = run_live(
        [scenario.Event(at_s=1, what="restart_dispatcher", dispatcher=0)],
        zone=(scenario.Zone(name="paseo-colon", nodes=3, dispatchers=2, traffic=1.0),),
        length_s=6.0,
    )
    assert result.breaches == []
    assert world.tier.processes[0].starts == 2
    assert result.failed == 0


# This script stands in for a dispatcher and violates one rule, to test that the rule checker detects the violation on
# real sockets.
FAULTY_DISPATCHER = """
import asyncio, json, os, sys
fault = sys.argv[1]
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
        reply = lambda text, code=200: w.write(b"HTTP/1.1 %d X\\r\\nContent-Length: %d\\r\\n\\r\\n" % (code, len(text)) + text)
        if not head.startswith(b"POST /") or b"/v1/job-events" in head:
            reply(b"")
        elif fault == "forged result":
            reply(b"forged")
        elif fault == "two answers":
            reply(b"no", 500); reply(b"no", 500)
        elif fault == "closed connection":
            w.close(); return
        elif fault == "no answer":
            pass
        elif fault == "too many attempts":
            for n in range(3):
                await attempt(n, head, body)
            reply(b"no", 500)
        elif fault == "refusal of an executed request":
            await attempt(0, head, body)
            reply(b"no", 503)
        elif fault == "altered body":
            await attempt(0, head, body[:-1] + b"?")
            reply(b"no", 500)
async def main():
    host, port = os.environ["PROXY_LISTEN"].rsplit(":", 1)
    await asyncio.start_server(client, host, int(port))
    await asyncio.Event().wait()
asyncio.run(main())
"""


@pytest.mark.parametrize(
    ("fault", "rule", "cls"),
    [
        ("forged result", "1", "preview"),
        ("closed connection", "1", "preview"),
        ("two answers", "1", "preview"),
        ("no answer", "1", "preview"),
        ("too many attempts", "2", "fragile"),
        ("refusal of an executed request", "2", "amend"),
        ("altered body", "2", "preview"),
    ],
)
def test_rule_checker_detects_the_violations_of_a_faulty_dispatcher(fault, rule, cls):
    base = next((c for c in SMALL["cls"] if c.name == cls), SMALL["cls"][0])
    request_class = msgspec.structs.replace(
        base, name=cls, deadline_ms=600, semantics="fragile" if cls == "fragile" else base.semantics
    )
    _, _, result = run_live(
        command=[sys.executable, "-c", FAULTY_DISPATCHER, fault],
        cls=(request_class,),
        length_s=0.8,
        clients=scenario.Clients(retries=0, impatient=0.0),
    )
    assert result.breaches_by_rule.get(rule, 0) > 0, json.dumps(result.breaches)


def test_process_that_exceeds_its_memory_limit_or_exits_is_reported_as_crashed():
    for code in ("import time; x = b'x' * 90_000_000; time.sleep(9)", "raise SystemExit(3)"):
        _, world, result = run_live(
            command=[sys.executable, "-c", code],
            length_s=0.3,
            limits=scenario.Limits(memory_mb=60),
            clients=scenario.Clients(retries=0),
            load=scenario.Load(rate_per_s=1.0),
        )
        assert any("crashed" in violation for violation in result.breaches)
        assert not any(os.path.exists(f"/proc/{process.process.pid}") for process in world.tier.processes)
