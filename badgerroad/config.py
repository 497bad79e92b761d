"""What a dispatcher is told: the PROXY_* variables and the JSON file that PROXY_CONFIG names, checked."""

from __future__ import annotations

import json
import resource
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from badgerroad.discovery.reader import EndpointListError, EndpointListReader, address_of
from badgerroad.errors import BadgerroadError
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.settings_decoder import SettingsError, settings_from
from badgerroad.net.connection import Address


class ConfigError(BadgerroadError):
    """One line that names the field."""

    code = "config"
    remedy = "mend the field and try badgerroad check-config"


class Config(NamedTuple):
    name: str
    listen: Address
    discovery: Address
    seed: int
    max_sockets: int
    cached_endpoints: Any
    settings: interface.Settings
    zones: list[str]
    machine_types: list[str]
    admin: Address | None = None  # the second address, for operators' calls; None: there is none
    settings_keys: frozenset[str] = frozenset()  # of the settings, as the file has them


def load(environment: Mapping[str, str]) -> Config:
    return read(_file(environment), environment)


def reload(environment: Mapping[str, str], present: Config) -> Config:
    """The file read anew. Its `discovery` wins over PROXY_DISCOVERY, which is as old as the process. A key of the
    settings in force that it lacks may have been lost on the way: such a file is turned down, though a start would do
    without it."""
    return reread(_file(environment), environment, present)


def reread(data: dict[str, Any], environment: Mapping[str, str], present: Config) -> Config:
    fresh = read(data, {k: v for k, v in environment.items() if k != "PROXY_DISCOVERY"})
    missing = present.settings_keys - fresh.settings_keys
    if missing:
        raise ConfigError(f"settings: without {', '.join(sorted(missing))}, which the settings in force have")
    return fresh


def _file(environment: Mapping[str, str]) -> dict[str, Any]:
    return parse(text_of(environment), environment.get("PROXY_CONFIG", ""))


def text_of(environment: Mapping[str, str]) -> bytes:
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG: not set")
    try:
        return Path(path).read_bytes()
    except OSError as e:
        raise ConfigError(f"PROXY_CONFIG: {path}: {e.strerror}") from e


def parse(text: bytes, path: str) -> dict[str, Any]:
    try:
        data = json.loads(text)
    except (ValueError, RecursionError) as e:
        raise ConfigError(f"PROXY_CONFIG: {path}: not JSON: {e}") from e
    if not isinstance(data, dict):
        raise ConfigError(f"PROXY_CONFIG: {path}: not a JSON object")
    return data


def read(data: dict[str, Any], environment: Mapping[str, str]) -> Config:
    """The variables, where set, override the file's fields of the same name."""

    def address(field: str) -> Address:
        value = environment.get(f"PROXY_{field.upper()}") or data.get(field)
        if not value:
            raise ConfigError(f"{field}: missing")
        try:
            return address_of(value)
        except ValueError as e:
            raise ConfigError(f"{field}: {e}") from e

    def names(field: str) -> list[str]:
        value = data["settings"].get(field, [])
        if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
            raise ConfigError(f"settings.{field}: not a list of names")
        return value

    seed, limits, known = data.get("seed", "0"), data.get("limits", {}), data.get("known")
    try:
        number = int(str(seed), 16)
    except ValueError as e:
        raise ConfigError(f"seed: not a hexadecimal number: {seed!r}") from e
    if not isinstance(limits, dict):
        raise ConfigError("limits: not an object")
    sockets = limits.get("sockets", resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    if not isinstance(sockets, int) or isinstance(sockets, bool) or sockets < 64:
        raise ConfigError(f"limits.sockets: not a whole number of 64 or more: {sockets!r}")
    if not isinstance(data.get("settings"), dict):
        raise ConfigError("settings: missing or not an object")
    try:
        settings = settings_from(json.dumps(data["settings"]).encode())
    except SettingsError as e:
        raise ConfigError(str(e)) from e
    zones, kinds = names("zones"), names("hostTypes")
    known = {"seq": 0, "whole": True, "hosts": []} if known is None else known
    try:
        EndpointListReader(zones, kinds).read(known)
    except EndpointListError as e:
        raise ConfigError(f"known: {e}") from e
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return Config(
        environment.get("PROXY_NAME") or str(data.get("name", "")),
        address("listen"),
        address("discovery"),
        number,
        min(sockets, soft) if soft > 0 else sockets,
        known,
        settings,
        zones,
        kinds,
        address("ops") if environment.get("PROXY_OPS") or "ops" in data else None,
        frozenset(data["settings"]),
    )
