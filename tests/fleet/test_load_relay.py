"""The relay of the load benchmark, as a real process on loopback: complete frames in order, and scripted faults."""

import asyncio
import contextlib
import time

import msgspec

from benchmarks.fleet import children, relay

TIMEOUT_S = 20.0


def frame(payload):
    return len(payload).to_bytes(4, "big") + payload


async def read_frame(reader):
    return await reader.readexactly(int.from_bytes(await reader.readexactly(4), "big"))


NO_NOISE = relay.Noise()


class RelayLink:
    """A relay process with one link to a server that echoes each frame."""

    def __init__(self, folder, cuts=(), noise=NO_NOISE, delay_ms=0.0, seed="1"):
        self.folder, self.cuts, self.noise, self.delay_ms, self.seed = folder, cuts, noise, delay_ms, seed

    async def __aenter__(self):
        self.children = children.Children()
        self.server = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        link = relay.Link("dispatcher", "a", "b", "127.0.0.1", port, self.delay_ms)
        self.process = await self.children.start(["-m", "benchmarks.fleet.relay"], self.folder / "relay.log")
        script = relay.Script(self.seed, (link,), self.cuts, self.noise, marks=(0.0,))
        await children.send_line(self.process, msgspec.json.encode(script).decode())
        self.port = msgspec.json.decode(await children.read_line(self.process, TIMEOUT_S))[0]
        self.epoch = time.monotonic()
        await children.send_line(self.process, repr(self.epoch))
        return self

    async def __aexit__(self, *error):
        self.server.close()
        await self.children.end_all()

    async def answer(self, reader, writer):
        try:
            while True:
                writer.write(frame(await read_frame(reader)))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)


def played(folder, test, **options):
    async def play():
        async with RelayLink(folder, **options) as bench:
            await test(bench)

    asyncio.run(asyncio.wait_for(play(), TIMEOUT_S))


def test_frames_arrive_complete_and_in_order_for_any_split(tmp_path):
    async def test(bench):
        reader, writer = await bench.connect()
        payloads = [bytes([n]) * (n * 7) for n in range(1, 60)]
        stream = b"".join(map(frame, payloads))
        for start in range(0, len(stream), 13):
            writer.write(stream[start : start + 13])
            await writer.drain()
        assert [await read_frame(reader) for _ in payloads] == payloads

    played(tmp_path, test, noise=relay.Noise(late=0.3, late_ms=20))


def test_frame_takes_the_delay_of_its_link_each_way(tmp_path):
    async def test(bench):
        reader, writer = await bench.connect()
        began = time.monotonic()
        writer.write(frame(b"x"))
        await read_frame(reader)
        assert time.monotonic() - began >= 0.1

    played(tmp_path, test, delay_ms=50.0)


def test_first_frame_is_never_duplicated_and_later_ones_may_be(tmp_path):
    async def test(bench):
        reader, writer = await bench.connect()
        for payload in (b"hello", b"one", b"end"):
            writer.write(frame(payload))
        got = [await read_frame(reader) for _ in range(9)]
        assert got == [b"hello"] + [b"one"] * 4 + [b"end"] * 4

    played(tmp_path, test, noise=relay.Noise(twice=1.0))


def test_dropped_frame_closes_its_connection(tmp_path):
    async def test(bench):
        reader, writer = await bench.connect()
        writer.write(frame(b"hello"))
        assert await read_frame(reader) == b"hello"
        writer.write(frame(b"one"))
        with contextlib.suppress(ConnectionError):
            await reader.read()  # returns only when the connection ends

    played(tmp_path, test, noise=relay.Noise(dropped=1.0))


def test_no_frame_passes_during_a_partition(tmp_path):
    async def test(bench):
        reader, writer = await bench.connect()
        writer.write(frame(b"hello"))
        try:
            assert await read_frame(reader) == b"hello"
            came = time.monotonic()
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
        ):  # half of the connections are reset when the partition ends
            came = time.monotonic()
        assert came - bench.epoch >= 1.5

    played(tmp_path, test, cuts=(relay.Cut(0.0, 1.5, ("a",)),))


def test_partition_around_both_ends_does_not_block_them(tmp_path):
    async def test(bench):
        reader, writer = await bench.connect()
        writer.write(frame(b"hello"))
        assert await read_frame(reader) == b"hello"

    played(tmp_path, test, cuts=(relay.Cut(0.0, 3600.0, ("a", "b")),))


def test_relay_exits_at_end_of_input_and_reports_its_counts(tmp_path):
    async def test(bench):
        snapshots = msgspec.json.decode(await children.finish(bench.process, TIMEOUT_S), type=list[relay.Snapshot])
        assert [snapshot.at for snapshot in snapshots] == [0.0]
        assert await asyncio.wait_for(bench.process.wait(), TIMEOUT_S) == 0

    played(tmp_path, test)
