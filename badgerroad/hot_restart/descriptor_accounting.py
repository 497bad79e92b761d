"""The one limit of descriptors that all processes of a dispatcher share while it is upgraded."""

from __future__ import annotations

from badgerroad.dispatcher import Dispatcher
from badgerroad.hot_restart import messages
from badgerroad.hot_restart.peers import Peers
from badgerroad.net.timer_wheel import TimerWheel

REPORT_INTERVAL_US = 200_000  # between two reports to the peers; also the heartbeat
# Descriptors that a process uses besides connections, as counted on one: standard streams, the loop's own three, the
# listener, the second address with its callers, the Unix socket and the channel, discovery's connection.
BASE_DESCRIPTORS = 24
RESERVED_DESCRIPTORS = 4  # that the older process may still open, for retries and cancels


class DescriptorAccounting:
    """Leaves descriptors to the peers, and reports to them how many are in use here."""

    def __init__(self, dispatcher: Dispatcher, wheel: TimerWheel, peers: Peers) -> None:
        """Nothing is left to peers, nor reported, yet."""
        self._dispatcher = dispatcher
        self._wheel = wheel
        self._peers = peers

    def leave_to_peer(self, in_use: int) -> None:
        """`in_use`: descriptors of connections in the peer."""
        self._dispatcher.descriptors.set_used_elsewhere(in_use + BASE_DESCRIPTORS)

    def leave_all_but_used(self) -> None:
        """Only what is open now stays this process's."""
        descriptors = self._dispatcher.descriptors
        descriptors.set_used_elsewhere(descriptors.total - descriptors.used - RESERVED_DESCRIPTORS)

    def take_one_back(self) -> None:
        """A connection has moved here, with its descriptor."""
        descriptors = self._dispatcher.descriptors
        descriptors.set_used_elsewhere(max(descriptors.total - descriptors.limit - 1, 0))

    def take_all_back(self) -> None:
        """No peer uses any."""
        self._dispatcher.descriptors.set_used_elsewhere(0)

    def prepare_offer(self) -> None:
        """Leave a second process what it needs at its start; connections that are idle go if there is too little."""
        dispatcher = self._dispatcher
        dispatcher.descriptors.set_used_elsewhere(BASE_DESCRIPTORS)
        if dispatcher.descriptors.scarce:
            dispatcher.frontend.shed_idle_connections()
            dispatcher.backend.shed_idle_connections()

    def report_until_alone(self) -> None:
        """Report the descriptors in use to all peers, now and periodically while there are any."""
        used = self._dispatcher.descriptors.used
        sharing = self._peers.sharing()
        for peer in sharing:
            reserved = RESERVED_DESCRIPTORS if peer is self._peers.recipient else 0
            peer.send(messages.DescriptorsInUse(used + reserved))
        if sharing:
            self._wheel.after(REPORT_INTERVAL_US, self.report_until_alone)
