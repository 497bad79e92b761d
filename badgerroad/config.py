"""Reads and checks the configuration: the PROXY_* environment variables and the JSON file that PROXY_CONFIG names.

This module maps the field names of the file to those of the program. A ConfigError names the field as the file does.
"""

from __future__ import annotations

import json
import math
import resource
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from badgerroad.config_keys import KeyTree, key_tree, missing_keys
from badgerroad.discovery.reader import EndpointListError, EndpointListReader, address_of, empty_wire_list
from badgerroad.errors import BadgerroadError
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.settings_decoder import SettingsError, settings_from
from badgerroad.net.socket_stream import Address


class ConfigError(BadgerroadError):
    """The configuration is invalid. The text is one line that names the field."""

    code = "config"
    remedy = "correct the field and run badgerroad check-config"


MIN_SOCKETS = 64
DEFAULT_MEMORY_MB = 192


class Config(NamedTuple):
    """A checked configuration."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    cached_endpoints: Any  # the cached endpoint list in discovery's wire form
    settings: interface.Settings
    zones: list[str]
    machine_types: list[str]
    admin: Address | None = None  # the address of the admin listener; None if there is no such listener
    memory_mb: float = DEFAULT_MEMORY_MB  # all processes of the dispatcher together; beyond it they are killed
    keys: KeyTree = KeyTree({})  # the keys of the file, to which that of a reload is compared


def load(environment: Mapping[str, str]) -> Config:
    """Load the configuration for a start. Raises ConfigError."""
    return check_config(_read_data(environment), environment)


def reload(environment: Mapping[str, str], present: Config) -> Config:
    """Load the configuration for a reload that replaces `present`. Raises ConfigError, also for a file that a start
    would accept: a key of the present file that is missing means that the new one is incomplete. PROXY_DISCOVERY dates
    from the start of the process, so the file's `discovery` takes precedence over it."""
    return check_reload(_read_data(environment), environment, present)


def check_reload(data: dict[str, Any], environment: Mapping[str, str], present: Config) -> Config:
    """Check the file's JSON object for a reload, by the rules of `reload`. Raises ConfigError."""
    missing = sorted(missing_keys(present.keys, key_tree(data)))
    if missing:
        raise ConfigError(f"{', '.join(missing)}: missing, but present in the configuration in force")
    return check_config(data, {name: value for name, value in environment.items() if name != "PROXY_DISCOVERY"})


def _read_data(environment: Mapping[str, str]) -> dict[str, Any]:
    return parse(read_config_file(environment), environment.get("PROXY_CONFIG", ""))


def read_config_file(environment: Mapping[str, str]) -> bytes:
    """Return the content of the file that PROXY_CONFIG names. Raises ConfigError."""
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: not set")
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"PROXY_CONFIG: {path}: {error.strerror}") from error


def parse(text: bytes, path: str) -> dict[str, Any]:
    """Parse the file's JSON object; `path` is named in errors. Raises ConfigError."""
    try:
        data = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"PROXY_CONFIG: {path}: not JSON: {error}") from error
    if not isinstance(data, dict):
        raise ConfigError(f"PROXY_CONFIG: {path}: not a JSON object")
    return data


def check_config(data: dict[str, Any], environment: Mapping[str, str]) -> Config:
    """Check the file's JSON object. PROXY_* variables override the fields of their names. Raises ConfigError."""
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
        _memory_mb(data),
        key_tree(data),
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
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < MIN_SOCKETS:
        raise ConfigError(f"limits.sockets: not a whole number of 64 or more: {sockets!r}")
    return min(sockets, process_limit) if process_limit > 0 else sockets


def _memory_mb(data: dict[str, Any]) -> float:
    memory_mb = data.get("limits", {}).get("memory_mb", DEFAULT_MEMORY_MB)
    if not isinstance(memory_mb, int | float) or isinstance(memory_mb, bool) or not 0 < memory_mb < math.inf:
        raise ConfigError(f"limits.memory_mb: not a number over 0: {memory_mb!r}")
    return float(memory_mb)


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
