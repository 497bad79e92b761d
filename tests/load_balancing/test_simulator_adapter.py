"""The simulator adapter, given frames that follow the wire format, as a process and called directly."""

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


def event_record(text):
    return bytes.fromhex(text.replace(" ", "")).ljust(48, b"\0")


def frame(number, records, tail=b"", now=10_000_000):
    body = b"".join(records) + tail
    return struct.pack("<IIIQ", number, len(records), len(body), now) + body


def start_frame(config=None):
    text = config if isinstance(config, bytes) else json.dumps(config or CONFIG).encode()
    entry = bytes.fromhex("0000000000000000 0a124a07c32b 03 0000 0000 0000 0000803f".replace(" ", ""))
    return frame(
        1,
        [
            event_record("0d 03000000"),
            event_record("01")[:1] + struct.pack("<QII", 7, 0, len(text)) + bytes(31),
            b"\x0b" + struct.pack("<HII", 0, len(text), 1) + bytes(37),
            event_record("02 02 2900000000000000 0000"),
        ],
        text + entry,
    )


REQUEST_RECORD = event_record("03 c4913a5d39310c00 0000 0000 640ad2557c3bf091 80a90300 e02e0000 00000040 00000000 0100")


def run(data):
    return subprocess.run(
        [sys.executable, "-m", "badgerroad.load_balancing.simulator_adapter"],
        input=data,
        capture_output=True,
        timeout=20,
    )


def test_a_request_is_sent_to_the_worker_and_the_end_of_input_ends_the_process():
    process = run(frame(0, []) + start_frame() + frame(2, [event_record("0d 03000000"), REQUEST_RECORD]))
    assert process.returncode == 0
    assert process.stderr == b""
    assert process.stdout[:12] == struct.pack("<III", 0, 0, 0)
    assert bytes.fromhex("45c4913a5d39310c00") + WORKER in process.stdout


@pytest.mark.parametrize(
    ("data", "expected_text"),
    [
        (start_frame()[:30], b"truncated"),
        (start_frame()[:10], b"truncated frame header"),
        (start_frame() + frame(2, [event_record("0d 03000000"), event_record("63")]), b"unknown event code 99"),
        (start_frame() + frame(2, [event_record("0b 0000 ffff0000 02000000")]), b"offset"),
        (
            start_frame()
            + frame(2, [event_record("0d 03000000"), REQUEST_RECORD[:9] + b"\x05\x00" + REQUEST_RECORD[11:]]),
            b"class index 5",
        ),
        (start_frame(b"not json"), b"settings"),
        (start_frame({k: v for k, v in CONFIG.items() if k != "siblings"}), b"siblings"),
        (start_frame({**CONFIG, "siblings": 0}), b"dispatchers"),
    ],
)
def test_invalid_input_ends_the_process_with_one_line_on_stderr(data, expected_text):
    process = run(data)
    assert process.returncode != 0
    assert expected_text in process.stderr
    assert process.stderr.count(b"\n") == 1


def test_an_exception_of_the_policy_is_reported_as_a_fault(monkeypatch):
    def broken(self, now, event):
        raise RuntimeError("boom")

    monkeypatch.setattr(simulator_adapter.DispatchPolicy, "handle", broken)
    output = io.BytesIO()
    simulator_adapter.run(io.BytesIO(start_frame()), output)
    assert b"RuntimeError: boom" in output.getvalue()
    assert output.getvalue()[36] == 75


def test_restart_within_one_frame_drops_the_actions_of_the_old_instance():
    process = simulator_adapter.Process()
    first = start_frame()
    process.batch(1, 4, 10_000_000, first[20:])
    text = json.dumps(CONFIG).encode()
    records = [
        event_record("0d 03000000"),
        REQUEST_RECORD,
        event_record("0a"),
        b"\x01" + struct.pack("<QII", 8, 0, len(text)) + bytes(31),
        event_record("02 02 2900000000000000 0000"),
    ]
    reply = process.batch(2, 5, 10_005_000, b"".join(records) + text)
    assert bytes.fromhex("c4913a5d39310c00") not in reply


def test_every_action_is_packed_as_a_record_of_24_bytes():
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
    assert [row[0] for row in records] == [69, 77, 68, 65, 66, 67, 72, 71, 76, 73, 70]
    assert all(len(row) == 24 for row in records)
    assert bytes(tail) == b"hitwo"
    assert records[4] == bytes.fromhex("42 20a10700 4d00000000000000".replace(" ", "")).ljust(24, b"\0")
    assert records[9][:13] == bytes.fromhex("49ffffffff0000000002000000")


class Recorder:
    """A policy instance that records the events it receives."""

    def __init__(self):
        self.events = []

    def handle(self, _now, event):
        self.events.append(event)
        return []


def test_attempt_end_is_decoded_with_and_without_a_load_report():
    process, recorder = simulator_adapter.Process(), Recorder()
    process.instances[0] = recorder
    select_instance = event_record("0d 00000000")
    ended = event_record("05 c4913a5d39310c00 0000 0a124a07c32b 0000 44480000 01 00 00")
    process.batch(1, 2, 10_000_000, select_instance + ended)
    ended = ended[:25] + b"\x02" + struct.pack("<2f", 1.5, 2.0) + ended[34:]
    process.batch(2, 2, 10_000_000, select_instance + ended)
    without_report, with_report = recorder.events
    assert without_report == interface.AttemptEnded(
        0xC31395D3A91C4, 0, WORKER, interface.AttemptResult.OK, 0x4844, True, None
    )
    assert with_report.load_report == (1.5, 2.0)
