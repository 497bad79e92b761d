"""Changes of the endpoint list are known in time, also if watches are not answered or an agent holds the list."""

import asyncio
import json
from random import Random

import pytest

from badgerroad.discovery import watch_schedule
from badgerroad.load_balancing import interface
from tests.support.loopback import World, async_test, job, reply, serve, until
from tests.support.policy_driver import MS, SEC

# A change must be known within this time, even if the watch is not answered.
NOTIFICATION_DEADLINE_US = 6_000_000


def list_answer(w, seq, state="ready", whole=True):
    hosts = [{**e, "health": state} for e in w.entries]
    return reply(200, json.dumps({"seq": seq, "whole": whole, "hosts": hosts}, indent=2).encode())


def record_scopes(w):
    """Record the scopes of the list updates that the dispatch policy receives from now on."""
    scopes, handle = [], w.dispatcher.decisions.handle
    w.dispatcher.decisions.handle = lambda now, event: (
        scopes.append(event.scope) if type(event) is interface.EndpointList else None
    ) or handle(now, event)
    return scopes


def test_changes_missed_by_an_unanswered_watch_are_known_before_the_deadline():
    assert watch_schedule.NOTIFICATION_DEADLINE_US == NOTIFICATION_DEADLINE_US
    assert (
        watch_schedule.MAX_WATCH_WAIT_US
        + watch_schedule.WATCH_ANSWER_GRACE_US
        + watch_schedule.FAILED_POLLS_BEFORE_UNAVAILABLE * watch_schedule.POLL_TIMEOUT_US
        <= NOTIFICATION_DEADLINE_US
    )
    schedules = [watch_schedule.WatchSchedule(200, number, Random(number)) for number in range(200)]
    for schedule in schedules:
        schedule.call_answered()
    waits = sorted(schedule.next_call().wait_us for schedule in schedules)
    # If the watches of 200 dispatchers are not answered, fewer than 80 of them end within the same 0.5 s.
    assert max(sum(start <= wait < start + 500_000 for wait in waits) for start in waits) < 80


@pytest.mark.parametrize("poll_result", ["answered", "failed", "silent"])
@async_test
async def test_an_unanswered_watch_is_followed_by_polls_before_discovery_is_unavailable(poll_result, monkeypatch):
    for name, value in (
        ("MIN_WATCH_WAIT_US", 40_000),
        ("MAX_WATCH_WAIT_US", 60_000),
        ("WATCH_ANSWER_GRACE_US", 40_000),
        ("POLL_TIMEOUT_US", 200_000),
    ):
        monkeypatch.setattr(watch_schedule, name, value)
    silent, polls = asyncio.Event(), []

    async def script(head, _body):
        if not silent.is_set() or b"wait=0" not in head:
            await asyncio.sleep(60 if silent.is_set() else 0)
            return reply(200, b'{"seq": 2, "whole": false, "hosts": []}')
        polls.append(head)
        await asyncio.sleep(60 if poll_result == "silent" else 0)
        return list_answer(w, 3, "draining") if poll_result == "answered" else reply(503)

    w = World(serve, discovery=script)
    async with w:
        await until(lambda: len(w.discovery.received) > 3)
        scopes, calls_before = record_scopes(w), len(w.discovery.received)
        silent.set()
        if poll_result == "answered":
            await until(lambda: scopes and scopes[-1] == interface.ListScope.COMPLETE)
            assert interface.ListScope.FAILED not in scopes
            assert not w.dispatcher.decisions.subsets.ready
            await until(lambda: b"index=3&wait=" in w.discovery.received[-1][0])  # the next call is a watch again
        else:
            await until(lambda: scopes and scopes[-1] == interface.ListScope.FAILED)
        assert len(polls) == (1 if poll_result == "answered" else 2)
        assert len(w.discovery.received) <= calls_before + 4
        waits = [int(head.split(b"wait=")[1].split(b" ")[0]) for head, _ in w.discovery.received[1:]]
        assert all(40 <= wait <= 60 or not wait for wait in waits)


AGENT_SETTINGS = {"registryMode": "automatic", "siblings": 200, "index": 7}


@async_test
async def test_a_new_process_requests_the_list_of_an_agent_at_once():
    """With an agent the policy does not subscribe. Guards against a watch that is therefore never started, so that the
    dispatcher never becomes ready."""
    async with World(serve, discovery=lambda head, _body: list_answer(w, 5, "draining"), **AGENT_SETTINGS) as w:
        await until(lambda: w.dispatcher.ready)
        assert not w.dispatcher.decisions.subsets.ready
        assert (await w.ask(job(timeout=300)))[0] == 503
        assert not w.hosts[0].received


@async_test
async def test_an_agent_is_called_again_soon_after_an_outage(monkeypatch):
    agent_down = asyncio.Event()

    async def script(head, _body):
        if agent_down.is_set():
            return None  # closes the connection
        return list_answer(w, 2) if b"wait=0" in head else await w.lists.get()

    w = World(serve, discovery=script, **AGENT_SETTINGS)
    async with w:
        await until(lambda: w.dispatcher.ready and len(w.discovery.received) == 2)
        agent_down.set()
        w.lists.put_nowait(None)
        await until(lambda: len(w.discovery.received) > 9)  # the policy's own retry would come only after about 20 s
        agent_down.clear()
        w.lists.put_nowait(list_answer(w, 3, "draining"))
        await until(lambda: not w.dispatcher.decisions.subsets.ready)


@async_test
async def test_a_reload_to_lists_of_an_agent_starts_the_watch_without_a_subscription():
    async with World(serve, discovery=lambda head, _body: list_answer(w, 2), siblings=200) as w:
        assert not w.dispatcher.endpoint_watch.has_answered
        config = w.dispatcher.config
        w.dispatcher.reload(config._replace(settings=config.settings._replace(must_subscribe=False)))
        await until(lambda: w.dispatcher.ready)


@async_test
async def test_a_change_of_address_ends_the_delay_before_the_first_call():
    """A change must be known 4 s after discovery has moved to another address. Of 200 starting dispatchers, however,
    some wait almost 4 s before the first call, and without MAX_FIRST_CALL_STAGGER_US up to 20 s."""
    async with World(serve, discovery=lambda head, _body: list_answer(w, 2), siblings=200, index=3) as w:
        await asyncio.sleep(0.05)
        assert not w.discovery.received
        started_at = w.dispatcher.clock.now()
        w.dispatcher.endpoint_watch.change_address(("127.0.0.1", 1))  # nothing listens there
        w.dispatcher.endpoint_watch.change_address(("127.0.0.1", w.discovery.port))
        await until(lambda: w.dispatcher.ready)
        assert w.dispatcher.clock.now() - started_at < 2_000_000
        assert b"index" not in w.discovery.received[0][0]  # the complete list


class Discovery:
    """A simulated discovery, as one dispatcher sees it: it has outages, its watches are not answered or break, and of
    two polls in succession one may fail."""

    def __init__(self, seed, dispatchers):
        self.random = Random(seed)
        self.schedule = watch_schedule.WatchSchedule(dispatchers, self.random.randrange(dispatchers), Random(seed))
        self.outages = [(t, t + self.random.randrange(1, 12) * SEC) for t in range(20 * SEC, 200 * SEC, 30 * SEC)]
        self.last_poll_failed = False

    def outage_end(self, at):
        """Return the end of the outage that includes the given time; 0 if no outage does."""
        return next((end for begin, end in self.outages if begin <= at < end), 0)

    def run(self):
        """Simulate 240 s; for each answer, return the time of the list that it holds and the time when it came."""
        at, answers = self.schedule.first_call_delay(True), []
        while at < 240 * SEC:
            call, started_at = self.schedule.next_call(), at
            fate, took = self.random.random(), self.random.randrange(1, 100) * MS
            answered_at = started_at + (call.wait_us or 0) + took
            next_outage = next((begin for begin, _ in self.outages if started_at <= begin < answered_at), 0)
            if self.outage_end(started_at):  # the call is not answered, is refused, or fails after a while
                took, ok = self.random.choice([call.timeout_us, 1 * MS, min(400 * MS, call.timeout_us)]), False
            elif next_outage:
                took, ok = next_outage - started_at + 1 * MS, False
            elif call.is_watch:
                ok = fate > 0.3
                took = (
                    call.wait_us + took
                    if ok
                    else call.timeout_us
                    if fate < 0.2
                    else self.random.randrange(call.wait_us)
                )
            else:
                ok = self.last_poll_failed or fate > 0.3
                self.last_poll_failed = not ok
                took = took if ok else self.random.choice([call.timeout_us, 1 * MS])
            at = started_at + took
            if ok:
                answers.append((started_at + (call.wait_us if call.is_watch else 0), at))
                self.schedule.call_answered()
            else:
                at += self.schedule.call_failed(call, took)
        return answers


@pytest.mark.parametrize("dispatchers", [1, 4, 6, 40, 200])
def test_over_random_failures_each_change_is_known_before_the_deadline(dispatchers):
    for seed in range(60):
        discovery = Discovery(seed, dispatchers)
        answers = discovery.run()
        for change in range(0, 230 * SEC, 100 * MS):
            # The deadline of a change starts when discovery is reachable: at the change, or at the end of an outage.
            available = discovery.outage_end(change) or change
            while any(available < begin < available + NOTIFICATION_DEADLINE_US for begin, _ in discovery.outages):
                # An outage within the deadline restarts it at the end of that outage.
                available = next(
                    end for begin, end in discovery.outages if available < begin < available + NOTIFICATION_DEADLINE_US
                )
            known = next((at for as_of, at in answers if as_of >= available), None)
            assert known is None or known - available <= NOTIFICATION_DEADLINE_US, (seed, change, known - available)
            assert known is not None or available > 230 * SEC
