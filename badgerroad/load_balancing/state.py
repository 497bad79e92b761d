"""Exports and imports the policy's state, to transfer it to another process of the same dispatcher.

Times are microseconds of the clock that is passed with the events; both processes read the same clock. The keys and the
order of values in the exported state are part of the messages between processes. Only this module maps them to the
names used in the policy.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any

from . import interface
from .pending_requests import Attempt, PendingRequest
from .policy import DispatchPolicy
from .workers import MachineType, Worker

# Learned state


def export_learned_state(policy: DispatchPolicy) -> dict[str, Any]:
    """Return the learned state as JSON-compatible values, without attempts in flight. Worker ids must be strings."""
    hints = policy.hints
    estimates = policy.estimates
    shares = estimates.queueing_share
    return {
        "patience": policy.client_timeouts.longest_timeout,
        "seen": hints.count,
        "cutoff": hints.cutoff,
        "mean": hints.mean,
        "soon": estimates.fastest_start,
        "runs": estimates.class_runs.mean_of,
        "hints": list(hints.sample),
        "busy": [shares[False], shares[True]],
        "quota": [[tenant, tokens, at] for tenant, (tokens, at) in policy.quota.buckets.items()],
        "kinds": [
            [number, _machine_type_values(machine_type), _start_delay_rows(machine_type)]
            for number, machine_type in policy.subsets.roster.machine_types.items()
        ],
        "workers": [
            [worker.id, worker.info.started_at, _worker_values(worker), list(worker.slow_start_sends)]
            for worker in policy.workers.values()
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
    """Learned state of a machine type, received from another process."""

    number: int
    work: float
    elapsed: float
    max_slots_seen: float
    slots: float
    delayed_excess_sends: int
    start_delays: dict[int, tuple[float, int]]

    @classmethod
    def read(cls, row: list[Any]) -> _MachineTypeState:
        """Read the state from its JSON array. Raises TypeError or ValueError on a wrong number of values."""
        number, (work, elapsed, max_slots_seen, slots, delayed_excess_sends), delay_rows = row
        delays = {int(in_flight): (float(delay), int(at)) for in_flight, delay, at in delay_rows}
        return cls(int(number), work, elapsed, max_slots_seen, slots, delayed_excess_sends, delays)

    def apply(self, machine_type: MachineType) -> None:
        """Replace the learned state of the machine type."""
        machine_type.throughput.work = self.work
        machine_type.throughput.elapsed = self.elapsed
        machine_type.max_slots_seen = self.max_slots_seen
        machine_type.slots = self.slots
        machine_type.delayed_excess_sends = self.delayed_excess_sends
        machine_type.start_delays.by_in_flight = self.start_delays


@dataclass(frozen=True)
class _WorkerState:
    """Learned state of one run of a worker, received from another process."""

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
        """Read the state from its JSON array. Raises TypeError or ValueError on a wrong number of values."""
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
        """Replace the learned state of the worker, but add the received slow start sends to those already recorded."""
        worker.consecutive_failures = self.consecutive_failures
        worker.ejected_until = self.ejected_until
        worker.throughput.work = self.work
        worker.throughput.elapsed = self.elapsed
        worker.last_run_at = self.last_run_at
        worker.queue_level = self.queue_level
        worker.last_report_at = self.last_report_at
        worker.slow_start_sends.extendleft(reversed(self.slow_start_sends))


def import_learned_state(policy: DispatchPolicy, state: dict[str, Any]) -> None:
    """Replace the learned state with that of another process of the same dispatcher.

    The state of a worker is imported only if the worker has not restarted since. Raises KeyError, TypeError or
    ValueError on an invalid `state`, before anything is changed.
    """
    hints = policy.hints
    estimates = policy.estimates
    longest_timeout, count, cutoff, mean, fastest_start = (
        state[name] for name in ("patience", "seen", "cutoff", "mean", "soon")
    )
    class_runs = state.get("runs", estimates.class_runs.mean_of)  # not sent by older versions
    machine_types = [_MachineTypeState.read(row) for row in state["kinds"]]
    workers = [_WorkerState.read(row) for row in state["workers"]]
    by_run = {(learned.worker, learned.started_at): learned for learned in workers}
    quota = {str(tenant): (float(tokens), int(at)) for tenant, tokens, at in state["quota"]}
    sample = [int(hint) for hint in state["hints"]]
    local_share, remote_share = state["busy"]

    policy.client_timeouts.longest_timeout = longest_timeout
    policy.quota.buckets = quota
    estimates.class_runs.mean_of = class_runs
    estimates.fastest_start = fastest_start
    estimates.queueing_share = {False: local_share, True: remote_share}
    hints.count = count
    hints.cutoff = cutoff
    hints.mean = mean
    hints.sample.extend(sample)
    roster = policy.subsets.roster
    for learned_of_type in machine_types:
        learned_of_type.apply(roster.machine_types.setdefault(learned_of_type.number, MachineType()))
    for worker in roster.workers.values():
        learned = by_run.get((worker.id, worker.info.started_at))
        if learned:
            learned.apply(worker)
    roster.capacity.reset(roster.ready)


# Attempts of the other process


@dataclass
class _PeerAttempt:
    worker: Worker
    slots: float
    is_long: bool
    started: bool = False


class PeerAttempts:
    """The attempts in flight of the other process.

    They count at their workers like attempts of this process: in the slots in flight, towards the limit of one long
    request, and in the slow start budget.
    """

    def __init__(self, policy: DispatchPolicy) -> None:
        """`policy` provides the workers."""
        self._policy = policy
        self._attempts: dict[Hashable, _PeerAttempt] = {}

    def export(self) -> list[Any]:
        """Return the attempts in the format of `export_attempts`."""
        return [
            [key, attempt.worker.id, attempt.slots, attempt.is_long, attempt.started]
            for key, attempt in self._attempts.items()
        ]

    def record_send(
        self,
        key: Hashable,
        worker_id: interface.WorkerId,
        slots: float,
        is_long: bool,
        slow_start_send: tuple[int, float],
    ) -> None:
        """Record an attempt that the other process has sent.

        `slow_start_send` is the time and the work to count in the slow start budget; (0, 0.0) if they count already.
        """
        worker = self._policy.workers.get(worker_id)
        if worker is None or key in self._attempts:
            return
        self._attempts[key] = _PeerAttempt(worker, slots, is_long)
        worker.add_attempt(slots, is_long)
        if slow_start_send[0] and worker.info.started_at:
            worker.slow_start_sends.append(slow_start_send)

    def record_start(self, key: Hashable) -> None:
        """Record that the attempt has started at its worker."""
        attempt = self._attempts.get(key)
        if attempt is not None and not attempt.started:
            attempt.started = True
            attempt.worker.running_slots += attempt.slots

    def record_end(self, key: Hashable) -> None:
        """Remove an attempt that has ended."""
        attempt = self._attempts.pop(key, None)
        if attempt is not None:
            attempt.worker.remove_attempt(attempt.slots, attempt.is_long, attempt.started)

    def clear(self) -> None:
        """Remove all attempts."""
        for key in list(self._attempts):
            self.record_end(key)


def attempt_cost(policy: DispatchPolicy, request_number: int) -> tuple[float, bool, float]:
    """Return what an attempt of an open request uses at its worker: slots, whether it is long, work (microseconds)."""
    request = policy.requests[request_number]
    return request.slots, request.is_long, float(max(request.expected_work, policy.hints.mean))


def export_attempts(policy: DispatchPolicy, key_of: Callable[[int, int], str]) -> list[Any]:
    """Return all attempts in flight as [key, worker, slots, is long, has started].

    `key_of` makes the key of an attempt from its request and attempt numbers.
    """
    return [
        [key_of(request.id, number), attempt.worker.id, request.slots, request.is_long, bool(attempt.started_at)]
        for request in policy.requests.values()
        for number, attempt in enumerate(request.attempts)
        if not attempt.result
    ]


# Transfer of an open request to another process. The times in its exported state are relative to the current time.


def request_class_from_values(values: list[Any]) -> interface.RequestClass:
    """Build a request class from its JSON array. A transferred request keeps the class it was accepted with."""
    return interface.RequestClass(*values)


def export_request(policy: DispatchPolicy, request_number: int, now: int) -> dict[str, Any]:
    """Return the state of an open request and of its attempts as JSON-compatible values."""
    request = policy.requests[request_number]
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


def withdraw_request(policy: DispatchPolicy, request_number: int) -> None:
    """Remove a request that another process has taken over, with its attempts in flight. Returns no actions."""
    request = policy.requests.get(request_number)
    if request is None:
        return
    for attempt in request.attempts:
        if not attempt.result:
            attempt.worker.remove_attempt(request.slots, request.is_long, bool(attempt.started_at))
            attempt.result = interface.AttemptResult.NOT_NEEDED
    request.attempts_in_flight = 0
    policy.withdraw(request)


def import_request(
    policy: DispatchPolicy,
    request_number: int,
    request_class: interface.RequestClass,
    state: dict[str, Any],
    now: int,
) -> list[interface.Action]:
    """Continue a request from `export_request` as if it had been received here; return the actions to perform."""
    event = interface.Request(request_number, slots=state["slots"])
    request = PendingRequest(event, request_class, state["long"], now + state["deadline"], state["hint"])
    request.prefers_remote = state["away"]
    request.work_confirmed = state["believed"]
    request.without_hint = bool(state.get("blind", False))  # not sent by older versions
    request.objective_deadline = now + state["due"]
    request.latest_start = now + state["start_by"]
    for values, result in zip(state["attempts"], _results(state), strict=True):
        _restore_attempt(policy, request, values, result, now)
    first = state["maybe"]
    request.first_possibly_run = request.attempts[first] if first >= 0 else None
    return policy.resume(now, request)


def _results(state: dict[str, Any]) -> list[str]:
    """Return the results of the attempts, "" for those in flight.

    Older versions of the program do not send results. Ended attempts then count as cancelled, that is, they may have
    run; the index of the first attempt that may have run is sent separately.
    """
    results: list[str] = state.get("ends") or []
    return results or ["" if values[-1] else interface.AttemptResult.CANCELLED for values in state["attempts"]]


def _restore_attempt(policy: DispatchPolicy, request: PendingRequest, values: list[Any], result: str, now: int) -> None:
    info, sent, started, last_report, in_flight_before, _ = values
    worker = _worker_for(policy, interface.Endpoint(*info))
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


def _worker_for(policy: DispatchPolicy, info: interface.Endpoint) -> Worker:
    """Return the listed worker if it has not restarted since, or else a record outside the roster, with state GONE."""
    known = policy.workers.get(info.worker)
    if known is not None and known.info.started_at == info.started_at:
        return known
    machine_type = policy.subsets.roster.machine_types.setdefault(info.machine_type, MachineType())
    return Worker(info._replace(state=interface.WorkerState.GONE), machine_type)
