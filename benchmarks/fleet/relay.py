"""A relay process for the connections between processes of the fleet, which injects faults by script and seed.

It parses the framing of the fleet (a 4-byte big-endian length, then the message), but not the messages. The benchmark
writes a `Script` to its standard input as one line of JSON, and the relay answers with one line, the port of each link.
Then it reads a line with the epoch: the CLOCK_MONOTONIC time, in seconds, at which script time 0 falls. When its input
is closed it prints its counts and exits, so that it never outlives its parent process.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections import deque
from random import Random

import msgspec

HEADER = 4
CONNECT_TIMEOUT_S = 2.0


class Link(msgspec.Struct, frozen=True):
    """A path to one controller. `role`, `source`: role and zone of the connecting process; `target`: the other zone."""

    role: str
    source: str
    target: str
    host: str
    port: int
    delay_ms: float


class Cut(msgspec.Struct, frozen=True):
    """Partition between the zones in `places` and all others, from script time `start` to `end`, in seconds."""

    start: float
    end: float
    places: tuple[str, ...]


class Noise(msgspec.Struct, frozen=True):
    """Probabilities that a frame is sent twice, is delayed by up to `late_ms`, or that its connection is dropped."""

    twice: float = 0.0
    late: float = 0.0
    late_ms: float = 0.0
    dropped: float = 0.0


class Script(msgspec.Struct, frozen=True):
    """Configuration of one relay process. `marks`: script times, in seconds, at which counts are recorded."""

    seed: str
    links: tuple[Link, ...]
    cuts: tuple[Cut, ...] = ()
    noise: Noise = Noise()
    marks: tuple[float, ...] = ()


class Count(msgspec.Struct):
    """Traffic of one link: frames and bytes towards the controller (up) and back (down)."""

    role: str
    source: str
    target: str
    connections: int = 0
    up_frames: int = 0
    up_bytes: int = 0
    down_frames: int = 0
    down_bytes: int = 0
    doubled: int = 0
    delayed: int = 0
    dropped: int = 0


class Snapshot(msgspec.Struct):
    """The counts of all links at script time `at`."""

    at: float
    counts: list[Count]


class Relay:
    """The links of one relay process, and the script time."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.random = Random(script.seed)
        self.epoch: float | None = None
        self.counts = [Count(link.role, link.source, link.target) for link in script.links]
        self.snapshots: list[Snapshot] = []
        self.connections: set[RelayedConnection] = set()

    def script_time(self) -> float:
        return -1.0 if self.epoch is None else time.monotonic() - self.epoch

    def is_cut(self, link: Link) -> bool:
        now = self.script_time()
        return any(cut.start <= now < cut.end and crosses(cut, link) for cut in self.script.cuts)

    async def listen(self) -> list[int]:
        loop = asyncio.get_running_loop()
        ports = []
        for link, count in zip(self.script.links, self.counts, strict=False):
            server = await loop.create_server(
                lambda link=link, count=count: ClientSide(self, link, count), "127.0.0.1", 0
            )
            ports.append(server.sockets[0].getsockname()[1])
        return ports

    def begin(self, epoch: float) -> None:
        self.epoch = epoch
        loop = asyncio.get_running_loop()
        for mark in self.script.marks:
            loop.call_later(max(0.0, epoch + mark - time.monotonic()), self.take_counts, mark)
        for cut in self.script.cuts:
            loop.call_later(max(0.0, epoch + cut.end - time.monotonic()), self.heal, cut)

    def take_counts(self, mark: float) -> None:
        self.snapshots.append(Snapshot(mark, [msgspec.structs.replace(count) for count in self.counts]))

    def heal(self, cut: Cut) -> None:
        """End a partition: at random deliver the buffered frames of a connection late, or reset the connection."""
        for connection in list(self.connections):
            if not crosses(cut, connection.link):
                continue
            if self.random.random() < 0.5:
                connection.close()
            else:
                connection.flush()


def crosses(cut: Cut, link: Link) -> bool:
    return (link.source in cut.places) != (link.target in cut.places)


class RelayedConnection:
    """One connection through the relay, with a queue of frames for each direction."""

    def __init__(self, relay: Relay, link: Link, count: Count) -> None:
        self.relay, self.link, self.count = relay, link, count
        self.up = Direction(self)
        self.down = Direction(self)
        self.closed = False
        relay.connections.add(self)

    def flush(self) -> None:
        self.up.send_due()
        self.down.send_due()

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.relay.connections.discard(self)
        for direction in (self.up, self.down):
            if direction.transport is not None:
                direction.transport.abort()


class Direction:
    """Queue of frames to be sent on `transport`, in order, each with the time at which it is due."""

    def __init__(self, connection: RelayedConnection) -> None:
        self.connection = connection
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.queue: deque[tuple[float, bytes]] = deque()
        self.last_due = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.frames = 0

    def take(self, data: bytes) -> int:
        """Split `data` into frames and queue them; return the number of complete frames."""
        self.buffer += data
        taken = 0
        while len(self.buffer) >= HEADER:
            size = HEADER + int.from_bytes(self.buffer[:HEADER], "big")
            if len(self.buffer) < size:
                break
            frame = bytes(self.buffer[:size])
            del self.buffer[:size]
            taken += 1
            self.put(frame)
        self.send_due()
        return taken

    def put(self, frame: bytes) -> None:
        relay, count = self.connection.relay, self.connection.count
        noise, random = relay.script.noise, relay.random
        self.frames += 1
        due = time.monotonic() + self.connection.link.delay_ms / 1000
        if noise.late and random.random() < noise.late:
            count.delayed += 1
            due += random.random() * noise.late_ms / 1000
        self.last_due = max(self.last_due, due)
        self.queue.append((self.last_due, frame))
        if self.frames == 1:
            return  # the first frame identifies the sender, so it is neither duplicated nor dropped
        if noise.twice and random.random() < noise.twice:
            count.doubled += 1
            self.queue.append((self.last_due, frame))
        if noise.dropped and random.random() < noise.dropped:
            count.dropped += 1
            asyncio.get_running_loop().call_soon(self.connection.close)

    def send_due(self) -> None:
        if self.transport is None or self.connection.closed or self.connection.relay.is_cut(self.connection.link):
            return
        now = time.monotonic()
        ready = []
        while self.queue and self.queue[0][0] <= now:
            ready.append(self.queue.popleft()[1])
        if ready:
            self.transport.write(b"".join(ready))
        if self.queue and self.timer is None:
            wait = max(0.0, self.queue[0][0] - now)
            self.timer = asyncio.get_running_loop().call_later(wait, self.wake)

    def wake(self) -> None:
        self.timer = None
        self.send_due()


class ClientSide(asyncio.Protocol):
    """The side of the connecting process."""

    def __init__(self, relay: Relay, link: Link, count: Count) -> None:
        self.connection = RelayedConnection(relay, link, count)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.connection.down.transport = transport  # type: ignore[assignment]
        self.connection.count.connections += 1
        self.connecting = asyncio.ensure_future(self.connect())

    async def connect(self) -> None:
        connection = self.connection
        loop = asyncio.get_running_loop()
        if connection.relay.is_cut(connection.link):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            connection.close()
            return
        try:
            connecting = loop.create_connection(
                lambda: ControllerSide(connection), connection.link.host, connection.link.port
            )
            await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (TimeoutError, OSError):
            connection.close()

    def data_received(self, data: bytes) -> None:
        count = self.connection.count
        count.up_bytes += len(data)
        count.up_frames += self.connection.up.take(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.connection.close()


class ControllerSide(asyncio.Protocol):
    """The side of the controller."""

    def __init__(self, connection: RelayedConnection) -> None:
        self.connection = connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if self.connection.closed:
            transport.abort()  # type: ignore[attr-defined]
            return
        self.connection.up.transport = transport  # type: ignore[assignment]
        self.connection.up.send_due()

    def data_received(self, data: bytes) -> None:
        count = self.connection.count
        count.down_bytes += len(data)
        count.down_frames += self.connection.down.take(data)

    def connection_lost(self, error: Exception | None) -> None:
        self.connection.close()


async def run() -> None:
    loop = asyncio.get_running_loop()
    stdin = asyncio.StreamReader(limit=1 << 24)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(stdin), sys.stdin)
    script = msgspec.json.decode(await stdin.readline(), type=Script)
    relay = Relay(script)
    print(msgspec.json.encode(await relay.listen()).decode(), flush=True)
    epoch = await stdin.readline()
    if epoch:
        relay.begin(float(epoch))
        await stdin.read()
    print(msgspec.json.encode(relay.snapshots).decode(), flush=True)


if __name__ == "__main__":
    asyncio.run(run())
