"""A dispatcher on loopback with scripted workers and a scripted discovery service."""

import asyncio
import contextlib
import functools
import json

from tornado.ioloop import IOLoop

from badgerroad.config import check_config
from badgerroad.net.timer_wheel import Clock, TimerWheel
from badgerroad.serving import assemble

CLASS = {"semantics": "retryable", "goalTimeUs": 4_000_000, "deadlineUs": 6_000_000}
SETTINGS = {
    "siblings": 1,
    "index": 0,
    "tickUs": 2000,
    "registryMode": "subscribe",
    "zones": ["a"],
    "hostTypes": ["m2"],
    "requestClasses": [
        {**CLASS, "name": "preview"},
        {**CLASS, "name": "bundle", "semantics": "dedup", "group": "cell", "dedupWindowUs": 5_000_000},
    ],
    "permissions": {
        "tryLimit": 4,
        "secondCopies": True,
        "cancelling": True,
        "probes": True,
        "retryAfter": True,
        "maxRetryAfterUs": 2_000_000,
        "connectTimeoutUs": 500_000,
        "connIdleUs": 60_000_000,
    },
    "obligations": {
        "stopSendingWithinUs": 500_000,
        "answerSlackUs": 8000,
        "coldFrom": 0.2,
        "coldUs": 1,
        "fallMultiple": 3,
        "overloadForUs": 3_000_000,
    },
    "familyInfo": {"tellsStart": True},
    "report": {"names": ["rps", "active", "x0"], "via": "probe"},
}


def host(name, port, health="ready", **overrides):
    """Return an entry of the endpoint list."""
    return {
        "host": name,
        "dial": f"127.0.0.1:{port}",
        "site": "a",
        "class": "m2",
        "block": 1,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
        **overrides,
    }


class Peer:
    """A scripted server that records the messages it receives.

    `script` gets each message and returns the bytes of the response, or None, which closes the connection.
    """

    def __init__(self, script):
        self.script = script
        self.received = []  # (head, body) of each message
        self.writers = []
        self.ended = asyncio.Event()  # set when a connection is closed
        self.write_size = 0  # bytes of a response in each write; 0 writes the whole response at once

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head, body = await read_message(reader)
                self.received.append((head, body))
                response = self.script(head, body)
                response = await response if asyncio.iscoroutine(response) else response
                if response is None:
                    break
                for start in range(0, len(response), self.write_size or len(response) or 1):
                    writer.write(response[start : start + (self.write_size or len(response))])
                    if self.write_size:
                        await asyncio.sleep(0)
        self.ended.set()
        writer.close()


async def read_message(reader):
    """Return header and body of the next HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = [line for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")]
    return head, await reader.readexactly(int(length[0].split(b":")[1])) if length else b""


def reply(status, body=b"", *headers):
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def job(request_id="r1", cls="preview", timeout=5000, body=b"x", *headers):
    """Return the bytes of a request, with `timeout` in milliseconds."""
    lines = [
        f"POST /{cls}/7f3a?q=%20 HTTP/1.1",
        "Host: app.svc",
        f"Request-Id: {request_id}",
        f"Request-Class: {cls}",
        f"Request-Timeout-Ms: {timeout}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    if cls == "bundle" and not headers:
        lines.append("Idempotency-Key: k9")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class World:
    """A dispatcher on loopback, with one worker for each of `scripts` and a discovery service that lists them.

    `limits` is the number of descriptors, `memory_mb` the limit of memory, `discovery` replaces the script of the discovery service, `ops` opens the admin
    listener, and `settings` replaces single settings.
    """

    def __init__(self, *scripts, limits=1024, memory_mb=192, discovery=None, ops=False, **settings):
        self.scripts, self.settings, self.ops = scripts, {**SETTINGS, **settings}, ops
        self.limits, self.memory_mb = limits, memory_mb
        self.discovery_script, self.lists = discovery or self.whole_list, asyncio.Queue()
        self.tasks = []

    async def open(self):
        """Start the workers and the discovery service, and return the configuration of a dispatcher for them."""
        self.hosts = [await Peer(functools.partial(script, self)).open() for script in self.scripts]
        self.discovery = await Peer(self.discovery_script).open()
        self.entries = [host(f"h{n}", peer.port) for n, peer in enumerate(self.hosts)]
        return {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "seed": "1",
            "limits": {"sockets": self.limits, "memory_mb": self.memory_mb},
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "settings": self.settings,
            "known": {"seq": 1, "whole": True, "hosts": self.entries},
        }

    async def __aenter__(self):
        config = check_config(await self.open(), {"PROXY_OPS": "127.0.0.1:1"} if self.ops else {})
        self.dispatcher, self.second = assemble(
            config._replace(listen=("127.0.0.1", 0)), TimerWheel(Clock(), IOLoop.current())
        )
        self.port = self.dispatcher.start()[1]
        self.ops_port = self.second.listen(("127.0.0.1", 0))[1] if self.second else 0
        return self

    async def __aexit__(self, *_):
        self.dispatcher.close()
        if self.second:
            self.second.close()
        await self.close()

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for peer in [*self.hosts, self.discovery]:
            peer.server.close()
            for writer in peer.writers:
                writer.close()

    async def whole_list(self, head, _body):
        """Script of discovery: answers with the complete endpoint list, and watches with the lists put into `lists`."""
        if b"index=" in head and b"wait=0" not in head:
            return reply(200, json.dumps(await self.lists.get()).encode())
        return reply(200, json.dumps({"seq": 2, "whole": True, "hosts": self.entries}).encode())

    def begin(self, coroutine):
        """Start a task, and keep a reference to it, since the event loop holds only a weak one."""
        self.tasks.append(asyncio.ensure_future(coroutine))
        return self.tasks[-1]

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def ask(self, data, connection=None):
        """Send a request, and return status, header and body of the response."""
        reader, writer = connection or await self.connect()
        writer.write(data)
        head, body = await read_message(reader)
        return int(head.split()[1]), head, body

    async def read_metrics(self):
        """Return the metrics of the admin listener."""
        status, _, body = await self.ask(
            b"GET /metrics HTTP/1.1\r\n\r\n", await asyncio.open_connection("127.0.0.1", self.ops_port)
        )
        assert status == 200
        return json.loads(body)

    async def call_back(self, request_id, state, name="h0", **fields):
        """Send a job event of the worker `name` to the dispatcher, and return the status of the response."""
        body = json.dumps({"id": request_id, "from": name, "state": state, **fields}).encode()
        return (await self.ask(b"POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body))[0]

    def name_of(self, head):
        """Return the name of the worker that received the request `head`."""
        port = int(head.split(b"Host: 127.0.0.1:")[1].split(b"\r\n")[0])
        return next(entry["host"] for entry in self.entries if entry["dial"].endswith(f":{port}"))


async def serve(world, head, _body):
    """Script of a worker that accepts each job and reports it as done at once."""
    if head.startswith(b"DELETE"):
        return reply(200)
    world.begin(world.call_back(id_of(head), "done", world.name_of(head), result="made"))
    return reply(202)


def accept_only(_world, head, _body):
    """Script of a worker that accepts each job and sends no job event for it."""
    return reply(200 if head.startswith(b"DELETE") else 202)


def id_of(head):
    """Return the request id of a header."""
    return head.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()


async def until(condition):
    """Wait until `condition()` is true, checking every 2 ms."""
    while not condition():
        await asyncio.sleep(0.002)


def async_test(coroutine):
    """Decorate a coroutine function as a test that fails if it takes longer than 30 s."""

    @functools.wraps(coroutine)
    def test(**arguments):
        asyncio.run(asyncio.wait_for(coroutine(**arguments), 30))

    return test
