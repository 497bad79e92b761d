"""A toy worker that is its own discovery, to try a dispatcher with.

Usage: python examples/toy_host.py [PORT] [DISPATCHER]

It takes each job with 202, sleeps for the time that Work-Hint says (0.1 s without one), and calls the dispatcher
back. Defaults: port 9101, dispatcher 127.0.0.1:7070.
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
LIST = {
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


class Toy(TCPServer):
    def __init__(self):
        super().__init__()
        self.jobs = {}

    async def handle_stream(self, stream, address):
        while True:
            head = (await stream.read_until(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head.strip().split("\r\n")
            headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)}
            body = await stream.read_bytes(int(headers.get("content-length", 0)))
            status, answer = await self.answer(*first.split(" ")[:2], headers, body)
            await stream.write(b"HTTP/1.1 %d Toy\r\nContent-Length: %d\r\n\r\n" % (status, len(answer)) + answer)

    async def answer(self, method, target, headers, body):
        if target.startswith("/api/targets"):
            if "index=" in target:  # nothing ever changes: a watch runs out
                await asyncio.sleep(int(target.partition("wait=")[2] or 0) / 1000)
                return 200, json.dumps({**LIST, "whole": False, "hosts": []}).encode()
            return 200, json.dumps(LIST).encode()
        if method == "DELETE":
            job = self.jobs.pop(target.rpartition("/")[2], None)
            if job:
                job.cancel()
            return (200 if job else 404), b""
        if method == "POST" and "request-id" in headers:
            name = headers["request-id"]
            self.jobs[name] = asyncio.ensure_future(self.run(name, int(headers.get("work-hint", 100_000)) / 1e6, body))
            return 202, b""
        return 404, b""

    async def run(self, name, seconds, body):
        await self.call_back({"id": name, "from": NAME, "state": "started"})
        await asyncio.sleep(seconds)
        text = body.decode("utf-8", "replace")
        await self.call_back({"id": name, "from": NAME, "state": "done", "result": f"rendered: {text}\n"})
        self.jobs.pop(name, None)

    async def call_back(self, item):
        for _ in range(10):
            answer = await AsyncHTTPClient().fetch(
                f"http://{DISPATCHER}/v1/job-events", method="POST", body=json.dumps(item), raise_error=False
            )
            if answer.code in (200, 204):
                return
            await asyncio.sleep(0.2)


async def main():
    Toy().listen(PORT, "127.0.0.1")
    print(f"{NAME} on 127.0.0.1:{PORT}, calls back to {DISPATCHER}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main())
