"""The packets between processes of one dispatcher: a JSON head, a line feed, and bytes passed on untouched.

JSON, as the whole state of 200 workers is some 30 KB of it, written once in a few milliseconds; a compact encoding
would save a fraction of that and cost a second one to keep right. A packet that cannot be read ends the link.
"""

from __future__ import annotations

import json
from typing import Any

from badgerroad.errors import BadgerroadError

# A packet has to fit the socket's buffer whole: 208 KiB by default.
PART = 32 * 1024  # bytes of one part of a long head
LONGEST = 184 * 1024  # a job's body, a client's whole ring, and a head

PART_OF = "part"  # of a head too long for one packet; the last has no more to follow


class BadPacket(BadgerroadError):
    """The other side speaks another language."""

    code = "packet"
    remedy = "see whether both processes are of versions that can follow each other"


def one(kind: str, head: dict[str, Any], payload: bytes = b"") -> bytes:
    """A message as one packet, however long."""
    return json.dumps({**head, "kind": kind}, separators=(",", ":")).encode() + b"\n" + payload


def pack(kind: str, head: dict[str, Any]) -> list[bytes]:
    """The packets of one message without a payload, in order."""
    text = one(kind, head)[:-1]
    if len(text) <= PART:
        return [text + b"\n"]
    parts = [text[at : at + PART] for at in range(0, len(text), PART)]
    return [
        b'{"kind":"%s","more":%d}\n' % (PART_OF.encode(), at < len(parts) - 1) + part for at, part in enumerate(parts)
    ]


class Reader:
    """Packets in, messages out."""

    LIMIT = 16 * 1024 * 1024  # of a head in parts: 10,000 workers are some 2 MB

    def __init__(self) -> None:
        self._parts = bytearray()

    def read(self, packet: bytes) -> tuple[str, dict[str, Any], bytes] | None:
        """One message, or None if more parts are to come. Raises BadPacket."""
        line, feed, payload = packet.partition(b"\n")
        head = self._head(line)
        if not feed:
            raise BadPacket("no end of the head")
        if head["kind"] != PART_OF:
            return head["kind"], head, payload
        self._parts += payload
        if len(self._parts) > self.LIMIT:
            raise BadPacket("too many parts")
        if head.get("more"):
            return None
        text, self._parts = bytes(self._parts), bytearray()
        head = self._head(text)
        return head["kind"], head, b""

    @staticmethod
    def _head(text: bytes) -> dict[str, Any]:
        try:
            head = json.loads(text)
        except (ValueError, RecursionError) as e:
            raise BadPacket(f"not JSON: {e}") from e
        if not isinstance(head, dict) or not isinstance(head.get("kind"), str):
            raise BadPacket("no kind")
        return head
