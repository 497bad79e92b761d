"""Clients that send several requests at once, and later one more on the same connection."""

import asyncio

from stand_ins import case as cases
from stand_ins import http
from stand_ins.discovery import Discovery
from stand_ins.dispatcher import Dispatcher, request_class, settings
from stand_ins.worker import Worker

CLIENTS = 6
AT_ONCE = 3
LATER = 2
CLASS = "charge"  # unsafe to repeat
TIMEOUT_MS = 5000
ANSWER_LIMIT_S = 5.6  # the client's time, the slack of the rules and half a second
PAUSE_S = 0.3


class Client:
    """One client with one connection."""

    def __init__(self, case, dispatcher, number):
        """Nothing is sent yet."""
        self.case = case
        self.dispatcher = dispatcher
        self.number = number
        self.sent = 0
        self.violations = []

    async def play(self):
        """Send a few requests at once (without the disruption: one by one), and after a pause further ones."""
        reader, writer = await asyncio.open_connection(*self.dispatcher.address)
        try:
            if self.case.trouble:
                await self.exchange(reader, writer, AT_ONCE)
            else:
                for _ in range(AT_ONCE):
                    await self.exchange(reader, writer, 1)
            for _ in range(LATER):
                await asyncio.sleep(PAUSE_S)
                await self.exchange(reader, writer, 1)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.case.record.add("connection_ended", client=self.number)
        finally:
            writer.close()

    async def exchange(self, reader, writer, count):
        """Write `count` requests in one piece and read their answers."""
        orders = [f"client-{self.number}-order-{self.sent + number}" for number in range(count)]
        self.sent += count
        for order in orders:
            self.case.record.add("sent", id=order)
        writer.write(b"".join(self.request(order) for order in orders))
        for order in orders:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                answer = await http.read_message(reader)
            self.check_answer(order, answer)

    @staticmethod
    def request(order):
        """Return the request for an order; its id is the order's name."""
        headers = {"Request-Id": order, "Request-Class": CLASS, "Request-Timeout-Ms": TIMEOUT_MS}
        return http.request("POST", f"/{CLASS}/{order}", headers, order.encode())

    def check_answer(self, order, answer):
        """Note an answer 200 with a result that no worker made for this request."""
        body = answer.body.decode("latin-1")
        self.case.record.add("answer", id=order, status=answer.status, body=body)
        results = [f"{entry['worker']} ran {order}" for entry in self.case.record.of("job_done", id=order)]
        if answer.status == 200 and body not in results:
            self.violations.append(f"{order} was answered 200 with '{body}', which no worker made for it")


async def scenario(case):
    """Play the clients one after another, and return the violations."""
    discovery = Discovery(case.record)
    await discovery.start()
    dispatcher = Dispatcher(case.record, case.folder)
    case.dispatchers.append(dispatcher)
    for name in ("s-5be2a07c", "s-0badcafe", "s-17d90e33"):
        worker = Worker(name, case.record, dispatcher.address)
        await worker.start()
        discovery.put(worker)
    classes = [request_class("render"), request_class(CLASS, "fragile", deadlineUs=7_500_000, goalTimeUs=5_000_000)]
    await dispatcher.start(settings(classes), discovery)
    violations = []
    for number in range(CLIENTS):
        client = Client(case, dispatcher, number)
        await client.play()
        violations += client.violations
    return violations + repeated(case.record)


def repeated(record):
    """Return a violation for each request that was sent again although a worker had already run it."""
    violations = []
    for request_id in dict.fromkeys(entry["id"] for entry in record.of("sent")):
        starts = [entry["at"] for entry in record.of("job_started", id=request_id)]
        if len(starts) > 1:
            violations.append(f"{request_id}, unsafe to repeat, ran {len(starts)} times, at {starts} s")
    return violations


if __name__ == "__main__":
    cases.main(__file__, scenario)
