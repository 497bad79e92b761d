"""HTTP/1.1 messages: an incremental parser over a ring, and the serializer.

It reads strictly: whatever two readers could frame in two ways (two lengths, a length with chunks, bare line
feeds, blanks before a colon) is refused, as the bytes behind it would be taken for another request.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

from badgerroad.errors import BadgerroadError
from badgerroad.net.ring_buffer import RingBuffer

HEADER_LIMIT = 16 * 1024
BODY_LIMIT = 64 * 1024
MESSAGE_LIMIT = HEADER_LIMIT + BODY_LIMIT
REASONS = {
    100: "Continue",
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}

Headers = list[tuple[bytes, bytes]]

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t -~\x80-\xff]*)\Z")
_TARGET = re.compile(rb"[!-~]+\Z")
_VERSION = re.compile(rb"HTTP/1\.[01]\Z")
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t -~\x80-\xff]*)?\Z")


class BadMessageError(BadgerroadError):
    """What came is not a message; `status` is the answer where one is owed."""

    code = "message"
    remedy = "look at what the peer sent: it does not speak HTTP/1.1, or too large messages"

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


class Message:
    """One request (method, target) or response (status). Header names are in lower case."""

    __slots__ = ("method", "target", "status", "headers", "body", "close")

    def __init__(self, method: bytes, target: bytes, status: int, headers: Headers, version: bytes) -> None:
        self.method, self.target, self.status, self.headers = method, target, status, headers
        self.body = b""
        connection = self.header(b"connection")
        options = [o.strip().lower() for o in connection.split(b",")] if connection is not None else ()
        self.close = b"close" in options or version == b"HTTP/1.0" and b"keep-alive" not in options

    @property
    def path(self) -> bytes:
        return self.target.partition(b"?")[0]

    def header_values(self, name: bytes) -> list[bytes]:
        return [v for n, v in self.headers if n == name]

    def header(self, name: bytes) -> bytes | None:
        values = [v for n, v in self.headers if n == name]
        return None if not values else values[0] if len(values) == 1 else b",".join(values)


class Parser:
    """Takes whole messages out of a ring. `next` gives None while one is incomplete."""

    def __init__(self, ring: RingBuffer, responses: bool = False, body_limit: int = BODY_LIMIT) -> None:
        """`body_limit`: bytes of the longest body; the ring must hold that and a header."""
        self.buffer, self.responses, self.body_limit = ring, responses, body_limit
        self.head: Message | None = None
        self._length = 0  # -1: chunked, -2: up to the end of the connection
        self._chunks = bytearray()
        self._left = -1  # of the current chunk with its line end; -1: a size line is next; -2: trailers

    @property
    def idle(self) -> bool:
        return self.head is None and not len(self.buffer)

    def next_message(self) -> Message | None:
        if self.head is None and not self._read_head():
            return None
        if self._length == -1:
            return self._read_chunks()
        if self._length == -2:
            if len(self.buffer) > self.body_limit:
                raise BadMessageError(413, "the body is too large")
            return None
        if len(self.buffer) < self._length:
            return None
        return self._done(self.buffer.take(self._length))

    def unconsumed_bytes(self) -> bytes:
        """What a parser elsewhere needs to go on from here: the ring's bytes, before them the head of the message that
        is not whole yet, in the same words."""
        head = self.head
        if head is None:
            return self.buffer.peek()
        before = b""
        if self._length == -1:
            before = b"%x\r\n%b\r\n" % (len(self._chunks), self._chunks) if self._chunks else b""
            before += b"0\r\n" if self._left == -2 else b"%x\r\n" % (self._left - 2) if self._left >= 0 else b""
        return _message(_first(head), _options(head), None) + before + self.buffer.peek()

    def message_at_end(self) -> Message | None:
        """The peer has closed: a response without a length ends here."""
        if self.head is not None and self._length == -2 and len(self.buffer) <= self.body_limit:
            self.head.close = True
            return self._done(self.buffer.take(len(self.buffer)))
        return None

    def _done(self, body: bytes) -> Message:
        message, self.head = self.head, None
        assert message is not None
        message.body = body
        return message

    def _read_head(self) -> bool:
        data = self.buffer.peek()
        blank = 0
        while data.startswith(b"\r\n", blank) and not self.responses:
            blank += 2  # blank lines before a request are allowed
        end = data.find(b"\r\n\r\n", blank)
        if end < 0 and len(data) - blank < HEADER_LIMIT:
            self.buffer.skip(blank)
            return False
        if end < 0 or end - blank > HEADER_LIMIT:
            raise BadMessageError(431, "the header is too large")
        self.buffer.skip(end + 4)
        first, *lines = data[blank:end].split(b"\r\n")
        headers: Headers = []
        for line in lines:
            match = _LINE.match(line)
            if match is None:
                raise BadMessageError(400, "a header line is malformed")
            headers.append((match[1].lower(), match[2].strip(b" \t")))
        words = first.split(b" ", 2)
        if self.responses:
            if len(words) < 2 or not _VERSION.match(words[0]) or not re.match(rb"[1-5]\d\d\Z", words[1]):
                raise BadMessageError(502, "the status line is malformed")
            head = Message(b"", b"", int(words[1]), headers, words[0])
        else:
            if len(words) != 3 or not _TOKEN.match(words[0]) or not _TARGET.match(words[1]):
                raise BadMessageError(400, "the request line is malformed")
            if not _VERSION.match(words[2]):
                known = re.match(rb"HTTP/\d\.\d\Z", words[2])
                raise BadMessageError(505 if known else 400, "the version is not HTTP/1.1")
            head = Message(words[0], words[1], 0, headers, words[2])
        self._length = self._framing(head)
        self._chunks, self._left = bytearray(), -1
        if self.responses and 100 <= head.status < 200:
            return self._read_head()  # an interim answer
        self.head = head
        return True

    def _framing(self, head: Message) -> int:
        lengths, codings = head.header_values(b"content-length"), head.header_values(b"transfer-encoding")
        if codings:
            if lengths or [c.lower() for c in codings] != [b"chunked"]:
                raise BadMessageError(400, "the framing is ambiguous")
            return -1
        if len(lengths) > 1 or lengths and not re.match(rb"\d{1,15}\Z", lengths[0]):
            raise BadMessageError(400, "the length is malformed or given twice")
        if self.responses and (head.status in (204, 304) or head.status < 200):
            return 0
        if lengths and int(lengths[0]) > self.body_limit:
            raise BadMessageError(413, "the body is too large")
        if lengths:
            return int(lengths[0])
        return -2 if self.responses else 0

    def _line(self) -> bytes | None:
        data = self.buffer.peek()
        end = data.find(b"\r\n")
        if end > HEADER_LIMIT or end < 0 and len(data) > HEADER_LIMIT:
            raise BadMessageError(400, "a line among the chunks is too long")
        return self.buffer.take(end + 2)[:-2] if end >= 0 else None

    def _read_chunks(self) -> Message | None:
        while True:
            if self._left >= 0:
                if len(self.buffer) < self._left:
                    return None
                part = self.buffer.take(self._left)
                if part[-2:] != b"\r\n":
                    raise BadMessageError(400, "a chunk does not end where it says")
                self._chunks += part[:-2]
                self._left = -1
            line = self._line()
            if line is None:
                return None
            if self._left == -2:
                if not line:
                    return self._done(bytes(self._chunks))
                continue  # trailers are dropped
            match = _CHUNK.match(line)
            if not match:
                raise BadMessageError(400, "a chunk's size is malformed")
            size = int(match.group(1), 16)
            if len(self._chunks) + size > self.body_limit:
                raise BadMessageError(413, "the body is too large")
            self._left = size + 2 if size else -2


def _first(head: Message) -> str:
    return f"{head.method.decode('latin-1')} {head.target.decode('latin-1')} HTTP/1.1"


def serialize_request(message: Message) -> bytes:
    """A request that was read whole, as it could have come."""
    headers = [(n, v) for n, v in _options(message) if n not in (b"content-length", b"transfer-encoding")]
    return _message(_first(message), headers, message.body)


def _options(head: Message) -> Headers:
    """An HTTP/1.0 request without a word ends its connection; in HTTP/1.1 that must be said."""
    return [*head.headers, (b"connection", b"close")] if head.close else head.headers


def _message(first: str, headers: Iterable[tuple[bytes, bytes]], body: bytes | None) -> bytes:
    lines = [first.encode("latin-1")] + [n + b": " + v for n, v in headers]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")


def response(status: int, body: bytes = b"", headers: Iterable[tuple[bytes, bytes]] = (), close: bool = False) -> bytes:
    more = [(b"Connection", b"close")] if close else []
    sized = None if status in (100, 204) else body
    return _message(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", [*headers, *more], sized)


def request(
    method: bytes, target: bytes, host: str, headers: Iterable[tuple[bytes, bytes]] = (), body: bytes | None = None
) -> bytes:
    first = f"{method.decode('latin-1')} {target.decode('latin-1')} HTTP/1.1"
    return _message(first, [(b"Host", host.encode("latin-1")), *headers], body)
