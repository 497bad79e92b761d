"""Dispatcher processes: started as the platform starts them, with its limits, and watched from outside."""

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

WATCH = 0.2  # seconds between looks at the memory of a process


def free_port() -> int:
    """A loopback port that nobody uses at the moment."""
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        port: int = s.getsockname()[1]
        return port


class Process:
    """One dispatcher's place: its address, configuration file and log; and its process, if one runs."""

    def __init__(
        self,
        number: int,
        folder: Path,
        config: dict[str, Any],
        memory_mb: float,
        sockets: int,
        crashed: Callable[[int, str], None],
        command: list[str] | None = None,
    ) -> None:
        """`crashed` is called with the number and the reason if the process ends by itself."""
        self.number, self.folder, self.config, self.crashed = number, folder, config, crashed
        self.memory_mb, self.sockets = memory_mb, sockets
        self.command = command or [sys.executable, "-m", "badgerroad", "serve"]
        self.address = ("127.0.0.1", free_port())
        self.process: asyncio.subprocess.Process | None = None
        self.expected = False  # its end has been asked for
        self.peak_mb, self.cpu_s, self.starts = 0.0, 0.0, 0
        self._watch: asyncio.Task[None] | None = None

    @property
    def up(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None

    async def start(self, seed: int) -> None:
        """Start the process and watch it until it ends."""
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
        self.expected = False
        with contextlib.suppress(ProcessLookupError):  # it ended at once; the watch says so
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (self.sockets, self.sockets))
        self._watch = asyncio.ensure_future(self._watched(self.process))

    async def _watched(self, process: asyncio.subprocess.Process) -> None:
        while process.returncode is None:
            try:
                statm = Path(f"/proc/{process.pid}/statm").read_text().split()
                stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            except OSError:
                break
            mb = int(statm[1]) * resource.getpagesize() / 1e6
            self.peak_mb = max(self.peak_mb, mb)
            self.cpu_s = (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
            if mb > self.memory_mb and not self.expected:
                self.expected = True
                process.kill()
                self.crashed(self.number, f"{mb:.0f} MB held, {self.memory_mb:.0f} allowed")
            await asyncio.sleep(WATCH)
        code = await process.wait()
        if not self.expected:
            self.expected = True
            self.crashed(self.number, f"exit code {code}; its log is {self.folder / f'd{self.number}.log'}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self.process is not None and self.process.returncode is None:
            if number in (signal.SIGTERM, signal.SIGKILL):
                self.expected = True
            self.process.send_signal(number)

    async def end(self) -> None:
        """Ask it to end, then end it."""
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()
        if self._watch is not None:
            await asyncio.gather(self._watch, return_exceptions=True)
