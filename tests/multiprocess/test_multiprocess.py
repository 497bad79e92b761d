"""Several server processes on one address: the supervisor's decisions, and real processes that die under load."""

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
from badgerroad.net.memory_budget import PROCESS_MB
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
    st.sampled_from(["listens", "silent", "due", "term", "time", "ended 0", "ended 1", "ended 2", "ended -9"]),
    st.integers(0, 2),
)


class GroupUnderTest:
    """Performs the actions of a ProcessGroup on simulated processes, and checks that each action is allowed."""

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
                    assert action.process in self.running  # the action is Kill

    def step(self, step, number):
        if step == "time":
            self.now += 4_000_000 * number
        elif step == "term":
            self.terminate()
        elif step == "due" and self.waiting.pop(number, None) is not None:
            self.perform(self.group.start_due(self.now, number))
            assert self.group.terminating or number in self.running
        elif step == "listens" and number in self.running:
            self.group.process_listening(number)
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
        self.perform(self.group.process_ended(self.now, number, code))
        assert self.group.terminating or number in self.waiting


@given(st.lists(STEP, max_size=40))
def test_any_sequence_of_events_keeps_at_most_one_process_a_slot_and_exits_once(steps):
    group = GroupUnderTest()
    group.perform(group.group.start(group.now))
    assert group.running == {0, 1, 2}
    for step, number in [*steps, *[("due", n) for n in range(3)], ("term", 0), *[("ended 0", n) for n in range(3)]]:
        group.step(step, number)
    assert len(group.exit_codes) == 1
    assert not group.running


def test_failed_starts_back_off_and_a_configuration_that_never_worked_ends_the_group():
    group, delays = rules.ProcessGroup(1), []
    group.start(0)
    group.process_listening(0)
    for _ in range(8):
        delays += [later.delay_us for later in group.process_ended(0, 0, 1)]
        group.start_due(0, 0)
    assert delays == [100_000 << n for n in range(6)] + [5_000_000] * 2
    # A process that has run for STABLE_RUN_US did not fail at its start, so there is no backoff.
    assert group.process_ended(rules.STABLE_RUN_US, 0, -9) == [rules.StartLater(0, 0)]
    fresh = rules.ProcessGroup(2)
    fresh.start(0)
    assert fresh.process_ended(0, 1, 2) == [rules.Terminate(0)]
    assert fresh.process_ended(0, 0, -15) == [rules.Exit(2)]


def test_counters_of_an_ended_process_are_kept_and_its_gauges_are_not():
    def metrics(n, **changes):
        return {
            "answered": {"a": n},
            "deferred": {"a": 0},
            "errored": {"a": 1},
            "sends": 2 * n,
            "current": 3,
            "cluster_size": 10 + n,
            "cluster_unhealthy": 1,
            "clients": 2 * n,
            "resident_kb": 1_000 * n,
            "memory_limit_kb": 500,
            "messages_kb": 10 * n,
            "messages_limit_kb": 50,
            **changes,
        }

    sums = MetricSums(2)
    sums.add_classes(["a", "b"])
    for process, n in ((0, 5), (1, 5), (0, 6)):
        sums.update(process, metrics(n))
    sums.process_ended(0)
    sums.update(0, metrics(1, answered={"a": 1, "c": 4}))
    assert sums.totals() == {
        "answered": {"a": 12, "b": 0, "c": 4},
        "deferred": {"a": 0, "b": 0},
        "errored": {"a": 3, "b": 0},
        "sends": 24,
        "current": 6,
        "cluster_size": 15,
        "cluster_unhealthy": 1,
        "clients": 12,
        "resident_kb": 6_000,
        "memory_limit_kb": 1_000,
        "messages_kb": 60,
        "messages_limit_kb": 100,
    }


def test_server_processes_divide_the_fleet_and_the_descriptors():
    config = check_config({**DATA, "ops": "127.0.0.1:3"}, {})
    shares = [ProcessIndex(n, 4).share_of(config) for n in range(4)]
    assert [(share.settings.dispatcher_count, share.settings.dispatcher_index, share.admin) for share in shares] == [
        (12, 4 + n, None) for n in range(4)
    ]
    assert sum(share.max_sockets for share in shares) <= config.max_sockets - 36
    assert sum(share.memory_mb for share in shares) <= config.memory_mb - PROCESS_MB  # the rest is the supervisor's
    assert len({share.seed for share in shares}) == 4
    with pytest.raises(ConfigError, match="limits.sockets"):
        ProcessIndex(0, 8).share_of(config)


class SupervisedService(Service):
    """A Service that runs as one supervisor with three server processes."""

    async def __aenter__(self):
        self.limits = 600
        await super().__aenter__()
        (self.folder / "o.toml").touch()
        self.ops_port = self.free_port()
        self.supervisor = await self.run(
            "log", self.ops_port, "--workers", "3", "--operator", str(self.folder / "o.toml")
        )
        await self.lines("listening", 4)
        while not await self.is_ready(self.ops_port):
            await asyncio.sleep(0.02)
        return self

    async def lines(self, text, count):
        """Wait until the log has `count` lines with `text`; returns these lines."""
        found = []
        while len(found) < count:
            assert self.supervisor.returncode is None
            await asyncio.sleep(0.02)
            found = [line for line in (self.folder / "log").read_text().splitlines() if text in line]
        return found

    async def pids(self, count):
        """Wait until `count` server processes have started; returns the latest process id of each number."""
        fields = [
            dict(field.split("=") for field in line.split()[3:])
            for line in await self.lines("server_process_started", count)
        ]
        return {int(f["process"]): int(f["pid"]) for f in fields}

    async def read_metrics(self):
        await asyncio.sleep(0.5)  # the summed metrics may be 0.5 s old
        return await super().read_metrics()

    async def load(self, connections):
        """Send one request on each of `connections` connections; returns the number of connections that broke.

        There must be enough connections for every server process to get some.
        """
        results = await asyncio.gather(*(self.client(f"c{n}", 1) for n in range(connections)), return_exceptions=True)
        assert all(r is None or isinstance(r, OSError | asyncio.IncompleteReadError) for r in results), results
        return sum(r is not None for r in results)

    async def start_load(self, connections, running):
        """Start `load`, and wait until workers have started `running` requests."""
        load = asyncio.ensure_future(self.load(connections))
        await until(lambda: len(self.attempt_counts) >= running)
        return load


@async_test
async def test_job_events_reach_their_attempt_through_any_process_and_metrics_are_sums(tmp_path):
    async with SupervisedService(tmp_path) as s:
        assert await s.load(40) == 0
        assert Counter(s.responses) == {(200, b"made"): 40}
        assert set(s.attempt_counts.values()) == {1}
        metrics = await s.read_metrics()
        assert (metrics["answered"], metrics["sends"], metrics["current"]) == ({"preview": 40, "bundle": 0}, 40, 0)
        answers_by_process = Counter(line.split("process=")[1].split()[0] for line in await s.lines(" answered ", 40))
        assert sum(answers_by_process.values()) == 40
        assert len(answers_by_process) == 3
        pids = await s.pids(3)
        s.supervisor.terminate()
        assert await s.supervisor.wait() == 0
        assert not any(os.path.exists(f"/proc/{p}") for p in pids.values())


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
@async_test
async def test_a_process_that_dies_or_stops_breaks_only_its_own_clients_and_is_replaced(number, tmp_path):
    async with SupervisedService(tmp_path, job_duration_s=0.5) as s:
        pids, load = await s.pids(3), await s.start_load(30, 9)
        os.kill(pids[1], number)
        assert 0 < await load < 30
        # Job events about the lost process's attempts reach the other processes, which do not know these attempts.
        assert set(s.attempt_counts.values()) == {1}
        # Three workers may be too few to meet the deadline of a request, which is then answered with 503.
        assert {status for status, _ in s.responses} <= {200, 503}
        new_pids = await s.pids(4)
        assert new_pids[0] == pids[0]
        assert new_pids[2] == pids[2]
        assert new_pids[1] != pids[1]
        await s.lines("listening", 5)
        s.job_duration_s, s.responses = 0.0, []
        assert await s.load(24) == 0
        assert len(s.responses) == 24
        assert (await s.read_metrics())["current"] == 0


@async_test
async def test_new_settings_reach_all_processes_including_those_that_are_starting(tmp_path):
    async with SupervisedService(tmp_path) as s:
        good = json.loads((tmp_path / "c.json").read_text())
        (tmp_path / "c.json").write_text("{")
        s.supervisor.send_signal(signal.SIGHUP)
        assert "c.json" in (await s.lines("reload_failed", 1))[0]
        os.kill((await s.pids(3))[2], signal.SIGKILL)
        await s.lines("server_process_ended", 1)
        (tmp_path / "o.toml").write_text("[log]\nformat = 'json'\n")
        good["settings"]["requestClasses"].append({**CLASS, "name": "other"})
        (tmp_path / "c.json").write_text(json.dumps(good))
        s.supervisor.send_signal(signal.SIGHUP)  # the third process is being started, with the earlier configuration
        await s.lines("listening", 5)
        while (await s.read_metrics())["conf_loaded"] != 1:
            pass
        await asyncio.gather(*(s.client(f"o{n}", 1, "other") for n in range(24)))
        assert Counter(s.responses) == {(200, b"made"): 24}
        await s.lines('"process":2', 1)  # a JSON line shows that the third process has the new operator's file
        assert [(await s.read_metrics())[name] for name in ("conf_invalid", "conf_loaded")] == [1, 1]


@async_test
async def test_each_process_answers_its_open_requests_and_ends_when_the_supervisor_dies(tmp_path):
    async with SupervisedService(tmp_path, job_duration_s=0.5) as s:
        pids, load = await s.pids(3), await s.start_load(9, 9)
        s.supervisor.kill()
        assert await load == 0
        assert len(s.responses) == 9
        await until(lambda: not any(os.path.exists(f"/proc/{p}") for p in pids.values()))


@async_test
async def test_server_processes_that_lose_their_channel_to_each_other_get_a_new_one():
    async with World(serve, ops=True) as w:
        dispatcher = w.dispatcher
        supervisor = Supervisor(SupervisorOptions(2, dispatcher.config, b"", None, None, False), dispatcher.wheel)
        received, ends = [], [socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET) for _ in range(2)]
        for n, slot in enumerate(supervisor.slots):
            slot.started, slot.channel = (
                True,
                UnixChannel(ends[n][0], lambda *message: supervisor._on_message(0, *message), lambda: None),
            )
        process = ServerProcess(
            StartParameters(ProcessIndex(0, 2), ends[0][1], dispatcher.config, None),
            dispatcher,
            dispatcher.wheel,
            lambda: None,
        )
        other = UnixChannel(
            ends[1][1], lambda kind, head, payload, fd: received.append(socket.socket(fileno=fd)), lambda: None
        )
        await until(lambda: received and process.peers and process.may_listen.is_set())
        process.peers[1].close()
        await until(lambda: len(received) == 2 and process.peers)
        process.unknown_job_event(b"r9", "h0", "done", {})
        assert b'"id":"r9"' in received[1].recv(999)
        for resource in (process, other, *(slot.channel for slot in supervisor.slots)):
            resource.close()


@pytest.mark.parametrize(
    ("workers", "text", "code", "message"),
    [
        ("0", "", 2, "--workers"),
        ("x", "", 2, "--workers"),
        ("3", "{", 2, "not JSON"),
        ("8", json.dumps(DATA), 2, "limits.sockets"),
        ("2", "taken", 1, "listen: 127.0.0.1"),
    ],
)
def test_a_start_that_cannot_succeed_ends_with_one_line(workers, text, code, message, tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as s:
        taken = {**DATA, "listen": f"127.0.0.1:{s.getsockname()[1]}"}
        (tmp_path / "c.json").write_text(json.dumps(taken) if text == "taken" else text)
        result = subprocess.run(
            [sys.executable, "-m", "badgerroad", "serve", "--workers", workers],
            capture_output=True,
            text=True,
            env={**os.environ, "PROXY_CONFIG": str(tmp_path / "c.json")},
        )
    assert (result.returncode, result.stderr.count("\n")) == (code, 1)
    assert message in result.stderr
