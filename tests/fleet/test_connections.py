"""Framing, and connections of the fleet on loopback: who connects, what is closed, what is counted."""

import asyncio
import contextlib
import socket
from random import Random

import msgspec
import pytest
from fleet_processes import asynchronous, free_ports, until
from hypothesis import given
from hypothesis import strategies as st
from tornado.iostream import IOStream

from badgerroad.errors import ListenError
from badgerroad.fleet import connections as c
from badgerroad.fleet import peer_connection
from badgerroad.fleet.errors import FrameError
from badgerroad.fleet.framing import LENGTH_BYTES, FrameReader, frame
from badgerroad.fleet.messages import MAX_MESSAGE_BYTES, VERSION, Claim, Hello, NotOwner, OwnerAnnouncement, encode


@given(st.lists(st.binary(max_size=40), max_size=8), st.data())
def test_frames_come_out_whole_however_the_stream_is_cut(payloads, data):
    stream, reader, out = b"".join(frame(p) for p in payloads), FrameReader(), []
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        out += reader.feed(stream[:size])
        stream = stream[size:]
    assert out == payloads
    assert not reader.unfinished


def test_a_frame_over_the_limit_is_refused_by_both_sides():
    with pytest.raises(FrameError):
        frame(bytes(MAX_MESSAGE_BYTES + 1))
    with pytest.raises(FrameError):
        FrameReader().feed((MAX_MESSAGE_BYTES + 1).to_bytes(LENGTH_BYTES, "big"))
    assert len(frame(bytes(MAX_MESSAGE_BYTES))) == MAX_MESSAGE_BYTES + LENGTH_BYTES


class Node:
    """One process's connections, and what they have told."""

    def __init__(self, name, role, addresses, incarnation=1):
        self.messages, self.losses = [], []
        hello = Hello(VERSION, name, "z", role, incarnation)
        self.connections = c.Connections(hello, addresses, self, Random(1))

    def received(self, sender, message):
        self.messages.append((sender, message))

    def lost(self, name):
        self.losses.append(name)


class Network:
    """Nodes with the addresses of controllers; all are closed at the end."""

    def __init__(self, *controllers):
        self.addresses = {
            name: ("127.0.0.1", port) for name, port in zip(controllers, free_ports(len(controllers)), strict=False)
        }
        self.nodes = []

    def controller(self, name, incarnation=1):
        node = self.node(name, c.ROLE_CONTROLLER, incarnation)
        node.connections.listen(self.addresses[name])
        node.connections.connect_controllers()
        return node

    def node(self, name, role=c.ROLE_DISPATCHER, incarnation=1):
        self.nodes.append(Node(name, role, self.addresses, incarnation))
        return self.nodes[-1]

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for node in self.nodes:
            node.connections.close()
        await asyncio.sleep(0)


async def hears(reader):
    """All until the other side ends the connection, or resets it."""
    data = b""
    with contextlib.suppress(ConnectionError):
        while piece := await asyncio.wait_for(reader.read(4096), 30):
            data += piece
    return data


A = OwnerAnnouncement((Claim(3, 7),))


@asynchronous
async def test_a_pair_of_controllers_has_one_connection_and_both_send_on_it():
    async with Network("a", "b") as network:
        b, a = network.controller("b"), network.controller("a")
        await until(lambda: a.connections.connected("b") and b.connections.connected("a"))
        a.connections.send("b", A)
        b.connections.send("a", NotOwner(3, 7))
        await until(lambda: a.messages and b.messages)
        assert b.messages == [(("a", 1), A)]
        assert a.messages == [(("b", 1), NotOwner(3, 7))]
        assert a.connections.traffic().messages_out == 2  # a Hello and one message
        assert a.connections.traffic().bytes_out == b.connections.traffic().bytes_in


@asynchronous
async def test_controllers_connect_again_after_one_was_gone():
    async with Network("a", "b") as network:
        a, b = network.controller("a"), network.controller("b")
        await until(lambda: a.connections.connected("b"))
        b.connections.close()
        await until(lambda: a.losses)
        assert a.losses[0] == "b"
        assert not a.connections.connected("b")
        later = network.controller("b", incarnation=2)
        await until(lambda: a.connections.connected("b"))
        a.connections.send("b", A)
        await until(lambda: later.messages)
        assert later.messages[0][1] == A


@asynchronous
async def test_a_dispatchers_first_message_is_queued_for_the_connection_and_one_to_an_unreachable_peer_is_reported_lost():
    async with Network("a", "b") as network:
        a, dispatcher = network.controller("a"), network.node("d")
        dispatcher.connections.send("a", A)
        dispatcher.connections.send("b", A)
        await until(lambda: a.messages and dispatcher.losses)
        assert a.messages == [(("d", 1), A)]
        assert {*dispatcher.losses} == {"b"}
        assert dispatcher.connections.traffic().dropped >= 1
        a.connections.send("nobody", A)
        assert a.connections.traffic().dropped == 1


@pytest.mark.parametrize(
    ("role", "name", "why"),
    [
        (c.ROLE_CONTROLLER, "x", "a stranger"),
        (c.ROLE_DISPATCHER, "b", "a dispatcher with a controller's name"),
        (c.ROLE_CONTROLLER, "a", "its own name"),
    ],
)
def test_a_hello_that_does_not_fit_ends_the_connection(role, name, why):
    @asynchronous
    async def play():
        async with Network("a", "b") as network:
            a = network.controller("a")
            reader, writer = await asyncio.open_connection(*network.addresses["a"])
            writer.write(frame(encode(Hello(VERSION, name, "z", role, 1))) + frame(encode(A)))
            await hears(reader)
            assert a.connections.traffic().rejected == 1
            assert not a.messages
            assert not a.connections.connected(name)

    play()


@asynchronous
async def test_an_older_process_does_not_push_out_a_newer_one_of_its_name_and_a_newer_one_does():
    async with Network("a") as network:
        a, new = network.controller("a"), network.node("d", incarnation=5)
        new.connections.connect("a")
        await until(lambda: a.connections.connected("d"))
        old = network.node("d", incarnation=4)
        old.connections.connect("a")
        await until(lambda: a.connections.traffic().rejected)
        new.connections.send("a", A)
        await until(lambda: a.messages)
        assert a.messages[0][0] == ("d", 5)
        assert not a.losses
        network.node("d", incarnation=6).connections.connect("a")
        await until(lambda: a.losses == ["d"])


@pytest.mark.parametrize(
    ("data", "counter"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", "broken"),
        (b"\xff" * 64, "broken"),
        (frame(b"\xc1 not MessagePack"), "rejected"),
        (frame(encode(A)), "rejected"),
        (frame(b""), "rejected"),
    ],
)
def test_bytes_that_are_no_hello_end_the_connection_and_are_counted(data, counter):
    @asynchronous
    async def play():
        async with Network("a") as network:
            a = network.controller("a")
            reader, writer = await asyncio.open_connection(*network.addresses["a"])
            writer.write(data)
            await hears(reader)
            assert getattr(a.connections.traffic(), counter) == 1
            assert not a.connections.names

    play()


@pytest.mark.parametrize("data", [b"", b"\0", frame(encode(A))[:-1]])
def test_a_peer_that_sends_nothing_or_half_a_message_is_disconnected(data, monkeypatch):
    monkeypatch.setattr(peer_connection, "HELLO_TIMEOUT_S", 0.2)

    @asynchronous
    async def play():
        async with Network("a") as network:
            a = network.controller("a")
            reader, writer = await asyncio.open_connection(*network.addresses["a"])
            writer.write(data)
            await hears(reader)
            assert a.connections.traffic().silent == 1

    play()


@asynchronous
async def test_after_the_hello_an_incomplete_message_times_out():
    async with Network("a") as network:
        a = network.controller("a")
        reader, writer = await asyncio.open_connection(*network.addresses["a"])
        writer.write(frame(encode(Hello(VERSION, "d", "z", c.ROLE_DISPATCHER, 1))) + frame(encode(A))[:-1])
        await hears(reader)
        assert a.connections.traffic().silent == 1
        assert a.losses == ["d"]
        assert not a.messages


@asynchronous
async def test_unknown_and_malformed_messages_are_counted_and_the_connection_stays_open():
    async with Network("a") as network:
        a = network.controller("a")
        _, writer = await asyncio.open_connection(*network.addresses["a"])
        hello = frame(encode(Hello(VERSION + 1, "d", "z", c.ROLE_DISPATCHER, 1)))
        for payload in (msgspec.msgpack.encode([99, 1]), b"\xc1", b"", msgspec.msgpack.encode([9, -1, 0])):
            hello += frame(payload)
        writer.write(hello + frame(encode(A)))
        await until(lambda: a.messages)
        assert a.messages == [(("d", 1), A)]
        assert a.connections.traffic().unknown == 4
        writer.close()


@asynchronous
async def test_a_peer_that_does_not_read_is_closed():
    async with Network("a") as network:
        a = network.controller("a")
        reader, writer = await asyncio.open_connection(*network.addresses["a"], limit=1024)
        writer.write(frame(encode(Hello(VERSION, "d", "z", c.ROLE_DISPATCHER, 1))))
        await until(lambda: a.connections.connected("d"))
        large = OwnerAnnouncement(tuple(Claim(1, 1 << 60) for _ in range(4096)))
        sent = 0
        while a.connections.connected("d"):
            a.connections.send("d", large)
            sent += len(frame(encode(large)))
            assert sent < 64 << 20  # what the sockets themselves hold, and a limit
            await asyncio.sleep(0)
        assert a.connections.traffic().full == 1
        assert a.losses == ["d"]
        writer.close()


@asynchronous
async def test_a_connection_that_has_closed_before_its_first_byte_ends_once_and_quietly():
    sock, other = socket.socketpair()
    other.close()
    stream, closed = IOStream(sock), []
    stream.close()
    hello = Hello(VERSION, "d", "z", c.ROLE_DISPATCHER, 1)
    connection = peer_connection.PeerConnection(stream, hello, lambda *_: None, lambda *_: None, closed.append)
    await connection.run()
    assert closed == [connection]
    assert connection.traffic == peer_connection.Traffic()


@asynchronous
async def test_an_address_that_is_taken_is_a_typed_error():
    async with Network("a", "b") as network:
        network.controller("a")
        with pytest.raises(ListenError):
            network.node("b", c.ROLE_CONTROLLER).connections.listen(network.addresses["a"])
