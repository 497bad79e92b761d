"""Reloads while requests are open: settings are never mixed from two files, and a request keeps its own class."""

import asyncio
import json
import sys
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerroad.class_table import ClassTable
from badgerroad.config import ConfigError, check_config, reload
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy
from tests.support.loopback import CLASS, SETTINGS, World, async_test, id_of, job, reply, serve, until

NAMES = st.sampled_from("abcd")
CLASS_LISTS = st.lists(
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


@given(st.lists(st.one_of(CLASS_LISTS, NAMES, st.integers(0, 5)), max_size=40))
def test_an_index_in_use_is_never_assigned_to_another_class(history):
    """`history` holds new lists of classes, requests that arrive (a class name) and requests that end (a number)."""
    current = [interface.RequestClass("a")]
    table, requests = ClassTable(current), []
    for step in history:
        if isinstance(step, list):
            current = step
            returned = table.update(current, {index for index, _ in requests})
            assert returned == tuple(table.request_classes)
        elif isinstance(step, int):
            requests = [request for number, request in enumerate(requests) if number != step]
        elif step.encode() in table.index_by_name:
            index = table.index_by_name[step.encode()]
            requests.append((index, table.request_classes[index]))
        assert {name.decode() for name in table.index_by_name} == {cls.name for cls in current}
        # Each request keeps its class, even if the name of that class now stands for another one.
        assert all(table.request_classes[index] == cls for index, cls in requests)
        assert [table.request_classes[table.index_by_name[cls.name.encode()]] for cls in current] == current
        assert len(table.request_classes) <= len(current) + len(requests) + 4


def settings(*classes, attempts=4, **more):
    return interface.Settings(classes, max_attempts=attempts, cancel_allowed=True, **more)


def test_open_requests_follow_the_new_limit_of_attempts_and_keep_their_class():
    keyed = interface.RequestClass(
        "k", interface.RetrySemantics.IDEMPOTENCY_KEY, deadline=5_000_000, deduplication_window=4_000_000
    )
    policy = DispatchPolicy(settings(keyed, interface.RequestClass("s", deadline=5_000_000)), 1)
    policy.handle(
        0, interface.EndpointList(interface.ListScope.COMPLETE, 1, tuple(interface.Endpoint(w) for w in "abc"))
    )
    sent = {
        number: [
            action
            for action in policy.handle(1, interface.Request(number, number - 1, time_left=5_000_000))
            if isinstance(action, interface.Send)
        ][0]
        for number in (1, 2)
    }
    policy.handle(
        2,
        interface.SettingsChanged(
            settings(interface.RequestClass("s", interface.RetrySemantics.NON_IDEMPOTENT), attempts=1)
        ),
    )
    assert policy.requests[1].request_class == keyed
    assert policy.requests[2].request_class.semantics == interface.RetrySemantics.IDEMPOTENT
    for number in (1, 2):
        actions = policy.handle(
            3, interface.AttemptEnded(number, 0, sent[number].worker, interface.AttemptResult.ERROR)
        )
        assert not [action for action in actions if isinstance(action, interface.Send)]
        assert [action for action in actions if isinstance(action, interface.Reject | interface.Fail)]
    policy.handle(4, interface.Request(3, 0, time_left=5_000_000))
    assert policy.requests[3].request_class.semantics == interface.RetrySemantics.NON_IDEMPOTENT


@given(
    st.lists(
        st.one_of(CLASS_LISTS, st.integers(0, 3), st.integers(4, 7), st.sampled_from([1, 2, 5]).map(str)), max_size=40
    )
)
def test_requests_keep_their_class_and_attempts_stay_within_the_limit_in_force(history):
    """`history` holds new lists of classes, new limits of attempts (text), requests of a class by index (0 to 3), and
    open attempts that fail (4 to 7)."""
    policy = DispatchPolicy(settings(interface.RequestClass("a", deadline=90_000_000, latency_objective=60_000_000)), 1)
    policy.handle(
        0, interface.EndpointList(interface.ListScope.COMPLETE, 1, tuple(interface.Endpoint(w) for w in "abcdef"))
    )
    now, class_of, open_attempts, sent = 0, {}, [], Counter()
    for step in history:
        now += 1_000
        if isinstance(step, list):
            actions = policy.handle(now, interface.SettingsChanged(policy.settings._replace(classes=tuple(step))))
        elif isinstance(step, str):
            actions = policy.handle(now, interface.SettingsChanged(policy.settings._replace(max_attempts=int(step))))
        elif step < 4:
            class_of[len(class_of)] = cls = policy.settings.classes[step % len(policy.settings.classes)]
            actions = policy.handle(
                now, interface.Request(len(class_of) - 1, policy.settings.classes.index(cls), time_left=80_000_000)
            )
        elif open_attempts:
            request, attempt, worker = open_attempts.pop(step % len(open_attempts))
            actions = policy.handle(
                now, interface.AttemptEnded(request, attempt, worker, interface.AttemptResult.ERROR)
            )
        else:
            continue
        for action in actions:
            if isinstance(action, interface.Send):
                open_attempts.append((action.request, sent[action.request], action.worker))
                sent[action.request] += 1
                assert sent[action.request] <= policy.settings.max_attempts
        assert all(request.request_class == class_of[number] for number, request in policy.requests.items())


def test_the_size_of_the_local_subset_follows_the_settings():
    policy = DispatchPolicy(settings(interface.RequestClass("s")), 1)
    policy.handle(
        0,
        interface.EndpointList(interface.ListScope.COMPLETE, 1, tuple(interface.Endpoint(f"w{n}") for n in range(60))),
    )
    assert len(policy.subsets.local) == 60
    policy.handle(1, interface.SettingsChanged(settings(interface.RequestClass("s"), dispatcher_count=40)))
    assert len(policy.subsets.local) == 6


def test_after_a_class_changed_the_timeouts_of_its_earlier_clients_do_not_count():
    """Guards against taking a first request for a retry because clients of the former class had longer timeouts."""
    policy = DispatchPolicy(
        settings(
            interface.RequestClass("s", latency_objective=1_000_000, deadline=9_000_000), clients_mark_retries=False
        ),
        1,
    )
    policy.handle(0, interface.EndpointList(interface.ListScope.COMPLETE, 1, (interface.Endpoint("a"),)))
    policy.handle(1, interface.Request(1, time_left=9_000_000))
    policy.handle(
        2,
        interface.SettingsChanged(
            settings(interface.RequestClass("s", latency_objective=1_000_000, deadline=2_000_000))
        ),
    )
    policy.handle(3, interface.Request(2, time_left=2_000_000))
    assert policy.requests[2].objective_deadline == 3 + 1_000_000


DATA = {"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1", "settings": SETTINGS}


def file_with(**over):
    return json.dumps({**DATA, "settings": {**SETTINGS, **over}}).encode()


@pytest.mark.parametrize(
    ("text", "field"),
    [
        (b"", "not JSON"),
        (json.dumps(DATA).encode()[:-40], "not JSON"),
        (b"[]", "not a JSON object"),
        (json.dumps({k: v for k, v in DATA.items() if k != "settings"}).encode(), "settings"),
        (json.dumps({k: v for k, v in DATA.items() if k != "discovery"}).encode(), "discovery"),
        (file_with(requestClasses=[{**CLASS, "name": "a", "deadlineUs": 0}]), "deadline"),
        (file_with(requestClasses=[{**CLASS, "name": "a", "deadlineUs": -5}]), "deadline"),
        (file_with(requestClasses=[{**CLASS, "name": "a", "deadlineUs": "soon"}]), "deadline"),
        (file_with(requestClasses=[{**CLASS}]), "name"),
        (file_with(requestClasses=[{**CLASS, "name": "a"}, {**CLASS, "name": "a"}]), "class names are not unique"),
        (file_with(requestClasses=[]), "classes"),
        (file_with(requestClasses=7), "settings"),
        (file_with(permissions={**SETTINGS["permissions"], "tryLimit": 0}), "max_attempts"),
        # A key is missing that the settings in force have, though a start would accept the file without it.
        *[
            (json.dumps({**DATA, "settings": {k: v for k, v in SETTINGS.items() if k != missing}}).encode(), missing)
            for missing in ("familyInfo", "report", "zones")
        ],
        (file_with(permissions={k: v for k, v in SETTINGS["permissions"].items() if k != "tryLimit"}), "tryLimit"),
    ],
)
def test_an_invalid_file_is_an_error_of_one_line_that_names_the_field(tmp_path, text, field):
    (tmp_path / "c.json").write_bytes(text)
    with pytest.raises(ConfigError, match=field) as e:
        reload({"PROXY_CONFIG": str(tmp_path / "c.json")}, check_config(DATA, {}))
    assert "\n" not in str(e.value)


@async_test
async def test_a_sighup_during_start_up_does_not_end_the_process_and_is_not_lost():
    code = (
        "import os, signal, sys; sys.argv = ['badgerroad', 'serve']; from badgerroad import __main__, cli, startup_signals\n"
        "cli.main = lambda: [os.kill(os.getpid(), signal.SIGHUP) for _ in '12'] and startup_signals.reload_count\nsys.exit(__main__.start())"
    )
    assert await (await asyncio.create_subprocess_exec(sys.executable, "-c", code)).wait() == 2


@async_test
async def test_classes_are_added_and_removed_while_requests_are_open_on_real_sockets():
    finish = asyncio.Event()

    async def finish_held_later(world, head, body):
        if b"Request-Id: held" not in head:
            return await serve(world, head, body)

        async def finish_job():
            await finish.wait()
            await world.call_back(id_of(head), "done", world.name_of(head), result="made")

        world.begin(finish_job())
        return reply(202)

    async with World(finish_held_later, finish_held_later, ops=True) as w:
        await until(lambda: w.dispatcher.ready)

        def reload_with(*classes, **more):
            present = w.dispatcher.config
            data = {**DATA, "settings": {**SETTINGS, "requestClasses": list(classes), **more}}
            w.dispatcher.reload(check_config(data, {})._replace(listen=present.listen, discovery=present.discovery))

        reload_with({**CLASS, "name": "preview"}, accounts=[{"name": "t"}], report={"names": ["qps"], "via": "probe"})
        assert w.dispatcher.backend.reports.field_names == ["rps"]
        assert (await w.ask(job("r0", "preview")))[0] == 400  # the tenant is missing
        reload_with({**CLASS, "name": "preview"}, {**CLASS, "name": "amend"})
        assert (await w.read_metrics())["answered"] == {"preview": 0, "bundle": 0, "amend": 0}
        held = w.begin(w.ask(job("held1", "preview")))
        await until(lambda: w.hosts[0].received or w.hosts[1].received)
        reload_with(
            {**CLASS, "name": "amend", "semantics": "dedup", "group": "all", "dedupWindowUs": 5_000_000},
            {**CLASS, "name": "bundle"},
        )
        assert (await w.ask(job("r1", "preview")))[0] == 404  # the class is unknown now
        assert (await w.ask(job("r2", "amend")))[0] == 400  # the class is "dedup" now and needs a key
        assert (await w.ask(job("r3", "amend", 5000, b"x", "Idempotency-Key: k")))[0] == 200
        assert (await w.ask(job("r4", "bundle", 5000, b"x", "X: y")))[0] == 200  # the class needs no key any more
        request = w.dispatcher.requests_by_id[b"held1"]
        assert request.request_class.name == "preview"
        finish.set()
        assert (await held)[0] == 200
        reload_with({**CLASS, "name": "preview", "deadlineUs": 1_000_000})
        assert (await w.ask(job("r5", "preview")))[0] == 200
        figures = await w.read_metrics()
        assert figures["answered"] == {"preview": 2, "bundle": 1, "amend": 1}
