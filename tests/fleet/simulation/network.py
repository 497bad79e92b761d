"""The simulated network: loss, delay, duplication and reordering of messages, and one-way partitions between zones."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any

from tests.fleet.simulation.clock import MILLISECOND


@dataclass(frozen=True)
class Conditions:
    """Conditions of the network. Shares are fractions of all messages; delays are in microseconds."""

    min_delay: int = 200
    max_delay: int = 1_000
    loss: float = 0.0
    repeated: float = 0.0
    late: float = 0.0
    """Share of messages delayed by up to `late_delay` more, so that messages sent later can overtake them."""
    late_delay: int = 500 * MILLISECOND


CALM = Conditions()


@dataclass(frozen=True)
class Parcel:
    """One message in flight. `connection`: how often its connection had been lost when it was sent."""

    sender: str
    sender_incarnation: int
    to: str
    message: Any
    connection: int


@dataclass(frozen=True)
class SlowMessages:
    """Selects messages of one kind to delay by `extra_delay` microseconds; an empty node name matches all."""

    kind: str
    sender: str
    to: str
    extra_delay: int

    def applies(self, parcel: Parcel) -> bool:
        """Return whether the extra delay applies to this message."""
        same_ends = self.sender in ("", parcel.sender) and self.to in ("", parcel.to)
        return same_ends and type(parcel.message).__name__ == self.kind


@dataclass
class Network:
    """Decides which messages are lost, duplicated, delayed or blocked; the world delivers them."""

    random: Random
    conditions: Conditions = CALM
    blocked: dict[tuple[str, str], int] = field(default_factory=dict)
    """(from zone, to zone) -> number of partitions in force."""
    holding: bool = False
    """Whether blocked messages are delivered when the partition ends (retransmission) instead of being lost."""
    held: list[Parcel] = field(default_factory=list)
    slow: list[SlowMessages] = field(default_factory=list)
    epochs: dict[frozenset[str], int] = field(default_factory=dict)

    def epoch(self, one: str, other: str) -> int:
        """Return how often the connection between two nodes has been lost."""
        return self.epochs.get(frozenset((one, other)), 0)

    def lose_connection(self, one: str, other: str) -> None:
        """Drop all messages in flight between two nodes by starting a new connection epoch."""
        self.epochs[frozenset((one, other))] = self.epoch(one, other) + 1

    def is_blocked(self, sender_zone: str, receiver_zone: str) -> bool:
        """Return whether messages in this direction are blocked now."""
        return self.blocked.get((sender_zone, receiver_zone), 0) > 0

    def block(self, pairs: set[tuple[str, str]]) -> None:
        """Block messages in these directions until each call has been undone by `unblock`."""
        for pair in pairs:
            self.blocked[pair] = self.blocked.get(pair, 0) + 1

    def unblock(self, pairs: set[tuple[str, str]]) -> list[Parcel]:
        """End one block of these directions and return the messages held so far."""
        for pair in pairs:
            self.blocked[pair] -= 1
        released, self.held = self.held, []
        return released

    def delays(self, parcel: Parcel) -> list[int]:
        """Return the delay of each copy of one message: empty if it is lost, two delays if it is duplicated."""
        extra = sum(slow.extra_delay for slow in self.slow if slow.applies(parcel))
        return [delay + extra for delay in self._drawn_delays()]

    def _drawn_delays(self) -> list[int]:
        conditions, random = self.conditions, self.random
        if conditions.loss and random.random() < conditions.loss:
            return []
        copies = 2 if conditions.repeated and random.random() < conditions.repeated else 1
        return [self._delay(conditions, random) for _ in range(copies)]

    def _delay(self, conditions: Conditions, random: Random) -> int:
        delay = random.randint(conditions.min_delay, conditions.max_delay)
        if conditions.late and random.random() < conditions.late:
            delay += random.randrange(conditions.late_delay)
        return delay
