"""A call from a virtual dispatcher to discovery."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from badgerroad.discovery.watch_schedule import WatchSchedule
from badgerroad.emulator.machine_world import MachineWorld
from badgerroad.emulator.model.kernel import Kernel
from badgerroad.emulator.model.registry import Answer


class CallingMachine(Protocol):
    """The part of a machine that a discovery call uses."""

    @property
    def world(self) -> MachineWorld[Any]:
        """The simulation environment of the machine."""

    @property
    def kernel(self) -> Kernel:
        """The clock and event queue of the run."""

    schedule: WatchSchedule
    number: int
    zone: int
    incarnation: int
    up: bool
    version: int

    def call_later(self, delay: int | None, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call that is dropped if the machine has been restarted by then."""

    def call_discovery(self) -> None:
        """Start the next call to discovery."""

    def apply_list(self, answer: Answer) -> None:
        """Apply an answer of discovery."""

    def discovery_failed(self) -> None:
        """Handle that discovery counts as unavailable."""


class DiscoveryCall:
    """One call to discovery, until it is answered or fails. After its timeout another one begins beside it."""

    def __init__(self, machine: CallingMachine) -> None:
        """Create a call for the machine's current incarnation; a restart of the machine voids it."""
        self._machine = machine
        self._call = machine.schedule.next_call()
        self._started_at = machine.kernel.now
        self._incarnation = machine.incarnation
        self._done = self._is_late = False

    def start(self) -> None:
        """Send the call and start its timeout."""
        machine = self._machine
        machine.world.trace_event("discovery", dispatcher=machine.number, wait=self._call.wait_us)
        machine.call_later(self._call.timeout_us, self._time_out)
        delay = machine.world.network.delay(machine.zone, machine.zone)
        if delay is not None:
            machine.kernel.after(delay, self._arrive)

    def _arrive(self) -> None:
        machine = self._machine
        if self._incarnation == machine.incarnation:
            machine.world.registry.call(machine.number, machine.version, self._call.wait_us, self._reply)

    def _reply(self, answer: Answer | None) -> None:
        """Send the answer; the machine reads it after the network delay."""
        machine = self._machine
        if answer is not None and machine.up:
            machine.world.list_sent(machine.number, answer)
        machine.call_later(machine.world.network.delay(machine.zone, machine.zone), self._read, answer)

    def _read(self, answer: Answer | None) -> None:
        if self._done:
            return
        self._done = True
        if answer is not None and answer.version >= self._machine.version:
            self._machine.schedule.call_answered()
            self._machine.apply_list(answer)
        if self._is_late:
            return
        if answer is None:
            self._fail()
        else:
            self._machine.call_discovery()

    def _time_out(self) -> None:
        if not self._done:
            self._is_late = True
            self._fail()

    def _fail(self) -> None:
        machine = self._machine
        pause = machine.schedule.call_failed(self._call, machine.kernel.now - self._started_at)
        if machine.schedule.discovery_unavailable:
            machine.discovery_failed()
        machine.call_later(pause, machine.call_discovery)
