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
# Soaks from this seed on are longer, and have slow and crowded discovery, changes of its address in series, workers that
# drain before they leave, and processes that are held up.
FIRST_LONG_SEED = 1000
LONG_DURATION_S = 22.0
LAST_LONG_EVENT_S = 12.0
HOLD_S = 0.15
# Soaks from this seed on are long ones in which crowds hold much memory, on a platform with a memory limit.
FIRST_MEMORY_SEED = 2000
MEMORY_LIMIT_MB = 96
MEMORY_CROWD_SCALE = 0.3  # of the crowds of `benchmarks.memory_pressure`


class SignalKind(enum.Enum):
    """What is done to a dispatcher."""

    RELOAD = "SIGHUP"
    MOVE = "SIGHUP with a new address of discovery"
    HOLD = "SIGSTOP, and SIGCONT after 0.15 s"
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
    SLOW = "takes up to three seconds for each answer"
    CROWDED = "refuses each call"


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
class MemoryCrowd:
    """A random crowd of `benchmarks.memory_pressure` at one dispatcher."""

    at_s: float
    dispatcher: int
    seed: int


@dataclass(frozen=True)
class SoakPlan:
    """What happens during one soak."""

    seed: int
    hedging: bool
    has_crowd: bool
    signals: tuple[PlannedSignal, ...]
    discovery_faults: tuple[DiscoveryFault, ...]
    replaced_workers_at_s: tuple[float, ...]
    drained_workers_at_s: tuple[float, ...] = ()
    duration_s: float = DURATION_S
    memory_crowds: tuple[MemoryCrowd, ...] = ()

    @classmethod
    def draw(cls, seed):
        """Return the plan of a seed."""
        draws = random.Random(f"soak {seed}")
        if seed >= FIRST_LONG_SEED:
            return cls._draw_long(seed, draws)
        return cls(
            seed,
            hedging=draws.random() < 0.6,
            has_crowd=draws.random() < 0.3,
            signals=_draw_signals(draws),
            discovery_faults=_draw_discovery_faults(draws),
            replaced_workers_at_s=tuple(sorted(draws.uniform(1, LAST_SIGNAL_S) for _ in range(draws.randint(0, 2)))),
        )

    @classmethod
    def _draw_long(cls, seed, draws):
        """Return the plan of a long soak."""
        return cls(
            seed,
            hedging=draws.random() < 0.6,
            has_crowd=draws.random() < 0.3,
            signals=_draw_long_signals(draws),
            discovery_faults=_draw_long_discovery_faults(draws),
            replaced_workers_at_s=tuple(
                sorted(draws.uniform(1, LAST_LONG_EVENT_S) for _ in range(draws.randint(0, 1)))
            ),
            drained_workers_at_s=tuple(sorted(draws.uniform(1, LAST_LONG_EVENT_S) for _ in range(draws.randint(1, 3)))),
            duration_s=LONG_DURATION_S,
            memory_crowds=_draw_memory_crowds(draws) if seed >= FIRST_MEMORY_SEED else (),
        )


SHORT_SIGNALS = [kind for kind in SignalKind if kind not in (SignalKind.MOVE, SignalKind.HOLD)]


def _draw_signals(draws):
    """Draw series of signals, each to one dispatcher, that follow one another within a second."""
    signals = []
    for _ in range(draws.randint(2, 4)):
        dispatcher = draws.randrange(DISPATCHERS)
        at_s = draws.uniform(0.5, LAST_SIGNAL_S)
        for _ in range(draws.randint(1, 3)):
            signals.append(PlannedSignal(at_s, dispatcher, draws.choice(SHORT_SIGNALS)))
            at_s += draws.uniform(0, 1)
    return tuple(sorted(signals, key=lambda signal: signal.at_s))


def _draw_memory_crowds(draws):
    return tuple(
        MemoryCrowd(draws.uniform(0.5, LAST_LONG_EVENT_S), draws.randrange(DISPATCHERS), draws.randrange(10**6))
        for _ in range(draws.randint(1, 3))
    )


def _draw_long_signals(draws):
    """Draw series of signals, among them changes of discovery's address in quick succession, and single holds."""
    signals = [
        PlannedSignal(draws.uniform(0.5, LAST_LONG_EVENT_S), draws.randrange(DISPATCHERS), SignalKind.HOLD)
        for _ in range(draws.randint(0, 8))
    ]
    for _ in range(draws.randint(1, 3)):
        dispatcher = draws.randrange(DISPATCHERS)
        at_s = draws.uniform(0.5, LAST_LONG_EVENT_S)
        is_move = draws.random() < 0.5
        for _ in range(draws.randint(1, 4)):
            kind = SignalKind.MOVE if is_move else draws.choice(SHORT_SIGNALS)
            signals.append(PlannedSignal(at_s, dispatcher, kind))
            at_s += draws.uniform(0, 1)
    return tuple(sorted(signals, key=lambda signal: signal.at_s))


def _draw_long_discovery_faults(draws):
    """Draw one or two states that follow one another; discovery refuses calls for four seconds at most."""
    faults = []
    at_s = draws.uniform(0, 6)
    for _ in range(draws.randint(1, 2)):
        state = draws.choice([state for state in DiscoveryState if state is not DiscoveryState.WORKING])
        until_s = at_s + draws.uniform(1, 4)
        faults.append(DiscoveryFault(at_s, until_s, state))
        at_s = until_s + draws.uniform(0.2, 3)
    return tuple(faults)


def _draw_discovery_faults(draws):
    if draws.random() < 0.5:
        return ()
    at_s = draws.uniform(0, LAST_SIGNAL_S)
    state = draws.choice([DiscoveryState.DEAD, DiscoveryState.SILENT, DiscoveryState.STALE])
    return (DiscoveryFault(at_s, at_s + draws.uniform(0.5, 4), state),)
