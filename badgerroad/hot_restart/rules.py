"""State machines that decide which of two processes of a dispatcher accepts new requests during a hot restart.

They use no sockets, clocks or threads. `Successor` is the role of the process that has just started, `Predecessor` the
role of the process that ran before. Each handles events and returns the actions to perform, in order. The messages are
those of `hot_restart.messages`.

    successor                                          predecessor
    seeking --peer found--> asking        HELLO  -->   alone --hello--> offering
    asking --offer--> preparing           <-- OFFER    (carries the listener)
    preparing --prepared--> claiming      CLAIM  -->   offering --claim--> yielded   stops accepting first,
    claiming --grant--> serving           <-- GRANT    then sends its state

    serving --terminate--> returning      RETURN -->   yielded --return--> resuming
    returning --claim--> given back       <-- CLAIM
                                          GRANT  -->   resuming --grant--> resumed

The successor accepts only after it has received GRANT, and the predecessor stops accepting before it sends GRANT. When
the successor returns the requests, the roles are exchanged. So the two never accept at the same time, unless one has
failed or is silent; each then continues as if there were no other process. A successor that yields to a third process
reports that to its predecessor, which then does not resume if the successor ends first.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

PROTOCOL_VERSION = 2  # version of the messages between the processes of a hot restart
# Longest times to wait for the next message of the other process. A new process must accept its first connection
# within 6 s of its start, of which the start itself takes up to 1 s and an unanswered poll of discovery 1.5 s.
HELLO_TIMEOUT_US = 1_500_000
CLAIM_TIMEOUT_US = 1_000_000
OFFER_TIMEOUT_US = 8_000_000  # from the offer to the claim; until then the predecessor continues to accept
# A successor sends a message every 0.2 s. A successor that has sent none for this long is stopped or hangs, so its
# predecessor resumes accepting.
MISSING_HEARTBEAT_US = 2_000_000


class Event(StrEnum):
    """An input of the state machines: a change of the channel or of this process, or a received message."""

    PEER_FOUND = "peer found"
    NO_PEER_FOUND = "no peer found"
    CHANNEL_LOST = "channel lost"
    TIMED_OUT = "timed out"
    PREPARED = "prepared"  # discovery has answered or failed, so this process can serve
    TERMINATE = "terminate"
    HELLO = "hello"
    OFFER = "offer"
    CLAIM = "claim"
    GRANT = "grant"
    RETURN = "return"
    SUPERSEDED = "superseded"  # the successor has yielded to a third process
    RESUMED = "resumed"  # the successor accepts again, since the third process has ended or returned the requests


class Action(StrEnum):
    """An output of the state machines, which the process has to perform."""

    SEND_HELLO = "send hello"
    SEND_OFFER = "send offer"
    SEND_CLAIM = "send claim"
    SEND_GRANT = "send grant"
    SEND_RETURN = "send return"
    LISTEN = "listen"  # open a new listening socket and accept from it
    ADOPT_LISTENER = "adopt listener"  # take over the listener received with the offer, without accepting from it yet
    ACCEPT = "accept"
    STOP_ACCEPTING = "stop accepting"
    RESUME_ACCEPTING = "resume accepting"
    FORGET_PEER = "forget peer"  # drop the peer's attempts and open requests
    CLOSE_CHANNEL = "close channel"
    DRAIN = "drain"  # shut down gracefully: responses close their connections; late connections are still served
    RETIRE = "retire"  # a third process accepts: answer the open requests, then close their connections
    FINISH = "finish"  # exit after a handover: answer the open requests; no new ones arrive


class SuccessorState(StrEnum):
    """State of the process that has just started."""

    SEEKING = "seeking"
    ASKING = "asking"
    PREPARING = "preparing"
    CLAIMING = "claiming"
    SERVING = "serving"
    INDEPENDENT = "independent"
    RETURNING = "returning"
    GIVEN_BACK = "given back"
    ENDING = "ending"


class PredecessorState(StrEnum):
    """State of the process that ran before, towards one successor."""

    ALONE = "alone"
    OFFERING = "offering"
    YIELDED = "yielded"
    SUPERSEDED = "passed"  # the successor has yielded to a third process
    RESUMING = "resuming"
    RESUMED = "resumed"
    OVER = "over"


# Actions that expect a message from the peer, and the time after which the event TIMED_OUT occurs without one.
REPLY_TIMEOUT_US: Mapping[Action, int] = {
    Action.SEND_HELLO: HELLO_TIMEOUT_US,
    Action.SEND_CLAIM: CLAIM_TIMEOUT_US,
    Action.SEND_RETURN: CLAIM_TIMEOUT_US,
    Action.SEND_OFFER: OFFER_TIMEOUT_US,
}

SuccessorTransition = tuple[SuccessorState, tuple[Action, ...]]
PredecessorTransition = tuple[PredecessorState, tuple[Action, ...]]

_LISTEN_ALONE = (SuccessorState.INDEPENDENT, (Action.CLOSE_CHANNEL, Action.LISTEN))
# Used when the predecessor has gone or is silent, and this process has received the predecessor's listener.
_SERVE_ALONE = (SuccessorState.SERVING, (Action.CLOSE_CHANNEL, Action.ACCEPT, Action.FORGET_PEER))
_END_ALONE = (SuccessorState.ENDING, (Action.CLOSE_CHANNEL, Action.FORGET_PEER, Action.DRAIN))

# Maps each state and event to the next state and the actions. A pair of state and event that is not listed has no
# effect.
SUCCESSOR_TRANSITIONS: Mapping[tuple[SuccessorState, Event], SuccessorTransition] = {
    (SuccessorState.SEEKING, Event.PEER_FOUND): (SuccessorState.ASKING, (Action.SEND_HELLO,)),
    (SuccessorState.SEEKING, Event.NO_PEER_FOUND): (SuccessorState.INDEPENDENT, (Action.LISTEN,)),
    (SuccessorState.ASKING, Event.OFFER): (SuccessorState.PREPARING, (Action.ADOPT_LISTENER,)),
    (SuccessorState.ASKING, Event.CHANNEL_LOST): _LISTEN_ALONE,
    (SuccessorState.ASKING, Event.TIMED_OUT): _LISTEN_ALONE,
    (SuccessorState.PREPARING, Event.PREPARED): (SuccessorState.CLAIMING, (Action.SEND_CLAIM,)),
    (SuccessorState.PREPARING, Event.CHANNEL_LOST): _SERVE_ALONE,
    (SuccessorState.CLAIMING, Event.GRANT): (SuccessorState.SERVING, (Action.ACCEPT,)),
    (SuccessorState.CLAIMING, Event.CHANNEL_LOST): _SERVE_ALONE,
    (SuccessorState.CLAIMING, Event.TIMED_OUT): _SERVE_ALONE,
    (SuccessorState.SERVING, Event.CHANNEL_LOST): (
        SuccessorState.SERVING,
        (Action.CLOSE_CHANNEL, Action.FORGET_PEER),
    ),
    (SuccessorState.SERVING, Event.TERMINATE): (SuccessorState.RETURNING, (Action.SEND_RETURN,)),
    (SuccessorState.RETURNING, Event.CLAIM): (
        SuccessorState.GIVEN_BACK,
        (Action.STOP_ACCEPTING, Action.SEND_GRANT, Action.FINISH),
    ),
    (SuccessorState.RETURNING, Event.CHANNEL_LOST): _END_ALONE,
    (SuccessorState.RETURNING, Event.TIMED_OUT): _END_ALONE,
    (SuccessorState.GIVEN_BACK, Event.CHANNEL_LOST): _END_ALONE,
    (SuccessorState.GIVEN_BACK, Event.TIMED_OUT): _END_ALONE,
}

_OVER = (PredecessorState.OVER, (Action.CLOSE_CHANNEL,))
_FORGET_AND_RESUME = (
    PredecessorState.OVER,
    (Action.CLOSE_CHANNEL, Action.FORGET_PEER, Action.RESUME_ACCEPTING),
)
_FORGET_AND_DRAIN = (PredecessorState.OVER, (Action.CLOSE_CHANNEL, Action.FORGET_PEER, Action.DRAIN))
_FORGET_AND_RETIRE = (PredecessorState.OVER, (Action.CLOSE_CHANNEL, Action.FORGET_PEER, Action.RETIRE))

PREDECESSOR_TRANSITIONS: Mapping[tuple[PredecessorState, Event], PredecessorTransition] = {
    (PredecessorState.ALONE, Event.HELLO): (PredecessorState.OFFERING, (Action.SEND_OFFER,)),
    (PredecessorState.ALONE, Event.CHANNEL_LOST): _OVER,
    (PredecessorState.ALONE, Event.TIMED_OUT): _OVER,
    (PredecessorState.OFFERING, Event.CLAIM): (
        PredecessorState.YIELDED,
        (Action.STOP_ACCEPTING, Action.SEND_GRANT),
    ),
    (PredecessorState.OFFERING, Event.CHANNEL_LOST): _OVER,
    (PredecessorState.OFFERING, Event.TIMED_OUT): _OVER,
    (PredecessorState.YIELDED, Event.CHANNEL_LOST): _FORGET_AND_RESUME,
    (PredecessorState.YIELDED, Event.TIMED_OUT): _FORGET_AND_RESUME,
    (PredecessorState.YIELDED, Event.SUPERSEDED): (PredecessorState.SUPERSEDED, ()),
    (PredecessorState.YIELDED, Event.RETURN): (PredecessorState.RESUMING, (Action.SEND_CLAIM,)),
    (PredecessorState.SUPERSEDED, Event.RESUMED): (PredecessorState.YIELDED, ()),
    (PredecessorState.SUPERSEDED, Event.CHANNEL_LOST): _FORGET_AND_RETIRE,
    (PredecessorState.SUPERSEDED, Event.TIMED_OUT): _FORGET_AND_RETIRE,
    (PredecessorState.RESUMING, Event.CHANNEL_LOST): _FORGET_AND_RESUME,
    (PredecessorState.RESUMING, Event.TIMED_OUT): _FORGET_AND_RESUME,
    # The channel stays open, since the successor passes connections, requests and job events back over it.
    (PredecessorState.RESUMING, Event.GRANT): (PredecessorState.RESUMED, (Action.RESUME_ACCEPTING,)),
    (PredecessorState.RESUMED, Event.CHANNEL_LOST): (
        PredecessorState.OVER,
        (Action.CLOSE_CHANNEL, Action.FORGET_PEER),
    ),
}

# Transitions that take precedence over PREDECESSOR_TRANSITIONS once this process has been asked to terminate.
TERMINATING_PREDECESSOR_TRANSITIONS: Mapping[tuple[PredecessorState, Event], PredecessorTransition] = {
    (PredecessorState.OFFERING, Event.CLAIM): (
        PredecessorState.YIELDED,
        (Action.STOP_ACCEPTING, Action.SEND_GRANT, Action.FINISH),
    ),
    (PredecessorState.YIELDED, Event.CHANNEL_LOST): _FORGET_AND_DRAIN,
    (PredecessorState.YIELDED, Event.TIMED_OUT): _FORGET_AND_DRAIN,
    (PredecessorState.YIELDED, Event.RETURN): (PredecessorState.YIELDED, ()),
    (PredecessorState.RESUMING, Event.CHANNEL_LOST): _FORGET_AND_DRAIN,
    (PredecessorState.RESUMING, Event.TIMED_OUT): _FORGET_AND_DRAIN,
    (PredecessorState.RESUMING, Event.GRANT): (
        PredecessorState.RESUMED,
        (Action.RESUME_ACCEPTING, Action.DRAIN),
    ),
}

# States in which the event TERMINATE leads to the action FINISH: the successor accepts, or is to accept, the new
# requests.
_FINISH_ON_TERMINATE_STATES = (
    PredecessorState.YIELDED,
    PredecessorState.SUPERSEDED,
    PredecessorState.RESUMING,
)


class Successor:
    """The state machine of the process that has just started."""

    def __init__(self) -> None:
        """Start in the state SEEKING."""
        self.state = SuccessorState.SEEKING

    def handle(self, event: Event) -> tuple[Action, ...]:
        """Change state and return the actions to perform; none if the event has no effect in this state."""
        transition = SUCCESSOR_TRANSITIONS.get((self.state, event))
        if transition is None and event is Event.TERMINATE:
            transition = (SuccessorState.ENDING, (Action.DRAIN,))
        if transition is None:
            return ()
        self.state, actions = transition
        return actions


class Predecessor:
    """The state machine of the process that ran before, one for each successor that connects."""

    def __init__(self, terminating: bool = False) -> None:
        """`terminating`: this process has already been asked to terminate."""
        self.state = PredecessorState.ALONE
        self.terminating = terminating

    def handle(self, event: Event) -> tuple[Action, ...]:
        """Change state and return the actions to perform; none if the event has no effect in this state."""
        if event is Event.TERMINATE:
            self.terminating = True
            return (Action.FINISH,) if self.state in _FINISH_ON_TERMINATE_STATES else (Action.DRAIN,)
        key = self.state, event
        transition = TERMINATING_PREDECESSOR_TRANSITIONS.get(key) if self.terminating else None
        transition = transition or PREDECESSOR_TRANSITIONS.get(key)
        if transition is None:
            return ()
        self.state, actions = transition
        return actions
