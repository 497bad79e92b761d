"""Runs many isolated policy instances for the simulator, which sends frames on standard input and reads replies.

A frame consists of a header, event records and a tail with strings and lists. The reply consists of a header, action
records and a tail with strings. Codes and layouts follow the specification of the wire format. Only this module maps
them to the events and actions of `interface`.
"""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from struct import Struct
from typing import Any, BinaryIO

from badgerroad.load_balancing import interface
from badgerroad.load_balancing.policy import DispatchPolicy
from badgerroad.load_balancing.settings_decoder import SettingsError, settings_from

EXIT_OK, EXIT_BAD_INPUT = 0, 2

FRAME_HEADER = Struct("<IIIQ")
REPLY_HEADER = Struct("<III")
EVENT_SIZE = 48
"""Size of an event record in bytes, including its code."""
LIST_ENTRY = Struct("<Q6sBHHHf")

# Codes of records that `Process.batch` handles itself.
INIT, KILL, LIST, INSTANCE = 1, 10, 11, 13
# Codes of events, each read by a method in `Process._readers`.
ENDPOINTS, REQUEST, STREAM_STARTED, ATTEMPT_ENDED, CLIENT_GONE = 2, 3, 4, 5, 6
TIMER, HEALTH_CHECK_RESULT, PEER_MESSAGE, ATTEMPT_REPORT = 7, 8, 9, 12
STARTED_TOPIC = 1
"""Topic of an attempt report for the start; all other topics are progress reports."""

U32, U64, SPAN = Struct("<I"), Struct("<Q"), Struct("<HII")
INIT_RECORD, ENDPOINTS_RECORD, REQUEST_RECORD = Struct("<QII"), Struct("<BQH"), Struct("<QHHQIIffH")
STREAM_RECORD, ENDED_RECORD = Struct("<QH6sI"), Struct("<QH6sHIBBB4f")
REPORT_RECORD, HEALTH_RECORD = Struct("<QfHB6s"), Struct("<IH6sB4f")
HAS_HINT, CLIENT_RETRY = 1, 2
"""Flags of a request record."""

# Action codes and records.
CANCEL, TIMER_ACTION, SUBSCRIBE, FAIL, SEND, LOG, HEALTH_CHECK = 65, 66, 67, 68, 69, 70, 71
FETCH, PEER, ACTING_INSTANCE, FAULT, CLOSE_IDLE, REJECT = 72, 73, 74, 75, 76, 77
SEND_RECORD, CANCEL_RECORD, TIMER_RECORD = Struct("<BQ6sI5x"), Struct("<BQH13x"), Struct("<BIQ11x")
FAIL_RECORD, REJECT_RECORD, WORKER_RECORD = Struct("<BQ15x"), Struct("<BQI11x"), Struct("<B6s17x")
FLAG_RECORD, TEXT_RECORD, PEER_RECORD = Struct("<BB22x"), Struct("<BII15x"), Struct("<BIII11x")
INSTANCE_RECORD = Struct("<BI19x")
MAX_TIMER_DELAY_US = 70 * 60 * 1_000_000
"""Maximum delay that fits in the 32-bit field of a timer record."""
MAX_FAULT_CHARS = 1000
"""Maximum length of the text of a fault, in characters."""

RESULTS = {
    0: interface.AttemptResult.OK,
    255: interface.AttemptResult.ERROR,
    254: interface.AttemptResult.QUEUE_FULL,
    253: interface.AttemptResult.TIMEOUT,
    252: interface.AttemptResult.CONNECT_FAILED,
    251: interface.AttemptResult.RESET,
    250: interface.AttemptResult.CANCELLED,
    249: interface.AttemptResult.NOT_NEEDED,
}
STATES = {3: interface.WorkerState.READY, 2: interface.WorkerState.DRAINING, 0: interface.WorkerState.GONE}
FAILED_SCOPE = 3
SCOPES = {
    0: interface.ListScope.INCREMENTAL,
    1: interface.ListScope.COMPLETE,
    2: interface.ListScope.CACHED,
    FAILED_SCOPE: interface.ListScope.FAILED,
}


class FrameError(Exception):
    """Raised for a frame that violates the wire format."""


class DecisionError(Exception):
    """Raised when the policy of one instance raises; it is reported to the simulator as a fault."""

    def __init__(self, instance: int, text: str) -> None:
        """`instance` is the number of the policy instance on the wire; `text` is the message for the simulator."""
        super().__init__(text)
        self.instance = instance
        self.text = text


def _pack_send(action: interface.Send, _tail: bytearray) -> bytes:
    return SEND_RECORD.pack(SEND, action.request, action.worker, action.timeout)


def _pack_timer(action: interface.SetTimer, _tail: bytearray) -> bytes:
    return TIMER_RECORD.pack(TIMER_ACTION, min(action.delay, MAX_TIMER_DELAY_US), action.token)


def _pack_peer_message(action: interface.SendToPeer, tail: bytearray) -> bytes:
    record = PEER_RECORD.pack(PEER, action.peer & 0xFFFFFFFF, len(tail), len(action.data))
    tail += action.data
    return record


def _pack_log(action: interface.Log, tail: bytearray) -> bytes:
    text = action.text.encode()
    record = TEXT_RECORD.pack(LOG, len(tail), len(text))
    tail += text
    return record


_PACKERS: dict[type, Callable[[Any, bytearray], bytes]] = {
    interface.Send: _pack_send,
    interface.SetTimer: _pack_timer,
    interface.Cancel: lambda action, _: CANCEL_RECORD.pack(CANCEL, action.request, action.attempt),
    interface.Reject: lambda action, _: REJECT_RECORD.pack(REJECT, action.request, action.retry_after),
    interface.Fail: lambda action, _: FAIL_RECORD.pack(FAIL, action.request),
    interface.Subscribe: lambda action, _: FLAG_RECORD.pack(SUBSCRIBE, action.on),
    interface.FetchEndpoints: lambda action, _: FLAG_RECORD.pack(FETCH, 0),
    interface.HealthCheck: lambda action, _: WORKER_RECORD.pack(HEALTH_CHECK, action.worker),
    interface.CloseIdle: lambda action, _: WORKER_RECORD.pack(CLOSE_IDLE, action.worker),
    interface.SendToPeer: _pack_peer_message,
    interface.Log: _pack_log,
}


def pack(actions: list[interface.Action], tail: bytearray) -> list[bytes]:
    """Return the records of one instance's actions, and append their variable-length data to `tail`."""
    return [_PACKERS[type(action)](action, tail) for action in actions]


class _Frame:
    """The body of a frame, and the number of the policy instance that the records being read are for."""

    def __init__(self, number: int, count: int, body: bytes) -> None:
        self.number = number
        self.tail_start = count * EVENT_SIZE
        self.body = body
        self.instance_number = -1
        if self.tail_start > len(body):
            raise FrameError(f"frame {number}: {count} records do not fit in {len(body)} bytes")

    def tail(self, start: int, length: int) -> bytes:
        """Return a part of the tail. Raises FrameError if the part does not lie within the frame."""
        begin = self.tail_start + start
        if begin + length > len(self.body):
            raise FrameError(f"an offset lies outside the frame: {begin} + {length} of {len(self.body)} bytes")
        return self.body[begin : begin + length]


class Process:
    """All policy instances of this process. They share only the decoded endpoint lists, which are immutable."""

    def __init__(self) -> None:
        """There are no instances or lists until frames define them."""
        self.instances: dict[int, DispatchPolicy] = {}
        self.lists: dict[int, tuple[interface.Endpoint, ...]] = {}
        self._readers: dict[int, Callable[[_Frame, int, DispatchPolicy], interface.Event]] = {
            ENDPOINTS: self._endpoints,
            REQUEST: self._request,
            STREAM_STARTED: self._stream_started,
            ATTEMPT_ENDED: self._attempt_ended,
            CLIENT_GONE: self._client_disconnected,
            TIMER: self._timer,
            HEALTH_CHECK_RESULT: self._health_check_result,
            PEER_MESSAGE: self._peer_message,
            ATTEMPT_REPORT: self._attempt_report,
        }

    def batch(self, number: int, count: int, now: int, body: bytes) -> bytes:
        """Handle the events of a frame and return the reply. Raises FrameError, SettingsError or DecisionError.

        `now` is the simulator's clock in microseconds.
        """
        frame = _Frame(number, count, body)
        actions_by_instance: dict[int, list[interface.Action]] = {}
        for offset in range(1, frame.tail_start, EVENT_SIZE):
            code = body[offset - 1]
            if code == INSTANCE:
                frame.instance_number = U32.unpack_from(body, offset)[0]
            elif code == LIST:
                self._list(frame, offset)
            elif code == INIT:
                self._init(frame, offset)
                actions_by_instance.pop(frame.instance_number, None)
            elif code == KILL:
                # Earlier actions of the instance in this frame refer to requests that no longer exist.
                self.instances.pop(frame.instance_number, None)
                actions_by_instance.pop(frame.instance_number, None)
            else:
                actions = self._handle(frame, offset, code, now)
                if actions:
                    actions_by_instance.setdefault(frame.instance_number, []).extend(actions)
        return self._reply(number, actions_by_instance)

    def _init(self, frame: _Frame, offset: int) -> None:
        seed, start, length = INIT_RECORD.unpack_from(frame.body, offset)
        settings = settings_from(frame.tail(start, length))
        self.instances[frame.instance_number] = DispatchPolicy(settings, seed)

    def _handle(self, frame: _Frame, offset: int, code: int, now: int) -> list[interface.Action]:
        instance = self.instances.get(frame.instance_number)
        if instance is None:
            raise FrameError(
                f"frame {frame.number}: event for instance {frame.instance_number}, which has not been initialised"
            )
        reader = self._readers.get(code)
        if reader is None:
            raise FrameError(f"frame {frame.number}: unknown event code {code}")
        event = reader(frame, offset, instance)
        try:
            return instance.handle(now, event)
        except Exception as error:
            text = f"{type(error).__name__}: {error} on {event!r}"
            raise DecisionError(frame.instance_number, text[:MAX_FAULT_CHARS]) from error

    @staticmethod
    def _reply(number: int, actions_by_instance: dict[int, list[interface.Action]]) -> bytes:
        tail = bytearray()
        records = []
        for instance, actions in actions_by_instance.items():
            records.append(INSTANCE_RECORD.pack(ACTING_INSTANCE, instance))
            records += pack(actions, tail)
        body = b"".join(records) + tail
        return REPLY_HEADER.pack(number, len(records), len(body)) + body

    def _list(self, frame: _Frame, offset: int) -> None:
        number, start, entries = SPAN.unpack_from(frame.body, offset)
        endpoints = []
        for row in LIST_ENTRY.iter_unpack(frame.tail(start, entries * LIST_ENTRY.size)):
            started_at, worker, state, machine_type, zone, cell, weight = row
            if state not in STATES:
                raise FrameError(f"list {number}: unknown worker state {state}")
            endpoints.append(interface.Endpoint(worker, STATES[state], started_at, machine_type, zone, cell, weight))
        self.lists[number] = tuple(endpoints)

    def _endpoints(self, frame: _Frame, offset: int, _instance: DispatchPolicy) -> interface.Event:
        scope, version, number = ENDPOINTS_RECORD.unpack_from(frame.body, offset)
        if scope not in SCOPES:
            raise FrameError(f"endpoint list event: unknown scope {scope}")
        if scope == FAILED_SCOPE:
            return interface.EndpointList(SCOPES[scope])
        if number not in self.lists:
            raise FrameError(f"an endpoint list event refers to undefined list {number}")
        return interface.EndpointList(SCOPES[scope], version, self.lists[number])

    @staticmethod
    def _request(frame: _Frame, offset: int, instance: DispatchPolicy) -> interface.Event:
        record = REQUEST_RECORD.unpack_from(frame.body, offset)
        request, class_index, tenant, key, time_left, work_hint, slots, memory, flags = record
        if class_index >= len(instance.settings.classes):
            raise FrameError(f"request {request}: class index {class_index} is out of range")
        if not flags & HAS_HINT:
            work_hint = 0
        retry = flags & CLIENT_RETRY != 0
        return interface.Request(request, class_index, tenant, key, time_left, work_hint, slots or 1.0, memory, retry)

    @staticmethod
    def _stream_started(frame: _Frame, offset: int, _instance: DispatchPolicy) -> interface.Event:
        return interface.StreamStarted(*STREAM_RECORD.unpack_from(frame.body, offset)[:3])

    @staticmethod
    def _attempt_ended(frame: _Frame, offset: int, _instance: DispatchPolicy) -> interface.Event:
        record = ENDED_RECORD.unpack_from(frame.body, offset)
        request, attempt, worker, code, elapsed, finished, _note, size, *load = record
        if code not in RESULTS:
            raise FrameError(f"request {request}: unknown result code {code}")
        report = tuple(load[:size]) if size else None
        return interface.AttemptEnded(request, attempt, worker, RESULTS[code], elapsed, finished != 0, report)

    @staticmethod
    def _client_disconnected(frame: _Frame, offset: int, _instance: DispatchPolicy) -> interface.Event:
        return interface.ClientDisconnected(U64.unpack_from(frame.body, offset)[0])

    @staticmethod
    def _timer(frame: _Frame, offset: int, _instance: DispatchPolicy) -> interface.Event:
        return interface.Timer(U64.unpack_from(frame.body, offset)[0])

    @staticmethod
    def _health_check_result(frame: _Frame, offset: int, _instance: DispatchPolicy) -> interface.Event:
        elapsed, code, worker, size, *load = HEALTH_RECORD.unpack_from(frame.body, offset)
        if code not in RESULTS:
            raise FrameError(f"health check: unknown result code {code}")
        return interface.HealthCheckResult(worker, RESULTS[code], elapsed, tuple(load[:size]) if size else None)

    @staticmethod
    def _peer_message(frame: _Frame, offset: int, _instance: DispatchPolicy) -> interface.Event:
        sender, start, length = SPAN.unpack_from(frame.body, offset)
        return interface.PeerMessage(sender, frame.tail(start, length))

    @staticmethod
    def _attempt_report(frame: _Frame, offset: int, _instance: DispatchPolicy) -> interface.Event:
        request, share, attempt, topic, worker = REPORT_RECORD.unpack_from(frame.body, offset)
        if topic == STARTED_TOPIC:
            return interface.AttemptStarted(request, attempt, worker)
        return interface.AttemptProgressed(request, attempt, worker, share)


def _read(stream: BinaryIO, size: int, what: str) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise FrameError(f"truncated {what}: {len(data)} of {size} bytes")
    return data


def _fault_reply(number: int, error: DecisionError) -> bytes:
    text = error.text.encode()
    body = INSTANCE_RECORD.pack(ACTING_INSTANCE, error.instance) + TEXT_RECORD.pack(FAULT, 0, len(text)) + text
    return REPLY_HEADER.pack(number, 2, len(body)) + body


def run(stdin: BinaryIO, stdout: BinaryIO) -> None:
    """Process frames until the end of the input. Raises FrameError or SettingsError on invalid input."""
    process = Process()
    while True:
        first = stdin.read(1)
        if not first:
            return
        header = first + _read(stdin, FRAME_HEADER.size - 1, "frame header")
        number, count, length, now = FRAME_HEADER.unpack(header)
        body = _read(stdin, length, f"frame {number}")
        try:
            reply = process.batch(number, count, now, body)
        except DecisionError as error:
            reply = _fault_reply(number, error)
        stdout.write(reply)
        stdout.flush()


def main() -> int:
    """Run the adapter as a process, and return its exit code."""
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except (FrameError, SettingsError) as error:
        print(f"badgerroad: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
