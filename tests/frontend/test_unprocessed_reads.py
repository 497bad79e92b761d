"""Requests that have been read from the socket and not been parsed yet, while their connection may be ended."""

import asyncio
import contextlib
import socket

import pytest

from tests.support.loopback import World, async_test, id_of, job, reply, until

ITERATIONS = 200  # of the event loop; the request is read in one of the first


async def serve_with_repeated_calls(world, head, _body):
    """Script of a worker that repeats its call until it is answered, as new connections may be ended unread."""

    async def finish():
        for _ in range(10):
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await world.call_back(id_of(head), "done", world.name_of(head), result="made")
                return
            await asyncio.sleep(0.05)

    if not head.startswith(b"DELETE"):
        world.begin(finish())
    return reply(200 if head.startswith(b"DELETE") else 202)


def receive(sock):
    """Return what the dispatcher sends until it ends the connection."""
    data = b""
    while part := sock.recv(4096):
        data += part
    return data


@pytest.mark.parametrize("accepted_before", [True, False], ids=["resting connection", "connection in the backlog"])
@async_test
async def test_a_request_read_in_any_iteration_of_a_shutdown_gets_its_answer(accepted_before):
    """Guards against ending a connection whose request is read and not parsed yet: its client got no answer."""
    async with World(serve_with_repeated_calls) as world:
        await until(lambda: world.dispatcher.ready)
        frontend = world.dispatcher.frontend
        with socket.create_connection(("127.0.0.1", world.port)) as sock:
            sock.settimeout(5)
            if accepted_before:
                await until(lambda: frontend.connections)
                await asyncio.sleep(0.01)
            sock.sendall(job())
            for _ in range(ITERATIONS):
                frontend.end_connections()
                await asyncio.sleep(0)
            assert (await asyncio.to_thread(receive, sock)).startswith(b"HTTP/1.1 200 ")
