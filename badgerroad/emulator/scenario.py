"""Scenarios: TOML files that say what a run is made of, decoded and checked.

Every field has a default, taken from the operators' brief, so a file names only what it is about. Fields in
`_s` and `_ms` are seconds and milliseconds; a list of two numbers is a range from which each run draws.
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
LONGEST = 86_400.0  # seconds; a run is a day at most
MOST_NODES, MOST_DISPATCHERS = 20_000, 256


class Base(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """What all parts of a scenario share: unknown fields are errors, nothing changes after the load."""


class Zone(Base, frozen=True, kw_only=True):
    """`[[zone]]`: its nodes, dispatchers and traffic."""

    name: str
    nodes: int = 7
    dispatchers: int = 1
    traffic: float = 0.5  # its part of the arrivals, against the other zones'


class Kind(Base, frozen=True, kw_only=True):
    """`[[kind]]`: nodes of one machine type."""

    name: str
    share: float = 1.0  # of the nodes
    cores: int = 4
    speed: Range = (0.85, 1.1)
    slots_per_core: Range = (1.0, 1.3)
    queue_per_core: float = 12.0
    cold_from: float = 0.2
    cold_s: float = 18.0
    crowd_at: float = 7.0  # jobs held per core from which efficiency falls
    crowd_loss: float = 0.4
    pause_every_s: float = 8.0
    pause_ms: float = 40.0
    error_rate: float = 0.0005


class JobClass(Base, frozen=True, kw_only=True):
    """`[[cls]]`: one class of requests."""

    name: str
    share: float = 1.0  # of the arrivals
    work_ms: Range = (400, 780)  # mean running time at speed 1
    cv: float = 1.0
    slots: tuple[float, ...] = (1.0,)  # shares of jobs with 1, 2, 4, ... slots
    memory: Range = (0.2, 0.9)  # units for each slot
    aim_ms: float = 250
    stretch: float = 2.0
    deadline_ms: float = 7500
    worth: float = 5.0
    semantics: Literal["retryable", "dedup", "fragile"] = "retryable"
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: float = 5000


class Load(Base, frozen=True, kw_only=True):
    """`[load]`: how many requests come, and when."""

    level: float = 0.42  # of what the nodes can do when warm; or:
    rate_per_s: float = 0.0
    shape: Literal["steady", "wave", "trace"] = "steady"
    swing: float = 0.12  # of a wave
    period_s: float = 20.0
    trace: str = ""  # CSV next to the scenario: at_s, class, work_ms[, slots[, zone]]
    hint_noise: float = 0.1  # spread of hints round the true work; below 0: no hints


class Clients(Base, frozen=True, kw_only=True):
    """`[clients]`: how clients retry."""

    retries: int = 3
    backoff_ms: float = 60.0  # 0: at once
    honour: float = 0.2  # part of the clients that heed Retry-After
    impatient: float = 0.02  # part that gives up after half the time
    marks_retry: bool = True
    bad_per_s: float = 0.0  # bad clients, by live runs only


class Network(Base, frozen=True, kw_only=True):
    """`[network]`: delays and connections."""

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
    """`[reports]`: how late and how rough load reports are."""

    period_ms: float = 900
    delay_ms: float = 340
    noise: float = 0.03
    probe_us: int = 4200


class Discovery(Base, frozen=True, kw_only=True):
    """`[discovery]`: how late and how loaded discovery is."""

    notice_s: Range = (2.5, 4.9)
    capacity: float = 30.0  # calls a second, served in turn; 0: at once
    timeout_ms: float = 1000
    dead_calls_cost: bool = False  # a call that has failed for waiting still takes its turn
    lines_per_call: int = 0  # so many lines of a whole list take as long as a call; 0: none
    watches_go_on: bool = False  # a watch asked for anew within 200 ms takes no turn


class Rules(Base, frozen=True, kw_only=True):
    """`[rules]`: the platform's permissions and limits."""

    drain_grace_ms: float = 500
    ask_within_s: float = 10
    fall_multiple: float = 3.0
    fall_ms: float = 3000
    cold_from: float = 0.13  # what dispatchers are told: no node starts lower,
    cold_s: float = 24.0  # or takes longer
    answer_slack_ms: float = 8
    max_attempts: int = 4
    second_copies: bool = True
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
    """As the operator's file has them in `[limits]`."""

    retries: Literal["free", "budget"] = "free"
    retry_share: float = 0.2
    retry_least: int = 10
    retry_window_s: float = 10.0


class Limits(Base, frozen=True, kw_only=True):
    """What a live dispatcher process has."""

    memory_mb: float = 192
    sockets: int = 1024


What = Literal[
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
# What each kind of event means by `size` and `extra`, and whether it needs `for_s`.
NEEDS_LENGTH = frozenset(
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
    """One thing that happens. `nodes` names them; else `part` of all (those of `zone`, if given) are drawn."""

    at_s: float
    what: What
    for_s: float = 0.0
    size: float = 1.0  # times slower; share that fails; share taken; seconds late; times the work; times
    extra: float = 0.0  # neighbour: seconds on or off; heavy_tail: share of the class; replace: seconds away
    part: float = 0.0
    nodes: tuple[str, ...] = ()
    zone: str = ""
    cls: str = msgspec.field(default="", name="class")
    dispatcher: int = -1  # -1: all of them, one after another where that matters


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
    """A whole scenario file."""

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
    start_s: float = 0.7  # how long a dispatcher takes to start again
    event: tuple[Event, ...] = ()

    @property
    def nodes(self) -> int:
        """Nodes in all zones."""
        return sum(h.nodes for h in self.zone)

    @property
    def dispatchers(self) -> int:
        """Dispatchers in all zones."""
        return sum(h.dispatchers for h in self.zone)


def load(path: Path) -> Scenario:
    """The scenario of a file, checked. Raises ScenarioError."""
    scenario = toml_files.decode(path, Scenario, ScenarioError)
    problem = _problem(scenario)
    if problem:
        raise ScenarioError(f"{path}: {problem}")
    if scenario.load.shape == "trace":
        rows(scenario, path.parent)
    return scenario


def _problem(s: Scenario) -> str | None:
    """What cannot be, as `field: reason`."""
    checks: list[tuple[bool, str, str]] = [
        (0 < s.length_s <= LONGEST, "length_s", f"must be above 0 and at most {LONGEST:.0f}"),
        (s.rack >= 1, "rack", "must be 1 or more"),
        (0 < s.nodes <= MOST_NODES, "zone", f"nodes together must be 1 to {MOST_NODES}"),
        (0 < s.dispatchers <= MOST_DISPATCHERS, "zone", f"dispatchers together must be 1 to {MOST_DISPATCHERS}"),
        (sum(h.traffic for h in s.zone) > 0, "zone", "traffic must be above 0 together"),
        (sum(k.share for k in s.kind) > 0, "kind", "share must be above 0 together"),
        (sum(c.share for c in s.cls) > 0, "class", "share must be above 0 together"),
        (s.load.level >= 0 and s.load.rate_per_s >= 0, "load", "must not be negative"),
        (s.load.shape != "trace" or bool(s.load.trace), "load.trace", "a trace needs a file"),
        (0 <= s.load.swing <= 1, "load.swing", "must be 0 to 1"),
        (s.load.period_s > 0, "load.period_s", "must be above 0"),
        (0 < s.rules.cold_from <= 1, "rules.cold_from", "must be above 0 and at most 1"),
        (s.rules.max_attempts >= 1, "rules.max_attempts", "must be 1 or more"),
        (s.limits.sockets >= 64, "limits.sockets", "must be 64 or more"),
        (
            s.retries.retry_share >= 0 and s.retries.retry_least >= 0 and s.retries.retry_window_s > 0,
            "retries",
            "must not be negative",
        ),
        (s.clients.retries >= 0, "clients.retries", "must not be negative"),
        (s.reports.period_ms > 0, "reports.period_ms", "must be above 0"),
    ]
    for n, h in enumerate(s.zone):
        checks += [
            (h.nodes >= 0 and h.dispatchers >= 0 and h.traffic >= 0, f"zone[{n}]", "must not be negative"),
            (not h.traffic or h.dispatchers > 0, f"zone[{n}].dispatchers", "a zone with traffic needs one"),
        ]
    for n, k in enumerate(s.kind):
        checks += [
            (k.cores >= 1, f"kind[{n}].cores", "must be 1 or more"),
            (0 < k.speed[0] <= k.speed[1], f"kind[{n}].speed", "must rise from above 0"),
            (0 < k.cold_from <= 1, f"kind[{n}].cold_from", "must be above 0 and at most 1"),
        ]
    for n, c in enumerate(s.cls):
        checks += [
            (0 < c.work_ms[0] <= c.work_ms[1], f"class[{n}].work_ms", "must rise from above 0"),
            (c.deadline_ms > 0, f"class[{n}].deadline_ms", "must be above 0"),
            (c.aim_ms > 0, f"class[{n}].aim_ms", "must be above 0"),
            (sum(c.slots) > 0, f"class[{n}].slots", "shares must be above 0 together"),
        ]
    zones, classes = [h.name for h in s.zone], [c.name for c in s.cls]
    for n, e in enumerate(s.event):
        at = f"event[{n}]"
        checks += [
            (0 <= e.at_s <= s.length_s, f"{at}.at_s", "must lie within the run"),
            (e.what not in NEEDS_LENGTH or e.for_s > 0, f"{at}.for_s", f"{e.what} needs a length"),
            (not e.zone or e.zone in zones, f"{at}.zone", f"no such zone: {e.zone!r}"),
            (not e.cls or e.cls in classes, f"{at}.class", f"no such class: {e.cls!r}"),
            (e.what != "heavy_tail" or e.cls in classes, f"{at}.class", "heavy_tail needs a class"),
            (e.what != "zone_outage" or e.zone in zones, f"{at}.zone", "zone_outage needs a zone"),
            (e.what not in ("slow", "heavy_tail", "link_slow", "surge") or e.size > 0, f"{at}.size", "must be above 0"),
            (0 <= e.part <= 1, f"{at}.part", "must be 0 to 1"),
            (e.dispatcher < s.dispatchers, f"{at}.dispatcher", "no such dispatcher"),
        ]
    return next((f"{field}: {why}" for ok, field, why in checks if not ok), None)


def rows(scenario: Scenario, folder: Path) -> list[TraceRow]:
    """The arrivals of a trace, in the order of time. Raises ScenarioError."""
    classes, zones = {c.name for c in scenario.cls}, {z.name for z in scenario.zone}
    return traces.read(folder / scenario.load.trace, classes, zones)
