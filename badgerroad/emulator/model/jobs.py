"""Parameters of a render node, and jobs as nodes see them."""

from __future__ import annotations

from typing import NamedTuple

from badgerroad.emulator.model.kernel import SEC, ScheduledCall


class Profile(NamedTuple):
    """Parameters of a simulated node. Times in microseconds, work in core-microseconds at speed 1."""

    cores: float
    speed: float
    slots: int
    queue: int = 60
    memory: float = 0.0  # memory of the node, in units; 0: not limited
    initial_capacity: float = 1.0  # share of the full capacity that the node has right after a start
    warm_up_time: int = 0
    overload_multiple: float = 0.0  # 0: the node never collapses during warm-up
    overload_window: int = 3 * SEC
    mean_work: float = 1.0  # mean work of a job, with all its slots; the overload limit counts jobs of this work
    crowding_threshold: float = 1e9  # jobs per core above which efficiency falls
    crowding_loss: float = 0.0  # share of the speed lost at twice `crowding_threshold`
    connections: int = 3000
    handshake_work: int = 0
    probe_work: int = 0
    error_rate: float = 0.0
    returns_on_drain: bool = False
    pause_interval: int = 0  # mean time between pauses, such as garbage collection; 0: none
    pause_duration: int = 0
    progress_interval: int = 0
    report_period: int = SEC
    report_delay: int = 0
    report_noise: float = 0.0


class Job:
    """An attempt as a node sees it."""

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
        "work_counter_at_start",
        "work_counter_at_end",
        "state",
        "ticker",
        "context",
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
        context: object | None = None,
    ) -> None:
        """`work` is per slot, in core-microseconds at speed 1."""
        self.id, self.key, self.class_index, self.dispatcher = request_id, key, class_index, dispatcher
        self.work, self.slots, self.memory = work, slots, memory
        self.arrived = self.started = 0
        self.work_counter_at_start = self.work_counter_at_end = 0.0
        self.state = "new"
        self.ticker: ScheduledCall | None = None
        self.context = context  # data that only the transport reads, to send job events

    @property
    def total_work(self) -> float:
        """Total work of all slots."""
        return self.work * self.slots
