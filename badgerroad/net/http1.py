"""HTTP/1.1 messages (RFC 9112): an incremental parser over a ring buffer, and a serializer.

The parser rejects every message that two parsers could frame differently (two lengths, a length with chunks, bare line
feeds, white space before a colon), since bytes of such a message could be smuggled as another request.
"""

from __future__ import annotations

import re
from collections.abc import Iterable

from badgerroad.errors import BadgerroadError
from badgerroad.net.ring_buffer import RingBuffer

HEADER_LIMIT = 16 * 1024  # largest header of a message, in bytes
BODY_LIMIT = 64 * 1024  # largest body of a message, in bytes
MESSAGE_LIMIT = HEADER_LIMIT + BODY_LIMIT
# Most header fields of a message. A parsed field takes many times the memory of its bytes, so the size of the header
# alone does not limit the memory of a message.
MAX_HEADER_FIELDS = 100
HEADER_FIELD_BYTES = 130  # memory of a parsed field in addition to its text: a tuple and two byte strings
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
_HEADER_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t -~\x80-\xff]*)\Z")
_TARGET = re.compile(rb"[!-~]+\Z")
_SUPPORTED_VERSION = re.compile(rb"HTTP/1\.[01]\Z")
_ANY_VERSION = re.compile(rb"HTTP/\d\.\d\Z")
_STATUS = re.compile(rb"[1-5]\d\d\Z")
_LENGTH = re.compile(rb"\d{1,15}\Z")
# Most bytes of size lines, line ends and trailers of a body in chunks, more than the largest body takes in chunks of
# one byte. Without a limit one request could take any amount of processor time.
MAX_FRAMING_BYTES = 6 * BODY_LIMIT
_CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[\t -~\x80-\xff]*)?\Z")

# Special values of the body's length, which is otherwise a number of bytes.
_CHUNKED = -1
_UNTIL_CLOSE = -2
# Special values of the remaining bytes of a chunk, which are otherwise a number of bytes.
_AT_SIZE_LINE = -1
_IN_TRAILERS = -2


class BadMessageError(BadgerroadError):
    """The received bytes are not a valid message; `status` is that of the response if one is due."""

    code = "message"
    remedy = "check what the peer sent: it does not speak HTTP/1.1, or its messages are too large"

    def __init__(self, status: int, reason: str) -> None:
        """Create the error; `reason` is also the body of the response."""
        super().__init__(reason)
        self.status = status


class Message:
    """One request (method, target) or response (status). Header names are in lower case."""

    __slots__ = ("method", "target", "status", "headers", "body", "close")

    @property
    def memory_size(self) -> int:
        """About how many bytes of memory the message takes."""
        return len(self.target) + headers_memory_size(self.headers) + len(self.body)

    def __init__(self, method: bytes, target: bytes, status: int, headers: Headers, version: bytes) -> None:
        """Create a message without a body; `version` and the Connection header determine `close`."""
        self.method = method
        self.target = target
        self.status = status
        self.headers = headers
        self.body = b""
        connection = self.header(b"connection")
        options = [option.strip().lower() for option in connection.split(b",")] if connection is not None else ()
        self.close = b"close" in options or version == b"HTTP/1.0" and b"keep-alive" not in options

    @property
    def path(self) -> bytes:
        """The request target without its query."""
        return self.target.partition(b"?")[0]

    def header_values(self, name: bytes) -> list[bytes]:
        """Return all values of a header; `name` must be in lower case."""
        return [value for header_name, value in self.headers if header_name == name]

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, with several values joined by commas, or None if it is missing."""
        values = [value for header_name, value in self.headers if header_name == name]
        if not values:
            return None
        return values[0] if len(values) == 1 else b",".join(values)


def headers_memory_size(headers: Headers) -> int:
    """Return about how many bytes of memory parsed headers take."""
    return sum(HEADER_FIELD_BYTES + len(name) + len(value) for name, value in headers)


class Parser:
    """Incrementally parses the messages in a ring buffer."""

    def __init__(self, buffer: RingBuffer, responses: bool = False, body_limit: int = BODY_LIMIT) -> None:
        """Parse requests, or responses if `responses`, from `buffer`.

        `body_limit` is the largest allowed body in bytes; the buffer must hold such a body and a header.
        """
        self.buffer = buffer
        self.responses = responses
        self.body_limit = body_limit
        self.head: Message | None = None
        self.memory_size = 0  # about how many bytes the incomplete message takes in addition to the buffer
        self._scanned = 0  # number of bytes at the start of the buffer without the end of a head or a line
        self._length = 0  # length of the body in bytes, or _CHUNKED or _UNTIL_CLOSE
        self._chunks = bytearray()
        self._framing_bytes = 0  # number of bytes of the body in chunks that are not its data
        self._chunk_remaining = _AT_SIZE_LINE  # missing bytes of the current chunk and its line end, or _IN_TRAILERS

    @property
    def idle(self) -> bool:
        """Whether no part of the next message has arrived."""
        return self.head is None and not len(self.buffer)

    def clear(self) -> None:
        """Drop the incomplete message and the buffer's bytes; no further message can be parsed."""
        self.head = None
        self.memory_size = 0
        self._chunks = bytearray()
        self.buffer.clear()

    def next_message(self) -> Message | None:
        """Return the next message, or None if it is incomplete. Raises BadMessageError."""
        if self.head is None and not self._read_head():
            return None
        if self._length == _CHUNKED:
            return self._read_chunks()
        if self._length == _UNTIL_CLOSE:
            if len(self.buffer) > self.body_limit:
                raise BadMessageError(413, "the body is too large")
            return None
        if len(self.buffer) < self._length:
            return None
        return self._complete(self.buffer.take(self._length))

    def unconsumed_bytes(self) -> bytes:
        """Return the bytes that another parser needs to continue from here.

        These are the head and the decoded chunks of the incomplete message, serialized again, and the buffer's bytes.
        """
        head = self.head
        if head is None:
            return self.buffer.peek()
        start = _serialize(_request_line(head), _headers_with_close(head), None)
        if self._length == _CHUNKED:
            start += self._serialized_chunks()
        return start + self.buffer.peek()

    def _serialized_chunks(self) -> bytes:
        chunks = b"%x\r\n%b\r\n" % (len(self._chunks), self._chunks) if self._chunks else b""
        if self._chunk_remaining == _IN_TRAILERS:
            return chunks + b"0\r\n"
        if self._chunk_remaining >= 0:
            return chunks + b"%x\r\n" % (self._chunk_remaining - 2)
        return chunks

    def message_at_end(self) -> Message | None:
        """Return the response whose body ends with the connection, if there is one; called when the peer has closed."""
        if self.head is not None and self._length == _UNTIL_CLOSE and len(self.buffer) <= self.body_limit:
            self.head.close = True
            return self._complete(self.buffer.take(len(self.buffer)))
        return None

    def _complete(self, body: bytes) -> Message:
        message = self.head
        self.head = None
        self.memory_size = 0
        self._chunks = bytearray()
        if message is None:
            raise RuntimeError("body completed without a parsed head")
        message.body = body
        return message

    def _read_head(self) -> bool:
        """Parse the next head, skipping interim responses; returns False if it is incomplete."""
        while True:
            block = self._take_head()
            if block is None:
                return False
            if block.count(b"\r\n") > MAX_HEADER_FIELDS:
                raise BadMessageError(431, "the header has too many fields")
            first_line, *lines = block.split(b"\r\n")
            headers = _parse_headers(lines)
            head = (
                _parse_status_line(first_line, headers) if self.responses else _parse_request_line(first_line, headers)
            )
            self._length = self._body_length(head)
            self._chunk_remaining = _AT_SIZE_LINE
            self._framing_bytes = 0
            if not self.responses or head.status >= 200:
                self.head = head
                self.memory_size = len(block) + HEADER_FIELD_BYTES * len(headers)
                return True

    def _take_head(self) -> bytes | None:
        """Remove the next head and the empty line behind it from the buffer; returns None if it is incomplete."""
        if not self.responses and not self._scanned:
            self.buffer.skip_repeated(b"\r\n")  # empty lines before a request are allowed
        end = self._find(b"\r\n\r\n")
        if end < 0 and len(self.buffer) < HEADER_LIMIT:
            return None
        if end < 0 or end > HEADER_LIMIT:
            raise BadMessageError(431, "the header is too large")
        return self.buffer.take(end + 4)[:-4]

    def _find(self, pattern: bytes) -> int:
        """Return the offset of `pattern` in the buffer, or -1; bytes that were searched before are skipped."""
        end = self.buffer.find(pattern, self._scanned)
        self._scanned = max(len(self.buffer) - len(pattern) + 1, 0) if end < 0 else 0
        return end

    def _body_length(self, head: Message) -> int:
        lengths = head.header_values(b"content-length")
        codings = head.header_values(b"transfer-encoding")
        if codings:
            if lengths or [coding.lower() for coding in codings] != [b"chunked"]:
                raise BadMessageError(400, "the framing is ambiguous")
            return _CHUNKED
        if len(lengths) > 1 or lengths and not _LENGTH.match(lengths[0]):
            raise BadMessageError(400, "the length is malformed or given twice")
        if self.responses and (head.status in (204, 304) or head.status < 200):
            return 0
        if not lengths:
            return _UNTIL_CLOSE if self.responses else 0
        length = int(lengths[0])
        if length > self.body_limit:
            raise BadMessageError(413, "the body is too large")
        return length

    def _take_line(self) -> bytes | None:
        end = self._find(b"\r\n")
        if end > HEADER_LIMIT or end < 0 and len(self.buffer) > HEADER_LIMIT:
            raise BadMessageError(400, "a line among the chunks is too long")
        if end < 0:
            return None
        self._count_framing(end + 2)
        return self.buffer.take(end + 2)[:-2]

    def _count_framing(self, count: int) -> None:
        self._framing_bytes += count
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise BadMessageError(400, "the chunks are too many for their data")

    def _read_chunks(self) -> Message | None:
        while True:
            if self._chunk_remaining >= 0 and not self._take_chunk():
                return None
            if self._chunk_remaining == _AT_SIZE_LINE:
                self._take_complete_chunks()
            line = self._take_line()
            if line is None:
                return None
            if self._chunk_remaining == _AT_SIZE_LINE:
                self._start_chunk(line)
            elif not line:
                return self._complete(bytes(self._chunks))
            # Other lines are trailers, which are ignored.

    def _take_complete_chunks(self) -> None:
        """Remove the complete chunks with which the buffer begins, in one pass.

        It stops before a chunk that is incomplete, malformed or too large, and before the last one.
        """
        data = self.buffer.peek()
        parts = []
        position = 0
        space = self.body_limit - len(self._chunks)
        while True:
            line_end = data.find(b"\r\n", position, position + HEADER_LIMIT)
            match = _CHUNK_SIZE_LINE.match(data, position, line_end) if line_end >= 0 else None
            if match is None:
                break
            size = int(match[1], 16)
            end = line_end + 2 + size
            space -= size
            if not size or space < 0 or data[end : end + 2] != b"\r\n":
                break
            parts.append(data[line_end + 2 : end])
            position = end + 2
        if position:
            chunks = b"".join(parts)
            self._count_framing(position - len(chunks))
            self._chunks += chunks
            self.memory_size += len(chunks)
            self.buffer.skip(position)
            self._scanned = 0

    def _take_chunk(self) -> bool:
        if len(self.buffer) < self._chunk_remaining:
            return False
        chunk = self.buffer.take(self._chunk_remaining)
        if chunk[-2:] != b"\r\n":
            raise BadMessageError(400, "a chunk does not end where it says")
        self._chunks += chunk[:-2]
        self.memory_size += len(chunk)
        self._chunk_remaining = _AT_SIZE_LINE
        return True

    def _start_chunk(self, line: bytes) -> None:
        match = _CHUNK_SIZE_LINE.match(line)
        if not match:
            raise BadMessageError(400, "a chunk's size is malformed")
        size = int(match.group(1), 16)
        if len(self._chunks) + size > self.body_limit:
            raise BadMessageError(413, "the body is too large")
        self._chunk_remaining = size + 2 if size else _IN_TRAILERS


def _parse_headers(lines: list[bytes]) -> Headers:
    headers: Headers = []
    for line in lines:
        match = _HEADER_LINE.match(line)
        if match is None:
            raise BadMessageError(400, "a header line is malformed")
        headers.append((match[1].lower(), match[2].strip(b" \t")))
    return headers


def _parse_status_line(line: bytes, headers: Headers) -> Message:
    parts = line.split(b" ", 2)
    if len(parts) < 2 or not _SUPPORTED_VERSION.match(parts[0]) or not _STATUS.match(parts[1]):
        raise BadMessageError(502, "the status line is malformed")
    return Message(b"", b"", int(parts[1]), headers, parts[0])


def _parse_request_line(line: bytes, headers: Headers) -> Message:
    parts = line.split(b" ", 2)
    if len(parts) != 3 or not _TOKEN.match(parts[0]) or not _TARGET.match(parts[1]):
        raise BadMessageError(400, "the request line is malformed")
    method, target, version = parts
    if not _SUPPORTED_VERSION.match(version):
        raise BadMessageError(505 if _ANY_VERSION.match(version) else 400, "the version is not HTTP/1.1")
    return Message(method, target, 0, headers, version)


def _request_line(head: Message) -> str:
    return f"{head.method.decode('latin-1')} {head.target.decode('latin-1')} HTTP/1.1"


def serialize_request(message: Message) -> bytes:
    """Serialize a received request with its body, as another parser could receive it."""
    framing = (b"content-length", b"transfer-encoding")
    headers = [(name, value) for name, value in _headers_with_close(message) if name not in framing]
    return _serialize(_request_line(message), headers, message.body)


def _headers_with_close(head: Message) -> Headers:
    """Return the headers with `Connection: close` if the message ends its connection.

    HTTP/1.0 requests do so by default, but they are serialized as HTTP/1.1, which needs the header.
    """
    return [*head.headers, (b"connection", b"close")] if head.close else head.headers


def _serialize(first_line: str, headers: Iterable[tuple[bytes, bytes]], body: bytes | None) -> bytes:
    lines = [first_line.encode("latin-1")] + [name + b": " + value for name, value in headers]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")


def response(status: int, body: bytes = b"", headers: Iterable[tuple[bytes, bytes]] = (), close: bool = False) -> bytes:
    """Serialize a response; `close` adds the header that ends the connection."""
    close_header = [(b"Connection", b"close")] if close else []
    framed_body = None if status in (100, 204) else body
    return _serialize(f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}", [*headers, *close_header], framed_body)


def request(
    method: bytes, target: bytes, host: str, headers: Iterable[tuple[bytes, bytes]] = (), body: bytes | None = None
) -> bytes:
    """Serialize a request; without a `body` it has no Content-Length either."""
    first_line = f"{method.decode('latin-1')} {target.decode('latin-1')} HTTP/1.1"
    return _serialize(first_line, [(b"Host", host.encode("latin-1")), *headers], body)
