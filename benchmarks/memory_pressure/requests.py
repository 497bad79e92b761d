"""Requests of clients that misbehave."""

from __future__ import annotations

BODY = b"x" * 63_000
CHUNK_BYTES = 1_000


def head(number: int, *lines: str, cls: str = "preview", timeout_ms: int = 7_500) -> bytes:
    """Return the head of a request, with `lines` as further header lines."""
    text = [
        f"POST /{cls}/{number} HTTP/1.1",
        "Host: app.svc",
        f"Request-Id: bad{number:012x}",
        f"Request-Class: {cls}",
        f"Request-Timeout-Ms: {timeout_ms}",
        *lines,
    ]
    return "\r\n".join(text).encode() + b"\r\n\r\n"


def in_chunks(body: bytes, size: int) -> bytes:
    """Return a body in chunks of `size` bytes, with the end of the body."""
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


def complete(number: int, cls: str = "preview") -> bytes:
    """Return a complete large request."""
    return head(number, f"Content-Length: {len(BODY)}", cls=cls) + BODY


def complete_in_chunks(number: int) -> bytes:
    """Return a complete large request in chunks."""
    return head(number, "Transfer-Encoding: chunked") + in_chunks(BODY, CHUNK_BYTES)
