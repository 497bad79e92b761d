"""Scenarios over loopback: the worker list follows discovery, whatever fails there."""

import asyncio
import json

from badgerroad.discovery import watch_schedule
from badgerroad.discovery.endpoint_watch import EndpointWatch
from badgerroad.load_balancing import interface
from tests.support.loopback import World, async_test, host, job, reply, serve, until


async def never(_world, _head, _body):
    await asyncio.sleep(60)


@async_test
async def test_the_worker_list_follows_discovery_and_garbage_is_a_failure():
    async def script(head, body):
        return await w.whole_list(head, body) if len(w.discovery.got) < 4 else reply(200, b"{")

    w = World(serve, serve, discovery=script)
    async with w:
        scopes, handle = [], w.dispatcher.decisions.handle
        w.dispatcher.decisions.handle = lambda now, e: (
            scopes.append(e.scope) if type(e) is interface.EndpointList else None
        ) or handle(now, e)
        await until(lambda: scopes == [interface.ListScope.COMPLETE])
        w.lists.put_nowait({"seq": 3, "whole": False, "hosts": [host("h0", w.hosts[0].port, "draining")]})
        await until(lambda: scopes[1:] == [interface.ListScope.INCREMENTAL])
        assert (await w.ask(job("r1")))[0] == 200
        assert not w.hosts[0].got
        w.lists.put_nowait({"seq": 4, "whole": True, "hosts": [w.entries[0]]})  # h1 is absent: gone
        await until(lambda: len(scopes) >= 4)
        assert scopes[2:4] == [interface.ListScope.COMPLETE, interface.ListScope.FAILED]
        assert [x.id for x in w.dispatcher.decisions.subsets.ready] == ["h0"]
        index = [h.split(b" ")[1].split(b"&")[0] for h, _ in w.discovery.got]
        assert index[1:4] == [b"/api/targets?index=2", b"/api/targets?index=3", b"/api/targets?index=4"]


@async_test
async def test_a_restart_and_a_failure_ask_only_for_what_has_changed(monkeypatch):
    """The whole list, asked for by 40 at once, kept discovery busy for the rest of the day."""
    monkeypatch.setattr(watch_schedule, "AGAIN", 20_000)
    answers = [reply(503), reply(200, json.dumps({"seq": 5, "whole": False, "hosts": []}).encode()), reply(503)]

    async def script(_head, _body):
        return answers.pop(0) if answers else await never(None, None, None)

    async with World(serve, discovery=script) as w:
        await until(lambda: len(w.discovery.got) > 3)
        asked = [head.split(b" ")[1] for head, _ in w.discovery.got]
        assert asked[0] == b"/api/targets?index=1&wait=0"  # the list it was told at the start
        assert [a.split(b"&")[0][-7:] for a in asked] == [b"index=1", b"index=1", b"index=5", b"index=5"]
        assert [a.endswith(b"wait=0") for a in asked] == [
            True,
            True,
            False,
            True,
        ]  # after a failure it only takes its turn
        assert (await w.ask(job()))[0] == 200


@async_test
async def test_many_dispatchers_spread_their_first_call_and_few_do_not(monkeypatch):
    def spread(dispatchers, number):
        return EndpointWatch(None, None, None, ("", 1), None, dispatchers, number).schedule.before(True)

    for many in (40, 200):
        first = sorted(spread(many, number) for number in range(many))
        assert first[0] >= 0
        assert first[-1] <= 4_000_000
        assert spread(4, 1) == 0
        assert max(sum(a <= x < a + 500_000 for x in first) for a in first) < many / 4  # an eighth on average in 0.5 s
    monkeypatch.setattr(watch_schedule, "FIRST", 3_600_000_000)
    monkeypatch.setattr(watch_schedule, "MOST_FIRST", 3_600_000_000)
    async with World(serve, siblings=40, index=7) as w:
        assert (await w.ask(job()))[0] == 200  # the known hosts serve meanwhile
        await asyncio.sleep(0.1)
        assert not w.discovery.got
        assert not w.dispatcher.ready


@async_test
async def test_a_silent_discovery_is_a_failure_and_the_known_hosts_serve_on(monkeypatch):
    monkeypatch.setattr(watch_schedule, "CALL_TIME", 50_000)
    async with World(serve, discovery=lambda _head, _body: never(None, None, None)) as w:
        assert not w.dispatcher.ready
        await until(lambda: w.dispatcher.ready)
        subscription = w.dispatcher.decisions.subscription
        assert subscription.poll_at
        assert not subscription.confirmed
        assert (await w.ask(job()))[0] == 200
