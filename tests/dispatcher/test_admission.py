"""An extension may hold a taken request before the module hears of it: whatever happens meanwhile, one final answer."""

import asyncio
import json

from badgerroad.extension import DispatcherExtension
from badgerroad.hot_restart import request_transfer
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.settings_decoder import settings_from
from tests.support.loopback import SETTINGS, World, async_test, job, reply, serve, until


class Holder(DispatcherExtension):
    """Holds whatever comes; the test lets it go on."""

    def __init__(self):
        self.held, self.gone = [], []

    def admit(self, request, event, proceed):
        self.held.append((request, event, proceed))

    def request_forgotten(self, request_id):
        self.gone.append(request_id)

    def release(self, place=0, **changed):
        _, event, proceed = self.held[place]
        proceed(event._replace(**changed))


def sends(w):
    return [head for peer in w.hosts for head, _ in peer.got if head.startswith(b"POST")]


def heard(w):
    """The requests that the module hears of from now on."""
    got, handle = [], w.dispatcher.decisions.handle

    def handle_and_keep(now, event):
        if isinstance(event, interface.Request):
            got.append(event)
        return handle(now, event)

    w.dispatcher.decisions.handle = handle_and_keep
    return got


async def held_by(w, holder, data=None):
    """The answer to come to a request that is held now."""
    w.dispatcher.set_extension("holder", holder)
    await until(lambda: w.dispatcher.ready)
    answer = w.begin(w.ask(data or job()))
    await until(lambda: holder.held)
    return answer


@async_test
async def test_the_module_hears_of_a_held_request_once_it_may_go_on_as_it_is_then():
    async with World(serve) as w:
        holder, got = Holder(), heard(w)
        answer = await held_by(w, holder)
        await asyncio.sleep(0.05)
        assert not got
        assert not sends(w)
        holder.release(time_left=1_234_567)
        assert (await answer)[0] == 200
        assert [e.time_left for e in got] == [1_234_567]
        assert len(sends(w)) == 1


@async_test
async def test_extensions_admit_in_order_and_each_hears_what_the_one_before_made_of_it():
    async with World(serve) as w:
        first, second, got = Holder(), Holder(), heard(w)
        w.dispatcher.set_extension("first", first)
        w.dispatcher.set_extension("second", second)
        await until(lambda: w.dispatcher.ready)
        answer = w.begin(w.ask(job()))
        await until(lambda: first.held)
        assert not second.held
        first.release(work_hint=77)
        assert second.held[0][1].work_hint == 77
        assert not got
        second.release()
        assert (await answer)[0] == 200
        assert got[0].work_hint == 77


@async_test
async def test_a_client_that_leaves_while_its_request_is_held_is_forgotten_and_nothing_is_sent():
    async with World(serve) as w:
        holder, got = Holder(), heard(w)
        w.dispatcher.set_extension("holder", holder)
        await until(lambda: w.dispatcher.ready)
        _, writer = await w.connect()
        writer.write(job())
        await until(lambda: holder.held)
        writer.close()
        await until(lambda: holder.gone == [b"r1"])
        holder.release()
        await asyncio.sleep(0.05)
        assert not got
        assert not sends(w)
        assert not w.dispatcher.open_requests
        assert not w.dispatcher.has_pending_responses


@async_test
async def test_a_request_that_is_held_beyond_its_time_is_answered_once_and_never_sent():
    async with World(serve) as w:
        holder, got = Holder(), heard(w)
        answer = await held_by(w, holder, job(timeout=200))
        assert (await asyncio.wait_for(answer, 20))[0] == 504
        assert holder.gone == [b"r1"]
        holder.release()
        await asyncio.sleep(0.05)
        assert not got
        assert not sends(w)
        assert not w.dispatcher.open_requests


@async_test
async def test_a_request_that_is_held_when_the_end_is_told_is_owed_and_answered():
    async with World(serve) as w:
        holder = Holder()
        answer = await held_by(w, holder)
        w.dispatcher.drain()
        assert w.dispatcher.has_pending_responses
        holder.release()
        assert (await answer)[0] == 200
        await until(lambda: not w.dispatcher.has_pending_responses)


@async_test
async def test_a_request_keeps_its_class_when_a_reload_takes_that_class_away_while_it_is_held():
    async with World(serve) as w:
        holder, got = Holder(), heard(w)
        answer = await held_by(w, holder)
        others = [c for c in SETTINGS["requestClasses"] if c["name"] != "preview"]
        settings = settings_from(json.dumps({**SETTINGS, "requestClasses": others}).encode())
        w.dispatcher.reload(w.dispatcher.config._replace(settings=settings))
        holder.release()
        assert (await answer)[0] == 200
        assert w.dispatcher.settings.classes[got[0].class_index].name == "preview"


@async_test
async def test_a_held_request_is_not_passed_to_another_process_before_the_module_has_heard_of_it():
    def silent(_world, head, _body):
        return reply(200 if head.startswith(b"DELETE") else 202)

    async with World(silent) as w:
        holder = Holder()
        await held_by(w, holder)
        request = holder.held[0][0]
        assert not request_transfer.can_move(request)
        holder.release()
        await until(lambda: sends(w) and request_transfer.can_move(request))
