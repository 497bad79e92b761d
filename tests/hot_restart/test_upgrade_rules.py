"""Two processes as one dispatcher: the rules under every loss, packets, and the copies of what the decisions know."""

import array
import json
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from badgerroad.hot_restart import rules
from badgerroad.hot_restart.rules import Action, Event
from badgerroad.load_balancing import interface, state
from badgerroad.load_balancing.policy import DispatchPolicy
from badgerroad.net import framing
from badgerroad.net.http1 import Parser
from badgerroad.net.ring_buffer import RingBuffer
from badgerroad.net.unix_channel import UnixChannel
from tests.support.loopback import async_test, until

WORDS = {
    Action.SEND_HELLO: Event.HELLO,
    Action.SEND_OFFER: Event.OFFER,
    Action.SEND_CLAIM: Event.CLAIM,
    Action.SEND_GRANT: Event.GRANT,
    Action.SEND_RETURN: Event.RETURN,
}


class Side:
    def __init__(self, machine, taking):
        self.machine, self.taking, self.inbox, self.alive, self.draining, self.linked = (
            machine,
            taking,
            [],
            True,
            False,
            True,
        )

    def do(self, actions, other):
        for action in actions:
            if action in WORDS and other.linked and self.linked:
                other.inbox.append(WORDS[action])
            if action in (Action.LISTEN, Action.ACCEPT, Action.RESUME_ACCEPTING):
                self.taking = True
            if action == Action.STOP_ACCEPTING:
                self.taking = False
            if action in (Action.DRAIN, Action.FINISH):
                self.draining = True
            if action == Action.CLOSE_CHANNEL and self.linked:
                self.linked = False
                other.inbox.append(Event.CHANNEL_LOST)


STEP = st.sampled_from(
    ["new", "old", "new", "old", "prepared", "term", "term new", "kill new", "kill old", "new waits", "old waits"]
)


@given(st.lists(STEP, max_size=30))
def test_one_process_takes_new_jobs_whatever_is_lost_and_whoever_dies(steps):
    new, old = Side(rules.Successor(), False), Side(rules.Predecessor(), True)
    new.do(new.machine.handle(Event.PEER_FOUND), old)
    failed = ended = False
    for step in steps + ["new", "old", "prepared"] * 6:
        side, other = (new, old) if "new" in step or step == "prepared" else (old, new)
        if not side.alive:
            continue
        if step in ("new", "old") and side.inbox:
            event = side.inbox.pop(0)
            if event == Event.CHANNEL_LOST:
                side.linked = False
            side.do(side.machine.handle(event), other)
        elif (
            step == "prepared"
            or step.endswith("waits")
            and side.machine.state in ("asking", "claiming", "returning", "alone", "offering", "yielded", "resuming")
        ):
            failed |= step != "prepared"
            side.do(side.machine.handle(Event.PREPARED if step == "prepared" else Event.TIMED_OUT), other)
        elif step == "term":
            old.do(old.machine.handle(Event.TERMINATE), new)
        elif step == "term new" and not ended:
            ended = True
            new.do(new.machine.handle(Event.TERMINATE), old)
        elif step.startswith("kill"):
            failed, side.alive, side.taking = True, False, False
            other.inbox.append(Event.CHANNEL_LOST)
        assert failed or not (new.taking and old.taking)
    if new.alive and not ended:
        assert new.taking  # also when the other was lost, silent or spoke nonsense
    assert not (new.alive or old.alive) or any(s.alive and (s.taking or s.draining) for s in (new, old))
    if new.alive and old.alive and not failed and ended and not old.draining:
        assert old.taking  # it was given all back


@given(st.dictionaries(st.text(max_size=5), st.text(max_size=40_000), max_size=4))
def test_long_heads_come_in_parts_and_whole(head):
    reader, parts = framing.Reader(), framing.pack("word", head)
    assert all(len(p) <= framing.MAX_PACKET_BYTES for p in parts)
    told = [reader.read(p) for p in parts]
    assert told[:-1] == [None] * (len(parts) - 1)
    assert told[-1] == ("word", {**head, "kind": "word"}, b"")


@pytest.mark.parametrize(
    "packet", [b"", b"{}\n", b"[]\n", b'{"kind":1}\n', b'{"kind":"x"}', b"\xff\n", b'{"kind":"part"}\n!']
)
def test_nonsense_is_no_packet(packet):
    with pytest.raises(framing.BadPacketError):
        framing.Reader().read(packet)


@pytest.mark.parametrize("speaks", [False, True])
@async_test
async def test_what_the_other_side_sent_last_is_heard_though_it_takes_nothing_any_more(speaks):
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    told, lost, (client, passed) = [], [], socket.socketpair()
    channel = UnixChannel(
        ours, lambda kind, head, payload, fd: told.append(socket.socket(fileno=fd)), lambda: lost.append(1)
    )
    channel.send("held", {})  # it ends with this unread
    for _ in "12":
        theirs.sendmsg(
            [framing.one("client", {})], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [passed.fileno()]))]
        )
    theirs.close()
    if speaks:
        channel.send("held", {})
        assert not channel.try_send("client", {}, b"", client.fileno())
        assert channel.busy
    await until(lambda: lost)
    for sock in told:
        sock.send(b"x")
    assert client.recv(9) == b"xx"


FORMS = [
    b"POST /a HTTP/1.1\r\nContent-Length: 5\r\nX: y\r\n\r\nhello",
    b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;e=1\r\nlo\r\n0\r\nT: u\r\n\r\n",
]


@pytest.mark.parametrize("text", FORMS)
def test_a_message_goes_on_in_another_parser_from_any_byte(text):
    for cut in range(len(text)):
        rings = RingBuffer(4096), RingBuffer(4096)
        first, second = Parser(rings[0]), Parser(rings[1])
        rings[0].put(text[:cut])
        assert first.next_message() is None
        rings[1].put(first.unconsumed_bytes())
        between = second.next_message()
        rings[1].put(text[cut:])
        message = between or second.next_message()
        assert message is not None
        assert message.body == b"hello"
        assert (message.method, message.path) == (b"POST", b"/a")


def fleet(n=1):
    d = DispatchPolicy(
        interface.Settings(
            (interface.RequestClass("s", deadline=9_000_000),),
            reports_start=True,
            progress_interval=1000,
            slow_start_share=0.2,
            slow_start_duration=10_000_000,
            overload_threshold=3.0,
            max_attempts=3,
        ),
        n,
    )
    d.handle(
        100,
        interface.EndpointList(
            interface.ListScope.COMPLETE, 1, tuple(interface.Endpoint(w, started_at=90 * (w == "c")) for w in "abc")
        ),
    )
    return d


def test_what_was_learned_and_an_open_job_go_on_in_another_module():
    old, new = fleet(), fleet(2)
    old.workers["c"].sent.append((150, 7.0))  # of its cold budget
    for n in range(1, 9):
        send = [
            a
            for a in old.handle(200 + n, interface.Request(n, time_left=9_000_000, work_hint=1000))
            if isinstance(a, interface.Send)
        ][0]
        old.handle(300 + n, interface.AttemptStarted(n, 0, send.worker))
        if n < 8:
            old.handle(
                2000 + n,
                interface.AttemptEnded(
                    n,
                    0,
                    send.worker,
                    interface.AttemptResult.ERROR if n == 1 else interface.AttemptResult.OK,
                    finished=True,
                ),
            )
    state.copy_in(new, json.loads(json.dumps(state.copy_out(old))))
    assert (vars(new.hints), new.soon) == (vars(old.hints), old.soon)
    for w in "abc":
        a, b = old.workers[w], new.workers[w]
        assert (a.strikes, a.until, vars(a.pace), list(a.sent)) == (
            b.strikes,
            b.until,
            vars(b.pace),
            [tuple(x) for x in b.sent],
        )
    job = json.loads(json.dumps(state.job_out(old, 8, 5000)))
    state.job_gone(old, 8)
    assert not old.jobs
    assert all(w.tally == w.running == 0 for w in old.workers.values())
    struck = new.workers[send.worker].strikes
    state.job_in(new, 1, old.settings.classes[0], job, 6000)
    assert new.jobs[1].deadline == 208 + 9_000_000 + 1000
    assert new.workers[send.worker].running == 1
    assert new.workers[send.worker].strikes > struck  # it has told nothing of the job for long: that is still watched
    again_sent = [
        a
        for a in new.handle(7000, interface.AttemptEnded(1, 0, send.worker, interface.AttemptResult.ERROR))
        if isinstance(a, interface.Send)
    ]
    assert len(again_sent) == 1
    assert again_sent[0].worker != send.worker
    assert len(new.jobs[1].attempts) == 2


def test_attempts_of_the_other_process_count_until_they_are_over():
    d = fleet()
    others = state.Others(d)
    others.sent("x", "a", 2.0, True, (150, 5.0))
    others.sent("y", "c", 1.0, False, (150, 5.0))
    others.sent("y", "c", 1.0, False, (150, 5.0))  # told twice
    others.started("x")
    a, c = d.workers["a"], d.workers["c"]
    assert (a.tally, a.longs, a.running, list(a.sent)) == (2.0, 1, 2.0, [])
    assert (c.tally, list(c.sent)) == (1.0, [(150, 5.0)])
    others.over("x")
    others.clear()
    assert a.tally == a.longs == a.running == c.tally == 0
