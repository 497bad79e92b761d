"""Requests whose bytes arrive while their connection passes to the new process of an upgrade.

Guards against bytes that are read by the old process and not passed on: the request was never answered, or its body
reached a worker with a part missing.
"""

import asyncio
import fcntl
import socket
import struct
import termios

import pytest

from badgerroad.hot_restart.process import IDLE_PASSING_TIME_US, PASSING_TIME_US
from badgerroad.net.connection import Connection
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.memory_budget import MemoryBudget
from badgerroad.net.unix_channel import UnixChannel
from tests.hot_restart.test_takeover import with_second_process
from tests.support.loopback import World, async_test, id_of, job, read_message, reply, serve, until

CLIENTS = 30
BODY = b"".join(b"%07d " % number for number in range(7_500))  # 60,000 bytes, each part of them different
CHUNK_SIZE = 60
CHUNKED_BODY = BODY[:9_000]


def whole(request_id):
    """Return the pieces in which a client writes a request with a length."""
    return [job(request_id, body=BODY)]


def chunked(request_id):
    """Return the pieces in which a client writes a request in chunks."""
    head = job(request_id, body=b"").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    chunks = [CHUNKED_BODY[start : start + CHUNK_SIZE] for start in range(0, len(CHUNKED_BODY), CHUNK_SIZE)]
    return [head, *(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks), b"0\r\n\r\n"]


@pytest.mark.parametrize(("pieces_of", "body"), [(whole, BODY), (chunked, CHUNKED_BODY)], ids=["whole", "chunked"])
@async_test
async def test_requests_that_arrive_during_an_upgrade_are_answered_and_reach_workers_unchanged(
    pieces_of, body, tmp_path
):
    answered, stopping = [], asyncio.Event()

    async def send_requests(w, number):
        reader, writer = await w.connect()
        count = 0
        while not stopping.is_set():
            count += 1
            for piece in pieces_of(f"r{number}.{count}"):
                writer.write(piece)
                await asyncio.sleep(0)
            head, _ = await asyncio.wait_for(read_message(reader), 5)
            assert head.startswith(b"HTTP/1.1 200 ")
            answered.append(count)

    async with World(serve, serve, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        clients = [w.begin(send_requests(w, number)) for number in range(CLIENTS)]
        await until(lambda: len(answered) > CLIENTS)
        async with with_second_process(w, tmp_path) as (first, second):
            first.terminate()
            before = len(answered)
            await until(lambda: len(answered) > before + CLIENTS or any(client.done() for client in clients))
            stopping.set()
            await asyncio.gather(*clients)
        received = [(id_of(head), body) for peer in w.hosts for head, body in peer.received if head.startswith(b"POST")]
        assert len(received) == len(answered)
        assert {body for _, body in received} == {body}


@async_test
async def test_each_byte_that_has_left_the_socket_is_in_the_parser_in_any_iteration_of_the_event_loop():
    peer, sock = socket.socketpair()
    connection = Connection(sock, DescriptorBudget(100), MemoryBudget(1_000_000), responses=False)
    connection.start_reading()
    for _ in range(3):
        await asyncio.sleep(0)  # the connection waits for bytes
    sent = b"POST / HTTP/1.1\r\nContent-Length: 60010\r\n\r\n" + BODY
    peer.setblocking(False)
    assert peer.send(sent) == len(sent)
    start = sent[: -len(BODY)].lower()
    kept = b""
    while len(kept) < len(sent):
        unread = struct.unpack("i", fcntl.ioctl(sock, termios.FIONREAD, b"\0" * 4))[0]
        kept = connection.parser.unconsumed_bytes()
        assert kept.lower().startswith(start) or not kept
        assert len(kept) + unread == len(sent)
        await asyncio.sleep(0)
    peer.close()


@async_test
async def test_a_client_with_two_large_requests_behind_an_open_one_does_not_end_the_channel(tmp_path):
    """Guards against an upgrade that loses the requests of all clients: the new process rejected one client's bytes."""

    async def hold_the_first(world, head, body):
        return reply(202) if b"first" in head else await serve(world, head, body)

    async with World(hold_the_first, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        reader, writer = await w.connect()
        writer.write(job("first") + job("second", body=BODY) + job("third", body=BODY))
        (connection,) = await until_connected(w)
        await until(lambda: connection.pipelined_request is not None and len(connection.receive_buffer) >= len(BODY))
        async with with_second_process(w, tmp_path):
            await until(lambda: not w.dispatcher.frontend.connections)
            assert not w.dispatcher.frontend.accepting
            assert await w.call_back("first", "done", result="made") == 200
            for _ in range(3):
                head, body = await asyncio.wait_for(read_message(reader), 5)
                assert (head.split()[1], body) == (b"200", b"made")
        received = [(id_of(head), body) for head, body in w.hosts[0].received if head.startswith(b"POST")]
        assert received == [("first", b"x"), ("second", BODY), ("third", BODY)]


async def until_connected(w):
    await until(lambda: w.dispatcher.frontend.connections and next(iter(w.dispatcher.frontend.connections)).exchange)
    return w.dispatcher.frontend.connections


@pytest.mark.parametrize("part", ["unread", "read in part"])
@async_test
async def test_a_process_does_not_end_before_a_connection_with_a_request_is_passed(part, tmp_path, monkeypatch):
    """Guards against requests that are lost at the end of the old process because it had no time to pass them on."""
    try_send = UnixChannel.try_send
    may_pass = False
    monkeypatch.setattr(UnixChannel, "try_send", lambda *arguments: may_pass and try_send(*arguments))
    async with World(serve, ops=True) as w:
        await until(lambda: w.dispatcher.ready)
        idle, (reader, writer) = await w.connect(), await w.connect()
        await until(lambda: len(w.dispatcher.frontend.connections) == 2)
        request = job("r1", body=BODY)
        async with with_second_process(w, tmp_path) as (first, _):
            first.terminate()
            assert not first.may_end(IDLE_PASSING_TIME_US - 1)
            assert first.may_end(IDLE_PASSING_TIME_US)  # only idle connections are left
            if part == "unread":
                for connection in w.dispatcher.frontend.connections:
                    connection.stream.ignore_reads()
            writer.write(request[: len(request) // 2])
            await until(lambda: w.dispatcher.frontend.has_requests_to_pass)
            assert not first.may_end(IDLE_PASSING_TIME_US)
            assert first.may_end(PASSING_TIME_US)
            may_pass = True
            writer.write(request[len(request) // 2 :])
            assert (await asyncio.wait_for(read_message(reader), 5))[0].startswith(b"HTTP/1.1 200 ")
            await until(lambda: first.may_end(0))
        idle[1].close()
