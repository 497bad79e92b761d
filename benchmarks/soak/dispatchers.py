"""Dispatcher processes of a soak, with the signals that they get."""

import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
import time
import tomllib
from pathlib import Path

from benchmarks.memory_pressure.platform import LOOK_INTERVAL_S, memory_mb
from benchmarks.soak.checker import Rule
from benchmarks.soak.plan import DESCRIPTOR_LIMIT, HOLD_S, MEMORY_LIMIT_MB, SignalKind
from tests.support.loopback import CLASS, SETTINGS, read_message
from tests.support.ports import free_port

DEPLOY_FILE = Path(__file__).parents[2] / "deploy/balancer.toml"
LONGEST_DEADLINE_S = 3.0
KILL_DELAY_S = LONGEST_DEADLINE_S + 0.7  # from SIGTERM to SIGKILL, at the earliest time that the platform allows
READY_TIMEOUT_S = 10.0
DEADLINE = {**CLASS, "goalTimeUs": 2_000_000, "deadlineUs": 3_000_000}
CLASSES = [
    {**DEADLINE, "name": "preview"},
    {**DEADLINE, "name": "bundle", "semantics": "dedup", "group": "cell", "dedupWindowUs": 5_000_000},
    {**DEADLINE, "name": "amend", "semantics": "fragile"},
]


def run_command():
    """Return the command of the deploy file that starts a dispatcher, with the Python of this process."""
    return tomllib.loads(DEPLOY_FILE.read_text())["run"].replace(".venv/bin/python", sys.executable)


class DispatcherGroup:
    """A dispatcher: its address and configuration, and the processes that serve it one after the other."""

    def __init__(self, number, folder, discovery_ports, checker, hedging):
        """Write the configuration; `start` starts the first process. `discovery_ports` are used one after the other."""
        self.number = number
        self.address = ("127.0.0.1", free_port())
        self.admits_clients = False  # whether the front sends new connections here
        self.killed_at = 0.0
        self._folder = folder
        self._checker = checker
        self._ending = set()
        self._processes = []
        self._changing = asyncio.Lock()
        self._discovery_ports = itertools.cycle(discovery_ports)
        permissions = {**SETTINGS["permissions"], "secondCopies": hedging}
        self._settings = {**SETTINGS, "requestClasses": CLASSES, "permissions": permissions}
        self._write_configuration()

    def _write_configuration(self):
        """Write the configuration with the next address of discovery; a reader gets the old one or the new one."""
        path = self._folder / f"d{self.number}.json"
        new_path = path.with_suffix(".new")
        new_path.write_text(
            json.dumps(
                {
                    "name": f"d{self.number}",
                    "listen": f"127.0.0.1:{self.address[1]}",
                    "seed": "1",
                    "limits": {"sockets": DESCRIPTOR_LIMIT, "memory_mb": MEMORY_LIMIT_MB},
                    "discovery": f"127.0.0.1:{next(self._discovery_ports)}",
                    "settings": self._settings,
                }
            )
        )
        new_path.replace(path)

    @property
    def current(self):
        """The newest process."""
        return self._processes[-1]

    async def start(self):
        """Start a process, and wait until it is ready. A process that finds an older one takes over from it."""
        ops_port = free_port()
        environment = {
            **os.environ,
            "PROXY_CONFIG": str(self._folder / f"d{self.number}.json"),
            "PROXY_OPS": f"127.0.0.1:{ops_port}",
            "TMPDIR": str(self._folder),
        }
        with open(self._folder / f"d{self.number}.log", "ab") as log:
            process = await asyncio.create_subprocess_shell(run_command(), env=environment, stderr=log)
        self._processes.append(process)
        started_at = time.monotonic()
        while not await self._is_ready(ops_port):
            if process.returncode is not None and process not in self._ending:
                self._checker.report(Rule.CRASH, f"d{self.number} ended with {process.returncode} at its start")
                return
            if time.monotonic() - started_at > READY_TIMEOUT_S:
                self._checker.report(Rule.NOT_READY, f"d{self.number}")
                return
            await asyncio.sleep(0.02)
        self.admits_clients = True

    async def _is_ready(self, ops_port):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", ops_port)
            writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
            try:
                head, _ = await read_message(reader)
            finally:
                writer.close()
            return head.split()[1] == b"200"
        return False

    async def watch_memory(self, end_at):
        """Kill all processes if they take more memory than their limit, until `end_at`."""
        while time.monotonic() < end_at:
            running = [process for process in self._processes if process.returncode is None]
            resident_mb = sum(memory_mb(process.pid, "VmRSS") for process in running)
            if resident_mb > MEMORY_LIMIT_MB:
                self._checker.report(Rule.MEMORY, f"d{self.number}, {len(running)} processes: {resident_mb:.0f} MB")
                self._ending.update(running)
                for process in running:
                    self._send(process, signal.SIGKILL)
                return
            await asyncio.sleep(LOOK_INTERVAL_S)

    async def apply(self, kind):
        """Perform a planned signal; one at a time, but for SIGHUP."""
        if kind is SignalKind.MOVE:
            self._write_configuration()
        if kind in (SignalKind.RELOAD, SignalKind.MOVE):
            self._send(self.current, signal.SIGHUP)
            return
        if kind is SignalKind.HOLD:
            held = self.current
            self._send(held, signal.SIGSTOP)
            await asyncio.sleep(HOLD_S)
            self._send(held, signal.SIGCONT)
            return
        async with self._changing:
            old = self.current
            if kind is SignalKind.RESTART:
                self.admits_clients = False
                await self._terminate(old)
                await self.start()
            elif kind is SignalKind.HOT_RESTART:
                await self.start()
                await self._terminate(old)
            elif kind is SignalKind.HOT_RESTART_TWICE:
                first = asyncio.ensure_future(self.start())
                await asyncio.sleep(0.4)
                await asyncio.gather(first, self.start())
                await asyncio.gather(*(self._terminate(process) for process in self._processes[:-1]))
            else:
                starting = asyncio.ensure_future(self.start())
                await asyncio.sleep(0.3)
                await asyncio.gather(starting, self._terminate(old))

    async def _terminate(self, process):
        if process.returncode is not None:
            return
        self._ending.add(process)
        self._send(process, signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), KILL_DELAY_S)
        except TimeoutError:
            self.killed_at = time.monotonic()
            self._send(process, signal.SIGKILL)
            await process.wait()

    @staticmethod
    def _send(process, number):
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)

    async def close(self):
        """Kill all processes, and report those that had ended by themselves."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
            elif process not in self._ending:
                self._checker.report(Rule.CRASH, f"d{self.number} ended with {process.returncode}")
