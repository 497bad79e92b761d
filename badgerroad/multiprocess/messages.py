"""The messages between a supervisor and its server processes, and between server processes.

`badgerroad.process_messages` describes the form that all messages have.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, ClassVar, Self

from badgerroad.process_messages import Head, JobEvent

if TYPE_CHECKING:
    from badgerroad.operator.schema import Operator

# Set in the environment of a server process: its number, the number of server processes, and the descriptor of its end
# of the channel to the supervisor, separated by slashes.
ENVIRONMENT_VARIABLE = "BADGERROAD_SERVER_PROCESS"


def _encode_operator(operator: Operator | None) -> dict[str, Any] | None:
    if operator is None:
        return None
    import msgspec

    encoded: dict[str, Any] = msgspec.to_builtins(operator)
    return encoded


def _decode_operator(operator: dict[str, Any] | None) -> Operator | None:
    """Return the operator's file of a message. Imports the modules for it only if there is one."""
    if operator is None:
        return None
    import msgspec

    from badgerroad.operator.schema import Operator

    return msgspec.convert(operator, Operator)


@dataclass(frozen=True, slots=True)
class Configuration:
    """Sent by the supervisor once before the server process has started, then at each reload."""

    kind: ClassVar[str] = "config"
    text: str  # text of the configuration file
    reloaded: bool  # after a reload, the file's `discovery` takes precedence over PROXY_DISCOVERY
    listen: str  # host:port
    operator: Operator | None  # the operator's file

    def to_head(self) -> Head:
        """See `Message`."""
        return {
            "text": self.text,
            "reread": self.reloaded,
            "listen": self.listen,
            "operator": _encode_operator(self.operator),
        }

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(head["text"], head["reread"], head["listen"], _decode_operator(head["operator"]))


@dataclass(frozen=True, slots=True)
class PeerChannel:
    """Sent by the supervisor with a descriptor: the channel to another server process."""

    kind: ClassVar[str] = "peer"
    number: int  # number of the other server process

    def to_head(self) -> Head:
        """See `Message`."""
        return {"number": self.number}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(int(head["number"]))


@dataclass(frozen=True, slots=True)
class PeersConnected:
    """Sent by the supervisor once the receiver has a channel to each running server process, so that it may listen."""

    kind: ClassVar[str] = "go"

    def to_head(self) -> Head:
        """See `Message`."""
        return {}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls()


@dataclass(frozen=True, slots=True)
class Started:
    """Sent by a server process that runs but does not listen yet."""

    kind: ClassVar[str] = "here"
    pid: int

    def to_head(self) -> Head:
        """See `Message`."""
        return {"pid": self.pid}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(head["pid"])


@dataclass(frozen=True, slots=True)
class Listening:
    """Sent by a server process once it listens."""

    kind: ClassVar[str] = "listens"

    def to_head(self) -> Head:
        """See `Message`."""
        return {}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls()


@dataclass(frozen=True, slots=True)
class Metrics:
    """Sent by a server process periodically: its metrics and whether it accepts clients; also serves as a heartbeat."""

    kind: ClassVar[str] = "figures"
    metrics: dict[str, Any]
    accepts_clients: bool

    def to_head(self) -> Head:
        """See `Message`."""
        return {"figures": self.metrics, "taking": self.accepts_clients}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(head["figures"], bool(head["taking"]))


@dataclass(frozen=True, slots=True)
class PeerLost:
    """Sent by a server process whose channel to another one has closed."""

    kind: ClassVar[str] = "cut off"
    number: int  # number of the other server process

    def to_head(self) -> Head:
        """See `Message`."""
        return {"number": self.number}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(int(head["number"]))


SupervisorMessage = Configuration | PeerChannel | PeersConnected
ServerProcessMessage = Started | Listening | Metrics | PeerLost

# The message types that each receiver accepts, by kind.
FROM_SUPERVISOR: Mapping[str, type[SupervisorMessage]] = {
    message_type.kind: message_type for message_type in (Configuration, PeerChannel, PeersConnected)
}
FROM_SERVER_PROCESS: Mapping[str, type[ServerProcessMessage]] = {
    message_type.kind: message_type for message_type in (Started, Listening, Metrics, PeerLost)
}
BETWEEN_SERVER_PROCESSES: Mapping[str, type[JobEvent]] = {JobEvent.kind: JobEvent}
