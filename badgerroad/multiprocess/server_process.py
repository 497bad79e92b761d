"""Connects one server process to its supervisor and to the other server processes, and exchanges job events."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from typing import Any

from badgerroad.config import ConfigError
from badgerroad.dispatcher import Dispatcher
from badgerroad.extension import DispatcherExtension
from badgerroad.multiprocess import messages
from badgerroad.multiprocess.startup import StartParameters, config_from
from badgerroad.net import framing, logs
from badgerroad.net.timer_wheel import TimerWheel
from badgerroad.net.unix_channel import UnixChannel
from badgerroad.operator_limits import apply_limits
from badgerroad.process_messages import JobEvent, Message

log = logs.get("badgerroad")

REPORT_INTERVAL_US = 200_000  # time between two reports of metrics, so that the sums are at most 0.5 s old


class ServerProcess(DispatcherExtension):
    """Takes part in a group of server processes on behalf of this server process, as an extension of its dispatcher."""

    def __init__(
        self, parameters: StartParameters, dispatcher: Dispatcher, wheel: TimerWheel, stop: Callable[[], None]
    ) -> None:
        """`stop`: shuts this process down, as a SIGTERM does.

        It is also called when the channel to the supervisor closes, so that a supervisor that ends leaves no orphans.
        """
        self.index = parameters.process_index
        self.may_listen = asyncio.Event()
        self.peers: dict[int, UnixChannel] = {}  # channels by the number of the other server process
        self._dispatcher = dispatcher
        self._wheel = wheel
        self._closed = False
        self._supervisor = UnixChannel(parameters.sock, self._on_supervisor_message, stop)
        dispatcher.set_extension("multiprocess", self)
        self._send(messages.Started(os.getpid()))
        self._report_metrics()

    def report_listening(self) -> None:
        """Report to the supervisor that this process listens."""
        self._send(messages.Listening())

    def _send(self, message: Message) -> None:
        self._supervisor.send(message.kind, message.to_head())

    def _report_metrics(self) -> None:
        if not self._closed:
            self._send(messages.Metrics(self._dispatcher.metrics(), self._dispatcher.accepts_clients))
            self._wheel.after(REPORT_INTERVAL_US, self._report_metrics)

    def _on_supervisor_message(self, kind: str, head: dict[str, Any], payload: bytes, descriptor: int | None) -> None:
        message_type = messages.FROM_SUPERVISOR.get(kind)
        takes_descriptor = message_type is messages.PeerChannel
        if message_type is None or takes_descriptor != (descriptor is not None):
            if descriptor is not None:
                os.close(descriptor)
            raise framing.BadPacketError(f"unexpected message from the supervisor: {kind}")
        sock = None if descriptor is None else socket.socket(fileno=descriptor)
        match message_type.from_head(head):
            case messages.PeerChannel(number) if sock is not None:
                self._connect_peer(number, sock)
            case messages.PeersConnected():
                self.may_listen.set()
            case messages.Configuration() as configuration:
                self._reload(configuration)

    def _connect_peer(self, number: int, sock: socket.socket) -> None:
        """Use `sock` as the channel to another server process, in place of an earlier channel to it."""
        if number in self.peers:
            self.peers.pop(number).close()
        channel = UnixChannel(sock, self._on_peer_message, lambda: self._on_peer_lost(number, channel))
        self.peers[number] = channel

    def _reload(self, configuration: messages.Configuration) -> None:
        try:
            config = config_from(configuration, self.index, os.environ, self._dispatcher.config)
        except ConfigError as error:  # the supervisor has checked the file; only this process's share can be invalid
            log.error("reload_failed", **error.fields)
            return
        operator = configuration.operator
        if operator is not None:
            logs.configure(operator.log, process=self.index.number)
        self._dispatcher.reload(config)
        apply_limits(self._dispatcher, operator)

    def _on_peer_lost(self, number: int, channel: UnixChannel) -> None:
        if self.peers.get(number) is channel:
            del self.peers[number]
            self._send(messages.PeerLost(number))

    def _on_peer_message(self, kind: str, head: dict[str, Any], payload: bytes, descriptor: int | None) -> None:
        if descriptor is not None:
            os.close(descriptor)
        if kind != JobEvent.kind:
            raise framing.BadPacketError(f"unexpected message from another server process: {kind}")
        # The process that received the event from the worker passed it to all others. If the attempt is not known here
        # either, another process has it or none has it, so the event is not passed on.
        event = JobEvent.from_head(head)
        self._dispatcher.backend.handle_job_event(event.request_id, event.worker, event.state, event.item)

    def unknown_job_event(self, request_id: bytes, host: str, state: str, item: dict[str, Any]) -> None:
        """Pass a job event for an attempt that is not known in this process to all others."""
        event = JobEvent(request_id, host, state, item)
        packets = framing.pack(event.kind, event.to_head())
        for channel in list(self.peers.values()):
            channel.send_packed(packets)

    def close(self) -> None:
        """Close all channels."""
        self._closed = True
        peers = self.peers
        self.peers = {}
        for channel in [self._supervisor, *peers.values()]:
            channel.close()
