"""A worker that follows the users' protocol page: 202, job events, DELETE, and load reports where probes are used."""

import asyncio
import contextlib
import json

from stand_ins import http

CALL_LIMIT = 10
CALL_TIMEOUT_S = 1.0
CALL_PAUSE_S = 0.2


class Worker:
    """One worker. It runs each job for `run_s` seconds; its result is the body of the request with a prefix.

    A subclass changes `accept` for a disruption.
    """

    def __init__(self, name, record, dispatcher_address, run_s=0.05):
        """`dispatcher_address`: where job events go."""
        self.name = name
        self.record = record
        self.dispatcher_address = dispatcher_address
        self.run_s = run_s
        self.port = 0
        self.jobs = {}
        self._tasks = set()

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await http.read_message(reader)
                await self.handle(message, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    async def handle(self, message, writer):
        """Answer one request of the dispatcher."""
        method, target, _ = message.first_line.split(" ")
        if method == "GET":
            await self.answer_load(writer)
        elif method == "DELETE":
            request_id = target.rpartition("/")[2]
            task = self.jobs.pop(request_id, None)
            if task:
                task.cancel()
            self.record.add("cancelled", worker=self.name, id=request_id, known=task is not None)
            writer.write(http.response(200 if task else 404))
        else:
            await self.accept(message, writer)

    async def answer_load(self, writer):
        """Answer a probe."""
        writer.write(http.response(200, b"rps=1,active=0,x0=4,x1=4", "Server-Load: rps=1,active=0,x0=4,x1=4\r\n"))

    async def accept(self, message, writer):
        """Take a job: answer 202 and run it."""
        request_id = message.headers["request-id"]
        self.note_attempt(message)
        self.jobs[request_id] = self.spawn(self.run(request_id, message.body))
        writer.write(http.response(202))

    def note_attempt(self, message):
        """Record an attempt whose last byte has arrived."""
        self.record.add(
            "attempt",
            worker=self.name,
            id=message.headers["request-id"],
            body=message.body.decode("latin-1"),
            timeout_ms=int(message.headers.get("request-timeout-ms", 0)),
            still_running=message.headers["request-id"] in self.jobs,
        )

    def spawn(self, coroutine):
        """Run a coroutine beside the server and return its task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def run(self, request_id, body):
        """Run a job, and report its start and its end."""
        self.record.add("job_started", worker=self.name, id=request_id)
        await self.call_back({"id": request_id, "from": self.name, "state": "started"})
        await asyncio.sleep(self.run_s)
        await self.finish(request_id, body)

    async def finish(self, request_id, body):
        """End a job with its result."""
        self.jobs.pop(request_id, None)
        result = f"{self.name} ran {body.decode('latin-1')}"
        self.record.add("job_done", worker=self.name, id=request_id)
        await self.call_back({"id": request_id, "from": self.name, "state": "done", "result": result})

    async def call_back(self, event):
        """Make a job event's call until it is answered, at most ten times."""
        for _ in range(CALL_LIMIT):
            status = await self.one_call(event)
            self.record.add("job_event", worker=self.name, id=event["id"], state=event["state"], status=status)
            if status in (200, 204):
                return
            await asyncio.sleep(CALL_PAUSE_S)

    async def one_call(self, event):
        """Make one call on a connection of its own and return the status, 0 if it was not answered."""
        writer = None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.dispatcher_address)
                writer.write(http.request("POST", "/v1/job-events", {}, json.dumps(event).encode()))
                return (await http.read_message(reader)).status
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0
        finally:
            if writer is not None:
                writer.close()
                with contextlib.suppress(OSError):
                    await writer.wait_closed()
