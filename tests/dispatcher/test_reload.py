"""Settings that change while jobs are open: never a mixture of two files, never a job with another's class."""

import asyncio
import json
import sys
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerroad.class_table import ClassTable
from badgerroad.config import ConfigError, read, reload
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy
from tests.support.loopback import CLASS, SETTINGS, World, async_test, id_of, job, reply, serve, until

NAMES = st.sampled_from("abcd")
FILES = st.lists(
    st.builds(
        lambda name, semantics, deadline: interface.RequestClass(name, semantics, deadline=deadline),
        NAMES,
        st.sampled_from([interface.RetrySemantics.IDEMPOTENT, interface.RetrySemantics.IDEMPOTENCY_KEY]),
        st.sampled_from([1_000_000, 90_000_000]),
    ),
    min_size=1,
    max_size=4,
    unique_by=lambda c: c.name,
)


@given(st.lists(st.one_of(FILES, NAMES, st.integers(0, 5)), max_size=40))
def test_a_place_that_is_in_use_is_never_given_to_another_class(history):
    """`history`: files, jobs that come (a name) and jobs that end (a number)."""
    now = [interface.RequestClass("a")]
    classes, jobs = ClassTable(now), []
    for step in history:
        if isinstance(step, list):
            now = step
            given_back = classes.update(now, {place for place, _ in jobs})
            assert given_back == tuple(classes.request_classes)
        elif isinstance(step, int):
            jobs = [j for n, j in enumerate(jobs) if n != step]
        elif step.encode() in classes.index_by_name:
            place = classes.index_by_name[step.encode()]
            jobs.append((place, classes.request_classes[place]))
        assert {n.decode() for n in classes.index_by_name} == {c.name for c in now}
        assert all(classes.request_classes[p] == c for p, c in jobs)  # its own, though the name may mean another by now
        assert [classes.request_classes[classes.index_by_name[c.name.encode()]] for c in now] == now
        assert len(classes.request_classes) <= len(now) + len(jobs) + 4


def settings(*classes, attempts=4, **more):
    return interface.Settings(classes, max_attempts=attempts, cancel_allowed=True, **more)


def test_the_module_holds_open_jobs_to_the_new_number_of_attempts_and_their_own_class():
    keyed = interface.RequestClass(
        "k", interface.RetrySemantics.IDEMPOTENCY_KEY, deadline=5_000_000, deduplication_window=4_000_000
    )
    d = DispatchPolicy(settings(keyed, interface.RequestClass("s", deadline=5_000_000)), 1)
    d.handle(0, interface.EndpointList(interface.ListScope.COMPLETE, 1, tuple(interface.Endpoint(w) for w in "abc")))
    sent = {
        n: [a for a in d.handle(1, interface.Request(n, n - 1, time_left=5_000_000)) if isinstance(a, interface.Send)][
            0
        ]
        for n in (1, 2)
    }
    d.handle(
        2,
        interface.SettingsChanged(
            settings(interface.RequestClass("s", interface.RetrySemantics.NON_IDEMPOTENT), attempts=1)
        ),
    )
    assert d.requests[1].request_class == keyed
    assert d.requests[2].request_class.semantics == interface.RetrySemantics.IDEMPOTENT
    for n in (1, 2):
        actions = d.handle(3, interface.AttemptEnded(n, 0, sent[n].worker, interface.AttemptResult.ERROR))
        assert not [a for a in actions if isinstance(a, interface.Send)]
        assert [a for a in actions if isinstance(a, interface.Reject | interface.Fail)]
    d.handle(4, interface.Request(3, 0, time_left=5_000_000))
    assert d.requests[3].request_class.semantics == interface.RetrySemantics.NON_IDEMPOTENT


@given(
    st.lists(st.one_of(FILES, st.integers(0, 3), st.integers(4, 7), st.sampled_from([1, 2, 5]).map(str)), max_size=40)
)
def test_jobs_of_any_history_keep_their_class_and_the_attempts_allowed_when_they_are_sent(history):
    """`history`: files, attempts allowed (text), jobs of a class by place (0 to 3), an open attempt that fails (4 to 7)."""
    d = DispatchPolicy(settings(interface.RequestClass("a", deadline=90_000_000, latency_objective=60_000_000)), 1)
    d.handle(0, interface.EndpointList(interface.ListScope.COMPLETE, 1, tuple(interface.Endpoint(w) for w in "abcdef")))
    now, own, out, sent = 0, {}, [], Counter()
    for step in history:
        now += 1_000
        if isinstance(step, list):
            actions = d.handle(now, interface.SettingsChanged(d.settings._replace(classes=tuple(step))))
        elif isinstance(step, str):
            actions = d.handle(now, interface.SettingsChanged(d.settings._replace(max_attempts=int(step))))
        elif step < 4:
            own[len(own)] = cls = d.settings.classes[step % len(d.settings.classes)]
            actions = d.handle(
                now, interface.Request(len(own) - 1, d.settings.classes.index(cls), time_left=80_000_000)
            )
        elif out:
            request, attempt, worker = out.pop(step % len(out))
            actions = d.handle(now, interface.AttemptEnded(request, attempt, worker, interface.AttemptResult.ERROR))
        else:
            continue
        for a in actions:
            if isinstance(a, interface.Send):
                out.append((a.request, sent[a.request], a.worker))
                sent[a.request] += 1
                assert sent[a.request] <= d.settings.max_attempts
        assert all(request.request_class == own[number] for number, request in d.requests.items())


def test_the_workers_to_keep_to_follow_the_settings():
    d = DispatchPolicy(settings(interface.RequestClass("s")), 1)
    d.handle(
        0,
        interface.EndpointList(interface.ListScope.COMPLETE, 1, tuple(interface.Endpoint(f"w{n}") for n in range(60))),
    )
    assert len(d.subsets.local) == 60
    d.handle(1, interface.SettingsChanged(settings(interface.RequestClass("s"), dispatcher_count=40)))
    assert len(d.subsets.local) == 6


def test_what_clients_of_a_changed_class_waited_is_not_held_against_its_new_jobs():
    d = DispatchPolicy(
        settings(
            interface.RequestClass("s", latency_objective=1_000_000, deadline=9_000_000), clients_mark_retries=False
        ),
        1,
    )
    d.handle(0, interface.EndpointList(interface.ListScope.COMPLETE, 1, (interface.Endpoint("a"),)))
    d.handle(1, interface.Request(1, time_left=9_000_000))
    d.handle(
        2,
        interface.SettingsChanged(
            settings(interface.RequestClass("s", latency_objective=1_000_000, deadline=2_000_000))
        ),
    )
    d.handle(3, interface.Request(2, time_left=2_000_000))
    assert d.requests[2].objective_deadline == 3 + 1_000_000


DATA = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1", "settings": SETTINGS}


def broken(**over):
    return json.dumps({**DATA, "settings": {**SETTINGS, **over}}).encode()


@pytest.mark.parametrize(
    ("text", "field"),
    [
        (b"", "not JSON"),
        (json.dumps(DATA).encode()[:-40], "not JSON"),
        (b"[]", "not a JSON object"),
        (json.dumps({k: v for k, v in DATA.items() if k != "settings"}).encode(), "settings"),
        (json.dumps({k: v for k, v in DATA.items() if k != "discovery"}).encode(), "discovery"),
        (broken(requestClasses=[{**CLASS, "name": "a", "deadlineUs": 0}]), "deadline"),
        (broken(requestClasses=[{**CLASS, "name": "a", "deadlineUs": -5}]), "deadline"),
        (broken(requestClasses=[{**CLASS, "name": "a", "deadlineUs": "soon"}]), "deadline"),
        (broken(requestClasses=[{**CLASS}]), "name"),
        (broken(requestClasses=[{**CLASS, "name": "a"}, {**CLASS, "name": "a"}]), "two classes"),
        (broken(requestClasses=[]), "classes"),
        (broken(requestClasses=7), "settings"),
        (broken(permissions={**SETTINGS["permissions"], "tryLimit": 0}), "max_attempts"),
        # Short of a key that the one in force has, though a start would do without it.
        *[
            (json.dumps({**DATA, "settings": {k: v for k, v in SETTINGS.items() if k != gone}}).encode(), gone)
            for gone in ("familyInfo", "report", "zones")
        ],
        (broken(permissions={k: v for k, v in SETTINGS["permissions"].items() if k != "tryLimit"}), "tryLimit"),
    ],
)
def test_a_broken_file_is_one_line_that_names_the_field(tmp_path, text, field):
    (tmp_path / "c.json").write_bytes(text)
    with pytest.raises(ConfigError, match=field) as e:
        reload({"PROXY_CONFIG": str(tmp_path / "c.json")}, read(DATA, {}))
    assert "\n" not in str(e.value)


@async_test
async def test_a_sighup_before_it_is_ready_ends_nothing_and_is_not_lost():
    code = (
        "import os, signal, sys; sys.argv = ['badgerroad', 'serve']; from badgerroad import __main__, cli, startup_signals\n"
        "cli.main = lambda: [os.kill(os.getpid(), signal.SIGHUP) for _ in '12'] and startup_signals.reload_count\nsys.exit(__main__.start())"
    )
    assert await (await asyncio.create_subprocess_exec(sys.executable, "-c", code)).wait() == 2


@async_test
async def test_classes_come_and_go_under_open_jobs_on_real_sockets():
    gate = asyncio.Event()

    async def late(world, head, body):
        if b"Request-Id: held" not in head:
            return await serve(world, head, body)

        async def ends():
            await gate.wait()
            await world.call_back(id_of(head), "done", world.name_of(head), result="made")

        world.begin(ends())
        return reply(202)

    async with World(late, late, ops=True) as w:
        await until(lambda: w.dispatcher.ready)

        def change(*classes, **more):
            fresh = w.dispatcher.config
            data = {**DATA, "settings": {**SETTINGS, "requestClasses": list(classes), **more}}
            w.dispatcher.reload(read(data, {})._replace(listen=fresh.listen, discovery=fresh.discovery))

        change({**CLASS, "name": "preview"}, accounts=[{"name": "t"}], report={"names": ["qps"], "via": "probe"})
        assert w.dispatcher.backend.reports.field_names == ["rps"]
        assert (await w.ask(job("r0", "preview")))[0] == 400  # whose is it?
        change({**CLASS, "name": "preview"}, {**CLASS, "name": "amend"})
        assert (await w.figures())["answered"] == {"preview": 0, "bundle": 0, "amend": 0}
        held = w.begin(w.ask(job("held1", "preview")))
        await until(lambda: w.hosts[0].got or w.hosts[1].got)
        change(
            {**CLASS, "name": "amend", "semantics": "dedup", "group": "all", "dedupWindowUs": 5_000_000},
            {**CLASS, "name": "bundle"},
        )
        assert (await w.ask(job("r1", "preview")))[0] == 404  # as any unknown class
        assert (await w.ask(job("r2", "amend")))[0] == 400  # dedup: a key is needed
        assert (await w.ask(job("r3", "amend", 5000, b"x", "Idempotency-Key: k")))[0] == 200
        assert (await w.ask(job("r4", "bundle", 5000, b"x", "X: y")))[0] == 200  # no longer dedup
        request = w.dispatcher.requests_by_id[b"held1"]
        assert request.request_class.name == "preview"
        gate.set()
        assert (await held)[0] == 200
        change({**CLASS, "name": "preview", "deadlineUs": 1_000_000})
        assert (await w.ask(job("r5", "preview")))[0] == 200
        figures = await w.figures()
        assert figures["answered"] == {"preview": 2, "bundle": 1, "amend": 1}
