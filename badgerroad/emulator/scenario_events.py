"""The events of a scenario: what goes wrong with nodes, network, discovery and dispatchers, and when it ends."""

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

NEW_RACK = 9_000
"""The rack of nodes that join while a scenario runs."""


class EventWorld(Protocol):
    """What the events change; `world.World` is the one there is."""

    kernel: Kernel
    nodes: list[RenderNode]
    by_name: dict[str, RenderNode]
    zones: list[str]
    home: list[int]
    network: Network
    registry: Registry
    clients: Clients
    tier: Tier
    scenario: sc.Scenario

    def note(self, what: str, /, **more: Any) -> None:
        """Write an event to the trace, if there is one."""

    def add_node(self, zone: int, draw: Draws, rack: int, cold: bool = False) -> RenderNode:
        """A new node, which is not listed yet."""

    def dispatcher_dies(self, number: int) -> None:
        """A dispatcher is killed."""

    def stop_dispatcher(self, number: int) -> None:
        """A dispatcher gets SIGTERM."""


class ScenarioEvents:
    """Plays the events of a scenario on its world, each by the table of its kind."""

    def __init__(self, world: EventWorld, draws: Draws) -> None:
        """`draws`: chooses the nodes that an event meets."""
        self._world = world
        self._draws = draws
        self._node_events: dict[str, Callable[[sc.Event, RenderNode, int], None]] = {
            "slow": self._slow_node,
            "quick_failures": self._quick_failures,
            "neighbour": self._begin_neighbour,
            "late_reports": self._late_reports,
            "pause": lambda _event, node, length: node.pause(length),
            "silence": lambda _event, node, length: node.silence(length),
            "kill_node": lambda _event, node, _length: node.kill(),
            "restart_node": lambda _event, node, length: self._restart(node, length or SEC),
            "drain_node": self._drain_node,
            "replace_node": self._replace_node,
            "reset": lambda _event, node, _length: self._world.tier.reset(node),
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

    def _picked(self, event: sc.Event) -> list[RenderNode]:
        if event.nodes:
            return [self._world.by_name[n] for n in event.nodes if n in self._world.by_name]
        pool = [
            n for n in self._world.nodes if n.up and (not event.zone or n.zone == self._world.zones.index(event.zone))
        ]
        count = max(round(event.part * len(pool)), 1) if event.part else 1
        return [pool[k] for k in self._draws.choose(count, len(pool))] if pool else []

    def play(self, event: sc.Event) -> None:
        """Play one event of the scenario, by the table of its kind."""
        self._world.note("event", what=event.what, size=event.size)
        length = int(event.for_s * SEC)
        if event.what in self._node_events:
            for node in self._picked(event):
                self._node_events[event.what](event, node, length)
        else:
            self._world_events[event.what](event, length)

    def _add_nodes(self, event: sc.Event, _length: int) -> None:
        zone = self._world.zones.index(event.zone) if event.zone else 0
        for _ in range(max(int(event.size), 1)):
            self._join(zone)

    def _heavy_tail(self, event: sc.Event, length: int) -> None:
        cls = [c.name for c in self._world.scenario.cls].index(event.cls)
        self._world.clients.heavy[cls] = (event.extra or 0.01, event.size)
        self._world.kernel.after(length, self._world.clients.heavy.pop, cls, None)

    def _surge(self, event: sc.Event, length: int) -> None:
        self._world.clients.surge = event.size
        self._world.kernel.after(length, setattr, self._world.clients, "surge", 1.0)

    def _slow_links(self, event: sc.Event, length: int) -> None:
        for a, b in self._links(event):
            self._world.network.slow(a, b, event.size)
            self._world.kernel.after(length, self._world.network.slow, a, b, 1.0)

    def _one_way_cut(self, event: sc.Event, length: int) -> None:
        for a, b in self._links(event):
            self._cut(a, b, length)

    def _partition(self, event: sc.Event, length: int) -> None:
        for a, b in self._links(event):
            self._cut(a, b, length)
            self._cut(b, a, length)

    def _zone_outage(self, event: sc.Event, length: int) -> None:
        for node in [n for n in self._world.nodes if n.up and n.zone == self._world.zones.index(event.zone)]:
            self._restart(node, length)

    def _discovery_down(self, _event: sc.Event, length: int) -> None:
        self._world.registry.outage(True)
        self._world.kernel.after(length, self._world.registry.outage, False)

    def _discovery_silent(self, _event: sc.Event, length: int) -> None:
        self._world.registry.mute(True)
        self._world.kernel.after(length, self._world.registry.mute, False)

    def _links(self, event: sc.Event) -> list[tuple[int, int]]:
        n = len(self._world.zones)
        pairs = [(a, b) for a in range(n) for b in range(a + 1, n)]
        return [p for p in pairs if not event.zone or self._world.zones.index(event.zone) in p]

    def _cut(self, a: int, b: int, length: int) -> None:
        self._world.network.cut(a, b, True)
        self._world.kernel.after(length, self._world.network.cut, a, b, False)

    def _slow_node(self, event: sc.Event, node: RenderNode, length: int) -> None:
        node.trouble(slowness=event.size)
        self._world.kernel.after(length, node.trouble, 1.0)

    def _quick_failures(self, event: sc.Event, node: RenderNode, length: int) -> None:
        node.trouble(error_share=min(event.size, 1.0))
        self._world.kernel.after(length, node.trouble, None, None, 0.0)

    def _begin_neighbour(self, event: sc.Event, node: RenderNode, length: int) -> None:
        period = int((event.extra or 3) * SEC)
        self._neighbour(node, min(event.size, 0.95), period, self._world.kernel.now + length, True)

    def _late_reports(self, event: sc.Event, node: RenderNode, length: int) -> None:
        node.trouble(late=int(event.size * SEC))
        self._world.kernel.after(length, node.trouble, None, None, None, 0)

    def _drain_node(self, _event: sc.Event, node: RenderNode, length: int) -> None:
        node.drain()
        if length:
            self._world.kernel.after(length, self._restart, node, SEC)

    def _replace_node(self, event: sc.Event, node: RenderNode, _length: int) -> None:
        node.kill()
        self._world.kernel.after(int((event.extra or 2) * SEC), self._join, node.zone)

    def _neighbour(self, node: RenderNode, size: float, period: int, until: int, on: bool) -> None:
        now = self._world.kernel.now
        node.trouble(taken=size if on and now < until else 0.0)
        if now < until:
            self._world.kernel.at(min(now + period, until), self._neighbour, node, size, period, until, not on)

    def _restart(self, node: RenderNode, away: int) -> None:
        node.kill()
        self._world.kernel.after(away, node.start)

    def _join(self, zone: int) -> None:
        """A new machine, cold."""
        node = self._world.add_node(zone, self._draws, NEW_RACK, cold=True)
        node.up, node.fallen = False, False
        node.start()

    def _each_dispatcher(self, event: sc.Event) -> list[int]:
        return [event.dispatcher] if event.dispatcher >= 0 else list(range(len(self._world.home)))

    def _kill_dispatchers(self, event: sc.Event, length: int) -> None:
        for number in self._each_dispatcher(event):
            self._world.dispatcher_dies(number)
            self._world.kernel.after(self._world.scenario.start_s * SEC + length, self._world.tier.start, number)

    def _restart_dispatchers(self, event: sc.Event, length: int) -> None:
        """One after another, as operators roll a change out."""
        for turn, number in enumerate(self._each_dispatcher(event)):
            self._world.kernel.after(turn * max(length, 5 * SEC), self._world.stop_dispatcher, number)

    def _freeze_dispatchers(self, event: sc.Event, length: int) -> None:
        for number in self._each_dispatcher(event):
            self._world.tier.freeze(number, True)
            self._world.kernel.after(length, self._world.tier.freeze, number, False)

    def _reload_dispatchers(self, event: sc.Event, _length: int) -> None:
        for number in self._each_dispatcher(event):
            self._world.tier.reload(number)
