"""One bad client sends a head that never ends, while usual clients send their requests."""

import asyncio
import json
import sys

from stand_ins import case as cases
from stand_ins import http
from stand_ins.discovery import Discovery
from stand_ins.dispatcher import Dispatcher, request_class, settings
from stand_ins.worker import Worker

CLIENTS = 4
PLAYED_S = 12.0
BAD_CLIENT_AFTER_S = 2.0
BAD_CLIENT_LIMIT_S = 6.0
PAUSE_S = 0.1
CLASS = "render"
TIMEOUT_S = 1.0
LATE_S = 0.55  # half a second after its time, and the slack of 50 ms: from then on a request is lost
WAIT_S = 10.0  # how long a client of this case waits, to record when an answer came


class UsualClient:
    """A client with one connection, on which it sends one request at a time."""

    def __init__(self, case, dispatcher, number):
        """Nothing is sent yet."""
        self.case = case
        self.dispatcher = dispatcher
        self.number = number
        self.violations = []

    async def play(self, until):
        """Send requests until the time `until` of the record."""
        reader, writer = await asyncio.open_connection(*self.dispatcher.address)
        count = 0
        while self.case.record.now() < until:
            await self.exchange(reader, writer, f"client-{self.number}-order-{count}")
            count += 1
            await asyncio.sleep(PAUSE_S)
        writer.close()

    async def exchange(self, reader, writer, order):
        """Send one request, and check when its answer comes."""
        headers = {"Request-Id": order, "Request-Class": CLASS, "Request-Timeout-Ms": int(TIMEOUT_S * 1000)}
        writer.write(http.request("POST", f"/{CLASS}/{order}", headers, order.encode()))
        sent_at = self.case.record.add("sent", id=order)["at"]
        async with asyncio.timeout(WAIT_S):
            answer = await http.read_message(reader)
        seconds = round(self.case.record.now() - sent_at, 3)
        self.case.record.add("answer", id=order, status=answer.status, seconds=seconds)
        if seconds > TIMEOUT_S + LATE_S:
            self.violations.append(f"{order}, which waits for {TIMEOUT_S} s, got its answer after {seconds} s")


async def bad_client(case, dispatcher):
    """Run the bad client and record what it sent and got."""
    await asyncio.sleep(BAD_CLIENT_AFTER_S)
    case.record.add("bad_client_begins")
    host, port = dispatcher.address
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "stand_ins.bad_client",
        host,
        str(port),
        str(BAD_CLIENT_LIMIT_S),
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    case.record.add("bad_client_ended", **json.loads(output))


async def scenario(case):
    """Play usual clients and the bad one, and return the violations."""
    discovery = Discovery(case.record)
    await discovery.start()
    dispatcher = Dispatcher(case.record, case.folder)
    case.dispatchers.append(dispatcher)
    for name in ("s-5be2a07c", "s-0badcafe", "s-17d90e33"):
        worker = Worker(name, case.record, dispatcher.address)
        await worker.start()
        discovery.put(worker)
    await dispatcher.start(settings([request_class(CLASS)]), discovery)
    clients = [UsualClient(case, dispatcher, number) for number in range(CLIENTS)]
    until = case.record.now() + PLAYED_S
    plays = [client.play(until) for client in clients]
    if case.trouble:
        plays.append(bad_client(case, dispatcher))
    await asyncio.gather(*plays)
    return [violation for client in clients for violation in client.violations]


if __name__ == "__main__":
    cases.main(__file__, scenario)
