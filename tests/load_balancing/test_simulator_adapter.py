"""Frames written from the wire's page, fed to the adapter as a process and in place."""

import io
import json
import struct
import subprocess
import sys

import pytest

from badgerroad.load_balancing import interface, simulator_adapter

CONFIG = {
    "siblings": 1,
    "index": 0,
    "tickUs": 5000,
    "registryMode": "subscribe",
    "unknownKey": {"x": 1},
    "requestClasses": [{"name": "a", "semantics": "retryable", "goalTimeUs": 400000, "deadlineUs": 6000000}],
    "permissions": {"tryLimit": 3},
    "obligations": {
        "stopSendingWithinUs": 1,
        "answerSlackUs": 1,
        "coldFrom": 0.1,
        "coldUs": 1,
        "fallMultiple": 3,
        "overloadForUs": 1,
    },
}
WORKER = bytes.fromhex("0a124a07c32b")


def rec(text):
    return bytes.fromhex(text.replace(" ", "")).ljust(48, b"\0")


def frame(number, records, tail=b"", now=10_000_000):
    body = b"".join(records) + tail
    return struct.pack("<IIIQ", number, len(records), len(body), now) + body


def start(config=None):
    text = config if isinstance(config, bytes) else json.dumps(config or CONFIG).encode()
    entry = bytes.fromhex("0000000000000000 0a124a07c32b 03 0000 0000 0000 0000803f".replace(" ", ""))
    return frame(
        1,
        [
            rec("0d 03000000"),
            rec("01")[:1] + struct.pack("<QII", 7, 0, len(text)) + bytes(31),
            b"\x0b" + struct.pack("<HII", 0, len(text), 1) + bytes(37),
            rec("02 02 2900000000000000 0000"),
        ],
        text + entry,
    )


ACCEPT = rec("03 c4913a5d39310c00 0000 0000 640ad2557c3bf091 80a90300 e02e0000 00000040 00000000 0100")


def run(data):
    return subprocess.run(
        [sys.executable, "-m", "badgerroad.load_balancing.simulator_adapter"],
        input=data,
        capture_output=True,
        timeout=20,
    )


def test_an_accept_is_forwarded_and_the_end_of_input_ends_it():
    p = run(frame(0, []) + start() + frame(2, [rec("0d 03000000"), ACCEPT]))
    assert p.returncode == 0
    assert p.stderr == b""
    assert p.stdout[:12] == struct.pack("<III", 0, 0, 0)
    assert bytes.fromhex("45c4913a5d39310c00") + WORKER in p.stdout


@pytest.mark.parametrize(
    ("data", "words"),
    [
        (start()[:30], b"truncated"),
        (start()[:10], b"truncated frame header"),
        (start() + frame(2, [rec("0d 03000000"), rec("63")]), b"unknown event code 99"),
        (start() + frame(2, [rec("0b 0000 ffff0000 02000000")]), b"offset"),
        (start() + frame(2, [rec("0d 03000000"), ACCEPT[:9] + b"\x05\x00" + ACCEPT[11:]]), b"class index 5"),
        (start(b"not json"), b"settings"),
        (start({k: v for k, v in CONFIG.items() if k != "siblings"}), b"siblings"),
        (start({**CONFIG, "siblings": 0}), b"dispatchers"),
    ],
)
def test_bad_input_gets_one_plain_message(data, words):
    p = run(data)
    assert p.returncode != 0
    assert words in p.stderr
    assert p.stderr.count(b"\n") == 1


def test_an_exception_goes_out_as_fault(monkeypatch):
    def broken(self, now, event):
        raise RuntimeError("boom")

    monkeypatch.setattr(simulator_adapter.DispatchPolicy, "handle", broken)
    out = io.BytesIO()
    simulator_adapter.run(io.BytesIO(start()), out)
    assert b"RuntimeError: boom" in out.getvalue()
    assert out.getvalue()[36] == 75


def test_restart_in_one_batch_forgets_what_the_old_one_said():
    p = simulator_adapter.Process()
    first = start()
    p.batch(1, 4, 10_000_000, first[20:])
    text = json.dumps(CONFIG).encode()
    records = [
        rec("0d 03000000"),
        ACCEPT,
        rec("0a"),
        b"\x01" + struct.pack("<QII", 8, 0, len(text)) + bytes(31),
        rec("02 02 2900000000000000 0000"),
    ]
    reply = p.batch(2, 5, 10_005_000, b"".join(records) + text)
    assert bytes.fromhex("c4913a5d39310c00") not in reply


def test_every_action_has_its_record():
    tail = bytearray()
    records = simulator_adapter.pack(
        [
            interface.Send(1, WORKER, 9),
            interface.Reject(1, 5),
            interface.Fail(1),
            interface.Cancel(1, 2),
            interface.SetTimer(500000, 0x4D),
            interface.Subscribe(),
            interface.FetchEndpoints(),
            interface.HealthCheck(WORKER),
            interface.CloseIdle(WORKER),
            interface.SendToPeer(-1, b"hi"),
            interface.Log("two"),
        ],
        tail,
    )
    assert [r[0] for r in records] == [69, 77, 68, 65, 66, 67, 72, 71, 76, 73, 70]
    assert all(len(r) == 24 for r in records)
    assert bytes(tail) == b"hitwo"
    assert records[4] == bytes.fromhex("42 20a10700 4d00000000000000".replace(" ", "")).ljust(24, b"\0")
    assert records[9][:13] == bytes.fromhex("49ffffffff0000000002000000")


class Recorder:
    """An instance that keeps the events that it is given."""

    def __init__(self):
        self.events = []

    def handle(self, _now, event):
        self.events.append(event)
        return []


def test_outcome_with_and_without_a_report():
    p, recorder = simulator_adapter.Process(), Recorder()
    p.instances[0] = recorder
    select = rec("0d 00000000")
    body = rec("05 c4913a5d39310c00 0000 0a124a07c32b 0000 44480000 01 00 00")
    p.batch(1, 2, 10_000_000, select + body)
    body = body[:25] + b"\x02" + struct.pack("<2f", 1.5, 2.0) + body[34:]
    p.batch(2, 2, 10_000_000, select + body)
    without, with_report = recorder.events
    assert without == interface.AttemptEnded(0xC31395D3A91C4, 0, WORKER, interface.AttemptResult.OK, 0x4844, True, None)
    assert with_report.load_report == (1.5, 2.0)
