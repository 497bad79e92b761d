"""What goes into the rules beside messages, and what comes out of them."""

from __future__ import annotations

from typing import NamedTuple, Protocol, Union

from badgerroad.fleet.messages import Message


class Randomness(Protocol):
    """What the rules use of random.Random; the caller seeds it."""

    def getrandbits(self, k: int, /) -> int: ...

    def randint(self, a: int, b: int) -> int: ...


class Peer(NamedTuple):
    """Who sent a message, from the Hello of its connection."""

    name: str
    incarnation: int


class SendMessage(NamedTuple):
    """`to`: a peer's name. Dropped by the caller if there is no connection to it."""

    to: str
    message: Message


class QuotaDecision(NamedTuple):
    """A dispatcher's request may go on. `over_quota`: it is beyond its team's quota, or nobody could tell in time."""

    request: int
    over_quota: bool


Action = Union[SendMessage, QuotaDecision]
