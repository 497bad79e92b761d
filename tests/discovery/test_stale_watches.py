"""A watch that falls silent, and lists that an agent on the same machine holds: what is told must be known in time."""

import asyncio
import json
from random import Random

import pytest

from badgerroad.discovery import watch_schedule
from badgerroad.load_balancing import interface
from tests.support.loopback import World, async_test, job, reply, serve, until
from tests.support.policy_driver import MS, SEC

TOLD = 6_000_000  # after a watch fell silent, what it misses counts as told


def listed(w, seq, state="ready", whole=True):
    hosts = [{**e, "health": state} for e in w.entries]
    return reply(200, json.dumps({"seq": seq, "whole": whole, "hosts": hosts}, indent=2).encode())


def heard_by(w):
    """What the module is told of the list from now on."""
    scopes, handle = [], w.dispatcher.decisions.handle
    w.dispatcher.decisions.handle = lambda now, e: (
        scopes.append(e.scope) if type(e) is interface.EndpointList else None
    ) or handle(now, e)
    return scopes


def test_what_a_silent_watch_misses_is_known_before_it_counts_as_told():
    assert watch_schedule.TOLD == TOLD
    assert watch_schedule.WAIT + watch_schedule.SILENCE + watch_schedule.LOOKS * watch_schedule.CALL_TIME <= TOLD
    schedules = [watch_schedule.WatchSchedule(200, n, Random(n)) for n in range(200)]
    for p in schedules:
        p.answered()
    waits = sorted(p.call().wait for p in schedules)
    # Of 200 that fell silent together, in 0.5 s.
    assert max(sum(a <= w < a + 500_000 for w in waits) for a in waits) < 80


@pytest.mark.parametrize("second_look", ["answered", "failed", "silent"])
@async_test
async def test_a_silent_watch_is_begun_anew_at_once_and_only_then_is_discovery_out(second_look, monkeypatch):
    for name, value in (("LEAST_WAIT", 40_000), ("WAIT", 60_000), ("SILENCE", 40_000), ("CALL_TIME", 200_000)):
        monkeypatch.setattr(watch_schedule, name, value)
    silent, looks = asyncio.Event(), []

    async def script(head, _body):
        if not silent.is_set() or b"wait=0" not in head:
            await asyncio.sleep(60 if silent.is_set() else 0)
            return reply(200, b'{"seq": 2, "whole": false, "hosts": []}')
        looks.append(head)
        await asyncio.sleep(60 if second_look == "silent" else 0)
        return listed(w, 3, "draining") if second_look == "answered" else reply(503)

    w = World(serve, discovery=script)
    async with w:
        await until(lambda: len(w.discovery.got) > 3)
        scopes, since = heard_by(w), len(w.discovery.got)
        silent.set()
        if second_look == "answered":
            await until(lambda: scopes and scopes[-1] == interface.ListScope.COMPLETE)
            assert interface.ListScope.FAILED not in scopes
            assert not w.dispatcher.decisions.subsets.ready
            await until(lambda: b"index=3&wait=" in w.discovery.got[-1][0])  # a watch again
        else:
            await until(lambda: scopes and scopes[-1] == interface.ListScope.FAILED)
        assert len(looks) == (1 if second_look == "answered" else 2)
        assert len(w.discovery.got) <= since + 4
        waits = [int(head.split(b"wait=")[1].split(b" ")[0]) for head, _ in w.discovery.got[1:]]
        assert all(40 <= wait <= 60 or not wait for wait in waits)


PUSHED = {"registryMode": "automatic", "siblings": 200, "index": 7}


@async_test
async def test_a_list_that_an_agent_holds_is_asked_for_at_once_by_a_new_process():
    """Nothing asks for it in the settings' sense: such a dispatcher never asked, and was never ready."""
    async with World(serve, discovery=lambda head, _body: listed(w, 5, "draining"), **PUSHED) as w:
        await until(lambda: w.dispatcher.ready)
        assert not w.dispatcher.decisions.subsets.ready
        assert (await w.ask(job(timeout=300)))[0] == 503
        assert not w.hosts[0].got


@async_test
async def test_an_agent_is_asked_again_soon_after_an_outage(monkeypatch):
    out = asyncio.Event()

    async def script(head, _body):
        if out.is_set():
            return None  # broken off
        return listed(w, 2) if b"wait=0" in head else await w.lists.get()

    w = World(serve, discovery=script, **PUSHED)
    async with w:
        await until(lambda: w.dispatcher.ready and len(w.discovery.got) == 2)
        out.set()
        w.lists.put_nowait(None)
        await until(lambda: len(w.discovery.got) > 9)  # the module alone would have asked again after some 20 s
        out.clear()
        w.lists.put_nowait(listed(w, 3, "draining"))
        await until(lambda: not w.dispatcher.decisions.subsets.ready)


@async_test
async def test_a_reload_to_pushed_lists_watches_unasked():
    async with World(serve, discovery=lambda head, _body: listed(w, 2), siblings=200) as w:
        assert not w.dispatcher.endpoint_watch.has_answered
        config = w.dispatcher.config
        w.dispatcher.reload(config._replace(settings=config.settings._replace(must_subscribe=False)))
        await until(lambda: w.dispatcher.ready)


@async_test
async def test_a_move_ends_the_pause_before_the_first_call():
    """News counts as told 4 s after it; of 200 dispatchers that start some pause for 20 s."""
    async with World(serve, discovery=lambda head, _body: listed(w, 2), siblings=200, index=3) as w:
        await asyncio.sleep(0.05)
        assert not w.discovery.got
        began = w.dispatcher.clock.now()
        w.dispatcher.endpoint_watch.change_address(("127.0.0.1", 1))  # nobody there
        w.dispatcher.endpoint_watch.change_address(("127.0.0.1", w.discovery.port))
        await until(lambda: w.dispatcher.ready)
        assert w.dispatcher.clock.now() - began < 2_000_000
        assert b"index" not in w.discovery.got[0][0]  # the whole list


class Discovery:
    """A discovery in virtual time, from one dispatcher's side: it is out at times, its watches fall silent or break, and
    of two looks that follow each other one may fail."""

    def __init__(self, seed, dispatchers):
        self.r = Random(seed)
        self.schedule = watch_schedule.WatchSchedule(dispatchers, self.r.randrange(dispatchers), Random(seed))
        self.outs = [(t, t + self.r.randrange(1, 12) * SEC) for t in range(20 * SEC, 200 * SEC, 30 * SEC)]
        self.failed = False

    def out(self, at):
        return next((end for begin, end in self.outs if begin <= at < end), 0)

    def known(self):
        """Runs 240 s; for each answer when the call that it answers was begun, and when it came."""
        at, answers = self.schedule.before(True), []
        while at < 240 * SEC:
            call, begun = self.schedule.call(), at
            fate, took = self.r.random(), self.r.randrange(1, 100) * MS
            came = begun + (call.wait or 0) + took
            next_out = next((b for b, _ in self.outs if begun <= b < came), 0)
            if self.out(begun):  # silent, refused, or failed after a while
                took, ok = self.r.choice([call.patience, 1 * MS, min(400 * MS, call.patience)]), False
            elif next_out:
                took, ok = next_out - begun + 1 * MS, False
            elif call.watches:
                ok = fate > 0.3
                took = call.wait + took if ok else call.patience if fate < 0.2 else self.r.randrange(call.wait)
            else:
                ok = self.failed or fate > 0.3
                self.failed = not ok
                took = took if ok else self.r.choice([call.patience, 1 * MS])
            at = begun + took
            if ok:
                answers.append((begun + (call.wait if call.watches else 0), at))
                self.schedule.answered()
            else:
                at += self.schedule.failed(call, took)
        return answers


@pytest.mark.parametrize("dispatchers", [1, 4, 6, 40, 200])
def test_over_random_chains_what_discovery_has_is_known_before_it_counts_as_told(dispatchers):
    for seed in range(60):
        d = Discovery(seed, dispatchers)
        answers = d.known()
        for change in range(0, 230 * SEC, 100 * MS):
            had = d.out(change) or change  # and could be reached
            while any(had < begin < had + TOLD for begin, _ in d.outs):
                had = next(end for begin, end in d.outs if had < begin < had + TOLD)  # counted anew at its return
            known = next((at for as_of, at in answers if as_of >= had), None)
            assert known is None or known - had <= TOLD, (seed, change, known - had)
            assert known is not None or had > 230 * SEC
