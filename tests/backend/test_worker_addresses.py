"""Workers whose address changes on the endpoint list."""

from tests.support.loopback import World, async_test, job, reply, serve, until
from tests.support.policy_driver import SEC

FULL = reply(503, b"", b"Not-Started: 1")


@async_test
async def test_connection_to_the_old_address_of_a_worker_is_not_reused():
    async with World(serve, serve) as w:
        await until(lambda: w.dispatcher.ready)
        w.dispatcher.decisions.workers["h1"].ejected_until = w.dispatcher.clock.now() + 60 * SEC
        assert (await w.ask(job("r1")))[0] == 200
        worker = w.dispatcher.backend.workers["h0"]
        ((connection, timer),) = worker.idle
        worker.idle = []
        timer.cancel()
        # The worker's address changes while the connection is in use.
        w.dispatcher.backend.set_address("h0", ("127.0.0.1", w.hosts[1].port))
        w.dispatcher.backend.pools.checkin(worker, connection)
        assert not worker.idle
        assert connection.closed
