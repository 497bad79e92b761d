"""What messages between processes of one dispatcher have in common: their form in a packet, and job events.

`hot_restart.messages` and `multiprocess.messages` have the messages themselves. Each class is one message; `kind` is
its name in the packet. Its `to_head` and `from_head` are the only places where the names of the packet's fields appear.
`from_head` raises KeyError, TypeError, ValueError or AttributeError on a packet that is no such message; the channel
closes then. Request ids are bytes here and latin-1 text in a packet.

Dataclasses rather than msgspec structs: nothing else of a dispatcher without an operator's file imports msgspec.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar, Protocol, Self

Head = dict[str, Any]


class Message(Protocol):
    """What can be sent and received."""

    kind: ClassVar[str]

    def to_head(self) -> Head:
        """The fields of the packet, in the order in which they are written."""

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """The message of a packet."""


def id_to_text(request_id: bytes) -> str:
    """A request id as a packet holds it."""
    return request_id.decode("latin-1")


def id_from_text(text: str) -> bytes:
    """And back. Raises AttributeError on what is no text, ValueError on what is no id."""
    return text.encode("latin-1")


@dataclass(frozen=True, slots=True)
class JobEvent:
    """A worker's event about an attempt that is not known where it arrived."""

    kind: ClassVar[str] = "call back"
    request_id: bytes
    worker: str
    state: str
    item: dict[str, Any]  # the event's object as the worker sent it

    def to_head(self) -> Head:
        """See `Message`."""
        return {"id": id_to_text(self.request_id), "host": self.worker, "state": self.state, "item": self.item}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(id_from_text(head["id"]), head["host"], head["state"], head["item"])
