"""Copies the decisions' state out and in, for another process of the same dispatcher.

Nothing is decided here. Times are microseconds of the clock that comes with the events; both processes read the same.
The names and the order of values in what is copied belong to the messages between processes: they are mapped to the
names of the decisions here and nowhere else.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any

from . import interface
from .pending_requests import Attempt, PendingRequest
from .policy import DispatchPolicy
from .workers import MachineType, Worker

# What has been learned.


def copy_out(decisions: DispatchPolicy) -> dict[str, Any]:
    """What has been learned, as JSON can hold it. Worker ids must be text. Attempts in flight are not part of it."""
    hints = decisions.hints
    estimates = decisions.estimates
    shares = estimates.queueing_share
    return {
        "patience": decisions.client_patience.longest_wait,
        "seen": hints.count,
        "cutoff": hints.cutoff,
        "mean": hints.mean,
        "soon": estimates.fastest_start,
        "runs": estimates.class_runs.mean_of,
        "hints": list(hints.sample),
        "busy": [shares[False], shares[True]],
        "quota": [[tenant, tokens, at] for tenant, (tokens, at) in decisions.quota.buckets.items()],
        "kinds": [
            [number, _machine_type_values(machine_type), _start_delay_rows(machine_type)]
            for number, machine_type in decisions.subsets.roster.machine_types.items()
        ],
        "workers": [
            [worker.id, worker.info.started_at, _worker_values(worker), list(worker.slow_start_sends)]
            for worker in decisions.workers.values()
            if worker.last_run_at or worker.last_report_at or worker.consecutive_failures or worker.slow_start_sends
        ],
    }


def _machine_type_values(machine_type: MachineType) -> list[Any]:
    return [
        machine_type.throughput.work,
        machine_type.throughput.elapsed,
        machine_type.max_slots_seen,
        machine_type.slots,
        machine_type.delayed_excess_sends,
    ]


def _start_delay_rows(machine_type: MachineType) -> list[list[Any]]:
    by_in_flight = machine_type.start_delays.by_in_flight
    return [[in_flight, delay, at] for in_flight, (delay, at) in by_in_flight.items()]


def _worker_values(worker: Worker) -> list[Any]:
    return [
        worker.consecutive_failures,
        worker.ejected_until,
        worker.throughput.work,
        worker.throughput.elapsed,
        worker.last_run_at,
        worker.queue_level,
        worker.last_report_at,
    ]


@dataclass(frozen=True)
class _MachineTypeState:
    """What another process has learned of a machine type."""

    number: int
    work: float
    elapsed: float
    max_slots_seen: float
    slots: float
    delayed_excess_sends: int
    start_delays: dict[int, tuple[float, int]]

    @classmethod
    def read(cls, row: list[Any]) -> _MachineTypeState:
        """Raises TypeError or ValueError on another number of values."""
        number, (work, elapsed, max_slots_seen, slots, delayed_excess_sends), delay_rows = row
        delays = {int(in_flight): (float(delay), int(at)) for in_flight, delay, at in delay_rows}
        return cls(int(number), work, elapsed, max_slots_seen, slots, delayed_excess_sends, delays)

    def apply(self, machine_type: MachineType) -> None:
        """Let it take the place of what is known."""
        machine_type.throughput.work = self.work
        machine_type.throughput.elapsed = self.elapsed
        machine_type.max_slots_seen = self.max_slots_seen
        machine_type.slots = self.slots
        machine_type.delayed_excess_sends = self.delayed_excess_sends
        machine_type.start_delays.by_in_flight = self.start_delays


@dataclass(frozen=True)
class _WorkerState:
    """What another process has learned of one run of a worker."""

    worker: interface.WorkerId
    started_at: int
    consecutive_failures: int
    ejected_until: int
    work: float
    elapsed: float
    last_run_at: int
    queue_level: float
    last_report_at: int
    slow_start_sends: list[tuple[int, float]]

    @classmethod
    def read(cls, row: list[Any]) -> _WorkerState:
        """Raises TypeError or ValueError on another number of values."""
        worker, started_at, values, sends = row
        consecutive_failures, ejected_until, work, elapsed, last_run_at, queue_level, last_report_at = values
        return cls(
            worker,
            started_at,
            consecutive_failures,
            ejected_until,
            work,
            elapsed,
            last_run_at,
            queue_level,
            last_report_at,
            [(int(at), float(sent_work)) for at, sent_work in sends],
        )

    def apply(self, worker: Worker) -> None:
        """Let it take the place of what is known; sends of the rolling window are added."""
        worker.consecutive_failures = self.consecutive_failures
        worker.ejected_until = self.ejected_until
        worker.throughput.work = self.work
        worker.throughput.elapsed = self.elapsed
        worker.last_run_at = self.last_run_at
        worker.queue_level = self.queue_level
        worker.last_report_at = self.last_report_at
        worker.slow_start_sends.extendleft(reversed(self.slow_start_sends))


def copy_in(decisions: DispatchPolicy, state: dict[str, Any]) -> None:
    """Let what another process of this dispatcher has learned take the place of what this one has.

    Of a worker, only if it is the same run of it. Raises KeyError, TypeError or ValueError on what is no such state,
    with nothing done.
    """
    hints = decisions.hints
    estimates = decisions.estimates
    patience, count, cutoff, mean, fastest_start = (
        state[name] for name in ("patience", "seen", "cutoff", "mean", "soon")
    )
    class_runs = state.get("runs", estimates.class_runs.mean_of)  # older versions do not send it
    machine_types = [_MachineTypeState.read(row) for row in state["kinds"]]
    workers = [_WorkerState.read(row) for row in state["workers"]]
    by_run = {(learned.worker, learned.started_at): learned for learned in workers}
    quota = {str(tenant): (float(tokens), int(at)) for tenant, tokens, at in state["quota"]}
    sample = [int(hint) for hint in state["hints"]]
    local_share, remote_share = state["busy"]

    decisions.client_patience.longest_wait = patience
    decisions.quota.buckets = quota
    estimates.class_runs.mean_of = class_runs
    estimates.fastest_start = fastest_start
    estimates.queueing_share = {False: local_share, True: remote_share}
    hints.count = count
    hints.cutoff = cutoff
    hints.mean = mean
    hints.sample.extend(sample)
    roster = decisions.subsets.roster
    for learned_of_type in machine_types:
        learned_of_type.apply(roster.machine_types.setdefault(learned_of_type.number, MachineType()))
    for worker in roster.workers.values():
        learned = by_run.get((worker.id, worker.info.started_at))
        if learned:
            learned.apply(worker)
    roster.capacity.reset(roster.ready)


# Attempts of the other process.


@dataclass
class _PeerAttempt:
    worker: Worker
    slots: float
    is_long: bool
    started: bool = False


class PeerAttempts:
    """The attempts that the other process has in flight.

    At their workers they count as own ones: in the slots in flight, as the long request of which a worker has one, and
    in the slow start's budget.
    """

    def __init__(self, decisions: DispatchPolicy) -> None:
        """`decisions` knows the workers."""
        self._decisions = decisions
        self._attempts: dict[Hashable, _PeerAttempt] = {}

    def listed(self) -> list[Any]:
        """As `attempts_out` lists own ones."""
        return [
            [key, attempt.worker.id, attempt.slots, attempt.is_long, attempt.started]
            for key, attempt in self._attempts.items()
        ]

    def sent(
        self, key: Hashable, worker_id: interface.WorkerId, slots: float, is_long: bool, spent: tuple[int, float]
    ) -> None:
        """Count an attempt.

        `spent`: when, and the work, for the slow start's budget; (0, 0.0) if that is counted already.
        """
        worker = self._decisions.workers.get(worker_id)
        if worker is None or key in self._attempts:
            return
        self._attempts[key] = _PeerAttempt(worker, slots, is_long)
        worker.add_attempt(slots, is_long)
        if spent[0] and worker.info.started_at:
            worker.slow_start_sends.append(spent)

    def started(self, key: Hashable) -> None:
        """The attempt has started at its worker."""
        attempt = self._attempts.get(key)
        if attempt is not None and not attempt.started:
            attempt.started = True
            attempt.worker.running_slots += attempt.slots

    def over(self, key: Hashable) -> None:
        """The attempt has ended."""
        attempt = self._attempts.pop(key, None)
        if attempt is not None:
            attempt.worker.remove_attempt(attempt.slots, attempt.is_long, attempt.started)

    def clear(self) -> None:
        """All attempts have ended."""
        for key in list(self._attempts):
            self.over(key)


def cost_of(decisions: DispatchPolicy, request_number: int) -> tuple[float, bool, float]:
    """What an attempt of an open request costs its worker: slots, whether it is long, work (microseconds)."""
    request = decisions.requests[request_number]
    return request.slots, request.is_long, float(max(request.expected_work, decisions.hints.mean))


def attempts_out(decisions: DispatchPolicy, key_of: Callable[[int, int], str]) -> list[Any]:
    """All attempts in flight: key (by request and attempt number), worker, slots, long, started."""
    return [
        [key_of(request.id, number), attempt.worker.id, request.slots, request.is_long, bool(attempt.started_at)]
        for request in decisions.requests.values()
        for number, attempt in enumerate(request.attempts)
        if not attempt.result
    ]


# An open request, from one process to another. Its times are differences from now.


def class_of(values: list[Any]) -> interface.RequestClass:
    """A class as JSON holds it: the request keeps the one that it was accepted with."""
    return interface.RequestClass(*values)


def job_out(decisions: DispatchPolicy, request_number: int, now: int) -> dict[str, Any]:
    """An open request and its attempts, as JSON can hold it."""
    request = decisions.requests[request_number]
    first = request.first_possibly_run
    return {
        "hint": request.expected_work,
        "slots": request.slots,
        "long": request.is_long,
        "away": request.prefers_remote,
        "believed": request.work_confirmed,
        "due": request.objective_deadline - now,
        "start_by": request.latest_start - now,
        "deadline": request.deadline - now,
        "attempts": [_attempt_values(attempt, now) for attempt in request.attempts],
        "blind": request.without_hint,
        "ends": [attempt.result for attempt in request.attempts],
        "maybe": next((number for number, attempt in enumerate(request.attempts) if attempt is first), -1),
    }


def _attempt_values(attempt: Attempt, now: int) -> list[Any]:
    return [
        list(attempt.worker.info),
        attempt.sent_at - now,
        attempt.started_at and attempt.started_at - now,
        attempt.last_report_at - now,
        attempt.in_flight_before,
        not attempt.result,
    ]


def job_gone(decisions: DispatchPolicy, request_number: int) -> None:
    """The request is open elsewhere: its attempts count no longer, without an action."""
    request = decisions.requests.get(request_number)
    if request is None:
        return
    for attempt in request.attempts:
        if not attempt.result:
            attempt.worker.remove_attempt(request.slots, request.is_long, bool(attempt.started_at))
            attempt.result = interface.AttemptResult.NOT_NEEDED
    request.attempts_in_flight = 0
    decisions.withdraw(request)


def job_in(
    decisions: DispatchPolicy,
    request_number: int,
    request_class: interface.RequestClass,
    state: dict[str, Any],
    now: int,
) -> list[interface.Action]:
    """Go on with what `job_out` gave as if it had come here; return what is to be done now."""
    event = interface.Request(request_number, slots=state["slots"])
    request = PendingRequest(event, request_class, state["long"], now + state["deadline"], state["hint"])
    request.prefers_remote = state["away"]
    request.work_confirmed = state["believed"]
    request.without_hint = bool(state.get("blind", False))  # older versions do not send it
    request.objective_deadline = now + state["due"]
    request.latest_start = now + state["start_by"]
    for values, result in zip(state["attempts"], _results(state), strict=True):
        _restore_attempt(decisions, request, values, result, now)
    first = state["maybe"]
    request.first_possibly_run = request.attempts[first] if first >= 0 else None
    return decisions.resume(now, request)


def _results(state: dict[str, Any]) -> list[str]:
    """The results of the attempts, "" for those in flight.

    An older version sends none: all attempts that have ended may have run, but for what it says of the first that may.
    """
    sent: list[str] = state.get("ends") or []
    return sent or ["" if values[-1] else interface.AttemptResult.CANCELLED for values in state["attempts"]]


def _restore_attempt(
    decisions: DispatchPolicy, request: PendingRequest, values: list[Any], result: str, now: int
) -> None:
    info, sent, started, last_report, in_flight_before, _ = values
    worker = _worker_of(decisions, interface.Endpoint(*info))
    attempt = Attempt(worker, now + sent)
    attempt.started_at = started and now + started
    attempt.last_report_at = now + last_report
    attempt.in_flight_before = in_flight_before
    attempt.result = str(result)
    request.attempts.append(attempt)
    request.attempt_count += result != interface.AttemptResult.NOT_SENT
    if not attempt.result:
        request.attempts_in_flight += 1
        worker.add_attempt(request.slots, request.is_long)
        worker.running_slots += request.slots if attempt.started_at else 0.0


def _worker_of(decisions: DispatchPolicy, info: interface.Endpoint) -> Worker:
    """The same run of the worker; if it is gone, a record that is in no list."""
    known = decisions.workers.get(info.worker)
    if known is not None and known.info.started_at == info.started_at:
        return known
    machine_type = decisions.subsets.roster.machine_types.setdefault(info.machine_type, MachineType())
    return Worker(info._replace(state=interface.WorkerState.GONE), machine_type)
