"""Which job events of a request may still arrive from its ended attempts.

A job event identifies the request and the worker, but not the attempt, and a worker repeats the call until it is
answered. An event that arrives while a further attempt is open at the same worker may therefore be a late or repeated
event of an earlier attempt there, and then proves nothing about the open one.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from badgerroad.job_states import JobState

ALL_STATES: frozenset[JobState] = frozenset(JobState)
# Events of an attempt that may still arrive after the event that has ended it, in any order: calls are repeated, and
# calls that the worker makes at the same time may overtake each other.
_STATES_AFTER: Mapping[JobState, frozenset[JobState]] = {
    JobState.DONE: frozenset((JobState.STARTED, JobState.RUNNING, JobState.DONE)),
    JobState.FAILED: frozenset((JobState.STARTED, JobState.RUNNING, JobState.FAILED)),
    JobState.RETURNED: frozenset((JobState.RETURNED,)),
    # Reported by the machine's agent, perhaps beside a last call of the worker.
    JobState.LOST: ALL_STATES,
}


def states_after(final_event: JobState | None) -> frozenset[JobState]:
    """Return the events that may arrive after an attempt that its worker had, or may have had, has ended.

    `final_event` is the job event that has ended the attempt, None if it was ended by anything else.
    """
    return ALL_STATES if final_event is None else _STATES_AFTER[final_event]


class JobEventHistory:
    """The job events that the ended attempts of one request may still cause, by worker."""

    __slots__ = ("_outstanding",)

    def __init__(self) -> None:
        """Start without ended attempts."""
        self._outstanding: dict[str, frozenset[JobState]] = {}

    def expect(self, worker: str, states: frozenset[JobState]) -> None:
        """Record that an attempt at `worker` has ended, of which events with `states` may still arrive."""
        if states:
            self._outstanding[worker] = self._outstanding.get(worker, frozenset()) | states

    def may_be_of_ended_attempt(self, worker: str, state: JobState) -> bool:
        """Whether an event of `worker` may belong to an attempt that has ended."""
        return state in self._outstanding.get(worker, ())

    def to_fields(self) -> dict[str, list[str]]:
        """Return the states by worker, for a message to another process."""
        return {worker: sorted(states) for worker, states in self._outstanding.items()}

    def add_fields(self, fields: Mapping[str, Sequence[str]]) -> None:
        """Add what `to_fields` returned in another process. Raises ValueError for an unknown state."""
        for worker, states in fields.items():
            self.expect(worker, frozenset(map(JobState, states)))
