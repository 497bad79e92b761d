"""Half-written connections that arrive in thousands make the dispatcher exceed its memory limit, so it is killed."""

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

import world as stand_ins  # noqa: E402

LIMITS = {"cores": 0.5, "memory_mb": 96, "sockets": 512}  # half of those of scored days
HALF_WRITTEN = 3_000
IN_A_SECOND = 500
OPEN_AT_ONCE = 700  # so that this process needs few descriptors itself
BODY = b"x" * 63_000  # of 63,010 bytes
JOBS_IN_A_SECOND = 10
LOAD_S = 10
RUN_S = 0.3


class Platform:
    """Kills the dispatcher once its memory is over the limit."""

    def __init__(self, world):
        """Watch the first process of the dispatcher."""
        self.world = world
        self.highest_mb = 0.0
        self.killed = False

    async def run(self):
        """Look at the resident memory every 20 ms."""
        dispatcher = self.world.dispatchers[0]
        while dispatcher.process.returncode is None:
            memory_mb = resident_mb(dispatcher.process.pid)
            self.highest_mb = max(self.highest_mb, memory_mb)
            if memory_mb > LIMITS["memory_mb"]:
                self.killed = True
                self.world.record.add("over_memory_limit", memory_mb=f"{memory_mb:.1f}", limit=LIMITS["memory_mb"])
                dispatcher.signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.02)


def resident_mb(process_id):
    """Return the resident memory of a process in MiB, 0 if it has ended."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


class HalfWriters:
    """Clients that write a request without its last bytes, and stay until the dispatcher ends the connection."""

    def __init__(self, world):
        """Count what becomes of them."""
        self.world = world
        self.places = asyncio.Semaphore(OPEN_AT_ONCE)
        self.written = self.ended = 0

    async def run(self):
        """Open the connections at an even rate."""
        for number in range(HALF_WRITTEN):
            await self.places.acquire()
            self.world.begin(self.write_half(number))
            await asyncio.sleep(1 / IN_A_SECOND)

    async def write_half(self, number):
        """Write a request without its last ten bytes, and wait for the end of the connection."""
        try:
            head = (
                f"POST /preview/{number} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: half{number:012x}\r\n"
                f"Request-Class: preview\r\nRequest-Timeout-Ms: 7500\r\nContent-Length: {len(BODY) + 10}\r\n\r\n"
            )
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(6):
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.world.port)
                    self.world.writers.add(writer)
                    writer.write(head.encode() + BODY)
                    self.written += 1
                    await reader.read()
                    self.ended += 1
                    writer.close()
                    self.world.writers.discard(writer)
        finally:
            self.places.release()


async def run_job(worker, attempt, head, body, writer):
    """Take every job."""
    await worker.accept(attempt, writer, RUN_S)


async def case(folder, record, trouble):
    """Serve usual clients while half-written connections arrive, and watch the memory as the platform does."""
    preview = stand_ins.request_class("preview", "retryable", goalTimeUs=250_000, deadlineUs=7_500_000)
    world = stand_ins.World(folder, record, stand_ins.settings([preview], stretch=2.0))
    world.limits = LIMITS
    world.handle_job = run_job
    for number in range(4):
        await world.add_worker(f"s-0badcaf{number}")
    try:
        await world.open()
        platform, half_writers = Platform(world), HalfWriters(world)
        watching = world.begin(platform.run())
        if trouble:
            world.begin(half_writers.run())
        asking = []
        for _ in range(LOAD_S * JOBS_IN_A_SECOND):
            asking.append(world.begin(world.ask("preview", 7_500, hint_us=int(RUN_S * 1e6))))
            await asyncio.sleep(1 / JOBS_IN_A_SECOND)
            if watching.done():
                break
        await asyncio.gather(*asking)
        record.add("half_written", written=half_writers.written, ended=half_writers.ended)
        record.add("memory", highest_mb=f"{platform.highest_mb:.1f}", limit=LIMITS["memory_mb"])
        if platform.killed:
            unanswered = sum(answer.status <= 0 for answer in world.answers.values())
            return (
                f"killed at {platform.highest_mb:.0f} MB (limit {LIMITS['memory_mb']}) after {half_writers.written} "
                f"half-written connections; {unanswered} requests had no answer"
            )
        if watching.done():
            return "the dispatcher has ended"
        return ""
    finally:
        await world.close()


if __name__ == "__main__":
    stand_ins.main(HERE, case)
