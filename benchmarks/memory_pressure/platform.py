"""Runs one dispatcher process as the platform does: within limits, and killed once its memory is over its limit."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

LOOK_INTERVAL_S = 0.02
KILOBYTES_PER_MEGABYTE = 1024


@dataclass(frozen=True)
class Limits:
    """What the platform allows a dispatcher."""

    memory_mb: int
    descriptors: int


def memory_mb(process_id: int, field: str) -> float:
    """Return a figure of /proc/PID/status in MB, such as VmRSS; 0 if the process has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) / KILOBYTES_PER_MEGABYTE
    return 0.0


class DispatcherProcess:
    """A process of `badgerroad serve`; `kills` is false to see how far the memory would go."""

    def __init__(self, limits: Limits, folder: Path, kills: bool) -> None:
        self.limits = limits
        self.folder = folder
        self.kills = kills
        self.killed_at_mb = 0.0
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None

    async def start(self, port: int, discovery_port: int, settings: dict[str, Any]) -> None:
        """Start the process; it may not be ready yet."""
        config = self.folder / "config.json"
        config.write_text(
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
        with open(self.folder / "dispatcher.log", "wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "badgerroad",
                "serve",
                stdout=log,
                stderr=log,
                env={**os.environ, "PROXY_CONFIG": str(config), "TMPDIR": str(self.folder)},
            )
        self._watch = asyncio.ensure_future(self._watch_memory(self._process))

    async def _watch_memory(self, process: asyncio.subprocess.Process) -> None:
        while process.returncode is None:
            resident_mb = memory_mb(process.pid, "VmRSS")
            if self.kills and resident_mb > self.limits.memory_mb:
                self.killed_at_mb = resident_mb
                process.kill()
                return
            await asyncio.sleep(LOOK_INTERVAL_S)

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def resident_mb(self) -> float:
        """The resident memory now."""
        return memory_mb(self._process.pid, "VmRSS") if self._process is not None else 0.0

    @property
    def peak_mb(self) -> float:
        """The highest resident memory so far."""
        return memory_mb(self._process.pid, "VmHWM") if self._process is not None else 0.0

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()
        if self._watch is not None:
            await self._watch
