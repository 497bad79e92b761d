"""Dispatcher processes, started with the platform's environment variables and limits, and monitored through /proc."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

MEMORY_POLL_INTERVAL_S = 0.2  # seconds between two reads of a process's memory and CPU time


def free_port() -> int:
    """Return a loopback port that is currently unused."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        port: int = s.getsockname()[1]
        return port


class Process:
    """A dispatcher's process, with the address, configuration file and log that stay the same across restarts."""

    def __init__(
        self,
        number: int,
        folder: Path,
        config: dict[str, Any],
        memory_mb: float,
        sockets: int,
        on_crash: Callable[[int, str], None],
        command: list[str] | None = None,
    ) -> None:
        """Assign an address. `on_crash` is called with the dispatcher's number and the reason when the process ends
        without a signal sent through `signal`, or is killed because it uses more than `memory_mb`.
        """
        self.number, self.folder, self.config, self.on_crash = number, folder, config, on_crash
        self.memory_mb, self.sockets = memory_mb, sockets
        self.command = command or [sys.executable, "-m", "badgerroad", "serve"]
        self.address = ("127.0.0.1", free_port())
        self.process: asyncio.subprocess.Process | None = None
        self.end_expected = False  # a signal that ends the process has been sent
        self.peak_mb, self.cpu_s, self.starts = 0.0, 0.0, 0
        self._monitor_task: asyncio.Task[None] | None = None

    @property
    def up(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.returncode is None

    async def start(self, seed: int) -> None:
        """Start the process and monitor it until it ends."""
        self.starts += 1
        file = self.folder / f"d{self.number}.json"
        file.write_text(
            json.dumps(
                {
                    **self.config,
                    "name": f"d{self.number}",
                    "seed": f"{seed:x}",
                    "listen": f"{self.address[0]}:{self.address[1]}",
                }
            )
        )
        environment = {
            **os.environ,
            "PROXY_CONFIG": str(file),
            "PROXY_NAME": f"d{self.number}",
            "PROXY_LISTEN": f"{self.address[0]}:{self.address[1]}",
            "PROXY_DISCOVERY": self.config["discovery"],
        }
        with open(self.folder / f"d{self.number}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(*self.command, env=environment, stdout=log, stderr=log)
        self.end_expected = False
        with contextlib.suppress(ProcessLookupError):  # it has already ended; the monitor reports the crash
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (self.sockets, self.sockets))
        self._monitor_task = asyncio.ensure_future(self._monitor(self.process))

    async def _monitor(self, process: asyncio.subprocess.Process) -> None:
        # The reasons of a crash are stored in reports and compared by `lab replay`, so their texts must not change.
        while process.returncode is None:
            try:
                statm = Path(f"/proc/{process.pid}/statm").read_text().split()
                stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            except OSError:
                break
            used_mb = int(statm[1]) * resource.getpagesize() / 1e6
            self.peak_mb = max(self.peak_mb, used_mb)
            self.cpu_s = (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
            if used_mb > self.memory_mb and not self.end_expected:
                self.end_expected = True
                process.kill()
                self.on_crash(self.number, f"{used_mb:.0f} MB held, {self.memory_mb:.0f} allowed")
            await asyncio.sleep(MEMORY_POLL_INTERVAL_S)
        code = await process.wait()
        if not self.end_expected:
            self.end_expected = True
            self.on_crash(self.number, f"exit code {code}; its log is {self.folder / f'd{self.number}.log'}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running. SIGTERM and SIGKILL mark its end as expected."""
        if self.process is not None and self.process.returncode is None:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self.end_expected = True
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait until it has ended. SIGCONT comes first in case the process is stopped."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()
        if self._monitor_task is not None:
            await asyncio.gather(self._monitor_task, return_exceptions=True)
