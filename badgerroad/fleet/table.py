"""Decodes the operator's `[fleet]` table, the members file and the quotas file into the types of the rules."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec

from badgerroad import toml_files
from badgerroad.config import ConfigError
from badgerroad.fleet.settings import Controller, FleetSettings, FleetSettingsError
from badgerroad.operator.schema import Fleet, FleetController

TeamName = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]  # requests per second over all dispatchers
IDENTITY_FIELDS = frozenset(
    ("name", "zone", "members", "quotas", "controllers")
)  # fields of the table that are not FleetSettings of the same name


class Members(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The members file, which is the same for every process of the fleet."""

    controllers: tuple[FleetController, ...]


def settings_of(table: Fleet, file: str) -> FleetSettings:
    """Return the settings of the rules. `file`: the file that contains the table.

    Raises ConfigError with a one-line message that names the file and the field.
    """
    given = {name: value for name, value in msgspec.structs.asdict(table).items() if value is not None}
    tunables = {name: value for name, value in given.items() if name not in IDENTITY_FIELDS}
    controllers = [msgspec.structs.asdict(controller) for controller in _controllers(table, file)]
    try:
        settings = msgspec.convert({**tunables, "controllers": controllers}, FleetSettings)
        settings.check()
    except msgspec.ValidationError as error:
        reason, _, where = str(error).partition(" - at `")
        raise ConfigError(f"{file}: fleet.{where.rstrip('`').lstrip('$.')}: {reason}") from error
    except FleetSettingsError as error:
        raise ConfigError(f"{file}: {error}") from error
    return settings


def _controllers(table: Fleet, file: str) -> tuple[FleetController, ...]:
    """Return the controllers of the table or of its members file. Raises ConfigError."""
    if table.members and table.controllers:
        raise ConfigError(f"{file}: fleet.members: set together with fleet.controllers; give only one of the two")
    if table.members:
        return toml_files.decode(Path(table.members), Members, ConfigError).controllers
    return table.controllers


def controller_of(table: Fleet, settings: FleetSettings, file: str) -> Controller:
    """Return the controller that this process runs as. Raises ConfigError."""
    if table.name not in settings.by_name:
        raise ConfigError(f"{file}: fleet.name: {table.name!r} is not one of the fleet's controllers")
    return settings.by_name[table.name]


def quotas_of(table: Fleet) -> dict[str, float]:
    """Return the quotas file as requests per second by team; empty without a file. Raises ConfigError."""
    if not table.quotas:
        return {}
    listed = toml_files.decode(Path(table.quotas), dict[str, Any], ConfigError)
    return {_team(table.quotas, team): _rate(table.quotas, team, value) for team, value in listed.items()}


def _team(file: str, team: str) -> str:
    """Check a team name. Raises ConfigError."""
    try:
        return msgspec.convert(team, TeamName)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{file}: {team!r}: {error}") from error


def _rate(file: str, team: str, value: Any) -> float:
    """Check a rate in requests per second. Raises ConfigError."""
    try:
        return msgspec.convert(value, Rate)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{file}: {team}: {error}") from error


def fields_of(figures: msgspec.Struct) -> dict[str, Any]:
    """Return the counters as fields of a log line, under their documented names."""
    fields: dict[str, Any] = msgspec.to_builtins(figures)
    return fields
