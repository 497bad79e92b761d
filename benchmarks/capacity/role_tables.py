"""Writes the tables of state, messages and cost of each role at the target, and how the assumptions change them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from benchmarks.capacity import fleet
from benchmarks.capacity.markdown import significant, table
from benchmarks.capacity.reckon import (
    HEALTH_CHECKS_PER_REQUEST,
    JOB_EVENTS_PER_TASK,
    Part,
    Reckoning,
    total,
)
from benchmarks.capacity.results import Results
from benchmarks.capacity.target import ASSUMED, DAY_S, TARGET

NOT_MEASURED = "not measured"


class Row(NamedTuple):
    what: str
    how: str
    value: str
    mechanism: str


def _rows(rows: Iterable[Row]) -> str:
    return table(("what", "slope x size + fixed", "at the target", "carried by"), rows)


def _parts(parts: list[Part], title: str, unit: str, limit: str, mechanism: str) -> list[Row]:
    """Return a row for each term, and one for their sum."""
    rows = [Row(f"{title}: {part.what}", part.how, f"{significant(part.value)} {unit}", mechanism) for part in parts]
    rows.append(Row(f"**{title}, in all**", "", f"**{significant(total(parts))} {unit}**{limit}", ""))
    return rows


def dispatcher(results: Results) -> str:
    """Return the table of one dispatcher."""
    estimate = Reckoning(results, TARGET, ASSUMED)
    starts, tasks = estimate.starts_per_s * ASSUMED.requests_a_start, estimate.tasks
    messages = [
        Part("requests", f"{TARGET.starts_per_s:.0f} / {estimate.dispatchers}", starts),
        Part("probes out", f"{HEALTH_CHECKS_PER_REQUEST} a request", HEALTH_CHECKS_PER_REQUEST * starts),
        Part("attempts out", "1 a start", estimate.starts_per_s),
        Part(
            "call-backs in, start and end", f"{JOB_EVENTS_PER_TASK} a task", JOB_EVENTS_PER_TASK * estimate.starts_per_s
        ),
        Part(
            "call-backs in, progress",
            f"{tasks:,.0f} / {ASSUMED.progress_every_s:.0f} s",
            tasks / ASSUMED.progress_every_s,
        ),
        Part("watches out", f"1 / {ASSUMED.watch_s} s", estimate.watches_per_s),
    ]
    list_mechanism = "worker list, watch (`badgerroad/discovery`); reload by SIGHUP"
    state = [
        estimate.line("the list, as discovery writes it", "list_bytes", TARGET.workers),
        estimate.line(f"the configuration with {TARGET.teams} teams", "team_bytes", TARGET.teams),
    ]
    rows = [
        Row(f"state: {part.what}", part.how, f"{significant(part.value)} B", "in memory only; told again after a start")
        for part in state
    ]
    rows += [Row(f"messages: {p.what}", p.how, f"{significant(p.value)} a second", "HTTP/1.1") for p in messages]
    rows += _parts(
        estimate.control_bytes(),
        "control, bytes",
        "B/s",
        f" of {TARGET.control_bytes_per_s:,.0f}",
        f"{list_mechanism}; sending the file to all: missing",
    )
    rows += _parts(
        estimate.control_cpu(),
        "control, CPU",
        "ms a second",
        f" of {TARGET.control_core_share * 1000:.0f}",
        list_mechanism,
    )
    rows += _parts(estimate.work_cpu(), "work, CPU", "ms a second", " of 1,000", "dispatch policy, HTTP")
    rows += _parts(estimate.work_bytes(), "work, bytes", "B/s", "", "HTTP/1.1")
    rows += _parts(estimate.memory(), "memory", "MB", f" of {TARGET.most_mb:.0f}", "rings that shrink")
    rows.append(
        Row(
            "descriptors",
            estimate.line("", "running_descriptors", tasks).how,
            f"{significant(estimate.descriptors())} of {TARGET.descriptors:,}",
            "`net/connection.py` sheds idle ones from nine tenths on",
        )
    )
    rows += [
        Row(
            "quotas of teams",
            "see the quota table",
            "docs/results/fleet.md",
            "leases from a controller (docs/fleet.md)",
        ),
        Row(f"gangs of up to {TARGET.largest_gang}", "", NOT_MEASURED, "missing: a request goes to one worker"),
        Row(f"urgent work within {TARGET.urgent_start_s} s", "", NOT_MEASURED, "missing: nothing is ranked or moved"),
        Row(
            f"a configuration in force within {TARGET.configuration_within_s:.0f} s",
            "",
            NOT_MEASURED,
            "missing: each dispatcher reads its own file; nobody knows which version is in force where",
        ),
    ]
    return _rows(rows)


def discovery(results: Results) -> str:
    """Return the table of the load that the dispatchers put on discovery."""
    estimate = Reckoning(results, TARGET, ASSUMED)
    list_part = estimate.line("", "list_bytes", TARGET.workers)
    turn_calls = estimate.line("", "turn_calls", estimate.dispatchers)
    calls, sent_bytes = (estimate.line("", name, estimate.dispatchers) for name in ("discovery_calls", "discovery_out"))
    received_bytes = estimate.line("", "discovery_in", estimate.dispatchers)
    change = estimate.line("", "change_bytes", TARGET.workers)
    starts = ASSUMED.dispatcher_starts_a_day
    rows = [
        Row("state: the list", list_part.how, f"{significant(list_part.value)} B", "discovery, not ours"),
        Row("calls in", calls.how, f"{significant(calls.value)} a second", "watches of 0.3 to 2.3 s"),
        Row("bytes in", received_bytes.how, f"{significant(received_bytes.value)} B/s", "watches"),
        Row("bytes out, no news", sent_bytes.how, f"{significant(sent_bytes.value)} B/s", "watches"),
        Row(
            "bytes out, a change of one worker",
            f"({change.how}) x {estimate.dispatchers}",
            f"{significant(change.value * estimate.dispatchers)} B",
            "each watch is answered with it",
        ),
        Row(
            "bytes out, whole lists",
            f"({list_part.how}) x {starts:,.0f} / day",
            f"{significant(list_part.value * starts / DAY_S)} B/s",
            "each start with nothing",
        ),
        Row(
            "bytes out, all start at once with nothing",
            f"({list_part.how}) x {estimate.dispatchers}",
            f"{significant(list_part.value * estimate.dispatchers / 1e6)} MB",
            "missing: such first calls take no turns",
        ),
        Row(
            "calls in the busiest 0.1 s, all start at once with the list known",
            turn_calls.how,
            f"{significant(turn_calls.value)} calls",
            "turns of up to 4 s (`discovery/pace.py`)",
        ),
        Row("connections", f"1 x {estimate.dispatchers}", f"{estimate.dispatchers:,}", "one kept for each dispatcher"),
        Row("CPU, memory", "", NOT_MEASURED, "not ours: stand-in"),
    ]
    return _rows(rows)


def _role(role: fleet.Role) -> str:
    rows = [
        Row("members", "", f"{role.members}", role.mechanism),
        Row("state", role.state, f"{significant(role.state_bytes)} B", role.mechanism),
        Row("messages in, as many out", "", f"{significant(role.messages_per_s)} a second", role.mechanism),
        Row("bytes in, as many out", "", f"{significant(role.bytes_per_s)} B/s", role.mechanism),
        Row("descriptors", "", significant(role.descriptors), role.mechanism),
        Row("CPU, memory", "", NOT_MEASURED, role.mechanism),
    ]
    return f"**{fleet.STATUS}**\n\n" + table(("what", "from", "at the target", "carried by"), rows)


def controller(results: Results) -> str:
    estimate = Reckoning(results, TARGET, ASSUMED)
    return _role(fleet.controller(estimate)) + (
        f"\nWith every team in each message, one every {ASSUMED.lease_ms:.0f} ms each way, a dispatcher would spend "
        f"{significant(fleet.bytes_per_dispatcher(estimate))} B/s on leases, where all control has "
        f"{significant(TARGET.control_bytes_per_s)}. A message may carry {int(fleet.teams_that_fit(estimate))} teams at most: "
        f"those that changed.\n"
    )


def voter(results: Results) -> str:
    return _role(fleet.voter(Reckoning(results, TARGET, ASSUMED)))


def assumptions(results: Results) -> str:
    """Return the table of estimates with each assumption halved and doubled."""

    def cells(estimate: Reckoning) -> tuple[str, ...]:
        return (
            f"{estimate.dispatchers:,}",
            significant(estimate.control_share * 100),
            significant(estimate.control_bytes_per_s),
            significant(estimate.work_share * 100),
            significant(estimate.memory_mb),
            significant(estimate.descriptors()),
            significant(estimate.discovery_calls_per_s),
            significant(estimate.discovery_bytes_per_s),
        )

    base = Reckoning(results, TARGET, ASSUMED)
    rows: list[tuple[str, ...]] = [("as assumed", "", *cells(base))]
    for factor, word in ((0.5, "half"), (2.0, "twice")):
        count = round(base.dispatchers * factor)
        rows.append(("dispatchers", f"{word}: {count:,}", *cells(Reckoning(results, TARGET, ASSUMED, count))))
    for name in (
        "client_share",
        "connections_a_task",
        "requests_a_start",
        "refusals_a_start",
        "list_changes_a_restart",
        "progress_every_s",
        "watch_s",
        "dispatcher_starts_a_day",
    ):
        for factor, word in ((0.5, "half"), (2.0, "twice")):
            value = getattr(ASSUMED, name) * factor
            changed = Reckoning(results, TARGET, msgspec.structs.replace(ASSUMED, **{name: value}))
            rows.append((name.replace("_", " "), f"{word}: {significant(value)}", *cells(changed)))
    for factor, word in ((0.5, "half"), (2.0, "twice")):
        target = msgspec.structs.replace(TARGET, running_tasks=int(TARGET.running_tasks * factor))
        seconds = target.running_tasks / TARGET.starts_per_s
        rows.append(
            ("life of a task, s", f"{word}: {significant(seconds)}", *cells(Reckoning(results, target, ASSUMED)))
        )
    return table(
        (
            "assumption",
            "value",
            "dispatchers",
            "control, % of a core",
            "control, B/s",
            "work, % of a core",
            "memory, MB",
            "descriptors",
            "discovery, calls/s",
            "discovery, B/s out",
        ),
        rows,
    )


def faults(results: Results) -> str:
    """Return the table of what the loss of a machine, a rack, a zone, a region or a dispatcher affects and costs.

    The time to recover is not measured.
    """
    estimate = Reckoning(results, TARGET, ASSUMED)
    zone, region = TARGET.workers / TARGET.zones, TARGET.workers / TARGET.regions
    rows = []
    for what, workers, dispatchers in (
        ("a machine", 1.0, 0.0),
        ("a rack", float(ASSUMED.rack_workers), 0.0),
        ("a zone", zone, estimate.dispatchers / TARGET.zones),
        ("a region", region, estimate.dispatchers / TARGET.regions),
    ):
        size, cpu, hold = (results.at(name, workers) for name in ("loss_bytes", "loss_cpu_ms", "loss_hold_ms"))
        if workers == 1:
            size = results.at("change_bytes", TARGET.workers)
        rows.append(
            (
                what,
                f"{workers:,.0f}",
                f"{workers * TARGET.running_tasks / TARGET.workers:,.0f}",
                f"{dispatchers:,.0f}",
                f"{estimate.dispatchers - round(dispatchers)} x {significant(size)} B",
                significant(cpu),
                significant(hold),
                NOT_MEASURED,
                NOT_MEASURED,
            )
        )
    rows.append(
        ("a dispatcher", "0", f"{estimate.tasks:,.0f} cut off", "1", "none", "0", "0", NOT_MEASURED, NOT_MEASURED)
    )
    return table(
        (
            "loss of",
            "workers",
            "tasks there",
            "dispatchers there",
            "news, if it comes as one change",
            "CPU of it, ms a dispatcher",
            "longest hold, ms",
            "worth",
            "as before after",
        ),
        rows,
    )
