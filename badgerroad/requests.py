"""A client's request: read from its message and checked, and what is kept of it while it is open."""

from __future__ import annotations

import re
from collections.abc import Mapping
from hashlib import blake2b

from badgerroad.backend.attempts import Attempt, ForwardedRequest
from badgerroad.errors import BadgerroadError
from badgerroad.frontend.exchange import Exchange
from badgerroad.load_balancing import interface
from badgerroad.net import http1
from badgerroad.net.timer_wheel import Timer

# Of the client's headers, those that speak of its own connection or wait are not passed on.
OWN_HEADERS = frozenset(
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
LONGEST_WAIT = 3_600_000  # in ms; more is no wait. What a client claims beyond its class's deadline is not granted
# It becomes part of a path when an attempt is cancelled. A comma would be two headers of that name.
REQUEST_ID = re.compile(rb"[A-Za-z0-9._~:@!$&'()*+;=-]{1,128}\Z")


class InvalidRequestError(BadgerroadError):
    """A header that the request needs is missing or malformed."""

    code = "request"
    remedy = "tell the client's owner"


class OpenRequest:
    """Taken and not answered yet, or answered with attempts still out."""

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
    )

    def __init__(
        self, number: int, order: ForwardedRequest, exchange: Exchange, cls: interface.RequestClass, begun: int
    ) -> None:
        self.number, self.forwarded, self.exchange, self.request_class, self.received_at = (
            number,
            order,
            exchange,
            cls,
            begun,
        )
        self.attempts: list[Attempt] = []
        self.open_attempts = self.work_hint = 0
        self.slots = 1.0
        self.deadline_timer: Timer | None = None
        self.admitted = False  # the module has heard of it


def forwarded_headers(message: http1.Message) -> http1.Headers:
    """Those that hosts are given."""
    return [(n.title(), v) for n, v in message.headers if n not in OWN_HEADERS]


def parse_request_id(message: http1.Message) -> bytes:
    """The request's id. Raises InvalidRequestError."""
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
    """What the module hears of it as request `number`. `classes` and `tenants`: their places in the settings. Raises
    InvalidRequestError."""
    parts = message.path.split(b"/")
    class_name = message.header(b"request-class")
    if class_name is not None and class_name != parts[1]:
        raise InvalidRequestError("request-class is not that of the path")
    index = classes[parts[1]]
    cls = settings.classes[index]
    if cls.semantics == interface.RetrySemantics.IDEMPOTENCY_KEY and not message.header(b"idempotency-key"):
        # Without it no host could drop a repeat, and the module repeats because hosts do.
        raise InvalidRequestError("idempotency-key is missing")
    slots, memory = _size(message)
    if tenants and (message.header(b"tenant") or b"") not in tenants:
        raise InvalidRequestError("tenant is missing or unknown")
    key = int.from_bytes(blake2b(parts[-1], digest_size=8).digest(), "big") if len(parts) > 2 else 0
    wait = min(_number(message, b"request-timeout-ms", 1, LONGEST_WAIT, None) * 1000, cls.deadline)
    return interface.Request(
        number,
        index,
        tenants.get(message.header(b"tenant") or b"", 0),
        key,
        wait,
        _number(message, b"work-hint", 0, 10**12, 0),
        slots,
        memory,
        message.header(b"client-retry") == b"1",
    )


def parse_request_info(message: http1.Message) -> dict[bytes, float]:
    """The figures of `Request-Info`. Raises InvalidRequestError."""
    extras = {}
    for part in (message.header(b"request-info") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if not part.strip():
            continue
        try:
            extras[name] = float(value)
        except ValueError:
            raise InvalidRequestError("request-info is malformed") from None
    return extras


def _size(message: http1.Message) -> tuple[float, float]:
    extras = parse_request_info(message)
    slots, memory = extras.get(b"slots", 1.0), extras.get(b"memory", 0.0)
    if not 0 < slots < 1e6 or not 0 <= memory < 1e9:
        raise InvalidRequestError("request-info is out of range")
    return slots, memory


def _number(message: http1.Message, name: bytes, least: int, most: int, default: int | None) -> int:
    text = message.header(name)
    if text is None and default is not None:
        return default
    if text is None or not text.isdigit() or len(text) > 15 or not least <= int(text) <= most:
        raise InvalidRequestError(f"{name.decode()} is missing or malformed")
    return int(text)
