"""The schema of the operator's TOML file. docs/operate/settings.md lists each setting with default, unit and effect.

A new subsystem adds its settings as a table of its own. An invalid file gives an error of one line that names the file
and the field. At a start the program then exits with code 2; at a reload the error is logged and the settings stay in
force.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import msgspec

from badgerroad import toml_files
from badgerroad.config import ConfigError


class Log(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table `[log]`. Takes effect at the start and on SIGHUP."""

    format: Literal["console", "json"] = "console"
    level: Literal["debug", "info", "warning", "error"] = "info"


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table `[limits]`. Takes effect at the start and on SIGHUP. If a value has changed, the counts of the
    retry budget restart at 0."""

    retries: Literal["free", "budget"] = "free"
    retry_share: Annotated[float, msgspec.Meta(ge=0, le=10)] = 0.2  # retries and hedged requests per first attempt
    # Number of retries and hedged requests that are always allowed in each window, whatever the share.
    retry_least: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 10
    retry_window_s: Annotated[float, msgspec.Meta(ge=1, le=600)] = 10.0


class FleetController(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One entry of `[[fleet.controllers]]`, or of `[[controllers]]` in the members file."""

    name: str
    zone: str
    region: str
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    voter: bool = False


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The table `[fleet]`. Takes effect at the start; changes of the quotas file also on SIGHUP. A field that is None
    has the default of badgerroad.fleet.settings, which also defines the bounds."""

    name: str = ""  # name of the controller that is started with this file; not needed for dispatchers
    zone: str = ""  # zone of the dispatcher; if empty, the name of its zone in PROXY_CONFIG is used
    members: str = ""  # a TOML file with the controllers, in place of `controllers`; relative to the operator's file
    quotas: str = ""  # a TOML file of lines `team = requests per second`; relative to the operator's file
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
    """The whole file. Each field is a table; a table that is missing has its defaults."""

    log: Log = Log()
    limits: Limits = Limits()
    fleet: Fleet | None = None


def load(path: str) -> Operator:
    """Load and check the file. Raises ConfigError, with file, field and reason in one line."""
    operator = toml_files.decode(Path(path), Operator, ConfigError)
    if operator.fleet is None:
        return operator
    return msgspec.structs.replace(operator, fleet=_with_resolved_paths(operator.fleet, Path(path).parent))


def _with_resolved_paths(fleet: Fleet, folder: Path) -> Fleet:
    """Resolve the names of files relative to the folder of the operator's file."""
    files = {"members": fleet.members, "quotas": fleet.quotas}
    return msgspec.structs.replace(fleet, **{field: str(folder / name) for field, name in files.items() if name})
