"""Experiments: a grid of scenarios, policies, settings and seeds, decoded from TOML and checked."""

from __future__ import annotations

import itertools
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from badgerroad import toml_files
from badgerroad.emulator import scenario as sc
from badgerroad.emulator.errors import ScenarioError
from badgerroad.lab.policies import POLICIES

MOST_RUNS = 100_000


class Change(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One setting varied over values; `field` is a dotted path into the scenario, as `load.level`."""

    field: str
    values: tuple[Any, ...]


class Experiment(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An experiment file: a grid of scenarios, policies and seeds."""

    name: str
    about: str = ""
    scenarios: tuple[str, ...] = ()  # files next to the experiment's
    policies: tuple[str, ...] = ("heathcrank",)
    seeds: int = 5
    first_seed: int = 1
    vary: tuple[Change, ...] = ()


class Run(NamedTuple):
    """One cell of the grid with one seed. `settings` is a JSON object: field to value."""

    experiment: str
    scenario: str  # the file, as the experiment names it
    policy: str
    settings: str
    seed: int

    @property
    def variant(self) -> str:
        """The name of its scenario and policy."""
        return f"{Path(self.scenario).stem}/{self.policy}" + (f"/{self.settings}" if self.settings != "{}" else "")


def load(path: Path) -> Experiment:
    """The experiment of a file, checked with all its scenarios. Raises ScenarioError."""
    e = toml_files.decode(path, Experiment, ScenarioError)
    if not e.scenarios:
        raise ScenarioError(f"{path}: scenarios: at least one is needed")
    for name in e.policies:
        if name not in POLICIES:
            raise ScenarioError(f"{path}: policies: unknown: {name!r}")
    if e.seeds < 1:
        raise ScenarioError(f"{path}: seeds: must be 1 or more")
    grid = runs(e)
    if len(grid) > MOST_RUNS:
        raise ScenarioError(f"{path}: {len(grid)} runs; {MOST_RUNS} at most")
    for scenario, settings in {(r.scenario, r.settings) for r in grid}:
        build(path.parent / scenario, settings)
    return e


def runs(e: Experiment) -> list[Run]:
    """The grid, seeds innermost: a run stopped halfway has whole pairs."""
    settings = [
        dict(zip((c.field for c in e.vary), values, strict=False))
        for values in itertools.product(*(c.values for c in e.vary))
    ]
    texts = [msgspec.json.encode(s, order="sorted").decode() for s in settings]
    return [
        Run(e.name, s, p, t, seed)
        for s in e.scenarios
        for t in texts
        for p in e.policies
        for seed in range(e.first_seed, e.first_seed + e.seeds)
    ]


def build(path: Path, settings: str) -> sc.Scenario:
    """A scenario with settings changed. Raises ScenarioError, naming the field."""
    base = sc.load(path)
    changes: dict[str, Any] = msgspec.json.decode(settings)
    if not changes:
        return base
    tree: dict[str, Any] = msgspec.to_builtins(base)
    for field, value in changes.items():
        at: Any = tree
        *way, last = field.split(".")
        for step in way:
            at = (
                at[int(step)]
                if isinstance(at, list) and step.isdigit()
                else at.get(step)
                if isinstance(at, dict)
                else None
            )
        if isinstance(at, list) and last.isdigit():
            at[int(last)] = value
        elif isinstance(at, dict) and last in at:
            at[last] = value
        else:
            raise ScenarioError(f"{path}: {field}: no such field to vary")
    try:
        changed = msgspec.convert(tree, sc.Scenario, strict=False)
    except msgspec.ValidationError as x:
        raise ScenarioError(f"{path}: {x}") from x
    problem = sc._problem(changed)
    if problem:
        raise ScenarioError(f"{path}: {problem}")
    return changed
