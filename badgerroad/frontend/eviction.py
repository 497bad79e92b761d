"""Ends connections of clients when descriptors or memory are scarce."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from badgerroad.frontend.client import EVICTION_GRACE_US, SMALL_REQUEST_BYTES, ClientConnection
from badgerroad.net.descriptor_budget import DescriptorBudget
from badgerroad.net.memory_budget import MemoryBudget

# After this time beyond the deadline of its request, a response that the client has not read is of no use to it.
UNREAD_RESPONSE_GRACE_US = 600_000


def end_idle(
    connections: Iterable[ClientConnection], descriptors: DescriptorBudget, now: int, until_headroom: bool
) -> None:
    """End evictable connections, except those on which the next request has arrived.

    With `until_headroom`, end only as many as needed until enough descriptors are free; otherwise end all.
    """
    connections = list(connections)
    closing = sum(connection.lingering for connection in connections)
    evictable = [connection for connection in connections if connection.evictable(now)]
    for connection in sorted(evictable, key=lambda connection: connection.eviction_sort_key):
        if until_headroom and descriptors.has_headroom(closing):
            break
        if connection.lingering:
            connection.close()
            closing -= 1
        elif not connection.peer_has_sent():
            connection.end_gracefully()
            closing += 1


def close_while_needed(
    connections: Iterable[ClientConnection], is_needed: Callable[[], bool], min_inactive_us: int, now: int
) -> None:
    """Close connections without a complete request immediately, as long as `is_needed` returns True.

    Only clients inactive for at least `min_inactive_us` are closed; clients with a request, or likely to be sending
    one, keep their connections.
    """
    candidates = [
        connection
        for connection in connections
        if not connection.has_pending_response and now - connection.last_activity_at >= min_inactive_us
    ]
    for connection in sorted(candidates, key=lambda connection: connection.eviction_sort_key):
        if not is_needed():
            break
        if connection.lingering:
            connection.close()
        elif not connection.peer_has_sent():
            connection.end_gracefully()  # the client sees a regular end, not a reset
            connection.close()  # no lingering: the descriptor is needed now


def free_memory(connections: Iterable[ClientConnection], memory: MemoryBudget, now: int) -> None:
    """End connections until enough memory is free, as far as no request is lost.

    Responses that their clients have left unread beyond their deadlines come first, then incomplete requests, the
    longest inactive ones first. Requests that have been received completely are kept.
    """
    connections = list(connections)
    for connection in connections:
        if _has_overdue_response(connection, now):
            connection.close()
    incomplete = [connection for connection in connections if _holds_idle_request(connection, now)]
    for connection in sorted(incomplete, key=lambda connection: connection.last_activity_at):
        if memory.has_headroom:
            break
        if not connection.peer_has_sent():
            connection.reject_incomplete()


def _has_overdue_response(connection: ClientConnection, now: int) -> bool:
    """Whether the client has left a response unread until after the deadline of its request."""
    return not connection.all_written and now > connection.response_due_at + UNREAD_RESPONSE_GRACE_US


def _holds_idle_request(connection: ClientConnection, now: int) -> bool:
    """Whether a part of a request takes memory, and none of it has arrived for a while."""
    if connection.lingering or connection.has_pending_response or connection.memory.size <= SMALL_REQUEST_BYTES:
        return False
    return now - connection.last_activity_at >= EVICTION_GRACE_US
