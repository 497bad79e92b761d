"""The endpoint list follows discovery over loopback, through failed, invalid and missing answers."""

import asyncio
import json

from badgerroad.discovery import watch_schedule
from badgerroad.discovery.endpoint_watch import EndpointWatch
from badgerroad.load_balancing import interface
from tests.support.loopback import World, async_test, host, job, reply, serve, until


async def never(_world, _head, _body):
    await asyncio.sleep(60)


@async_test
async def test_the_worker_list_follows_discovery_and_an_invalid_answer_is_a_failure():
    async def script(head, body):
        return await w.whole_list(head, body) if len(w.discovery.received) < 4 else reply(200, b"{")

    w = World(serve, serve, discovery=script)
    async with w:
        scopes, handle = [], w.dispatcher.decisions.handle
        w.dispatcher.decisions.handle = lambda now, event: (
            scopes.append(event.scope) if type(event) is interface.EndpointList else None
        ) or handle(now, event)
        await until(lambda: scopes == [interface.ListScope.COMPLETE])
        w.lists.put_nowait({"seq": 3, "whole": False, "hosts": [host("h0", w.hosts[0].port, "draining")]})
        await until(lambda: scopes[1:] == [interface.ListScope.INCREMENTAL])
        assert (await w.ask(job("r1")))[0] == 200
        assert not w.hosts[0].received
        w.lists.put_nowait({"seq": 4, "whole": True, "hosts": [w.entries[0]]})  # a complete list without h1
        await until(lambda: len(scopes) >= 4)
        assert scopes[2:4] == [interface.ListScope.COMPLETE, interface.ListScope.FAILED]
        assert [worker.id for worker in w.dispatcher.decisions.subsets.ready] == ["h0"]
        index = [head.split(b" ")[1].split(b"&")[0] for head, _ in w.discovery.received]
        assert index[1:4] == [b"/api/targets?index=2", b"/api/targets?index=3", b"/api/targets?index=4"]


@async_test
async def test_after_a_restart_or_a_failure_only_the_changes_are_requested(monkeypatch):
    """Guards against requesting the complete list each time: 40 dispatchers doing so at once kept discovery busy
    for the rest of the day."""
    monkeypatch.setattr(watch_schedule, "POLL_RETRY_INTERVAL_US", 20_000)
    answers = [reply(503), reply(200, json.dumps({"seq": 5, "whole": False, "hosts": []}).encode()), reply(503)]

    async def script(_head, _body):
        return answers.pop(0) if answers else await never(None, None, None)

    async with World(serve, discovery=script) as w:
        await until(lambda: len(w.discovery.received) > 3)
        targets = [head.split(b" ")[1] for head, _ in w.discovery.received]
        assert targets[0] == b"/api/targets?index=1&wait=0"  # the version of the cached list
        assert [target.split(b"&")[0][-7:] for target in targets] == [b"index=1", b"index=1", b"index=5", b"index=5"]
        # All calls are polls, except for the watch that follows the successful poll.
        assert [target.endswith(b"wait=0") for target in targets] == [
            True,
            True,
            False,
            True,
        ]
        assert (await w.ask(job()))[0] == 200


@async_test
async def test_first_calls_are_staggered_for_many_dispatchers_and_not_for_few(monkeypatch):
    def first_call_delay(dispatchers, number):
        return EndpointWatch(None, None, None, ("", 1), None, dispatchers, number).schedule.first_call_delay(True)

    for dispatchers in (40, 200):
        delays = sorted(first_call_delay(dispatchers, number) for number in range(dispatchers))
        assert delays[0] >= 0
        assert delays[-1] <= 4_000_000
        assert first_call_delay(4, 1) == 0
        # In any 0.5 s less than a quarter of the calls start; an even spread would give an eighth.
        assert max(sum(start <= delay < start + 500_000 for delay in delays) for start in delays) < dispatchers / 4
    monkeypatch.setattr(watch_schedule, "FIRST_CALL_STAGGER_PER_DISPATCHER_US", 3_600_000_000)
    monkeypatch.setattr(watch_schedule, "MAX_FIRST_CALL_STAGGER_US", 3_600_000_000)
    async with World(serve, siblings=40, index=7) as w:
        assert (await w.ask(job()))[0] == 200  # served by the workers of the cached list
        await asyncio.sleep(0.1)
        assert not w.discovery.received
        assert not w.dispatcher.ready


@async_test
async def test_a_discovery_that_does_not_answer_is_a_failure_and_the_cached_workers_serve(monkeypatch):
    monkeypatch.setattr(watch_schedule, "POLL_TIMEOUT_US", 50_000)
    async with World(serve, discovery=lambda _head, _body: never(None, None, None)) as w:
        assert not w.dispatcher.ready
        await until(lambda: w.dispatcher.ready)
        subscription = w.dispatcher.decisions.subscription
        assert subscription.poll_at
        assert not subscription.confirmed
        assert (await w.ask(job()))[0] == 200
