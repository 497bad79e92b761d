"""Reloads of a file that is short of a key: nothing of it is used."""

import asyncio
import copy
import json
import signal
from pathlib import Path

import pytest

from badgerroad.config import ConfigError, check_config, check_reload
from tests.support.loopback import CLASS, SETTINGS, World, async_test, serve
from tests.support.program import program

KEYED = {**CLASS, "semantics": "dedup", "group": "zone", "dedupWindowUs": 5_000_000, "worth": 1.0}
DATA = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "1",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
    "known": {"seq": 0, "whole": True, "hosts": []},
    "settings": {
        **SETTINGS,
        "requestClasses": [{**KEYED, "name": "amend"}, {**KEYED, "name": "issue", "aimStretch": 2.0}],
        "accounts": [{"name": "t1", "quotaPerS": 5.0, "share": 0.5}],
        "deductions": {"crossZone": 0.1, "fleet": 0.0},
    },
}
OPTIONAL = {"settings.requestClasses[issue].aimStretch", "settings.deductions.fleet"}


def paths_of(value, path=""):
    """Yield the path of each key of the file, with a function that removes it from a copy of the file."""
    entries = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, member in entries:
        if isinstance(value, list):
            if isinstance(member, dict):
                yield from paths_of(member, f"{path}[{member['name']}]")
            continue
        key_path = f"{path}.{key}" if path else key
        yield key_path
        if key != "known":
            yield from paths_of(member, key_path)


def member_at(data, path):
    """Return the object that holds the last key of the path, and that key."""
    holder, key = data, None
    for part in path.replace("[", ".[").split("."):
        holder = holder if key is None else holder[key]
        names = [entry.get("name") for entry in holder] if part.startswith("[") else []
        key = names.index(part[1:-1]) if names else part
    return holder, key


def without(path):
    data = copy.deepcopy(DATA)
    holder, key = member_at(data, path)
    del holder[key]
    return data


PATHS = sorted(set(paths_of(DATA)))


def error_of_reload(data):
    """Return the error of a reload with `data`, None if it is accepted; PROXY_* name what the file must not lack."""
    environment = {"PROXY_NAME": "n0", "PROXY_LISTEN": "127.0.0.1:1"}
    try:
        check_reload(data, environment, check_config(DATA, environment))
    except ConfigError as error:
        return str(error)
    return None


@pytest.mark.parametrize("path", [path for path in PATHS if path not in OPTIONAL])
def test_a_file_short_of_a_key_at_any_level_is_rejected_at_a_reload(path):
    """Guards against a default in place of a missing key: requests of a class then ran in two zones."""
    error = error_of_reload(without(path))
    assert error is not None
    assert path.rpartition(".")[2] in error
    assert "\n" not in error


@pytest.mark.parametrize("path", [path for path in PATHS if path not in OPTIONAL and "." in path])
def test_a_key_whose_value_is_null_counts_as_missing(path):
    """Guards against a default in place of a value that is null."""
    data = copy.deepcopy(DATA)
    holder, key = member_at(data, path)
    holder[key] = None
    assert error_of_reload(data) is not None


@pytest.mark.parametrize("path", sorted(OPTIONAL))
def test_a_key_that_the_protocol_lets_the_settings_leave_out_may_vanish(path):
    assert path in PATHS
    assert error_of_reload(without(path)) is None


def with_classes(*classes):
    return {**DATA, "settings": {**DATA["settings"], "requestClasses": list(classes)}}


def test_classes_may_appear_vanish_and_change_their_order():
    new = {**KEYED, "name": "new"}
    amend, issue = DATA["settings"]["requestClasses"]
    for classes in ((issue,), (issue, amend), (new,), (amend, new, issue)):
        assert error_of_reload(with_classes(*classes)) is None
    assert error_of_reload({**DATA, "settings": {**DATA["settings"], "accounts": []}}) is None


@pytest.mark.parametrize("missing", ["group", "dedupWindowUs", "worth"])
def test_a_new_class_short_of_a_key_that_all_present_ones_have_is_rejected(missing):
    """Guards against a class that appears with a default in place of a key, where no former class has its name."""
    new = {key: value for key, value in {**KEYED, "name": "new"}.items() if key != missing}
    assert f"settings.requestClasses[new].{missing}" in error_of_reload(with_classes(new))


@pytest.mark.parametrize("levels", [20, 400, 900])
def test_a_file_with_a_deeply_nested_unknown_key_is_accepted(levels):
    """Guards against a stack overflow in the comparison of the keys."""
    unknown = {}
    for _ in range(levels):
        unknown = {"nested": unknown}
    data = {**DATA, "unknown": unknown}
    assert error_of_reload(data) is None


@pytest.mark.parametrize("value", [None, ""])
def test_a_class_with_an_idempotency_key_needs_its_group_also_at_a_start(value):
    """Guards against the widest group as a default, where no file is in force to compare with."""
    data = copy.deepcopy(DATA)
    data["settings"]["requestClasses"][1]["group"] = value
    with pytest.raises(ConfigError, match="group of class 1 is missing"):
        check_config(data, {})
    with pytest.raises(ConfigError, match="group of class 1 is missing"):
        check_config(without("settings.requestClasses[issue].group"), {})
    data["settings"]["requestClasses"][1]["semantics"] = "retryable"
    assert check_config(data, {})


@async_test
async def test_a_running_process_keeps_its_settings_and_names_the_missing_key_at_sighup(tmp_path):
    """Guards against the same fault in the whole program: the settings in force stay, and the log names the field."""
    config: Path = tmp_path / "c.json"
    async with World(serve, requestClasses=[{**KEYED, "name": "amend"}]) as world, program(world, config) as process:
        data = json.loads(config.read_text())
        del data["settings"]["requestClasses"][0]["group"]
        config.write_text(json.dumps(data))
        process.send_signal(signal.SIGHUP)
        log = b""
        while b"reload_failed" not in log and b"configuration_reloaded" not in log:
            log = await asyncio.wait_for(process.stderr.readline(), 10)
        assert b"reload_failed" in log
        assert b"settings.requestClasses[amend].group" in log
        data["settings"]["requestClasses"][0]["group"] = "cell"
        config.write_text(json.dumps(data))
        process.send_signal(signal.SIGHUP)
        while b"configuration_reloaded" not in log:
            log = await asyncio.wait_for(process.stderr.readline(), 10)
