"""What the processes of an upgrade report of their attempts, so that each counts the others' at the workers."""

from __future__ import annotations

import os

from badgerroad.backend.attempts import Attempt
from badgerroad.dispatcher import Dispatcher
from badgerroad.hot_restart import messages
from badgerroad.hot_restart.peers import PeerProcess
from badgerroad.load_balancing import state
from badgerroad.process_messages import Message


class AttemptReports:
    """Reports this process's attempts, under keys that are unique among all processes of a dispatcher."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Keys begin with this process's id."""
        self._dispatcher = dispatcher
        self._process_id = str(os.getpid())

    def key(self, request: int, number: int) -> str:
        """The key of attempt `number` of a request."""
        return f"{self._process_id}.{request}.{number}"

    def sent(self, peers: list[PeerProcess], attempt: Attempt) -> None:
        """An attempt goes out."""
        if not peers:
            return
        slots, long, work = state.attempt_cost(self._dispatcher.decisions, attempt.request)
        key = self.key(attempt.request, attempt.number)
        self._send(peers, messages.AttemptSent(key, attempt.worker, slots, long, work))

    def started(self, peers: list[PeerProcess], request: int, number: int) -> None:
        """A worker has begun with an attempt."""
        self._send(peers, messages.AttemptStarted(self.key(request, number)))

    def ended(self, peers: list[PeerProcess], attempt: Attempt) -> None:
        """An attempt has ended or has moved."""
        self._send(peers, messages.AttemptEnded(self.key(attempt.request, attempt.number)))

    @staticmethod
    def _send(peers: list[PeerProcess], message: Message) -> None:
        for peer in peers:
            peer.send(message)


def count_sent(sender: PeerProcess, message: messages.AttemptSent, now: int) -> None:
    """Count an attempt of `sender`; `now` in microseconds."""
    spent = now, message.work
    sender.attempts.record_send(message.attempt, message.worker, message.slots, message.long, spent)
