"""Runs a minimal worker that is also the discovery service, to try out a dispatcher.

Usage: python examples/toy_host.py [PORT] [DISPATCHER]

It accepts each request with 202 and sends the job event `started` to the dispatcher. After the time in the Work-Hint
header (0.1 s without one) it sends the job event `done` with the result. The default port is 9101, the default
dispatcher 127.0.0.1:7070.
"""

import asyncio
import contextlib
import json
import sys

from tornado.httpclient import AsyncHTTPClient
from tornado.tcpserver import TCPServer

PORT = int(sys.argv[1]) if len(sys.argv) > 1 else 9101
DISPATCHER = sys.argv[2] if len(sys.argv) > 2 else "127.0.0.1:7070"
NAME = "toy-host"
ENDPOINT_LIST = {
    "seq": 1,
    "whole": True,
    "hosts": [
        {
            "host": NAME,
            "dial": f"127.0.0.1:{PORT}",
            "site": "paseo-colon",
            "class": "std-4c",
            "block": 0,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }
    ],
}


class ToyHost(TCPServer):
    """Serves the endpoint list at /api/targets, and accepts requests at all other paths."""

    def __init__(self):
        super().__init__()
        self.jobs = {}  # by request id: the asyncio task that processes the request

    async def handle_stream(self, stream, address):
        while True:
            head = (await stream.read_until(b"\r\n\r\n")).decode("latin-1")
            request_line, *lines = head.strip().split("\r\n")
            headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
            body = await stream.read_bytes(int(headers.get("content-length", 0)))
            status, response_body = await self.respond(*request_line.split(" ")[:2], headers, body)
            await stream.write(
                b"HTTP/1.1 %d Toy\r\nContent-Length: %d\r\n\r\n" % (status, len(response_body)) + response_body
            )

    async def respond(self, method, target, headers, body):
        """Return status and body of the response."""
        if target.startswith("/api/targets"):
            if "index=" in target:  # the list never changes, so a watch ends at its timeout
                await asyncio.sleep(int(target.partition("wait=")[2] or 0) / 1000)
                return 200, json.dumps({**ENDPOINT_LIST, "whole": False, "hosts": []}).encode()
            return 200, json.dumps(ENDPOINT_LIST).encode()
        if method == "DELETE":
            job = self.jobs.pop(target.rpartition("/")[2], None)
            if job:
                job.cancel()
            return (200 if job else 404), b""
        if method == "POST" and "request-id" in headers:
            request_id = headers["request-id"]
            self.jobs[request_id] = asyncio.ensure_future(
                self.run(request_id, int(headers.get("work-hint", 100_000)) / 1e6, body)
            )
            return 202, b""
        return 404, b""

    async def run(self, request_id, duration_s, body):
        """Process a request, and send a job event to the dispatcher at its start and at its end."""
        await self.call_back({"id": request_id, "from": NAME, "state": "started"})
        await asyncio.sleep(duration_s)
        text = body.decode("utf-8", "replace")
        await self.call_back({"id": request_id, "from": NAME, "state": "done", "result": f"rendered: {text}\n"})
        self.jobs.pop(request_id, None)

    async def call_back(self, event):
        """Send a job event to the dispatcher, in up to 10 attempts 0.2 s apart."""
        for _ in range(10):
            response = await AsyncHTTPClient().fetch(
                f"http://{DISPATCHER}/v1/job-events", method="POST", body=json.dumps(event), raise_error=False
            )
            if response.code in (200, 204):
                return
            await asyncio.sleep(0.2)


async def main():
    ToyHost().listen(PORT, "127.0.0.1")
    print(f"{NAME} on 127.0.0.1:{PORT}, sends job events to {DISPATCHER}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
