"""The sub-commands `emulate` and `lab`."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from badgerroad.emulator import scenario as sc
from badgerroad.emulator import virtual
from badgerroad.emulator.rehearse import result_table
from badgerroad.emulator.tier import Trace
from badgerroad.errors import ArgumentError
from badgerroad.lab import compare, experiment, paper, report, runner, theory
from badgerroad.lab.policies import policy
from badgerroad.lab.store import Store


def main(o: Any) -> int:
    """Raises BadgerroadError or ValueError on what is wrong, for one line on standard error."""
    if o["emulate"]:
        return emulate(o)
    if o["theory"] or o["paper"]:
        return tables(o)
    return lab(o)


def _seed(text: Any, default: int) -> int:
    if text is not None and not str(text).isdigit():
        raise ArgumentError(f"--seed: not a whole number: {text!r}")
    return int(text) if text is not None else default


@contextlib.contextmanager
def _log(path: str | None) -> Iterator[Trace | None]:
    """A trace that writes JSON lines to the file; None without a path."""
    if not path:
        yield None
        return
    with open(path, "wb") as file:

        def trace(now: int, what: str, more: dict[str, Any]) -> None:
            """Write an event of the trace."""
            file.write(msgspec.json.encode({"t_us": now, "event": what, **more}) + b"\n")

        yield trace


def emulate(o: Any) -> int:
    """Run `badgerroad emulate run`; returns the exit code."""
    path = Path(o["SCENARIO"])
    s = sc.load(path)
    with _log(o["--log"]) as trace:
        r = virtual.run(s, _seed(o["--seed"], s.seed), path.parent, policy(o["--policy"]), trace)
    if o["--json"]:
        Path(o["--json"]).write_bytes(msgspec.json.format(msgspec.json.encode(r), indent=1))
    from rich.console import Console

    console = Console()
    console.print(result_table(r))
    console.print(
        f"{r.events} events, {r.simulated_s:.0f} s in {r.wall_s:.2f} s; "
        + (f"rules broken: {r.breaches_by_rule}" if r.breaches else "no rule broken"),
        highlight=False,
    )
    for line in r.breaches[:10]:
        console.print(f"broken: {line}", highlight=False, markup=False)
    return 0


def tables(o: Any) -> int:
    """Run `badgerroad lab theory` or `lab paper`; returns the exit code."""
    jobs, scale, out = int(o["--jobs"]) if o["--jobs"] else None, float(o["--scale"]), Path(o["--out"])
    if not 0 < scale <= 10:
        raise ArgumentError("--scale: must be above 0 and at most 10")
    if o["theory"]:
        name, text = "theory", theory.markdown(theory.table(scale, jobs))
    else:
        facts = "".join(f"| {k} | {v:.2%} |\n" for k, v in paper.statistics().items())
        name = "paper"
        text = f"| trace | |\n| --- | ---: |\n{facts}\n{paper.markdown(paper.table(scale, jobs))}"
    out.mkdir(parents=True, exist_ok=True)
    (out / f"{name}.md").write_text(text)
    print(text, end="")
    return 0


def lab(o: Any) -> int:
    """Run the other commands of `badgerroad lab`; returns the exit code."""
    store = Store(Path(o["--store"]))
    try:
        if o["run"]:
            return _run(o, store)
        if o["report"]:
            e = experiment.load(Path(o["EXPERIMENT"]))
            rows = store.reports(e.name)
            if not rows:
                raise ArgumentError(f"{o['--store']}: no run of {e.name!r}")
            for path in report.write(e.name, e.about, rows, Path(o["--out"])):
                print(path)
            return 0
        if o["compare"]:
            c = compare.compare(store.variants(o["A"]), store.variants(o["B"]), o["--measure"])
            print(
                f"{o['--measure']}: A {c.mean_a:.4f}, B {c.mean_b:.4f}, A - B {c.difference:+.4f} "
                f"({c.low:+.4f} to {c.high:+.4f}, {c.seeds} paired seeds): {c.verdict}"
            )
            return 0
        return _replay(o, store)
    finally:
        store.close()


def _run(o: Any, store: Store) -> int:
    from rich.progress import Progress

    path = Path(o["EXPERIMENT"])
    e = experiment.load(path)
    with Progress() as bar:
        task = bar.add_task(e.name, total=None)
        try:
            count = runner.run(
                e,
                path.parent,
                store,
                int(o["--jobs"]) if o["--jobs"] else None,
                lambda done, of: bar.update(task, completed=done, total=of),
            )
        except KeyboardInterrupt:
            bar.console.print("stopped; what is done is stored, and the same command goes on from there")
            return 130
    print(f"{count} runs played, {len(store.done(e.name))} stored")
    return 0


def _replay(o: Any, store: Store) -> int:
    if not str(o["ID"]).isdigit():
        raise ArgumentError(f"ID: not a whole number: {o['ID']!r}")
    run, folder, was = store.by_id(int(o["ID"]))
    lines: list[str] = []

    def collect(now: int, what: str, more: dict[str, Any]) -> None:
        """Keep an event of the trace as a line of text."""
        lines.append(f"{now / 1e6:10.4f} {what} {more}")

    with _log(o["--log"]) as trace:
        again = runner.play(run, Path(folder), trace or collect)
    print("\n".join(lines))
    same = again.bytes() == was.bytes()
    print(
        f"{run.variant}, seed {run.seed}: figure {again.figure:.3f}, "
        + ("the same as stored" if same else "NOT the same as stored: the program or the scenario has changed")
    )
    return 0 if same else 1
