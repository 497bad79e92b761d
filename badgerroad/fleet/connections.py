"""The fleet's connections: who is connected by name, what goes out, what is told to the rules' caller.

A dispatcher connects to controllers. Of two controllers the one whose name sorts first connects, so that a pair has one
connection. What cannot be delivered is dropped and counted: the rules live with loss, repetition and reordering.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from random import Random
from typing import Final, Protocol

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from badgerroad.errors import ListenError
from badgerroad.fleet.dialer import Dialer
from badgerroad.fleet.errors import PeerRejectedError
from badgerroad.fleet.framing import frame
from badgerroad.fleet.messages import Hello, Message, encode
from badgerroad.fleet.peer_connection import PeerConnection, Traffic
from badgerroad.fleet.rules.actions import Peer
from badgerroad.net import logs
from badgerroad.net.background_tasks import spawn
from badgerroad.net.connection import Address

log = logs.get("badgerroad")

MAX_ACCEPTED_CONNECTIONS = 2048  # connections that others have made to this process
ROLE_DISPATCHER: Final = "dispatcher"  # of Hello.role
ROLE_CONTROLLER: Final = "controller"


def new_incarnation() -> int:
    """Tells one run of a process from another of the same name; of two runs on one machine the later has the larger."""
    return time.time_ns() // 1000


class Receiver(Protocol):
    """Who is told. Neither may wait."""

    def received(self, sender: Peer, message: Message) -> None: ...

    def lost(self, name: str) -> None:
        """A peer's connection has ended, or could not be made."""


class Listener(TCPServer):
    """The address at which a controller is reached."""

    def __init__(self, accepted: Callable[[IOStream], None]) -> None:
        super().__init__()
        self._accepted = accepted

    def handle_stream(self, stream: IOStream, address: Address) -> None:
        self._accepted(stream)


class Connections:
    """All connections of one process of the fleet, by the name of the peer."""

    def __init__(self, hello: Hello, controllers: Mapping[str, Address], receiver: Receiver, random: Random) -> None:
        """`hello`: who this process is. `controllers`: the addresses of all of them, its own too if it is one."""
        self.hello, self.controllers = hello, controllers
        self._receiver, self._random = receiver, random
        self._open: dict[str, PeerConnection] = {}
        self._accepted: set[PeerConnection] = set()
        self._dialers: dict[str, Dialer] = {}
        self._dialing: dict[PeerConnection, Dialer] = {}
        self._listener: Listener | None = None
        self._ended = Traffic()  # of the connections that are no more
        self._dropped = 0
        self._closing = False

    # Who is connected.

    def listen(self, address: Address) -> Address:
        """Be reachable, port 0: at any. Raises ListenError."""
        self._listener = Listener(self._accept)
        try:
            self._listener.listen(address[1], address[0])
        except OSError as e:
            raise ListenError("fleet.controllers", address, e) from e
        sock = next(iter(self._listener._sockets.values()))
        host, port = sock.getsockname()[:2]
        return host, port

    def stop_listening(self) -> None:
        """Those that are connected stay."""
        if self._listener is not None:
            self._listener.stop()

    def connect_controllers(self) -> None:
        """To those controllers that do not connect to this one by themselves."""
        for name in self.controllers:
            if self.hello.name < name:
                self.connect(name)

    def connect(self, name: str) -> None:
        """Hold a connection to this controller from now on."""
        if name not in self._dialers and not self._closing:
            self._dialers[name] = Dialer(name, self.controllers[name], self._dialed, self._unreachable, self._random)

    def connected(self, name: str) -> bool:
        return name in self._open

    @property
    def names(self) -> list[str]:
        """Of all peers connected now."""
        return list(self._open)

    # What goes out.

    def send(self, name: str, message: Message) -> None:
        """To a peer. Where it is a controller without a connection, one is made first; else it is dropped."""
        framed = frame(encode(message))
        connection = self._open.get(name)
        if connection is not None:
            connection.send(framed)
            return
        if self._may_connect(name):
            self.connect(name)
        dialer = self._dialers.get(name)
        if dialer is None or not dialer.send(framed):
            self._dropped += 1
            if self.hello.role == ROLE_DISPATCHER:  # it has others to ask; controllers wait for the connection
                asyncio.get_running_loop().call_soon(self._tell_lost, name)

    def _may_connect(self, name: str) -> bool:
        return name in self.controllers and (self.hello.role == ROLE_DISPATCHER or self.hello.name < name)

    @property
    def flushed(self) -> bool:
        return all(connection.flushed for connection in self._open.values())

    # What happens to connections.

    def _accept(self, stream: IOStream) -> None:
        if len(self._accepted) >= MAX_ACCEPTED_CONNECTIONS:
            self._ended.rejected += 1
            stream.close()
            return
        connection = self._connection(stream)
        self._accepted.add(connection)
        spawn(connection.run())

    def _dialed(self, stream: IOStream, dialer: Dialer) -> PeerConnection:
        connection = self._connection(stream)
        self._dialing[connection] = dialer
        return connection

    def _connection(self, stream: IOStream) -> PeerConnection:
        return PeerConnection(stream, self.hello, self._opened, self._received, self._closed)

    def _opened(self, connection: PeerConnection, hello: Hello) -> None:
        dialer = self._dialing.get(connection)
        self._check(hello, dialer)
        previous = self._open.get(hello.name)
        if previous is not None and previous.peer is not None:
            if previous.peer.incarnation > hello.incarnation:
                raise PeerRejectedError(f"a newer {hello.name} is connected")
            self._replace(previous, hello)
        self._open[hello.name] = connection
        log.info("fleet: connected", peer=hello.name, role=hello.role)
        if dialer is not None:
            dialer.opened()

    def _check(self, hello: Hello, dialer: Dialer | None) -> None:
        """Raises PeerRejectedError."""
        if dialer is not None and (hello.name, hello.role) != (dialer.name, ROLE_CONTROLLER):
            raise PeerRejectedError(f"{hello.role} {hello.name} answers where {dialer.name} should be")
        if hello.name == self.hello.name:
            raise PeerRejectedError(f"it has this process's own name, {hello.name}")
        if hello.role == ROLE_CONTROLLER and hello.name not in self.controllers:
            raise PeerRejectedError(f"{hello.name} is none of this fleet's controllers")
        if hello.role != ROLE_CONTROLLER and hello.name in self.controllers:
            raise PeerRejectedError(f"{hello.role} {hello.name} has a controller's name")

    def _replace(self, previous: PeerConnection, hello: Hello) -> None:
        """The same peer has connected anew; its earlier connection may not have noticed its end yet."""
        del self._open[hello.name]
        assert previous.peer is not None
        if previous.peer.incarnation != hello.incarnation:
            self._tell_lost(hello.name)
        previous.close()

    def _received(self, connection: PeerConnection, message: Message) -> None:
        assert connection.peer is not None
        self._receiver.received(Peer(connection.peer.name, connection.peer.incarnation), message)

    def _closed(self, connection: PeerConnection) -> None:
        self._accepted.discard(connection)
        self._dialing.pop(connection, None)
        self._ended.add(connection.traffic)
        if self._open.get(connection.name) is connection:
            del self._open[connection.name]
            log.info("fleet: connection ended", peer=connection.name)
            self._tell_lost(connection.name)

    def _unreachable(self, name: str) -> None:
        self._tell_lost(name)

    def _tell_lost(self, name: str) -> None:
        if not self._closing:
            self._receiver.lost(name)

    # Figures, and the end.

    def traffic(self) -> Traffic:
        """Of all connections, past and present."""
        total = Traffic()
        total.add(self._ended)
        total.dropped += self._dropped + sum(dialer.dropped for dialer in self._dialers.values())
        for connection in {*self._accepted, *self._dialing}:
            total.add(connection.traffic)
        return total

    def close(self) -> None:
        """End all of it; nobody is told any more."""
        self._closing = True
        self.stop_listening()
        for dialer in self._dialers.values():
            dialer.close()
        for connection in [*self._accepted, *self._dialing]:
            connection.close()
