"""An extension may delay the admission of a request to the dispatch policy. Whatever happens until then, the request
gets exactly one final answer."""

import asyncio
import json

from badgerroad.extension import DispatcherExtension
from badgerroad.hot_restart import request_transfer
from badgerroad.load_balancing import interface
from badgerroad.load_balancing.settings_decoder import settings_from
from tests.support.loopback import SETTINGS, World, async_test, job, reply, serve, until


class HoldingExtension(DispatcherExtension):
    """Delays the admission of each request until the test releases it."""

    def __init__(self):
        self.held, self.forgotten = [], []

    def admit(self, request, event, proceed):
        self.held.append((request, event, proceed))

    def request_forgotten(self, request_id):
        self.forgotten.append(request_id)

    def release(self, index=0, **changed):
        _, event, proceed = self.held[index]
        proceed(event._replace(**changed))


def sent_attempts(w):
    return [head for peer in w.hosts for head, _ in peer.received if head.startswith(b"POST")]


def record_requests(w):
    """Record the requests that the dispatch policy receives from now on."""
    received, handle = [], w.dispatcher.decisions.handle

    def record_and_handle(now, event):
        if isinstance(event, interface.Request):
            received.append(event)
        return handle(now, event)

    w.dispatcher.decisions.handle = record_and_handle
    return received


async def send_held_request(w, holder, data=None):
    """Send a request and wait until it is held; returns the task of its answer."""
    w.dispatcher.set_extension("holder", holder)
    await until(lambda: w.dispatcher.ready)
    answer = w.begin(w.ask(data or job()))
    await until(lambda: holder.held)
    return answer


@async_test
async def test_the_policy_receives_a_held_request_when_it_is_released_with_its_changes():
    async with World(serve) as w:
        holder, received = HoldingExtension(), record_requests(w)
        answer = await send_held_request(w, holder)
        await asyncio.sleep(0.05)
        assert not received
        assert not sent_attempts(w)
        holder.release(time_left=1_234_567)
        assert (await answer)[0] == 200
        assert [e.time_left for e in received] == [1_234_567]
        assert len(sent_attempts(w)) == 1


@async_test
async def test_extensions_admit_in_order_and_each_receives_the_event_that_the_one_before_changed():
    async with World(serve) as w:
        first, second, received = HoldingExtension(), HoldingExtension(), record_requests(w)
        w.dispatcher.set_extension("first", first)
        w.dispatcher.set_extension("second", second)
        await until(lambda: w.dispatcher.ready)
        answer = w.begin(w.ask(job()))
        await until(lambda: first.held)
        assert not second.held
        first.release(work_hint=77)
        assert second.held[0][1].work_hint == 77
        assert not received
        second.release()
        assert (await answer)[0] == 200
        assert received[0].work_hint == 77


@async_test
async def test_a_held_request_whose_client_disconnects_is_forgotten_and_not_sent():
    async with World(serve) as w:
        holder, received = HoldingExtension(), record_requests(w)
        w.dispatcher.set_extension("holder", holder)
        await until(lambda: w.dispatcher.ready)
        _, writer = await w.connect()
        writer.write(job())
        await until(lambda: holder.held)
        writer.close()
        await until(lambda: holder.forgotten == [b"r1"])
        holder.release()
        await asyncio.sleep(0.05)
        assert not received
        assert not sent_attempts(w)
        assert not w.dispatcher.open_requests
        assert not w.dispatcher.has_pending_responses


@async_test
async def test_a_request_that_is_held_beyond_its_deadline_is_answered_once_and_never_sent():
    async with World(serve) as w:
        holder, received = HoldingExtension(), record_requests(w)
        answer = await send_held_request(w, holder, job(timeout=200))
        assert (await asyncio.wait_for(answer, 20))[0] == 504
        assert holder.forgotten == [b"r1"]
        holder.release()
        await asyncio.sleep(0.05)
        assert not received
        assert not sent_attempts(w)
        assert not w.dispatcher.open_requests


@async_test
async def test_a_request_that_is_held_when_the_drain_begins_is_answered():
    async with World(serve) as w:
        holder = HoldingExtension()
        answer = await send_held_request(w, holder)
        w.dispatcher.drain()
        assert w.dispatcher.has_pending_responses
        holder.release()
        assert (await answer)[0] == 200
        await until(lambda: not w.dispatcher.has_pending_responses)


@async_test
async def test_a_held_request_keeps_its_class_when_a_reload_removes_that_class():
    async with World(serve) as w:
        holder, received = HoldingExtension(), record_requests(w)
        answer = await send_held_request(w, holder)
        other_classes = [c for c in SETTINGS["requestClasses"] if c["name"] != "preview"]
        settings = settings_from(json.dumps({**SETTINGS, "requestClasses": other_classes}).encode())
        w.dispatcher.reload(w.dispatcher.config._replace(settings=settings))
        holder.release()
        assert (await answer)[0] == 200
        assert w.dispatcher.settings.classes[received[0].class_index].name == "preview"


@async_test
async def test_a_held_request_is_not_passed_to_another_process_before_it_is_admitted():
    def accept_without_events(_world, head, _body):
        return reply(200 if head.startswith(b"DELETE") else 202)

    async with World(accept_without_events) as w:
        holder = HoldingExtension()
        await send_held_request(w, holder)
        request = holder.held[0][0]
        assert not request_transfer.can_move(request)
        holder.release()
        await until(lambda: sent_attempts(w) and request_transfer.can_move(request))
