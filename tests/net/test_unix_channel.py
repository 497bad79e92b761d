"""Packets between processes and the Unix socket that carries them with descriptors."""

import array
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerroad.net import framing
from badgerroad.net.unix_channel import UnixChannel
from tests.support.loopback import async_test, until


@given(st.dictionaries(st.text(max_size=5), st.text(max_size=40_000), max_size=4))
def test_a_long_head_is_sent_in_parts_and_received_complete(head):
    reader, parts = framing.Reader(), framing.pack("word", head)
    assert all(len(p) <= framing.MAX_PACKET_BYTES for p in parts)
    received = [reader.read(p) for p in parts]
    assert received[:-1] == [None] * (len(parts) - 1)
    assert received[-1] == ("word", {**head, "kind": "word"}, b"")


@pytest.mark.parametrize(
    "packet", [b"", b"{}\n", b"[]\n", b'{"kind":1}\n', b'{"kind":"x"}', b"\xff\n", b'{"kind":"part"}\n!']
)
def test_invalid_bytes_are_rejected(packet):
    with pytest.raises(framing.BadPacketError):
        framing.Reader().read(packet)


@pytest.mark.parametrize("sends", [pytest.param(False, id="only receives"), pytest.param(True, id="sends")])
@async_test
async def test_what_the_peer_sent_last_is_received_after_it_has_closed(sends):
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    received, lost, (client, passed) = [], [], socket.socketpair()
    channel = UnixChannel(
        ours, lambda kind, head, payload, fd: received.append(socket.socket(fileno=fd)), lambda: lost.append(1)
    )
    channel.send("held", {})  # it ends with this unread
    for _ in "12":
        theirs.sendmsg(
            [framing.pack_single("client", {})], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [passed.fileno()]))]
        )
    theirs.close()
    if sends:
        channel.send("held", {})
        assert not channel.try_send("client", {}, b"", client.fileno())
        assert channel.busy
    await until(lambda: lost)
    for sock in received:
        sock.send(b"x")
    assert client.recv(9) == b"xx"
