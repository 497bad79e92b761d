"""The messages between the two processes of an upgrade.

The form that all messages have is described in `badgerroad.process_messages`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, ClassVar, Self

from badgerroad.net.framing import BadPacketError
from badgerroad.process_messages import Head, JobEvent, id_from_text, id_to_text


@dataclass(frozen=True, slots=True)
class Hello:
    """From the successor: which dispatcher it is, and the version of its messages."""

    kind: ClassVar[str] = "hello"
    version: int
    name: str
    listen: list[Any]  # host and port

    def to_head(self) -> Head:
        """See `Message`."""
        return {"version": self.version, "name": self.name, "listen": self.listen}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(head["version"], head["name"], head["listen"])


@dataclass(frozen=True, slots=True)
class Offer:
    """From the predecessor, with the listener. A successor that cannot read it serves with what it knows by itself."""

    kind: ClassVar[str] = "offer"
    version: int
    endpoint_list: Any  # as a discovery server sends it
    zones: Any  # names in the order of their numbers
    machine_types: Any
    descriptors_in_use: Any

    def to_head(self) -> Head:
        """See `Message`."""
        return {
            "version": self.version,
            "known": self.endpoint_list,
            "zones": self.zones,
            "kinds": self.machine_types,
            "held": self.descriptors_in_use,
        }

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`. Only the version has to be there."""
        return cls(head["version"], head.get("known"), head.get("zones"), head.get("kinds"), head.get("held"))


@dataclass(frozen=True, slots=True)
class Claim:
    """The sender is prepared to accept new requests, and asks for them."""

    kind: ClassVar[str] = "take"

    def to_head(self) -> Head:
        """See `Message`."""
        return {}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls()


@dataclass(frozen=True, slots=True)
class Grant:
    """The sender has stopped accepting: new requests are the receiver's, with all that it needs for them."""

    kind: ClassVar[str] = "yours"
    state: dict[str, Any] | None  # of the decisions, as `load_balancing.state` saves it
    attempts: list[Any]  # in flight, as `load_balancing.state` lists them
    open_requests: list[bytes]

    def to_head(self) -> Head:
        """See `Message`."""
        open_requests = [id_to_text(request_id) for request_id in self.open_requests]
        return {"state": self.state, "attempts": self.attempts, "open": open_requests}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(head["state"], head["attempts"], [id_from_text(text) for text in head["open"]])


@dataclass(frozen=True, slots=True)
class Return:
    """The successor terminates and asks the predecessor to claim the new requests again."""

    kind: ClassVar[str] = "return"

    def to_head(self) -> Head:
        """See `Message`."""
        return {}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls()


@dataclass(frozen=True, slots=True)
class ClientConnection:
    """A client's connection. The payload is its open request's body, then the bytes read and not used yet."""

    kind: ClassVar[str] = "client"
    connection: Head  # as the frontend describes it
    request: dict[str, Any] | None  # the open request, as `hot_restart.request_transfer` describes it
    body_length: int

    def to_head(self) -> Head:
        """See `Message`."""
        return {**self.connection, "job": self.request, "body": self.body_length}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        connection = {name: value for name, value in head.items() if name not in ("job", "body", "kind")}
        return cls(connection, head["job"], head["body"])


@dataclass(frozen=True, slots=True)
class WorkerConnection:
    """An idle connection to a worker."""

    kind: ClassVar[str] = "host"
    worker: str
    address: tuple[str, int]
    idle_us: int

    def to_head(self) -> Head:
        """See `Message`."""
        return {"host": self.worker, "address": list(self.address), "idle": self.idle_us}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        host, port = head["address"][0], head["address"][1]
        return cls(str(head["host"]), (str(host), int(port)), int(head["idle"]))


@dataclass(frozen=True, slots=True)
class AttemptSent:
    """An attempt goes out. Its key is unique among the processes of a dispatcher."""

    kind: ClassVar[str] = "sent"
    attempt: str
    worker: str
    slots: float
    long: bool
    work: float

    def to_head(self) -> Head:
        """See `Message`."""
        return {
            "attempt": self.attempt,
            "host": self.worker,
            "slots": self.slots,
            "long": self.long,
            "work": self.work,
        }

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(head["attempt"], head["host"], float(head["slots"]), bool(head["long"]), float(head["work"]))


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """A worker has begun with an attempt."""

    kind: ClassVar[str] = "started"
    attempt: str

    def to_head(self) -> Head:
        """See `Message`."""
        return {"attempt": self.attempt}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(head["attempt"])


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended, or has moved to the receiver with its request."""

    kind: ClassVar[str] = "over"
    attempt: str

    def to_head(self) -> Head:
        """See `Message`."""
        return {"attempt": self.attempt}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(head["attempt"])


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """An open request has ended: its id is free again."""

    kind: ClassVar[str] = "ended"
    request_id: bytes

    def to_head(self) -> Head:
        """See `Message`."""
        return {"id": id_to_text(self.request_id)}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(id_from_text(head["id"]))


@dataclass(frozen=True, slots=True)
class Superseded:
    """The successor has yielded to a third process, or (`superseded` false) accepts new requests again."""

    kind: ClassVar[str] = "passed on"
    superseded: bool

    def to_head(self) -> Head:
        """See `Message`."""
        return {"on": self.superseded}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(head["on"])


@dataclass(frozen=True, slots=True)
class DescriptorsInUse:
    """How many descriptors the sender uses; also its heartbeat."""

    kind: ClassVar[str] = "held"
    descriptors: int

    def to_head(self) -> Head:
        """See `Message`."""
        return {"held": self.descriptors}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(int(head["held"]))


AnyMessage = (
    Hello
    | Offer
    | Claim
    | Grant
    | Return
    | ClientConnection
    | WorkerConnection
    | JobEvent
    | AttemptSent
    | AttemptStarted
    | AttemptEnded
    | RequestEnded
    | Superseded
    | DescriptorsInUse
)
_TYPES: Mapping[str, type[AnyMessage]] = {
    message_type.kind: message_type
    for message_type in (
        Hello,
        Offer,
        Claim,
        Grant,
        Return,
        ClientConnection,
        WorkerConnection,
        JobEvent,
        AttemptSent,
        AttemptStarted,
        AttemptEnded,
        RequestEnded,
        Superseded,
        DescriptorsInUse,
    )
}


def decode(kind: str, head: Head) -> AnyMessage:
    """The message in a packet's head. Raises KeyError, TypeError, ValueError, AttributeError or BadPacketError."""
    message_type = _TYPES.get(kind)
    if message_type is None:
        raise BadPacketError(f"no such kind of message: {kind}")
    return message_type.from_head(head)
