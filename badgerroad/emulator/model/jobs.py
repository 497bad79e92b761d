"""What a render node is like, and a job as it sees it."""

from __future__ import annotations

from typing import NamedTuple

from badgerroad.emulator.model.kernel import SEC, Entry


class Profile(NamedTuple):
    """What a machine of one kind is like. Times in microseconds, work in core-microseconds at speed 1."""

    cores: float
    speed: float
    slots: int
    queue: int = 60
    memory: float = 0.0  # units; 0: memory is not counted
    cold_from: float = 1.0  # share of its capacity right after a start
    cold_for: int = 0
    fall_multiple: float = 0.0  # 0: never collapses
    overload_for: int = 3 * SEC
    mean_work: float = 1.0  # of a job, with all its slots: what a fall is counted in
    crowd_at: float = 1e9  # jobs held per core from which efficiency falls
    crowd_loss: float = 0.0  # share lost at twice that
    connections: int = 3000
    handshake_work: int = 0
    probe_work: int = 0
    error_rate: float = 0.0
    returns_on_drain: bool = False
    pause_every: int = 0  # mean time between pauses, such as a collector's; 0: none
    pause_for: int = 0
    progress_every: int = 0
    reports_every: int = SEC
    reports_late: int = 0
    report_noise: float = 0.0


class Job:
    """One attempt of a request as a node sees it."""

    __slots__ = (
        "id",
        "key",
        "class_index",
        "dispatcher",
        "work",
        "slots",
        "memory",
        "arrived",
        "started",
        "begun",
        "ends",
        "state",
        "ticker",
        "hand",
    )

    def __init__(
        self,
        request_id: str,
        key: str,
        class_index: int,
        dispatcher: int,
        work: float,
        slots: int = 1,
        memory: float = 0.0,
        hand: object | None = None,
    ) -> None:
        """`work` in core-microseconds at speed 1."""
        self.id, self.key, self.class_index, self.dispatcher = request_id, key, class_index, dispatcher
        self.work, self.slots, self.memory = work, slots, memory
        self.arrived = self.started = 0
        self.begun = self.ends = 0.0
        self.state = "new"
        self.ticker: Entry | None = None
        self.hand = hand  # whatever the transport needs to tell of it

    @property
    def load(self) -> float:
        """The work of all its slots."""
        return self.work * self.slots
