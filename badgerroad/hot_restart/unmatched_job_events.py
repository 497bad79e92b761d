"""Retains job events that arrive before their request, which another process is transferring. No I/O, no clock."""

from __future__ import annotations

from badgerroad.process_messages import JobEvent

# How long an event is retained. The transfer of its request takes milliseconds, but the receiving process may be busy.
RETENTION_US = 2_000_000
MAX_EVENTS = 64  # most events retained; limits memory, as each event may carry a result of 64 KiB


class UnmatchedJobEvents:
    """Job events whose request is not known in this process.

    While a request is being transferred, the sender has already dropped it and the receiver does not have it yet, so an
    event that ends the request matches in neither process. The receiver applies the retained events once the request
    has arrived.
    """

    def __init__(self) -> None:
        """Start without events."""
        self._events: list[tuple[int, JobEvent]] = []  # each with its time of arrival; the latest event is last

    def retain(self, event: JobEvent, now: int) -> None:
        """Retain an event that arrived at `now` (microseconds), and drop those that are too old or too many."""
        recent = [(at, earlier) for at, earlier in self._events if now - at < RETENTION_US]
        self._events = recent[1 - MAX_EVENTS :] + [(now, event)]

    def for_request(self, request_id: bytes) -> list[JobEvent]:
        """Return the retained events of one request, in order of arrival."""
        return [event for _, event in self._events if event.request_id == request_id]
