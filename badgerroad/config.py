"""The configuration: the PROXY_* variables and the JSON file that PROXY_CONFIG names, read and checked.

The file's field names are mapped here; a ConfigError names the field as the file does.
"""

from __future__ import annotations

import json
import resource
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from badgerroad.discovery.reader import EndpointListError, EndpointListReader, address_of, empty_wire_list
from badgerroad.errors import BadgerroadError
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.settings_decoder import SettingsError, settings_from
from badgerroad.net.connection import Address


class ConfigError(BadgerroadError):
    """The configuration is not valid; the one line names the field."""

    code = "config"
    remedy = "mend the field and try badgerroad check-config"


LEAST_SOCKETS = 64


class Config(NamedTuple):
    """A checked configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    cached_endpoints: Any  # in discovery's wire form
    settings: interface.Settings
    zones: list[str]
    machine_types: list[str]
    admin: Address | None = None  # the second listener's; None: there is none
    settings_keys: frozenset[str] = frozenset()  # as the file has them


def load(environment: Mapping[str, str]) -> Config:
    """The configuration for a start. Raises ConfigError."""
    return read(_file(environment), environment)


def reload(environment: Mapping[str, str], present: Config) -> Config:
    """The configuration for a reload of `present`. Raises ConfigError, also for what a start would accept: a key of the
    present settings that is missing may have been lost on the way. PROXY_DISCOVERY is as old as the process, so the
    file's `discovery` takes precedence."""
    return reread(_file(environment), environment, present)


def reread(data: dict[str, Any], environment: Mapping[str, str], present: Config) -> Config:
    """As `reload`, with the file already parsed."""
    fresh = read(data, {name: value for name, value in environment.items() if name != "PROXY_DISCOVERY"})
    missing = present.settings_keys - fresh.settings_keys
    if missing:
        raise ConfigError(f"settings: without {', '.join(sorted(missing))}, which the settings in force have")
    return fresh


def _file(environment: Mapping[str, str]) -> dict[str, Any]:
    return parse(text_of(environment), environment.get("PROXY_CONFIG", ""))


def text_of(environment: Mapping[str, str]) -> bytes:
    """The bytes of the file that PROXY_CONFIG names. Raises ConfigError."""
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: not set")
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"PROXY_CONFIG: {path}: {error.strerror}") from error


def parse(text: bytes, path: str) -> dict[str, Any]:
    """The file's JSON object; `path` is for the error. Raises ConfigError."""
    try:
        data = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"PROXY_CONFIG: {path}: not JSON: {error}") from error
    if not isinstance(data, dict):
        raise ConfigError(f"PROXY_CONFIG: {path}: not a JSON object")
    return data


def read(data: dict[str, Any], environment: Mapping[str, str]) -> Config:
    """Check the file's object. A variable that is set overrides the field of its name. Raises ConfigError."""
    seed = _seed(data)
    max_sockets = _max_sockets(data)
    settings = _settings(data)
    zones = _names(data, "zones")
    machine_types = _names(data, "hostTypes")
    cached_endpoints = _cached_endpoints(data, zones, machine_types)
    return Config(
        environment.get("PROXY_NAME") or str(data.get("name", "")),
        _address(data, environment, "listen"),
        _address(data, environment, "discovery"),
        seed,
        max_sockets,
        cached_endpoints,
        settings,
        zones,
        machine_types,
        _address(data, environment, "ops") if environment.get("PROXY_OPS") or "ops" in data else None,
        frozenset(data["settings"]),
    )


def _seed(data: dict[str, Any]) -> int:
    seed = data.get("seed", "0")
    try:
        return int(str(seed), 16)
    except ValueError as error:
        raise ConfigError(f"seed: not a hexadecimal number: {seed!r}") from error


def _max_sockets(data: dict[str, Any]) -> int:
    limits = data.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: not an object")
    process_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    sockets = limits.get("sockets", process_limit)
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < LEAST_SOCKETS:
        raise ConfigError(f"limits.sockets: not a whole number of 64 or more: {sockets!r}")
    return min(sockets, process_limit) if process_limit > 0 else sockets


def _settings(data: dict[str, Any]) -> interface.Settings:
    if not isinstance(data.get("settings"), dict):
        raise ConfigError("settings: missing or not an object")
    try:
        return settings_from(json.dumps(data["settings"]).encode())
    except SettingsError as error:
        raise ConfigError(str(error)) from error


def _names(data: dict[str, Any], field: str) -> list[str]:
    names = data["settings"].get(field, [])
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ConfigError(f"settings.{field}: not a list of names")
    return names


def _cached_endpoints(data: dict[str, Any], zones: list[str], machine_types: list[str]) -> Any:
    cached_endpoints = data.get("known")
    if cached_endpoints is None:
        cached_endpoints = empty_wire_list()
    try:
        EndpointListReader(zones, machine_types).read(cached_endpoints)
    except EndpointListError as error:
        raise ConfigError(f"known: {error}") from error
    return cached_endpoints


def _address(data: dict[str, Any], environment: Mapping[str, str], field: str) -> Address:
    value = environment.get(f"PROXY_{field.upper()}") or data.get(field)
    if not value:
        raise ConfigError(f"{field}: missing")
    try:
        return address_of(value)
    except ValueError as error:
        raise ConfigError(f"{field}: {error}") from error
