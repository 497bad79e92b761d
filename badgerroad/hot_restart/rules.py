"""Which of two processes of one dispatcher accepts new requests: two state machines without sockets, clocks or threads.

The `Successor` is the process that has just started, the `Predecessor` the one that it finds. Each is given events and
returns the actions to perform, in order. The messages are those of `hot_restart.messages`.

    successor                                          predecessor
    seeking --peer found--> asking        HELLO  -->   alone --hello--> offering
    asking --offer--> preparing           <-- OFFER    (with the listener)
    preparing --prepared--> claiming      CLAIM  -->   offering --claim--> yielded   stops accepting first,
    claiming --grant--> serving           <-- GRANT    then sends the state

    serving --terminate--> returning      RETURN -->   yielded --return--> resuming
    returning --claim--> given back       <-- CLAIM
                                          GRANT  -->   resuming --grant--> resumed

The successor accepts only after GRANT, and the predecessor has stopped before it sends it; on the way back the roles
are exchanged. So both never accept at once, unless one has failed or is silent: then each continues as if there were
no other. A successor that is superseded by a third process says so; if it ends first, its predecessor stays retired.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

VERSION = 2  # of the messages
# How long the other process may take for its next message, in microseconds. An accepted connection is due 6 s after the
# start of the second process, of which the start takes up to 1 s and an unanswered poll of discovery 1.5 s.
HELLO_TIMEOUT_US = 1_500_000
CLAIM_TIMEOUT_US = 1_000_000
OFFER_TIMEOUT_US = 8_000_000  # from the offer to the claim; the predecessor accepts meanwhile
# A successor sends a message every 0.2 s. Without one for so long it is stopped or hangs; its predecessor resumes.
MISSING_HEARTBEAT_US = 2_000_000


class Event(StrEnum):
    """What happened: to the channel, in this process, or a message that was received."""

    PEER_FOUND = "peer found"
    NO_PEER_FOUND = "no peer found"
    CHANNEL_LOST = "channel lost"
    TIMED_OUT = "timed out"
    PREPARED = "prepared"  # discovery has answered or failed: this process can serve
    TERMINATE = "terminate"
    HELLO = "hello"
    OFFER = "offer"
    CLAIM = "claim"
    GRANT = "grant"
    RETURN = "return"
    SUPERSEDED = "superseded"  # the successor has yielded to a third process
    RESUMED = "resumed"  # the successor accepts again, in place of that third process


class Action(StrEnum):
    """What the process has to do."""

    SEND_HELLO = "send hello"
    SEND_OFFER = "send offer"
    SEND_CLAIM = "send claim"
    SEND_GRANT = "send grant"
    SEND_RETURN = "send return"
    LISTEN = "listen"  # on a socket of its own, and accept from it
    ADOPT_LISTENER = "adopt listener"  # that came with the offer, without accepting from it yet
    ACCEPT = "accept"
    STOP_ACCEPTING = "stop accepting"
    RESUME_ACCEPTING = "resume accepting"
    FORGET_PEER = "forget peer"  # its attempts and open requests are over
    CLOSE_CHANNEL = "close channel"
    DRAIN = "drain"  # graceful shutdown: answers close their connections, the listener serves latecomers
    RETIRE = "retire"  # a third process accepts; open requests are answered, then their connections closed
    FINISH = "finish"  # the end after a handover: open requests are answered, nothing new arrives


class SuccessorState(StrEnum):
    """What the process that was started has reached."""

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
    """What the process that was there before has reached, with one successor."""

    ALONE = "alone"
    OFFERING = "offering"
    YIELDED = "yielded"
    PASSED = "passed"  # the successor has yielded to a third process
    RESUMING = "resuming"
    RESUMED = "resumed"
    OVER = "over"


# The action after which a message is due, and how long it may take (microseconds) before TIMED_OUT.
REPLY_TIMEOUT_US: Mapping[Action, int] = {
    Action.SEND_HELLO: HELLO_TIMEOUT_US,
    Action.SEND_CLAIM: CLAIM_TIMEOUT_US,
    Action.SEND_RETURN: CLAIM_TIMEOUT_US,
    Action.SEND_OFFER: OFFER_TIMEOUT_US,
}

SuccessorTransition = tuple[SuccessorState, tuple[Action, ...]]
PredecessorTransition = tuple[PredecessorState, tuple[Action, ...]]

_LISTEN_ALONE = (SuccessorState.INDEPENDENT, (Action.CLOSE_CHANNEL, Action.LISTEN))
# The predecessor is gone or silent; its listener is here.
_SERVE_ALONE = (SuccessorState.SERVING, (Action.CLOSE_CHANNEL, Action.ACCEPT, Action.FORGET_PEER))
_END_ALONE = (SuccessorState.ENDING, (Action.CLOSE_CHANNEL, Action.FORGET_PEER, Action.DRAIN))

# State and event; next state and actions. What is not listed has no effect.
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
    (PredecessorState.YIELDED, Event.SUPERSEDED): (PredecessorState.PASSED, ()),
    (PredecessorState.YIELDED, Event.RETURN): (PredecessorState.RESUMING, (Action.SEND_CLAIM,)),
    (PredecessorState.PASSED, Event.RESUMED): (PredecessorState.YIELDED, ()),
    (PredecessorState.PASSED, Event.CHANNEL_LOST): _FORGET_AND_RETIRE,
    (PredecessorState.PASSED, Event.TIMED_OUT): _FORGET_AND_RETIRE,
    (PredecessorState.RESUMING, Event.CHANNEL_LOST): _FORGET_AND_RESUME,
    (PredecessorState.RESUMING, Event.TIMED_OUT): _FORGET_AND_RESUME,
    # The channel stays open: connections, requests and job events come back over it.
    (PredecessorState.RESUMING, Event.GRANT): (PredecessorState.RESUMED, (Action.RESUME_ACCEPTING,)),
    (PredecessorState.RESUMED, Event.CHANNEL_LOST): (
        PredecessorState.OVER,
        (Action.CLOSE_CHANNEL, Action.FORGET_PEER),
    ),
}

# In place of the above once this process has been asked to terminate.
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

# A successor has, or is to get, the new requests: nothing arrives here any more.
_FINISHES_AT_TERMINATE = (PredecessorState.YIELDED, PredecessorState.PASSED, PredecessorState.RESUMING)


class Successor:
    """The state machine of the process that has just started."""

    def __init__(self) -> None:
        """Nothing is known of another process yet."""
        self.state = SuccessorState.SEEKING

    def handle(self, event: Event) -> tuple[Action, ...]:
        """The actions to perform now; none if the event does not matter in this state."""
        transition = SUCCESSOR_TRANSITIONS.get((self.state, event))
        if transition is None and event is Event.TERMINATE:
            transition = (SuccessorState.ENDING, (Action.DRAIN,))
        if transition is None:
            return ()
        self.state, actions = transition
        return actions


class Predecessor:
    """The state machine of the process that was there before, one for each successor that connects."""

    def __init__(self, terminating: bool = False) -> None:
        """`terminating`: this process has been asked to terminate already."""
        self.state = PredecessorState.ALONE
        self.terminating = terminating

    def handle(self, event: Event) -> tuple[Action, ...]:
        """The actions to perform now; none if the event does not matter in this state."""
        if event is Event.TERMINATE:
            self.terminating = True
            return (Action.FINISH,) if self.state in _FINISHES_AT_TERMINATE else (Action.DRAIN,)
        key = self.state, event
        transition = TERMINATING_PREDECESSOR_TRANSITIONS.get(key) if self.terminating else None
        transition = transition or PREDECESSOR_TRANSITIONS.get(key)
        if transition is None:
            return ()
        self.state, actions = transition
        return actions
