"""Divides a dispatcher's limits of file descriptors and memory among its processes during a hot restart."""

from __future__ import annotations

from badgerroad.dispatcher import Dispatcher
from badgerroad.hot_restart import messages
from badgerroad.hot_restart.peers import Peers
from badgerroad.net.process_memory import resident_bytes
from badgerroad.net.timer_wheel import TimerWheel

REPORT_INTERVAL_US = 200_000  # time between two reports to the peers; the reports also serve as heartbeats
# Descriptors that a process uses in addition to its connections, as counted on a running process: the standard
# streams, three of the event loop, the listener, the admin listener and its connections, the Unix socket, the channel
# to the peer, and the connection to discovery.
BASE_DESCRIPTORS = 24
RESERVED_DESCRIPTORS = 4  # descriptors that the older process may still open, for retries and cancellations


class ResourceAccounting:
    """Reduces this process's limits by what the peers use, and reports its own usage to them."""

    def __init__(self, dispatcher: Dispatcher, wheel: TimerWheel, peers: Peers) -> None:
        """Start with the whole limits available to this process and without periodic reports."""
        self._dispatcher = dispatcher
        self._wheel = wheel
        self._peers = peers

    def set_peer_usage(self, usage: messages.ResourcesInUse) -> None:
        """Reduce this process's limits by the peer's usage, or only the resident memory once the peer gets the rest."""
        memory = self._dispatcher.memory
        in_use = usage.memory or self._assumed_memory()
        memory.resident_elsewhere = in_use.resident_bytes
        if self._peers.recipient is None:
            memory.set_used_elsewhere(in_use.message_bytes)
            self._dispatcher.descriptors.set_used_elsewhere(usage.descriptors + BASE_DESCRIPTORS)

    def _assumed_memory(self) -> messages.MemoryInUse:
        """What a peer may use that does not report its memory."""
        message_bytes = self._dispatcher.memory.total // 2
        return messages.MemoryInUse(message_bytes, self._dispatcher.memory_plan.reserved_bytes + message_bytes)

    def leave_unused_to_peer(self) -> None:
        """Limit this process to the memory and descriptors in use now, and a small reserve of descriptors."""
        descriptors, memory = self._dispatcher.descriptors, self._dispatcher.memory
        descriptors.set_used_elsewhere(descriptors.total - descriptors.used - RESERVED_DESCRIPTORS)
        memory.set_used_elsewhere(memory.total - memory.used)

    def reclaim_one(self) -> None:
        """Raise this process's limit by one, since a peer that passed a connection to it uses one descriptor less."""
        descriptors = self._dispatcher.descriptors
        descriptors.set_used_elsewhere(max(descriptors.total - descriptors.limit - 1, 0))

    def reclaim_all(self) -> None:
        """Give this process the whole limits again, since there is no peer any more."""
        self._dispatcher.descriptors.set_used_elsewhere(0)
        self._dispatcher.memory.set_used_elsewhere(0)
        self._dispatcher.memory.resident_elsewhere = None

    def reserve_for_successor(self) -> None:
        """Reserve the descriptors that a successor needs at its start; if few are left then, close idle connections."""
        dispatcher = self._dispatcher
        dispatcher.descriptors.set_used_elsewhere(BASE_DESCRIPTORS)
        if dispatcher.descriptors.scarce:
            dispatcher.frontend.shed_idle_connections()
            dispatcher.backend.shed_idle_connections()

    def report_periodically(self) -> None:
        """Report what is in use to all active peers, now and at every interval while there are any."""
        used = self._dispatcher.descriptors.used
        memory = messages.MemoryInUse(self._dispatcher.memory.used, resident_bytes())
        active_peers = self._peers.active()
        for peer in active_peers:
            reserved = RESERVED_DESCRIPTORS if peer is self._peers.recipient else 0
            peer.send(messages.ResourcesInUse(used + reserved, memory))
        if active_peers:
            self._wheel.after(REPORT_INTERVAL_US, self.report_periodically)
