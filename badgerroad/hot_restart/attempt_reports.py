"""Reports attempts to the other processes of a hot restart, so that each counts the others' load at the workers."""

from __future__ import annotations

import os

from badgerroad.backend.attempts import Attempt
from badgerroad.dispatcher import Dispatcher
from badgerroad.hot_restart import messages
from badgerroad.hot_restart.peers import PeerProcess
from badgerroad.load_balancing import state
from badgerroad.process_messages import Message


class AttemptReports:
    """Reports this process's attempts to its peers, under keys that are unique among all processes of a dispatcher."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Use the process id as the prefix of all attempt keys."""
        self._dispatcher = dispatcher
        self._process_id = str(os.getpid())

    def attempt_key(self, request: int, number: int) -> str:
        """Return the key of attempt `number` of the request with the local number `request`."""
        return f"{self._process_id}.{request}.{number}"

    def report_sent(self, peers: list[PeerProcess], attempt: Attempt) -> None:
        """Report to `peers` that an attempt is being sent, with its cost."""
        if not peers:
            return
        slots, long, work = state.attempt_cost(self._dispatcher.decisions, attempt.request)
        key = self.attempt_key(attempt.request, attempt.number)
        self._send(peers, messages.AttemptSent(key, attempt.worker, slots, long, work))

    def report_started(self, peers: list[PeerProcess], request: int, number: int) -> None:
        """Report to `peers` that a worker has started to process an attempt."""
        self._send(peers, messages.AttemptStarted(self.attempt_key(request, number)))

    def report_ended(self, peers: list[PeerProcess], attempt: Attempt) -> None:
        """Report to `peers` that an attempt has ended or has moved to another process."""
        self._send(peers, messages.AttemptEnded(self.attempt_key(attempt.request, attempt.number)))

    @staticmethod
    def _send(peers: list[PeerProcess], message: Message) -> None:
        for peer in peers:
            peer.send(message)


def record_peer_attempt(sender: PeerProcess, message: messages.AttemptSent, now: int) -> None:
    """Count an attempt that `sender` has reported; `now` is in microseconds."""
    spent = now, message.work
    sender.attempts.record_send(message.attempt, message.worker, message.slots, message.long, spent)
