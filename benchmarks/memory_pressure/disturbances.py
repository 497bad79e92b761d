"""Clients that misbehave, one kind at a time, against a dispatcher on loopback.

    python -m benchmarks.memory_pressure.disturbances KIND PORT SCALE

runs in a process of its own, so that it does not slow down the usual clients. SCALE is the part of the full number of
connections and of the full time, 1 for all. The process ends when the last client has been ended by the dispatcher or
has left.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import socket
import sys
from collections.abc import Awaitable, Callable, Iterator

from benchmarks.memory_pressure.random_crowds import RandomCrowd
from benchmarks.memory_pressure.requests import BODY, complete, complete_in_chunks, head, in_chunks

Client = Callable[[int, int], Awaitable[None]]  # gets the port and a number of its own
OPEN_AT_ONCE = 700  # so that this process needs few descriptors itself
GIVE_UP_S = 6.0  # a client leaves if the dispatcher has not ended its connection by then
FLOOD_S = 6.0
RECONNECT_S = 8.0  # for how long the clients of `reconnecting_crowd` connect again
RECONNECT_DELAY_S = 0.01
SMALL_BUFFER_BYTES = 2_048
BATCH = 64  # requests written at once by a client at full speed


@contextlib.asynccontextmanager
async def connection(port: int):
    """Open a connection, and end it after GIVE_UP_S; errors of the connection end the block."""
    writer = None
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(GIVE_UP_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            yield reader, writer
    if writer is not None:
        writer.close()


async def many_fields(port: int, number: int) -> None:
    """Send a head of very many short fields, and a tenth of the body."""
    fields = ["a:"] * 3_900
    async with connection(port) as (reader, writer):
        writer.write(head(number, *fields, "Content-Length: 5000") + b"x" * 500)
        await reader.read()


async def half_written(port: int, number: int) -> None:
    """Send a request without the last ten bytes of its body."""
    async with connection(port) as (reader, writer):
        writer.write(head(number, f"Content-Length: {len(BODY) + 10}") + BODY)
        await reader.read()


async def half_chunk(port: int, number: int) -> None:
    """Send a request whose body is one chunk, without its last ten bytes."""
    async with connection(port) as (reader, writer):
        writer.write(head(number, "Transfer-Encoding: chunked") + b"%x\r\n" % (len(BODY) + 10) + BODY)
        await reader.read()


async def small_chunks(port: int, number: int) -> None:
    """Send a body in chunks of 1,000 bytes, and stop before the last one."""
    body = in_chunks(BODY, 1_000).removesuffix(b"0\r\n\r\n")
    async with connection(port) as (reader, writer):
        writer.write(head(number, "Transfer-Encoding: chunked") + body)
        await reader.read()


async def slow_body(port: int, number: int) -> None:
    """Write a body of 64,000 bytes in ten pieces over 2.5 s, and stop before its end."""
    async with connection(port) as (reader, writer):
        writer.write(head(number, "Content-Length: 64010"))
        for _ in range(10):
            if writer.is_closing():
                return
            writer.write(b"x" * 6_400)
            await asyncio.sleep(0.25)
        await reader.read()


async def slow_head(port: int, number: int) -> None:
    """Write a head of 15 KB, 64 bytes every 20 ms, and stop before its end."""
    data = head(number, "X-Padding: " + "x" * 15_000)
    async with connection(port) as (_, writer):
        for start in range(0, len(data) - 64, 64):
            if writer.is_closing():
                return
            writer.write(data[start : start + 64])
            await asyncio.sleep(0.02)


async def unread_answer(port: int, number: int) -> None:
    """Send a large request again and again whose result is as large, and read nothing."""
    async with connection(port) as (_, writer):
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        for each in range(20):
            writer.write(head(100 * number + each, f"Content-Length: {len(BODY)}", cls="echo") + BODY)
            await writer.drain()
        await asyncio.sleep(GIVE_UP_S)


async def unread_result(port: int, number: int) -> None:
    """Send a small request whose result is large, and read nothing into a small buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.setblocking(False)
    with contextlib.closing(sock), contextlib.suppress(OSError):
        await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
        await asyncio.get_running_loop().sock_sendall(sock, head(number, "Content-Length: 0", cls="large"))
        await asyncio.sleep(GIVE_UP_S)


async def waiting_request(port: int, number: int) -> None:
    """Send a complete large request, more of them than the workers run at once."""
    async with connection(port) as (reader, writer):
        writer.write(head(number, f"Content-Length: {len(BODY)}") + BODY)
        await reader.readuntil(b"\r\n\r\n")


async def leaver(port: int, number: int) -> None:
    """Send 40 requests at once, and leave without reading."""
    async with connection(port) as (_, writer):
        for each in range(40):
            writer.write(head(100 * number + each, f"Content-Length: {len(BODY) // 2}") + BODY[: len(BODY) // 2])
        await writer.drain()


async def half_written_fields(port: int, number: int) -> None:
    """Send a head of 90 fields, and a body without its last ten bytes."""
    fields = [f"X-Field-{field}: {'v' * 128}" for field in range(90)]
    async with connection(port) as (reader, writer):
        writer.write(head(number, *fields, f"Content-Length: {len(BODY) + 10}") + BODY)
        await reader.read()


async def complete_then_unsound(port: int, number: int) -> None:
    """Send a complete request, and bytes that are no request behind it."""
    async with connection(port) as (reader, writer):
        writer.write(complete(number) + b"no request\r\n\r\n" + BODY)
        await reader.read()


async def third_half_written(port: int, number: int) -> None:
    """Send two complete requests and a third one without its last ten bytes, 20 ms apart."""
    async with connection(port) as (reader, writer):
        for each in range(2):
            writer.write(complete(100 * number + each))
            await asyncio.sleep(0.02)
        writer.write(complete(100 * number + 2)[:-10])
        await reader.read()


def three_at_once(request: Callable[[int], bytes]) -> Client:
    """Return a client that sends three complete requests at once."""

    async def client(port: int, number: int) -> None:
        async with connection(port) as (reader, writer):
            writer.write(b"".join(request(100 * number + each) for each in range(3)))
            await reader.read()

    return client


def reconnecting_crowd(client: Client, count: int) -> Callable[[int, float], Awaitable[None]]:
    """Return a disturbance by `count` clients that connect again when the dispatcher has ended their connections."""

    async def run(port: int, scale: float) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + RECONNECT_S * scale
        numbers = itertools.count()

        async def one() -> None:
            while loop.time() < ends_at:
                await client(port, next(numbers))
                await asyncio.sleep(RECONNECT_DELAY_S)

        await asyncio.gather(*(one() for _ in range(count)))

    return run


def crowd(client: Client, count: int, per_second: int) -> Callable[[int, float], Awaitable[None]]:
    """Return a disturbance by `count` clients, of which `per_second` connect in a second."""

    async def run(port: int, scale: float) -> None:
        places = asyncio.Semaphore(OPEN_AT_ONCE)

        async def one(number: int) -> None:
            try:
                await client(port, number)
            finally:
                places.release()

        tasks = []
        for number in range(int(count * scale)):
            await places.acquire()
            tasks.append(asyncio.ensure_future(one(number)))
            await asyncio.sleep(1 / per_second)
        await asyncio.gather(*tasks)

    return run


def unknown_paths(number: int) -> bytes:
    """Return a request for a class that does not exist."""
    return f"POST /new{number}/{number} HTTP/1.1\r\nContent-Length: 0\r\n\r\n".encode()


def unknown_methods(number: int) -> bytes:
    """Return a request with a method that does not exist."""
    return f"M{number} /preview/{number} HTTP/1.1\r\n\r\n".encode()


def unsound(number: int) -> bytes:
    """Return bytes that are no request."""
    return f"no-request {number}\r\n\r\n".encode()


def without_id(number: int) -> bytes:
    """Return a request that lacks its id."""
    return f"POST /preview/{number} HTTP/1.1\r\nContent-Length: 0\r\n\r\n".encode()


def job_events(number: int) -> bytes:
    """Return a job event of a request and a worker that nobody knows, with a result."""
    event = {"id": f"id{number}", "from": f"w{number}", "state": "done", "result": "x" * 2_000}
    body = json.dumps(event).encode()
    return b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def large_job_events(number: int) -> bytes:
    """Return a job event of a request and a worker that nobody knows, with a large result."""
    event = {"id": f"id{number}", "from": f"w{number}", "state": "done", "result": "x" * 60_000}
    body = json.dumps(event).encode()
    return b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def valid(number: int) -> bytes:
    """Return a valid request under a new id, with a key of its own."""
    return head(number, f"Idempotency-Key: {number:032x}", "Content-Length: 0", cls="bundle", timeout_ms=1_000)


def same_ids(number: int) -> bytes:
    """Return a valid request under one of seven ids."""
    return head(number % 7, "Content-Length: 0", timeout_ms=1_000)


def flood(request: Callable[[int], bytes]) -> Callable[[int, float], Awaitable[None]]:
    """Return a disturbance by one client that sends at full speed and reads whatever comes back."""

    async def run(port: int, scale: float) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + FLOOD_S * scale
        numbers = itertools.count()
        while loop.time() < ends_at:
            with contextlib.suppress(OSError):
                await flood_connection(port, request, numbers, ends_at)

    return run


async def flood_connection(port: int, request: Callable[[int], bytes], numbers: Iterator[int], ends_at: float) -> None:
    """Send requests on one connection until it is ended."""
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    reading = asyncio.ensure_future(read_all(reader))
    try:
        while loop.time() < ends_at and not reading.done():
            writer.write(b"".join(request(number) for number in itertools.islice(numbers, BATCH)))
            await asyncio.wait_for(writer.drain(), max(ends_at - loop.time(), 0.1))
    except TimeoutError:
        pass
    finally:
        reading.cancel()
        writer.close()


async def read_all(reader: asyncio.StreamReader) -> None:
    """Read until the end of the connection."""
    with contextlib.suppress(OSError):
        while await reader.read(65_536):
            pass


KINDS: dict[str, Callable[[int, float], Awaitable[None]]] = {
    "many_fields": crowd(many_fields, 900, 300),
    "half_written": crowd(half_written, 3_000, 500),
    "half_chunk": crowd(half_chunk, 3_000, 500),
    "small_chunks": crowd(small_chunks, 3_000, 500),
    "slow_body": crowd(slow_body, 900, 300),
    "slow_head": crowd(slow_head, 450, 300),
    "unread_answer": crowd(unread_answer, 450, 150),
    "unread_result": crowd(unread_result, 900, 150),
    "waiting_request": crowd(waiting_request, 900, 150),
    "leaver": crowd(leaver, 200, 20),
    "again": reconnecting_crowd(half_written, 600),
    "again_fields": reconnecting_crowd(half_written_fields, 600),
    "again_unsound": reconnecting_crowd(complete_then_unsound, 450),
    "again_third": reconnecting_crowd(third_half_written, 600),
    "again_few": reconnecting_crowd(half_written, 450),
    "again_many": reconnecting_crowd(half_written, 1_300),
    "third": crowd(third_half_written, 900, 300),
    "three_at_once": crowd(three_at_once(complete), 900, 300),
    "three_unsafe": crowd(three_at_once(lambda number: complete(number, "amend")), 900, 300),
    "three_in_chunks": crowd(three_at_once(complete_in_chunks), 900, 300),
    "unknown_paths": flood(unknown_paths),
    "unknown_methods": flood(unknown_methods),
    "unsound": flood(unsound),
    "without_id": flood(without_id),
    "job_events": flood(job_events),
    "large_job_events": flood(large_job_events),
    "valid": flood(valid),
    "same_ids": flood(same_ids),
}


RANDOM_PREFIX = "random:"  # followed by a seed


async def run(kind: str, port: int, scale: float) -> None:
    """Run a disturbance of KINDS, or the random crowd of a seed."""
    if kind.startswith(RANDOM_PREFIX):
        await RandomCrowd(int(kind.removeprefix(RANDOM_PREFIX)), port, scale).run()
    else:
        await KINDS[kind](port, scale)


def main() -> None:
    """Run the disturbance that the command line names."""
    kind, port, scale = sys.argv[1:]
    asyncio.run(run(kind, int(port), float(scale)))


if __name__ == "__main__":
    main()
