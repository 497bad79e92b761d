"""The dialogues that are recorded: an election, quotas and leases, a graceful end of an owner and of a dispatcher."""

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
BYSTANDER_AT = 4_900 * MILLISECOND
RELEASE_AT = 5 * SECOND
BUSY = 5
"""Requests before `CALM_AT` as a multiple of the quota: enough for a meter to overflow soon if nothing holds them."""
CALM_AT = 6 * SECOND
SAMPLES = (0.0, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.65, 0.8, 0.95)
"""Which of a kind's messages are changed, as shares of their number."""


def dialogue_name(message: Any) -> str | None:
    """The dialogue that a message belongs to."""
    for name, kinds in DIALOGUES.items():
        if isinstance(message, kinds):
            return name
    return None


def dialogue_schedule(drained: str) -> Schedule:
    """Three zones, one shard, two dispatchers; `drained`, a controller that owns nothing, and a dispatcher end gracefully."""
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
        faults.Drain(BYSTANDER_AT, CALM_AT, "control-2"),
        faults.Release(RELEASE_AT, RELEASE_AT + 200 * MILLISECOND, "dispatcher-0"),
    )
    measure_at = CALM_AT + settling_time(setup)
    end = measure_at + 2 * SECOND
    busy = {team: BUSY * quota for team, quota in setup.quotas.items()}
    half = {team: quota / 2 for team, quota in setup.quotas.items()}
    phases = (Phase(0, CALM_AT, busy), Phase(measure_at - SECOND, end, half, steady=True))
    return Schedule(SEED, setup, events, phases, CALM_AT, measure_at, end)


@dataclass(frozen=True)
class Outcome:
    """What a run decided. `decisions`: (request, over quota) in order; `sent`: messages of each kind."""

    result: Result
    decisions: tuple[tuple[int, bool], ...]
    sent: tuple[tuple[str, int], ...]

    def differs(self, other: Outcome) -> bool:
        """Whether any request was decided otherwise."""
        return self.decisions != other.decisions


@dataclass
class Recorder:
    """Keeps the decisions and counts the messages."""

    decisions: list[tuple[int, bool]] = field(default_factory=list)
    sent_kinds: Counter[str] = field(default_factory=Counter)

    def decided(self, node: Node, request: int, over_quota: bool) -> None:
        self.decisions.append((request, over_quota))

    def sent(self, node: Node, to: str, message: Any) -> None:
        self.sent_kinds[type(message).__name__] += 1

    def requested(self, node: Node, request: int, team: str) -> None:
        """Not kept."""

    def forgotten(self, node: Node, request: int) -> None:
        """Not kept."""

    def delivered(self, node: Node, parcel: Parcel) -> None:
        """Not kept."""

    def stepped(self, node: Node) -> None:
        """Not kept."""

    def died(self, node: Node) -> None:
        """Not kept."""

    def handed_over(self, node: Node, successor: Node, exported: LeaseExport) -> None:
        """Not kept."""

    def quotas_changed(self, quotas: dict[str, float]) -> None:
        """Not kept."""


class DialogueWorld(World):
    """Records each message, and changes the one with number `target`. Delays don't depend on earlier messages."""

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
            same_way = (earlier.sender, earlier.to) == (parcel.sender, parcel.to)
            if same_way and type(earlier.message) is type(parcel.message):
                return earlier
        return None


@dataclass(frozen=True)
class Recording:
    """The dialogue without a change."""

    schedule: Schedule
    parcels: list[Parcel]
    peers: dict[str, int]
    outcome: Outcome


def play(schedule: Schedule, target: int | None = None, mutation: Mutation | None = None) -> tuple[World, Outcome]:
    """Runs the dialogue, with message number `target` changed."""
    world = DialogueWorld(schedule.setup, target, mutation)
    recorder = Recorder()
    world.watchers.append(recorder)
    result = run_schedule(schedule, world=world)
    return world, Outcome(result, tuple(recorder.decisions), tuple(sorted(recorder.sent_kinds.items())))


def record() -> Recording:
    """The unchanged dialogue, in which the controller that owns the shard is the one that ends gracefully."""
    for controller in ("control-0", "control-1"):
        schedule = dialogue_schedule(controller)
        world, outcome = play(schedule)
        assert isinstance(world, DialogueWorld)
        if any(isinstance(parcel.message, messages.VoteRelease) for parcel in world.parcels):
            peers = {name: node.incarnation for name, node in world.nodes.items()}
            return Recording(schedule, world.parcels, peers, outcome)
    raise AssertionError("no owner released its shard")


def chosen(recording: Recording) -> list[int]:
    """Numbers of the messages to change: of each kind the first, some, and one of the last, with and without content."""
    numbers: dict[tuple[type, bool], list[int]] = {}
    for number, parcel in enumerate(recording.parcels):
        numbers.setdefault((type(parcel.message), _has_content(parcel.message)), []).append(number)
    picked = {group[int(share * len(group))] for group in numbers.values() for share in SAMPLES}
    return sorted(picked)


def _has_content(message: Any) -> bool:
    """Whether a list in it has elements."""
    return any(isinstance(value, tuple) and value for value in msgspec.structs.astuple(message))
