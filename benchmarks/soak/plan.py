"""Draws from a seed what happens during a soak: signals, discovery faults, changes of the fleet, and a crowd."""

import enum
import random
from dataclasses import dataclass

DURATION_S = 12.0
LAST_SIGNAL_S = 9.0
DISPATCHERS = 3
WORKERS = 5
CLIENTS_PER_DISPATCHER = 8
CROWD_SIZE = 260
DESCRIPTOR_LIMIT = 256


class SignalKind(enum.Enum):
    """What is done to a dispatcher."""

    RELOAD = "SIGHUP"
    RESTART = "SIGTERM, SIGKILL at the earliest time, and a new process"
    HOT_RESTART = "a new process takes over, and the old one gets SIGTERM"
    HOT_RESTART_TWICE = "a second new process starts while the first takes over"
    TERMINATE_DURING_HOT_RESTART = "the old process gets SIGTERM while the new one starts"


class DiscoveryState(enum.Enum):
    """How discovery behaves for a time."""

    WORKING = "working"
    DEAD = "ends each connection"
    SILENT = "answers nothing"
    STALE = "answers with the list as it was when this state began"


@dataclass(frozen=True)
class PlannedSignal:
    """A signal, or a series of them, at a time of the soak."""

    at_s: float
    dispatcher: int
    kind: SignalKind


@dataclass(frozen=True)
class DiscoveryFault:
    """A time in which discovery is in a state other than `WORKING`."""

    at_s: float
    until_s: float
    state: DiscoveryState


@dataclass(frozen=True)
class SoakPlan:
    """What happens during one soak."""

    seed: int
    hedging: bool
    has_crowd: bool
    signals: tuple[PlannedSignal, ...]
    discovery_faults: tuple[DiscoveryFault, ...]
    replaced_workers_at_s: tuple[float, ...]

    @classmethod
    def draw(cls, seed):
        """Return the plan of a seed."""
        draws = random.Random(f"soak {seed}")
        return cls(
            seed,
            hedging=draws.random() < 0.6,
            has_crowd=draws.random() < 0.3,
            signals=_draw_signals(draws),
            discovery_faults=_draw_discovery_faults(draws),
            replaced_workers_at_s=tuple(sorted(draws.uniform(1, LAST_SIGNAL_S) for _ in range(draws.randint(0, 2)))),
        )


def _draw_signals(draws):
    """Draw series of signals, each to one dispatcher, that follow one another within a second."""
    signals = []
    for _ in range(draws.randint(2, 4)):
        dispatcher = draws.randrange(DISPATCHERS)
        at_s = draws.uniform(0.5, LAST_SIGNAL_S)
        for _ in range(draws.randint(1, 3)):
            signals.append(PlannedSignal(at_s, dispatcher, draws.choice(list(SignalKind))))
            at_s += draws.uniform(0, 1)
    return tuple(sorted(signals, key=lambda signal: signal.at_s))


def _draw_discovery_faults(draws):
    if draws.random() < 0.5:
        return ()
    at_s = draws.uniform(0, LAST_SIGNAL_S)
    state = draws.choice([DiscoveryState.DEAD, DiscoveryState.SILENT, DiscoveryState.STALE])
    return (DiscoveryFault(at_s, at_s + draws.uniform(0.5, 4), state),)
