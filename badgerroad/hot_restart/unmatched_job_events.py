"""Retains job events that arrive before their request, which another process is transferring. No I/O, no clock.

The channel between two processes keeps the order of messages, so a count of the job events that have been sent over it
tells which of them its other end has had when it sent another message.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from typing import Any, NamedTuple

from badgerroad.process_messages import JobEvent

# How long an event is retained. The transfer of its request takes milliseconds, but the receiving process may be busy.
RETENTION_US = 2_000_000
MAX_EVENTS = 64  # most events retained; limits memory, as each event may carry a result of 64 KiB
RECEIVED_FROM_PEER = 0  # number of an event that the peer has sent to this process, and so has had from the start


class _RetainedEvent(NamedTuple):
    arrived_at: int  # microseconds
    event: JobEvent
    numbers: Mapping[Any, int]  # its number among the events sent to each peer, or RECEIVED_FROM_PEER


class UnmatchedJobEvents:
    """Job events whose request is not known in this process.

    While a request is being transferred, the sender has already dropped it and the receiver does not have it yet, so an
    event that ends the request matches in neither process. The receiver applies the retained events once the request
    has arrived, except those that the sender has had while it held the request.
    """

    def __init__(self) -> None:
        """Start without events."""
        self._events: list[_RetainedEvent] = []  # the latest event is last

    def retain(self, event: JobEvent, now: int, numbers: Mapping[Any, int]) -> None:
        """Retain an event that arrived at `now` (microseconds), and drop those that are too old or too many.

        `numbers`: for each peer that has the event too, its number among the events sent to that peer, or
        RECEIVED_FROM_PEER.
        """
        recent = [retained for retained in self._events if now - retained.arrived_at < RETENTION_US]
        self._events = [*recent[1 - MAX_EVENTS :], _RetainedEvent(now, event, numbers)]

    def for_request(self, request_id: bytes, sender: Hashable, handled: int) -> list[JobEvent]:
        """Return the retained events of a request that its sender has not handled, in order of arrival.

        `handled`: how many job events `sender` had received from this process when it sent the request.
        """
        return [
            event
            for _, event, numbers in self._events
            if event.request_id == request_id and not (sender in numbers and numbers[sender] <= handled)
        ]
