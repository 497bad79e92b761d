"""A scenario brought to life: nodes, network, discovery, fronts, clients, referee and the timeline of troubles.

What carries messages between them and the dispatchers is a `Tier`: virtual machines in `virtual.py`, processes
behind sockets in `live/`. The world is the same for both.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from badgerroad.emulator import assembly
from badgerroad.emulator import scenario as sc
from badgerroad.emulator.model import nodes
from badgerroad.emulator.model.clients import Clients, Front
from badgerroad.emulator.model.jobs import Job, Profile
from badgerroad.emulator.model.kernel import SEC, Draws, Kernel
from badgerroad.emulator.model.network import Network
from badgerroad.emulator.model.nodes import RenderNode
from badgerroad.emulator.model.registry import Entry
from badgerroad.emulator.model.rule_checker import ClassRule, Referee
from badgerroad.emulator.scenario_events import ScenarioEvents
from badgerroad.emulator.tier import Tier, Trace

AFTER = 3 * SEC  # beyond the longest deadline, how long a run goes on after its last arrival
STOP_MOST = 3 * SEC  # a planned restart waits for answers at most this long,
STOP_EXTRA = 700_000  # and this, before the process is killed
LIVE_SLACK = 50_000  # on real sockets every time limit is longer by this


class World:
    """Nodes, network, discovery, clients and the rule checker of one run."""

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
        """`folder`: where a trace file lies. `start`: the clock's first value in microseconds, as a live run's is
        Unix time; times of the scenario count from it."""
        self.scenario, self.seed, self.trace, self.live = scenario, seed, trace, live
        s, self.kernel, self.start = scenario, kernel or Kernel(0), start
        us = 1000
        self.zones = [h.name for h in s.zone]
        self.home = [n for n, h in enumerate(s.zone) for _ in range(h.dispatchers)]  # a dispatcher's zone
        net = self.draws("network")
        same, cross, client = (
            (r[0] * us, r[1] * us) for r in (s.network.same_ms, s.network.cross_ms, s.network.client_ms)
        )
        self.network = Network(self.kernel, net, len(s.zone), same, cross, client, s.network.jitter)
        self.registry = assembly.registry(s, self.kernel, self.draws("discovery"))
        self.kinds = assembly.job_kinds(s, self.draws("classes"))
        self.referee = Referee(
            self.kernel,
            [ClassRule(k.name, k.semantics, k.group, k.window) for k in self.kinds],
            int(s.rules.drain_grace_ms * us),
            int(s.rules.answer_slack_ms * us),
            int(s.rules.ask_within_s * SEC),
            s.rules.max_attempts,
            s.rules.second_copies,
            LIVE_SLACK if live else 0,
        )
        self.nodes: list[RenderNode] = []
        self.by_name: dict[str, RenderNode] = {}
        self._made_nodes = 0
        machines = self.draws("machines")
        for n, zone in enumerate(s.zone):
            for k in range(zone.nodes):
                self.add_node(n, machines, k // s.rack)
        self.tier = make_tier(self)
        first, fronts = 0, []
        notice = s.front_notice_s
        for zone in s.zone:
            fronts.append(
                Front(self.kernel, self.draws(f"front {zone.name}"), range(first, first + zone.dispatchers), notice)
            )
            first += zone.dispatchers
        self.fronts = fronts
        self.length = int(s.length_s * SEC)
        rate = s.load.rate_per_s or s.load.level * self.capacity / self.mean_work
        self.clients = Clients(
            self.kernel,
            self.draws,
            self.kinds,
            [h.traffic for h in s.zone],
            rate,
            self.length,
            fronts,
            self.tier,
            s.clients.retries,
            int(s.clients.backoff_ms * us),
            s.clients.honour,
            s.clients.impatient,
            s.load.hint_noise,
        )
        if s.load.shape == "wave":
            self.clients.swing, self.clients.period = s.load.swing, int(s.load.period_s * SEC)
        self._rows = sc.rows(s, folder) if s.load.shape == "trace" else []
        events = ScenarioEvents(self, self.draws("events"))
        for event in s.event:
            self.kernel.at(int(event.at_s * SEC), events.play, event)

    def draws(self, name: str) -> Draws:
        """The named stream of random numbers of this run."""
        return Draws(self.seed, name)

    def note(self, what: str, /, **more: Any) -> None:
        """Write an event to the trace, if there is one."""
        if self.trace is not None:
            self.trace(self.kernel.now, what, more)

    # The fleet.

    @property
    def capacity(self) -> float:
        """What all nodes can do when warm, in core-seconds of work a second at speed 1."""
        return sum(min(n.profile.cores, n.profile.slots) * n.profile.speed for n in self.nodes)

    @property
    def mean_work(self) -> float:
        """Core-seconds of a mean job."""
        total = sum(k.share for k in self.kinds)
        return sum(k.share / total * k.work * k.mean_slots for k in self.kinds) / SEC

    def add_node(self, zone: int, draw: Draws, rack: int, cold: bool = False) -> RenderNode:
        """A new node, listed once discovery has noticed it; `draw` makes its machine type and speed."""
        s, us = self.scenario, 1000
        kind = draw.index([k.share for k in s.kind])
        k, number = s.kind[kind], self._made_nodes
        self._made_nodes += 1
        slots = max(round(k.cores * draw.uniform(*k.slots_per_core)), 1)
        profile = Profile(
            cores=k.cores,
            speed=draw.uniform(*k.speed),
            slots=slots,
            queue=int(k.queue_per_core * k.cores),
            memory=float(slots) if s.rules.memory else 0.0,
            cold_from=max(k.cold_from, s.rules.cold_from),
            cold_for=int(min(k.cold_s, s.rules.cold_s) * SEC),
            fall_multiple=s.rules.fall_multiple,
            overload_for=int(s.rules.fall_ms * us),
            mean_work=self.mean_work * SEC,
            crowd_at=k.crowd_at,
            crowd_loss=k.crowd_loss,
            connections=s.network.connections_per_core * k.cores,
            handshake_work=s.network.handshake_us,
            probe_work=s.reports.probe_us,
            error_rate=k.error_rate,
            returns_on_drain=s.rules.returns_on_drain,
            pause_every=int(k.pause_every_s * SEC),
            pause_for=int(k.pause_ms * us),
            progress_every=int(s.rules.progress_ms * us) if s.rules.tells_start else 0,
            reports_every=int(s.reports.period_ms * us),
            reports_late=int(s.reports.delay_ms * us),
            report_noise=s.reports.noise,
        )
        name = f"n{number:04d}"
        node = RenderNode(
            self.kernel,
            name,
            profile,
            zone,
            zone * 10_000 + rack,
            kind,
            self.draws(f"node {name}"),
            self._tell,
            self._fell,
            self._seen,
        )
        node.since = self.kernel.now if cold else 0
        self.nodes.append(node)
        self.by_name[name] = node
        if not cold:
            self.registry.entries[name] = self.entry(node, "ready")
        return node

    def since_of(self, node: RenderNode) -> int:
        """A node's start as the list tells it: in whole milliseconds of the run's clock; 0 for long ago."""
        return (node.since + self.start) // 1000 * 1000 if node.since else 0

    def entry(self, node: RenderNode, state: str) -> Entry:
        """The line of a node in discovery's list."""
        return Entry(
            node.name,
            state,
            self.since_of(node),
            node.kind,
            node.zone,
            node.rack,
            round(node.profile.cores * self.scenario.kind[node.kind].speed[0], 2),
        )

    def _seen(self, node: RenderNode, state: str) -> None:
        self.note("node", node=node.name, state=state)
        if state == "gone":
            self.tier.node_gone(node)
        self.registry.noticed(self.entry(node, state))

    def _fell(self, node: RenderNode, sent: list[tuple[int, float]]) -> None:
        self.note("fell", node=node.name)
        self.referee.fell(node.name, self.since_of(node), sent)

    def _tell(self, node: RenderNode, job: Job, state: str, share: float) -> None:
        if state == nodes.DONE:
            self.referee.effect(job.class_index, job.key, node.zone, node.rack)
            self.referee.result(job.id, self.result_of(job.id))
        self.note("told", node=node.name, id=job.id, state=state)
        self.tier.tell(node, job, state, share)

    @staticmethod
    def result_of(request_id: str) -> str:
        """What a node makes of a request; nothing else may be served for it."""
        return f"made:{request_id}"

    # Troubles.

    def dispatcher_dies(self, number: int) -> None:
        """A dispatcher is killed."""
        self.note("dispatcher", number=number, state="killed")
        self.tier.kill(number)
        self.registry.forget(number)
        self.referee.died(number, False)
        for front in self.fronts:
            front.died(number, self.tier.is_up)

    def stop_dispatcher(self, number: int) -> None:
        """A dispatcher gets SIGTERM."""
        self.note("dispatcher", number=number, state="stopping")
        self.tier.stop(number)
        for front in self.fronts:
            front.stops(number)
        longest = max(k.deadline for k in self.kinds)
        self.kernel.after(min(longest, STOP_MOST) + STOP_EXTRA, self._stop_over, number)

    def _stop_over(self, number: int) -> None:
        if self.tier.is_up(number):
            self.tier.kill(number)
        self.registry.forget(number)
        self.referee.died(number, False)
        self.kernel.after(self.scenario.start_s * SEC, self.tier.start, number)

    def dispatcher_ready(self, number: int) -> None:
        """A dispatcher has said that it is ready."""
        self.note("dispatcher", number=number, state="ready")
        for front in self.fronts:
            front.admit(number)

    # The run.

    def begin(self) -> None:
        """Start the dispatchers, the arrivals and the scenario's events."""
        if self._rows:
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
                    for r in self._rows
                ]
            )
        else:
            self.clients.begin()

    @property
    def end(self) -> int:
        """When the run is over at the latest, and nothing is owed any more."""
        return self.length + max(k.deadline for k in self.kinds) + AFTER
