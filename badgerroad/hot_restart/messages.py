"""The messages between the two processes of a hot restart.

`badgerroad.process_messages` describes the form that all messages have.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, ClassVar, Self

from badgerroad.net.framing import BadPacketError
from badgerroad.process_messages import Head, JobEvent, id_from_text, id_to_text


@dataclass(frozen=True, slots=True)
class Hello:
    """Sent by the successor: its dispatcher's identity and the version of its messages."""

    kind: ClassVar[str] = "hello"
    version: int
    name: str
    listen: list[Any]  # host and port
    reads_lists: bool = False  # it understands `ReceivedList`; earlier releases do not

    def to_head(self) -> Head:
        """See `Message`."""
        head = {"version": self.version, "name": self.name, "listen": self.listen}
        return {**head, "lists": True} if self.reads_lists else head

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(head["version"], head["name"], head["listen"], bool(head.get("lists")))


@dataclass(frozen=True, slots=True)
class Offer:
    """Sent by the predecessor, with the listener.

    A successor that cannot read the fields serves all the same, with the endpoint list of its own configuration. So
    `from_head` does not check them.
    """

    kind: ClassVar[str] = "offer"
    version: int
    endpoint_list: Any  # endpoint list in the format of a discovery server
    zones: Any  # names of the zones, by index
    machine_types: Any  # names of the machine types, by index
    descriptors_in_use: Any
    reads_lists: bool = False  # as in `Hello`

    def to_head(self) -> Head:
        """See `Message`."""
        head = {
            "version": self.version,
            "known": self.endpoint_list,
            "zones": self.zones,
            "kinds": self.machine_types,
            "held": self.descriptors_in_use,
        }
        return {**head, "lists": True} if self.reads_lists else head

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`. Only the version is required; other fields that are missing become None."""
        return cls(
            head["version"],
            head.get("known"),
            head.get("zones"),
            head.get("kinds"),
            head.get("held"),
            bool(head.get("lists")),
        )


@dataclass(frozen=True, slots=True)
class ReceivedList:
    """Sent by either process when its endpoint list has changed, as both may send attempts."""

    kind: ClassVar[str] = "targets"
    discovery: tuple[str, int]  # the address that the list came from
    endpoint_list: Any  # the complete list in the format of a discovery server

    def to_head(self) -> Head:
        """See `Message`."""
        return {"discovery": list(self.discovery), "known": self.endpoint_list}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        host, port = head["discovery"]
        return cls((str(host), int(port)), head["known"])


@dataclass(frozen=True, slots=True)
class Claim:
    """Sent by a process that is prepared to accept new requests, to ask for them."""

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
    """Sent by a process that has stopped accepting, so that the receiver accepts new requests from now on."""

    kind: ClassVar[str] = "yours"
    state: dict[str, Any] | None  # state learned by the dispatch policy, as `load_balancing.state` saves it
    attempts: list[Any]  # attempts in flight, as `load_balancing.state` lists them
    open_requests: list[bytes]  # ids of the open requests

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
    """Sent by a successor that terminates, to ask the predecessor to claim the new requests again."""

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
    """Passes a client's connection to the receiver.

    The payload is the body of the connection's open request, followed by the bytes read but not yet parsed.
    """

    kind: ClassVar[str] = "client"
    connection: Head  # the connection's state, as the frontend describes it
    request: dict[str, Any] | None  # the open request, as `hot_restart.request_transfer` describes it
    body_length: int  # length of the open request's body in bytes
    # Number of job events that the sender has received from the receiver; 0 in messages of earlier releases.
    job_events_handled: int = 0

    def to_head(self) -> Head:
        """See `Message`."""
        head = {**self.connection, "job": self.request, "body": self.body_length}
        return {**head, "handled": self.job_events_handled} if self.job_events_handled else head

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        connection = {name: value for name, value in head.items() if name not in ("job", "body", "handled", "kind")}
        return cls(connection, head["job"], head["body"], int(head.get("handled", 0)))


@dataclass(frozen=True, slots=True)
class WorkerConnection:
    """Passes to the receiver an idle connection that leads to a worker."""

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
    """Reports that an attempt of the sender is being sent to a worker."""

    kind: ClassVar[str] = "sent"
    attempt: str  # a key that is unique among the processes of a dispatcher
    worker: str
    slots: float
    long: bool
    work: float  # expected work, in microseconds

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
    """Reports that a worker has started to process an attempt of the sender."""

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
    """Reports that an attempt of the sender has ended, or has moved to another process with its request."""

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
    """Reports that an open request has ended, so that its id may be used again."""

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
    """Sent by a successor that has yielded to a third process, or (`superseded` false) accepts new requests again."""

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
class MemoryInUse:
    """The memory of the sender: what its messages take, and its resident memory."""

    message_bytes: int
    resident_bytes: int


@dataclass(frozen=True, slots=True)
class ResourcesInUse:
    """Reports what the sender uses of the limits that both processes share; also serves as its heartbeat."""

    kind: ClassVar[str] = "held"
    descriptors: int
    memory: MemoryInUse | None = None  # older versions do not report it

    def to_head(self) -> Head:
        """See `Message`."""
        memory = self.memory
        head: Head = {"held": self.descriptors}
        return head if memory is None else {**head, "messages": memory.message_bytes, "resident": memory.resident_bytes}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        descriptors = int(head["held"])
        if "messages" not in head:
            return cls(descriptors)
        return cls(descriptors, MemoryInUse(int(head["messages"]), int(head["resident"])))


AnyMessage = (
    Hello
    | Offer
    | ReceivedList
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
    | ResourcesInUse
)
_TYPES_BY_KIND: Mapping[str, type[AnyMessage]] = {
    message_type.kind: message_type
    for message_type in (
        Hello,
        Offer,
        ReceivedList,
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
        ResourcesInUse,
    )
}


def decode(kind: str, head: Head) -> AnyMessage:
    """Return the message in a packet's head.

    Raises KeyError, TypeError, ValueError, AttributeError or BadPacketError.
    """
    message_type = _TYPES_BY_KIND.get(kind)
    if message_type is None:
        raise BadPacketError(f"unknown kind of message: {kind}")
    return message_type.from_head(head)
