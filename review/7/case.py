"""In an upgrade a job event that the old process has handled is applied again by the new one, to a later attempt."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

import world as stand_ins  # noqa: E402

RUN_S = 3.0
SLOW_ANSWER_S = 0.2  # how long the second worker needs to turn a request away


class Fleet:
    """Two workers that are full when the request comes, and have room again after that."""

    def __init__(self, may_hand_back):
        """Hold the first attempt unanswered until `may_hand_back` is set."""
        self.may_hand_back = may_hand_back
        self.received = asyncio.Event()

    async def handle_job(self, worker, attempt, head, body, writer):
        """Hand the first attempt back unstarted, turn the second one away, and run the others."""
        if attempt.number == 1:
            self.received.set()
            await self.may_hand_back.wait()
            worker.world.record.add("handed_back", id=attempt.id, worker=worker.name, attempt=1)
            worker.world.begin(worker.report(attempt.id, "returned"))
            await worker.answer(writer, stand_ins.response(202))
        elif attempt.number == 2:
            await asyncio.sleep(SLOW_ANSWER_S)
            await worker.turn_away(attempt, writer)
        else:
            await worker.accept(attempt, writer, RUN_S)


async def case(folder, record, trouble):
    """Upgrade the dispatcher while a request of a class that is not safe to repeat waits at a busy worker."""
    classes = [stand_ins.request_class("issue", "fragile")]
    world = stand_ins.World(folder, record, stand_ins.settings(classes), with_ops=True)
    fleet = Fleet(asyncio.Event())
    world.handle_job = fleet.handle_job
    for name in ("s-0badcafe", "s-5be2a07c"):
        await world.add_worker(name)
    try:
        await world.open()
        asking = world.begin(world.ask("issue", 15_000, hint_us=int(RUN_S * 1e6)))
        await asyncio.wait_for(fleet.received.wait(), 5)
        if trouble:
            await (await world.start_dispatcher()).ready(6.0)
            world.dispatchers[0].signal(signal.SIGTERM)
        else:
            await asyncio.sleep(0.7)
        fleet.may_hand_back.set()
        request_id = await asking
        await asyncio.sleep(RUN_S + 0.5)
        runs = world.runs_of(request_id)
        if not runs:
            raise stand_ins.NotRunError("the request was never run")
        if len(runs) > 1:
            where = ", ".join(f"attempt {run.attempt.number} at {run.attempt.worker}" for run in runs)
            return f"a request that is not safe to repeat ran {len(runs)} times: {where}"
        if world.answers[request_id].status in (429, 503):
            return "a request that has run was refused"
        return ""
    finally:
        await world.close()


if __name__ == "__main__":
    stand_ins.main(HERE, case)
