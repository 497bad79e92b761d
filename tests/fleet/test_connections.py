"""Framing and the fleet's connections on loopback: connecting, closing and counters."""

import asyncio
import contextlib
import socket
import time
from random import Random

import msgspec
import pytest
from fleet_processes import asynchronous, free_ports, until
from hypothesis import given
from hypothesis import strategies as st
from tornado.iostream import IOStream

from badgerroad.errors import ListenError
from badgerroad.fleet import connections as fleet_connections
from badgerroad.fleet import peer_connection
from badgerroad.fleet.errors import FrameError
from badgerroad.fleet.framing import LENGTH_BYTES, FrameReader, frame
from badgerroad.fleet.messages import MAX_MESSAGE_BYTES, VERSION, Claim, Hello, NotOwner, OwnerAnnouncement, encode
from tests.support import full_speed_peer


@given(st.lists(st.binary(max_size=40), max_size=8), st.data())
def test_frames_are_reassembled_for_any_split_of_the_stream(payloads, data):
    stream, reader, out = b"".join(frame(p) for p in payloads), FrameReader(), []
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        out += reader.feed(stream[:size])
        stream = stream[size:]
    assert out == payloads
    assert not reader.unfinished


def test_frame_above_the_size_limit_is_rejected_by_sender_and_receiver():
    with pytest.raises(FrameError):
        frame(bytes(MAX_MESSAGE_BYTES + 1))
    with pytest.raises(FrameError):
        FrameReader().feed((MAX_MESSAGE_BYTES + 1).to_bytes(LENGTH_BYTES, "big"))
    assert len(frame(bytes(MAX_MESSAGE_BYTES))) == MAX_MESSAGE_BYTES + LENGTH_BYTES


class Node:
    """The connections of one process, with the received events."""

    def __init__(self, name, role, addresses, incarnation=1):
        self.messages, self.losses = [], []
        hello = Hello(VERSION, name, "z", role, incarnation)
        self.connections = fleet_connections.Connections(hello, addresses, self, Random(1))

    def received(self, sender, message):
        self.messages.append((sender, message))

    def lost(self, name):
        self.losses.append(name)


class Network:
    """Nodes that share the addresses of the controllers. All are closed at the end."""

    def __init__(self, *controllers):
        self.addresses = {
            name: ("127.0.0.1", port) for name, port in zip(controllers, free_ports(len(controllers)), strict=False)
        }
        self.nodes = []

    def controller(self, name, incarnation=1):
        node = self.node(name, fleet_connections.ROLE_CONTROLLER, incarnation)
        node.connections.listen(self.addresses[name])
        node.connections.connect_controllers()
        return node

    def node(self, name, role=fleet_connections.ROLE_DISPATCHER, incarnation=1):
        self.nodes.append(Node(name, role, self.addresses, incarnation))
        return self.nodes[-1]

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        for node in self.nodes:
            node.connections.close()
        await asyncio.sleep(0)


async def read_to_end(reader):
    """Return all data until the other side closes or resets the connection."""
    data = b""
    with contextlib.suppress(ConnectionError):
        while piece := await asyncio.wait_for(reader.read(4096), 30):
            data += piece
    return data


ANNOUNCEMENT = OwnerAnnouncement((Claim(3, 7),))


@asynchronous
async def test_two_controllers_share_one_connection_in_both_directions():
    async with Network("a", "b") as network:
        b, a = network.controller("b"), network.controller("a")
        await until(lambda: a.connections.connected("b") and b.connections.connected("a"))
        a.connections.send("b", ANNOUNCEMENT)
        b.connections.send("a", NotOwner(3, 7))
        await until(lambda: a.messages and b.messages)
        assert b.messages == [(("a", 1), ANNOUNCEMENT)]
        assert a.messages == [(("b", 1), NotOwner(3, 7))]
        assert a.connections.traffic().messages_out == 2  # a Hello and one message
        assert a.connections.traffic().bytes_out == b.connections.traffic().bytes_in


@asynchronous
async def test_controllers_reconnect_after_one_was_stopped():
    async with Network("a", "b") as network:
        a, b = network.controller("a"), network.controller("b")
        await until(lambda: a.connections.connected("b"))
        b.connections.close()
        await until(lambda: a.losses)
        assert a.losses[0] == "b"
        assert not a.connections.connected("b")
        later = network.controller("b", incarnation=2)
        await until(lambda: a.connections.connected("b"))
        a.connections.send("b", ANNOUNCEMENT)
        await until(lambda: later.messages)
        assert later.messages[0][1] == ANNOUNCEMENT


@asynchronous
async def test_a_peer_that_sends_at_full_speed_does_not_hold_the_event_loop():
    """Guards against a read loop that never yields while its socket has data: the process did nothing else then."""
    hello = frame(encode(Hello(VERSION, "d", "z", fleet_connections.ROLE_DISPATCHER, 1)))
    async with Network("a") as network:
        a = network.controller("a")
        parameters = full_speed_peer.Parameters(
            hello.decode("latin-1"), frame(encode(ANNOUNCEMENT)).decode("latin-1"), network.addresses["a"][1]
        )
        longest, previous_at = 0.0, time.monotonic()
        async with full_speed_peer.running(parameters) as (peer, _):
            while peer.result is None:
                await asyncio.sleep(0.02)
                longest = max(longest, time.monotonic() - previous_at)
                previous_at = time.monotonic()
        assert a.messages
        assert longest < 1.0


@asynchronous
async def test_first_message_is_queued_until_connected_and_an_unreachable_peer_is_reported_lost():
    async with Network("a", "b") as network:
        a, dispatcher = network.controller("a"), network.node("d")
        dispatcher.connections.send("a", ANNOUNCEMENT)
        dispatcher.connections.send("b", ANNOUNCEMENT)
        await until(lambda: a.messages and dispatcher.losses)
        assert a.messages == [(("d", 1), ANNOUNCEMENT)]
        assert {*dispatcher.losses} == {"b"}
        assert dispatcher.connections.traffic().dropped >= 1
        a.connections.send("nobody", ANNOUNCEMENT)
        assert a.connections.traffic().dropped == 1


@pytest.mark.parametrize(
    ("role", "name", "reason"),
    [
        (fleet_connections.ROLE_CONTROLLER, "x", "unknown controller"),
        (fleet_connections.ROLE_DISPATCHER, "b", "dispatcher with a controller's name"),
        (fleet_connections.ROLE_CONTROLLER, "a", "name of the receiving process"),
    ],
)
def test_unacceptable_hello_closes_the_connection(role, name, reason):
    @asynchronous
    async def play():
        async with Network("a", "b") as network:
            a = network.controller("a")
            reader, writer = await asyncio.open_connection(*network.addresses["a"])
            writer.write(frame(encode(Hello(VERSION, name, "z", role, 1))) + frame(encode(ANNOUNCEMENT)))
            await read_to_end(reader)
            assert a.connections.traffic().rejected == 1
            assert not a.messages
            assert not a.connections.connected(name)

    play()


@asynchronous
async def test_only_a_newer_incarnation_replaces_the_connection_of_its_name():
    async with Network("a") as network:
        a, new = network.controller("a"), network.node("d", incarnation=5)
        new.connections.connect("a")
        await until(lambda: a.connections.connected("d"))
        old = network.node("d", incarnation=4)
        old.connections.connect("a")
        await until(lambda: a.connections.traffic().rejected)
        new.connections.send("a", ANNOUNCEMENT)
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
        (frame(encode(ANNOUNCEMENT)), "rejected"),
        (frame(b""), "rejected"),
    ],
)
def test_invalid_first_bytes_close_the_connection_and_are_counted(data, counter):
    @asynchronous
    async def play():
        async with Network("a") as network:
            a = network.controller("a")
            reader, writer = await asyncio.open_connection(*network.addresses["a"])
            writer.write(data)
            await read_to_end(reader)
            assert getattr(a.connections.traffic(), counter) == 1
            assert not a.connections.names

    play()


@pytest.mark.parametrize("data", [b"", b"\0", frame(encode(ANNOUNCEMENT))[:-1]])
def test_peer_that_sends_no_complete_message_is_disconnected(data, monkeypatch):
    monkeypatch.setattr(peer_connection, "HELLO_TIMEOUT_S", 0.2)

    @asynchronous
    async def play():
        async with Network("a") as network:
            a = network.controller("a")
            reader, writer = await asyncio.open_connection(*network.addresses["a"])
            writer.write(data)
            await read_to_end(reader)
            assert a.connections.traffic().silent == 1

    play()


@asynchronous
async def test_incomplete_message_after_the_hello_times_out():
    async with Network("a") as network:
        a = network.controller("a")
        reader, writer = await asyncio.open_connection(*network.addresses["a"])
        writer.write(
            frame(encode(Hello(VERSION, "d", "z", fleet_connections.ROLE_DISPATCHER, 1)))
            + frame(encode(ANNOUNCEMENT))[:-1]
        )
        await read_to_end(reader)
        assert a.connections.traffic().silent == 1
        assert a.losses == ["d"]
        assert not a.messages


@asynchronous
async def test_unknown_and_malformed_messages_are_counted_and_the_connection_stays_open():
    async with Network("a") as network:
        a = network.controller("a")
        _, writer = await asyncio.open_connection(*network.addresses["a"])
        hello = frame(encode(Hello(VERSION + 1, "d", "z", fleet_connections.ROLE_DISPATCHER, 1)))
        for payload in (msgspec.msgpack.encode([99, 1]), b"\xc1", b"", msgspec.msgpack.encode([9, -1, 0])):
            hello += frame(payload)
        writer.write(hello + frame(encode(ANNOUNCEMENT)))
        await until(lambda: a.messages)
        assert a.messages == [(("d", 1), ANNOUNCEMENT)]
        assert a.connections.traffic().unknown == 4
        writer.close()


@asynchronous
async def test_peer_that_does_not_read_is_disconnected():
    async with Network("a") as network:
        a = network.controller("a")
        reader, writer = await asyncio.open_connection(*network.addresses["a"], limit=1024)
        writer.write(frame(encode(Hello(VERSION, "d", "z", fleet_connections.ROLE_DISPATCHER, 1))))
        await until(lambda: a.connections.connected("d"))
        large = OwnerAnnouncement(tuple(Claim(1, 1 << 60) for _ in range(4096)))
        sent = 0
        while a.connections.connected("d"):
            a.connections.send("d", large)
            sent += len(frame(encode(large)))
            assert sent < 64 << 20  # more than the socket buffers and the limit of the write queue together
            await asyncio.sleep(0)
        assert a.connections.traffic().full == 1
        assert a.losses == ["d"]
        writer.close()


@asynchronous
async def test_connection_closed_before_its_first_byte_is_reported_closed_once():
    sock, other = socket.socketpair()
    other.close()
    stream, closed = IOStream(sock), []
    stream.close()
    hello = Hello(VERSION, "d", "z", fleet_connections.ROLE_DISPATCHER, 1)
    connection = peer_connection.PeerConnection(stream, hello, lambda *_: None, lambda *_: None, closed.append)
    await connection.run()
    assert closed == [connection]
    assert connection.traffic == peer_connection.Traffic()


@asynchronous
async def test_listening_on_an_address_in_use_raises_listen_error():
    async with Network("a", "b") as network:
        network.controller("a")
        with pytest.raises(ListenError):
            network.node("b", fleet_connections.ROLE_CONTROLLER).connections.listen(network.addresses["a"])
