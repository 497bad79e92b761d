"""The simulation environment of a scenario: nodes, network, discovery, clients, rule checker and scenario events.

A `Tier` connects it to the dispatchers: virtual machines in `virtual.py`, processes reached over sockets in `live/`.
The environment is the same for both.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from badgerroad.emulator import assembly
from badgerroad.emulator import scenario as sc
from badgerroad.emulator.model import nodes
from badgerroad.emulator.model.clients import Clients, FrontEnd
from badgerroad.emulator.model.jobs import Job, Profile
from badgerroad.emulator.model.kernel import SEC, Draws, Kernel
from badgerroad.emulator.model.network import Network
from badgerroad.emulator.model.nodes import RenderNode
from badgerroad.emulator.model.registry import Entry
from badgerroad.emulator.model.rule_checker import ClassRule, RuleChecker
from badgerroad.emulator.scenario_events import ScenarioEvents
from badgerroad.emulator.tier import Tier, Trace

SETTLE_TIME_US = 3 * SEC  # a run ends this long after the longest deadline of the last arrival
MAX_STOP_WAIT_US = 3 * SEC  # a planned restart waits at most this long for open answers
KILL_DELAY_US = 700_000  # a process that has not ended is killed this long after the wait for open answers
LIVE_SLACK_US = 50_000  # added to the time limits of the rule checker in live runs, for delays of real sockets


class World:
    """Simulation environment of one run: nodes, network, discovery, clients and rule checker."""

    def __init__(
        self,
        scenario: sc.Scenario,
        seed: int,
        folder: Path,
        make_tier: Callable[[World], Tier],
        live: bool = False,
        trace: Trace | None = None,
        start: int = 0,
        kernel: Kernel | None = None,
    ) -> None:
        """Create the environment and schedule the scenario's events.

        `folder` contains the trace file. `start` is the Unix time, in microseconds, at which a live run begins (0 in
        virtual time); the times of the scenario are relative to it.
        """
        self.scenario, self.seed, self.trace, self.live = scenario, seed, trace, live
        s, self.kernel, self.start = scenario, kernel or Kernel(0), start
        us = 1000
        self.zones = [zone.name for zone in s.zone]
        # Index of the zone of each dispatcher.
        self.dispatcher_zones = [n for n, zone in enumerate(s.zone) for _ in range(zone.dispatchers)]
        network_draws = self.draws("network")
        same, cross, client = (
            (r[0] * us, r[1] * us) for r in (s.network.same_ms, s.network.cross_ms, s.network.client_ms)
        )
        self.network = Network(self.kernel, network_draws, len(s.zone), same, cross, client, s.network.jitter)
        self.registry = assembly.create_registry(s, self.kernel, self.draws("discovery"))
        self.request_classes = assembly.create_classes(s, self.draws("classes"))
        self.rule_checker = RuleChecker(
            self.kernel,
            [ClassRule(k.name, k.semantics, k.group, k.dedup_window) for k in self.request_classes],
            int(s.rules.drain_grace_ms * us),
            int(s.rules.answer_slack_ms * us),
            int(s.rules.ask_within_s * SEC),
            s.rules.max_attempts,
            s.rules.second_copies,
            LIVE_SLACK_US if live else 0,
        )
        self.nodes: list[RenderNode] = []
        self.by_name: dict[str, RenderNode] = {}
        self._node_count = 0
        machine_draws = self.draws("machines")
        for n, zone in enumerate(s.zone):
            for k in range(zone.nodes):
                self.add_node(n, machine_draws, k // s.rack)
        self.tier = make_tier(self)
        first_dispatcher, front_ends = 0, []
        detection_delay = s.front_notice_s
        for zone in s.zone:
            front_ends.append(
                FrontEnd(
                    self.kernel,
                    self.draws(f"front {zone.name}"),
                    range(first_dispatcher, first_dispatcher + zone.dispatchers),
                    detection_delay,
                )
            )
            first_dispatcher += zone.dispatchers
        self.front_ends = front_ends
        self.length = int(s.length_s * SEC)
        rate = s.load.rate_per_s or s.load.level * self.capacity / self.mean_work
        self.clients = Clients(
            self.kernel,
            self.draws,
            self.request_classes,
            [zone.traffic for zone in s.zone],
            rate,
            self.length,
            front_ends,
            self.tier,
            s.clients.retries,
            int(s.clients.backoff_ms * us),
            s.clients.honour,
            s.clients.impatient,
            s.load.hint_noise,
        )
        if s.load.shape == "wave":
            self.clients.swing, self.clients.period = s.load.swing, int(s.load.period_s * SEC)
        self._trace_rows = sc.trace_rows(s, folder) if s.load.shape == "trace" else []
        events = ScenarioEvents(self, self.draws("events"))
        for event in s.event:
            self.kernel.at(int(event.at_s * SEC), events.play, event)

    def draws(self, name: str) -> Draws:
        """Return the named random number stream of this run."""
        return Draws(self.seed, name)

    def trace_event(self, event_name: str, /, **fields: Any) -> None:
        """Write an event to the trace, if tracing is on."""
        if self.trace is not None:
            self.trace(self.kernel.now, event_name, fields)

    # Nodes.

    @property
    def capacity(self) -> float:
        """Capacity of all nodes when warm, in core-seconds of work at speed 1 per second."""
        return sum(min(n.profile.cores, n.profile.slots) * n.profile.speed for n in self.nodes)

    @property
    def mean_work(self) -> float:
        """Mean work of a job in core-seconds."""
        total = sum(k.share for k in self.request_classes)
        return sum(k.share / total * k.work * k.mean_slots for k in self.request_classes) / SEC

    def add_node(self, zone: int, draws: Draws, cell: int, warming_up: bool = False) -> RenderNode:
        """Create a node; `draws` selects its machine type, slots and speed.

        A node that is `warming_up` is not listed before it has started; any other is listed at once as ready.
        """
        s, us = self.scenario, 1000
        machine_type = draws.index([k.share for k in s.kind])
        k, number = s.kind[machine_type], self._node_count
        self._node_count += 1
        slots = max(round(k.cores * draws.uniform(*k.slots_per_core)), 1)
        profile = Profile(
            cores=k.cores,
            speed=draws.uniform(*k.speed),
            slots=slots,
            queue=int(k.queue_per_core * k.cores),
            memory=float(slots) if s.rules.memory else 0.0,
            initial_capacity=max(k.cold_from, s.rules.cold_from),
            warm_up_time=int(min(k.cold_s, s.rules.cold_s) * SEC),
            overload_multiple=s.rules.fall_multiple,
            overload_window=int(s.rules.fall_ms * us),
            mean_work=self.mean_work * SEC,
            crowding_threshold=k.crowd_at,
            crowding_loss=k.crowd_loss,
            connections=s.network.connections_per_core * k.cores,
            handshake_work=s.network.handshake_us,
            probe_work=s.reports.probe_us,
            error_rate=k.error_rate,
            returns_on_drain=s.rules.returns_on_drain,
            pause_interval=int(k.pause_every_s * SEC),
            pause_duration=int(k.pause_ms * us),
            progress_interval=int(s.rules.progress_ms * us) if s.rules.tells_start else 0,
            report_period=int(s.reports.period_ms * us),
            report_delay=int(s.reports.delay_ms * us),
            report_noise=s.reports.noise,
        )
        name = f"n{number:04d}"
        node = RenderNode(
            self.kernel,
            name,
            profile,
            zone,
            zone * 10_000 + cell,
            machine_type,
            self.draws(f"node {name}"),
            self._on_job_event,
            self._on_collapse,
            self._on_node_state,
        )
        node.started_at = self.kernel.now if warming_up else 0
        self.nodes.append(node)
        self.by_name[name] = node
        if not warming_up:
            self.registry.entries[name] = self.list_entry(node, "ready")
        return node

    def listed_start(self, node: RenderNode) -> int:
        """Start time of a node as listed: in microseconds, rounded down to milliseconds; 0 if before the run."""
        return (node.started_at + self.start) // 1000 * 1000 if node.started_at else 0

    def list_entry(self, node: RenderNode, state: str) -> Entry:
        """Create the entry of a node in discovery's list."""
        return Entry(
            node.name,
            state,
            self.listed_start(node),
            node.machine_type,
            node.zone,
            node.cell,
            round(node.profile.cores * self.scenario.kind[node.machine_type].speed[0], 2),
        )

    def _on_node_state(self, node: RenderNode, state: str) -> None:
        self.trace_event("node", node=node.name, state=state)
        if state == "gone":
            self.tier.node_gone(node)
        self.registry.update_later(self.list_entry(node, state))

    def _on_collapse(self, node: RenderNode, sent: list[tuple[int, float]]) -> None:
        self.trace_event("fell", node=node.name)
        self.rule_checker.node_collapsed(node.name, self.listed_start(node), sent)

    def _on_job_event(self, node: RenderNode, job: Job, state: str, share: float) -> None:
        if state == nodes.DONE:
            self.rule_checker.job_completed(job.class_index, job.key, node.zone, node.cell)
            self.rule_checker.result_produced(job.id, self.result_of(job.id))
        self.trace_event("told", node=node.name, id=job.id, state=state)
        self.tier.send_job_event(node, job, state, share)

    @staticmethod
    def result_of(request_id: str) -> str:
        """Return the result that a node produces for a request; a dispatcher may serve no other result for it."""
        return f"made:{request_id}"

    # Dispatcher processes.

    def kill_dispatcher(self, number: int) -> None:
        """Kill a dispatcher."""
        self.trace_event("dispatcher", number=number, state="killed")
        self.tier.kill(number)
        self.registry.dispatcher_ended(number)
        self.rule_checker.dispatcher_ended(number, False)
        for front_end in self.front_ends:
            front_end.dispatcher_died(number, self.tier.is_up)

    def stop_dispatcher(self, number: int) -> None:
        """Stop a dispatcher with SIGTERM and start it again."""
        self.trace_event("dispatcher", number=number, state="stopping")
        self.tier.stop(number)
        for front_end in self.front_ends:
            front_end.dispatcher_stopping(number)
        longest_deadline = max(k.deadline for k in self.request_classes)
        self.kernel.after(min(longest_deadline, MAX_STOP_WAIT_US) + KILL_DELAY_US, self._finish_stop, number)

    def _finish_stop(self, number: int) -> None:
        if self.tier.is_up(number):
            self.tier.kill(number)
        self.registry.dispatcher_ended(number)
        self.rule_checker.dispatcher_ended(number, False)
        self.kernel.after(self.scenario.start_s * SEC, self.tier.start, number)

    def dispatcher_ready(self, number: int) -> None:
        """Handle that a dispatcher has reported ready."""
        self.trace_event("dispatcher", number=number, state="ready")
        for front_end in self.front_ends:
            front_end.dispatcher_ready(number)

    # The run.

    def start_arrivals(self) -> None:
        """Start the arrivals."""
        if self._trace_rows:
            names = [c.name for c in self.scenario.cls]
            self.clients.begin_trace(
                [
                    (
                        int(r.at_s * SEC),
                        names.index(r.cls),
                        r.work_ms * 1000,
                        r.slots,
                        self.zones.index(r.zone) if r.zone else -1,
                    )
                    for r in self._trace_rows
                ]
            )
        else:
            self.clients.begin()

    @property
    def end(self) -> int:
        """Latest end of the run, when all answers are due."""
        return self.length + max(k.deadline for k in self.request_classes) + SETTLE_TIME_US
