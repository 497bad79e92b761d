"""A configuration file that is short of a key comes with SIGHUP, while answers of workers get lost."""

import asyncio
import copy
import json
import signal

from stand_ins import case as cases
from stand_ins import http
from stand_ins.discovery import Discovery
from stand_ins.dispatcher import Dispatcher, request_class, settings
from stand_ins.worker import Worker

REQUESTS = 12
CLASS = "amend"  # the workers of one zone drop a repeat
MISSING_KEY = "group"
TIMEOUT_MS = 4000
ANSWER_LIMIT_S = 4.6
IN_USE_AFTER_S = 1.2  # when a new configuration is in use


class ZoneWorker(Worker):
    """A worker of a zone whose workers drop repeats of a key; the answer to each request's first attempt is lost."""

    def __init__(self, name, zone, results, record, dispatcher_address):
        """`results`: by key, the result of the zone's first run, None while it runs; shared by the zone's workers."""
        super().__init__(name, record, dispatcher_address)
        self.zone = zone
        self.results = results

    async def accept(self, message, writer):
        """Take a job, or drop a repeat and answer with the first run's result; lose the first attempt's answer."""
        request_id = message.headers["request-id"]
        is_first_attempt = not self.record.of("attempt", id=request_id)
        self.note_attempt(message)
        self.jobs[request_id] = self.spawn(self.run_once(request_id, message.headers["idempotency-key"], message.body))
        if is_first_attempt:
            await asyncio.sleep(0.01)
            self.record.add("connection_reset", worker=self.name, id=request_id)
            writer.transport.abort()
        else:
            writer.write(http.response(202))

    async def run_once(self, request_id, key, body):
        """Run the job, unless a worker of this zone has run it or runs it."""
        if key in self.results:
            self.record.add("repeat_dropped", worker=self.name, zone=self.zone, id=request_id)
            while self.results[key] is None:
                await asyncio.sleep(0.01)
        else:
            self.results[key] = None
            self.record.add("job_started", worker=self.name, zone=self.zone, id=request_id)
            await self.call_back({"id": request_id, "from": self.name, "state": "started"})
            await asyncio.sleep(self.run_s)
            self.results[key] = f"{self.name} ran {body.decode('latin-1')}"
            self.record.add("job_done", worker=self.name, zone=self.zone, id=request_id)
        self.jobs.pop(request_id, None)
        await self.call_back({"id": request_id, "from": self.name, "state": "done", "result": self.results[key]})


async def send_request(case, dispatcher, number):
    """Send one request on a connection of its own and record the answer."""
    request_id = f"order-{number:03d}"
    headers = {
        "Request-Id": request_id,
        "Request-Class": CLASS,
        "Request-Timeout-Ms": TIMEOUT_MS,
        "Idempotency-Key": f"key-{number:03d}",
    }
    reader, writer = await asyncio.open_connection(*dispatcher.address)
    case.record.add("sent", id=request_id)
    writer.write(http.request("POST", f"/{CLASS}/{request_id}", headers, request_id.encode()))
    async with asyncio.timeout(ANSWER_LIMIT_S):
        answer = await http.read_message(reader)
    case.record.add("answer", id=request_id, status=answer.status, body=answer.body.decode("latin-1"))
    writer.close()


def replace_file(case, dispatcher):
    """Replace the configuration file; with the disruption, the new one is short of a key of the class."""
    data = json.loads(dispatcher.config.read_text())
    if case.trouble:
        data = copy.deepcopy(data)
        for entry in data["settings"]["requestClasses"]:
            entry.pop(MISSING_KEY)
    dispatcher.config.write_text(json.dumps(data))
    case.record.add("file_replaced", classes=data["settings"]["requestClasses"])


async def scenario(case):
    """Replace the file under load, and return the violations among the requests after it."""
    discovery = Discovery(case.record)
    await discovery.start()
    dispatcher = Dispatcher(case.record, case.folder)
    case.dispatchers.append(dispatcher)
    for zone in ("a", "b"):
        results = {}
        for number in range(2):
            worker = ZoneWorker(f"s-{zone}{number}", zone, results, case.record, dispatcher.address)
            await worker.start()
            discovery.put(worker, site=zone)
    classes = [request_class(CLASS, "dedup", group="zone", deadlineUs=7_500_000, goalTimeUs=3_000_000)]
    await dispatcher.start(settings(classes, zones=["a", "b"]), discovery)
    await asyncio.sleep(IN_USE_AFTER_S)
    replace_file(case, dispatcher)
    dispatcher.send(signal.SIGHUP)
    await asyncio.sleep(IN_USE_AFTER_S)
    for number in range(REQUESTS):
        await send_request(case, dispatcher, number)
    return repeated(case.record)


def repeated(record):
    """Return a violation for each request that ran more than once."""
    violations = []
    for sent in record.of("sent"):
        runs = [f"{entry['worker']} (zone {entry['zone']})" for entry in record.of("job_started", id=sent["id"])]
        if len(runs) > 1:
            violations.append(
                f"{sent['id']}, of a class whose repeats only one zone drops, ran at {' and '.join(runs)}"
            )
    return violations


if __name__ == "__main__":
    cases.main(__file__, scenario)
