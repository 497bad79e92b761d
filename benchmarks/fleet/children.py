"""Processes that are started, told things on their standard input, and ended by their process id in any case."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal
import sys
from pathlib import Path
from typing import NamedTuple

MOST_PROCESSES = 300
MOST_MEMORY_SHARE = 0.5  # of the machine's
LINE_LIMIT = 1 << 26
END_TIMEOUT_S = 8.0
ROOT = Path(__file__).resolve().parents[2]
PR_SET_PDEATHSIG = 1
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
_libc = ctypes.CDLL(None)


class TooLargeErrorError(Exception):
    """More processes or memory than a run may take."""


class Usage(NamedTuple):
    """Of one process, from /proc: seconds of CPU since its start, and resident bytes."""

    cpu_s: float
    resident: int


def end_with_parent() -> None:
    """In the child, before it runs its program: it is killed when who started it dies."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def usage(pid: int) -> Usage:
    """Raises OSError where there is no such process any more."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return Usage((int(fields[11]) + int(fields[12])) / CLOCK_TICKS, int(fields[21]) * PAGE)


def memory_of_machine() -> int:
    return os.sysconf("SC_PHYS_PAGES") * PAGE


class Children:
    """All processes of one run."""

    def __init__(self) -> None:
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self, arguments: list[str], log: Path) -> asyncio.subprocess.Process:
        """A Python process with pipes on its standard input and output; its standard error goes to `log`."""
        self._check_count()
        with log.open("ab") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                cwd=ROOT,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                limit=LINE_LIMIT,
                preexec_fn=end_with_parent,
            )
        self.processes.append(process)
        return process

    async def start_logged(self, arguments: list[str], log: Path) -> asyncio.subprocess.Process:
        """A Python process without pipes; all it says goes to `log`."""
        self._check_count()
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                preexec_fn=end_with_parent,
            )
        self.processes.append(process)
        return process

    def _check_count(self) -> None:
        running = sum(process.returncode is None for process in self.processes)
        if running >= MOST_PROCESSES:
            raise TooLargeErrorError(f"{running} processes run already")

    def check_memory(self) -> int:
        """Resident bytes of all processes. Raises TooLargeErrorError."""
        total = 0
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(OSError):  # it has ended just now
                    total += usage(process.pid).resident
        if total > memory_of_machine() * MOST_MEMORY_SHARE:
            raise TooLargeErrorError(f"{total >> 20} MiB resident in all processes")
        return total

    async def end_all(self) -> None:
        """Whatever still runs is killed, by its process id, and waited for."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        waits = [process.wait() for process in self.processes]
        if waits:
            await asyncio.wait_for(asyncio.gather(*waits), END_TIMEOUT_S)


async def tell(process: asyncio.subprocess.Process, line: str) -> None:
    assert process.stdin is not None
    process.stdin.write(line.encode() + b"\n")
    await process.stdin.drain()


async def hear(process: asyncio.subprocess.Process, timeout: float) -> bytes:
    """The next line. Raises TimeoutError, or EOFError where the process has ended."""
    assert process.stdout is not None
    line = await asyncio.wait_for(process.stdout.readline(), timeout)
    if not line:
        raise EOFError(f"process {process.pid} has ended")
    return line


async def finish(process: asyncio.subprocess.Process, timeout: float) -> bytes:
    """End its input, and take its last line."""
    assert process.stdin is not None
    process.stdin.close()
    return await hear(process, timeout)
