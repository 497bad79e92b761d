"""A TCP relay between one region and the controller of another, which can simulate a network partition."""

import asyncio
import contextlib


class Relay:
    """Forwards bytes in both directions between its clients and `target`, a port on loopback."""

    def __init__(self, target):
        self.target, self.port = target, 0
        self.is_cut = False
        self._writers = set()

    async def open(self):
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def cut(self):
        """Abort all connections, and from now on each new one."""
        self.is_cut = True
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self):
        """Accept connections again."""
        self.is_cut = False

    def close(self):
        self._server.close()
        self.cut()

    async def _on_connection(self, reader, writer):
        with contextlib.suppress(OSError):
            if not self.is_cut:
                await self._forward_both_ways(reader, writer)
        writer.transport.abort()

    async def _forward_both_ways(self, reader, writer):
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target)
        writers = {writer, target_writer}
        self._writers |= writers
        tasks = [
            asyncio.ensure_future(self._forward(*direction))
            for direction in ((reader, target_writer), (target_reader, writer))
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        self._writers -= writers
        for task in tasks:
            task.cancel()
        target_writer.transport.abort()

    async def _forward(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
