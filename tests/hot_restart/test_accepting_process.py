"""The hot restart state machines: which process accepts new requests when messages are lost and processes fail."""

from hypothesis import given
from hypothesis import strategies as st

from badgerroad.hot_restart import rules
from badgerroad.hot_restart.rules import Action, Event

MESSAGES = {
    Action.SEND_HELLO: Event.HELLO,
    Action.SEND_OFFER: Event.OFFER,
    Action.SEND_CLAIM: Event.CLAIM,
    Action.SEND_GRANT: Event.GRANT,
    Action.SEND_RETURN: Event.RETURN,
}


class Side:
    """One of the two processes: its state machine, whether it accepts, and the messages sent to it."""

    def __init__(self, machine, accepting):
        self.machine = machine
        self.accepting = accepting
        self.inbox = []
        self.alive = True
        self.draining = False
        self.connected = True

    def handle_next_message(self, other):
        """Handle the first message in the inbox."""
        event = self.inbox.pop(0)
        if event == Event.CHANNEL_LOST:
            self.connected = False
        self.perform(self.machine.handle(event), other)

    def perform(self, actions, other):
        for action in actions:
            if action in MESSAGES and other.connected and self.connected:
                other.inbox.append(MESSAGES[action])
            if action in (Action.LISTEN, Action.ACCEPT, Action.RESUME_ACCEPTING):
                self.accepting = True
            if action == Action.STOP_ACCEPTING:
                self.accepting = False
            if action in (Action.DRAIN, Action.FINISH):
                self.draining = True
            if action == Action.CLOSE_CHANNEL and self.connected:
                self.connected = False
                other.inbox.append(Event.CHANNEL_LOST)


STEP = st.sampled_from(
    [
        "new",
        "old",
        "new",
        "old",
        "prepared",
        "term",
        "term new",
        "kill new",
        "kill old",
        "new times out",
        "old times out",
    ]
)


@given(st.lists(STEP, max_size=30))
def test_exactly_one_process_accepts_whichever_messages_are_lost_and_whichever_process_dies(steps):
    new, old = Side(rules.Successor(), False), Side(rules.Predecessor(), True)
    new.perform(new.machine.handle(Event.PEER_FOUND), old)
    failed = ended = False
    for step in steps + ["new", "old", "prepared"] * 6:
        side, other = (new, old) if "new" in step or step == "prepared" else (old, new)
        if not side.alive:
            continue
        if step in ("new", "old") and side.inbox:
            side.handle_next_message(other)
        elif (
            step == "prepared"
            or step.endswith("times out")
            and side.machine.state in ("asking", "claiming", "returning", "alone", "offering", "yielded", "resuming")
        ):
            failed |= step != "prepared"
            side.perform(side.machine.handle(Event.PREPARED if step == "prepared" else Event.TIMED_OUT), other)
        elif step == "term":
            old.perform(old.machine.handle(Event.TERMINATE), new)
        elif step == "term new" and not ended:
            ended = True
            new.perform(new.machine.handle(Event.TERMINATE), old)
        elif step.startswith("kill"):
            failed, side.alive, side.accepting = True, False, False
            other.inbox.append(Event.CHANNEL_LOST)
        assert failed or not (new.accepting and old.accepting)
    if new.alive and not ended:
        assert new.accepting  # even if the old process has ended or is silent
    assert not (new.alive or old.alive) or any(s.alive and (s.accepting or s.draining) for s in (new, old))
    if new.alive and old.alive and not failed and ended and not old.draining:
        assert old.accepting  # again, since the new process has returned the requests
