"""In an upgrade, bytes of requests that the old process has read are lost, and these requests get no answer in time."""

import asyncio
import contextlib
import itertools
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

import world as stand_ins  # noqa: E402

CLIENTS = 60
BODY = b"x" * 60_000
TIMEOUT_MS = 1_500
LATE_S = 0.55  # up to half a second after its time a request only earns nothing; limits are 50 ms longer
MOST_UPGRADES = 6
FREE_IN_AN_UPGRADE = 2
RUN_S = 0.05


class Client:
    """A client that keeps one connection, and sends one request after another on it."""

    def __init__(self, world, ids):
        """Take request ids from `ids`."""
        self.world, self.ids = world, ids
        self.connection = None
        self.stopped = False
        self.lost = []  # times at which the lost requests were sent completely

    async def run(self):
        """Send requests until stopped."""
        while not self.stopped:
            await self.ask(f"{next(self.ids):016x}")
            await asyncio.sleep(0.005)

    async def ask(self, request_id):
        """Send one request completely, and record whether it is answered in time."""
        record = self.world.record
        if self.connection is None:
            self.connection = await asyncio.open_connection("127.0.0.1", self.world.port)
        reader, writer = self.connection
        head = (
            f"POST /preview/{request_id} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {request_id}\r\n"
            f"Request-Class: preview\r\nRequest-Timeout-Ms: {TIMEOUT_MS}\r\nClient-Retry: 1\r\n"
            f"Work-Hint: {int(RUN_S * 1e6)}\r\nContent-Length: {len(BODY)}\r\n\r\n"
        )
        status, sent_at = 0, record.now()
        with contextlib.suppress(OSError, TimeoutError):
            writer.write(head.encode() + BODY)
            await writer.drain()
            sent_at = record.now()
            async with asyncio.timeout(TIMEOUT_MS / 1000 + 3):
                message = await stand_ins.read_message(reader)
            status = int(message[0].line.split(" ")[1]) if message else 0
        seconds = record.now() - sent_at
        record.add(
            "client_gets",
            id=request_id,
            sent=f"{sent_at:.3f}",
            status=status or "none",
            after=f"{seconds:.3f}",
            attempts=len(self.world.attempts_of(request_id)) if status != 200 else "-",
        )
        if seconds > TIMEOUT_MS / 1000 + LATE_S:
            self.lost.append(sent_at)
            record.add("lost", id=request_id, after=f"{seconds:.3f}")
        if status != 200:
            writer.close()
            self.connection = None


async def run_shortly(worker, attempt, head, body, writer):
    """Take every job and run it for a short time."""
    await worker.accept(attempt, writer, RUN_S)


async def upgrade(world):
    """Upgrade the dispatcher as the platform does: SIGTERM at the yes, SIGKILL 3.7 s later."""
    old = world.dispatchers[-1]
    await (await world.start_dispatcher()).ready(6.0)
    old.signal(signal.SIGTERM)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(old.process.wait(), 3.7)
    await old.end()


async def case(folder, record, trouble):
    """Upgrade the dispatcher a few times under load, and count the requests that get no answer in time."""
    preview = stand_ins.request_class("preview", "retryable", goalTimeUs=250_000, deadlineUs=7_500_000)
    world = stand_ins.World(folder, record, stand_ins.settings([preview], stretch=2.0), with_ops=True)
    world.handle_job = run_shortly
    for number in range(4):
        await world.add_worker(f"s-0badcaf{number}")
    try:
        await world.open()
        ids = itertools.count(1)
        clients = [Client(world, ids) for _ in range(CLIENTS)]
        running = [world.begin(client.run()) for client in clients]
        await asyncio.sleep(1)
        for _ in range(MOST_UPGRADES):
            began_at = record.now()
            if trouble:
                await upgrade(world)
            await asyncio.sleep(3.5)
            lost = [at for client in clients for at in client.lost if at >= began_at - TIMEOUT_MS / 1000]
            if len(lost) > FREE_IN_AN_UPGRADE:
                return f"{len(lost)} requests were sent completely and had no answer {LATE_S} s after their time"
        for client in clients:
            client.stopped = True
        await asyncio.gather(*running)
        return ""
    finally:
        await world.close()


if __name__ == "__main__":
    stand_ins.main(HERE, case)
