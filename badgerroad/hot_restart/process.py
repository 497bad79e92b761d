"""One dispatcher in two processes while it is upgraded: what `hot_restart.rules` decides, performed on this one.

`HotRestart` owns the name in `$TMPDIR` under which a newer process finds this one, and the channels to both. It gives
events to the state machines and has `hot_restart.actions` perform the actions; it passes messages to where they belong,
and reports to the peers what the dispatcher reports to its extensions.
"""

from __future__ import annotations

import socket
from typing import Any

from badgerroad.backend.attempts import Attempt
from badgerroad.dispatcher import Dispatcher
from badgerroad.extension import DispatcherExtension
from badgerroad.hot_restart import messages, rules, snapshot
from badgerroad.hot_restart.actions import ActionPerformer
from badgerroad.hot_restart.attempt_reports import AttemptReports, count_sent
from badgerroad.hot_restart.connection_transfer import ConnectionTransfer
from badgerroad.hot_restart.descriptor_accounting import DescriptorAccounting
from badgerroad.hot_restart.peers import PeerProcess, Peers, Report
from badgerroad.hot_restart.rules import Event, PredecessorState, SuccessorState
from badgerroad.hot_restart.unmatched_job_events import UnmatchedJobEvents
from badgerroad.net import logs
from badgerroad.net.connection import Address
from badgerroad.net.framing import BadPacketError
from badgerroad.net.timer_wheel import TimerWheel
from badgerroad.net.unix_channel import UnixSocketPath
from badgerroad.process_messages import JobEvent
from badgerroad.requests import OpenRequest

log = logs.get("badgerroad")

PREPARED_CHECK_INTERVAL_US = 20_000  # between two checks whether discovery has answered

_HEARTBEAT_STATES = (PredecessorState.YIELDED, PredecessorState.PASSED)  # in which the newer process must be heard of


class HotRestart(DispatcherExtension):
    """This process's part in an upgrade, as an extension of its dispatcher."""

    def __init__(self, dispatcher: Dispatcher, wheel: TimerWheel, folder: str) -> None:
        """`folder`: of the Unix sockets. Nothing happens until `begin`."""
        self.dispatcher = dispatcher
        self._wheel = wheel
        host, port = dispatcher.config.listen
        self.socket_path = UnixSocketPath(folder, f"badgerroad-{host}-{port}.sock")
        self.peers = Peers()
        self._closed = False
        self._attempt_reports = AttemptReports(dispatcher)
        self._unmatched = UnmatchedJobEvents()
        self._descriptors = DescriptorAccounting(dispatcher, wheel, self.peers)
        self._transfer = ConnectionTransfer(
            dispatcher, wheel, self.peers, self._descriptors, self._attempt_reports, self._unmatched
        )
        self._actions = ActionPerformer(
            dispatcher,
            wheel,
            self.peers,
            self._descriptors,
            self._transfer,
            self._attempt_reports,
            self.announce,
        )
        dispatcher.set_extension("hot_restart", self)

    @property
    def finishing(self) -> bool:
        """Whether another process has the clients, and this one ends with its last answer."""
        return self._actions.finishing

    # The state machines.

    async def begin(self) -> Address:
        """Find out whether there is another process; returns where this one listens. Raises OSError."""
        sock = self.socket_path.connect()
        if sock is not None:
            self.peers.older = PeerProcess(sock, self._on_older_message, self._on_older_lost, self.dispatcher.decisions)
        self._handle_as_successor(Event.NO_PEER_FOUND if sock is None else Event.PEER_FOUND)
        address = await self._actions.address
        if self.peers.successor.state is SuccessorState.PREPARING:
            self._check_prepared()
        return address

    def announce(self) -> None:
        """Let a newer process find this one from now on."""
        try:
            self.socket_path.listen(self._on_connection)
        except OSError as error:
            log.warning("hot_restart_announce_failed", error=str(error))

    def _handle_as_successor(self, event: Event) -> None:
        peer = self.peers.older
        if peer is not None and event is Event.CHANNEL_LOST:
            peer.channel.close()
        self._perform(self.peers.successor.handle(event), peer, self._handle_as_successor)

    def _handle_as_predecessor(self, event: Event) -> None:
        peer = self.peers.newer
        self._perform(self.peers.predecessor.handle(event), peer, self._handle_as_predecessor)

    def _perform(self, actions: tuple[rules.Action, ...], peer: PeerProcess | None, report: Report) -> None:
        for action in actions:
            if not self._closed:
                self._actions.perform(action, peer, report)

    def _check_prepared(self) -> None:
        """Until discovery has answered or failed."""
        if self.peers.successor.state is not SuccessorState.PREPARING:
            return
        if self.dispatcher.ready:
            self._handle_as_successor(Event.PREPARED)
        else:
            self._wheel.after(PREPARED_CHECK_INTERVAL_US, self._check_prepared)

    def _on_older_lost(self) -> None:
        self._handle_as_successor(Event.CHANNEL_LOST)

    def _on_newer_lost(self) -> None:
        self._handle_as_predecessor(Event.CHANNEL_LOST)

    def _on_connection(self, sock: socket.socket) -> None:
        peers = self.peers
        if peers.newer is not None:
            sock.close()  # one at a time; another one listens by itself
            return
        peers.predecessor = rules.Predecessor(terminating=self.dispatcher.frontend.draining)
        peers.newer = PeerProcess(sock, self._on_newer_message, self._on_newer_lost, self.dispatcher.decisions)
        peers.newer.expect_message(self._wheel, rules.HELLO_TIMEOUT_US, self._handle_as_predecessor)

    # Messages.

    def _on_older_message(self, kind: str, head: dict[str, Any], payload: bytes, descriptor: int | None) -> None:
        sock = None if descriptor is None else socket.socket(fileno=descriptor)
        message = messages.decode(kind, head)
        if isinstance(message, messages.Offer) and sock is not None and message.version == rules.VERSION:
            self._actions.receive_offer(message, sock)
            self._handle_as_successor(Event.OFFER)
        elif self.peers.older is not None:
            self._on_message(message, payload, sock, self.peers.older, self._handle_as_successor)

    def _on_newer_message(self, kind: str, head: dict[str, Any], payload: bytes, descriptor: int | None) -> None:
        sock = None if descriptor is None else socket.socket(fileno=descriptor)
        peers = self.peers
        if peers.newer is not None and peers.predecessor.state in _HEARTBEAT_STATES:
            peers.newer.expect_message(self._wheel, rules.MISSING_HEARTBEAT_US, self._handle_as_predecessor)
        message = messages.decode(kind, head)
        match message:
            case messages.Hello():
                if not snapshot.is_same_dispatcher(self.dispatcher, message):
                    raise BadPacketError("another dispatcher, or another version")
                self._handle_as_predecessor(Event.HELLO)
            case messages.Return():
                self._handle_as_predecessor(Event.RETURN)
            case messages.Superseded(superseded):
                self._handle_as_predecessor(Event.SUPERSEDED if superseded else Event.RESUMED)
            case _:
                if peers.newer is not None:
                    self._on_message(message, payload, sock, peers.newer, self._handle_as_predecessor)

    def _on_message(
        self,
        message: messages.AnyMessage,
        payload: bytes,
        sock: socket.socket | None,
        sender: PeerProcess,
        report: Report,
    ) -> None:
        """A message that means the same from either side. Raises BadPacketError if it has no place here."""
        match message:
            case messages.Claim():
                report(Event.CLAIM)
            case messages.Grant():
                snapshot.restore(self.dispatcher, message, sender)
                self.peers.open_requests |= sender.open_requests
                report(Event.GRANT)
            case messages.DescriptorsInUse(descriptors):
                if self.peers.recipient is None:
                    self._descriptors.leave_to_peer(descriptors)
            case messages.RequestEnded(request_id):
                self._on_request_ended(request_id, sender)
            case messages.ClientConnection() if sock is not None:
                self._transfer.adopt_client(sock, message, payload)
            case messages.WorkerConnection() if sock is not None:
                self._transfer.adopt_worker_connection(sock, message)
            case _:
                if sock is not None:
                    raise BadPacketError("a descriptor that is not expected")
                self._on_attempt_message(message, sender)

    def _on_request_ended(self, request_id: bytes, sender: PeerProcess) -> None:
        self.peers.open_requests.discard(request_id)
        recipient = self.peers.recipient
        if recipient is not None and recipient is not sender:
            recipient.send(messages.RequestEnded(request_id))

    def _on_attempt_message(self, message: messages.AnyMessage, sender: PeerProcess) -> None:
        """A message about attempts, which the third process of a chain needs too."""
        now = self.dispatcher.clock.now()
        match message:
            case JobEvent(request_id, worker, state, item):
                if self.dispatcher.backend.handle_job_event(request_id, worker, state, item):
                    return
                self._unmatched.retain(message, now)
            case messages.AttemptSent():
                count_sent(sender, message, now)
            case messages.AttemptStarted(attempt):
                sender.attempts.record_start(attempt)
            case messages.AttemptEnded(attempt):
                sender.attempts.record_end(attempt)
            case _:
                raise BadPacketError(f"a message that is not expected: {message.kind}")
        third_process = self.peers.third_process(sender)
        if third_process is not None:
            third_process.send(message)

    # The dispatcher's reports.

    def has_open_request(self, request_id: bytes) -> bool:
        """Whether a request of that id is open in another process."""
        return request_id in self.peers.open_requests

    def attempt_sent(self, request: OpenRequest, attempt: Attempt) -> None:
        """Report the attempt to the peers."""
        self._attempt_reports.sent(self.peers.sharing(), attempt)

    def attempt_started(self, request: int, number: int) -> None:
        """Report the start to the peers."""
        self._attempt_reports.started(self.peers.sharing(), request, number)

    def attempt_ended(self, request: OpenRequest, attempt: Attempt, result: str) -> None:
        """Report the end to the peers."""
        self._attempt_reports.ended(self.peers.sharing(), attempt)

    def request_forgotten(self, request_id: bytes) -> None:
        """Report to the process that accepts new requests that the id is free again."""
        if self.peers.recipient is not None:
            self.peers.recipient.send(messages.RequestEnded(request_id))

    def unknown_job_event(self, request_id: bytes, host: str, state: str, item: dict[str, Any]) -> None:
        """A job event for an attempt that is not known here: another process has it, or it is on its way here."""
        event = JobEvent(request_id, host, state, item)
        sharing = self.peers.sharing()
        if sharing:
            self._unmatched.retain(event, self.dispatcher.clock.now())
        for peer in sharing:
            peer.send(event)

    # The end.

    def terminate(self) -> None:
        """SIGTERM."""
        if self.peers.newer is not None or self.peers.older is None:
            self._handle_as_predecessor(Event.TERMINATE)
        else:
            self._handle_as_successor(Event.TERMINATE)

    def close(self) -> None:
        """Close the channels; the name goes too, unless a newer process has taken it."""
        self._closed = True
        self.socket_path.close()
        self.peers.close()
