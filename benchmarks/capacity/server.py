"""Runs a real `badgerroad serve` process with the limits of production, and measures it from outside."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import sys
import threading
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from benchmarks.capacity.http import Call

ROOT = Path(__file__).parent.parent.parent
START_LIMIT_S = 20.0
SETTLE_LIMIT_S = 1.0
# Pause before the CPU clock of a process is read, as the clock advances only when that process sleeps or at the next
# timer tick.
CPU_CLOCK_DELAY_S = 0.004


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Serve:
    """A dispatcher process, with its CPU time, memory and descriptors."""

    def __init__(self, folder: Path, config: dict[str, Any]) -> None:
        self.folder, self.config = folder, config
        self.port = int(config["listen"].rpartition(":")[2])
        self.file = folder / f"serve-{self.port}.json"
        self.started_at = 0.0
        self.process: asyncio.subprocess.Process | None = None

    def write(self, config: dict[str, Any]) -> int:
        """Write the configuration file, and return its size in bytes."""
        self.config = config
        return self.file.write_bytes(json.dumps(config).encode())

    async def start(self) -> None:
        self.write(self.config)
        environment = {**os.environ, "PROXY_CONFIG": str(self.file), "PYTHONPATH": str(ROOT)}
        sockets = self.config["limits"]["sockets"]
        with open(self.folder / "serve.log", "ab") as log:
            self.started_at = time.perf_counter()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "badgerroad", "serve", cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))

    async def ready(self) -> float:
        """Wait for the first 200 of /-/ready, and return the seconds since the start. Raises TimeoutError."""
        while time.perf_counter() - self.started_at < START_LIMIT_S:
            try:
                call = await Call().open("127.0.0.1", self.port)
                while await call.get(b"/-/ready") != 200:
                    await asyncio.sleep(0.002)
                duration_s = time.perf_counter() - self.started_at
                call.close()
                return duration_s
            except OSError:
                await asyncio.sleep(0.002)
        raise TimeoutError("serve did not become ready; its log is in the folder of its configuration")

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    def cpu_s(self) -> float:
        """Return the CPU time of the process so far, from its CPU clock (Linux: clock_getcpuclockid(3))."""
        return time.clock_gettime((~self.pid << 3) | 2)

    def memory_mb(self) -> float:
        """Return the resident memory in MB."""
        return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * resource.getpagesize() / 1e6

    def peak_mb(self) -> float:
        status = Path(f"/proc/{self.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) * 1024 / 1e6

    def descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.pid}/fd"))

    def reload(self) -> None:
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)

    async def settled(self) -> None:
        """Wait until the process uses under 1 ms of CPU time in 50 ms.

        Open jobs keep it busy, so the wait lasts at most SETTLE_LIMIT_S.
        """
        before = self.cpu_s()
        deadline = time.perf_counter() + SETTLE_LIMIT_S
        while time.perf_counter() < deadline:
            await asyncio.sleep(0.05)
            now = self.cpu_s()
            if now - before < 0.001:
                return
            before = now

    async def stop(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Pinger:
    """Requests /-/ready repeatedly from a separate thread; the longest response time is the longest pause of the event loop."""

    def __init__(self, port: int) -> None:
        self.longest_s = 0.0
        self._stopped = threading.Event()
        self._socket = socket.create_connection(("127.0.0.1", port))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._thread = threading.Thread(target=self._ping, daemon=True)
        self._thread.start()

    def _ping(self) -> None:
        while not self._stopped.is_set():
            started = time.perf_counter()
            self._socket.sendall(b"GET /-/ready HTTP/1.1\r\nHost: dispatcher\r\n\r\n")
            self._socket.recv(4096)
            self.longest_s = max(self.longest_s, time.perf_counter() - started)

    def stop(self) -> float:
        self._stopped.set()
        self._thread.join()
        self._socket.close()
        return self.longest_s


async def cpu_of(server: Serve, action: Callable[[], Awaitable[Any]], repeats: int) -> list[float]:
    """Return milliseconds of CPU time for each run of `action`, which ends when the dispatcher has processed it."""
    measured = []
    for _ in range(repeats):
        await asyncio.sleep(CPU_CLOCK_DELAY_S)
        before = server.cpu_s()
        await action()
        await asyncio.sleep(CPU_CLOCK_DELAY_S)
        measured.append((server.cpu_s() - before) * 1000)
    return measured


async def holds_of(server: Serve, action: Callable[[], Awaitable[Any]], repeats: int) -> list[float]:
    """Return the longest pause of the event loop in milliseconds for each run of `action`."""
    longest = []
    for _ in range(repeats):
        pinger = Pinger(server.port)
        await asyncio.sleep(0.02)
        pinger.longest_s = 0.0
        await action()
        await asyncio.sleep(0.005)
        longest.append(pinger.stop() * 1000)
    return longest
