"""Plays the events of a scenario: faults of nodes, network, discovery and dispatchers, and their ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from badgerroad.emulator import scenario as sc
from badgerroad.emulator.model.clients import Clients
from badgerroad.emulator.model.kernel import SEC, Draws, Kernel
from badgerroad.emulator.model.network import Network
from badgerroad.emulator.model.nodes import RenderNode
from badgerroad.emulator.model.registry import Registry
from badgerroad.emulator.tier import Tier

NEW_NODE_CELL = 9_000
"""The cell of nodes that join during a run."""


class EventWorld(Protocol):
    """The part of the simulation environment that events use; `world.World` implements it."""

    kernel: Kernel
    nodes: list[RenderNode]
    by_name: dict[str, RenderNode]
    zones: list[str]
    dispatcher_zones: list[int]
    network: Network
    registry: Registry
    clients: Clients
    tier: Tier
    scenario: sc.Scenario

    def trace_event(self, event_name: str, /, **fields: Any) -> None:
        """Write an event to the trace, if tracing is on."""

    def add_node(self, zone: int, draws: Draws, cell: int, warming_up: bool = False) -> RenderNode:
        """Create a node; a node that is `warming_up` is not put on discovery's list yet."""

    def kill_dispatcher(self, number: int) -> None:
        """Kill a dispatcher."""

    def stop_dispatcher(self, number: int) -> None:
        """Stop a dispatcher with SIGTERM and start it again."""


class ScenarioEvents:
    """Plays the events of a scenario on the simulation environment."""

    def __init__(self, world: EventWorld, draws: Draws) -> None:
        """`draws`: random stream that selects the nodes of an event."""
        self._world = world
        self._draws = draws
        self._node_events: dict[str, Callable[[sc.Event, RenderNode, int], None]] = {
            "slow": self._slow_node,
            "quick_failures": self._quick_failures,
            "neighbour": self._begin_neighbour,
            "late_reports": self._late_reports,
            "pause": lambda _event, node, duration: node.pause(duration),
            "silence": lambda _event, node, duration: node.silence(duration),
            "kill_node": lambda _event, node, _duration: node.kill(),
            "restart_node": lambda _event, node, duration: self._restart(node, duration or SEC),
            "drain_node": self._drain_node,
            "replace_node": self._replace_node,
            "reset": lambda _event, node, _duration: self._world.tier.reset(node),
        }
        self._world_events: dict[str, Callable[[sc.Event, int], None]] = {
            "add_node": self._add_nodes,
            "heavy_tail": self._heavy_tail,
            "surge": self._surge,
            "link_slow": self._slow_links,
            "partition": self._partition,
            "one_way": self._one_way_cut,
            "zone_outage": self._zone_outage,
            "discovery_down": self._discovery_down,
            "discovery_silent": self._discovery_silent,
            "kill_dispatcher": self._kill_dispatchers,
            "restart_dispatcher": self._restart_dispatchers,
            "freeze_dispatcher": self._freeze_dispatchers,
            "reload_dispatcher": self._reload_dispatchers,
        }

    def _select_nodes(self, event: sc.Event) -> list[RenderNode]:
        if event.nodes:
            return [self._world.by_name[n] for n in event.nodes if n in self._world.by_name]
        candidates = [
            n for n in self._world.nodes if n.up and (not event.zone or n.zone == self._world.zones.index(event.zone))
        ]
        count = max(round(event.part * len(candidates)), 1) if event.part else 1
        return [candidates[k] for k in self._draws.choose(count, len(candidates))] if candidates else []

    def play(self, event: sc.Event) -> None:
        """Play one event; an event that affects nodes is played once per selected node."""
        self._world.trace_event("event", what=event.what, size=event.size)
        duration = int(event.for_s * SEC)
        if event.what in self._node_events:
            for node in self._select_nodes(event):
                self._node_events[event.what](event, node, duration)
        else:
            self._world_events[event.what](event, duration)

    def _add_nodes(self, event: sc.Event, _duration: int) -> None:
        zone = self._world.zones.index(event.zone) if event.zone else 0
        for _ in range(max(int(event.size), 1)):
            self._add_new_node(zone)

    def _heavy_tail(self, event: sc.Event, duration: int) -> None:
        cls = [c.name for c in self._world.scenario.cls].index(event.cls)
        self._world.clients.heavy_tails[cls] = (event.extra or 0.01, event.size)
        self._world.kernel.after(duration, self._world.clients.heavy_tails.pop, cls, None)

    def _surge(self, event: sc.Event, duration: int) -> None:
        self._world.clients.surge = event.size
        self._world.kernel.after(duration, setattr, self._world.clients, "surge", 1.0)

    def _slow_links(self, event: sc.Event, duration: int) -> None:
        for a, b in self._links(event):
            self._world.network.slow(a, b, event.size)
            self._world.kernel.after(duration, self._world.network.slow, a, b, 1.0)

    def _one_way_cut(self, event: sc.Event, duration: int) -> None:
        for a, b in self._links(event):
            self._cut(a, b, duration)

    def _partition(self, event: sc.Event, duration: int) -> None:
        for a, b in self._links(event):
            self._cut(a, b, duration)
            self._cut(b, a, duration)

    def _zone_outage(self, event: sc.Event, duration: int) -> None:
        for node in [n for n in self._world.nodes if n.up and n.zone == self._world.zones.index(event.zone)]:
            self._restart(node, duration)

    def _discovery_down(self, _event: sc.Event, duration: int) -> None:
        self._world.registry.set_down(True)
        self._world.kernel.after(duration, self._world.registry.set_down, False)

    def _discovery_silent(self, _event: sc.Event, duration: int) -> None:
        self._world.registry.set_silent(True)
        self._world.kernel.after(duration, self._world.registry.set_silent, False)

    def _links(self, event: sc.Event) -> list[tuple[int, int]]:
        n = len(self._world.zones)
        pairs = [(a, b) for a in range(n) for b in range(a + 1, n)]
        return [p for p in pairs if not event.zone or self._world.zones.index(event.zone) in p]

    def _cut(self, a: int, b: int, duration: int) -> None:
        self._world.network.cut(a, b, True)
        self._world.kernel.after(duration, self._world.network.cut, a, b, False)

    def _slow_node(self, event: sc.Event, node: RenderNode, duration: int) -> None:
        node.set_faults(slowdown=event.size)
        self._world.kernel.after(duration, node.set_faults, 1.0)

    def _quick_failures(self, event: sc.Event, node: RenderNode, duration: int) -> None:
        node.set_faults(error_share=min(event.size, 1.0))
        self._world.kernel.after(duration, node.set_faults, None, None, 0.0)

    def _begin_neighbour(self, event: sc.Event, node: RenderNode, duration: int) -> None:
        period = int((event.extra or 3) * SEC)
        self._toggle_neighbour(node, min(event.size, 0.95), period, self._world.kernel.now + duration, True)

    def _late_reports(self, event: sc.Event, node: RenderNode, duration: int) -> None:
        node.set_faults(extra_report_delay=int(event.size * SEC))
        self._world.kernel.after(duration, node.set_faults, None, None, None, 0)

    def _drain_node(self, _event: sc.Event, node: RenderNode, duration: int) -> None:
        node.drain()
        if duration:
            self._world.kernel.after(duration, self._restart, node, SEC)

    def _replace_node(self, event: sc.Event, node: RenderNode, _duration: int) -> None:
        node.kill()
        self._world.kernel.after(int((event.extra or 2) * SEC), self._add_new_node, node.zone)

    def _toggle_neighbour(self, node: RenderNode, size: float, period: int, until: int, active: bool) -> None:
        now = self._world.kernel.now
        node.set_faults(cpu_stolen=size if active and now < until else 0.0)
        if now < until:
            self._world.kernel.at(
                min(now + period, until), self._toggle_neighbour, node, size, period, until, not active
            )

    def _restart(self, node: RenderNode, downtime: int) -> None:
        node.kill()
        self._world.kernel.after(downtime, node.start)

    def _add_new_node(self, zone: int) -> None:
        """Add a new node, which has to warm up."""
        node = self._world.add_node(zone, self._draws, NEW_NODE_CELL, warming_up=True)
        node.up, node.collapsed = False, False
        node.start()

    def _selected_dispatchers(self, event: sc.Event) -> list[int]:
        return [event.dispatcher] if event.dispatcher >= 0 else list(range(len(self._world.dispatcher_zones)))

    def _kill_dispatchers(self, event: sc.Event, duration: int) -> None:
        for number in self._selected_dispatchers(event):
            self._world.kill_dispatcher(number)
            self._world.kernel.after(self._world.scenario.start_s * SEC + duration, self._world.tier.start, number)

    def _restart_dispatchers(self, event: sc.Event, duration: int) -> None:
        """Restart the dispatchers one after another, as in a rolling update."""
        for order, number in enumerate(self._selected_dispatchers(event)):
            self._world.kernel.after(order * max(duration, 5 * SEC), self._world.stop_dispatcher, number)

    def _freeze_dispatchers(self, event: sc.Event, duration: int) -> None:
        for number in self._selected_dispatchers(event):
            self._world.tier.freeze(number, True)
            self._world.kernel.after(duration, self._world.tier.freeze, number, False)

    def _reload_dispatchers(self, event: sc.Event, _duration: int) -> None:
        for number in self._selected_dispatchers(event):
            self._world.tier.reload(number)
