"""Performs the actions of `hot_restart.rules` on this process's dispatcher and on the channels to its peers."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from badgerroad.discovery.reader import EndpointListError
from badgerroad.dispatcher import Dispatcher
from badgerroad.hot_restart import messages, rules, snapshot
from badgerroad.hot_restart.attempt_reports import AttemptReports
from badgerroad.hot_restart.connection_transfer import ConnectionTransfer
from badgerroad.hot_restart.peers import EventHandler, PeerProcess, Peers
from badgerroad.hot_restart.resource_accounting import ResourceAccounting
from badgerroad.hot_restart.rules import Action, PredecessorState
from badgerroad.load_balancing import state
from badgerroad.net import logs
from badgerroad.net.socket_stream import Address
from badgerroad.net.timer_wheel import TimerWheel

log = logs.get("badgerroad")


class NoListenerError(RuntimeError):
    """Raised when an action needs a listener that this process does not have."""


class IncompleteOfferError(ValueError):
    """Raised when an offer lacks the field with the name `field`."""

    def __init__(self, field: str) -> None:
        """`field`: an attribute of `messages.Offer`."""
        super().__init__(f"{field}: missing from the offer")
        self.field = field


def _required_field(offer: messages.Offer, field: str) -> Any:
    value = getattr(offer, field)
    if value is None:
        raise IncompleteOfferError(field)
    return value


class ActionPerformer:
    """Performs actions, one at a time.

    Owns the received offer, and the listener received with it until the frontend adopts that listener.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        wheel: TimerWheel,
        peers: Peers,
        resources: ResourceAccounting,
        transfer: ConnectionTransfer,
        attempt_reports: AttemptReports,
        announce: Callable[[], None],
    ) -> None:
        """`announce`: makes this process discoverable to newer processes, by the Unix socket."""
        self.finishing = False  # another process accepts the requests, and this one exits after its last response
        # The address on which this process listens; set once it listens.
        self.listen_address: asyncio.Future[Address] = asyncio.get_running_loop().create_future()
        self.received_listener: socket.socket | None = None
        self._received_offer: messages.Offer | None = None
        self._dispatcher = dispatcher
        self._wheel = wheel
        self._peers = peers
        self._resources = resources
        self._transfer = transfer
        self._attempt_reports = attempt_reports
        self._announce = announce
        self._actions_without_peer: dict[Action, Callable[[], None]] = {
            Action.LISTEN: self._listen,
            Action.ADOPT_LISTENER: self._adopt_listener,
            Action.ACCEPT: self._accept,
            Action.DRAIN: self._drain,
            Action.RETIRE: self._retire,
            Action.FINISH: self._finish,
            Action.RESUME_ACCEPTING: self._resume_accepting,
        }
        self._actions_on_peer: dict[Action, Callable[[PeerProcess], None]] = {
            Action.FORGET_PEER: peers.forget,
            Action.CLOSE_CHANNEL: self._close_channel,
            Action.SEND_HELLO: self._send_hello,
            Action.SEND_OFFER: self._send_offer,
            Action.SEND_CLAIM: self._send_claim,
            Action.SEND_GRANT: self._send_grant,
            Action.SEND_RETURN: self._send_return,
        }

    def receive_offer(self, offer: messages.Offer, listener: socket.socket) -> None:
        """Keep an offer and the listener received with it, for the action ADOPT_LISTENER."""
        self._received_offer = offer
        self.received_listener = listener

    def perform(self, action: Action, peer: PeerProcess | None, handle_event: EventHandler) -> None:
        """Perform `action` for the state machine that handles events with `handle_event`.

        `peer`: the other process that the state machine is about, if there is one.
        """
        # FINISH keeps the time-out of the peer's next message: the action sets no time-out itself, and the peer may
        # still become silent.
        if peer is not None and action is not Action.FINISH:
            peer.cancel_timeout()
        log.info("hot_restart", action=str(action))
        if action in self._actions_without_peer:
            self._actions_without_peer[action]()
        elif action is Action.STOP_ACCEPTING:
            self._stop_accepting(peer)
        elif peer is not None:
            self._actions_on_peer[action](peer)
            self._expect_reply(action, peer, handle_event)
        if action is Action.FORGET_PEER:
            self._resources.reclaim_all()

    def _expect_reply(self, action: Action, peer: PeerProcess, handle_event: EventHandler) -> None:
        timeout_us = rules.REPLY_TIMEOUT_US.get(action)
        if action is Action.SEND_GRANT and peer is self._peers.newer:
            timeout_us = timeout_us or rules.MISSING_HEARTBEAT_US
        if timeout_us is not None:
            peer.expect_message(self._wheel, timeout_us, handle_event)

    def _listen(self) -> None:
        dispatcher = self._dispatcher
        try:
            address = dispatcher.frontend.listen(dispatcher.config.listen, shared=True)
        except OSError as error:
            self.listen_address.set_exception(error)
            return
        self.listen_address.set_result(address)
        dispatcher.start_discovery(dispatcher.config.cached_endpoints)
        self._announce()

    def _adopt_listener(self) -> None:
        if self.received_listener is None or self._received_offer is None:
            raise NoListenerError("cannot adopt a listener: no offer has been received")
        dispatcher = self._dispatcher
        self.listen_address.set_result(dispatcher.frontend.adopt_listener(self.received_listener, accept=False))
        try:
            self._use_offer(self._received_offer)
        except (KeyError, TypeError, ValueError, EndpointListError) as error:
            log.warning("hot_restart_offer_invalid", error=f"{type(error).__name__}: {error}")
            dispatcher.start_discovery(dispatcher.config.cached_endpoints)

    def _use_offer(self, offer: messages.Offer) -> None:
        """Apply the offer's fields. Raises KeyError, TypeError, ValueError or EndpointListError if one is invalid."""
        self._resources.set_peer_usage(messages.ResourcesInUse(int(_required_field(offer, "descriptors_in_use"))))
        self._dispatcher.adopt_name_indices(_required_field(offer, "zones"), _required_field(offer, "machine_types"))
        self._dispatcher.start_discovery(_required_field(offer, "endpoint_list"))

    def _accept(self) -> None:
        self._dispatcher.frontend.start_accepting()
        self._announce()
        self._resources.report_periodically()

    def _stop_accepting(self, peer: PeerProcess | None) -> None:
        for extension in self._dispatcher.extensions:
            extension.superseded()
        self._dispatcher.frontend.yield_to(self._transfer.pass_client)
        if self._peers.older is not None and peer is self._peers.newer:
            self._peers.older.send(messages.Superseded(True))

    def _resume_accepting(self) -> None:
        self._transfer.stop()
        self._dispatcher.frontend.resume_accepting()
        self._announce()  # the path of the Unix socket belongs to the peer, or to a process that has ended
        if self._peers.older is not None:
            self._peers.older.send(messages.Superseded(False))

    def _drain(self) -> None:
        self._transfer.stop()
        if self._dispatcher.frontend.successor is not None:
            self._dispatcher.frontend.resume_accepting()
        self._dispatcher.drain()

    def _retire(self) -> None:
        self._transfer.stop()
        self._dispatcher.frontend.retire()

    def _finish(self) -> None:
        self.finishing = True
        self._dispatcher.frontend.mark_draining()

    def _close_channel(self, peer: PeerProcess) -> None:
        peer.channel.close()
        if self._peers.predecessor.state is PredecessorState.OVER and peer is self._peers.newer:
            self._resources.reclaim_all()
            self._peers.newer = None

    def _send_hello(self, peer: PeerProcess) -> None:
        peer.send(snapshot.hello(self._dispatcher))

    def _send_offer(self, peer: PeerProcess) -> None:
        listener = self._dispatcher.frontend.listener
        if listener is None:
            raise NoListenerError("cannot offer a listener: this process does not listen")
        self._resources.reserve_for_successor()
        peer.send(snapshot.offer(self._dispatcher), descriptor=listener.fileno())

    def _send_claim(self, peer: PeerProcess) -> None:
        peer.send(messages.Claim())

    def _send_return(self, peer: PeerProcess) -> None:
        peer.send(messages.Return())

    def _send_grant(self, peer: PeerProcess) -> None:
        peers, dispatcher = self._peers, self._dispatcher
        attempts = state.export_attempts(dispatcher.decisions, self._attempt_reports.attempt_key)
        if peers.older is not None and peer is not peers.older:
            attempts += peers.older.attempts.export()
        # Only a newer process is sent the learned state. An older process that resumes has kept its own learned
        # state, and this process's attempts were reported to it.
        with_state = peer is peers.newer
        peer.send(snapshot.grant(dispatcher, attempts, peers.open_requests, with_state))
        self._transfer.begin(peer)
        self._resources.report_periodically()
