"""The ring, the wheel, the parser and the configuration, without sockets."""

import json
import os
import subprocess
import sys

import pytest

from badgerroad.net import http1, timer_wheel
from badgerroad.net.ring_buffer import RingBuffer
from tests.support.loopback import SETTINGS, host


def test_a_ring_wraps_grows_to_its_limit_and_shrinks_when_empty():
    ring = RingBuffer(64, initial_capacity=8)
    ring.put(b"abcdef")
    assert ring.take(4) == b"abcd"
    ring.put(b"ghijk")  # wraps inside the first 8 bytes
    assert ring.capacity == 8
    assert ring.peek() == b"efghijk"
    ring.put(b"x" * 57)
    assert ring.full
    assert ring.capacity == 64
    assert len(ring.writable()) == 0
    with pytest.raises(ValueError):
        ring.put(b"y")
    assert ring.take(99) == b"efghijk" + b"x" * 57
    ring.shrink()
    assert ring.capacity == 8


class Hand:
    """A loop and a clock moved by hand."""

    def __init__(self):
        self.time, self.calls = 10_500, []

    def now(self):
        return self.time

    def call_later(self, delay, call):
        self.calls = [(self.time + round(delay * 1e6), call)]
        return self.calls[0]

    def remove_timeout(self, _):
        self.calls = []

    def run_to(self, end):
        while self.calls and self.calls[0][0] <= end:
            self.time, call = self.calls.pop()
            call()
        self.time = end


def test_timers_fire_in_order_and_never_early_beyond_a_revolution_too():
    hand, fired = Hand(), []
    w = timer_wheel.TimerWheel(hand, hand)
    for delay in (3_000_000, 1, 2_600, 2_500):
        due = hand.now() + delay
        w.after(delay, lambda due=due: fired.append((due, hand.now())))
    w.after(5_500, lambda: w.after(100, lambda: fired.append((16_100, hand.now()))))
    w.after(5_000, lambda: fired.append("cancelled")).cancel()
    hand.run_to(4_000_000)
    assert [due for due, _ in fired] == [10_501, 13_000, 13_100, 16_100, 3_010_500]
    assert all(due <= at < due + 2 * timer_wheel.TICK_US for due, at in fired)


def test_a_timer_that_breaks_does_not_stop_the_others():
    hand, fired = Hand(), []
    w = timer_wheel.TimerWheel(hand, hand)
    w.after(100, lambda: 1 / 0)
    w.after(200, lambda: fired.append(1))
    w.after(90_000, lambda: fired.append(2))
    hand.run_to(200_000)
    assert fired == [1, 2]


def parse(data, step, responses=False):
    ring = RingBuffer(http1.MESSAGE_LIMIT)
    parser, messages = http1.Parser(ring, responses), []
    for at in range(0, len(data), step):
        ring.put(data[at : at + step])
        while (message := parser.next_message()) is not None:
            messages.append(message)
    return messages


@pytest.mark.parametrize("step", [1, 7, 1000])
def test_messages_come_whole_however_they_are_cut(step):
    data = (
        b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
        b"POST /b HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n2;x=y\r\nde\r\n1\r\nf\r\n0\r\nT: v\r\n\r\n"
        b"\r\nGET /c HTTP/1.1\r\nConnection: close\r\n\r\n"
    )
    assert [(m.target, m.body, m.close) for m in parse(data, step)] == [
        (b"/a", b"abc", False),
        (b"/b", b"def", False),
        (b"/c", b"", True),
    ]
    data = b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 204 No\r\n\r\nHTTP/1.1 202 X\r\nContent-Length: 1\r\n\r\ny"
    assert [(m.status, m.body) for m in parse(data, step, True)] == [(204, b""), (202, b"y")]


BAD = [
    (b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
    (b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    (b"POST /a HTTP/1.1\r\nContent-Length: -3\r\n\r\n", 400),
    (b"POST /a HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc", 400),
    (b"POST /a HTTP/1.1\r\n folded: x\r\n\r\n", 400),
    (b"POST /a HTTP/1.1\nHost: x\n\r\n\r\n", 400),
    (b"nonsense\r\n\r\n", 400),
    (b"POST /a HTTP/2.0\r\n\r\n", 505),
    (b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
    (b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n", 400),
    (b"POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
    (b"POST /a HTTP/1.1\r\nX: " + b"y" * 17000, 431),
]


@pytest.mark.parametrize(("data", "status"), BAD)
def test_what_could_be_framed_in_two_ways_is_refused(data, status):
    with pytest.raises(http1.BadMessageError) as e:
        parse(data, 4096)
    assert e.value.status == status


def test_a_start_loads_no_certificates_and_leaves_the_collector_on():
    code = (
        "import gc, sys; from badgerroad.__main__ import start; sys.argv[1:] = ['version']; start();"
        "import tornado.netutil as n; print(n._client_ssl_defaults.cert_store_stats()['x509'], gc.isenabled())"
    )
    env = {k: v for k, v in os.environ.items() if not k.startswith("SSL_CERT_")}
    p = subprocess.run([sys.executable, "-c", code], env=env, capture_output=True, text=True)
    assert p.stdout.split("\n")[1] == "0 True", p.stderr


GOOD = {
    "name": "n0",
    "listen": "127.0.0.1:7070",
    "discovery": "127.0.0.1:8500",
    "seed": "8c1f",
    "settings": SETTINGS,
    "known": {"seq": 1, "whole": True, "hosts": [host("h0", 1)]},
}


def check(tmp_path, config, **variables):
    (tmp_path / "c.json").write_text(config if isinstance(config, str) else json.dumps(config))
    env = {**os.environ, "PROXY_CONFIG": str(tmp_path / "c.json"), **variables}
    return subprocess.run([sys.executable, "-m", "badgerroad", "check-config"], env=env, capture_output=True, text=True)


def test_a_good_configuration_is_described(tmp_path):
    p = check(tmp_path, GOOD, PROXY_LISTEN="127.0.0.9:81")
    assert p.returncode == 0
    assert "2 classes, 1 known hosts" in p.stdout
    assert "127.0.0.9:81" in p.stdout


@pytest.mark.parametrize(
    ("config", "field"),
    [
        ("not json", "PROXY_CONFIG"),
        ({**GOOD, "listen": "nowhere"}, "listen"),
        ({**GOOD, "discovery": ""}, "discovery"),
        ({**GOOD, "seed": "xyz"}, "seed"),
        ({**GOOD, "limits": {"sockets": "many"}}, "limits.sockets"),
        ({**GOOD, "settings": {**SETTINGS, "siblings": 0}}, "dispatchers"),
        ({**GOOD, "settings": {**SETTINGS, "zones": 3}}, "settings.zones"),
        ({**GOOD, "settings": {**SETTINGS, "tickUs": "soon"}}, "tickUs"),
        ({**GOOD, "settings": {**SETTINGS, "permissions": {}}}, "tryLimit"),
        ({**GOOD, "known": {"hosts": []}}, "known"),
    ],
)
def test_bad_configuration_is_one_line_that_names_the_field(tmp_path, config, field):
    p = check(tmp_path, config)
    assert p.returncode == 2
    assert field in p.stderr
    assert p.stderr.count("\n") == 1
