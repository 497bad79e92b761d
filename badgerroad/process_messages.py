"""Defines what all messages between processes of one dispatcher share: their form in a packet, and the job event.

`hot_restart.messages` and `multiprocess.messages` define the other messages. Each message is a class; `kind` is its
name in a packet. The names of a packet's fields appear only in `to_head` and `from_head`. `from_head` raises KeyError,
TypeError, ValueError or AttributeError for a packet that is not a valid message of the class; the channel is closed
then. Request ids are bytes here and latin-1 text in a packet.

Messages are dataclasses rather than msgspec structs because a dispatcher without an operator's file does not import
msgspec otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar, Protocol, Self

Head = dict[str, Any]


class Message(Protocol):
    """A message that can be sent and received."""

    kind: ClassVar[str]

    def to_head(self) -> Head:
        """Return the fields of the packet, in the order in which they are written."""

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """Return the message that a packet holds."""


def id_to_text(request_id: bytes) -> str:
    """Return a request id as text, the form that it has in a packet."""
    return request_id.decode("latin-1")


def id_from_text(text: str) -> bytes:
    """Return the request id for its text in a packet. Raises AttributeError for a value that is not text, and
    ValueError for text that is not an id."""
    return text.encode("latin-1")


@dataclass(frozen=True, slots=True)
class JobEvent:
    """A worker's event about an attempt that is unknown to the process which received it."""

    kind: ClassVar[str] = "call back"
    request_id: bytes
    worker: str
    state: str
    item: dict[str, Any]  # the event's JSON object as the worker sent it

    def to_head(self) -> Head:
        """See `Message`."""
        return {"id": id_to_text(self.request_id), "host": self.worker, "state": self.state, "item": self.item}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(id_from_text(head["id"]), head["host"], head["state"], head["item"])
