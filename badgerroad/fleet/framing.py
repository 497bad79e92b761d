"""Frames on a byte stream: a 4-byte big-endian length followed by the payload. No I/O."""

from __future__ import annotations

from badgerroad.fleet.errors import FrameError
from badgerroad.fleet.messages import MAX_MESSAGE_BYTES

LENGTH_BYTES = 4


def frame(payload: bytes) -> bytes:
    """Return the payload preceded by its length. Raises FrameError if it is longer than MAX_MESSAGE_BYTES."""
    if len(payload) > MAX_MESSAGE_BYTES:
        raise FrameError(f"a frame of {len(payload)} bytes; at most {MAX_MESSAGE_BYTES} are allowed")
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameReader:
    """Splits the bytes read from a stream into payloads. It buffers one incomplete frame."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()

    @property
    def unfinished(self) -> bool:
        """Whether an incomplete frame is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the payloads that `data` completes, in order of arrival.

        Raises FrameError at a length above MAX_MESSAGE_BYTES.
        """
        self._buffer += data
        payloads: list[bytes] = []
        start = 0
        while len(self._buffer) - start >= LENGTH_BYTES:
            body = start + LENGTH_BYTES
            length = int.from_bytes(self._buffer[start:body], "big")
            if length > MAX_MESSAGE_BYTES:
                raise FrameError(f"a frame of {length} bytes; at most {MAX_MESSAGE_BYTES} are allowed")
            if len(self._buffer) < body + length:
                break
            payloads.append(bytes(self._buffer[body : body + length]))
            start = body + length
        del self._buffer[:start]
        return payloads
