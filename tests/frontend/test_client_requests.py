"""Requests of clients: disconnects, deadlines, duplicate IDs, pipelining and `Expect`."""

from tests.support.loopback import SETTINGS, World, accept_only, async_test, job, read_message, serve, until


@async_test
async def test_disconnected_client_has_no_pending_response():
    async with World(accept_only) as w:
        _, writer = await w.connect()
        writer.write(job())
        await until(lambda: w.hosts[0].received)
        writer.close()
        await until(lambda: not w.dispatcher.has_pending_responses)
        assert await w.call_back("r1", "done", result="x") == 200
        assert not w.dispatcher.open_requests


@async_test
async def test_client_timeout_is_limited_by_the_deadline_of_the_class():
    async with World(accept_only) as w:
        w.begin(w.ask(job("r1", timeout=3_000_000)))
        await until(lambda: w.hosts[0].received)
        (request,) = w.dispatcher.open_requests.values()
        assert request.forwarded.deadline - request.received_at == SETTINGS["requestClasses"][0]["deadlineUs"]


@async_test
async def test_request_with_the_id_of_an_open_one_is_rejected():
    async with World(accept_only) as w:
        w.begin(w.ask(job("r1")))
        await until(lambda: w.hosts[0].received)
        assert (await w.ask(job("r1")))[0] == 400
        assert len(w.dispatcher.open_requests) == 1


@async_test
async def test_pipelined_requests_are_answered_in_order():
    async with World(serve) as w:
        reader, writer = await w.connect()
        writer.write(job("r1") + job("r2") + b"GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
        heads = [(await read_message(reader))[0] for _ in range(3)]
        assert [int(h.split()[1]) for h in heads] == [200, 200, 200]
        assert await reader.read() == b""


@async_test
async def test_expect_header_gets_100_continue_before_the_body():
    async with World(serve) as w:
        reader, writer = await w.connect()
        head, _, body = job("r1", "preview", 5000, b"late", "Expect: 100-continue").partition(b"late")
        writer.write(head)
        assert (await read_message(reader))[0].startswith(b"HTTP/1.1 100 ")
        assert (await w.ask(b"late", (reader, writer)))[0] == 200
        assert w.hosts[0].received[0][1] == b"late"
