"""The messages between the controllers and dispatchers of a fleet: typed, bounded, and encoded as MessagePack.

Counters (`granted`, `used`, `returned`, `carried`, `wanted`) are whole requests. `granted`, `used` and `returned` are
totals since the session began and never decrease, so a lost, repeated or late message does no harm. Durations end in
`_ms`. A message is an array that begins with its tag; fields appended by newer versions are ignored.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal, get_args

import msgspec

from badgerroad.errors import BadgerroadError

VERSION = 1
MAX_NAME = 64  # maximum number of bytes of a name
MAX_LIST = 4096  # maximum number of entries of a list
MAX_MESSAGE_BYTES = 1 << 20  # maximum size of one encoded message
UNKNOWN_SESSION = 0  # session number in a QuotaRequest before the owner has sent the number of this term's session

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME)]
OptionalName = Annotated[str, msgspec.Meta(max_length=MAX_NAME)]
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
Shard = Annotated[int, msgspec.Meta(ge=0, lt=MAX_LIST)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=600_000)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class Claim(msgspec.Struct, array_like=True, frozen=True):
    """A shard and a term of its ownership."""

    shard: Shard
    term: Number


class Holding(msgspec.Struct, array_like=True, frozen=True):
    """A voter's state of one shard.

    `holder`: the owner, or empty if no grant is valid. `term`: the highest term known. `left_ms`: remaining time of the
    grant.
    """

    shard: Shard
    term: Number
    holder: OptionalName
    incarnation: Number
    left_ms: Milliseconds


class QuotaNeed(msgspec.Struct, array_like=True, frozen=True):
    """A zone's account of one team.

    `wanted`: the stock that the zone requests. `carried`: unused requests at the end of its session of an earlier term;
    sent only in requests that open a session.
    """

    team: Name
    used: Number
    returned: Number
    wanted: Number
    carried: Number = 0


class QuotaCredit(msgspec.Struct, array_like=True, frozen=True):
    """An owner's account of one team.

    `rate`: the quota in requests per second. `known`: false if the team has no quota.
    """

    team: Name
    granted: Number
    rate: Rate
    known: bool = True


class Usage(msgspec.Struct, array_like=True, frozen=True):
    """The used and returned totals of one team."""

    team: Name
    used: Number
    returned: Number


class LeaseNeed(msgspec.Struct, array_like=True, frozen=True):
    """A dispatcher's account of one team. `wanted`: the number of requests to lease."""

    team: Name
    used: Number
    returned: Number
    wanted: Number


class LeaseCredit(msgspec.Struct, array_like=True, frozen=True):
    """A zone controller's account of one team at one dispatcher.

    `valid_ms`: duration of the lease, counted from the sending of the request that is answered; 0 extends no lease.
    `known`: false if the team has no quota.
    """

    team: Name
    granted: Number
    valid_ms: Milliseconds
    known: bool = True


Claims = Annotated[tuple[Claim, ...], msgspec.Meta(max_length=MAX_LIST)]
Holdings = Annotated[tuple[Holding, ...], msgspec.Meta(max_length=MAX_LIST)]
Shards = Annotated[tuple[Shard, ...], msgspec.Meta(max_length=MAX_LIST)]
QuotaNeeds = Annotated[tuple[QuotaNeed, ...], msgspec.Meta(max_length=MAX_LIST)]
QuotaCredits = Annotated[tuple[QuotaCredit, ...], msgspec.Meta(max_length=MAX_LIST)]
Usages = Annotated[tuple[Usage, ...], msgspec.Meta(max_length=MAX_LIST)]
LeaseNeeds = Annotated[tuple[LeaseNeed, ...], msgspec.Meta(max_length=MAX_LIST)]
LeaseCredits = Annotated[tuple[LeaseCredit, ...], msgspec.Meta(max_length=MAX_LIST)]


class Hello(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """The first message on each connection, in both directions. `incarnation` rises with each start of the process."""

    version: Number
    name: Name
    zone: Name
    role: Literal["controller", "dispatcher"]
    incarnation: Number


class VoteRequest(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """A candidate requests ownership of `claims`. Without claims it requests only the voter's table."""

    sequence: Number
    claims: Claims
    duration_ms: Milliseconds


class VoteReply(msgspec.Struct, array_like=True, frozen=True, tag=3):
    """A voter's reply. `granted`: the granted shards of the request. `table`: the voter's state of all shards."""

    sequence: Number
    granted: Shards
    table: Holdings


class VoteRelease(msgspec.Struct, array_like=True, frozen=True, tag=4):
    """Frees the voter's grants to the sender for exactly the shards and terms in `claims`."""

    claims: Claims


class OwnerAnnouncement(msgspec.Struct, array_like=True, frozen=True, tag=5):
    """Lists all shards that the sender owns.

    Sent to all controllers at each change and every renew_ms, so that they know which controllers are alive. `leaving`:
    the sender shuts down and claims no more shards.
    """

    claims: Claims
    leaving: bool = False


class QuotaRequest(msgspec.Struct, array_like=True, frozen=True, tag=6):
    """A zone controller requests credit from an owner.

    `acknowledged`: the highest QuotaGrant.number received in this session. `stamp`: the newest stamp received from this
    owner, 0 if none. `lending`: the owner may mint the zone's reserve until `stamp` + lending_ms. `needs`: teams that
    changed since the last answered request.
    """

    shard: Shard
    term: Number
    session: Number
    sequence: Number
    acknowledged: Number
    stamp: Number
    lending: bool
    needs: QuotaNeeds


class QuotaGrant(msgspec.Struct, array_like=True, frozen=True, tag=7):
    """An owner's reply to a QuotaRequest, or (with `valid_ms` 0) an unprompted grant of more credit.

    `sequence`: the highest request received. `number`: rises with each grant of the session. `stamp`: the owner's
    clock, opaque to the receiver. `credits`: teams that changed since the last acknowledged grant.
    """

    shard: Shard
    term: Number
    session: Number
    sequence: Number
    number: Number
    stamp: Number
    valid_ms: Milliseconds
    credits: QuotaCredits


class QuotaReturn(msgspec.Struct, array_like=True, frozen=True, tag=8):
    """The final totals of a zone controller that shuts down. Returned credit may be granted to others at once."""

    shard: Shard
    term: Number
    session: Number
    usages: Usages


class NotOwner(msgspec.Struct, array_like=True, frozen=True, tag=9):
    """The reply of a controller that does not own the shard in the term of the request."""

    shard: Shard
    term: Number


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True, tag=10):
    """A dispatcher requests leases from a controller.

    `controller`: the incarnation of that controller to which the totals belong, 0 if none is known. Totals of another
    incarnation are ignored.
    """

    sequence: Number
    needs: LeaseNeeds
    controller: Number = 0


class LeaseGrant(msgspec.Struct, array_like=True, frozen=True, tag=11):
    """A zone controller's reply to a dispatcher, with one credit for each team of the request."""

    sequence: Number
    credits: LeaseCredits


class LeaseReturn(msgspec.Struct, array_like=True, frozen=True, tag=12):
    """The totals of a dispatcher that requests no more credit. `controller` has the same meaning as in LeaseRequest."""

    usages: Usages
    controller: Number = 0


Message = (
    Hello
    | VoteRequest
    | VoteReply
    | VoteRelease
    | OwnerAnnouncement
    | QuotaRequest
    | QuotaGrant
    | QuotaReturn
    | NotOwner
    | LeaseRequest
    | LeaseGrant
    | LeaseReturn
)
TAGS = frozenset(kind.__struct_config__.tag for kind in get_args(Message))


class Unknown(msgspec.Struct, frozen=True):
    """A message whose tag this version does not know."""

    tag: int


class MalformedMessageError(BadgerroadError, ValueError):
    """The bytes are not a valid message of this protocol."""

    code = "fleet-message"
    remedy = "check which version the sender runs; the message was skipped"


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the message as bytes, without framing."""
    return _encoder.encode(message)


def decode(data: bytes) -> Message | Unknown:
    """Decode the message in `data` (without framing). Raises MalformedMessageError."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise MalformedMessageError(f"message of {len(data)} bytes; at most {MAX_MESSAGE_BYTES} are allowed")
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        return _unknown(data, error)


def _unknown(data: bytes, cause: Exception) -> Unknown:
    """Return the message of unknown kind in `data`. Raises MalformedMessageError if the tag is known or missing."""
    try:
        fields: Any = msgspec.msgpack.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError):
        raise MalformedMessageError(str(cause)) from cause
    if isinstance(fields, list) and fields and type(fields[0]) is int and fields[0] not in TAGS:
        return Unknown(fields[0])
    raise MalformedMessageError(str(cause)) from cause
