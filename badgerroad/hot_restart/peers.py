"""The other processes of an upgrade, as this process knows them.

A process may know an older one, whose requests run out, and a newer one, to which it has yielded.
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
from badgerroad.process_messages import Message

Report = Callable[[rules.Event], None]  # gives an event to the state machine that a peer belongs to

# With the older process, in these states of the successor, this one is one dispatcher: both have requests.
_SHARING_WITH_OLDER = (SuccessorState.SERVING, SuccessorState.RETURNING, SuccessorState.GIVEN_BACK)
_SHARING_WITH_NEWER = (
    PredecessorState.YIELDED,
    PredecessorState.PASSED,
    PredecessorState.RESUMING,
    PredecessorState.RESUMED,
)


class PeerProcess:
    """The process at the other end of one channel."""

    def __init__(
        self, sock: socket.socket, on_message: OnMessage, on_closed: Callable[[], None], decisions: DispatchPolicy
    ) -> None:
        """Owns `sock` from now on; `on_message` and `on_closed` as in `UnixChannel`."""
        self.channel = UnixChannel(sock, on_message, on_closed)
        self.attempts = state.PeerAttempts(decisions)  # that it has in flight
        self.open_requests: set[bytes] = set()  # ids that it had when this process accepted first
        self._reply_timer: Timer | None = None

    def send(self, message: Message, descriptor: int | None = None) -> None:
        """Queue a message. `descriptor` must stay open until it is sent."""
        self.channel.send(message.kind, message.to_head(), descriptor)

    def try_send(self, message: Message, payload: bytes, descriptor: int) -> bool:
        """Send now or not at all; what is not sent stays the caller's."""
        return self.channel.try_send(message.kind, message.to_head(), payload, descriptor)

    def expect_message(self, wheel: TimerWheel, timeout_us: int, report: Report) -> None:
        """Report TIMED_OUT unless a message is received within the time."""
        self.cancel_timeout()
        self._reply_timer = wheel.after(timeout_us, lambda: report(rules.Event.TIMED_OUT), awaits_peer=True)

    def cancel_timeout(self) -> None:
        """No message is expected any more."""
        if self._reply_timer is not None:
            self._reply_timer.cancel()
            self._reply_timer = None


class Peers:
    """The state machines, the processes that they are about, and the requests that are open there."""

    def __init__(self) -> None:
        """No other process is known yet."""
        self.successor = rules.Successor()  # what this process is to an older one
        self.predecessor = rules.Predecessor()  # what it is to a newer one
        self.older: PeerProcess | None = None
        self.newer: PeerProcess | None = None
        # Connections and open requests are passed to it, as it accepts the new ones.
        self.recipient: PeerProcess | None = None
        self.open_requests: set[bytes] = set()  # ids that are open in another process

    def sharing(self) -> list[PeerProcess]:
        """The peers with which this process is one dispatcher now."""
        older = self.older if self.successor.state in _SHARING_WITH_OLDER else None
        newer = self.newer if self.predecessor.state in _SHARING_WITH_NEWER else None
        return [peer for peer in (older, newer) if peer is not None]

    def third_process(self, sender: PeerProcess) -> PeerProcess | None:
        """The process on the other side of this one from `sender`, if the three of them are a chain."""
        if sender is self.newer:
            return self.older
        return self.newer if self.predecessor.state is PredecessorState.YIELDED else None

    @property
    def relays_job_events(self) -> bool:
        """Whether an older process's job events reach it through this one, which has yielded itself."""
        return self.older is not None and self.newer is not None and self.recipient is self.newer

    def forget(self, peer: PeerProcess) -> None:
        """Its attempts and open requests are over."""
        peer.attempts.clear()
        self.open_requests -= peer.open_requests
        if peer is self.older:
            self.older = None
        else:
            self.newer = None

    def close(self) -> None:
        """Close the channels."""
        for peer in (self.older, self.newer):
            if peer is not None:
                peer.channel.close()
