"""The packets between processes of one dispatcher: a JSON head, a line feed, and a payload of bytes.

JSON, as the whole state of 200 workers is some 30 KB of it, written once in a few milliseconds; a compact encoding
would save a fraction of that and be a second one to maintain. A packet that cannot be read closes the channel.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from badgerroad.errors import BadgerroadError

# A packet has to fit the socket's buffer, 208 KiB by default.
PART_BYTES = 32 * 1024  # of a head that is sent in parts
MAX_PACKET_BYTES = 184 * 1024  # a request's body, a client's full ring buffer, and a head
RECEIVE_BYTES = MAX_PACKET_BYTES + 64  # to receive: a packet that is too long is noticed
MAX_HEAD_BYTES = 16 * 1024 * 1024  # in parts; 10,000 workers are some 2 MB

PART_KIND = "part"  # of a head too long for one packet; `more` is 0 in the last part


class BadPacketError(BadgerroadError):
    """The peer sent bytes that are no packet, or a message that is not expected."""

    code = "packet"
    remedy = "see whether both processes are of versions that can follow each other"


class Packet(NamedTuple):
    """A message as it is received."""

    kind: str
    head: dict[str, Any]  # `kind` included
    payload: bytes


def one(kind: str, head: dict[str, Any], payload: bytes = b"") -> bytes:
    """A message as one packet, however long."""
    return json.dumps({**head, "kind": kind}, separators=(",", ":")).encode() + b"\n" + payload


def pack(kind: str, head: dict[str, Any]) -> list[bytes]:
    """The packets of one message without a payload, in order."""
    text = one(kind, head)[:-1]
    if len(text) <= PART_BYTES:
        return [text + b"\n"]
    starts = range(0, len(text), PART_BYTES)
    return [
        b'{"kind":"%s","more":%d}\n' % (PART_KIND.encode(), start != starts[-1]) + text[start : start + PART_BYTES]
        for start in starts
    ]


class Reader:
    """Packets in, messages out."""

    def __init__(self) -> None:
        """No part of a message has been received yet."""
        self._parts = bytearray()

    def read(self, packet: bytes) -> Packet | None:
        """One message, or None if more parts of it are to come. Raises BadPacketError."""
        line, line_feed, payload = packet.partition(b"\n")
        head = self._head(line)
        if not line_feed:
            raise BadPacketError("no end of the head")
        if head["kind"] != PART_KIND:
            return Packet(head["kind"], head, payload)
        self._parts += payload
        if len(self._parts) > MAX_HEAD_BYTES:
            raise BadPacketError("too many parts")
        if head.get("more"):
            return None
        text = bytes(self._parts)
        self._parts = bytearray()
        head = self._head(text)
        return Packet(head["kind"], head, b"")

    @staticmethod
    def _head(text: bytes) -> dict[str, Any]:
        try:
            head = json.loads(text)
        except (ValueError, RecursionError) as error:
            raise BadPacketError(f"not JSON: {error}") from error
        if not isinstance(head, dict) or not isinstance(head.get("kind"), str):
            raise BadPacketError("no kind")
        return head
