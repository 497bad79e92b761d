"""Tests of the laboratory: experiments, store, comparison, load generator, and short seeded runs against theory."""

import asyncio
import json
import sqlite3
import subprocess
import sys
from pathlib import Path

import numpy as np
import pytest

from badgerroad.emulator.errors import ScenarioError
from badgerroad.lab import compare, experiment, load, paper, report, runner, theory
from badgerroad.lab.policies import POLICIES
from badgerroad.lab.store import Store
from badgerroad.load_balancing import interface
from tests.support.loopback import World, async_test, serve

ROOT = Path(__file__).parents[2]


def write_experiment(tmp_path, **overrides):
    (tmp_path / "s.toml").write_text("name = 's'\nlength_s = 5\n")
    fields = {
        "name": "'e'",
        "scenarios": "['s.toml']",
        "policies": "['heathcrank', 'random']",
        "seeds": "3",
        **overrides,
    }
    (tmp_path / "e.toml").write_text("".join(f"{k} = {v}\n" for k, v in fields.items()))
    return tmp_path / "e.toml"


def test_stopped_and_resumed_experiment_loses_and_repeats_no_run(tmp_path):
    loaded, store = experiment.load(write_experiment(tmp_path)), Store(tmp_path / "lab.sqlite")

    def stop(done, total):
        if done == 2:
            raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        runner.run(loaded, tmp_path, store, 1, stop)
    stored_before = {row[1]: row[2].bytes() for row in store.reports("e")}
    assert len(stored_before) == 2
    assert runner.run(loaded, tmp_path, store, 2) == 4
    assert runner.run(loaded, tmp_path, store, 2) == 0
    rows = store.reports("e")
    assert len(rows) == len({run for _, run, _ in rows}) == 6
    assert all(r.bytes() == stored_before.get(run, r.bytes()) for _, run, r in rows)
    run, folder, stored = store.by_id(rows[0][0])
    assert runner.play(run, Path(folder)).bytes() == stored.bytes()
    written = report.write("e", "about", rows, tmp_path / "out")
    html = written[0].read_text()
    assert "data:image/png;base64," in html
    assert "http" not in html.replace("http-equiv", "")
    assert written[2].read_text().count("\n") == 4


def test_settings_vary_and_errors_name_the_wrong_field(tmp_path):
    path = write_experiment(tmp_path, vary="[{field = 'load.level', values = [0.1, 0.2]}]")
    grid = experiment.runs(experiment.load(path))
    assert len(grid) == 12
    assert experiment.build(tmp_path / "s.toml", grid[-1].settings).load.level == 0.2
    for overrides, field in (
        (dict(vary="[{field = 'load.weight', values = [1]}]"), "load.weight"),
        (dict(policies="['best']"), "policies"),
        (dict(seeds="0"), "seeds"),
        (dict(scenarios="['no.toml']"), "no.toml"),
        (dict(scenario="1"), "scenario"),
    ):
        with pytest.raises(ScenarioError, match=field):
            experiment.load(write_experiment(tmp_path, **overrides))


def test_store_of_another_version_is_rejected(tmp_path):
    connection = sqlite3.connect(tmp_path / "x")
    connection.execute("pragma user_version = 9")
    connection.close()
    with pytest.raises(ValueError, match="version 9"):
        Store(tmp_path / "x")


@pytest.mark.parametrize(
    ("shift", "verdict"), [(0.05, "A is better"), (-0.05, "B is better"), (0.0, "no difference shown")]
)
def test_comparison_pairs_runs_by_seed(tmp_path, shift, verdict):
    loaded, store = experiment.load(write_experiment(tmp_path, seeds="8")), Store(tmp_path / "lab.sqlite")
    runner.run(loaded, tmp_path, store, 4)
    b = store.variants("s/random")
    noise = np.random.default_rng(1).normal(0, 0.01, 9)
    import msgspec

    a = {s: msgspec.structs.replace(r, figure=r.figure + shift + (noise[s] - noise[1:].mean())) for s, r in b.items()}
    c = compare.compare(a, b)
    assert c.seeds == 8
    assert c.verdict == verdict
    assert c.difference == pytest.approx(shift, abs=1e-9)
    with pytest.raises(ValueError, match="seed"):
        compare.compare({1: b[1]}, {2: b[2]})


def test_simulated_waits_match_queueing_theory():
    cases = [c for c in theory.CASES if c.load == 0.3]
    for row in theory.table(0.1, 4, cases, seeds=4):
        assert abs(row.error) < 0.05
        assert row.little == pytest.approx(1.0, abs=1e-3)
    assert theory.erlang_c(1, 0.7) == pytest.approx(0.7)
    assert theory.erlang_c(4, 0.7) == pytest.approx(0.4287, abs=1e-3)


def test_paper_trace_statistics_and_policy_ranking_with_preemption():
    statistics = paper.statistics(count=400_000)
    assert statistics["under 2 KB"] == pytest.approx(0.75, abs=0.01)
    assert statistics["their load"] < 0.12
    assert statistics["over 30 KB"] == pytest.approx(0.03, abs=0.002)
    assert statistics["load over 30 KB"] > 0.5
    slowdowns = {
        policy: sum(loading[0] for loading in paper.simulate(policy, True, 0.0, 1, 20.0))
        for policy in ("JSQ", "LC", "LC*")
    }
    assert slowdowns["LC*"] < slowdowns["LC"] < slowdowns["JSQ"]


@pytest.mark.parametrize("name", sorted(set(POLICIES) - {"naive", "heathcrank"}))
def test_baselines_follow_the_retry_rule(name):
    """After an error, the request whose key is deduplicated by cell is retried in that cell, and not rejected.

    An idempotent request is retried on another worker.
    """
    classes = (
        interface.RequestClass(
            "bundle",
            interface.RetrySemantics.IDEMPOTENCY_KEY,
            10**6,
            10**7,
            deduplication_scope=interface.DeduplicationScope.CELL,
            deduplication_window=10**7,
        ),
        interface.RequestClass("preview", interface.RetrySemantics.IDEMPOTENT, 10**6, 10**7),
    )
    policy = POLICIES[name](interface.Settings(classes, max_attempts=4), 1)
    policy.handle(
        0,
        interface.EndpointList(
            interface.ListScope.COMPLETE, 1, tuple(interface.Endpoint(f"w{n}", cell=n) for n in range(3))
        ),
    )
    for number, cls in ((1, 0), (2, 1)):
        sent = next(
            a for a in policy.handle(1, interface.Request(number, cls, work_hint=5)) if isinstance(a, interface.Send)
        )
        actions = policy.handle(2, interface.AttemptEnded(number, 0, sent.worker, interface.AttemptResult.ERROR))
        retries = [a.worker for a in actions if isinstance(a, interface.Send)]
        assert retries == [sent.worker] if cls == 0 else retries and retries != [sent.worker]
        if cls == 0:  # the second attempt never ran, but the first may have, so the request still stays in its cell
            retries = [
                a
                for a in policy.handle(
                    2, interface.AttemptEnded(number, 1, sent.worker, interface.AttemptResult.CONNECT_FAILED)
                )
                if isinstance(a, interface.Send)
            ]
            assert [a.worker for a in retries] == [sent.worker]
    policy.handle(
        3,
        interface.EndpointList(
            interface.ListScope.INCREMENTAL, 2, (interface.Endpoint(sent.worker, interface.WorkerState.DRAINING),)
        ),
    )
    assert sent.worker not in [
        a.worker
        for n in range(9)
        for a in policy.handle(4, interface.Request(10 + n, 1, work_hint=5))
        if isinstance(a, interface.Send)
    ]


@async_test
async def test_load_generator_measures_latency_from_the_intended_send_time():
    async def slow(world, head, body):
        await asyncio.sleep(0.2)
        return await serve(world, head, body)

    async with World(slow) as world:
        arrivals = [load.Arrival(0.01 * n, "preview", 50.0) for n in range(8)]
        outcomes = await load.send([("127.0.0.1", world.port)], arrivals, "t")
        summary = load.summary(outcomes, 1.0)["classes"]["preview"]
        assert summary["counts"] == {"200": 8}
        assert summary["p50_ms"] >= 190


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["load", "http://10.0.0.1:80"], "URL"),
        (["load", "http://127.0.0.1:1", "--rate", "0"], "--rate"),
        (["load", "http://127.0.0.1:1", "--classes", "x"], "--classes"),
        (["load", "http://127.0.0.1:1", "--seconds", "9999"], "--seconds"),
        (["emulate", "run", str(ROOT / "examples/calm.toml"), "--policy", "best"], "--policy"),
        (["emulate", "run", str(ROOT / "examples/calm.toml"), "--seed", "x"], "--seed"),
        (["lab", "compare", "a/b", "c/d"], "no seed in common"),
        (["lab", "replay", "7"], "no run 7"),
    ],
)
def test_invalid_argument_prints_one_line(arguments, message, tmp_path):
    done = subprocess.run(
        [sys.executable, "-m", "badgerroad", *arguments],
        capture_output=True,
        text=True,
        cwd=tmp_path,
        env={"PYTHONPATH": str(ROOT), "PATH": ""},
    )
    assert done.returncode == 2
    assert message in done.stderr
    assert done.stderr.count("\n") == 1


def test_virtual_run_writes_its_result_and_its_trace(tmp_path):
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "badgerroad",
            "emulate",
            "run",
            str(ROOT / "examples/calm.toml"),
            "--json",
            str(tmp_path / "r.json"),
            "--log",
            str(tmp_path / "log"),
        ],
        capture_output=True,
        text=True,
    )
    result = json.loads((tmp_path / "r.json").read_text())
    assert done.returncode == 0
    assert result["breaches"] == []
    assert result["worth"] > 0.8
    assert result["events"] > 1000
    assert all(f"{result['classes']['bundle'][q]:.0f}" in done.stdout for q in ("p50_ms", "p90_ms", "p99_ms"))
    events = [json.loads(line) for line in (tmp_path / "log").read_text().splitlines()]
    answers = sum(e["event"] == "answer" for e in events)
    assert 0 <= result["tries"] - answers <= 5  # clients that gave up get no answer
