"""An outgoing connection to a controller that is re-established whenever it ends."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from badgerroad.fleet.peer_connection import PeerConnection
from badgerroad.net import logs
from badgerroad.net.socket_stream import Address

log = logs.get("badgerroad")

CONNECT_TIMEOUT_S = 3.0
MAX_PENDING_BYTES = 64 * 1024  # maximum size of the frames queued while the connection is being made
INITIAL_BACKOFF_S = 0.1  # longest wait before reconnecting after a stable connection; each failure in a row doubles it
MAX_BACKOFF_S = 2.0  # upper bound of the wait before an attempt to reconnect
STABLE_CONNECTION_S = 2.0  # time from the start of an attempt to the connection's end that resets the wait


class Dialer:
    """Keeps a connection to one controller and reconnects with exponential backoff."""

    def __init__(
        self,
        name: str,
        address: Address,
        attach: Callable[[IOStream, Dialer], PeerConnection],
        failed: Callable[[str], None],
        random: Random,
    ) -> None:
        """Start connecting.

        `attach` creates the PeerConnection for a connected stream. `failed` is called with the name if a connection
        could not be made.
        """
        self.name = name
        self.address = address
        self._attach = attach
        self._failed = failed
        self._random = random
        self._connection: PeerConnection | None = None
        self._pending: list[bytes] = []
        self._pending_bytes = 0
        self._connecting = True
        self._task = asyncio.ensure_future(self._run())
        self.dropped = 0

    def send(self, framed: bytes) -> bool:
        """Send a frame, or queue it while the connection is being made. Returns False if the frame is dropped."""
        if self._connection is not None and self._connection.peer is not None:
            self._connection.send(framed)
            return True
        if not self._connecting or self._pending_bytes + len(framed) > MAX_PENDING_BYTES:
            return False
        self._pending.append(framed)
        self._pending_bytes += len(framed)
        return True

    def opened(self) -> None:
        """Send the queued frames, because the other side's Hello was accepted."""
        pending = self._pending
        self._clear_pending()
        connection = self._connection
        if connection is None:
            return
        for framed in pending:
            connection.send(framed)

    def close(self) -> None:
        """Stop connecting. The owner of the connection closes the connection itself."""
        self._task.cancel()

    async def _run(self) -> None:
        failures = 0
        loop = asyncio.get_running_loop()
        while True:
            started = loop.time()
            try:
                await self._one_connection()
            except Exception:
                log.exception("fleet_connection_exception", peer=self.name)
            failures = 0 if loop.time() - started >= STABLE_CONNECTION_S else failures + 1
            await asyncio.sleep(self._backoff_s(failures))

    async def _one_connection(self) -> None:
        """Connect and run the connection until it ends."""
        self._connecting = True
        try:
            stream = await TCPClient().connect(*self.address, timeout=CONNECT_TIMEOUT_S)
        except (TimeoutError, OSError, StreamClosedError):
            self._drop_pending()
            self._failed(self.name)
            return
        self._connection = self._attach(stream, self)
        try:
            await self._connection.run()
        finally:
            unopened = self._connecting and bool(self._pending)
            self._drop_pending()
            self._connection = None
        if unopened:
            self._failed(self.name)

    def _drop_pending(self) -> None:
        self._connecting = False
        self.dropped += len(self._pending)
        self._clear_pending()

    def _clear_pending(self) -> None:
        self._pending = []
        self._pending_bytes = 0

    def _backoff_s(self, failures: int) -> float:
        longest = min(INITIAL_BACKOFF_S * 2 ** min(failures, 16), MAX_BACKOFF_S)
        return float(longest * self._random.uniform(0.5, 1.0))
