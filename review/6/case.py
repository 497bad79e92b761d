"""A job event that a worker repeats, because its answer was lost, is applied to the request's next attempt there."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

import world as stand_ins  # noqa: E402

RUN_S = 3.0


class Fleet:
    """Two workers that are full when the request comes, and have room again after that."""

    def __init__(self, proxy, trouble):
        """Lose answers on `proxy` from the first hand-back on, if `trouble`."""
        self.proxy, self.trouble = proxy, trouble

    async def handle_job(self, worker, attempt, head, body, writer):
        """Hand the first attempt back unstarted, turn the second one away, and run the others."""
        if attempt.number == 1:
            self.proxy.losing = self.trouble
            await worker.answer(writer, stand_ins.response(202))
            worker.world.record.add("handed_back", id=attempt.id, worker=worker.name, attempt=1)
            worker.world.begin(worker.report(attempt.id, "returned"))
            worker.world.begin(self.network_recovers())
        elif attempt.number == 2:
            await worker.turn_away(attempt, writer)
        else:
            await worker.accept(attempt, writer, RUN_S)

    async def network_recovers(self):
        """End the loss of answers after less than a second."""
        await asyncio.sleep(0.7)
        self.proxy.losing = False


async def case(folder, record, trouble):
    """Send one request whose repeats only the workers of one cell drop, and look in which cells it runs."""
    bundle = stand_ins.request_class(
        "bundle",
        "dedup",
        group="cell",
        goalTimeUs=1_200_000,
        deadlineUs=25_000_000,
        dedupWindowUs=40_000_000,
        worth=3.0,
    )
    world = stand_ins.World(folder, record, stand_ins.settings([bundle]))
    proxy = stand_ins.AnswerLosingProxy(world)
    world.handle_job = Fleet(proxy, trouble).handle_job
    port = await proxy.listen()
    for cell, name in enumerate(("s-0badcafe", "s-5be2a07c")):
        (await world.add_worker(name, cell=cell)).events_to = port
    try:
        await world.open()
        request_id = await world.ask("bundle", 25_000, key="5c0f6e1a2b3d4c59a8b7c6d5e4f30211", hint_us=int(RUN_S * 1e6))
        await asyncio.sleep(RUN_S + 0.5)
        return verdict(world, request_id)
    finally:
        await world.close()


def verdict(world, request_id):
    """Return how the rule was broken, or an empty text."""
    runs = world.runs_of(request_id)
    if not runs:
        raise stand_ins.NotRunError("the request was never run")
    first, *others = runs
    elsewhere = [
        run for run in others if world.workers[run.attempt.worker].cell != world.workers[first.attempt.worker].cell
    ]
    if elsewhere:
        places = ", ".join(
            f"attempt {run.attempt.number} at {run.attempt.worker} in cell {world.workers[run.attempt.worker].cell}"
            for run in (first, *elsewhere)
        )
        return f"a request whose repeats only one cell drops ran in several cells: {places}"
    if world.answers[request_id].status in (429, 503):
        return "a request that has run, and whose repeats only one cell drops, was refused"
    return ""


if __name__ == "__main__":
    stand_ins.main(HERE, case)
