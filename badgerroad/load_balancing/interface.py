"""What the decisions expect and offer: settings, events in, actions out.

Times are whole microseconds; the clock comes with each event. Requests have whole numbers, given by the host of the
decisions; attempts of a request are numbered from 0. Work is in microseconds on a standard core.
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
"""One id means one worker at every dispatcher; its repr must be the same everywhere (bytes, text or a number)."""


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
    """The worker rejected it before it started, or handed it back unstarted."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_NEEDED = "moot"
    """It was never sent, as its request was answered or had no attempt left."""
    INVALID_REQUEST = "rejected"
    """The worker would not have this request from anyone: it says nothing of the worker."""
    NOT_SENT = "unsent"
    """No longer valid when its first byte was due (`may_begin`): it does not count as an attempt."""


NEVER_RAN = frozenset(
    (AttemptResult.QUEUE_FULL, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_NEEDED, AttemptResult.NOT_SENT)
)
"""Results that prove that the attempt never ran."""


class ListScope(StrEnum):
    """What an endpoint list holds."""

    INCREMENTAL = "changes"
    COMPLETE = "whole"
    CACHED = "cached"
    FAILED = "failed"


class Endpoint(NamedTuple):
    """One worker in the endpoint list."""

    worker: WorkerId
    state: str = WorkerState.READY
    started_at: int = 0
    """When its process last started; 0: long ago."""
    machine_type: int = 0
    zone: int = 0
    cell: int = 0
    weight: float = 1.0
    """Its size against that of others, nominal, rough or live; 1 for all where it is not known."""


class EndpointList(NamedTuple):
    """Event: the endpoint list, or changes of it. `scope` is a `ListScope`; a failed one has no entries."""

    scope: str
    version: int = 0
    entries: tuple[Endpoint, ...] = ()


class Request(NamedTuple):
    """Event: a client's request was taken."""

    request: int
    class_index: int = 0
    tenant: int = 0
    key: int = 0
    time_left: int = 1_000_000
    """Until its client gives up."""
    work_hint: int = 0
    """The client's estimate of the work; 0: none."""
    slots: float = 1.0
    memory: float = 0.0
    client_retry: bool = False
    """The client marks it as a repeat."""
    over_quota: bool | None = None
    """Decided outside whether its tenant is beyond its quota; None: the local quota bucket decides."""


class Timer(NamedTuple):
    """Event: the timer with this token is due."""

    token: int


class AttemptStarted(NamedTuple):
    """Event: a worker reported that it has started to run the attempt."""

    request: int
    attempt: int
    worker: WorkerId


class AttemptProgressed(NamedTuple):
    """Event: a worker reported progress; `completed_share` runs from 0 to 1."""

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
    """The client has its final answer, from this attempt or an earlier one."""
    load_report: tuple[float, ...] | None = None
    """Values in the order of `Settings.load_report_fields`."""


class ClientDisconnected(NamedTuple):
    """Event: the client has gone; it needs no answer any more."""

    request: int


class HealthCheckResult(NamedTuple):
    """Event: a health check ended; `result` is an `AttemptResult`."""

    worker: WorkerId
    result: str
    elapsed: int = 0
    load_report: tuple[float, ...] | None = None


class SettingsChanged(NamedTuple):
    """Event: these settings hold from now on.

    Open requests keep the class that they came with, and its place in `classes`. Machine types and zones of workers
    keep their numbers.
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
    | HealthCheckResult
    | SettingsChanged
    | PeerMessage
)


class Send(NamedTuple):
    """Action: send an attempt of the request to the worker."""

    request: int
    worker: WorkerId
    timeout: int = 0
    """0: until the client gives up."""


class Reject(NamedTuple):
    """Action, a final answer: the request had no effect, and asking again is harmless."""

    request: int
    retry_after: int = 0


class Fail(NamedTuple):
    """Action, a final answer: the request failed and may or may not have had its effect."""

    request: int


class Cancel(NamedTuple):
    """Action: give up an open attempt at its worker."""

    request: int
    attempt: int


class SetTimer(NamedTuple):
    """Action: give the event `Timer(token)` after `delay`."""

    delay: int
    token: int


class Subscribe(NamedTuple):
    """Action: watch the endpoint list, or stop to."""

    on: bool = True


class FetchEndpoints(NamedTuple):
    """Action: ask for the complete endpoint list once."""


class HealthCheck(NamedTuple):
    """Action: ask a worker for its health and load report."""

    worker: WorkerId


class CloseIdle(NamedTuple):
    """Action: close the idle connections to a worker."""

    worker: WorkerId


class SendToPeer(NamedTuple):
    """Action: send `data` to another dispatcher; `peer` -1 is all of them."""

    peer: int
    data: bytes


class Log(NamedTuple):
    """Action: write a line to the log."""

    text: str


Action = (
    Send | Reject | Fail | Cancel | SetTimer | Subscribe | FetchEndpoints | HealthCheck | CloseIdle | SendToPeer | Log
)
