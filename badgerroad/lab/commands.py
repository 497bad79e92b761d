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


def main(options: Any) -> int:
    """Run the command that the arguments name and return its exit code.

    Raises BadgerroadError or ValueError, which the caller prints as one line on standard error.
    """
    if options["emulate"]:
        return emulate(options)
    if options["theory"] or options["paper"]:
        return write_tables(options)
    return run_store_command(options)


def _parse_seed(text: Any, default: int) -> int:
    if text is not None and not str(text).isdigit():
        raise ArgumentError(f"--seed: must be a non-negative whole number, got {text!r}")
    return int(text) if text is not None else default


@contextlib.contextmanager
def _open_trace(path: str | None) -> Iterator[Trace | None]:
    """Yield a trace that writes JSON lines to the file, or None without a path."""
    if not path:
        yield None
        return
    with open(path, "wb") as file:

        def trace(now: int, event: str, fields: dict[str, Any]) -> None:
            """Write an event as a line of JSON."""
            file.write(msgspec.json.encode({"t_us": now, "event": event, **fields}) + b"\n")

        yield trace


def emulate(options: Any) -> int:
    """Run `badgerroad emulate run`; returns the exit code."""
    path = Path(options["SCENARIO"])
    scenario = sc.load(path)
    with _open_trace(options["--log"]) as trace:
        run_report = virtual.run(
            scenario, _parse_seed(options["--seed"], scenario.seed), path.parent, policy(options["--policy"]), trace
        )
    if options["--json"]:
        Path(options["--json"]).write_bytes(msgspec.json.format(msgspec.json.encode(run_report), indent=1))
    from rich.console import Console

    console = Console()
    console.print(result_table(run_report))
    console.print(
        f"{run_report.events} events, {run_report.simulated_s:.0f} s in {run_report.wall_s:.2f} s; "
        + (f"rules broken: {run_report.breaches_by_rule}" if run_report.breaches else "no rule broken"),
        highlight=False,
    )
    for line in run_report.breaches[:10]:
        console.print(f"broken: {line}", highlight=False, markup=False)
    return 0


def write_tables(options: Any) -> int:
    """Run `badgerroad lab theory` or `lab paper`; returns the exit code."""
    jobs, scale, out = (
        int(options["--jobs"]) if options["--jobs"] else None,
        float(options["--scale"]),
        Path(options["--out"]),
    )
    if not 0 < scale <= 10:
        raise ArgumentError(f"--scale: must be above 0 and at most 10, got {scale:g}")
    if options["theory"]:
        name, text = "theory", theory.markdown(theory.table(scale, jobs))
    else:
        statistics = "".join(f"| {name} | {share:.2%} |\n" for name, share in paper.statistics().items())
        name = "paper"
        text = f"| trace | |\n| --- | ---: |\n{statistics}\n{paper.markdown(paper.table(scale, jobs))}"
    out.mkdir(parents=True, exist_ok=True)
    (out / f"{name}.md").write_text(text)
    print(text, end="")
    return 0


def run_store_command(options: Any) -> int:
    """Run a command of `badgerroad lab` that uses the store; returns the exit code."""
    store = Store(Path(options["--store"]))
    try:
        if options["run"]:
            return _run(options, store)
        if options["report"]:
            loaded = experiment.load(Path(options["EXPERIMENT"]))
            rows = store.reports(loaded.name)
            if not rows:
                raise ArgumentError(f"{options['--store']}: contains no run of experiment {loaded.name!r}")
            for path in report.write(loaded.name, loaded.about, rows, Path(options["--out"])):
                print(path)
            return 0
        if options["compare"]:
            comparison = compare.compare(
                store.variants(options["A"]), store.variants(options["B"]), options["--measure"]
            )
            print(
                f"{options['--measure']}: A {comparison.mean_a:.4f}, B {comparison.mean_b:.4f}, "
                f"A - B {comparison.difference:+.4f} ({comparison.low:+.4f} to {comparison.high:+.4f}, "
                f"{comparison.seeds} paired seeds): {comparison.verdict}"
            )
            return 0
        return _replay(options, store)
    finally:
        store.close()


def _run(options: Any, store: Store) -> int:
    from rich.progress import Progress

    path = Path(options["EXPERIMENT"])
    loaded = experiment.load(path)
    with Progress() as bar:
        task = bar.add_task(loaded.name, total=None)
        try:
            count = runner.run(
                loaded,
                path.parent,
                store,
                int(options["--jobs"]) if options["--jobs"] else None,
                lambda done, total: bar.update(task, completed=done, total=total),
            )
        except KeyboardInterrupt:
            bar.console.print("stopped; finished runs are stored, and the same command resumes with the remaining ones")
            return 130
    print(f"{count} runs finished, {len(store.done(loaded.name))} stored")
    return 0


def _replay(options: Any, store: Store) -> int:
    if not str(options["ID"]).isdigit():
        raise ArgumentError(f"ID: must be a non-negative whole number, got {options['ID']!r}")
    run, folder, stored = store.by_id(int(options["ID"]))
    lines: list[str] = []

    def collect(now: int, event: str, fields: dict[str, Any]) -> None:
        """Keep an event as a line of text."""
        lines.append(f"{now / 1e6:10.4f} {event} {fields}")

    with _open_trace(options["--log"]) as trace:
        replayed = runner.play(run, Path(folder), trace or collect)
    print("\n".join(lines))
    same = replayed.bytes() == stored.bytes()
    print(
        f"{run.variant}, seed {run.seed}: figure {replayed.figure:.3f}, "
        + ("the same as stored" if same else "NOT the same as stored: the program or the scenario has changed")
    )
    return 0 if same else 1
