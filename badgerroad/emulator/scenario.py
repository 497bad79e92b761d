"""Scenario files: structures of the TOML format, decoding and validation.

Every field has a default, taken from the operators' specification, so a file sets only what differs. Fields ending in
`_s` and `_ms` are in seconds and milliseconds; a list of two numbers is a range from which each run draws a value.
"""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import msgspec

from badgerroad import toml_files
from badgerroad.emulator import traces
from badgerroad.emulator.errors import ScenarioError
from badgerroad.emulator.traces import TraceRow

Range = tuple[float, float]
MAX_LENGTH_S = 86_400.0  # seconds; a run may last one day
MAX_NODES, MAX_DISPATCHERS = 20_000, 256


class Base(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base of all scenario structures: immutable, and unknown fields are errors."""


class Zone(Base, frozen=True, kw_only=True):
    """`[[zone]]`: numbers of nodes and dispatchers in a zone, and its traffic."""

    name: str
    nodes: int = 7
    dispatchers: int = 1
    traffic: float = 0.5  # share of the arrivals, relative to the other zones


class Kind(Base, frozen=True, kw_only=True):
    """`[[kind]]`: a machine type of nodes."""

    name: str
    share: float = 1.0  # share of the nodes that are of this type, relative to the other types
    cores: int = 4
    speed: Range = (0.85, 1.1)
    slots_per_core: Range = (1.0, 1.3)
    queue_per_core: float = 12.0
    cold_from: float = 0.2  # share of the full capacity that a node has right after a start
    cold_s: float = 18.0  # warm-up time
    crowd_at: float = 7.0  # jobs per core above which efficiency falls
    crowd_loss: float = 0.4  # share of the speed lost at twice `crowd_at`
    pause_every_s: float = 8.0
    pause_ms: float = 40.0
    error_rate: float = 0.0005


class JobClass(Base, frozen=True, kw_only=True):
    """`[[class]]`: a request class."""

    name: str
    share: float = 1.0  # share of the arrivals
    work_ms: Range = (400, 780)  # mean running time at speed 1
    cv: float = 1.0  # coefficient of variation of the work
    slots: tuple[float, ...] = (1.0,)  # shares of jobs with 1, 2, 4, ... slots
    memory: Range = (0.2, 0.9)  # units of memory per slot
    aim_ms: float = 250  # latency objective: `aim_ms` + `stretch` * work, at most `deadline_ms`
    stretch: float = 2.0
    deadline_ms: float = 7500
    worth: float = 5.0  # priority weight per unit of work
    semantics: Literal["retryable", "dedup", "fragile"] = "retryable"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: float = 5000  # deduplication window


class Load(Base, frozen=True, kw_only=True):
    """`[load]`: rate, pattern and work hints of the arrivals."""

    level: float = 0.42  # load as a share of the capacity of the warm nodes; `rate_per_s` overrides it
    rate_per_s: float = 0.0
    shape: Literal["steady", "wave", "trace"] = "steady"
    swing: float = 0.12  # amplitude of the wave, as a share of the mean rate
    period_s: float = 20.0
    trace: str = ""  # CSV next to the scenario: at_s, class, work_ms[, slots[, zone]]
    hint_noise: float = 0.1  # coefficient of variation of work hints around the true work; below 0: no hints


class Clients(Base, frozen=True, kw_only=True):
    """`[clients]`: retries and timeouts of clients."""

    retries: int = 3
    backoff_ms: float = 60.0  # pause before a retry; 0: retry at once
    honour: float = 0.2  # share of the retries that wait for the Retry-After value of the answer
    impatient: float = 0.02  # share of tries whose client gives up after half of the time left
    marks_retry: bool = True
    bad_per_s: float = 0.0  # malformed requests per second; only sent in live runs


class Network(Base, frozen=True, kw_only=True):
    """`[network]`: delays, handshakes and connection limits."""

    same_ms: Range = (0.14, 0.33)
    cross_ms: Range = (1.4, 2.6)
    client_ms: Range = (0.21, 1.2)
    jitter: float = 0.2
    handshake_trips: float = 2.5
    handshake_us: int = 1300
    connections_per_core: int = 750
    connect_timeout_ms: float = 150
    idle_s: float = 60


class Reports(Base, frozen=True, kw_only=True):
    """`[reports]`: period, delay, noise and cost of load reports."""

    period_ms: float = 900
    delay_ms: float = 340
    noise: float = 0.03
    probe_us: int = 4200


class Discovery(Base, frozen=True, kw_only=True):
    """`[discovery]`: update delay and capacity of discovery."""

    notice_s: Range = (2.5, 4.9)
    capacity: float = 30.0  # calls per second, served one at a time; 0: unlimited
    timeout_ms: float = 1000
    dead_calls_cost: bool = False  # a call that timed out in the queue still uses capacity
    lines_per_call: int = 0  # entries of a complete list that cost as much as one call; 0: entries cost nothing
    watches_go_on: bool = False  # a watch renewed within 200 ms of the previous answer uses no capacity


class Rules(Base, frozen=True, kw_only=True):
    """`[rules]`: the platform's permissions and limits."""

    drain_grace_ms: float = 500
    ask_within_s: float = 10
    fall_multiple: float = 3.0  # overload limit during warm-up, as a multiple of the current capacity
    fall_ms: float = 3000  # the overload limit applies to the work received in this time
    cold_from: float = 0.13  # lower bound of nodes' capacity after a start, as a share of the full; sent to dispatchers
    cold_s: float = 24.0  # upper bound of the warm-up time, sent to dispatchers
    answer_slack_ms: float = 8
    max_attempts: int = 4
    second_copies: bool = True  # hedged requests are permitted
    cancelling: bool = True
    probes: bool = True
    retry_after: bool = True
    max_retry_after_ms: float = 2000
    tells_start: bool = True
    progress_ms: float = 1000
    returns_on_drain: bool = False
    memory: bool = True
    cross_zone_cost: float = 0.029


class Retries(Base, frozen=True, kw_only=True):
    """`[retries]`: the retry limits, as in `[limits]` of the operator's file."""

    retries: Literal["free", "budget"] = "free"
    retry_share: float = 0.2
    retry_least: int = 10
    retry_window_s: float = 10.0


class Limits(Base, frozen=True, kw_only=True):
    """`[limits]`: resources of a live dispatcher process."""

    memory_mb: float = 192
    sockets: int = 1024


EventName = Literal[
    "slow",
    "quick_failures",
    "neighbour",
    "late_reports",
    "heavy_tail",
    "pause",
    "silence",
    "kill_node",
    "restart_node",
    "drain_node",
    "replace_node",
    "add_node",
    "reset",
    "link_slow",
    "partition",
    "one_way",
    "zone_outage",
    "discovery_down",
    "discovery_silent",
    "kill_dispatcher",
    "restart_dispatcher",
    "freeze_dispatcher",
    "reload_dispatcher",
    "surge",
]
# Events that need a duration (`for_s`).
NEEDS_DURATION = frozenset(
    (
        "slow",
        "quick_failures",
        "neighbour",
        "late_reports",
        "heavy_tail",
        "pause",
        "silence",
        "link_slow",
        "partition",
        "one_way",
        "zone_outage",
        "discovery_down",
        "discovery_silent",
        "freeze_dispatcher",
        "surge",
    )
)


class Event(Base, frozen=True, kw_only=True):
    """`[[event]]`: a fault or change during the run.

    `nodes` names the nodes affected; without it, a share `part` of the running nodes (of `zone`, if given) is drawn.
    """

    at_s: float
    what: EventName
    for_s: float = 0.0
    # The meaning of `size` depends on the event: slowdown factor, share of jobs that fail, share of the CPU taken by
    # others, delay of load reports in seconds, multiplier of the work, the rate or a delay, or number of added nodes.
    size: float = 1.0
    # neighbour: seconds for which the neighbour is active or idle at a time; heavy_tail: share of the class's jobs;
    # replace_node: seconds until the new node starts.
    extra: float = 0.0
    part: float = 0.0
    nodes: tuple[str, ...] = ()
    zone: str = ""
    cls: str = msgspec.field(default="", name="class")
    dispatcher: int = -1  # number of the dispatcher; -1: all, which a restart event restarts one after another


ZONES = (
    Zone(name="paseo-colon", nodes=7, dispatchers=1, traffic=0.55),
    Zone(name="barracas", nodes=6, dispatchers=1, traffic=0.45),
)
KINDS = (
    Kind(name="std-4c", share=0.46),
    Kind(
        name="wide-5c", share=0.54, cores=5, speed=(0.51, 0.69), cold_from=0.26, cold_s=20, pause_every_s=6, pause_ms=25
    ),
)
CLASSES = (
    JobClass(name="preview", share=0.33),
    JobClass(
        name="issue",
        share=0.30,
        work_ms=(800, 1600),
        slots=(0.6, 0.25, 0.15),
        aim_ms=800,
        deadline_ms=15000,
        semantics="dedup",
        window_ms=25000,
    ),
    JobClass(
        name="bundle",
        share=0.24,
        work_ms=(2400, 4700),
        slots=(0.6, 0.25, 0.15),
        aim_ms=1200,
        stretch=2.5,
        deadline_ms=25000,
        worth=3.0,
        semantics="dedup",
        group="cell",
        window_ms=40000,
    ),
    JobClass(
        name="amend",
        share=0.13,
        work_ms=(1600, 3100),
        slots=(0.8, 0.2),
        aim_ms=1000,
        stretch=2.5,
        deadline_ms=25000,
        worth=2.0,
        semantics="dedup",
        group="zone",
        window_ms=40000,
    ),
)


class Scenario(Base, frozen=True, kw_only=True):
    """A complete scenario file."""

    name: str
    about: str = ""
    seed: int = 1
    length_s: float = 20.0
    rack: int = 4  # nodes that share a cell
    zone: tuple[Zone, ...] = ZONES
    kind: tuple[Kind, ...] = KINDS
    cls: tuple[JobClass, ...] = msgspec.field(default=CLASSES, name="class")
    load: Load = Load()
    clients: Clients = Clients()
    network: Network = Network()
    reports: Reports = Reports()
    discovery: Discovery = Discovery()
    rules: Rules = Rules()
    limits: Limits = Limits()
    retries: Retries = Retries()
    front_notice_s: Range = (1.3, 3.9)
    start_s: float = 0.7  # time that a dispatcher takes to restart
    event: tuple[Event, ...] = ()

    @property
    def nodes(self) -> int:
        """Number of nodes in all zones."""
        return sum(zone.nodes for zone in self.zone)

    @property
    def dispatchers(self) -> int:
        """Number of dispatchers in all zones."""
        return sum(zone.dispatchers for zone in self.zone)


def load(path: Path) -> Scenario:
    """Load and validate a scenario file. Raises ScenarioError."""
    scenario = toml_files.decode(path, Scenario, ScenarioError)
    problem = _problem(scenario)
    if problem:
        raise ScenarioError(f"{path}: {problem}")
    if scenario.load.shape == "trace":
        trace_rows(scenario, path.parent)
    return scenario


def _problem(scenario: Scenario) -> str | None:
    """Return the first invalid field as `field: reason`, or None."""
    checks: list[tuple[bool, str, str]] = [
        (0 < scenario.length_s <= MAX_LENGTH_S, "length_s", f"must be above 0 and at most {MAX_LENGTH_S:.0f}"),
        (scenario.rack >= 1, "rack", "must be 1 or more"),
        (0 < scenario.nodes <= MAX_NODES, "zone", f"the total number of nodes must be 1 to {MAX_NODES}"),
        (
            0 < scenario.dispatchers <= MAX_DISPATCHERS,
            "zone",
            f"the total number of dispatchers must be 1 to {MAX_DISPATCHERS}",
        ),
        (sum(zone.traffic for zone in scenario.zone) > 0, "zone", "total traffic must be above 0"),
        (sum(kind.share for kind in scenario.kind) > 0, "kind", "total share must be above 0"),
        (sum(cls.share for cls in scenario.cls) > 0, "class", "total share must be above 0"),
        (scenario.load.level >= 0 and scenario.load.rate_per_s >= 0, "load", "must not be negative"),
        (
            scenario.load.shape != "trace" or bool(scenario.load.trace),
            "load.trace",
            "must name a file if shape is trace",
        ),
        (0 <= scenario.load.swing <= 1, "load.swing", "must be 0 to 1"),
        (scenario.load.period_s > 0, "load.period_s", "must be above 0"),
        (0 < scenario.rules.cold_from <= 1, "rules.cold_from", "must be above 0 and at most 1"),
        (scenario.rules.max_attempts >= 1, "rules.max_attempts", "must be 1 or more"),
        (scenario.limits.sockets >= 64, "limits.sockets", "must be 64 or more"),
        (
            scenario.retries.retry_share >= 0
            and scenario.retries.retry_least >= 0
            and scenario.retries.retry_window_s > 0,
            "retries",
            "shares and counts must not be negative, retry_window_s must be above 0",
        ),
        (scenario.clients.retries >= 0, "clients.retries", "must not be negative"),
        (scenario.reports.period_ms > 0, "reports.period_ms", "must be above 0"),
    ]
    for index, zone in enumerate(scenario.zone):
        checks += [
            (zone.nodes >= 0 and zone.dispatchers >= 0 and zone.traffic >= 0, f"zone[{index}]", "must not be negative"),
            (
                not zone.traffic or zone.dispatchers > 0,
                f"zone[{index}].dispatchers",
                "must be above 0 in a zone with traffic",
            ),
        ]
    for index, kind in enumerate(scenario.kind):
        checks += [
            (kind.cores >= 1, f"kind[{index}].cores", "must be 1 or more"),
            (
                0 < kind.speed[0] <= kind.speed[1],
                f"kind[{index}].speed",
                "must be a range above 0, the lower value first",
            ),
            (0 < kind.cold_from <= 1, f"kind[{index}].cold_from", "must be above 0 and at most 1"),
        ]
    for index, cls in enumerate(scenario.cls):
        checks += [
            (
                0 < cls.work_ms[0] <= cls.work_ms[1],
                f"class[{index}].work_ms",
                "must be a range above 0, the lower value first",
            ),
            (cls.deadline_ms > 0, f"class[{index}].deadline_ms", "must be above 0"),
            (cls.aim_ms > 0, f"class[{index}].aim_ms", "must be above 0"),
            (sum(cls.slots) > 0, f"class[{index}].slots", "the sum of the shares must be above 0"),
        ]
    zones, classes = [zone.name for zone in scenario.zone], [cls.name for cls in scenario.cls]
    for index, event in enumerate(scenario.event):
        field = f"event[{index}]"
        checks += [
            (
                0 <= event.at_s <= scenario.length_s,
                f"{field}.at_s",
                f"must be 0 to {scenario.length_s:g}, the length of the run",
            ),
            (
                event.what not in NEEDS_DURATION or event.for_s > 0,
                f"{field}.for_s",
                f"{event.what} needs a duration above 0",
            ),
            (not event.zone or event.zone in zones, f"{field}.zone", f"no such zone: {event.zone!r}"),
            (not event.cls or event.cls in classes, f"{field}.class", f"no such class: {event.cls!r}"),
            (event.what != "heavy_tail" or event.cls in classes, f"{field}.class", "heavy_tail needs a class"),
            (event.what != "zone_outage" or event.zone in zones, f"{field}.zone", "zone_outage needs a zone"),
            (
                event.what not in ("slow", "heavy_tail", "link_slow", "surge") or event.size > 0,
                f"{field}.size",
                "must be above 0",
            ),
            (0 <= event.part <= 1, f"{field}.part", "must be 0 to 1"),
            (event.dispatcher < scenario.dispatchers, f"{field}.dispatcher", "no such dispatcher"),
        ]
    return next((f"{field}: {reason}" for is_valid, field, reason in checks if not is_valid), None)


def trace_rows(scenario: Scenario, folder: Path) -> list[TraceRow]:
    """Read the arrivals of the scenario's trace, sorted by time. Raises ScenarioError."""
    classes, zones = {cls.name for cls in scenario.cls}, {z.name for z in scenario.zone}
    return traces.read(folder / scenario.load.trace, classes, zones)
