"""`badgerroad control` as a process: start, signals, files, statistics and malformed bytes."""

import asyncio
import re
import signal
import subprocess
import sys
import time

import pytest
from fleet_processes import QUICK, Controllers, Program, asynchronous, until

from badgerroad.config import ConfigError
from badgerroad.fleet import table
from badgerroad.fleet.settings import FleetSettings
from badgerroad.operator.schema import Fleet, load


def test_fleet_table_has_the_settings_of_the_rules():
    assert {*Fleet.__struct_fields__} - table.IDENTITY_FIELDS == {*FleetSettings.__struct_fields__} - {"controllers"}


MEMBER = '[[controllers]]\nname = "c0"\nzone = "z"\nregion = "r"\nhost = "127.0.0.1"\nport = 7000\nvoter = true\n'
OPERATOR = '[fleet]\nname = "c0"\nmembers = "members.toml"\nquotas = "quotas.toml"\n'


@pytest.mark.parametrize(
    ("operator", "members", "quotas", "file", "field"),
    [
        ("[log]\n", MEMBER, "", "o.toml", "fleet"),
        (OPERATOR.replace("c0", "c9"), MEMBER, "", "o.toml", "fleet.name"),
        (OPERATOR + "shards = 0\n", MEMBER, "", "o.toml", "fleet.shards"),
        (OPERATOR + "renew_ms = 'x'\n", MEMBER, "", "o.toml", "fleet.renew_ms"),
        (OPERATOR + "quota_lease_ms = 500000\n", MEMBER, "", "o.toml", "fleet.ownership_lease_ms"),
        (OPERATOR + "colour = 1\n", MEMBER, "", "o.toml", "colour"),
        (OPERATOR + "[[fleet.controllers]]\n" + MEMBER.split("\n", 1)[1], MEMBER, "", "o.toml", "fleet.members"),
        (OPERATOR, MEMBER.replace("7000", "70000"), "", "members.toml", "controllers[0].port"),
        (OPERATOR, MEMBER + MEMBER, "", "o.toml", "fleet.controllers.name"),
        (OPERATOR, MEMBER.replace("true", "false"), "", "o.toml", "fleet.controllers.voter"),
        (OPERATOR, MEMBER, "team = -1\n", "quotas.toml", "team: "),
        (OPERATOR, MEMBER, "team = 'x'\n", "quotas.toml", "team: "),
        (OPERATOR, None, "", "members.toml", "No such file"),
        (OPERATOR, MEMBER, None, "quotas.toml", "No such file"),
    ],
)
def test_invalid_file_is_reported_in_one_line_with_file_and_field(tmp_path, operator, members, quotas, file, field):
    for name, text in (("o.toml", operator), ("members.toml", members), ("quotas.toml", quotas)):
        if text is not None:
            (tmp_path / name).write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "badgerroad", "control", "--operator", str(tmp_path / "o.toml")],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert done.stderr.startswith("badgerroad: config: ")
    assert str(tmp_path / file) in done.stderr
    assert field in done.stderr, done.stderr


def test_controllers_may_be_listed_in_the_operators_file(tmp_path):
    (tmp_path / "o.toml").write_text("[fleet]\nname = 'c0'\n[[fleet.controllers]]\n" + MEMBER.split("\n", 1)[1])
    fleet = load(str(tmp_path / "o.toml")).fleet
    settings = table.settings_of(fleet, "o.toml")
    assert table.controller_of(fleet, settings, "o.toml").port == 7000
    assert table.quotas_of(fleet) == {}


def test_missing_members_are_reported_by_field():
    with pytest.raises(ConfigError, match="o.toml: fleet.controllers"):
        table.settings_of(Fleet(name="c0"), "o.toml")


@asynchronous
async def test_address_in_use_ends_the_start_with_code_1(tmp_path):
    async with Controllers(tmp_path, 1) as fleet:
        await fleet.start("c0")
        second = await Program.start("control", "--operator", str(tmp_path / "c0.toml"))
        assert await second.wait_for_exit() == 1
        assert second.lines[-1].startswith("badgerroad: listen: fleet.controllers: 127.0.0.1:")


@asynchronous
async def test_three_controllers_connect_and_exit_on_sigterm_with_code_0(tmp_path):
    async with Controllers(tmp_path, 3) as fleet:
        await fleet.start()
        for name, program in fleet.running.items():
            for other in {*fleet.running} - {name}:
                await program.wait_for_log(f"fleet_peer_connected .*peer={other} ")
        for program in fleet.running.values():
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGTERM)
        for program in fleet.running.values():
            assert await program.wait_for_exit() == 0
            await program.wait_for_log(" stopped ")


@asynchronous
async def test_sighup_reloads_quotas_and_an_invalid_file_changes_nothing(tmp_path):
    async with Controllers(tmp_path, 1, quotas={"a": 5}) as fleet:
        await fleet.start("c0")
        program = fleet.running["c0"]
        fleet.write_quotas({"a": 5, "b": -2})
        program.process.send_signal(signal.SIGHUP)
        line = await program.wait_for_log("reload_failed")
        assert "quotas.toml" in line
        assert "code=config" in line
        assert not [line for line in program.lines if " info configuration_reloaded " in line]
        fleet.write_quotas({"a": 5, "b": 2.5})
        program.process.send_signal(signal.SIGHUP)
        await program.wait_for_log(r" configuration_reloaded .*teams=2")
        assert program.process.returncode is None


@asynchronous
async def test_sighup_logs_that_members_and_durations_need_a_restart(tmp_path):
    async with Controllers(tmp_path, 1) as fleet:
        await fleet.start("c0")
        fleet.write_operator("c0", renew_ms=900)
        with (tmp_path / "members.toml").open("a") as members:
            members.write(MEMBER.replace('"c0"', '"c9"').replace('"z"', '"z9"').replace('"r"', '"r9"'))
        fleet.running["c0"].process.send_signal(signal.SIGHUP)
        await fleet.running["c0"].wait_for_log(r" configuration_reloaded .*teams=1")
        matching = [line for line in fleet.running["c0"].lines if "setting_needs_restart" in line]
        assert {re.search(r"field=(\S+)", line)[1] for line in matching} == {"fleet.controllers", "fleet.renew_ms"}


@asynchronous
async def test_controller_survives_malformed_bytes(tmp_path):
    async with Controllers(tmp_path, 1) as fleet:
        await fleet.start("c0")
        port = fleet.members[0]["port"]
        for data in (b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\2\xc1\xc1", b"\0\0", b"\xff" * 5):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            writer.write_eof()
            await asyncio.wait_for(reader.read(), 30)
            writer.close()
        await fleet.running["c0"].wait_for_log("code=frame")
        await fleet.running["c0"].wait_for_log("code=peer")
        fleet.running["c0"].process.send_signal(signal.SIGTERM)
        assert await fleet.running["c0"].wait_for_exit() == 0


@asynchronous
async def test_statistics_are_logged(tmp_path):
    async with Controllers(tmp_path, 1) as fleet:
        await fleet.start("c0")
        line = await fleet.running["c0"].wait_for_log("fleet_statistics")
        for field in ("owned_shards", "messages_in", "messages_out", "bytes_in", "bytes_out", "unknown", "cpu_s"):
            assert f" {field}=" in line


TEAMS = {f"team{n}": 50 for n in range(40)}  # enough for each shard to have teams


def owned(program, since):
    """Return the owned shards in the last statistics line at or after log line `since`, 0 if there is none."""
    counts = [re.search(r"owned_shards=(\d+)", line) for line in program.lines[since:] if "fleet_statistics" in line]
    return int(counts[-1][1]) if counts else 0


@asynchronous
async def test_burst_stays_within_the_stated_bound(tmp_path):
    async with Controllers(tmp_path, 3, quotas={"a": 20}, **QUICK) as fleet:
        began = time.monotonic()
        await fleet.start()
        lease_clients = [fleet.lease_client(f"z{n}") for n in range(3)]
        for lease_client in lease_clients:
            await lease_client.wait_until_within("a")
        numbers = [(lease_client, lease_client.request("a")) for _ in range(200) for lease_client in lease_clients]
        await until(lambda: all(number in lease_client.over_quota for lease_client, number in numbers))
        decided = [over for lease_client in lease_clients for over in lease_client.over_quota.values()]
        bound = 2 * 3 + 2 * 20 + 20 * (time.monotonic() - began)
        assert 3 <= decided.count(False) <= bound
        assert True in decided


@asynchronous
async def test_shards_of_a_killed_controller_are_taken_over(tmp_path):
    async with Controllers(tmp_path, 3, quotas=TEAMS, **QUICK) as fleet:
        await fleet.start()
        lease_client = fleet.lease_client("z0")
        for team in TEAMS:
            await lease_client.wait_until_within(team)
        await fleet.running["c1"].kill()
        others = {name: (fleet.running[name], len(fleet.running[name].lines)) for name in ("c0", "c2")}

        # The two controllers log their statistics at different times, so both must have logged a line.
        def shards():
            return [owned(*other) for other in others.values()]

        await until(lambda: all(shards()) and sum(shards()) == 19, "all shards owned, by both")
        for team in TEAMS:
            await lease_client.wait_until_within(team)


@asynchronous
async def test_controller_returns_all_credit_on_sigterm_and_the_others_continue(tmp_path):
    async with Controllers(tmp_path, 3, quotas=TEAMS, **QUICK) as fleet:
        await fleet.start()
        lease_client = fleet.lease_client("z0")
        for team in TEAMS:
            await lease_client.wait_until_within(team)
        fleet.running["c1"].process.send_signal(signal.SIGTERM)
        assert await fleet.running["c1"].wait_for_exit() == 0
        assert "all_given_back=True" in await fleet.running["c1"].wait_for_log(" stopped ")
        for team in TEAMS:
            await lease_client.wait_until_within(team)


@asynchronous
async def test_team_whose_quota_is_added_by_sighup_is_served(tmp_path):
    async with Controllers(tmp_path, 1, quotas={"a": 50}, **QUICK) as fleet:
        await fleet.start()
        lease_client = fleet.lease_client("z0")
        await lease_client.wait_until_within("a")
        number = lease_client.request("b")
        await until(lambda: number in lease_client.over_quota)
        assert lease_client.over_quota[number]
        fleet.write_quotas({"a": 50, "b": 50})
        fleet.running["c0"].process.send_signal(signal.SIGHUP)
        await lease_client.wait_until_within("b")


@asynchronous
async def test_controller_without_reachable_peers_exits_on_sigterm(tmp_path):
    async with Controllers(tmp_path, 3) as fleet:
        await fleet.start("c0")
        fleet.running["c0"].process.send_signal(signal.SIGTERM)
        assert await fleet.running["c0"].wait_for_exit() == 0
        await fleet.running["c0"].wait_for_log(" stopped ")
