"""Framing of the packets between processes of one dispatcher: a JSON head, a line feed, and a payload of bytes.

The head is JSON because the whole state of 200 workers takes about 30 KB and is written once, in a few milliseconds. A
compact encoding would save only a fraction of that and would be a second encoding to maintain. A packet that cannot be
decoded closes the channel.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from badgerroad.errors import BadgerroadError

# A packet must fit in the socket's buffer, which has 208 KiB by default.
MAX_PART_BYTES = 32 * 1024  # largest part of a head that is sent in several packets
MAX_PACKET_BYTES = 184 * 1024  # enough for a request's body, a client's full ring buffer, and a head
RECEIVE_BYTES = MAX_PACKET_BYTES + 64  # size of receive buffers; the excess detects packets that are too long
MAX_HEAD_BYTES = 16 * 1024 * 1024  # limit of all parts of a head together; the state of 10,000 workers takes about 2 MB

PART_KIND = "part"  # one part of a head that is too long for one packet; `more` is 0 in the last part


class BadPacketError(BadgerroadError):
    """The peer sent bytes that are not a valid packet, or an unexpected message."""

    code = "packet"
    remedy = "check that the versions of both processes are compatible"


class Packet(NamedTuple):
    """A received message."""

    kind: str
    head: dict[str, Any]  # all fields of the head, `kind` included
    payload: bytes


def pack_single(kind: str, head: dict[str, Any], payload: bytes = b"") -> bytes:
    """Return a message as one packet, regardless of its length."""
    return json.dumps({**head, "kind": kind}, separators=(",", ":")).encode() + b"\n" + payload


def pack(kind: str, head: dict[str, Any]) -> list[bytes]:
    """Return the packets of one message without a payload, in the order of sending; a long head is split into parts."""
    text = pack_single(kind, head)[:-1]
    if len(text) <= MAX_PART_BYTES:
        return [text + b"\n"]
    starts = range(0, len(text), MAX_PART_BYTES)
    return [
        b'{"kind":"%s","more":%d}\n' % (PART_KIND.encode(), start != starts[-1]) + text[start : start + MAX_PART_BYTES]
        for start in starts
    ]


class Reader:
    """Decodes packets and reassembles messages that were sent in parts."""

    def __init__(self) -> None:
        """Create a reader that has received no part of a message."""
        self._parts = bytearray()

    def read(self, packet: bytes) -> Packet | None:
        """Decode one packet and return its message, or None if parts are missing. Raises BadPacketError."""
        line, line_feed, payload = packet.partition(b"\n")
        head = self._decode_head(line)
        if not line_feed:
            raise BadPacketError("no line feed after the head")
        if head["kind"] != PART_KIND:
            return Packet(head["kind"], head, payload)
        self._parts += payload
        if len(self._parts) > MAX_HEAD_BYTES:
            raise BadPacketError(f"the parts of a head exceed {MAX_HEAD_BYTES} bytes")
        if head.get("more"):
            return None
        text = bytes(self._parts)
        self._parts = bytearray()
        head = self._decode_head(text)
        return Packet(head["kind"], head, b"")

    @staticmethod
    def _decode_head(text: bytes) -> dict[str, Any]:
        try:
            head = json.loads(text)
        except (ValueError, RecursionError) as error:
            raise BadPacketError(f"the head is not JSON: {error}") from error
        if not isinstance(head, dict) or not isinstance(head.get("kind"), str):
            raise BadPacketError("the head is not an object with a string `kind`")
        return head
