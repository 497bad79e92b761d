"""One call of a virtual dispatcher at discovery."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from badgerroad.discovery.watch_schedule import WatchSchedule
from badgerroad.emulator.machine_world import MachineWorld
from badgerroad.emulator.model.kernel import Kernel
from badgerroad.emulator.model.registry import Answer


class CallingMachine(Protocol):
    """What a call needs of its machine."""

    @property
    def world(self) -> MachineWorld[Any]:
        """The world that the machine is in."""

    @property
    def kernel(self) -> Kernel:
        """The clock and event queue of the run."""

    schedule: WatchSchedule
    number: int
    zone: int
    life: int
    up: bool
    version: int

    def later(self, delay: int | None, call: Callable[..., None], *args: Any) -> None:
        """Play something in the machine's present life."""

    def call_discovery(self) -> None:
        """Call again."""

    def take_list(self, answer: Answer) -> None:
        """The answer has been read."""

    def discovery_failed(self) -> None:
        """Discovery counts as unavailable."""


class DiscoveryCall:
    """One call of a machine at discovery, until it is answered, fails or is given up."""

    def __init__(self, machine: CallingMachine) -> None:
        """For the life that the machine has now."""
        self._machine = machine
        self._call = machine.schedule.next_call()
        self._begun = machine.kernel.now
        self._life = machine.life
        self._done = False

    def start(self) -> None:
        """Send it; the answer comes a trip later, or never."""
        machine = self._machine
        machine.world.note("discovery", dispatcher=machine.number, wait=self._call.wait_us)
        machine.later(self._call.timeout_us, self._give_up)
        delay = machine.world.network.delay(machine.zone, machine.zone)
        if delay is not None:
            machine.kernel.after(delay, self._arrive)

    def _arrive(self) -> None:
        machine = self._machine
        if self._life == machine.life:
            machine.world.registry.call(machine.number, machine.version, self._call.wait_us, self._reply)

    def _reply(self, answer: Answer | None) -> None:
        """It is written now, and read one trip later."""
        machine = self._machine
        if answer is not None and machine.up:
            machine.world.told(machine.number, answer)
        machine.later(machine.world.network.delay(machine.zone, machine.zone), self._read, answer)

    def _read(self, answer: Answer | None) -> None:
        if self._done:
            return
        self._done = True
        if answer is None:
            self._fail()
            return
        self._machine.schedule.call_answered()
        self._machine.take_list(answer)
        self._machine.call_discovery()

    def _give_up(self) -> None:
        if not self._done:
            self._done = True
            self._fail()

    def _fail(self) -> None:
        machine = self._machine
        pause = machine.schedule.call_failed(self._call, machine.kernel.now - self._begun)
        if machine.schedule.discovery_unavailable:
            machine.discovery_failed()
        machine.later(pause, machine.call_discovery)
