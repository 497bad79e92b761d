"""What a deployment tells its dispatchers: classes of requests, tenants, permissions and limits.

Times are whole microseconds. Work is in microseconds on a standard core, as the work hints of requests are. The names
of the settings object on the wire are mapped in `settings_decoder`.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class RetrySemantics(StrEnum):
    """What a class of requests allows after an attempt that may have run."""

    IDEMPOTENT = "safe"
    """May run any number of times, on any workers."""
    IDEMPOTENCY_KEY = "keyed"
    """Carries a key by which the workers of its deduplication scope drop a repeat."""
    NON_IDEMPOTENT = "unsafe"
    """Must not be sent again once it may have run."""


class DeduplicationScope(StrEnum):
    """Which workers drop the repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class RequestClass(NamedTuple):
    """One class of requests.

    An answer is in time within `latency_objective + objective_per_work * work`, and inside the deadline. The order of
    the fields is part of the messages between two processes of an upgrade.
    """

    name: str
    semantics: str = RetrySemantics.IDEMPOTENT
    latency_objective: int = 1_000_000
    deadline: int = 5_000_000
    objective_per_work: float = 0.0
    """The part of the latency objective that is in proportion to the work of the request."""
    deduplication_scope: str = DeduplicationScope.ALL
    deduplication_window: int = 0
    """With an idempotency key: how long a repeat is dropped, from the first attempt that may have run."""
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    """The part of the priority weight that an answer past its latency objective still has."""
    stream: bool = False
    machine_type: int = -1
    """The only machine type that can run it, or -1 for any."""


class Tenant(NamedTuple):
    """A tenant and its quota over all dispatchers together."""

    name: str
    quota_per_s: float
    share: float = 1.0


class Settings(NamedTuple):
    """The settings of one dispatcher."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    dispatcher_count: int = 1
    """Dispatchers that share the workers, this one included."""
    dispatcher_index: int = 0
    """The place of this dispatcher among them, from 0."""
    zone: int = 0
    tick: int = 1_000
    """The least time between two batches of events."""
    max_attempts: int = 1
    hedging_allowed: bool = False
    """A request may have more than one attempt open at once."""
    cancel_allowed: bool = False
    health_checks_allowed: bool = False
    must_subscribe: bool = True
    """Changes of the endpoint list come only to dispatchers that have subscribed."""
    poll_interval: int = 10_000_000
    """A dispatcher without a watch may go on with its endpoint list for so long."""
    slow_start_share: float = 1.0
    """The share of its capacity that a worker has at least when it starts."""
    slow_start_duration: int = 0
    """A worker is warmed up after so long at the latest."""
    overload_threshold: float = 1.0
    """A worker that warms up falls over from so many times its capacity of the moment,"""
    overload_window: int = 1_000_000
    """sent to it within this time."""
    reports_start: bool = False
    """Workers report when a request starts to run."""
    over_quota_priority: float = 1.0
    """The factor on the priority weight of requests beyond their tenant's quota."""
    cross_zone_cost: float = 0.0
    load_report_fields: tuple[str, ...] = ()
    """The names of the values of a load report, in order."""
    clients_mark_retries: bool = False
    retry_after_allowed: bool = False
    max_retry_after: int = 0
    peers_allowed: bool = False
    """Dispatchers may talk to one another, or to controllers of theirs."""
    drain_grace: int = 0
    """How long requests may still be sent to a worker after it was listed as draining or gone."""
    progress_interval: int = 0
    """How often workers report the progress of a request; 0 if they do not."""
    connect_timeout: int = 0
    connection_idle_timeout: int = 0
    """After this workers close an idle connection."""

    def check(self) -> None:
        """Raise ValueError, naming the field by its plain name, on settings that are not possible."""
        _require(bool(self.classes), "classes", "at least one class is needed")
        for index, request_class in enumerate(self.classes):
            _check_class(f"classes[{index}]", request_class)
        for index, tenant in enumerate(self.tenants):
            _require(tenant.quota_per_s >= 0, f"tenants[{index}].quota_per_s", "must not be negative")
        _require(self.dispatcher_count >= 1, "dispatchers", "must be 1 or more")
        _require(0 <= self.dispatcher_index < self.dispatcher_count, "number", "must lie below dispatchers")
        _require(self.tick > 0, "tick", "must be above 0")
        _require(self.max_attempts >= 1, "max_attempts", "must be 1 or more")
        _require(self.poll_interval > 0, "ask_within", "must be above 0")
        _require(0 < self.slow_start_share <= 1, "cold_from", "must be above 0 and at most 1")
        _require(self.slow_start_duration >= 0, "cold_for", "must not be negative")
        _require(self.overload_threshold > 0, "fall_multiple", "must be above 0")
        _require(self.overload_window > 0, "overload_for", "must be above 0")


def _require(condition: bool, field: str, reason: str) -> None:
    if not condition:
        raise ValueError(f"{field}: {reason}")


def _check_class(place: str, request_class: RequestClass) -> None:
    semantics, scope = request_class.semantics, request_class.deduplication_scope
    _require(semantics in tuple(RetrySemantics), f"{place}.semantics", f"unknown: {semantics!r}")
    _require(scope in tuple(DeduplicationScope), f"{place}.group", f"unknown: {scope!r}")
    _require(request_class.latency_objective > 0, f"{place}.aim", "must be above 0")
    _require(request_class.deadline > 0, f"{place}.deadline", "must be above 0")
    _require(request_class.objective_per_work >= 0, f"{place}.stretch", "must not be negative")
    _require(request_class.deduplication_window >= 0, f"{place}.window", "must not be negative")
