"""Reuse of connections to workers, and workers that cannot be reached."""

from tests.support.loopback import World, async_test, job, serve, until


@async_test
async def test_worker_connections_are_reused_unless_the_worker_has_closed_them():
    async with World(serve) as w:
        client = await w.connect()
        for n in range(3):
            assert (await w.ask(job(f"r{n}"), client))[0] == 200
        assert len(w.hosts[0].writers) == 1
        w.hosts[0].writers[0].close()
        assert (await w.ask(job("r9"), client))[0] == 200  # writing to the closed connection would cause a reset
        assert len(w.hosts[0].writers) == 2


@async_test
async def test_worker_that_refuses_connections_is_skipped():
    async with World(serve, serve) as w:
        w.hosts[0].server.close()
        assert [(await w.ask(job(f"r{n}")))[0] for n in range(4)] == [200] * 4
        assert not w.hosts[0].received


async def begin_another_response(w):
    """Let the worker send the first half of a response that no request has asked for, on its idle connection."""
    assert (await w.ask(job("r0")))[0] == 200
    await until(lambda: w.dispatcher.backend.workers["h0"].idle)
    ((connection, _),) = w.dispatcher.backend.workers["h0"].idle
    w.hosts[0].writers[-1].write(b"HTTP/1.1 503 X\r\nNot-Started: 1\r\n")
    await until(lambda: not connection.parser.idle)
    return connection


@async_test
async def test_a_connection_on_which_a_response_has_begun_unasked_is_not_reused():
    """Guards against a response that is read as that of the next attempt, which it may say never ran."""
    async with World(serve) as w:
        connection = await begin_another_response(w)
        assert (await w.ask(job("r1")))[0] == 200
        assert connection.closed
        assert len(w.hosts[0].writers) == 2


@async_test
async def test_a_connection_on_which_a_response_has_begun_unasked_is_not_passed_on():
    """Guards against the same in an upgrade: the new process would read the other half."""
    passed = []
    async with World(serve) as w:
        connection = await begin_another_response(w)
        w.dispatcher.backend.successor = lambda *arguments: bool(passed.append(arguments)) or True
        w.dispatcher.backend.pass_connections_on()
        assert not passed
        assert connection.closed
