"""Reuse of connections to workers, and workers that cannot be reached."""

from tests.support.loopback import World, async_test, job, serve


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
