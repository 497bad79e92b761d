"""The messages of a fleet: their encoding, and the input that is rejected."""

from __future__ import annotations

from contextlib import suppress

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerroad.fleet import messages
from badgerroad.fleet.messages import (
    Hello,
    LeaseNeed,
    LeaseRequest,
    MalformedMessageError,
    NotOwner,
    Unknown,
    decode,
    encode,
)

EACH_KIND = [
    Hello(1, "name", "zone", "controller", 5),
    messages.VoteRequest(1, (messages.Claim(2, 3),), 5000),
    messages.VoteReply(1, (2,), (messages.Holding(2, 3, "name", 5, 4000),)),
    messages.VoteRelease((messages.Claim(2, 3),)),
    messages.OwnerAnnouncement((messages.Claim(2, 3),), True),
    messages.QuotaRequest(1, 2, 3, 4, 5, 6, True, (messages.QuotaNeed("team", 1, 2, 3, 4),)),
    messages.QuotaGrant(1, 2, 3, 4, 5, 6, 3000, (messages.QuotaCredit("team", 1, 2.5, False),)),
    messages.QuotaReturn(1, 2, 3, (messages.Usage("team", 1, 2),)),
    NotOwner(1, 2),
    LeaseRequest(1, (LeaseNeed("team", 1, 2, 3),), 9),
    messages.LeaseGrant(1, (messages.LeaseCredit("team", 1, 2000, False),)),
    messages.LeaseReturn((messages.Usage("team", 1, 2),), 9),
]


@pytest.mark.parametrize("message", EACH_KIND, ids=lambda message: type(message).__name__)
def test_each_message_kind_round_trips(message: messages.Message) -> None:
    assert decode(encode(message)) == message


def test_examples_cover_each_message_kind() -> None:
    assert {message.__struct_config__.tag for message in EACH_KIND} == messages.TAGS


def test_message_of_an_unknown_kind_decodes_as_unknown() -> None:
    assert decode(msgspec.msgpack.encode([77, "anything", {}])) == Unknown(77)


@pytest.mark.parametrize("message", EACH_KIND, ids=lambda message: type(message).__name__)
def test_fields_appended_by_a_newer_version_are_ignored(message: messages.Message) -> None:
    fields = msgspec.msgpack.decode(encode(message))
    assert decode(msgspec.msgpack.encode([*fields, "new", 1])) == message


@pytest.mark.parametrize(
    "fields",
    [
        [9, 1],
        [9, -1, 2],
        [9, 1, 1 << 63],
        [9, "1", 2],
        [10, 1, [["x" * 65, 0, 0, 0]]],
        [10, 1, [["", 0, 0, 0]]],
        [10, 1, [["x", 0, 0, 0]] * 4097],
        [1, 1, "name", "zone", "voter", 5],
        [7, 1, 2, 3, 4, 5, 6, 3000, [["team", 1, -1.0]]],
        [7, 1, 2, 3, 4, 5, 6, 3000, [["team", 1, float("nan")]]],
        {"type": 1},
        [],
        None,
        ["nine", 1, 2],
        [True, 1, 2],
    ],
)
def test_missing_or_out_of_bounds_fields_are_malformed(fields: object) -> None:
    with pytest.raises(MalformedMessageError):
        decode(msgspec.msgpack.encode(fields))


def test_too_deeply_nested_array_is_malformed() -> None:
    with pytest.raises(MalformedMessageError):
        decode(b"\x91" * 100_000)


def test_message_above_the_size_limit_is_malformed() -> None:
    with pytest.raises(MalformedMessageError, match="at most"):
        decode(b"\x00" * (messages.MAX_MESSAGE_BYTES + 1))


@given(st.binary(max_size=200))
def test_random_bytes_decode_or_raise_only_malformed_message_errors(data: bytes) -> None:
    error = None
    message = None
    try:
        message = decode(data)
    except MalformedMessageError as malformed:
        error = malformed
    if error is not None:
        assert error.code == "fleet-message"
    else:
        assert isinstance(message, Unknown) or decode(encode(message)) == message


@given(st.sampled_from(EACH_KIND), st.data())
def test_message_with_one_changed_byte_raises_only_malformed_message_errors(
    message: messages.Message, data: st.DataObject
) -> None:
    changed = bytearray(encode(message))
    changed[data.draw(st.integers(0, len(changed) - 1))] = data.draw(st.integers(0, 255))
    with suppress(MalformedMessageError):
        decode(bytes(changed))
