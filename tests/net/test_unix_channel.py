"""Framing of packets between processes, and the Unix channel that carries them with descriptors."""

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
    assert all(len(part) <= framing.MAX_PACKET_BYTES for part in parts)
    received = [reader.read(part) for part in parts]
    assert received[:-1] == [None] * (len(parts) - 1)
    assert received[-1] == ("word", {**head, "kind": "word"}, b"")


@pytest.mark.parametrize(
    "packet", [b"", b"{}\n", b"[]\n", b'{"kind":1}\n', b'{"kind":"x"}', b"\xff\n", b'{"kind":"part"}\n!']
)
def test_invalid_packets_are_rejected(packet):
    with pytest.raises(framing.BadPacketError):
        framing.Reader().read(packet)


@pytest.mark.parametrize("sends_after_close", [pytest.param(False, id="only receives"), pytest.param(True, id="sends")])
@async_test
async def test_last_messages_of_a_peer_are_received_after_it_has_closed(sends_after_close):
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    received, closed, (client, transferred) = [], [], socket.socketpair()
    channel = UnixChannel(
        ours, lambda kind, head, payload, fd: received.append(socket.socket(fileno=fd)), lambda: closed.append(1)
    )
    channel.send("held", {})  # the peer closes without reading this message
    for _ in "12":
        theirs.sendmsg(
            [framing.pack_single("client", {})],
            [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [transferred.fileno()]))],
        )
    theirs.close()
    if sends_after_close:
        channel.send("held", {})
        assert not channel.try_send("client", {}, b"", client.fileno())
        assert channel.busy
    await until(lambda: closed)
    for sock in received:
        sock.send(b"x")
    assert client.recv(9) == b"xx"
