"""Experiments: grids of scenarios, policies, settings and seeds, read from TOML files and checked."""

from __future__ import annotations

import itertools
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from badgerroad import toml_files
from badgerroad.emulator import scenario as sc
from badgerroad.emulator.errors import ScenarioError
from badgerroad.lab.policies import POLICIES

MAX_RUNS = 100_000


class Change(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A setting and the values that it takes; `field` is a dotted path in the scenario, such as `load.level`."""

    field: str
    values: tuple[Any, ...]


class Experiment(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An experiment file: a grid of scenarios, policies and seeds."""

    name: str
    about: str = ""
    scenarios: tuple[str, ...] = ()  # paths relative to the experiment file
    policies: tuple[str, ...] = ("heathcrank",)
    seeds: int = 5
    first_seed: int = 1
    vary: tuple[Change, ...] = ()


class Run(NamedTuple):
    """One combination of the grid with one seed. `settings` is a JSON object of changed fields and their values."""

    experiment: str
    scenario: str  # path of the scenario file, as written in the experiment file
    policy: str
    settings: str
    seed: int

    @property
    def variant(self) -> str:
        """Scenario, policy and changed settings as one name, which runs that differ only in the seed share."""
        return f"{Path(self.scenario).stem}/{self.policy}" + (f"/{self.settings}" if self.settings != "{}" else "")


def load(path: Path) -> Experiment:
    """Read an experiment file and check it with all its scenarios. Raises ScenarioError."""
    experiment = toml_files.decode(path, Experiment, ScenarioError)
    if not experiment.scenarios:
        raise ScenarioError(f"{path}: scenarios: must name at least one")
    for name in experiment.policies:
        if name not in POLICIES:
            raise ScenarioError(f"{path}: policies: unknown: {name!r}; known are {', '.join(POLICIES)}")
    if experiment.seeds < 1:
        raise ScenarioError(f"{path}: seeds: must be 1 or more, got {experiment.seeds}")
    grid = runs(experiment)
    if len(grid) > MAX_RUNS:
        raise ScenarioError(f"{path}: {len(grid)} runs; at most {MAX_RUNS} are allowed")
    for scenario, settings in {(run.scenario, run.settings) for run in grid}:
        build(path.parent / scenario, settings)
    return experiment


def runs(experiment: Experiment) -> list[Run]:
    """Return all runs of the grid.

    Seeds vary fastest, then policies, and the runs are started in this order. If an experiment is stopped early, a run
    of a later policy can therefore be compared with the run of the first policy with the same settings and seed.
    """
    settings = [
        dict(zip((change.field for change in experiment.vary), values, strict=False))
        for values in itertools.product(*(change.values for change in experiment.vary))
    ]
    settings_texts = [msgspec.json.encode(values, order="sorted").decode() for values in settings]
    return [
        Run(experiment.name, scenario, policy, settings_text, seed)
        for scenario in experiment.scenarios
        for settings_text in settings_texts
        for policy in experiment.policies
        for seed in range(experiment.first_seed, experiment.first_seed + experiment.seeds)
    ]


def build(path: Path, settings: str) -> sc.Scenario:
    """Return the scenario of a file with settings changed. Raises ScenarioError, which names the field."""
    base = sc.load(path)
    changes: dict[str, Any] = msgspec.json.decode(settings)
    if not changes:
        return base
    tree: dict[str, Any] = msgspec.to_builtins(base)
    for field, value in changes.items():
        parent: Any = tree
        *parents, last = field.split(".")
        for step in parents:
            parent = (
                parent[int(step)]
                if isinstance(parent, list) and step.isdigit()
                else parent.get(step)
                if isinstance(parent, dict)
                else None
            )
        if isinstance(parent, list) and last.isdigit():
            parent[int(last)] = value
        elif isinstance(parent, dict) and last in parent:
            parent[last] = value
        else:
            raise ScenarioError(f"{path}: {field}: no such field to vary")
    try:
        changed = msgspec.convert(tree, sc.Scenario, strict=False)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{path}: {error}") from error
    problem = sc._problem(changed)
    if problem:
        raise ScenarioError(f"{path}: {problem}")
    return changed
