"""Messages between the processes of a dispatcher are compatible with the version before the packages were renamed.

`benchmarks/record_compatibility.py` recorded the messages of that version under `data/`. The processes of a dispatcher
may run different versions, so each recorded message must be readable, and its content must be encoded as the same bytes.
"""

import json
from pathlib import Path

import pytest

from badgerroad.hot_restart import messages as hot_restart_messages
from badgerroad.multiprocess import messages as multiprocess_messages
from badgerroad.net import framing

DATA = Path(__file__).parent / "data"
HOT_RESTART_KINDS = {
    "hello",
    "offer",
    "take",
    "yours",
    "return",
    "client",
    "host",
    "call back",
    "sent",
    "started",
    "over",
    "ended",
    "passed on",
    "held",
}
MULTIPROCESS_KINDS = {"config", "peer", "go", "here", "listens", "figures", "cut off", "call back"}


def recorded(subsystem):
    paths = sorted((DATA / subsystem).glob("*.packet"))
    return [pytest.param(path.read_bytes(), id=f"{subsystem}-{path.stem}") for path in paths]


def kinds(subsystem):
    return {json.loads(path.read_bytes().split(b"\n")[0])["kind"] for path in (DATA / subsystem).glob("*.packet")}


@pytest.mark.parametrize(
    ("subsystem", "expected"),
    [
        pytest.param("hot_restart", HOT_RESTART_KINDS, id="hot_restart"),
        pytest.param("multiprocess", MULTIPROCESS_KINDS, id="multiprocess"),
    ],
)
def test_every_kind_of_message_is_recorded(subsystem, expected):
    assert kinds(subsystem) == expected


@pytest.mark.parametrize("packet", [*recorded("hot_restart"), *recorded("multiprocess")])
def test_a_recorded_packet_is_decoded_and_encoded_as_the_same_bytes(packet):
    kind, head, payload = framing.Reader().read(packet)
    content = {name: value for name, value in head.items() if name != "kind"}
    assert framing.pack_single(kind, content, payload) == packet
    if not payload:
        assert framing.pack(kind, content) == [packet]


@pytest.mark.parametrize("packet", recorded("hot_restart"))
def test_a_recorded_hot_restart_message_is_decoded_and_encoded_as_the_same_bytes(packet):
    kind, head, payload = framing.Reader().read(packet)
    message = hot_restart_messages.decode(kind, head)
    assert framing.pack_single(message.kind, message.to_head(), payload) == packet


MULTIPROCESS_MESSAGES = {
    **multiprocess_messages.FROM_SUPERVISOR,
    **multiprocess_messages.FROM_SERVER_PROCESS,
    **multiprocess_messages.BETWEEN_SERVER_PROCESSES,
}


@pytest.mark.parametrize("packet", recorded("multiprocess"))
def test_a_recorded_multiprocess_message_is_decoded_and_encoded_as_the_same_bytes(packet):
    kind, head, payload = framing.Reader().read(packet)
    message = MULTIPROCESS_MESSAGES[kind].from_head(head)
    assert framing.pack_single(message.kind, message.to_head(), payload) == packet


def test_a_long_head_is_split_into_the_same_parts_as_in_the_earlier_version():
    head = {"text": "x" * 70_000}
    encoded = json.dumps({**head, "kind": "config"}, separators=(",", ":")).encode()
    part = 32 * 1024
    assert framing.pack("config", head) == [
        b'{"kind":"part","more":1}\n' + encoded[:part],
        b'{"kind":"part","more":1}\n' + encoded[part : 2 * part],
        b'{"kind":"part","more":0}\n' + encoded[2 * part :],
    ]
