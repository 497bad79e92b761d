"""The settings of a deployment: request classes, tenants, permissions and limits.

Times are integers in microseconds. Work is in microseconds on a standard core, like the work hints of requests.
`settings_decoder` maps the keys of the JSON settings object to these names.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class RetrySemantics(StrEnum):
    """Determines whether a request may be sent again after an attempt that may have run."""

    IDEMPOTENT = "safe"
    """The request may run any number of times, on any workers."""
    IDEMPOTENCY_KEY = "keyed"
    """The request carries a key by which the workers of its deduplication scope detect and drop repeats."""
    NON_IDEMPOTENT = "unsafe"
    """The request must not be sent again once it may have run."""


class DeduplicationScope(StrEnum):
    """The workers that detect repeats of a request with an idempotency key: all, or those of one zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class RequestClass(NamedTuple):
    """A request class.

    An answer is in time if it takes at most `latency_objective + objective_per_work * work` and meets the deadline. The
    order of the fields is part of the messages between the two processes of a hot restart.
    """

    name: str
    semantics: str = RetrySemantics.IDEMPOTENT
    latency_objective: int = 1_000_000
    deadline: int = 5_000_000
    objective_per_work: float = 0.0
    """Addition to the latency objective for each microsecond of work of the request."""
    deduplication_scope: str = DeduplicationScope.ALL
    deduplication_window: int = 0
    """How long workers detect repeats by idempotency key, counted from the first attempt that may have run."""
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    """Priority weight of an answer that is later than its latency objective."""
    stream: bool = False
    machine_type: int = -1
    """The only machine type that can run the class, or -1 for any."""


class Tenant(NamedTuple):
    """A tenant and its request quota, which is shared by all dispatchers."""

    name: str
    quota_per_s: float
    share: float = 1.0


class Settings(NamedTuple):
    """The settings of one dispatcher."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    dispatcher_count: int = 1
    """Number of dispatchers that share the workers, including this one."""
    dispatcher_index: int = 0
    """Index of this dispatcher among the dispatchers that share the workers, from 0."""
    zone: int = 0
    tick: int = 1_000
    """Minimum time between two batches of events."""
    max_attempts: int = 1
    hedging_allowed: bool = False
    """Whether a request may have more than one attempt in flight at once."""
    cancel_allowed: bool = False
    health_checks_allowed: bool = False
    must_subscribe: bool = True
    """Whether changes of the endpoint list are sent only to dispatchers that have subscribed."""
    poll_interval: int = 10_000_000
    """Maximum age of the endpoint list of a dispatcher without a watch; an older list must be polled again."""
    slow_start_share: float = 1.0
    """Minimum share of its full capacity that a worker has when it starts."""
    slow_start_duration: int = 0
    """Time from the start of a worker until it has its full capacity."""
    overload_threshold: float = 1.0
    """Limit of the work sent to a worker that is warming up, above which the worker fails.

    The limit is a multiple of the work that the worker can do in `overload_window` at its current capacity.
    """
    overload_window: int = 1_000_000
    """Length of the rolling window in which work that is sent counts towards `overload_threshold`."""
    reports_start: bool = False
    """Whether workers report when a request starts to run."""
    over_quota_priority: float = 1.0
    """Factor on the priority weight of requests over their tenant's quota."""
    cross_zone_cost: float = 0.0
    load_report_fields: tuple[str, ...] = ()
    """Names of the values of a load report, in the order in which the report holds them."""
    clients_mark_retries: bool = False
    retry_after_allowed: bool = False
    max_retry_after: int = 0
    peers_allowed: bool = False
    """Whether dispatchers may exchange messages with each other or with their controllers."""
    drain_grace: int = 0
    """How long requests may still be sent to a worker after it is listed as draining or gone."""
    progress_interval: int = 0
    """Interval between progress reports of a running request; 0 if workers send none."""
    connect_timeout: int = 0
    connection_idle_timeout: int = 0
    """Time after which workers close an idle connection."""

    def check(self) -> None:
        """Raise ValueError on invalid settings; the message gives the field by its name in the configuration file."""
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
