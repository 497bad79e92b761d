"""Runs the measurements, and writes the results file, the tables, the chart and the tables of the page.

Usage: python -m benchmarks.capacity [--quick] [--out DIR] [--lock FILE] [--page]

--quick      uses small sizes and ends within 20 s; checks that the program works, its results are not meaningful
--out DIR    writes capacity.json, capacity.md and capacity.png to DIR (default: docs/results); with another directory
             or with --quick docs/CAPACITY.md is not changed
--lock FILE  holds an exclusive lock on FILE while measuring, for less than 60 s at a time
--page       measures nothing, and writes tables, chart and page from the present results file
"""

from __future__ import annotations

import argparse
import tempfile
from pathlib import Path

from benchmarks.capacity.results import Results, load, save
from benchmarks.capacity.run import Run
from benchmarks.capacity.server import ROOT

RESULTS = ROOT / "docs" / "results"
PAGE = ROOT / "docs" / "CAPACITY.md"


def write(results: Results, folder: Path, page: bool) -> None:
    """Write tables and chart of `results`, and if `page` is true the tables of the page."""
    from benchmarks.capacity.chart import draw
    from benchmarks.capacity.page import fill, tables

    text = tables(results)
    (folder / "capacity.md").write_text(text)
    draw(results, folder / "capacity.png")
    if page:
        PAGE.write_text(fill(PAGE.read_text(), results))


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity")
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--out", type=Path)
    parser.add_argument("--lock", type=Path)
    parser.add_argument("--page", action="store_true")
    options = parser.parse_args()
    if options.quick and options.out is None:
        folder = Path(tempfile.mkdtemp(prefix="capacity-quick-"))
    else:
        folder = options.out or RESULTS
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / "capacity.json"
    if not options.page:
        save(Run(options.quick, options.lock).all(), file)
        print(f"results: {file}")
    write(load(file), folder, page=not options.quick and folder.resolve() == RESULTS)


if __name__ == "__main__":
    main()
