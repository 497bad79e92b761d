"""In an upgrade, bytes that the old process has read are lost: requests are never answered, and bodies are altered."""

import asyncio
import contextlib
import itertools
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

import world as stand_ins  # noqa: E402

WHOLE_CLIENTS = 60  # send a body of 60,000 bytes with its length
PIECE_CLIENTS = 80  # send a body of 9,000 bytes in small chunks, one after the other
WHOLE_BODY = b"x" * 60_000
PIECES = [b"%06d" % number * 10 for number in range(150)]
PIECE_PAUSE_S = 0.001
TIMEOUT_MS = 1_500
LATE_S = 0.55  # up to half a second after its time a request only earns nothing; limits are 50 ms longer
WHOLE_UPGRADES = 2  # while the first clients send
PIECE_UPGRADES = 10  # while the second ones send
FREE_IN_AN_UPGRADE = 2
RUN_S = 0.05


class Client:
    """A client that keeps one connection, and sends one request after another on it."""

    def __init__(self, world, ids, in_pieces):
        """Take request ids from `ids`; send bodies in chunks if `in_pieces`, otherwise whole."""
        self.world, self.ids, self.in_pieces = world, ids, in_pieces
        self.connection = None
        self.stopped = False
        self.lost = []  # times at which the lost requests were sent completely

    async def run(self):
        """Send requests until stopped."""
        while not self.stopped:
            await self.ask(f"{next(self.ids):016x}")
            await asyncio.sleep(0.01)

    async def send(self, request_id, writer):
        """Write one request completely."""
        head = (
            f"POST /preview/{request_id} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {request_id}\r\n"
            f"Request-Class: preview\r\nRequest-Timeout-Ms: {TIMEOUT_MS}\r\nClient-Retry: 1\r\n"
            f"Work-Hint: {int(RUN_S * 1e6)}\r\n"
        ).encode()
        if not self.in_pieces:
            self.world.bodies[request_id] = WHOLE_BODY
            writer.write(head + b"Content-Length: %d\r\n\r\n" % len(WHOLE_BODY) + WHOLE_BODY)
            await writer.drain()
            return
        self.world.bodies[request_id] = b"".join(PIECES)
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for piece in PIECES:
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece))
            await asyncio.sleep(PIECE_PAUSE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def ask(self, request_id):
        """Send one request, and record whether it is answered in time."""
        record = self.world.record
        status, sent_at = 0, record.now()
        with contextlib.suppress(OSError, TimeoutError):
            if self.connection is None:
                self.connection = await asyncio.open_connection("127.0.0.1", self.world.port)
            reader, writer = self.connection
            await self.send(request_id, writer)
            sent_at = record.now()
            async with asyncio.timeout(TIMEOUT_MS / 1000 + 3):
                message = await stand_ins.read_message(reader)
            status = int(message[0].line.split(" ")[1]) if message else 0
        seconds = record.now() - sent_at
        if status != 200:
            record.add(
                "client_gets", id=request_id, sent=f"{sent_at:.3f}", status=status or "none", after=f"{seconds:.3f}"
            )
            if self.connection is not None:
                self.connection[1].close()
            self.connection = None
        if seconds > TIMEOUT_MS / 1000 + LATE_S:
            self.lost.append(sent_at)
            record.add("lost", id=request_id, after=f"{seconds:.3f}")


class World(stand_ins.World):
    """The surroundings, with the bodies that clients have sent."""

    def __init__(self, *arguments, **options):
        """Start without requests."""
        super().__init__(*arguments, **options)
        self.bodies = {}
        self.trouble = True
        self.altered = []

    async def run_job(self, worker, attempt, head, body, writer):
        """Take a job and run it for a short time, and look whether its body is the client's."""
        if body != self.bodies.get(attempt.id):
            self.altered.append(attempt.id)
            self.record.add("altered", id=attempt.id, sent=len(self.bodies[attempt.id]), received=len(body))
        await worker.accept(attempt, writer, RUN_S)


async def upgrade(world):
    """Upgrade the dispatcher as the platform does: SIGTERM at the yes, SIGKILL 3.7 s later."""
    old = world.dispatchers[-1]
    await (await world.start_dispatcher()).ready(6.0)
    old.signal(signal.SIGTERM)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(old.process.wait(), 3.7)
    await old.end()


async def load(world, clients, upgrades):
    """Let clients send during some upgrades, or for as long without them; return the most requests lost in one."""
    running = [world.begin(client.run()) for client in clients]
    await asyncio.sleep(1)
    most_lost = 0
    for _ in range(upgrades):
        began_at = world.record.now()
        if world.trouble:
            await upgrade(world)
        await asyncio.sleep(3)
        most_lost = max(most_lost, sum(at >= began_at for client in clients for at in client.lost))
    for client in clients:
        client.stopped = True
    await asyncio.gather(*running)
    return most_lost


async def case(folder, record, trouble):
    """Upgrade the dispatcher a few times under load; look at answers, and at what workers receive."""
    preview = stand_ins.request_class("preview", "retryable", goalTimeUs=250_000, deadlineUs=7_500_000)
    world = World(folder, record, stand_ins.settings([preview], stretch=2.0), with_ops=True)
    world.trouble = trouble
    world.handle_job = world.run_job
    for number in range(4):
        await world.add_worker(f"s-0badcaf{number}")
    try:
        await world.open()
        ids = itertools.count(1)
        whole = [Client(world, ids, in_pieces=False) for _ in range(WHOLE_CLIENTS)]
        pieces = [Client(world, ids, in_pieces=True) for _ in range(PIECE_CLIENTS)]
        lost = await load(world, whole, WHOLE_UPGRADES)
        lost = max(lost, await load(world, pieces, PIECE_UPGRADES))
        return verdict(world, lost)
    finally:
        await world.close()


def verdict(world, most_lost):
    """Return how the rules were broken, or an empty text."""
    broken = []
    if world.altered:
        broken.append(f"workers received {len(world.altered)} requests that no client sent in this form")
    if most_lost > FREE_IN_AN_UPGRADE:
        broken.append(f"in one upgrade {most_lost} requests had no answer {LATE_S} s after their time")
    return "; ".join(broken)


if __name__ == "__main__":
    stand_ins.main(HERE, case)
