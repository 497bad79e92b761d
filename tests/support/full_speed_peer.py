"""A peer that sends without a pause, as a process of its own, so that it shares no event loop and no lock with the test.

As a program it takes the parameters as a JSON object, and prints the port on which it listens and then what it saw.
"""

import asyncio
import contextlib
import dataclasses
import json
import select
import socket
import sys
import time

CHUNK_BYTES = 64 * 1024
ACCEPT_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class Parameters:
    """What the peer sends: `start` once, then `repeated` until the connection is closed or `seconds` are over.

    It also goes on sending after the other side has shut down its writing side.

    It connects to `port`, or with 0 listens, serves the first connection and sends once it has received something.
    """

    start: str
    repeated: str
    port: int = 0
    seconds: float = 3.0


@dataclasses.dataclass(frozen=True)
class Result:
    """What the peer has sent and received. `closed` is true if the other side has closed the connection."""

    sent_bytes: int
    received: str
    closed: bool
    seconds: float


class FullSpeedPeer:
    """The process of a peer. `result` is None while it sends."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        self._reading = asyncio.ensure_future(self._read_result())
        self.result: Result | None = None

    async def _read_result(self) -> None:
        output, _ = await self._process.communicate()
        self.result = Result(**json.loads(output))

    async def wait(self) -> Result:
        """Wait until the peer has stopped, and return its result."""
        await self._reading
        return self.result


@contextlib.asynccontextmanager
async def running(parameters: Parameters):
    """Start a peer, and yield it with its port; end it if it still runs."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.support.full_speed_peer",
        json.dumps(dataclasses.asdict(parameters)),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        port = int(await process.stdout.readline())
        yield FullSpeedPeer(process), port
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.wait()


def play(connection: socket.socket, parameters: Parameters) -> Result:
    """Send until the other side closes the connection or the time is over; read what it sends."""
    connection.setblocking(False)
    repeated = parameters.repeated.encode("latin-1")
    chunk = repeated * (CHUNK_BYTES // len(repeated))
    pending = parameters.start.encode("latin-1") + chunk
    sent_bytes, received, closed = 0, b"", False
    readers = [connection]
    started_at = time.monotonic()
    while not closed and time.monotonic() - started_at < parameters.seconds:
        readable, writable, _ = select.select(readers, [connection], [], 0.1)
        try:
            if writable:
                count = connection.send(pending)
                sent_bytes += count
                pending = pending[count:] or chunk
            if readable:
                data = connection.recv(CHUNK_BYTES)
                received = (received + data)[:CHUNK_BYTES]
                readers = readers if data else []
        except ConnectionError:
            closed = True
    return Result(sent_bytes, received.decode("latin-1"), closed, time.monotonic() - started_at)


def _accept_one(listener: socket.socket) -> socket.socket:
    listener.settimeout(ACCEPT_TIMEOUT_S)
    connection, _ = listener.accept()
    connection.settimeout(ACCEPT_TIMEOUT_S)
    connection.recv(CHUNK_BYTES)
    return connection


def main() -> None:
    """Run the peer of the parameters on the command line."""
    parameters = Parameters(**json.loads(sys.argv[1]))
    if parameters.port:
        print(parameters.port, flush=True)
        connection = socket.create_connection(("127.0.0.1", parameters.port))
    else:
        listener = socket.create_server(("127.0.0.1", 0))
        print(listener.getsockname()[1], flush=True)
        connection = _accept_one(listener)
    with connection:
        print(json.dumps(dataclasses.asdict(play(connection, parameters))))


if __name__ == "__main__":
    main()
