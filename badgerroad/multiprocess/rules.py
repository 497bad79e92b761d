"""A state machine that decides when server processes are started, terminated and killed. No I/O, no clock.

The supervisor calls its methods on events and performs the returned actions in order. Times are microseconds.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

# A process that has run for this long did not fail at its start, so the backoff is reset when it ends.
STABLE_RUN_US = 10_000_000
INITIAL_BACKOFF_US = 100_000  # time between a failed start and the next start; doubled after each further failure
MAX_BACKOFF_US = 5_000_000
MAX_BACKOFF_DOUBLINGS = 16
START_TIMEOUT_US = 15_000_000  # from the start to the first message, which normally takes 0.3 to 1 s
# A server process sends a message every 0.2 s. A process that has sent none for this long, while the supervisor was
# awake, is stopped or hangs, and its clients hang with it.
MISSING_HEARTBEAT_US = 10_000_000
# Exit codes for "cannot listen" and "invalid configuration", with which any other server process would exit too.
# The supervisor then ends all server processes instead of starting the failed one again.
PERMANENT_FAILURE_CODES = (
    1,
    2,
)


class ProcessState(StrEnum):
    """State of a server process."""

    DOWN = "down"
    STARTING = "starting"  # the process runs but does not listen yet
    UP = "up"


class Start(NamedTuple):
    """Action: start the server process now."""

    process: int


class StartLater(NamedTuple):
    """Action: call `start_due` after `delay_us`."""

    process: int
    delay_us: int


class Terminate(NamedTuple):
    """Action: send SIGTERM, on which the process answers its open requests and exits."""

    process: int


class Kill(NamedTuple):
    """Action: send SIGKILL to the process."""

    process: int


class Exit(NamedTuple):
    """Action: end the supervisor with an exit code; no server process is running."""

    code: int


Action = Start | StartLater | Terminate | Kill | Exit


class ServerProcessRecord:
    """The state of one server process and its recent failures."""

    def __init__(self) -> None:
        """Describe a process that has never been started."""
        self.state = ProcessState.DOWN
        self.started_at = 0  # time of the latest start
        self.consecutive_failures = 0  # how often in a row the process ended before it had run for STABLE_RUN_US


class ProcessGroup:
    """The server processes of one supervisor."""

    def __init__(self, size: int) -> None:
        """`size`: the number of server processes to keep running."""
        self.processes = [ServerProcessRecord() for _ in range(size)]
        self.terminating = False
        self._exit_code = 0
        self._configuration_proven = False  # some server process has started to listen with the configuration

    def start(self, now: int) -> list[Action]:
        """Start all server processes."""
        return [action for number in range(len(self.processes)) for action in self.start_due(now, number)]

    def start_due(self, now: int, number: int) -> list[Action]:
        """Start a server process when the backoff before its start is over."""
        process = self.processes[number]
        if self.terminating or process.state is not ProcessState.DOWN:
            return []
        process.state = ProcessState.STARTING
        process.started_at = now
        return [Start(number)]

    def process_listening(self, number: int) -> None:
        """Note that a server process listens now."""
        if self.processes[number].state is ProcessState.STARTING:
            self.processes[number].state = ProcessState.UP
            self._configuration_proven = True

    def message_overdue(self, number: int) -> list[Action]:
        """Kill a server process that has sent no message for START_TIMEOUT_US or MISSING_HEARTBEAT_US."""
        return [] if self.processes[number].state is ProcessState.DOWN else [Kill(number)]

    def process_ended(self, now: int, number: int, code: int | None) -> list[Action]:
        """Handle the end of a server process: restart it later, or end the group.

        `code`: its exit code; None if it could not be started.
        """
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
        """Terminate all server processes, since the supervisor has been asked to terminate."""
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
