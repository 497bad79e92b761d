"""Several processes on one address: who is started and ended, and real processes whose server processes die under load."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerroad.config import ConfigError, check_config
from badgerroad.multiprocess import rules
from badgerroad.multiprocess.metric_sums import MetricSums
from badgerroad.multiprocess.server_process import ServerProcess
from badgerroad.multiprocess.startup import ProcessIndex, StartParameters
from badgerroad.multiprocess.supervisor import Supervisor, SupervisorOptions
from badgerroad.net.unix_channel import UnixChannel
from tests.support.loopback import CLASS, SETTINGS, World, async_test, serve, until
from tests.support.service import Service

DATA = {
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "limits": {"sockets": 512},
    "settings": {**SETTINGS, "siblings": 3, "index": 1},
}
STEP = st.tuples(
    st.sampled_from(["listens", "silent", "due", "term", "pass", "ended 0", "ended 1", "ended 2", "ended -9"]),
    st.integers(0, 2),
)


class GroupUnderTest:
    """Performs the actions of a ProcessGroup, and checks each against what runs."""

    def __init__(self):
        self.group = rules.ProcessGroup(3)
        self.now = 0
        self.running = set()
        self.waiting = {}
        self.terminated = set()
        self.exit_codes = []

    def perform(self, actions):
        for action in actions:
            match action:
                case rules.Start(number):
                    assert number not in self.running
                    assert not self.exit_codes
                    assert not self.group.terminating
                    self.running.add(number)
                case rules.StartLater(number, delay_us):
                    assert number not in self.running
                    assert 0 <= delay_us <= rules.MAX_BACKOFF_US
                    self.waiting[number] = delay_us
                case rules.Exit(code):
                    self.exit_codes.append(code)
                case rules.Terminate(number):
                    assert number in self.running
                    self.terminated.add(number)
                case _:
                    assert action.process in self.running  # Kill

    def step(self, step, number):
        if step == "pass":
            self.now += 4_000_000 * number
        elif step == "term":
            self.terminate()
        elif step == "due" and self.waiting.pop(number, None) is not None:
            self.perform(self.group.start_due(self.now, number))
            assert self.group.terminating or number in self.running
        elif step == "listens" and number in self.running:
            self.group.listening(number)
        elif step == "silent":
            self.perform(self.group.message_overdue(number))
        elif step.startswith("ended") and number in self.running:
            self.end(number, int(step[6:]))

    def terminate(self):
        self.perform(self.group.terminate())
        assert self.group.terminating
        assert self.terminated >= self.running

    def end(self, number, code):
        self.running.remove(number)
        self.perform(self.group.ended(self.now, number, code))
        assert self.group.terminating or number in self.waiting


@given(st.lists(STEP, max_size=40))
def test_any_history_of_ends_and_messages_has_one_process_a_slot_and_one_exit(steps):
    group = GroupUnderTest()
    group.perform(group.group.start(group.now))
    assert group.running == {0, 1, 2}
    for step, number in [*steps, *[("due", n) for n in range(3)], ("term", 0), *[("ended 0", n) for n in range(3)]]:
        group.step(step, number)
    assert len(group.exit_codes) == 1
    assert not group.running


def test_failures_at_the_start_back_off_and_a_configuration_that_never_worked_ends_all():
    multiprocess, pauses = rules.ProcessGroup(1), []
    multiprocess.start(0)
    multiprocess.listening(0)
    for _ in range(8):
        pauses += [later.delay_us for later in multiprocess.ended(0, 0, 1)]
        multiprocess.start_due(0, 0)
    assert pauses == [100_000 << n for n in range(6)] + [5_000_000] * 2
    assert multiprocess.ended(rules.STABLE_RUN_US, 0, -9) == [rules.StartLater(0, 0)]  # it had lived
    fresh = rules.ProcessGroup(2)
    fresh.start(0)
    assert fresh.ended(0, 1, 2) == [rules.Terminate(0)]
    assert fresh.ended(0, 0, -15) == [rules.Exit(2)]


def test_counters_of_an_ended_process_stay_and_its_gauges_do_not():
    def told(n, **more):
        return {
            "answered": {"a": n},
            "deferred": {"a": 0},
            "errored": {"a": 1},
            "sends": 2 * n,
            "current": 3,
            "cluster_size": 10 + n,
            "cluster_unhealthy": 1,
            **more,
        }

    sums = MetricSums(2)
    sums.add_classes(["a", "b"])
    for process, n in ((0, 5), (1, 5), (0, 6)):
        sums.report(process, told(n))
    sums.ended(0)
    sums.report(0, told(1, answered={"a": 1, "c": 4}))
    assert sums.totals() == {
        "answered": {"a": 12, "b": 0, "c": 4},
        "deferred": {"a": 0, "b": 0},
        "errored": {"a": 3, "b": 0},
        "sends": 24,
        "current": 6,
        "cluster_size": 15,
        "cluster_unhealthy": 1,
    }


def test_server_processes_share_out_fleet_and_descriptors():
    config = check_config({**DATA, "ops": "127.0.0.1:3"}, {})
    parts = [ProcessIndex(n, 4).share_of(config) for n in range(4)]
    assert [(p.settings.dispatcher_count, p.settings.dispatcher_index, p.admin) for p in parts] == [
        (12, 4 + n, None) for n in range(4)
    ]
    assert sum(p.max_sockets for p in parts) <= config.max_sockets - 36
    assert len({p.seed for p in parts}) == 4
    with pytest.raises(ConfigError, match="limits.sockets"):
        ProcessIndex(0, 8).share_of(config)


class ProcessGroup(Service):
    """A Service that is one supervisor and three server processes."""

    async def __aenter__(self):
        self.limits = 600
        await super().__aenter__()
        (self.folder / "o.toml").touch()
        self.ops_port = self.free_port()
        self.supervisor = await self.run(
            "log", self.ops_port, "--workers", "3", "--operator", str(self.folder / "o.toml")
        )
        await self.lines("listening", 4)
        while not await self.says_yes(self.ops_port):
            await asyncio.sleep(0.02)
        return self

    async def lines(self, text, count):
        """The log's lines with `text`, once there are so many."""
        found = []
        while len(found) < count:
            assert self.supervisor.returncode is None
            await asyncio.sleep(0.02)
            found = [ln for ln in (self.folder / "log").read_text().splitlines() if text in ln]
        return found

    async def pids(self, count):
        """Of the server processes, the latest of each."""
        fields = [
            dict(f.split("=") for f in ln.split()[3:]) for ln in await self.lines("server_process_started", count)
        ]
        return {int(f["process"]): int(f["pid"]) for f in fields}

    async def figures(self):
        await asyncio.sleep(0.5)  # that old may they be
        return await super().figures()

    async def load(self, jobs):
        """Clients on so many connections that every server process has some; returns how many of them broke."""
        done = await asyncio.gather(*(self.client(f"c{n}", 1) for n in range(jobs)), return_exceptions=True)
        assert all(d is None or isinstance(d, OSError | asyncio.IncompleteReadError) for d in done), done
        return sum(d is not None for d in done)

    async def begun(self, jobs, running):
        load = asyncio.ensure_future(self.load(jobs))
        await until(lambda: len(self.ran) >= running)
        return load


@async_test
async def test_job_events_reach_their_attempt_through_any_process_and_metrics_are_sums(tmp_path):
    async with ProcessGroup(tmp_path) as s:
        assert await s.load(40) == 0
        assert Counter(s.ends) == {(200, b"made"): 40}
        assert set(s.ran.values()) == {1}
        told = await s.figures()
        assert (told["answered"], told["sends"], told["current"]) == ({"preview": 40, "bundle": 0}, 40, 0)
        own = Counter(ln.split("process=")[1].split()[0] for ln in await s.lines(" answered ", 40))
        assert sum(own.values()) == 40
        assert len(own) == 3
        pids = await s.pids(3)
        s.supervisor.terminate()
        assert await s.supervisor.wait() == 0
        assert not any(os.path.exists(f"/proc/{p}") for p in pids.values())


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
@async_test
async def test_a_process_that_dies_or_stops_breaks_only_its_own_clients_and_is_replaced(number, tmp_path):
    async with ProcessGroup(tmp_path, hold=0.5) as s:
        pids, load = await s.pids(3), await s.begun(30, 9)
        os.kill(pids[1], number)
        assert 0 < await load < 30
        assert set(s.ran.values()) == {1}  # its call-backs came to the others, who had no such attempt
        assert {status for status, _ in s.ends} <= {200, 503}  # some may not be in time with so few hosts
        again = await s.pids(4)
        assert again[0] == pids[0]
        assert again[2] == pids[2]
        assert again[1] != pids[1]
        await s.lines("listening", 5)
        s.hold, s.ends = 0.0, []
        assert await s.load(24) == 0
        assert len(s.ends) == 24
        assert (await s.figures())["current"] == 0


@async_test
async def test_new_settings_reach_all_processes_those_that_are_starting_too(tmp_path):
    async with ProcessGroup(tmp_path) as s:
        good = json.loads((tmp_path / "c.json").read_text())
        (tmp_path / "c.json").write_text("{")
        s.supervisor.send_signal(signal.SIGHUP)
        assert "c.json" in (await s.lines("reload_failed", 1))[0]
        os.kill((await s.pids(3))[2], signal.SIGKILL)
        await s.lines("server_process_ended", 1)
        (tmp_path / "o.toml").write_text("[log]\nformat = 'json'\n")
        good["settings"]["requestClasses"].append({**CLASS, "name": "other"})
        (tmp_path / "c.json").write_text(json.dumps(good))
        s.supervisor.send_signal(signal.SIGHUP)  # the third is being started, from the text that was in force
        await s.lines("listening", 5)
        while (await s.figures())["conf_loaded"] != 1:
            pass
        await asyncio.gather(*(s.client(f"o{n}", 1, "other") for n in range(24)))
        assert Counter(s.ends) == {(200, b"made"): 24}
        await s.lines('"process":2', 1)  # the operator's file reached it too
        assert [(await s.figures())[name] for name in ("conf_invalid", "conf_loaded")] == [1, 1]


@async_test
async def test_without_its_supervisor_each_process_answers_its_open_requests_and_ends(tmp_path):
    async with ProcessGroup(tmp_path, hold=0.5) as s:
        pids, load = await s.pids(3), await s.begun(9, 9)
        s.supervisor.kill()
        assert await load == 0
        assert len(s.ends) == 9
        await until(lambda: not any(os.path.exists(f"/proc/{p}") for p in pids.values()))


@async_test
async def test_server_processes_that_lose_their_channel_to_each_other_get_a_new_one():
    async with World(serve, ops=True) as w:
        d = w.dispatcher
        supervisor = Supervisor(SupervisorOptions(2, d.config, b"", None, None, False), d.wheel)
        got, ends = [], [socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET) for _ in range(2)]
        for n, slot in enumerate(supervisor.slots):
            slot.started, slot.channel = (
                True,
                UnixChannel(ends[n][0], lambda *message: supervisor._on_message(0, *message), lambda: None),
            )
        process = ServerProcess(
            StartParameters(ProcessIndex(0, 2), ends[0][1], d.config, None), d, d.wheel, lambda: None
        )
        other = UnixChannel(
            ends[1][1], lambda kind, head, payload, fd: got.append(socket.socket(fileno=fd)), lambda: None
        )
        await until(lambda: got and process.peers and process.may_listen.is_set())
        process.peers[1].close()
        await until(lambda: len(got) == 2 and process.peers)
        process.unknown_job_event(b"r9", "h0", "done", {})
        assert b'"id":"r9"' in got[1].recv(999)
        for link in (process, other, *(slot.channel for slot in supervisor.slots)):
            link.close()


@pytest.mark.parametrize(
    ("workers", "text", "code", "said"),
    [
        ("0", "", 2, "--workers"),
        ("x", "", 2, "--workers"),
        ("3", "{", 2, "not JSON"),
        ("8", json.dumps(DATA), 2, "limits.sockets"),
        ("2", "taken", 1, "listen: 127.0.0.1"),
    ],
)
def test_a_start_that_cannot_succeed_ends_with_one_line(workers, text, code, said, tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as s:
        taken = {**DATA, "listen": f"127.0.0.1:{s.getsockname()[1]}"}
        (tmp_path / "c.json").write_text(json.dumps(taken) if text == "taken" else text)
        done = subprocess.run(
            [sys.executable, "-m", "badgerroad", "serve", "--workers", workers],
            capture_output=True,
            text=True,
            env={**os.environ, "PROXY_CONFIG": str(tmp_path / "c.json")},
        )
    assert (done.returncode, done.stderr.count("\n")) == (code, 1)
    assert said in done.stderr
