"""Decodes the JSON settings object of the simulator and of the configuration file.

`FIELDS` and `CLASS_FIELDS` map the keys of the settings object to the field names of `Settings` and `RequestClass`; no
other module uses those keys.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, NamedTuple

from badgerroad.load_balancing import interface

SEMANTICS = {
    "retryable": interface.RetrySemantics.IDEMPOTENT,
    "dedup": interface.RetrySemantics.IDEMPOTENCY_KEY,
    "fragile": interface.RetrySemantics.NON_IDEMPOTENT,
}
"""Retry semantics by their names in the settings object."""
DEFAULT_POLL_INTERVAL_US = 10_000_000
"""The poll interval if the settings give none or 0."""

Object = dict[str, Any]


class SettingsError(Exception):
    """Raised for invalid settings; the message gives the key and the reason."""


class Field(NamedTuple):
    """Describes one value of the settings object."""

    name: str | None
    """The field of `Settings` or `RequestClass`; None for a value that is validated but not used."""
    section: str
    """Name of the object that contains the key; empty for the settings object itself."""
    key: str
    kind: Callable[[Any], Any]
    default: float | None = None
    """The value if the key is missing; None if the key is required."""


def _flag(section: str, key: str, name: str) -> Field:
    return Field(name, section, key, bool)


FIELDS = (
    Field("dispatcher_count", "", "siblings", int),
    Field("dispatcher_index", "", "index", int, 0),
    Field("zone", "", "zone", int, 0),
    Field("tick", "", "tickUs", int),
    Field("max_attempts", "permissions", "tryLimit", int),
    _flag("permissions", "secondCopies", "hedging_allowed"),
    _flag("permissions", "cancelling", "cancel_allowed"),
    _flag("permissions", "probes", "health_checks_allowed"),
    Field("poll_interval", "obligations", "askWithinUs", int, 0),
    Field("drain_grace", "obligations", "stopSendingWithinUs", int),
    Field(None, "obligations", "answerSlackUs", int),
    Field("slow_start_share", "obligations", "coldFrom", float),
    Field("slow_start_duration", "obligations", "coldUs", int),
    Field("overload_threshold", "obligations", "fallMultiple", float),
    Field("overload_window", "obligations", "overloadForUs", int),
    Field("max_retry_after", "permissions", "maxRetryAfterUs", int, 0),
    _flag("permissions", "retryAfter", "retry_after_allowed"),
    _flag("permissions", "peers", "peers_allowed"),
    _flag("callers", "marksRetry", "clients_mark_retries"),
    _flag("familyInfo", "tellsStart", "reports_start"),
    Field("progress_interval", "familyInfo", "progressUs", int, 0),
    Field("over_quota_priority", "", "overShareWorth", float, 1.0),
    Field("connect_timeout", "permissions", "connectTimeoutUs", int, 0),
    Field("connection_idle_timeout", "permissions", "connIdleUs", int, 0),
    Field("cross_zone_cost", "deductions", "crossZone", float, 0.0),
    Field(None, "deductions", "waste", float, 0.0),
    Field(None, "deductions", "lateFail", float, 0.0),
)
"""Describes the values of the settings object except classes, tenants, `registryMode` and the load report's names."""

CLASS_FIELDS = (
    Field("latency_objective", "", "goalTimeUs", int),
    Field("deadline", "", "deadlineUs", int),
    Field("objective_per_work", "", "aimStretch", float, 0.0),
    Field("deduplication_window", "", "dedupWindowUs", int, 0),
    Field("priority_weight", "", "worth", float, 1.0),
    Field("late_priority_weight", "", "lateWorth", float, 0.0),
)
"""Describes the numeric values of an entry of `requestClasses`."""

_REQUIRED_SECTIONS = ("permissions", "obligations")
_OPTIONAL_SECTIONS = ("familyInfo", "deductions", "callers", "report")


def settings_from(text: bytes) -> interface.Settings:
    """Decode the settings from a JSON text. Raises SettingsError."""
    try:
        return _decode(json.loads(text))
    except KeyError as error:
        raise SettingsError(f"settings: the key {error.args[0]!r} is missing") from error
    except (ValueError, TypeError, AttributeError, OverflowError) as error:
        raise SettingsError(f"settings cannot be read: {error}") from error


def _decode(data: Object) -> interface.Settings:
    sections: dict[str, Object] = {name: data[name] for name in _REQUIRED_SECTIONS}
    sections |= {name: data.get(name) or {} for name in _OPTIONAL_SECTIONS}
    sections[""] = data
    tenants = tuple(_tenant(index, entry) for index, entry in enumerate(data.get("accounts") or []))
    family = sections["familyInfo"]
    classes = tuple(_request_class(index, entry, family) for index, entry in enumerate(data["requestClasses"]))
    values = _values(FIELDS, sections)
    values["poll_interval"] = values["poll_interval"] or DEFAULT_POLL_INTERVAL_US
    settings = interface.Settings(
        classes=classes,
        tenants=tenants,
        must_subscribe=data.get("registryMode") != "automatic",
        load_report_fields=tuple(sections["report"].get("names") or ()),
        **values,
    )
    names = [request_class.name for request_class in settings.classes]
    if len({*names}) < len(names):
        raise SettingsError(f"settings: class names are not unique: {', '.join(names)}")
    settings.check()
    return settings


def _values(fields: tuple[Field, ...], sections: dict[str, Object]) -> Object:
    """Return the values by field name. Raises KeyError for a missing key and SettingsError for a non-numeric value."""
    values = {}
    for field in fields:
        value = _value(sections[field.section], field)
        if field.name is not None:
            values[field.name] = value
    return values


def _value(section: Object, field: Field) -> Any:
    if field.kind is bool:
        return bool(section.get(field.key))
    return _number(section, field.key, field.kind, field.default)


def _number(section: Object, key: str, kind: Callable[[Any], Any], default: float | None = None) -> Any:
    value = section[key] if default is None else section.get(key)
    if value is None and default is not None:
        return default
    try:
        return kind(value)
    except (TypeError, ValueError, OverflowError) as error:
        raise SettingsError(f"settings: {key} is not a number: {value!r}") from error


def _tenant(index: int, data: Object) -> interface.Tenant:
    quota = _number(data, "quotaPerS", float, 0.0)
    share = _number(data, "share", float, 0.0)
    return interface.Tenant(str(data.get("name", index)), quota, share)


def _request_class(index: int, data: Object, family: Object) -> interface.RequestClass:
    if data["semantics"] not in SEMANTICS:
        raise SettingsError(f"settings: semantics of class {index} is unknown: {data['semantics']!r}")
    name = str(data["name"])
    values = _values(CLASS_FIELDS, {"": data})
    values["objective_per_work"] = values["objective_per_work"] or float(_per_class(family, "classStretch", index, 0.0))
    return interface.RequestClass(
        name=name,
        semantics=SEMANTICS[data["semantics"]],
        deduplication_scope=_deduplication_scope(index, data),
        stream=bool(data.get("stream")),
        machine_type=int(_per_class(family, "classKind", index, -1)),
        **values,
    )


def _deduplication_scope(index: int, data: Object) -> str:
    """Return the scope, which only a class with an idempotency key uses and has to give.

    A default could be too wide: a retry would then run again at a worker that does not detect it as a repeat.
    """
    if data.get("group"):
        return str(data["group"])
    if SEMANTICS[data["semantics"]] == interface.RetrySemantics.IDEMPOTENCY_KEY:
        raise SettingsError(f"settings: group of class {index} is missing")
    return interface.DeduplicationScope.ALL


def _per_class(family: Object, key: str, index: int, default: float) -> Any:
    """Return the value for a class from a list in `familyInfo`, which may be shorter than the list of classes."""
    values = family.get(key) or []
    return values[index] if index < len(values) else default
