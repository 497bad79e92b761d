"""Input types of the rules other than messages, and the actions that the rules return."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from badgerroad.fleet.messages import Message


class Randomness(Protocol):
    """The subset of random.Random that the rules use. The caller supplies and seeds the generator."""

    def getrandbits(self, k: int, /) -> int:
        """Return an integer of `k` random bits."""

    def randint(self, a: int, b: int) -> int:
        """Return a random integer from `a` to `b`, both included."""


class Peer(NamedTuple):
    """The sender of a message, identified by the Hello of its connection."""

    name: str
    incarnation: int


class SendMessage(NamedTuple):
    """An action: send `message` to the peer named `to`.

    The caller drops the message if it has no connection to that peer.
    """

    to: str
    message: Message


class QuotaDecision(NamedTuple):
    """An action: let a dispatcher's request proceed, with its quota decision.

    `over_quota`: the request exceeds its team's quota, or no controller answered in time.
    """

    request: int
    over_quota: bool


Action = SendMessage | QuotaDecision
