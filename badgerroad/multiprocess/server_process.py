"""One server process: its links to the supervisor and to the others, and the call-backs passed between them."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from badgerroad.config import Config, ConfigError, parse, read, reread
from badgerroad.dispatcher import Dispatcher
from badgerroad.extension import DispatcherExtension
from badgerroad.multiprocess import messages
from badgerroad.net import framing, logs
from badgerroad.net.timer_wheel import TimerWheel
from badgerroad.net.unix_channel import Link
from badgerroad.operator_limits import limit

if TYPE_CHECKING:
    from badgerroad.operator.schema import Operator

log = logs.get("badgerroad")

TELL = 200_000  # microseconds between two times that the figures are told: they may be 0.5 s old
LEAST_SOCKETS = 64  # a server process with fewer could hold no client besides what it needs itself
# Descriptors of the supervisor: standard streams, the loop's own, the address, its callers'; and a link for
# each server process.
KEPT = 32


class Part(NamedTuple):
    """Which of how many."""

    number: int
    size: int

    def of(self, config: Config) -> Config:
        """Its own part of the fleet, of the descriptors, of what a cold worker bears. Raises ConfigError."""
        s = config.settings
        sockets = (config.max_sockets - KEPT - self.size) // self.size
        if sockets < LEAST_SOCKETS:
            raise ConfigError(
                f"limits.sockets: {config.max_sockets} are too few for {self.size} workers: {sockets} each"
            )
        return config._replace(
            admin=None,
            max_sockets=sockets,
            seed=config.seed + (self.number << 64),
            settings=s._replace(
                dispatcher_count=s.dispatcher_count * self.size,
                dispatcher_index=s.dispatcher_index * self.size + self.number,
            ),
        )


class Joined(NamedTuple):
    """What a process that the supervisor has started is given before anything else."""

    part: Part
    sock: socket.socket
    config: Config
    operator: Operator | None

    @classmethod
    def with_(cls, environment: Mapping[str, str]) -> Joined:
        """Waits for it. Raises ConfigError, also where there is no supervisor."""
        try:
            number, size, descriptor = map(int, environment[messages.VARIABLE].split("/"))
            sock = socket.socket(fileno=descriptor)
            reader, message = framing.Reader(), None
            while message is None:
                packet = sock.recv(framing.LONGEST + 64)
                if not packet:
                    raise ConfigError(f"{messages.VARIABLE}: the supervisor has gone")
                message = reader.read(packet)
        except (ValueError, OSError, framing.BadPacket) as e:
            raise ConfigError(f"{messages.VARIABLE}: no supervisor: {e}") from e
        part, head = Part(number, size), message[1]
        return cls(part, sock, config_of(head, part, environment, None), messages.heard(head["operator"]))


def config_of(head: dict[str, Any], part: Part, environment: Mapping[str, str], present: Config | None) -> Config:
    """The configuration that the supervisor has told, as this server process's part of it. Raises ConfigError."""
    environment = {**environment, "PROXY_LISTEN": head["listen"]}
    data = parse(head["text"].encode(), environment.get("PROXY_CONFIG", ""))
    if head["reread"]:
        environment.pop("PROXY_DISCOVERY", None)
    return part.of(read(data, environment) if present is None else reread(data, environment, present))


class ServerProcess(DispatcherExtension):
    def __init__(self, joined: Joined, dispatcher: Dispatcher, wheel: TimerWheel, stop: Callable[[], None]) -> None:
        """`stop`: what a SIGTERM does; also the end of the supervisor, which must leave no orphans."""
        self.part, self.dispatcher, self.wheel = joined.part, dispatcher, wheel
        self.peers: dict[int, Link] = {}
        self.closed = False
        self.go = asyncio.Event()  # it may listen
        self.supervisor = Link(joined.sock, self._told, stop)
        dispatcher.set_extension("multiprocess", self)
        self.supervisor.send(messages.HERE, {"pid": os.getpid()})
        self._tell()

    def listens(self) -> None:
        self.supervisor.send(messages.LISTENS, {})

    def _tell(self) -> None:
        if not self.closed:
            d = self.dispatcher
            self.supervisor.send(messages.FIGURES, {"figures": d.metrics(), "taking": d.accepts_clients})
            self.wheel.after(TELL, self._tell)

    def _told(self, kind: str, head: dict[str, Any], payload: bytes, descriptor: int | None) -> None:
        if kind == messages.PEER and descriptor is not None:
            number = int(head["number"])
            if number in self.peers:
                self.peers.pop(number).close()
            link = Link(socket.socket(fileno=descriptor), self._told_by_peer, lambda: self._cut_off(number, link))
            self.peers[number] = link
        elif kind == messages.GO and descriptor is None:
            self.go.set()
        elif kind == messages.CONFIG and descriptor is None:
            try:
                config = config_of(head, self.part, os.environ, self.dispatcher.config)
            except ConfigError as e:  # the supervisor has read it before; what is left is this server process's part
                log.error("reload failed; the old configuration stays in force", **e.fields)
                return
            operator = messages.heard(head["operator"])
            if operator is not None:
                logs.configure(operator.log, process=self.part.number)
            self.dispatcher.reload(config)
            limit(self.dispatcher, operator)
        else:
            if descriptor is not None:
                os.close(descriptor)
            raise framing.BadPacket(f"a word not known here: {kind}")

    def _cut_off(self, number: int, link: Link) -> None:
        if self.peers.get(number) is link:
            del self.peers[number]
            self.supervisor.send(messages.CUT_OFF, {"number": number})

    def _told_by_peer(self, kind: str, head: dict[str, Any], payload: bytes, descriptor: int | None) -> None:
        if descriptor is not None:
            os.close(descriptor)
        if kind != messages.CALL_BACK:
            raise framing.BadPacket(f"a word not known here: {kind}")
        # It has been to the process that it reached; if it is not known here either, another one holds the attempt, or
        # none.
        self.dispatcher.backend.handle_job_event(
            head["id"].encode("latin-1"), head["host"], head["state"], head["item"]
        )

    def unknown_job_event(self, request_id: bytes, host: str, state: str, item: dict[str, Any]) -> None:
        """A call-back for an attempt that is not known here."""
        parts = framing.pack(
            messages.CALL_BACK, {"id": request_id.decode("latin-1"), "host": host, "state": state, "item": item}
        )
        for link in list(self.peers.values()):
            link.send_packed(parts)

    def close(self) -> None:
        self.closed = True
        peers, self.peers = self.peers, {}
        for link in [self.supervisor, *peers.values()]:
            link.close()
