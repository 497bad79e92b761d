"""Several requests at once on one connection, and further ones later."""

import asyncio
import socket

import pytest

from tests.support.loopback import World, async_test, id_of, job, read_message, reply, until


async def echo(world, head, body):
    """Script of a worker whose result is the body of the request."""
    if head.startswith(b"DELETE"):
        return reply(200)
    world.begin(world.call_back(id_of(head), "done", world.name_of(head), result=body.decode()))
    return reply(202)


@pytest.mark.parametrize("at_once", [1, 2, 3, 4, 20])
@pytest.mark.parametrize("padding", [0, 3000], ids=["small", "large"])
@async_test
async def test_each_request_behind_others_on_a_connection_runs_once_and_gets_its_own_result(at_once, padding):
    """Guards against a served request that is read again, and runs again, in place of the next one on its connection."""
    async with World(echo) as world:
        reader, writer = await world.connect()
        numbers = list(range(at_once + 4))
        bodies = [b"%d" % number + b"x" * padding for number in numbers]
        requests = [job(f"r{number}", body=bodies[number]) for number in numbers]
        writer.write(b"".join(requests[:at_once]))
        for number in numbers:
            if number >= at_once:
                await asyncio.sleep(0.01)  # the dispatcher waits for bytes meanwhile
                writer.write(requests[number])
            assert (await read_message(reader))[1] == bodies[number]
        assert [body for _, body in world.hosts[0].received] == bodies


@async_test
async def test_a_client_that_does_not_read_its_responses_is_not_read_further():
    """Guards against responses that overflow the send buffer: the request had no answer, and the log had a traceback."""
    request, count = b"GET /-/ready HTTP/1.1\r\n\r\n", 15_000
    async with World(echo) as world:
        await until(lambda: world.dispatcher.ready)
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", world.port))
        reader, writer = await asyncio.open_connection(sock=sock)
        writer.transport.pause_reading()
        await until(lambda: world.dispatcher.frontend.connections)
        (connection,) = world.dispatcher.frontend.connections
        connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        writer.write(request * count)
        await until(lambda: connection.receive_buffer.full)
        assert len(connection.send_buffer) < 1024  # no more than the response that the socket has not taken
        writer.transport.resume_reading()
        for _ in range(count):
            assert (await read_message(reader))[0].startswith(b"HTTP/1.1 200 ")
        writer.close()
