"""The operator's `[fleet]` table, the members file and the quotas file, to what the rules take."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec

from badgerroad import toml_files
from badgerroad.config import ConfigError
from badgerroad.fleet.settings import Controller, FleetSettings, FleetSettingsError
from badgerroad.operator.schema import Fleet, FleetController

TeamName = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]  # requests a second over all dispatchers
IDENTITY_FIELDS = frozenset(("name", "zone", "members", "quotas", "controllers"))  # of the table; all else is a setting


class Members(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The members file: the same list for every process of the fleet."""

    controllers: tuple[FleetController, ...]


def settings_of(table: Fleet, file: str) -> FleetSettings:
    """The rules' settings. `file`: that the table is from. Raises ConfigError, whose one line names file and field."""
    told = {name: value for name, value in msgspec.structs.asdict(table).items() if value is not None}
    times = {name: value for name, value in told.items() if name not in IDENTITY_FIELDS}
    controllers = [msgspec.structs.asdict(controller) for controller in _controllers(table, file)]
    try:
        settings = msgspec.convert({**times, "controllers": controllers}, FleetSettings)
        settings.check()
    except msgspec.ValidationError as e:
        reason, _, where = str(e).partition(" - at `")
        raise ConfigError(f"{file}: fleet.{where.rstrip('`').lstrip('$.')}: {reason}") from e
    except FleetSettingsError as e:
        raise ConfigError(f"{file}: {e}") from e
    return settings


def _controllers(table: Fleet, file: str) -> tuple[FleetController, ...]:
    """Raises ConfigError."""
    if table.members and table.controllers:
        raise ConfigError(f"{file}: fleet.members: beside a list of controllers; one of the two is needed")
    if table.members:
        return toml_files.decode(Path(table.members), Members, ConfigError).controllers
    return table.controllers


def controller_of(table: Fleet, settings: FleetSettings, file: str) -> Controller:
    """The one that this process is to be. Raises ConfigError."""
    if table.name not in settings.by_name:
        raise ConfigError(f"{file}: fleet.name: none of the controllers: {table.name!r}")
    return settings.by_name[table.name]


def quotas_of(table: Fleet) -> dict[str, float]:
    """What the quotas file holds; nothing where there is none. Raises ConfigError."""
    if not table.quotas:
        return {}
    listed = toml_files.decode(Path(table.quotas), dict[str, Any], ConfigError)
    return {_team(table.quotas, team): _rate(table.quotas, team, value) for team, value in listed.items()}


def _team(file: str, team: str) -> str:
    """Raises ConfigError."""
    try:
        return msgspec.convert(team, TeamName)
    except msgspec.ValidationError as e:
        raise ConfigError(f"{file}: {team!r}: {e}") from e


def _rate(file: str, team: str, value: Any) -> float:
    """Raises ConfigError."""
    try:
        return msgspec.convert(value, Rate)
    except msgspec.ValidationError as e:
        raise ConfigError(f"{file}: {team}: {e}") from e


def fields_of(figures: msgspec.Struct) -> dict[str, Any]:
    """The counters as the fields of a log line, under the names that the operators' page gives."""
    fields: dict[str, Any] = msgspec.to_builtins(figures)
    return fields
