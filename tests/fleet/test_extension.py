"""Leases attached to real dispatchers, with real or scripted controllers: each request gets one final answer."""

import asyncio
import json
import os
import signal
import subprocess
import sys

import pytest
from fleet_processes import QUICK, Controllers, Program, ScriptedController, asynchronous, free_ports, until
from tornado.ioloop import IOLoop

from badgerroad.fleet import joining, table
from badgerroad.fleet.errors import FleetNotPermittedError
from badgerroad.fleet.extension import QuotaExtension
from badgerroad.load_balancing import interface
from badgerroad.net.timer_wheel import Clock, TimerWheel
from badgerroad.operator.schema import load
from tests.support.loopback import SETTINGS, World, job, serve

ACCOUNTS = [{"name": "a", "quotaPerS": 50}, {"name": "free", "quotaPerS": 0}, {"name": "unlisted", "quotaPerS": 5}]
PERMITTED = {
    "accounts": ACCOUNTS,
    "zones": ["z0"],
    "permissions": {**SETTINGS["permissions"], "peers": True},
}


def job_request(number, tenant="a", timeout=6000):
    return job(f"r{number}", "preview", timeout, b"x", f"Tenant: {tenant}")


def record_requests(w):
    """Return a list to which all requests passed to the decision module are appended from now on."""
    received, handle = [], w.dispatcher.decisions.handle

    def handle_and_keep(now, event):
        if isinstance(event, interface.Request):
            received.append(event)
        return handle(now, event)

    w.dispatcher.decisions.handle = handle_and_keep
    return received


class FleetDispatcher(World):
    """A dispatcher in this process with a `[fleet]` table, in zone z0 of the given controllers."""

    def __init__(self, fleet, *scripts, **settings):
        super().__init__(*(scripts or [serve]), **{**PERMITTED, **settings})
        self.fleet = fleet

    async def __aenter__(self):
        await super().__aenter__()
        operator = load(str(self.fleet.write_operator("dispatcher")))
        self.extension = joining.join(self.dispatcher, operator.fleet, "dispatcher.toml")
        self.received = record_requests(self)
        await until(lambda: self.dispatcher.ready)
        return self

    async def __aexit__(self, *_):
        self.extension.close()
        await super().__aexit__()

    def figures(self):
        return self.extension.leases.figures(self.dispatcher.clock.now())


@asynchronous
async def test_decision_module_is_told_whether_requests_are_within_or_over_quota(tmp_path):
    async with Controllers(tmp_path, 1, quotas={"a": 50}, **QUICK) as fleet:
        await fleet.start()
        async with FleetDispatcher(fleet) as w:
            count = 0
            while not w.received or w.received[-1].over_quota:  # until the started voter may grant ownership
                count += 1
                assert (await w.ask(job_request(count)))[0] == 200
            assert w.received[-1].over_quota is False
            assert (await w.ask(job_request("over", "unlisted")))[0] == 200  # no quota at the controllers
            assert w.received[-1].over_quota is True
            assert w.figures().within == 1
            assert w.figures().waiting == 0


@asynchronous
async def test_no_lease_is_requested_for_a_tenant_without_a_quota(tmp_path):
    async with Controllers(tmp_path, 1, **QUICK) as fleet, FleetDispatcher(fleet) as w:
        assert (await w.ask(job_request(1, "free")))[0] == 200
        assert w.received[0].over_quota is None
        assert w.figures().lease_requests == 0


@asynchronous
async def test_request_proceeds_as_over_quota_without_a_reply_of_a_controller(tmp_path):
    async with (
        Controllers(tmp_path, 1) as fleet,
        ScriptedController(fleet, replies=False) as controller,
        FleetDispatcher(fleet) as w,
    ):
        assert (await w.ask(job_request(1)))[0] == 200
        assert w.received[0].over_quota is True
        assert w.figures().over_unanswered == 1
        await until(lambda: controller.requesters)
        assert w.received[0].time_left < 6_000_000  # reduced by the time that the request waited for its quota decision


@asynchronous
async def test_request_proceeds_even_if_the_rules_fail(tmp_path, monkeypatch):
    async with Controllers(tmp_path, 1) as fleet, FleetDispatcher(fleet) as w:

        def breaks(*_):
            raise RuntimeError("broken rules")

        for request in (breaks, lambda *_: []):
            monkeypatch.setattr(w.extension.leases, "request", request)
            monkeypatch.setattr(w.extension.leases, "next_wakeup", lambda: None)
            assert (await w.ask(job_request(len(w.received))))[0] == 200
        assert [event.over_quota for event in w.received] == [True, True]


@asynchronous
async def test_waiting_request_of_a_disconnected_client_is_removed(tmp_path):
    async with (
        Controllers(tmp_path, 1, ask_timeout_ms=900) as fleet,
        ScriptedController(fleet, replies=False) as controller,
        FleetDispatcher(fleet) as w,
    ):
        _, writer = await w.connect()
        writer.write(job_request(1))
        await until(lambda: controller.requesters)
        assert w.figures().waiting == 1
        writer.close()
        await until(lambda: not w.dispatcher.open_requests)
        assert w.figures().waiting == 0
        assert not w.received


@asynchronous
async def test_waiting_request_keeps_its_tenant_when_a_reload_reorders_tenants(tmp_path):
    async with (
        Controllers(tmp_path, 1, ask_timeout_ms=900) as fleet,
        ScriptedController(fleet, replies=False) as controller,
        FleetDispatcher(fleet) as w,
    ):
        answer = w.begin(w.ask(job_request(1)))
        await until(lambda: controller.requesters)
        tenants = w.dispatcher.settings.tenants
        w.dispatcher.reload(
            w.dispatcher.config._replace(settings=w.dispatcher.settings._replace(tenants=tenants[::-1]))
        )
        assert (await answer)[0] == 200
        assert w.dispatcher.settings.tenants[w.received[0].tenant].name == "a"


@asynchronous
async def test_withdrawn_permission_closes_connections_and_waiting_requests_proceed_undecided(tmp_path):
    async with (
        Controllers(tmp_path, 1, ask_timeout_ms=900) as fleet,
        ScriptedController(fleet) as controller,
        FleetDispatcher(fleet) as w,
    ):
        assert (await w.ask(job_request(1)))[0] == 200
        assert w.received[0].over_quota is False
        controller.replies = False
        waiting = [w.begin(w.ask(job_request(n))) for n in range(2, 12)]  # more requests than the unused credit allows
        await until(lambda: w.figures().waiting)
        w.dispatcher.reload(w.dispatcher.config._replace(settings=w.dispatcher.settings._replace(peers_allowed=False)))
        assert [(await answer)[0] for answer in waiting] == [200] * 10
        assert None in [event.over_quota for event in w.received]
        await until(lambda: controller.losses)
        assert controller.unused() == {"a": 0}
        assert (await w.ask(job_request("late")))[0] == 200
        assert w.received[-1].over_quota is None


# Dispatchers as separate processes


def program_files(fleet, w, **settings):
    """Write the configuration and the operator's file of a dispatcher process, and return their paths."""
    config = fleet.folder / "config.json"
    config.write_text(
        json.dumps(
            {
                "name": "n1",
                "listen": f"127.0.0.1:{w.port}",
                "discovery": f"127.0.0.1:{w.discovery.port}",
                "seed": "2",
                "settings": {**w.settings, **settings},
            }
        )
    )
    return config, fleet.write_operator("dispatcher")


async def start_dispatcher(fleet, w, **environment):
    """Start a dispatcher process and wait until it is connected to its controller."""
    config, operator = program_files(fleet, w)
    program = await Program.start("serve", "--operator", str(operator), PROXY_CONFIG=str(config), **environment)
    await program.wait_for_log("fleet_peer_connected")
    return program


class DispatcherEnvironment(World):
    """Hosts and discovery of a dispatcher that runs as a separate process at `port`."""

    async def __aenter__(self):
        self.settings = {**self.settings, **PERMITTED}
        await self.open()
        self.port = free_port()
        return self

    async def __aexit__(self, *_):
        await self.close()

    async def ready(self):
        """Wait until the process accepts clients."""
        while True:
            try:
                if (await self.ask(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)


def free_port():
    return free_ports(1)[0]


@asynchronous
async def test_sigterm_returns_all_leases_and_exits_with_code_0(tmp_path):
    async with (
        Controllers(tmp_path, 1) as fleet,
        ScriptedController(fleet) as controller,
        DispatcherEnvironment(serve) as w,
    ):
        program = await start_dispatcher(fleet, w)
        await w.ready()
        for number in range(5):
            assert (await w.ask(job_request(number)))[0] == 200
        program.process.send_signal(signal.SIGTERM)
        assert await program.wait_for_exit() == 0
        await until(lambda: controller.losses)
        assert controller.granted() >= 5
        assert controller.unused() == {"a": 0}


@asynchronous
async def test_changed_fleet_table_requires_a_restart(tmp_path):
    async with Controllers(tmp_path, 1) as fleet, ScriptedController(fleet), DispatcherEnvironment(serve) as w:
        program = await start_dispatcher(fleet, w)
        await w.ready()
        fleet.write_operator("dispatcher", ask_timeout_ms=30)
        program.process.send_signal(signal.SIGHUP)
        await program.wait_for_log("setting_needs_restart .*field=fleet")
        assert (await w.ask(job_request(1)))[0] == 200
        program.process.send_signal(signal.SIGTERM)
        assert await program.wait_for_exit() == 0


@asynchronous
async def test_old_process_returns_its_leases_during_a_hot_restart(tmp_path):
    async with (
        Controllers(tmp_path, 1) as fleet,
        ScriptedController(fleet) as controller,
        DispatcherEnvironment(serve) as w,
    ):
        variables = {"TMPDIR": str(tmp_path), "PROXY_OPS": f"127.0.0.1:{free_port()}"}
        old = await start_dispatcher(fleet, w, **variables)
        await w.ready()
        for number in range(5):
            assert (await w.ask(job_request(number)))[0] == 200
        (old_name,) = controller.peers()
        new = await start_dispatcher(fleet, w, **{**variables, "PROXY_OPS": f"127.0.0.1:{free_port()}"})
        await old.wait_for_log("hot_restart .*action=.?send grant")
        await until(lambda: controller.unused(old_name) == {"a": 0})
        for number in range(5, 10):
            assert (await w.ask(job_request(number)))[0] == 200
        (new_name,) = controller.peers() - {old_name}
        assert controller.granted(new_name) >= 5  # requests leased by the new process itself
        old.process.send_signal(signal.SIGTERM)
        assert await old.wait_for_exit() == 0
        assert controller.unused(old_name) == {"a": 0}
        new.process.send_signal(signal.SIGTERM)
        assert await new.wait_for_exit() == 0
        await until(lambda: controller.unused(new_name) == {"a": 0})


@asynchronous
async def test_server_processes_on_one_address_lease_separately_and_return_their_leases(tmp_path):
    async with (
        Controllers(tmp_path, 1) as fleet,
        ScriptedController(fleet) as controller,
        DispatcherEnvironment(serve) as w,
    ):
        config, operator = program_files(fleet, w)
        arguments = ("serve", "--workers", "2", "--operator", str(operator))
        program = await Program.start(*arguments, PROXY_CONFIG=str(config), TMPDIR=str(tmp_path))
        await w.ready()
        number = 0
        while len(controller.peers()) < 2:  # the system distributes connections over the two processes
            number += 1
            assert (await w.ask(job_request(number)))[0] == 200
        program.process.send_signal(signal.SIGTERM)
        assert await program.wait_for_exit() == 0
        await until(lambda: len({*controller.losses}) == 2)
        assert controller.unused() == {"a": 0}


def run(command, config, operator):
    arguments = [sys.executable, "-m", "badgerroad", command, "--operator", str(operator)]
    environment = {**os.environ, "PROXY_CONFIG": str(config)}
    return subprocess.run(arguments, env=environment, capture_output=True, text=True, timeout=60)


@pytest.fixture
def write_files(tmp_path):
    """Return a function that writes the configuration with the given settings.

    The function returns the paths of the configuration and of the operator's file.
    """
    fleet = Controllers(tmp_path, 1)
    config = tmp_path / "config.json"

    def write(operator=None, **settings):
        document = {
            "name": "n",
            "listen": "127.0.0.1:1",
            "discovery": "127.0.0.1:1",
            "settings": {**SETTINGS, **settings},
        }
        config.write_text(json.dumps(document))
        return config, fleet.write_operator("dispatcher", **(operator or {}))

    return write


@pytest.mark.parametrize("command", ["serve", "check-config"])
@pytest.mark.parametrize("peers", [False, None])
def test_fleet_table_is_rejected_where_peers_are_not_permitted(write_files, command, peers):
    permissions = {**SETTINGS["permissions"], **({} if peers is None else {"peers": peers})}
    done = run(command, *write_files(**{**PERMITTED, "permissions": permissions}))
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert done.stderr.startswith(f"badgerroad: {FleetNotPermittedError.code}: ")
    assert "permissions.peers" in done.stderr


def test_check_config_accepts_the_table_and_reports_its_content(write_files):
    done = run("check-config", *write_files(**PERMITTED))
    assert done.returncode == 0, done
    assert "shared by the fleet" in done.stdout, done


@pytest.mark.parametrize(("operator", "field"), [({"zone": "nowhere"}, "fleet.zone"), ({"shards": 0}, "fleet.shards")])
def test_invalid_table_ends_the_start_with_one_line_that_names_the_field(write_files, operator, field):
    for command in ("serve", "check-config"):
        done = run(command, *write_files(operator, **PERMITTED))
        assert done.returncode == 2
        assert done.stderr.count("\n") == 1
        assert "dispatcher.toml: " + field in done.stderr


@pytest.mark.parametrize("with_operator", [False, True])
def test_fleet_modules_are_not_imported_without_the_table(tmp_path, write_files, with_operator):
    config, _ = write_files()
    operator = tmp_path / "plain.toml"
    operator.write_text("[log]\n")
    arguments = ["check-config", *(["--operator", str(operator)] if with_operator else [])]
    code = (
        f"import sys; sys.argv[1:] = {arguments!r}; from badgerroad.__main__ import start; assert start() == 0;"
        "import badgerroad.serving, badgerroad.dispatcher;"
        "print([m for m in sys.modules if m.startswith('badgerroad.fleet')])"
    )
    environment = {**os.environ, "PROXY_CONFIG": str(config)}
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, env=environment, timeout=60)
    assert done.stdout.splitlines()[-1] == "[]", done


def test_two_processes_of_one_dispatcher_have_different_peer_names(tmp_path):
    @asynchronous
    async def play():
        async with Controllers(tmp_path, 1) as fleet, DispatcherEnvironment(serve) as w:
            operator = load(str(fleet.write_operator("dispatcher")))
            settings = table.settings_of(operator.fleet, "o")
            wheel = TimerWheel(Clock(), IOLoop.current())
            names = {QuotaExtension(wheel, settings, "x" * 200, "z0").connections.hello.name for _ in range(2)}
            assert len(names) == 2
            assert all(len(name.encode()) <= 64 for name in names)
            assert w.hosts

    play()
