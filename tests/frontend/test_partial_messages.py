"""Messages that arrive in pieces, on connections of clients, workers, discovery and operators."""

import asyncio

import pytest

from tests.support.loopback import World, async_test, id_of, job, read_message, reply


async def write_in_pieces(writer, data, size):
    for offset in range(0, len(data), size):
        writer.write(data[offset : offset + size])
        await asyncio.sleep(0)


@pytest.mark.parametrize("size", [1, 3, 17])
@async_test
async def test_messages_split_at_any_byte_are_read_on_every_kind_of_connection(size):
    async def accepts_and_reports(world, head, _body):
        async def report_events():
            for state in ("started", "done"):
                body = b'{"id":"%s","from":"h0","state":"%s","result":"made"}' % (id_of(head).encode(), state.encode())
                reader, writer = await world.connect()
                await write_in_pieces(
                    writer, b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body, size
                )
                assert b" 200 " in (await read_message(reader))[0]

        world.begin(report_events())
        return reply(202, b"", b"Server-Load: rps=1,inflight=2,x0=3")

    async with World(accepts_and_reports, ops=True) as w:
        for peer in (*w.hosts, w.discovery):
            peer.write_size = size
        reader, writer = await w.connect()
        chunked = (
            job("r2").replace(b"Content-Length: 1\r\n", b"Transfer-Encoding: chunked\r\n")[:-1] + b"1\r\nx\r\n0\r\n\r\n"
        )
        for text in (job("r1", body=b"hello"), chunked):
            await write_in_pieces(writer, text, size)
            assert (await read_message(reader))[1] == b"made"
        assert [body for _, body in w.hosts[0].received] == [b"hello", b"x"]
        assert w.dispatcher.endpoint_watch.version == 2
        reader, writer = await asyncio.open_connection("127.0.0.1", w.ops_port)
        await write_in_pieces(writer, b"GET /metrics HTTP/1.1\r\nA: b\r\n\r\n", size)
        assert b'"sends":2' in (await read_message(reader))[1]
