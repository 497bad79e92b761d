"""Ends connections of clients when descriptors are scarce, in the order of their eviction sort key."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from badgerroad.frontend.client import ClientConnection
from badgerroad.net.descriptor_budget import DescriptorBudget


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
