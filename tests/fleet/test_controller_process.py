"""`badgerroad control` as a process: its start, signals, files, figures, and bad bytes."""

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


def test_the_tables_settings_are_those_of_the_rules():
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
def test_a_wrong_file_is_one_line_that_names_file_and_field(tmp_path, operator, members, quotas, file, field):
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


def test_controllers_may_be_listed_in_the_operators_file_itself(tmp_path):
    (tmp_path / "o.toml").write_text("[fleet]\nname = 'c0'\n[[fleet.controllers]]\n" + MEMBER.split("\n", 1)[1])
    fleet = load(str(tmp_path / "o.toml")).fleet
    settings = table.settings_of(fleet, "o.toml")
    assert table.controller_of(fleet, settings, "o.toml").port == 7000
    assert table.quotas_of(fleet) == {}


def test_without_members_the_field_is_named():
    with pytest.raises(ConfigError, match="o.toml: fleet.controllers"):
        table.settings_of(Fleet(name="c0"), "o.toml")


@asynchronous
async def test_a_taken_address_ends_the_start_with_code_1(tmp_path):
    async with Controllers(tmp_path, 1) as fleet:
        await fleet.start("c0")
        second = await Program.start("control", "--operator", str(tmp_path / "c0.toml"))
        assert await second.ends() == 1
        assert second.lines[-1].startswith("badgerroad: listen: fleet.controllers: 127.0.0.1:")


@asynchronous
async def test_three_controllers_connect_and_leave_on_sigterm_with_code_0(tmp_path):
    async with Controllers(tmp_path, 3) as fleet:
        await fleet.start()
        for name, program in fleet.running.items():
            for other in {*fleet.running} - {name}:
                await program.says(f"fleet_peer_connected .*peer={other} ")
        for program in fleet.running.values():
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGTERM)
        for program in fleet.running.values():
            assert await program.ends() == 0
            await program.says(" stopped ")


@asynchronous
async def test_sighup_rereads_quotas_and_a_wrong_file_changes_nothing(tmp_path):
    async with Controllers(tmp_path, 1, quotas={"a": 5}) as fleet:
        await fleet.start("c0")
        program = fleet.running["c0"]
        fleet.write_quotas({"a": 5, "b": -2})
        program.process.send_signal(signal.SIGHUP)
        line = await program.says("reload_failed")
        assert "quotas.toml" in line
        assert "code=config" in line
        assert not [line for line in program.lines if " info configuration_reloaded " in line]
        fleet.write_quotas({"a": 5, "b": 2.5})
        program.process.send_signal(signal.SIGHUP)
        await program.says(r" configuration_reloaded .*teams=2")
        assert program.process.returncode is None


@asynchronous
async def test_sighup_logs_that_members_and_durations_need_a_restart(tmp_path):
    async with Controllers(tmp_path, 1) as fleet:
        await fleet.start("c0")
        fleet.write_operator("c0", renew_ms=900)
        with (tmp_path / "members.toml").open("a") as members:
            members.write(MEMBER.replace('"c0"', '"c9"').replace('"z"', '"z9"').replace('"r"', '"r9"'))
        fleet.running["c0"].process.send_signal(signal.SIGHUP)
        await fleet.running["c0"].says(r" configuration_reloaded .*teams=1")
        said = [line for line in fleet.running["c0"].lines if "setting_needs_restart" in line]
        assert {re.search(r"field=(\S+)", line)[1] for line in said} == {"fleet.controllers", "fleet.renew_ms"}


@asynchronous
async def test_a_controller_survives_malformed_bytes(tmp_path):
    async with Controllers(tmp_path, 1) as fleet:
        await fleet.start("c0")
        port = fleet.members[0]["port"]
        for data in (b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\2\xc1\xc1", b"\0\0", b"\xff" * 5):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            writer.write_eof()
            await asyncio.wait_for(reader.read(), 30)
            writer.close()
        await fleet.running["c0"].says("code=frame")
        await fleet.running["c0"].says("code=peer")
        fleet.running["c0"].process.send_signal(signal.SIGTERM)
        assert await fleet.running["c0"].ends() == 0


@asynchronous
async def test_figures_are_logged(tmp_path):
    async with Controllers(tmp_path, 1) as fleet:
        await fleet.start("c0")
        line = await fleet.running["c0"].says("fleet_statistics")
        for field in ("owned_shards", "messages_in", "messages_out", "bytes_in", "bytes_out", "unknown", "cpu_s"):
            assert f" {field}=" in line


TEAMS = {f"team{n}": 50 for n in range(40)}  # enough that each shard has some


def owned(program, since):
    """How many shards the last line of figures says, from the `since`-th line of the log on."""
    told = [re.search(r"owned_shards=(\d+)", line) for line in program.lines[since:] if "fleet_statistics" in line]
    return int(told[-1][1]) if told else 0


@asynchronous
async def test_of_a_flood_no_more_is_within_the_quota_than_the_stated_bound(tmp_path):
    async with Controllers(tmp_path, 3, quotas={"a": 20}, **QUICK) as fleet:
        began = time.monotonic()
        await fleet.start()
        askers = [fleet.asker(f"z{n}") for n in range(3)]
        for asker in askers:
            await asker.within("a")
        numbers = [(asker, asker.ask("a")) for _ in range(200) for asker in askers]
        await until(lambda: all(number in asker.over_quota for asker, number in numbers))
        decided = [over for asker in askers for over in asker.over_quota.values()]
        bound = 2 * 3 + 2 * 20 + 20 * (time.monotonic() - began)
        assert 3 <= decided.count(False) <= bound
        assert True in decided


@asynchronous
async def test_a_killed_controllers_shards_are_taken_over_by_the_others(tmp_path):
    async with Controllers(tmp_path, 3, quotas=TEAMS, **QUICK) as fleet:
        await fleet.start()
        asker = fleet.asker("z0")
        for team in TEAMS:
            await asker.within(team)
        await fleet.running["c1"].kill()
        others = {name: (fleet.running[name], len(fleet.running[name].lines)) for name in ("c0", "c2")}

        # The lines of the two come at different times: each must have said something.
        def shards():
            return [owned(*other) for other in others.values()]

        await until(lambda: all(shards()) and sum(shards()) == 19, "all shards owned, by both")
        for team in TEAMS:
            await asker.within(team)


@asynchronous
async def test_a_controller_returns_all_credit_on_sigterm_and_the_others_continue(tmp_path):
    async with Controllers(tmp_path, 3, quotas=TEAMS, **QUICK) as fleet:
        await fleet.start()
        asker = fleet.asker("z0")
        for team in TEAMS:
            await asker.within(team)
        fleet.running["c1"].process.send_signal(signal.SIGTERM)
        assert await fleet.running["c1"].ends() == 0
        assert "all_given_back=True" in await fleet.running["c1"].says(" stopped ")
        for team in TEAMS:
            await asker.within(team)


@asynchronous
async def test_a_team_whose_quota_comes_by_sighup_is_served(tmp_path):
    async with Controllers(tmp_path, 1, quotas={"a": 50}, **QUICK) as fleet:
        await fleet.start()
        asker = fleet.asker("z0")
        await asker.within("a")
        number = asker.ask("b")
        await until(lambda: number in asker.over_quota)
        assert asker.over_quota[number]
        fleet.write_quotas({"a": 50, "b": 50})
        fleet.running["c0"].process.send_signal(signal.SIGHUP)
        await asker.within("b")


@asynchronous
async def test_a_controller_that_reaches_nobody_ends_too(tmp_path):
    async with Controllers(tmp_path, 3) as fleet:
        await fleet.start("c0")
        fleet.running["c0"].process.send_signal(signal.SIGTERM)
        assert await fleet.running["c0"].ends() == 0
        await fleet.running["c0"].says(" stopped ")
