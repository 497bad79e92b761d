"""Formats the results as a Markdown page. No I/O."""

from __future__ import annotations

from . import aims
from .results import Aim, Document, Recovery, Result

HEAD = """# The fleet at size, on loopback

Written by `python -m benchmarks.fleet --page docs/results/fleet.md --json docs/results/fleet.json` from the JSON; not by hand.

19 `badgerroad control` processes (7 regions, 19 zones, 7 voters) and hollow dispatchers, which run the real rules and connections
without HTTP. 510 teams whose quotas follow Zipf's law, 450 requests a second in all; open-loop Poisson arrivals. All messages go
through relays: one way 0.2 ms in a zone, 1 ms in a region, 15 ms between regions. Shares are of the requests that came, or of the
quotas. Each decision is stamped with CLOCK_MONOTONIC, one clock for all processes, and judged from those times alone. "Overshoot" is
the most requests within quota in any window beyond quota * its length, for the team nearest to its bound; the bound is
2 * 19 + 2 s * quota, and the stocks of the reserves of zones that were cut off.

A run starts with the stocks of the long run, since a team of 0.13 requests a second would need minutes to come to them: in the first
10 s, which aren't judged, quotas are higher, so that buckets get full (below the quota), or zones hold half a request each (above it).
`cold` is the run without that.
"""

COSTS_HEAD = """## What it costs

Dispatcher: the CPU of its process divided by its hollow dispatchers, Python and the event loop included; memory: the growth of that
process divided likewise. Controller: from `/proc/PID/stat`; its bytes and messages as the relays counted them.
"""

TOPOLOGY_HEAD = """## Zone's controller alone, against all owners

`zone`: a dispatcher talks to its zone's controller. `owners`: it holds 19 connections and asks each owner for its shards' teams
itself (one set of leases for each).
"""


def page(document: Document) -> str:
    """Return the whole page."""
    main = [result for result in document.results if result.topology == "zone"]
    sizes = sorted({result.dispatchers for result in main})
    parts = [HEAD]
    for size in sizes:
        some = [result for result in main if result.dispatchers == size]
        parts += [f"## {size} dispatchers\n", aims_table(aims.judged(some)), scenario_table(some), recovery_table(some)]
    parts += [COSTS_HEAD, cost_table(main)]
    compared = topology_results(document.results)
    if compared:
        parts += [TOPOLOGY_HEAD, topology_table(compared)]
    return "\n".join(parts)


def table(head: list[str], rows: list[list[str]], texts: int = 1) -> str:
    """Format a Markdown table. The first `texts` columns are text, the others are right-aligned numbers."""
    rule = ["---"] * texts + ["---:"] * (len(head) - texts)
    return "".join(f"| {' | '.join(row)} |\n" for row in [head, rule, *rows])


def aims_table(judged: list[Aim]) -> str:
    words = {True: "yes", False: "**no**", None: "not run"}
    return table(["what", "aim", "figure", "reached"], [[a.name, a.aim, a.figure, words[a.reached]] for a in judged], 4)


def scenario_table(results: list[Result]) -> str:
    head = [
        "scenario",
        "requests",
        "called over",
        "used",
        "10 s windows",
        "overshoot / bound",
        "wait p50 / p99 ms",
        "seed",
        "commit",
    ]
    rows = [
        [
            f"`{r.scenario}`: {r.what}",
            f"{r.requests:,}",
            f"{r.over_share:.2%}",
            f"{r.use_share:.1%}",
            f"{r.use_window_least:.0%} to {r.use_window_most:.0%}",
            f"{r.overshoot:.1f} / {r.bound:.1f}{' BROKEN' if r.bound_broken else ''}",
            f"{r.wait_ms_median:.1f} / {r.wait_ms_p99:.1f}",
            str(r.seed),
            f"`{r.commit}`",
        ]
        for r in results
    ]
    return table(head, rows)


def recovery_table(results: list[Result]) -> str:
    head = ["scenario", "of", "since", "full use after", "use before", "least window of 2 s"]
    rows = [recovery_row(result, one) for result in results for one in result.recoveries]
    notes = "".join(f"\n`{result.scenario}`: {note}.\n" for result in results for note in result.notes)
    return (table(head, rows, 3) if rows else "") + notes


def recovery_row(result: Result, one: Recovery) -> list[str]:
    after = "not before the end" if one.seconds is None else f"{one.seconds:.2f} s"
    return [f"`{result.scenario}`", one.of, one.since, after, f"{one.use_before:.1%}", f"{one.use_least:.1%}"]


COST_HEAD = ["CPU of a core", "most", "bytes/s", "messages/s", "MiB"]


def cost_cells(result: Result) -> list[str]:
    cells = []
    for cost in (result.dispatcher, result.controller):
        cells += [
            f"{cost.cpu_share:.2%}",
            f"{cost.cpu_share_most:.2%}",
            f"{cost.bytes_s:,.0f}",
            f"{cost.messages_s:,.1f}",
            f"{cost.resident_mib:.2f}",
        ]
    return cells


def cost_table(results: list[Result]) -> str:
    head = ["scenario", "dispatchers"] + [f"dispatcher: {COST_HEAD[0]}", *COST_HEAD[1:]]
    head += [f"controller: {COST_HEAD[0]}", *COST_HEAD[1:]]
    rows = [[f"`{r.scenario}`", str(r.dispatchers), *cost_cells(r)] for r in results]
    return table(head, rows)


def topology_results(results: list[Result]) -> list[Result]:
    """Return the results of other topologies, each preceded by the zone result that it is compared with."""
    compared = []
    for other in results:
        if other.topology == "zone":
            continue
        compared += [
            r
            for r in results
            if (r.scenario, r.dispatchers) == (other.scenario, other.dispatchers) and r.topology == "zone"
        ]
        compared.append(other)
    return compared


def topology_table(results: list[Result]) -> str:
    head = ["topology", "scenario", "dispatchers", "called over"]
    head += [f"dispatcher: {COST_HEAD[0]}", *COST_HEAD[1:]] + [f"controller: {COST_HEAD[0]}", *COST_HEAD[1:]]
    rows = [[r.topology, f"`{r.scenario}`", str(r.dispatchers), f"{r.over_share:.2%}", *cost_cells(r)] for r in results]
    return table(head, rows, 2)
