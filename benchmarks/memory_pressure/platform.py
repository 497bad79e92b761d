"""Runs the processes of one dispatcher as the platform does: within limits, and killed once they take too much memory."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tests.support.loopback import read_message
from tests.support.ports import free_port

LOOK_INTERVAL_S = 0.02
KILOBYTES_PER_MEGABYTE = 1024
KILL_DELAY_S = 8.2  # from SIGTERM to SIGKILL: the longest deadline of the settings and 0.7 s


@dataclass(frozen=True)
class Limits:
    """What the platform allows a dispatcher, in all its processes together."""

    memory_mb: int
    descriptors: int


def memory_mb(process_id: int, field: str) -> float:
    """Return a figure of /proc/PID/status in MB, such as VmRSS; 0 if the process has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) / KILOBYTES_PER_MEGABYTE
    return 0.0


class DispatcherProcesses:
    """The processes of one dispatcher; `kills` is false to see how far their memory would go."""

    def __init__(self, limits: Limits, folder: Path, kills: bool) -> None:
        self.limits = limits
        self.folder = folder
        self.kills = kills
        self.killed_at_mb = 0.0
        self.peak_mb = 0.0  # highest sum of the resident memory of all processes
        self.ended_by_itself = False
        self._processes: list[asyncio.subprocess.Process] = []
        self._watch: asyncio.Task[None] | None = None

    def configure(self, port: int, discovery_port: int, settings: dict[str, Any]) -> None:
        """Write the configuration that all processes read."""
        (self.folder / "config.json").write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": f"127.0.0.1:{discovery_port}",
                    "seed": "2",
                    "limits": {"memory_mb": self.limits.memory_mb, "sockets": self.limits.descriptors},
                    "settings": settings,
                }
            )
        )

    async def start(self) -> None:
        """Start a process, which takes over from a running one, and wait until it is ready.

        Raises RuntimeError if it ends before that.
        """
        ops_port = free_port()
        with open(self.folder / "dispatcher.log", "ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "badgerroad",
                "serve",
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PROXY_CONFIG": str(self.folder / "config.json"),
                    "PROXY_OPS": f"127.0.0.1:{ops_port}",
                    "TMPDIR": str(self.folder),
                },
            )
        self._processes.append(process)
        if self._watch is None:
            self._watch = asyncio.ensure_future(self._watch_memory())
        while not await _is_ready(ops_port):
            if process.returncode is not None:
                raise RuntimeError("the dispatcher has ended at its start")
            await asyncio.sleep(LOOK_INTERVAL_S)

    async def upgrade(self) -> None:
        """Start a second process, and end the first one as the platform does."""
        (old,) = self._processes
        await self.start()
        old.send_signal(signal.SIGTERM)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(old.wait(), KILL_DELAY_S)
        if old.returncode is None:
            old.kill()
            await old.wait()
        self._processes.remove(old)

    async def _watch_memory(self) -> None:
        while True:
            resident_mb = self.resident_mb
            self.peak_mb = max(self.peak_mb, resident_mb)
            if self.kills and resident_mb > self.limits.memory_mb:
                self.killed_at_mb = resident_mb
                for process in self._processes:
                    _kill(process)
                return
            if self._processes and self._processes[-1].returncode is not None:
                self.ended_by_itself = True
                return
            await asyncio.sleep(LOOK_INTERVAL_S)

    @property
    def running(self) -> bool:
        """Whether the newest process has not ended."""
        return bool(self._processes) and self._processes[-1].returncode is None

    @property
    def resident_mb(self) -> float:
        """The resident memory of all processes now."""
        return sum(memory_mb(process.pid, "VmRSS") for process in self._processes if process.returncode is None)

    async def end(self) -> None:
        """Kill all processes and wait for their ends."""
        if self._watch is not None:
            self._watch.cancel()
            await asyncio.wait([self._watch])
        for process in self._processes:
            _kill(process)
            await process.wait()


def _kill(process: asyncio.subprocess.Process) -> None:
    with contextlib.suppress(ProcessLookupError):
        process.kill()


async def _is_ready(ops_port: int) -> bool:
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection("127.0.0.1", ops_port)
        writer.write(b"GET /ready HTTP/1.1\r\n\r\n")
        try:
            head, _ = await read_message(reader)
        finally:
            writer.close()
        return head.split()[1] == b"200"
    return False
