"""Recorded dialogues: an election, quotas and leases, and the graceful shutdown of an owner and of a dispatcher."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

import msgspec

from badgerroad.fleet import messages
from badgerroad.fleet.rules.lease_transfer import LeaseExport
from badgerroad.fleet.settings import FleetSettings
from tests.fleet.simulation import faults
from tests.fleet.simulation.clock import MILLISECOND, SECOND
from tests.fleet.simulation.network import Parcel
from tests.fleet.simulation.nodes import Node
from tests.fleet.simulation.run import Result, run_schedule
from tests.fleet.simulation.schedule import Schedule, settling_time
from tests.fleet.simulation.setups import Setup, controllers
from tests.fleet.simulation.traffic import Phase
from tests.fleet.simulation.world import World
from tests.mutation.mutations import Mutation

SEED = 1
DIALOGUES = {
    "candidate and voter": (
        messages.VoteRequest,
        messages.VoteReply,
        messages.VoteRelease,
        messages.OwnerAnnouncement,
    ),
    "owner and zone": (messages.QuotaRequest, messages.QuotaGrant, messages.QuotaReturn, messages.NotOwner),
    "zone and dispatcher": (messages.LeaseRequest, messages.LeaseGrant, messages.LeaseReturn),
}
DRAIN_AT = 3_500 * MILLISECOND
SECOND_DRAIN_AT = 4_900 * MILLISECOND
RELEASE_AT = 5 * SECOND
DEMAND_FACTOR = 5
"""Request rate before `CALM_AT` as a multiple of the quota.

If quotas are not enforced, the level of a QuotaMeter therefore soon exceeds its depth.
"""
CALM_AT = 6 * SECOND
SAMPLE_POSITIONS = (0.0, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.65, 0.8, 0.95)
"""Positions of the mutated messages among all messages of one kind, as shares of the number of these messages."""


def dialogue_name(message: Any) -> str | None:
    """Return the name of the dialogue that a message belongs to; None if it belongs to none."""
    for name, kinds in DIALOGUES.items():
        if isinstance(message, kinds):
            return name
    return None


def dialogue_schedule(drained: str) -> Schedule:
    """Return a schedule with three zones, one shard and two dispatchers.

    The controller `drained`, a controller that owns nothing and a dispatcher shut down gracefully.
    """
    settings = FleetSettings(
        controllers=controllers(3, 3),
        shards=1,
        ownership_lease_ms=1_000,
        renew_ms=200,
        quota_lease_ms=600,
        dispatcher_lease_ms=400,
        lending_ms=1_000,
    )
    settings.check()
    setup = Setup(settings, {"team-a": 8.0, "team-b": 4.0}, {"dispatcher-0": "zone-0", "dispatcher-1": "zone-1"})
    events = (
        faults.Drain(DRAIN_AT, DRAIN_AT + 1_500 * MILLISECOND, drained),
        faults.Drain(SECOND_DRAIN_AT, CALM_AT, "control-2"),
        faults.Release(RELEASE_AT, RELEASE_AT + 200 * MILLISECOND, "dispatcher-0"),
    )
    measure_at = CALM_AT + settling_time(setup)
    end = measure_at + 2 * SECOND
    busy = {team: DEMAND_FACTOR * quota for team, quota in setup.quotas.items()}
    half = {team: quota / 2 for team, quota in setup.quotas.items()}
    phases = (Phase(0, CALM_AT, busy), Phase(measure_at - SECOND, end, half, steady=True))
    return Schedule(SEED, setup, events, phases, CALM_AT, measure_at, end)


@dataclass(frozen=True)
class Outcome:
    """Outcome of a run. `decisions`: (request, is over quota) in order; `sent`: number of messages of each kind."""

    result: Result
    decisions: tuple[tuple[int, bool], ...]
    sent: tuple[tuple[str, int], ...]

    def differs(self, other: Outcome) -> bool:
        """Return whether the decisions on requests differ from those of another run."""
        return self.decisions != other.decisions


@dataclass
class Recorder:
    """Records the decisions and counts the sent messages by kind."""

    decisions: list[tuple[int, bool]] = field(default_factory=list)
    sent_kinds: Counter[str] = field(default_factory=Counter)

    def decided(self, node: Node, request: int, over_quota: bool) -> None:
        self.decisions.append((request, over_quota))

    def sent(self, node: Node, to: str, message: Any) -> None:
        self.sent_kinds[type(message).__name__] += 1

    def requested(self, node: Node, request: int, team: str) -> None:
        """Ignored: only decisions and sent messages are recorded."""

    def canceled(self, node: Node, request: int) -> None:
        """Ignored: only decisions and sent messages are recorded."""

    def delivered(self, node: Node, parcel: Parcel) -> None:
        """Ignored: only decisions and sent messages are recorded."""

    def stepped(self, node: Node) -> None:
        """Ignored: only decisions and sent messages are recorded."""

    def died(self, node: Node) -> None:
        """Ignored: only decisions and sent messages are recorded."""

    def handed_over(self, node: Node, successor: Node, exported: LeaseExport) -> None:
        """Ignored: only decisions and sent messages are recorded."""

    def quotas_changed(self, quotas: dict[str, float]) -> None:
        """Ignored: only decisions and sent messages are recorded."""


class DialogueWorld(World):
    """A world that records each message and mutates the one with number `target`.

    The delay of a message depends on its number alone, so that a mutation does not change the delays of later messages.
    """

    def __init__(self, setup: Setup, target: int | None = None, mutation: Mutation | None = None) -> None:
        super().__init__(setup, Random(SEED))
        self.parcels: list[Parcel] = []
        self.incarnations: dict[str, int] = {}
        self._target = target
        self._mutation = mutation

    def deliveries(self, parcel: Parcel) -> list[tuple[int, Parcel]]:
        number = len(self.parcels)
        self.parcels.append(parcel)
        delay = Random(number).randint(300, 900)
        if number != self._target or self._mutation is None:
            return [(delay, parcel)]
        return self._mutation.change(delay, parcel, self._earlier(parcel))

    def _earlier(self, parcel: Parcel) -> Parcel | None:
        for earlier in self.parcels[:-1]:
            same_direction = (earlier.sender, earlier.to) == (parcel.sender, parcel.to)
            if same_direction and type(earlier.message) is type(parcel.message):
                return earlier
        return None


@dataclass(frozen=True)
class Recording:
    """The dialogues without a mutation. `peers`: names and incarnations of all processes."""

    schedule: Schedule
    parcels: list[Parcel]
    peers: dict[str, int]
    outcome: Outcome


def play(schedule: Schedule, target: int | None = None, mutation: Mutation | None = None) -> tuple[World, Outcome]:
    """Run the dialogues with message number `target` mutated."""
    world = DialogueWorld(schedule.setup, target, mutation)
    recorder = Recorder()
    world.watchers.append(recorder)
    result = run_schedule(schedule, world=world)
    return world, Outcome(result, tuple(recorder.decisions), tuple(sorted(recorder.sent_kinds.items())))


def record() -> Recording:
    """Record the unmutated dialogues, with the drain at the controller that owns the shard."""
    for controller in ("control-0", "control-1"):
        schedule = dialogue_schedule(controller)
        world, outcome = play(schedule)
        assert isinstance(world, DialogueWorld)
        if any(isinstance(parcel.message, messages.VoteRelease) for parcel in world.parcels):
            peers = {name: node.incarnation for name, node in world.nodes.items()}
            return Recording(schedule, world.parcels, peers, outcome)
    raise AssertionError("no owner released its shard")


def selected_messages(recording: Recording) -> list[int]:
    """Return the numbers of the messages to mutate.

    Of each kind, with and without elements in its lists, these are the first, some in between and one of the last.
    """
    numbers: dict[tuple[type, bool], list[int]] = {}
    for number, parcel in enumerate(recording.parcels):
        numbers.setdefault((type(parcel.message), _has_list_elements(parcel.message)), []).append(number)
    selected = {group[int(share * len(group))] for group in numbers.values() for share in SAMPLE_POSITIONS}
    return sorted(selected)


def _has_list_elements(message: Any) -> bool:
    """Return whether any list of the message has elements."""
    return any(isinstance(value, tuple) and value for value in msgspec.structs.astuple(message))
