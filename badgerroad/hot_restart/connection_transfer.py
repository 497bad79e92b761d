"""Passes connections and open requests to the process that accepts new requests, and adopts those passed by a peer."""

from __future__ import annotations

import socket
from typing import Any

from badgerroad.dispatcher import Dispatcher
from badgerroad.frontend.exchange import Exchange
from badgerroad.hot_restart import messages, request_transfer
from badgerroad.hot_restart.attempt_reports import AttemptReports
from badgerroad.hot_restart.peers import PeerProcess, Peers
from badgerroad.hot_restart.resource_accounting import ResourceAccounting
from badgerroad.hot_restart.unmatched_job_events import UnmatchedJobEvents
from badgerroad.net.socket_stream import Address
from badgerroad.net.timer_wheel import TimerWheel
from badgerroad.requests import OpenRequest

# Time between two tries to pass the clients' connections. A connection cannot be passed while the channel to the other
# process is busy, or while the connection is being read or written.
RETRY_INTERVAL_US = 20_000


class ConnectionTransfer:
    """Passes connections to `Peers.recipient` and adopts the connections that peers pass."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        wheel: TimerWheel,
        peers: Peers,
        resources: ResourceAccounting,
        attempt_reports: AttemptReports,
        unmatched: UnmatchedJobEvents,
    ) -> None:
        """Pass no connections until `begin` is called."""
        self._dispatcher = dispatcher
        self._wheel = wheel
        self._peers = peers
        self._resources = resources
        self._attempt_reports = attempt_reports
        self._unmatched = unmatched

    def begin(self, recipient: PeerProcess) -> None:
        """Start to pass connections and open requests to `recipient`."""
        self._peers.recipient = recipient
        self._resources.leave_unused_to_peer()
        backend = self._dispatcher.backend
        backend.successor = self._pass_worker_connection
        backend.pass_connections_on()
        self._pass_clients()

    def stop(self) -> None:
        """Stop passing connections and open requests."""
        self._peers.recipient = None
        self._dispatcher.backend.successor = None
        self._resources.reclaim_all()

    def _pass_clients(self) -> None:
        if self._dispatcher.frontend.successor is not None:
            self._dispatcher.frontend.pass_connections_on()
            self._wheel.after(RETRY_INTERVAL_US, self._pass_clients)

    def pass_client(self, descriptor: int, connection: dict[str, Any], data: bytes, exchange: Exchange | None) -> bool:
        """Pass a client's connection, with its open request if it has one; returns False if it cannot be passed yet.

        `connection`: the frontend's description of the connection; `data`: the bytes read but not yet parsed.
        """
        recipient = self._peers.recipient
        if recipient is None or recipient.channel.busy:
            return False
        if exchange is None:
            return recipient.try_send(messages.ClientConnection(connection, None, 0), data, descriptor)
        request = self._dispatcher.open_requests.get(exchange.number)
        if request is None or not request_transfer.can_move(request):
            return False
        copy, body = request_transfer.copy(self._dispatcher, request)
        message = messages.ClientConnection(connection, copy, len(body), recipient.job_events_received)
        if not recipient.try_send(message, body + data, descriptor):
            return False
        self._forget_passed(request)
        return True

    def _forget_passed(self, request: OpenRequest) -> None:
        for attempt in request.attempts:
            if not attempt.ended:
                self._attempt_reports.report_ended(self._peers.active(), attempt)
        request_transfer.forget(self._dispatcher, request)

    def _pass_worker_connection(self, descriptor: int, worker: str, address: Address, idle_us: int) -> bool:
        recipient = self._peers.recipient
        message = messages.WorkerConnection(worker, address, idle_us)
        return recipient is not None and recipient.try_send(message, b"", descriptor)

    def adopt_client(
        self, sock: socket.socket, message: messages.ClientConnection, payload: bytes, sender: PeerProcess
    ) -> None:
        """Take over a client's connection, with its open request if it has one."""
        dispatcher, request = self._dispatcher, message.request
        body, data = payload[: message.body_length], payload[message.body_length :]
        self._resources.reclaim_one()
        if request is None:
            dispatcher.frontend.adopt_connection(sock, message.connection, data, None)
            return
        request_id = request["id"].encode("latin-1")
        self._peers.open_requests.discard(request_id)
        dispatcher.frontend.adopt_connection(
            sock,
            message.connection,
            data,
            lambda connection: request_transfer.restore(dispatcher, request, body, connection),
        )
        for event in self._unmatched.for_request(request_id, sender, message.job_events_handled):
            dispatcher.backend.handle_job_event(event.request_id, event.worker, event.state, event.item)

    def adopt_worker_connection(self, sock: socket.socket, message: messages.WorkerConnection) -> None:
        """Take over an idle connection to a worker."""
        self._dispatcher.backend.adopt_connection(sock, message.worker, message.address, message.idle_us)
