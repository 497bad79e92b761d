"""Reads and checks clients' requests, and defines what is kept of a request while it is open."""

from __future__ import annotations

import re
from collections.abc import Mapping
from hashlib import blake2b

from badgerroad.backend.attempts import Attempt, ForwardedRequest
from badgerroad.errors import BadgerroadError
from badgerroad.frontend.exchange import Exchange
from badgerroad.load_balancing import interface
from badgerroad.net import http1
from badgerroad.net.memory_budget import MemoryAccount
from badgerroad.net.timer_wheel import Timer

# The client's headers that concern only its own connection or its timeout. They are not forwarded to workers.
NOT_FORWARDED_HEADERS = frozenset(
    (
        b"host",
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"request-timeout-ms",
        b"client-retry",
    )
)
# A request with a longer timeout is rejected. A timeout beyond the deadline of the class is reduced to that deadline.
MAX_CLIENT_TIMEOUT_MS = 3_600_000
# The id becomes part of a path when an attempt is cancelled. A comma is not allowed because it would mean
# that two request-id headers were joined into one.
REQUEST_ID = re.compile(rb"[A-Za-z0-9._~:@!$&'()*+;=-]{1,128}\Z")


class InvalidRequestError(BadgerroadError):
    """A required header of a request is missing or malformed."""

    code = "request"
    remedy = "report it to the owner of the client"


class OpenRequest:
    """A registered request that has not been answered yet or still has attempts in flight."""

    __slots__ = (
        "number",
        "forwarded",
        "exchange",
        "request_class",
        "received_at",
        "attempts",
        "open_attempts",
        "deadline_timer",
        "work_hint",
        "slots",
        "admitted",
        "memory",
    )

    def __init__(
        self,
        number: int,
        forwarded: ForwardedRequest,
        exchange: Exchange,
        request_class: interface.RequestClass,
        received_at: int,
    ) -> None:
        """Start without attempts. `received_at` is in microseconds of this process's clock."""
        self.number = number
        self.forwarded = forwarded
        self.exchange = exchange
        self.request_class = request_class
        self.received_at = received_at
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.work_hint = 0
        self.slots = 1.0
        self.deadline_timer: Timer | None = None
        self.memory: MemoryAccount | None = None  # set when the request is registered
        self.admitted = False  # True once the request has been passed to the dispatch policy


def forwarded_headers(message: http1.Message) -> http1.Headers:
    """Return the headers that are forwarded to workers."""
    return [(name.title(), value) for name, value in message.headers if name not in NOT_FORWARDED_HEADERS]


def parse_request_id(message: http1.Message) -> bytes:
    """Return the request's id. Raises InvalidRequestError."""
    request_id = message.header(b"request-id") or b""
    if not REQUEST_ID.match(request_id):
        raise InvalidRequestError("request-id is missing or malformed")
    return request_id


def parse_request(
    message: http1.Message,
    number: int,
    settings: interface.Settings,
    classes: Mapping[bytes, int],
    tenants: Mapping[bytes, int],
) -> interface.Request:
    """Return the event that reports request `number` to the dispatch policy. `classes` and `tenants` give the index of
    each name in the settings. Raises InvalidRequestError."""
    parts = message.path.split(b"/")
    class_name = message.header(b"request-class")
    if class_name is not None and class_name != parts[1]:
        raise InvalidRequestError("request-class is not that of the path")
    index = classes[parts[1]]
    request_class = settings.classes[index]
    if request_class.semantics == interface.RetrySemantics.IDEMPOTENCY_KEY and not message.header(b"idempotency-key"):
        # The policy retries requests of this class because workers drop duplicates, which they recognise by this key.
        raise InvalidRequestError("idempotency-key is missing")
    slots, memory = _slots_and_memory(message)
    if tenants and (message.header(b"tenant") or b"") not in tenants:
        raise InvalidRequestError("tenant is missing or unknown")
    key = int.from_bytes(blake2b(parts[-1], digest_size=8).digest(), "big") if len(parts) > 2 else 0
    time_left_us = min(
        _number(message, b"request-timeout-ms", 1, MAX_CLIENT_TIMEOUT_MS, None) * 1000, request_class.deadline
    )
    return interface.Request(
        number,
        index,
        tenants.get(message.header(b"tenant") or b"", 0),
        key,
        time_left_us,
        _number(message, b"work-hint", 0, 10**12, 0),
        slots,
        memory,
        message.header(b"client-retry") == b"1",
    )


def parse_request_info(message: http1.Message) -> dict[bytes, float]:
    """Return the numbers in the header `Request-Info` by name. Raises InvalidRequestError."""
    values = {}
    for part in (message.header(b"request-info") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if not part.strip():
            continue
        try:
            values[name] = float(value)
        except ValueError:
            raise InvalidRequestError("request-info is malformed") from None
    return values


def _slots_and_memory(message: http1.Message) -> tuple[float, float]:
    values = parse_request_info(message)
    slots, memory = values.get(b"slots", 1.0), values.get(b"memory", 0.0)
    if not 0 < slots < 1e6 or not 0 <= memory < 1e9:
        raise InvalidRequestError("request-info is out of range")
    return slots, memory


def _number(message: http1.Message, name: bytes, minimum: int, maximum: int, default: int | None) -> int:
    text = message.header(name)
    if text is None and default is not None:
        return default
    if text is None or not text.isdigit() or len(text) > 15 or not minimum <= int(text) <= maximum:
        raise InvalidRequestError(f"{name.decode()} is missing or malformed")
    return int(text)
