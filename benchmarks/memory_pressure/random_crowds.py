"""Crowds that mix sizes, phases, framings, speeds and endings of requests, drawn from a seed."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
from dataclasses import dataclass

from benchmarks.memory_pressure.requests import head, in_chunks

WAVE_S = 4.0  # how long the clients of a wave connect again
GIVE_UP_S = 6.0  # a client leaves if the dispatcher has not ended its connection by then
MOST_CLIENTS = 900
BODY_SIZES = (0, 100, 4_000, 20_000, 63_000)
FIELD_COUNTS = (0, 0, 20, 90)
CLASSES = ("preview", "preview", "echo", "bundle", "amend")
# Most requests of a random client are unfinished, so few deadlines pass while it waits.
TIMEOUT_MS = 3_000


class Framing(enum.Enum):
    """How the length of a body is given."""

    LENGTH = "length"
    ONE_CHUNK = "one chunk"
    CHUNKS = "chunks of 1,000 bytes"
    SMALL_CHUNKS = "chunks of 50 bytes"


class Ending(enum.Enum):
    """What follows the complete requests of a connection."""

    NOTHING = "nothing"
    HALF_HEAD = "the first half of a head"
    HALF_BODY = "a request without the second half of its body"
    NO_LAST_BYTES = "a request without its last ten bytes"
    UNSOUND = "bytes that are no request"


@dataclass(frozen=True)
class ClientPlan:
    """What one client does on each of its connections."""

    complete_requests: int
    class_name: str
    body_size: int
    framing: Framing
    field_count: int
    ending: Ending
    pause_s: float  # between two requests
    pieces: int  # in which each request is written, 20 ms apart
    reads: bool
    leaves_after_s: float
    reconnects: bool

    @classmethod
    def draw(cls, draws: random.Random) -> ClientPlan:
        """Return the plan of one client."""
        return cls(
            complete_requests=draws.choice([0, 0, 1, 2, 3]),
            class_name=draws.choice(CLASSES),
            body_size=draws.choice(BODY_SIZES),
            framing=draws.choice([Framing.LENGTH, *Framing]),
            field_count=draws.choice(FIELD_COUNTS),
            ending=draws.choice([Ending.NO_LAST_BYTES, *Ending]),
            pause_s=draws.choice([0.0, 0.0, 0.02, 0.5]),
            pieces=draws.choice([1, 1, 1, 10]),
            reads=draws.random() < 0.8,
            leaves_after_s=draws.choice([GIVE_UP_S, GIVE_UP_S, draws.uniform(0, 1.5)]),
            reconnects=draws.random() < 0.6,
        )

    def request(self, number: int) -> bytes:
        """Return a complete request."""
        fields = [f"X-Field-{field}: {'v' * 60}" for field in range(self.field_count)]
        if self.class_name == "bundle":
            fields.append(f"Idempotency-Key: {number:032x}")
        body = b"x" * self.body_size
        if self.framing is Framing.LENGTH:
            fields.append(f"Content-Length: {len(body)}")
            return head(number, *fields, cls=self.class_name, timeout_ms=TIMEOUT_MS) + body
        sizes = {Framing.ONE_CHUNK: max(len(body), 1), Framing.CHUNKS: 1_000, Framing.SMALL_CHUNKS: 50}
        fields.append("Transfer-Encoding: chunked")
        start = head(number, *fields, cls=self.class_name, timeout_ms=TIMEOUT_MS)
        return start + in_chunks(body, sizes[self.framing])

    def last_bytes(self, number: int) -> bytes:
        """Return what follows the complete requests."""
        request = self.request(number)
        head_end = request.index(b"\r\n\r\n")
        match self.ending:
            case Ending.NOTHING:
                return b""
            case Ending.HALF_HEAD:
                return request[: head_end // 2]
            case Ending.HALF_BODY:
                return request[: (head_end + len(request)) // 2]
            case Ending.NO_LAST_BYTES:
                return request[:-10]
            case Ending.UNSOUND:
                return b"no request\r\n\r\n" + request


@dataclass(frozen=True)
class Wave:
    """Clients that come together."""

    clients: tuple[ClientPlan, ...]
    per_second: int


def draw_waves(seed: int) -> list[Wave]:
    """Return the waves of a seed, which come one after the other."""
    draws = random.Random(f"crowd {seed}")
    waves = []
    for _ in range(draws.randint(1, 3)):
        # The clients of a wave follow few plans, as those of one application do.
        plans = [ClientPlan.draw(draws) for _ in range(draws.randint(1, 5))]
        count = draws.randint(100, MOST_CLIENTS)
        waves.append(Wave(tuple(draws.choice(plans) for _ in range(count)), draws.choice([200, 500, 5_000])))
    return waves


class RandomCrowd:
    """Plays the waves of a seed against a dispatcher."""

    def __init__(self, seed: int, port: int, scale: float) -> None:
        """Draw the waves; `scale` is the part of the full number of clients and of the full time."""
        self._waves = draw_waves(seed)
        self._port = port
        self._scale = scale
        self._last_number = 0
        self._ends_at = 0.0

    async def run(self) -> None:
        """Play the waves."""
        loop = asyncio.get_running_loop()
        for wave in self._waves:
            self._ends_at = loop.time() + WAVE_S * self._scale
            tasks = []
            for plan in wave.clients[: int(len(wave.clients) * self._scale)]:
                tasks.append(asyncio.ensure_future(self._client(plan)))
                await asyncio.sleep(1 / wave.per_second)
            await asyncio.gather(*tasks)

    async def _client(self, plan: ClientPlan) -> None:
        loop = asyncio.get_running_loop()
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(plan.leaves_after_s):
                    await self._connection(plan)
            if not plan.reconnects or loop.time() >= self._ends_at:
                return
            await asyncio.sleep(0.01)

    async def _connection(self, plan: ClientPlan) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        try:
            if not plan.reads:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
            for _ in range(plan.complete_requests):
                await _write(writer, plan.request(self._next_number()), plan.pieces)
                await asyncio.sleep(plan.pause_s)
            await _write(writer, plan.last_bytes(self._next_number()), plan.pieces)
            if plan.reads:
                while await reader.read(65_536):
                    pass
            else:
                await asyncio.sleep(GIVE_UP_S)
        finally:
            writer.close()

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number


async def _write(writer: asyncio.StreamWriter, data: bytes, pieces: int) -> None:
    size = -(-len(data) // pieces) or 1
    for start in range(0, len(data), size):
        if writer.is_closing():
            return
        writer.write(data[start : start + size])
        if pieces > 1:
            await asyncio.sleep(0.02)
