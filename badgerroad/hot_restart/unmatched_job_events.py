"""Job events that arrived before the request they are about, on its way from the other process. No I/O, no clock."""

from __future__ import annotations

from badgerroad.process_messages import JobEvent

# A request is on its way for milliseconds, but the process that receives it may be busy.
RETENTION_US = 2_000_000
MAX_EVENTS = 64  # each may carry a result of 64 KiB


class UnmatchedJobEvents:
    """A request on its way may be one whose end the other process no longer knows: its events wait here for it."""

    def __init__(self) -> None:
        """No event is retained yet."""
        self._events: list[tuple[int, JobEvent]] = []  # with the time of arrival, the latest last

    def retain(self, event: JobEvent, now: int) -> None:
        """Retain an event that arrived at `now` (microseconds); the oldest go, by age and by number."""
        recent = [(at, earlier) for at, earlier in self._events if now - at < RETENTION_US]
        self._events = recent[1 - MAX_EVENTS :] + [(now, event)]

    def of_request(self, request_id: bytes) -> list[JobEvent]:
        """The events of one request, in the order in which they arrived."""
        return [event for _, event in self._events if event.request_id == request_id]
