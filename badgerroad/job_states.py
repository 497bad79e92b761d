"""The states of a job that workers report by job events. Their names are those of the wire."""

from __future__ import annotations

from enum import StrEnum


class JobState(StrEnum):
    """The state in a job event."""

    STARTED = "started"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    RETURNED = "returned"
    """The worker has handed the job back without having started it."""
    LOST = "lost"
    """The job was killed, or the worker's process has died."""
