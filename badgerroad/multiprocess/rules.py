"""Which server process is started, terminated or killed, and when: a state machine without I/O or a clock.

The supervisor reports events and performs the actions that are returned, in order. Times are microseconds.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

STABLE_RUN_US = 10_000_000  # a process that ran so long did not fail at its start: its end resets the backoff
INITIAL_BACKOFF_US = 100_000  # between a failure at the start and the next start; doubled each time
MAX_BACKOFF_US = 5_000_000
MAX_BACKOFF_DOUBLINGS = 16
START_TIMEOUT_US = 15_000_000  # from the start to the first message; that takes 0.3 to 1 s
# A server process sends a message every 0.2 s. One that has sent none for so long while the supervisor was awake is
# stopped or hangs, and its clients with it.
MISSING_HEARTBEAT_US = 10_000_000
PERMANENT_FAILURE_CODES = (
    1,
    2,
)  # exit codes: cannot listen, bad configuration; another first start would fail likewise


class ProcessState(StrEnum):
    """What a server process has reached."""

    DOWN = "down"
    STARTING = "starting"  # it runs, and does not listen yet
    UP = "up"


class Start(NamedTuple):
    """Start the server process now."""

    process: int


class StartLater(NamedTuple):
    """Call `start_due` after a time."""

    process: int
    delay_us: int


class Terminate(NamedTuple):
    """SIGTERM: the process answers its open requests and exits."""

    process: int


class Kill(NamedTuple):
    """SIGKILL."""

    process: int


class Exit(NamedTuple):
    """The supervisor's end; no server process runs."""

    code: int


Action = Start | StartLater | Terminate | Kill | Exit


class ServerProcessRecord:
    """What the rules know of one server process."""

    def __init__(self) -> None:
        """It has never been started."""
        self.state = ProcessState.DOWN
        self.started_at = 0  # microseconds, the last time
        self.consecutive_failures = 0  # at the start


class ProcessGroup:
    """The server processes of one supervisor."""

    def __init__(self, size: int) -> None:
        """`size`: how many there are to be."""
        self.processes = [ServerProcessRecord() for _ in range(size)]
        self.terminating = False
        self._exit_code = 0
        self._configuration_proven = False  # some server process has come up with it

    def start(self, now: int) -> list[Action]:
        """Start all."""
        return [action for number in range(len(self.processes)) for action in self.start_due(now, number)]

    def start_due(self, now: int, number: int) -> list[Action]:
        """The backoff before a start is over."""
        process = self.processes[number]
        if self.terminating or process.state is not ProcessState.DOWN:
            return []
        process.state = ProcessState.STARTING
        process.started_at = now
        return [Start(number)]

    def listening(self, number: int) -> None:
        """A server process has come up."""
        if self.processes[number].state is ProcessState.STARTING:
            self.processes[number].state = ProcessState.UP
            self._configuration_proven = True

    def message_overdue(self, number: int) -> list[Action]:
        """START_TIMEOUT_US or MISSING_HEARTBEAT_US has passed without a message."""
        return [] if self.processes[number].state is ProcessState.DOWN else [Kill(number)]

    def ended(self, now: int, number: int, code: int | None) -> list[Action]:
        """A server process has ended with an exit code, or could not be started (None)."""
        process = self.processes[number]
        failed_at_start = process.state is ProcessState.STARTING
        process.state = ProcessState.DOWN
        if self.terminating:
            return self._exit_if_all_down()
        if failed_at_start and not self._configuration_proven and code in PERMANENT_FAILURE_CODES:
            self._exit_code = int(code or 0)
            return self._terminate_all()
        stable = now - process.started_at >= STABLE_RUN_US
        process.consecutive_failures = 0 if stable else process.consecutive_failures + 1
        return [StartLater(number, _backoff_us(process.consecutive_failures))]

    def terminate(self) -> list[Action]:
        """The supervisor has been asked to terminate."""
        return [] if self.terminating else self._terminate_all()

    def _terminate_all(self) -> list[Action]:
        self.terminating = True
        running: list[Action] = [
            Terminate(number) for number, process in enumerate(self.processes) if process.state is not ProcessState.DOWN
        ]
        return running or self._exit_if_all_down()

    def _exit_if_all_down(self) -> list[Action]:
        if any(process.state is not ProcessState.DOWN for process in self.processes):
            return []
        return [Exit(self._exit_code)]


def _backoff_us(consecutive_failures: int) -> int:
    if not consecutive_failures:
        return 0
    doublings = min(consecutive_failures - 1, MAX_BACKOFF_DOUBLINGS)
    return min(INITIAL_BACKOFF_US << doublings, MAX_BACKOFF_US)
