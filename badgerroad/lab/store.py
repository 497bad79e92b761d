"""Stores results in an SQLite file.

A run is stored once, in one transaction, when it has ended: an experiment that is stopped and resumed loses and repeats
no finished run.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path

import msgspec

from badgerroad.emulator.report import Report
from badgerroad.errors import ArgumentError
from badgerroad.lab.experiment import Run

VERSION = 1
SCHEMA = """
create table if not exists runs (
    id integer primary key, experiment text not null, scenario text not null, policy text not null,
    settings text not null, seed integer not null, folder text not null, report blob not null,
    unique (experiment, scenario, policy, settings, seed))
"""


class Store:
    """The results of all runs, in one SQLite file."""

    def __init__(self, path: Path) -> None:
        """Open or create the file. Raises ArgumentError, a ValueError, if its version is another."""
        self.connection = sqlite3.connect(path)
        version = self.connection.execute("pragma user_version").fetchone()[0]
        if version not in (0, VERSION):
            raise ArgumentError(f"{path}: store of version {version}; this program reads only version {VERSION}")
        self.connection.execute(SCHEMA)
        self.connection.execute(f"pragma user_version = {VERSION}")
        self.connection.commit()

    def put(self, run: Run, folder: str, report: Report) -> None:
        """Store the report of a run, unless the run is already stored."""
        with self.connection:
            self.connection.execute(
                "insert or ignore into runs (experiment, scenario, policy, settings, seed, folder, report) "
                "values (?, ?, ?, ?, ?, ?, ?)",
                (*run, folder, msgspec.json.encode(report)),
            )

    def done(self, experiment: str) -> set[Run]:
        """Return the stored runs of an experiment."""
        rows = self.connection.execute(
            "select experiment, scenario, policy, settings, seed from runs where experiment = ?", (experiment,)
        )
        return {Run(*row) for row in rows}

    def reports(self, experiment: str | None = None) -> list[tuple[int, Run, Report]]:
        """Return the id, run and report of all runs, or of one experiment's, ordered by variant and seed."""
        where, parameters = ("where experiment = ?", (experiment,)) if experiment else ("", ())
        rows = self.connection.execute(
            f"select id, experiment, scenario, policy, settings, seed, report from runs {where} "
            "order by scenario, settings, policy, seed",
            parameters,
        )
        return [(row[0], Run(*row[1:6]), msgspec.json.decode(row[6], type=Report)) for row in rows]

    def by_id(self, number: int) -> tuple[Run, str, Report]:
        """Return a run, the folder of its experiment file and its report. Raises ArgumentError, a ValueError."""
        row = self.connection.execute(
            "select experiment, scenario, policy, settings, seed, folder, report from runs where id = ?", (number,)
        ).fetchone()
        if row is None:
            raise ArgumentError(f"no run {number} in the store")
        return Run(*row[:5]), row[5], msgspec.json.decode(row[6], type=Report)

    def variants(self, variant: str) -> dict[int, Report]:
        """Return the reports of a variant by seed. `variant` has the form of `Run.variant`.

        Where several experiments have a run of that variant and seed, the newest is taken.
        """
        return {run.seed: report for _, run, report in self.reports() if run.variant == variant}

    def close(self) -> None:
        """Close the file."""
        self.connection.close()
