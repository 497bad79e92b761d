"""Runs dispatchers in virtual time: each is a `Machine` that shares no state with the others.

A machine replaces the socket code of a dispatcher, with the same timeouts. All decisions (the choice of the node,
retries, rejections) are made by the decision module.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path
from time import perf_counter
from typing import Any

from badgerroad.emulator import report
from badgerroad.emulator import scenario as sc
from badgerroad.emulator.machine import MIN_DRAIN_TIME_US, Machine
from badgerroad.emulator.machine_world import MachineWorld
from badgerroad.emulator.model import nodes
from badgerroad.emulator.model.clients import UNREACHABLE, Try
from badgerroad.emulator.model.jobs import Job
from badgerroad.emulator.model.network import CLIENTS
from badgerroad.emulator.model.nodes import RenderNode
from badgerroad.emulator.model.registry import Answer
from badgerroad.emulator.model.rule_checker import SERVED
from badgerroad.emulator.open_requests import Attempt, DecisionModuleFactory, OpenRequest
from badgerroad.emulator.tier import Trace
from badgerroad.emulator.world import World
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy


class VirtualWorld(MachineWorld[Machine]):
    """Simulation environment with virtual dispatchers."""

    def __init__(
        self,
        scenario: sc.Scenario,
        seed: int,
        folder: Path,
        make_policy: DecisionModuleFactory,
        trace: Trace | None = None,
    ) -> None:
        """`make_policy` creates the decision module of each dispatcher."""
        super().__init__(scenario, seed, folder, lambda world: VirtualTier(world, make_policy), trace=trace)

    def send_answer(self, client_try: Try, outcome: str, retry_after: int) -> None:
        """Send a dispatcher's answer to the client."""
        self.rule_checker.answer_received(
            client_try.id, outcome, self.result_of(client_try.id) if outcome == SERVED else ""
        )
        self.trace_event("answer", id=client_try.id, kind=outcome)
        delay = self.network.delay(self.dispatcher_zones[client_try.dispatcher], CLIENTS)
        if delay is not None:
            self.kernel.after(delay, self.clients.try_ended, client_try, outcome, retry_after)

    def attempt_arrives(self, machine: Machine, request: OpenRequest, attempt: Attempt) -> None:
        """Handle the arrival of a complete attempt at its node."""
        node, client_job = attempt.node, request.client_try.job
        if attempt.new_connection and not node.connect():
            self._send_response(
                machine,
                attempt,
                partial(machine.attempt_ended, request, attempt, interface.AttemptResult.CONNECT_FAILED),
            )
            return
        if not node.up:
            self._send_response(
                machine, attempt, partial(machine.attempt_ended, request, attempt, interface.AttemptResult.RESET)
            )
            return
        notified_at = self.registry.presumed_notified_at(machine.number, node.name, self.rule_checker.ask_within)
        attempt.checked_attempt = self.rule_checker.attempt_arrived(
            request.client_try.id,
            machine.number,
            node.name,
            node.zone,
            node.cell,
            attempt.sent_at,
            machine.zone,
            notified_at,
        )
        job = attempt.job = Job(
            request.client_try.id,
            client_job.key,
            client_job.class_index,
            machine.number,
            client_job.work,
            client_job.slots,
            client_job.memory,
            context=(machine, request, attempt, machine.incarnation),
        )
        self.trace_event("send", id=request.client_try.id, dispatcher=machine.number, node=node.name)
        if attempt.ended:
            self.rule_checker.attempt_ended(attempt.checked_attempt, False)  # the attempt was given up while in transit
        status = node.submit(job)
        if status == nodes.ACCEPTED:
            self._send_response(machine, attempt, partial(machine.on_accepted, attempt))
        elif status != nodes.SILENT:
            result = {
                nodes.FULL: interface.AttemptResult.QUEUE_FULL,
                nodes.ERROR: interface.AttemptResult.ERROR,
                nodes.REFUSED: interface.AttemptResult.RESET,
            }[status]
            self.rule_checker.attempt_ended(attempt.checked_attempt, status == nodes.FULL)
            self._send_response(machine, attempt, partial(machine.attempt_ended, request, attempt, result))

    def _send_response(self, machine: Machine, attempt: Attempt, call: Callable[[], None]) -> None:
        machine.call_later(self.network.delay(attempt.node.zone, machine.zone), call)

    def attempt_cancelled(self, machine: Machine, request_id: str, attempt: Attempt) -> None:
        """Handle the arrival of a cancel at the attempt's node."""
        if attempt.job is not None and has_attempt(attempt.node, attempt.job):
            attempt.node.cancel(request_id, machine.number)

    def list_sent(self, dispatcher: int, answer: Answer) -> None:
        """Record that discovery has sent an answer to a dispatcher."""
        self.rule_checker.list_sent(
            dispatcher, answer.complete, [(entry.node, entry.state, entry.started_at) for entry in answer.entries]
        )


def has_attempt(node: RenderNode, job: Job) -> bool:
    """Whether the node has this attempt, and not an earlier one of the same request."""
    return node.jobs.get(job.id) is job


class VirtualTier:
    """Implements `Tier` with virtual dispatchers."""

    def __init__(self, world: World, make_policy: DecisionModuleFactory) -> None:
        """`make_policy` creates the decision module of each dispatcher."""
        assert isinstance(world, VirtualWorld)
        self.world = world
        self.machines = [Machine(world, number, make_policy) for number in range(len(world.dispatcher_zones))]

    def submit(self, client_try: Try) -> None:
        """Send a client's request to its dispatcher."""
        machine = self.machines[client_try.dispatcher]
        delay = self.world.network.delay(CLIENTS, machine.zone) or 0
        self.world.kernel.after(delay, self._on_arrival, machine, client_try)

    def _on_arrival(self, machine: Machine, client_try: Try) -> None:
        if client_try.ended:
            return
        if not machine.up:
            self.world.clients.try_ended(client_try, UNREACHABLE)
        else:
            machine._run_in_incarnation(machine.incarnation, partial(machine.receive, client_try))

    def abandon(self, client_try: Try) -> None:
        """Close the connection of a client that has stopped waiting."""
        machine = self.machines[client_try.dispatcher]
        if client_try.until < client_try.deadline:
            self.world.rule_checker.client_disconnected(client_try.id)
        slack = self.world.rule_checker.slack if client_try.until >= client_try.deadline else 0
        machine.call_later(
            slack + (self.world.network.delay(CLIENTS, machine.zone) or 0), machine.on_client_disconnected, client_try
        )

    def send_job_event(self, node: RenderNode, job: Job, state: str, share: float) -> None:
        """Send a job event to the dispatcher of the job."""
        context: Any = job.context
        machine, request, attempt, incarnation = context
        if state not in (nodes.STARTED, nodes.RUNNING):
            self.world.rule_checker.attempt_ended(attempt.checked_attempt, state == nodes.RETURNED)
        delay = self.world.network.delay(node.zone, machine.zone)
        if delay is not None and incarnation == machine.incarnation:
            machine.call_later(delay, machine.on_job_event, request, attempt, state, share)

    def node_gone(self, node: RenderNode) -> None:
        """Break the connections of a node whose process has ended."""
        for machine in self.machines:
            if machine.up:
                machine.idle.pop(node.name, None)

    def reset(self, node: RenderNode) -> None:
        """Break all connections to a node, which continues to run."""
        for machine in self.machines:
            if machine.up:
                for _ in machine.idle.pop(node.name, []):
                    node.disconnect()
                for request in list(machine.requests.values()):
                    for attempt in request.attempts:
                        if attempt.node is node and not attempt.ended and not attempt.accepted:
                            self._on_connection_broken(machine, request, attempt)

    def _on_connection_broken(self, machine: Machine, request: OpenRequest, attempt: Attempt) -> None:
        """End an attempt whose connection broke before the 202; the node cancels its job, if it has it."""
        if attempt.job is not None and has_attempt(attempt.node, attempt.job):
            attempt.node.cancel(attempt.job.id, machine.number)
        self.world.rule_checker.attempt_ended(attempt.checked_attempt, False)
        machine.attempt_ended(request, attempt, interface.AttemptResult.RESET)

    def start(self, number: int) -> None:
        """Start a dispatcher."""
        if not self.machines[number].up:
            self.machines[number].start()

    def kill(self, number: int) -> None:
        """Kill a dispatcher (SIGKILL)."""
        if self.machines[number].up:
            self.machines[number].kill()

    def stop(self, number: int) -> None:
        """Stop a dispatcher gracefully (SIGTERM)."""
        machine = self.machines[number]
        machine.draining = True
        machine.call_later(MIN_DRAIN_TIME_US, self._exit_if_done, machine)

    def _exit_if_done(self, machine: Machine) -> None:
        if machine.has_unanswered:
            machine.call_later(20_000, self._exit_if_done, machine)
        else:
            machine.kill()

    def freeze(self, number: int, on: bool) -> None:
        """Freeze or resume a dispatcher (SIGSTOP, SIGCONT)."""
        self.machines[number].freeze(on)

    def reload(self, number: int) -> None:
        """Do nothing: a reload does not affect the decision module."""

    def is_up(self, number: int) -> bool:
        """Whether a dispatcher is running."""
        return self.machines[number].up


def run(
    scenario: sc.Scenario,
    seed: int,
    folder: Path,
    make_policy: DecisionModuleFactory = DispatchPolicy,
    trace: Trace | None = None,
) -> report.Report:
    """Run a scenario in virtual time and return its report."""
    started_at = perf_counter()
    return report.create(simulate(scenario, seed, folder, make_policy, trace), perf_counter() - started_at)


def simulate(
    scenario: sc.Scenario,
    seed: int,
    folder: Path,
    make_policy: DecisionModuleFactory = DispatchPolicy,
    trace: Trace | None = None,
    at_arrivals_end: Callable[[VirtualWorld], None] = lambda world: None,
) -> VirtualWorld:
    """Run a scenario in virtual time and return the environment; `at_arrivals_end` is called after the last arrival."""
    world = VirtualWorld(scenario, seed, folder, make_policy, trace)
    for number in range(len(world.dispatcher_zones)):
        world.tier.start(number)
    world.start_arrivals()
    world.kernel.run(world.length)
    at_arrivals_end(world)
    world.kernel.run(world.end)
    return world
