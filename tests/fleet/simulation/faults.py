"""Faults of a schedule, each with its true start and end time. A replay prints their `str`."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial

from tests.fleet.simulation.clock import MILLISECOND, SECOND
from tests.fleet.simulation.network import CALM, Conditions, SlowMessages
from tests.fleet.simulation.world import World

DRAIN_LIMIT = 20 * SECOND
FLOOD_TIME = 100 * MILLISECOND


@dataclass(frozen=True)
class Fault:
    """One fault. `at` and `end` are true times in microseconds; at `end` all its effects are over."""

    at: int
    end: int

    def apply(self, world: World) -> None:
        """Schedule the fault's events in the world's queue."""
        raise NotImplementedError


@dataclass(frozen=True)
class Cut(Fault):
    """Network partition between zones, in the given (from zone, to zone) directions."""

    pairs: frozenset[tuple[str, str]]

    def apply(self, world: World) -> None:
        pairs = set(self.pairs)
        world.at(self.at, partial(world.cut, pairs))
        world.at(self.end, partial(world.heal, pairs))


@dataclass(frozen=True)
class BadNetwork(Fault):
    """Changed conditions on the whole network. `holding`: partitions delay messages instead of dropping them."""

    conditions: Conditions
    holding: bool = False

    def apply(self, world: World) -> None:
        def change(conditions: Conditions, holding: bool) -> None:
            world.network.conditions = conditions
            world.network.holding = holding

        world.at(self.at, partial(change, self.conditions, self.holding))
        world.at(self.end, partial(change, CALM, False))


@dataclass(frozen=True)
class Slow(Fault):
    """Additional delay of selected messages."""

    messages: SlowMessages

    def apply(self, world: World) -> None:
        world.at(self.at, partial(world.network.slow.append, self.messages))
        world.at(self.end, partial(world.network.slow.remove, self.messages))


@dataclass(frozen=True)
class ConnectionLoss(Fault):
    """Loss of the connection between two nodes, with all messages in flight on it."""

    one: str
    other: str

    def apply(self, world: World) -> None:
        world.at(self.at, partial(world.lose_connection, self.one, self.other))


@dataclass(frozen=True)
class Stop(Fault):
    """Pause of a process: it gets no processor time, and handles its queued events late when it resumes."""

    node: str
    between_clock_and_send: bool = False

    def apply(self, world: World) -> None:
        node = world.nodes[self.node]
        world.at(self.at, partial(world.stop, node, self.between_clock_and_send))
        world.at(self.end, partial(world.wake, node))


@dataclass(frozen=True)
class Kill(Fault):
    """Death of processes, which restart at `end` with a new incarnation and no state.

    `silent`: whether their machines die too, so that no peer sees its connection closed.
    """

    nodes: tuple[str, ...]
    silent: bool = False

    def apply(self, world: World) -> None:
        for name in self.nodes:
            node = world.nodes[name]
            world.at(self.at, partial(world.kill, node, self.silent))
            world.at(self.end, lambda node=node: None if node.alive else world.start(node))  # type: ignore[misc]


@dataclass(frozen=True)
class Drain(Fault):
    """Graceful shutdown of a controller, which restarts `downtime` microseconds after its end."""

    node: str
    downtime: int = 100 * MILLISECOND

    def apply(self, world: World) -> None:
        node = world.nodes[self.node]

        def restart() -> None:
            world.at(world.now + self.downtime, lambda: None if node.alive else world.start(node))

        def drain() -> None:
            if node.alive:
                world.drain(node, max(0, self.end - self.downtime - world.now), restart)

        world.at(self.at, drain)


@dataclass(frozen=True)
class Release(Fault):
    """Graceful shutdown of a dispatcher, which restarts at `end`."""

    node: str

    def apply(self, world: World) -> None:
        node = world.nodes[self.node]
        world.at(self.at, partial(world.release, node))
        world.at(self.end, lambda: None if node.alive else world.start(node))


@dataclass(frozen=True)
class Handover(Fault):
    """Upgrade of a dispatcher: a new process takes over, and the old process exits at `end`."""

    node: str

    def apply(self, world: World) -> None:
        node = world.nodes[self.node]
        world.at(self.at, partial(world.hand_over, node, self.end - self.at))


@dataclass(frozen=True)
class QuotaChange(Fault):
    """Change of quotas, which reaches each controller at its own time before `end`."""

    quotas: tuple[tuple[str, float], ...]

    def apply(self, world: World) -> None:
        world.at(self.at, lambda: world.change_quotas(dict(self.quotas), max(1, self.end - self.at)))


@dataclass(frozen=True)
class Flood(Fault):
    """Burst of requests of one team at the given dispatchers, evenly spaced over `length` microseconds."""

    team: str
    count: int
    dispatchers: tuple[str, ...] = field(default=())
    length: int = FLOOD_TIME

    def apply(self, world: World) -> None:
        step = self.length // max(1, self.count)
        for number in range(self.count):
            node = world.nodes[self.dispatchers[number % len(self.dispatchers)]]
            world.at(self.at + number * step, partial(world.request, node, self.team))
