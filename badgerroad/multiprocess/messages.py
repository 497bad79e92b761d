"""The messages between a supervisor and its server processes, and between server processes.

The form that all messages have is described in `badgerroad.process_messages`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, ClassVar, Self

from badgerroad.process_messages import Head, JobEvent

if TYPE_CHECKING:
    from badgerroad.operator.schema import Operator

# In a server process's environment: its number, how many there are, and the descriptor of its end of the channel.
ENVIRONMENT_VARIABLE = "BADGERROAD_SERVER_PROCESS"


def _encode_operator(operator: Operator | None) -> dict[str, Any] | None:
    if operator is None:
        return None
    import msgspec

    encoded: dict[str, Any] = msgspec.to_builtins(operator)
    return encoded


def _decode_operator(operator: dict[str, Any] | None) -> Operator | None:
    """Imports nothing of the operator's file where there is none."""
    if operator is None:
        return None
    import msgspec

    from badgerroad.operator.schema import Operator

    return msgspec.convert(operator, Operator)


@dataclass(frozen=True, slots=True)
class Configuration:
    """From the supervisor, once before the server process has started, then at each reload."""

    kind: ClassVar[str] = "config"
    text: str  # of the configuration file
    reloaded: bool  # then its `discovery` wins over the variable's
    listen: str
    operator: Operator | None

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
    """From the supervisor, with a channel to another server process."""

    kind: ClassVar[str] = "peer"
    number: int

    def to_head(self) -> Head:
        """See `Message`."""
        return {"number": self.number}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(int(head["number"]))


@dataclass(frozen=True, slots=True)
class PeersConnected:
    """From the supervisor: job events of all that run can reach the receiver now, so it may listen."""

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
    """From a server process: it runs, and does not listen yet."""

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
    """From a server process: it listens."""

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
    """From a server process: its metrics, and whether it accepts clients; also its heartbeat."""

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
    """From a server process: its channel to another one has closed."""

    kind: ClassVar[str] = "cut off"
    number: int

    def to_head(self) -> Head:
        """See `Message`."""
        return {"number": self.number}

    @classmethod
    def from_head(cls, head: Head) -> Self:
        """See `Message`."""
        return cls(int(head["number"]))


SupervisorMessage = Configuration | PeerChannel | PeersConnected
ServerProcessMessage = Started | Listening | Metrics | PeerLost

# What each receiver understands, by kind.
FROM_SUPERVISOR: Mapping[str, type[SupervisorMessage]] = {
    message_type.kind: message_type for message_type in (Configuration, PeerChannel, PeersConnected)
}
FROM_SERVER_PROCESS: Mapping[str, type[ServerProcessMessage]] = {
    message_type.kind: message_type for message_type in (Started, Listening, Metrics, PeerLost)
}
BETWEEN_SERVER_PROCESSES: Mapping[str, type[JobEvent]] = {JobEvent.kind: JobEvent}
