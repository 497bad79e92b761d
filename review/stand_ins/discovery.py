"""Discovery: the complete list, and a watch that waits for something newer."""

import asyncio
import contextlib
import json
from urllib.parse import parse_qs, urlsplit

from stand_ins import http


class Discovery:
    """Serves one list of workers, which may change."""

    def __init__(self, record):
        """Start with an empty list."""
        self.record = record
        self.version = 1
        self.hosts = {}
        self._changed_at = {}
        self._changed = asyncio.Event()
        self.port = 0
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, worker, health="ready", born_ms=0, site="a"):
        """Add a worker or change its entry."""
        self.version += 1
        self.hosts[worker.name] = {
            "host": worker.name,
            "dial": f"127.0.0.1:{worker.port}",
            "site": site,
            "class": "m1",
            "block": 0,
            "health": health,
            "share": 1.0,
            "born_ms": born_ms,
        }
        self._changed_at[worker.name] = self.version
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await http.read_message(reader)
                writer.write(http.response(200, await self._answer(message)))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    async def _answer(self, message):
        query = parse_qs(urlsplit(message.first_line.split(" ")[1]).query)
        if "index" not in query:
            return json.dumps({"seq": self.version, "whole": True, "hosts": list(self.hosts.values())}).encode()
        known = int(query["index"][0])
        if known >= self.version:
            wait_s = min(int(query.get("wait", ["0"])[0]), 60_000) / 1000
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        changed = [self.hosts[name] for name, version in self._changed_at.items() if version > known]
        return json.dumps({"seq": self.version, "whole": False, "hosts": changed}).encode()
