"""An attempt of a request at one worker, what it passes on, and the connections of a worker."""

from __future__ import annotations

import asyncio

from badgerroad.net import http1
from badgerroad.net.call_connection import CallConnection
from badgerroad.net.connection import Address
from badgerroad.net.timer_wheel import Timer


class ForwardedRequest:
    """What the attempts of one request pass on, byte for byte."""

    __slots__ = ("id", "method", "target", "headers", "body", "deadline")

    def __init__(
        self, method: bytes, target: bytes, body: bytes, request_id: bytes, headers: http1.Headers, deadline: int
    ) -> None:
        self.id, self.method, self.target, self.body = request_id, method, target, body
        self.headers, self.deadline = headers, deadline


class Attempt:
    __slots__ = (
        "request",
        "number",
        "forwarded",
        "worker",
        "sent_at",
        "written",
        "event_received",
        "started",
        "accepted",
        "ended",
        "not_sent",
        "connections",
        "timeout_timer",
        "connection",
        "status",
        "opened_connection",
        "started_at",
    )

    def __init__(self, request: int, number: int, order: ForwardedRequest, worker: str, now: int) -> None:
        self.request, self.number, self.forwarded, self.worker, self.sent_at = request, number, order, worker, now
        self.written = self.event_received = self.started = self.accepted = self.ended = self.not_sent = False
        self.opened_connection = False  # on a connection of its own making
        self.started_at = 0  # when its start was told
        self.status = 0  # of the host's answer, where that is not the 202
        self.connections: WorkerConnections | None = None
        self.timeout_timer: Timer | None = None
        self.connection: CallConnection | None = None  # while the answer to the request is awaited


class WorkerConnections:
    """One host of the worker list: where it is, and its idle connections, the latest used last."""

    def __init__(self, name: str, address: Address) -> None:
        self.name, self.address = name, address
        self.idle: list[tuple[CallConnection, Timer]] = []
        self.cancelling: dict[bytes, asyncio.Future[None]] = {}
