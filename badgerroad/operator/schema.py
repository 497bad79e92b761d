"""The operator's TOML file: every setting with default, unit and effect; docs/operate/settings.md lists them.

What new subsystems need is added here as a table of its own. A file that is wrong is one line that names file and
field; at a start the end (exit code 2), at a reload a line in the log while the old one stays in force.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from badgerroad import toml_files
from badgerroad.config import ConfigError


class Log(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[log]`. Takes effect at the start and on SIGHUP."""

    format: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[limits]`. Takes effect at the start and on SIGHUP; counts start anew where a value has changed."""

    retries: Literal["free", "budget"] = "free"
    retry_share: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.2  # resends for each first send
    retry_least: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 10  # always allowed in a window
    retry_window_s: Annotated[float, msgspec.Meta(ge=1, le=600)] = 10.0


class FleetController(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One of `[[fleet.controllers]]`, or of `[[controllers]]` in the members file."""

    name: str
    zone: str
    region: str
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    voter: bool = False


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet]`. Takes effect at the start; the quotas file also on SIGHUP. What is None has the default of
    badgerroad.fleet.settings, where the bounds are too."""

    name: str = ""  # of the controller that is started with this file; dispatchers need none
    zone: str = ""  # of the dispatcher; without it, the name of its zone in PROXY_CONFIG
    members: str = ""  # a TOML file with the controllers, in place of the list; relative to the operator's file
    quotas: str = ""  # a TOML file: team = requests per second; relative to the operator's file
    controllers: tuple[FleetController, ...] = ()
    shards: int | None = None
    ownership_lease_ms: int | None = None
    renew_ms: int | None = None
    quota_lease_ms: int | None = None
    dispatcher_lease_ms: int | None = None
    ask_timeout_ms: int | None = None
    lending_ms: int | None = None
    reserve_share: float | None = None
    burst_s: float | None = None
    requests_per_zone: int | None = None
    clock_margin: float | None = None
    tick_ms: int | None = None


class Operator(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    log: Log = Log()
    limits: Limits = Limits()
    fleet: Fleet | None = None


def load(path: str) -> Operator:
    """The file, checked. Raises ConfigError, whose one line names file, field and reason."""
    operator = toml_files.decode(Path(path), Operator, ConfigError)
    if operator.fleet is None:
        return operator
    return msgspec.structs.replace(operator, fleet=_with_whole_paths(operator.fleet, Path(path).parent))


def _with_whole_paths(fleet: Fleet, folder: Path) -> Fleet:
    """Files named in the operator's file are looked for beside it."""
    files = {"members": fleet.members, "quotas": fleet.quotas}
    return msgspec.structs.replace(fleet, **{field: str(folder / name) for field, name in files.items() if name})
