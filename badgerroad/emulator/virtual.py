"""Decision modules in virtual time: each dispatcher is a machine of its own that shares nothing with the others.

A machine does what `badgerroad/dispatcher.py` and the rooms round it do on sockets, with the same time limits,
and nothing else: which node, whether again and what to refuse is the module's.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path
from time import perf_counter
from typing import Any

from badgerroad.emulator import report
from badgerroad.emulator import scenario as sc
from badgerroad.emulator.machine import DRAIN_LEAST, Machine
from badgerroad.emulator.machine_world import MachineWorld
from badgerroad.emulator.model import nodes
from badgerroad.emulator.model.clients import UNREACHABLE, Try
from badgerroad.emulator.model.jobs import Job
from badgerroad.emulator.model.network import CLIENTS
from badgerroad.emulator.model.nodes import RenderNode
from badgerroad.emulator.model.registry import Answer
from badgerroad.emulator.model.rule_checker import SERVED
from badgerroad.emulator.open_requests import Attempt, Make, Open
from badgerroad.emulator.tier import Trace
from badgerroad.emulator.world import World
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy


class VirtualWorld(MachineWorld[Machine]):
    """The world with machines in it."""

    def __init__(self, scenario: sc.Scenario, seed: int, folder: Path, make: Make, trace: Trace | None = None) -> None:
        """`make` makes the decisions of each dispatcher."""
        self.attempts: dict[tuple[str, str, int], tuple[Machine, Open, Attempt]] = {}
        super().__init__(scenario, seed, folder, lambda world: VirtualTier(world, make), trace=trace)

    def answered(self, client_try: Try, kind: str, wait: int) -> None:
        """A machine has written an answer."""
        self.referee.answered(client_try.id, kind, self.result_of(client_try.id) if kind == SERVED else "")
        self.note("answer", id=client_try.id, kind=kind)
        delay = self.network.delay(self.home[client_try.dispatcher], CLIENTS)
        if delay is not None:
            self.kernel.after(delay, self.clients.ended, client_try, kind, wait)

    def attempt_arrives(self, machine: Machine, request: Open, attempt: Attempt) -> None:
        """The last byte of an attempt is at its node."""
        node, client = attempt.node, request.client_try.job
        if attempt.fresh and not node.connect():
            self._reply(
                machine,
                attempt,
                partial(machine.attempt_ended, request, attempt, interface.AttemptResult.CONNECT_FAILED),
            )
            return
        if not node.up:
            self._reply(
                machine, attempt, partial(machine.attempt_ended, request, attempt, interface.AttemptResult.RESET)
            )
            return
        told = self.registry.counts_as_told(machine.number, node.name, self.referee.ask_within)
        attempt.seen = self.referee.attempt(
            request.client_try.id, machine.number, node.name, node.zone, node.rack, attempt.sent, machine.zone, told
        )
        job = attempt.job = Job(
            request.client_try.id,
            client.key,
            client.class_index,
            machine.number,
            client.work,
            client.slots,
            client.memory,
            hand=(machine, request, attempt, machine.life),
        )
        self.note("send", id=request.client_try.id, dispatcher=machine.number, node=node.name)
        if attempt.over:
            self.referee.attempt_over(attempt.seen, False)  # called off while it was on its way
        status = node.submit(job)
        if status == nodes.ACCEPTED:
            self._reply(machine, attempt, partial(machine.accepted, attempt))
        elif status != nodes.SILENT:
            result = {
                nodes.FULL: interface.AttemptResult.QUEUE_FULL,
                nodes.ERROR: interface.AttemptResult.ERROR,
                nodes.REFUSED: interface.AttemptResult.RESET,
            }[status]
            self.referee.attempt_over(attempt.seen, status == nodes.FULL)
            self._reply(machine, attempt, partial(machine.attempt_ended, request, attempt, result))

    def _reply(self, machine: Machine, attempt: Attempt, call: Callable[[], None]) -> None:
        machine.later(self.network.delay(attempt.node.zone, machine.zone), call)

    def attempt_cancelled(self, machine: Machine, request_id: str, attempt: Attempt) -> None:
        """A cancel has reached the attempt's node."""
        if attempt.job is not None and node_has(attempt.node, attempt.job):
            attempt.node.cancel(request_id, machine.number)

    def told(self, dispatcher: int, answer: Answer) -> None:
        """Discovery's answer has reached a machine."""
        self.referee.tell(dispatcher, answer.whole, [(e.node, e.state, e.since) for e in answer.entries])


def node_has(node: RenderNode, job: Job) -> bool:
    """Is it this very attempt that the node holds? An earlier one of the same request may have been there."""
    return node.jobs.get(job.id) is job


class VirtualTier:
    """The machines, as the world knows dispatchers."""

    def __init__(self, world: World, make: Make) -> None:
        """`make` makes the decisions of each dispatcher."""
        assert isinstance(world, VirtualWorld)
        self.world = world
        self.machines = [Machine(world, n, make) for n in range(len(world.home))]

    def submit(self, client_try: Try) -> None:
        """Send a client's request to its dispatcher."""
        machine = self.machines[client_try.dispatcher]
        delay = self.world.network.delay(CLIENTS, machine.zone) or 0
        self.world.kernel.after(delay, self._arrives, machine, client_try)

    def _arrives(self, machine: Machine, client_try: Try) -> None:
        if client_try.over:
            return
        if not machine.up:
            self.world.clients.ended(client_try, UNREACHABLE)
        else:
            machine._play(machine.life, partial(machine.take, client_try))

    def abandon(self, client_try: Try) -> None:
        """The client closes the connection of a request."""
        machine = self.machines[client_try.dispatcher]
        if client_try.until < client_try.deadline:
            self.world.referee.left(client_try.id)
        slack = self.world.referee.slack if client_try.until >= client_try.deadline else 0
        machine.later(slack + (self.world.network.delay(CLIENTS, machine.zone) or 0), machine.client_gone, client_try)

    def tell(self, node: RenderNode, job: Job, state: str, share: float) -> None:
        """Carry a job event to the dispatcher of the job."""
        hand: Any = job.hand
        machine, request, attempt, life = hand
        if state not in (nodes.STARTED, nodes.RUNNING):
            self.world.referee.attempt_over(attempt.seen, state == nodes.RETURNED)
        delay = self.world.network.delay(node.zone, machine.zone)
        if delay is not None and life == machine.life:
            machine.later(delay, machine.called_back, request, attempt, state, share)

    def node_gone(self, node: RenderNode) -> None:
        """A node's process has died: its connections break."""
        for machine in self.machines:
            if machine.up:
                machine.idle.pop(node.name, None)

    def reset(self, node: RenderNode) -> None:
        """All connections to a node break; it runs on."""
        for machine in self.machines:
            if machine.up:
                for _ in machine.idle.pop(node.name, []):
                    node.disconnect()
                for request in list(machine.requests.values()):
                    for attempt in request.attempts:
                        if attempt.node is node and not attempt.over and not attempt.accepted:
                            self._broken(machine, request, attempt)

    def _broken(self, machine: Machine, request: Open, attempt: Attempt) -> None:
        """Before its 202: the node takes the end of the connection as the end of the job, if it has it."""
        if attempt.job is not None and node_has(attempt.node, attempt.job):
            attempt.node.cancel(attempt.job.id, machine.number)
        self.world.referee.attempt_over(attempt.seen, False)
        machine.attempt_ended(request, attempt, interface.AttemptResult.RESET)

    def start(self, number: int) -> None:
        """Start a dispatcher."""
        if not self.machines[number].up:
            self.machines[number].start()

    def kill(self, number: int) -> None:
        """SIGKILL."""
        if self.machines[number].up:
            self.machines[number].kill()

    def stop(self, number: int) -> None:
        """SIGTERM."""
        machine = self.machines[number]
        machine.draining = True
        machine.later(DRAIN_LEAST, self._maybe_exit, machine)

    def _maybe_exit(self, machine: Machine) -> None:
        if machine.owed:
            machine.later(20_000, self._maybe_exit, machine)
        else:
            machine.kill()

    def freeze(self, number: int, on: bool) -> None:
        """SIGSTOP, SIGCONT."""
        self.machines[number].freeze(on)

    def reload(self, number: int) -> None:
        """Nothing that a module would notice."""

    def is_up(self, number: int) -> bool:
        """Whether the dispatcher runs."""
        return self.machines[number].up


def run(
    scenario: sc.Scenario, seed: int, folder: Path, make: Make = DispatchPolicy, trace: Trace | None = None
) -> report.Report:
    """One virtual run from start to end."""
    began = perf_counter()
    return report.of(played(scenario, seed, folder, make, trace), perf_counter() - began)


def played(
    scenario: sc.Scenario,
    seed: int,
    folder: Path,
    make: Make = DispatchPolicy,
    trace: Trace | None = None,
    arrived: Callable[[VirtualWorld], None] = lambda world: None,
) -> VirtualWorld:
    """A world after its run. `arrived` looks at it when the last job has arrived."""
    world = VirtualWorld(scenario, seed, folder, make, trace)
    for number in range(len(world.home)):
        world.tier.start(number)
    world.begin()
    world.kernel.run(world.length)
    arrived(world)
    world.kernel.run(world.end)
    return world
