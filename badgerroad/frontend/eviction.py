"""Which connections of clients are ended when descriptors are scarce: the least useful first."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from badgerroad.frontend.client import ClientConnection
from badgerroad.net.descriptor_budget import DescriptorBudget


def end_idle(
    connections: Iterable[ClientConnection], descriptors: DescriptorBudget, now: int, until_headroom: bool
) -> None:
    """End evictable connections; `until_headroom`: no more than needed. One whose next request has arrived stays."""
    connections = list(connections)
    closing = sum(connection.lingering for connection in connections)
    evictable = [connection for connection in connections if connection.evictable(now)]
    for connection in sorted(evictable, key=lambda connection: connection.usefulness):
        if until_headroom and descriptors.has_headroom(closing):
            break
        if connection.lingering:
            connection.close()
            closing -= 1
        elif not connection.peer_has_sent():
            connection.end_gracefully()
            closing += 1


def close_while_needed(
    connections: Iterable[ClientConnection], needed: Callable[[], bool], min_silence: int, now: int
) -> None:
    """Close connections without a complete request at once, as long as `needed`.

    Clients with a request, or about to bring one, take precedence over those silent for `min_silence` microseconds.
    """
    candidates = [
        connection
        for connection in connections
        if not connection.has_pending_response and now - connection.last_activity_at >= min_silence
    ]
    for connection in sorted(candidates, key=lambda connection: connection.usefulness):
        if not needed():
            break
        if connection.lingering:
            connection.close()
        elif not connection.peer_has_sent():
            connection.end_gracefully()  # the client sees a regular end; the descriptor is needed now
            connection.close()
