"""The other processes of a hot restart, as this process sees them.

A process can have an older peer, which only finishes its open requests, and a newer peer, which accepts the
new requests once this process has yielded to it.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from badgerroad.hot_restart import rules
from badgerroad.hot_restart.rules import PredecessorState, SuccessorState
from badgerroad.load_balancing import state
from badgerroad.load_balancing.policy import DispatchPolicy
from badgerroad.net.timer_wheel import Timer, TimerWheel
from badgerroad.net.unix_channel import OnMessage, UnixChannel
from badgerroad.process_messages import JobEvent, Message

EventHandler = Callable[[rules.Event], None]  # passes an event to this process's state machine for one peer

# States of this process in which the older peer, or the newer one, has requests of the dispatcher too.
_STATES_WITH_ACTIVE_OLDER = (SuccessorState.SERVING, SuccessorState.RETURNING, SuccessorState.GIVEN_BACK)
_STATES_WITH_ACTIVE_NEWER = (
    PredecessorState.YIELDED,
    PredecessorState.SUPERSEDED,
    PredecessorState.RESUMING,
    PredecessorState.RESUMED,
)


class PeerProcess:
    """The process at the other end of one channel."""

    def __init__(
        self, sock: socket.socket, on_message: OnMessage, on_closed: Callable[[], None], decisions: DispatchPolicy
    ) -> None:
        """Take ownership of `sock`; `on_message` and `on_closed` are those of `UnixChannel`."""
        self.channel = UnixChannel(sock, on_message, on_closed)
        self.attempts = state.PeerAttempts(decisions)  # attempts that the peer has in flight
        self.open_requests: set[bytes] = set()  # ids of the peer's open requests when it sent its grant
        self.reads_lists = False  # whether it understands `messages.ReceivedList`
        self.job_events_received = 0  # number of job events that it has sent to this process
        self._job_events_sent = 0
        self._reply_timer: Timer | None = None

    def send(self, message: Message, descriptor: int | None = None) -> None:
        """Queue a message. `descriptor` must stay open until the message has been sent."""
        self.channel.send(message.kind, message.to_head(), descriptor)

    def send_job_event(self, event: JobEvent) -> int:
        """Queue a job event, and return its number among those sent to this peer, from 1."""
        self.send(event)
        self._job_events_sent += 1
        return self._job_events_sent

    def try_send(self, message: Message, payload: bytes, descriptor: int) -> bool:
        """Send a message at once or not at all; returns whether it was sent. The caller keeps `descriptor`."""
        return self.channel.try_send(message.kind, message.to_head(), payload, descriptor)

    def expect_message(self, wheel: TimerWheel, timeout_us: int, handle_event: EventHandler) -> None:
        """Pass the event TIMED_OUT to `handle_event` unless a message is received within `timeout_us`."""
        self.cancel_timeout()
        self._reply_timer = wheel.after(timeout_us, lambda: handle_event(rules.Event.TIMED_OUT), awaits_peer=True)

    def cancel_timeout(self) -> None:
        """Cancel the time-out for the next message."""
        if self._reply_timer is not None:
            self._reply_timer.cancel()
            self._reply_timer = None


class Peers:
    """The state machines of this process, the peers that they are about, and the requests open in the peers."""

    def __init__(self) -> None:
        """Start without peers."""
        self.successor = rules.Successor()  # this process's role towards an older process
        self.predecessor = rules.Predecessor()  # this process's role towards a newer process
        self.older: PeerProcess | None = None
        self.newer: PeerProcess | None = None
        # The peer that accepts new requests, to which connections and open requests are passed. None: none are passed.
        self.recipient: PeerProcess | None = None
        self.open_requests: set[bytes] = set()  # ids of requests that are open in another process

    def active(self) -> list[PeerProcess]:
        """Return the peers that have requests of this dispatcher at present."""
        older = self.older if self.successor.state in _STATES_WITH_ACTIVE_OLDER else None
        newer = self.newer if self.predecessor.state in _STATES_WITH_ACTIVE_NEWER else None
        return [peer for peer in (older, newer) if peer is not None]

    def third_process(self, sender: PeerProcess) -> PeerProcess | None:
        """Return the peer to which a message from `sender` is relayed, None unless three processes form a chain.

        In a chain the oldest and the newest process have no channel to each other; this one, in the middle, relays.
        """
        if sender is self.newer:
            return self.older
        return self.newer if self.predecessor.state is PredecessorState.YIELDED else None

    @property
    def relays_job_events(self) -> bool:
        """Whether the older peer gets its job events through this process, which has itself yielded to a newer one."""
        return self.older is not None and self.newer is not None and self.recipient is self.newer

    def forget(self, peer: PeerProcess) -> None:
        """Drop a peer that has gone, with its attempts and open requests."""
        peer.attempts.clear()
        self.open_requests -= peer.open_requests
        if peer is self.older:
            self.older = None
        else:
            self.newer = None

    def close(self) -> None:
        """Close the channels to all peers."""
        for peer in (self.older, self.newer):
            if peer is not None:
                peer.channel.close()
