"""Several requests at once on one connection, and further ones later."""

import asyncio

import pytest

from tests.support.loopback import World, async_test, id_of, job, read_message, reply


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
