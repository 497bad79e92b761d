"""The types that enter the rules beside messages, and the actions that they return."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from badgerroad.fleet.messages import Message


class Randomness(Protocol):
    """The part of random.Random that the rules use; the caller seeds it."""

    def getrandbits(self, k: int, /) -> int:
        """An integer of `k` random bits."""

    def randint(self, a: int, b: int) -> int:
        """A random integer from `a` to `b`, both included."""


class Peer(NamedTuple):
    """The sender of a message, from the Hello of its connection."""

    name: str
    incarnation: int


class SendMessage(NamedTuple):
    """Send a message. `to`: a peer's name. The caller drops it if there is no connection."""

    to: str
    message: Message


class QuotaDecision(NamedTuple):
    """A request of a dispatcher may proceed.

    `over_quota`: it exceeds its team's quota, or no controller answered in time.
    """

    request: int
    over_quota: bool


Action = SendMessage | QuotaDecision
