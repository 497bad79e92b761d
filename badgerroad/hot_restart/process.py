"""The dispatcher extension for hot restarts: connects the state machines, the peers and the dispatcher.

`HotRestart` owns the Unix socket in `$TMPDIR` by which a newer process finds this one, and the channels to the older
and the newer process. It passes events to the state machines of `hot_restart.rules`, has `hot_restart.actions` perform
the actions that they return, handles the messages of the peers, and reports this process's attempts and requests to
them.
"""

from __future__ import annotations

import socket
from typing import Any

from badgerroad.backend.attempts import Attempt
from badgerroad.discovery.reader import EndpointListError
from badgerroad.dispatcher import Dispatcher
from badgerroad.extension import DispatcherExtension
from badgerroad.hot_restart import messages, rules, snapshot
from badgerroad.hot_restart.actions import ActionPerformer
from badgerroad.hot_restart.attempt_reports import AttemptReports, record_peer_attempt
from badgerroad.hot_restart.connection_transfer import ConnectionTransfer
from badgerroad.hot_restart.peers import EventHandler, PeerProcess, Peers
from badgerroad.hot_restart.resource_accounting import ResourceAccounting
from badgerroad.hot_restart.rules import Event, PredecessorState, SuccessorState
from badgerroad.hot_restart.unmatched_job_events import RECEIVED_FROM_PEER, UnmatchedJobEvents
from badgerroad.net import logs
from badgerroad.net.framing import BadPacketError
from badgerroad.net.socket_stream import Address
from badgerroad.net.timer_wheel import TimerWheel
from badgerroad.net.unix_channel import UnixSocketPath
from badgerroad.process_messages import JobEvent
from badgerroad.requests import OpenRequest

log = logs.get("badgerroad")

PREPARED_CHECK_INTERVAL_US = 20_000  # time between two checks of whether discovery has answered
# How long a process that ends waits for connections to be passed: for idle ones, and for those with a request. The
# platform kills it 3.7 s after SIGTERM at the earliest.
IDLE_PASSING_TIME_US = 800_000
PASSING_TIME_US = 3_000_000

# States in which the newer process has to send heartbeats.
_HEARTBEAT_STATES = (PredecessorState.YIELDED, PredecessorState.SUPERSEDED)


class HotRestart(DispatcherExtension):
    """Takes part in hot restarts on behalf of this process, as an extension of its dispatcher."""

    def __init__(self, dispatcher: Dispatcher, wheel: TimerWheel, folder: str) -> None:
        """`folder`: holds the Unix sockets. No peer is contacted until `begin` is called."""
        self.dispatcher = dispatcher
        self._wheel = wheel
        host, port = dispatcher.config.listen
        self.socket_path = UnixSocketPath(folder, f"badgerroad-{host}-{port}.sock")
        self.peers = Peers()
        self._closed = False
        self._attempt_reports = AttemptReports(dispatcher)
        self._unmatched = UnmatchedJobEvents()
        self._resources = ResourceAccounting(dispatcher, wheel, self.peers)
        self._transfer = ConnectionTransfer(
            dispatcher, wheel, self.peers, self._resources, self._attempt_reports, self._unmatched
        )
        self._actions = ActionPerformer(
            dispatcher,
            wheel,
            self.peers,
            self._resources,
            self._transfer,
            self._attempt_reports,
            self.announce,
        )
        dispatcher.set_extension("hot_restart", self)

    @property
    def finishing(self) -> bool:
        """Whether another process accepts the requests, and this one exits after its last response."""
        return self._actions.finishing

    def may_end(self, elapsed_us: int) -> bool:
        """Whether no client needs this process any more, `elapsed_us` after its shutdown began.

        Called while a newer process accepts the requests and takes over the connections.
        """
        frontend = self.dispatcher.frontend
        if not frontend.has_connections_to_pass or elapsed_us >= PASSING_TIME_US:
            return True
        return elapsed_us >= IDLE_PASSING_TIME_US and not frontend.has_requests_to_pass

    # Events and actions.

    async def begin(self) -> Address:
        """Look for an older process, and return the address on which this one listens. Raises OSError."""
        sock = self.socket_path.connect()
        if sock is not None:
            self.peers.older = PeerProcess(sock, self._on_older_message, self._on_older_lost, self.dispatcher.decisions)
        self._handle_as_successor(Event.NO_PEER_FOUND if sock is None else Event.PEER_FOUND)
        address = await self._actions.listen_address
        if self.peers.successor.state is SuccessorState.PREPARING:
            self._check_prepared()
        return address

    def announce(self) -> None:
        """Listen on the Unix socket by which a newer process finds this one."""
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

    def _perform(self, actions: tuple[rules.Action, ...], peer: PeerProcess | None, handle_event: EventHandler) -> None:
        for action in actions:
            if not self._closed:
                self._actions.perform(action, peer, handle_event)

    def _check_prepared(self) -> None:
        """Handle the event PREPARED once discovery has answered or failed; check again later until then."""
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
            sock.close()  # only one newer process at a time; a rejected process opens a listening socket itself
            return
        peers.predecessor = rules.Predecessor(terminating=self.dispatcher.frontend.draining)
        peers.newer = PeerProcess(sock, self._on_newer_message, self._on_newer_lost, self.dispatcher.decisions)
        peers.newer.expect_message(self._wheel, rules.HELLO_TIMEOUT_US, self._handle_as_predecessor)

    # Messages.

    def _on_older_message(self, kind: str, head: dict[str, Any], payload: bytes, descriptor: int | None) -> None:
        sock = None if descriptor is None else socket.socket(fileno=descriptor)
        message = messages.decode(kind, head)
        if isinstance(message, messages.Offer) and sock is not None and message.version == rules.PROTOCOL_VERSION:
            if self.peers.older is not None:
                self.peers.older.reads_lists = message.reads_lists
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
                    raise BadPacketError("hello of another dispatcher, or with another version of the messages")
                if peers.newer is not None:
                    peers.newer.reads_lists = message.reads_lists
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
        handle_event: EventHandler,
    ) -> None:
        """Handle a message that either peer may send. Raises BadPacketError if the message is not expected."""
        match message:
            case messages.Claim():
                handle_event(Event.CLAIM)
            case messages.Grant():
                snapshot.restore(self.dispatcher, message, sender)
                self.peers.open_requests |= sender.open_requests
                handle_event(Event.GRANT)
            case messages.ResourcesInUse():
                self._resources.set_peer_usage(message)
            case messages.RequestEnded(request_id):
                self._on_request_ended(request_id, sender)
            case messages.ReceivedList(discovery, endpoint_list):
                self._adopt_list(discovery, endpoint_list)
            case messages.ClientConnection() if sock is not None:
                self._transfer.adopt_client(sock, message, payload, sender)
            case messages.WorkerConnection() if sock is not None:
                self._transfer.adopt_worker_connection(sock, message)
            case _:
                if sock is not None:
                    raise BadPacketError(f"unexpected descriptor with a message: {message.kind}")
                self._on_attempt_message(message, sender)

    def _adopt_list(self, discovery: Address, endpoint_list: Any) -> None:
        try:
            self.dispatcher.endpoint_watch.adopt_list(discovery, endpoint_list)
        except EndpointListError as error:
            log.warning("hot_restart_list_invalid", error=str(error))

    def _on_request_ended(self, request_id: bytes, sender: PeerProcess) -> None:
        self.peers.open_requests.discard(request_id)
        recipient = self.peers.recipient
        if recipient is not None and recipient is not sender:
            recipient.send(messages.RequestEnded(request_id))

    def _on_attempt_message(self, message: messages.AnyMessage, sender: PeerProcess) -> None:
        """Handle a message about an attempt, and relay it to the third process if three processes form a chain."""
        now = self.dispatcher.clock.now()
        match message:
            case JobEvent():
                self._on_job_event(message, sender)
                return
            case messages.AttemptSent():
                record_peer_attempt(sender, message, now)
            case messages.AttemptStarted(attempt):
                sender.attempts.record_start(attempt)
            case messages.AttemptEnded(attempt):
                sender.attempts.record_end(attempt)
            case _:
                raise BadPacketError(f"unexpected message: {message.kind}")
        third_process = self.peers.third_process(sender)
        if third_process is not None:
            third_process.send(message)

    def _on_job_event(self, event: JobEvent, sender: PeerProcess) -> None:
        sender.job_events_received += 1
        if self.dispatcher.backend.handle_job_event(event.request_id, event.worker, event.state, event.item):
            return
        numbers = {sender: RECEIVED_FROM_PEER}
        third_process = self.peers.third_process(sender)
        if third_process is not None:
            numbers[third_process] = third_process.send_job_event(event)
        self._unmatched.retain(event, self.dispatcher.clock.now(), numbers)

    # Calls from the dispatcher.

    def endpoints_changed(self) -> None:
        """Pass the endpoint list to the peers, as discovery may have sent it to this process only."""
        for peer in (self.peers.older, self.peers.newer):
            if peer is not None and peer.reads_lists:
                peer.send(snapshot.received_list(self.dispatcher))

    def has_open_request(self, request_id: bytes) -> bool:
        """Whether a request with this id is open in another process."""
        return request_id in self.peers.open_requests

    def attempt_sent(self, request: OpenRequest, attempt: Attempt) -> None:
        """Report the attempt to the peers."""
        self._attempt_reports.report_sent(self.peers.active(), attempt)

    def attempt_started(self, request: int, number: int) -> None:
        """Report the start of the attempt to the peers."""
        self._attempt_reports.report_started(self.peers.active(), request, number)

    def attempt_ended(self, request: OpenRequest, attempt: Attempt, result: str) -> None:
        """Report the end of the attempt to the peers."""
        self._attempt_reports.report_ended(self.peers.active(), attempt)

    def request_forgotten(self, request_id: bytes) -> None:
        """Report to the process that accepts new requests that the id may be used again."""
        if self.peers.recipient is not None:
            self.peers.recipient.send(messages.RequestEnded(request_id))

    def unknown_job_event(self, request_id: bytes, host: str, state: str, item: dict[str, Any]) -> None:
        """Handle a job event for an attempt unknown to this process: retain the event, and send it to all active peers.

        Either another process has the attempt, or the attempt's request is being transferred to this process. Without
        an active peer, the event is dropped.
        """
        event = JobEvent(request_id, host, state, item)
        numbers = {peer: peer.send_job_event(event) for peer in self.peers.active()}
        if numbers:
            self._unmatched.retain(event, self.dispatcher.clock.now(), numbers)

    # Termination.

    def terminate(self) -> None:
        """Start to terminate, as after SIGTERM."""
        if self.peers.newer is not None or self.peers.older is None:
            self._handle_as_predecessor(Event.TERMINATE)
        else:
            self._handle_as_successor(Event.TERMINATE)

    def close(self) -> None:
        """Close the channels, and remove the Unix socket unless a newer process has taken over its path."""
        self._closed = True
        self.socket_path.close()
        self.peers.close()
