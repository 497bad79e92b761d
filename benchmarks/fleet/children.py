"""Child processes of a run: started with pipes, limited in number and memory, and always ended by process id."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal
import sys
from pathlib import Path
from typing import NamedTuple

MAX_PROCESSES = 300
MAX_MEMORY_SHARE = 0.5  # share of the machine's memory that all processes of a run may use together
LINE_LIMIT = 1 << 26
END_TIMEOUT_S = 8.0
ROOT = Path(__file__).resolve().parents[2]
PR_SET_PDEATHSIG = 1
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
_libc = ctypes.CDLL(None)


class TooLargeInstallationError(Exception):
    """A run needs more processes or memory than allowed."""


class Usage(NamedTuple):
    """Resource usage of one process from /proc: CPU seconds since its start, and resident bytes."""

    cpu_s: float
    resident: int


def end_with_parent() -> None:
    """Make the kernel kill this child when its parent dies. Runs in the child before its program."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def usage(pid: int) -> Usage:
    """Return the usage of a process. Raises OSError if it no longer exists."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return Usage((int(fields[11]) + int(fields[12])) / CLOCK_TICKS, int(fields[21]) * PAGE)


def memory_of_machine() -> int:
    return os.sysconf("SC_PHYS_PAGES") * PAGE


class Children:
    """All processes of one run."""

    def __init__(self) -> None:
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self, arguments: list[str], log: Path) -> asyncio.subprocess.Process:
        """Start a Python process with pipes on standard input and output; standard error goes to `log`."""
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
        """Start a Python process without pipes; standard output and error go to `log`."""
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
        if running >= MAX_PROCESSES:
            raise TooLargeInstallationError(f"{running} processes are running, the limit is {MAX_PROCESSES}")

    def check_memory(self) -> int:
        """Return the resident bytes of all processes.

        Raises TooLargeInstallationError above the allowed share of the machine's memory.
        """
        total = 0
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(OSError):  # the process has just ended
                    total += usage(process.pid).resident
        if total > memory_of_machine() * MAX_MEMORY_SHARE:
            raise TooLargeInstallationError(
                f"the processes use {total >> 20} MiB of resident memory, more than a run may use"
            )
        return total

    async def end_all(self) -> None:
        """Kill every process that still runs, by its process id, and wait for all."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
        waits = [process.wait() for process in self.processes]
        if waits:
            await asyncio.wait_for(asyncio.gather(*waits), END_TIMEOUT_S)


async def send_line(process: asyncio.subprocess.Process, line: str) -> None:
    assert process.stdin is not None
    process.stdin.write(line.encode() + b"\n")
    await process.stdin.drain()


async def read_line(process: asyncio.subprocess.Process, timeout: float) -> bytes:
    """Return the next line of output. Raises TimeoutError, or EOFError if the process has ended."""
    assert process.stdout is not None
    line = await asyncio.wait_for(process.stdout.readline(), timeout)
    if not line:
        raise EOFError(f"process {process.pid} closed its output")
    return line


async def finish(process: asyncio.subprocess.Process, timeout: float) -> bytes:
    """Close the process's input and return the line that it prints at its end."""
    assert process.stdin is not None
    process.stdin.close()
    return await read_line(process, timeout)
