"""The interface of the dispatch policy: settings and events as input, actions as output.

Times are integers in microseconds; the current time is passed with each event. The host of the policy numbers the
requests; the attempts of a request are numbered from 0. Work is in microseconds on a standard core.
"""

from __future__ import annotations

from collections.abc import Hashable
from enum import StrEnum
from typing import NamedTuple

from .deployment_settings import DeduplicationScope as DeduplicationScope
from .deployment_settings import RequestClass as RequestClass
from .deployment_settings import RetrySemantics as RetrySemantics
from .deployment_settings import Settings as Settings
from .deployment_settings import Tenant as Tenant

WorkerId = Hashable
"""Identifies a worker at every dispatcher. Its repr is hashed and must be equal in all processes (bytes, str, int)."""


class WorkerState(StrEnum):
    """A worker's state in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class AttemptResult(StrEnum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    QUEUE_FULL = "full"
    """The worker rejected the attempt before it started, or returned it from its queue unstarted."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_NEEDED = "moot"
    """The attempt was never sent, as its request was already answered or had no attempts left."""
    INVALID_REQUEST = "rejected"
    """The worker rejected the request as invalid; this is no fault of the worker."""
    NOT_SENT = "unsent"
    """`may_begin` refused the attempt before its first byte; it does not count towards `max_attempts`."""


NEVER_RAN = frozenset(
    (AttemptResult.QUEUE_FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_NEEDED, AttemptResult.NOT_SENT)
)
"""Results after which the attempt certainly did not run."""


class ListScope(StrEnum):
    """The scope of an endpoint list: changes, the complete list, a cached copy, or none because a fetch failed."""

    INCREMENTAL = "changes"
    COMPLETE = "whole"
    CACHED = "cached"
    FAILED = "failed"


class Endpoint(NamedTuple):
    """One worker in the endpoint list."""

    worker: WorkerId
    state: str = WorkerState.READY
    started_at: int = 0
    """When the worker's process last started; 0 if it is unknown or long ago."""
    machine_type: int = 0
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    """Size of the worker relative to others, nominal or measured; 1 for all workers if unknown."""


class EndpointList(NamedTuple):
    """Event: the endpoint list, or changes to it. `scope` is a `ListScope`; with `FAILED` there are no entries."""

    scope: str
    version: int = 0
    entries: tuple[Endpoint, ...] = ()


class Request(NamedTuple):
    """Event: a client's request was received."""

    request: int
    class_index: int = 0
    tenant: int = 0
    key: int = 0
    time_left: int = 1_000_000
    """Time until the client stops waiting for an answer."""
    work_hint: int = 0
    """The client's estimate of the work; 0 if it gives none."""
    slots: float = 1.0
    memory: float = 0.0
    client_retry: bool = False
    """Whether the client has marked the request as a retry."""
    over_quota: bool | None = None
    """Whether the tenant is over its quota, if this was decided externally; None to use the local quota bucket."""


class Timer(NamedTuple):
    """Event: the timer with this token has fired."""

    token: int


class AttemptStarted(NamedTuple):
    """Event: a worker reported that it has started to run the attempt."""

    request: int
    attempt: int
    worker: WorkerId


class AttemptProgressed(NamedTuple):
    """Event: a worker reported the progress of an attempt; `completed_share` is between 0 and 1."""

    request: int
    attempt: int
    worker: WorkerId
    completed_share: float


class StreamStarted(NamedTuple):
    """Event: the first bytes of a streamed answer have gone to the client."""

    request: int
    attempt: int
    worker: WorkerId


class AttemptEnded(NamedTuple):
    """Event: an attempt ended; `result` is an `AttemptResult`."""

    request: int
    attempt: int
    worker: WorkerId
    result: str
    elapsed: int = 0
    finished: bool = False
    """Whether the client has received its final answer, from this attempt or an earlier one."""
    load_report: tuple[float, ...] | None = None
    """The values of the load report in the order of `Settings.load_report_fields`."""


class ClientDisconnected(NamedTuple):
    """Event: the client has disconnected and needs no answer."""

    request: int


class RequestOverdue(NamedTuple):
    """Event: the request's time is nearly over and it has no answer, as after a stall of the host's event loop."""

    request: int


class HealthCheckResult(NamedTuple):
    """Event: a health check ended; `result` is an `AttemptResult`."""

    worker: WorkerId
    result: str
    elapsed: int = 0
    load_report: tuple[float, ...] | None = None


class SettingsChanged(NamedTuple):
    """Event: the settings have changed.

    Open requests keep the class they were received with. Each class they use must keep its index in `classes`, and
    machine types and zones of workers must keep their numbers.
    """

    settings: Settings


class PeerMessage(NamedTuple):
    """Event: another dispatcher sent `data`."""

    sender: int
    data: bytes


Event = (
    EndpointList
    | Request
    | Timer
    | AttemptStarted
    | AttemptProgressed
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | RequestOverdue
    | HealthCheckResult
    | SettingsChanged
    | PeerMessage
)


class Send(NamedTuple):
    """Action: send an attempt of the request to the worker."""

    request: int
    worker: WorkerId
    timeout: int = 0
    """Time limit of the attempt; with 0, the time that the client waits is the limit."""


class Reject(NamedTuple):
    """Action: reject the request, as its final answer. The client can safely repeat it."""

    request: int
    retry_after: int = 0


class Fail(NamedTuple):
    """Action: fail the request, as its final answer. It may or may not have had an effect."""

    request: int


class Cancel(NamedTuple):
    """Action: cancel an open attempt at its worker."""

    request: int
    attempt: int


class SetTimer(NamedTuple):
    """Action: deliver the event `Timer(token)` after `delay`."""

    delay: int
    token: int


class Subscribe(NamedTuple):
    """Action: start or stop watching the endpoint list."""

    on: bool = True


class FetchEndpoints(NamedTuple):
    """Action: fetch the complete endpoint list once."""


class HealthCheck(NamedTuple):
    """Action: request the health and the load report of a worker."""

    worker: WorkerId


class CloseIdle(NamedTuple):
    """Action: close the idle connections to a worker."""

    worker: WorkerId


class SendToPeer(NamedTuple):
    """Action: send `data` to another dispatcher, or to all of them if `peer` is -1."""

    peer: int
    data: bytes


class Log(NamedTuple):
    """Action: write a line to the log."""

    text: str


Action = (
    Send | Reject | Fail | Cancel | SetTimer | Subscribe | FetchEndpoints | HealthCheck | CloseIdle | SendToPeer | Log
)
