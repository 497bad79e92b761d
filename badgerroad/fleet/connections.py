"""The connections of one process of the fleet, by the name of the peer.

Dispatchers connect to controllers. Of two controllers the one whose name sorts first connects to the other, so that
each pair has one connection. A message that cannot be delivered is dropped and counted, because the rules tolerate
loss, repetition and reordering.
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
from badgerroad.net.socket_stream import Address

log = logs.get("badgerroad")

MAX_ACCEPTED_CONNECTIONS = 2048  # incoming connections open at the same time; further connections are closed
ROLE_DISPATCHER: Final = "dispatcher"  # values of Hello.role
ROLE_CONTROLLER: Final = "controller"


def new_incarnation() -> int:
    """Return a number that rises with each start of a process on a machine: microseconds of the wall clock."""
    return time.time_ns() // 1000


class Receiver(Protocol):
    """Receives the events of connections. Its methods must not block."""

    def received(self, sender: Peer, message: Message) -> None:
        """Handle a message from a peer."""

    def lost(self, name: str) -> None:
        """Handle that the connection to a peer ended or could not be made."""


class Listener(TCPServer):
    """The listening socket of a controller."""

    def __init__(self, accepted: Callable[[IOStream], None]) -> None:
        """`accepted` is called with the stream of each accepted connection."""
        super().__init__()
        self._accepted = accepted

    def handle_stream(self, stream: IOStream, address: Address) -> None:
        """Pass on the stream of an accepted connection (called by Tornado)."""
        self._accepted(stream)


class Connections:
    """All connections of one process of the fleet, by the name of the peer."""

    def __init__(self, hello: Hello, controllers: Mapping[str, Address], receiver: Receiver, random: Random) -> None:
        """`hello`: describes this process. `controllers`: addresses of all controllers, even of this process."""
        self.hello = hello
        self.controllers = controllers
        self._receiver = receiver
        self._random = random
        self._open: dict[str, PeerConnection] = {}
        self._accepted: set[PeerConnection] = set()
        self._dialers: dict[str, Dialer] = {}
        self._dialing: dict[PeerConnection, Dialer] = {}
        self._listener: Listener | None = None
        self._closed_traffic = Traffic()  # counters of closed connections
        self._dropped = 0
        self._closing = False

    # Peers

    def listen(self, address: Address) -> Address:
        """Accept connections at `address` (port 0: any free port) and return the bound address. Raises ListenError."""
        self._listener = Listener(self._accept)
        try:
            self._listener.listen(address[1], address[0])
        except OSError as error:
            raise ListenError("fleet.controllers", address, error) from error
        sock = next(iter(self._listener._sockets.values()))
        host, port = sock.getsockname()[:2]
        return host, port

    def stop_listening(self) -> None:
        """Accept no more connections. Existing ones stay open."""
        if self._listener is not None:
            self._listener.stop()

    def connect_controllers(self) -> None:
        """Connect to the controllers whose names sort after this controller's; the others connect to this one."""
        for name in self.controllers:
            if self.hello.name < name:
                self.connect(name)

    def connect(self, name: str) -> None:
        """Keep a connection to this controller from now on."""
        if name not in self._dialers and not self._closing:
            self._dialers[name] = Dialer(name, self.controllers[name], self._dialed, self._unreachable, self._random)

    def connected(self, name: str) -> bool:
        """Whether the peer `name` is connected."""
        return name in self._open

    @property
    def names(self) -> list[str]:
        """The names of all connected peers."""
        return list(self._open)

    # Sending

    def send(self, name: str, message: Message) -> None:
        """Send a message to a peer.

        Without a connection to the peer, the message is queued while this process connects to the peer, if this is the
        side that connects; otherwise it is dropped.
        """
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
            if self.hello.role == ROLE_DISPATCHER:  # a dispatcher can switch controllers; a controller waits
                asyncio.get_running_loop().call_soon(self._report_lost, name)

    def _may_connect(self, name: str) -> bool:
        return name in self.controllers and (self.hello.role == ROLE_DISPATCHER or self.hello.name < name)

    @property
    def flushed(self) -> bool:
        """Whether all messages have been written to the sockets."""
        return all(connection.flushed for connection in self._open.values())

    # Events of connections

    def _accept(self, stream: IOStream) -> None:
        if len(self._accepted) >= MAX_ACCEPTED_CONNECTIONS:
            self._closed_traffic.rejected += 1
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
                raise PeerRejectedError(f"a newer incarnation of {hello.name} is connected")
            self._replace(previous, hello)
        self._open[hello.name] = connection
        log.info("fleet_peer_connected", peer=hello.name, role=hello.role)
        if dialer is not None:
            dialer.opened()

    def _check(self, hello: Hello, dialer: Dialer | None) -> None:
        """Check a peer's Hello. Raises PeerRejectedError."""
        if dialer is not None and (hello.name, hello.role) != (dialer.name, ROLE_CONTROLLER):
            raise PeerRejectedError(f"{hello.role} {hello.name} answered at the address of controller {dialer.name}")
        if hello.name == self.hello.name:
            raise PeerRejectedError(f"peer has this process's own name, {hello.name}")
        if hello.role == ROLE_CONTROLLER and hello.name not in self.controllers:
            raise PeerRejectedError(f"controller {hello.name} is not a member of this fleet")
        if hello.role != ROLE_CONTROLLER and hello.name in self.controllers:
            raise PeerRejectedError(f"{hello.role} {hello.name} has the name of a controller")

    def _replace(self, previous: PeerConnection, hello: Hello) -> None:
        """Close the previous connection of a peer that connected again, whose end may not have been detected yet."""
        del self._open[hello.name]
        if previous.peer is not None and previous.peer.incarnation != hello.incarnation:
            self._report_lost(hello.name)
        previous.close()

    def _received(self, connection: PeerConnection, message: Message) -> None:
        if connection.peer is not None:  # always true, since messages are passed on only after a Hello
            self._receiver.received(Peer(connection.peer.name, connection.peer.incarnation), message)

    def _closed(self, connection: PeerConnection) -> None:
        self._accepted.discard(connection)
        self._dialing.pop(connection, None)
        self._closed_traffic.add(connection.traffic)
        if self._open.get(connection.name) is connection:
            del self._open[connection.name]
            log.info("fleet_peer_disconnected", peer=connection.name)
            self._report_lost(connection.name)

    def _unreachable(self, name: str) -> None:
        self._report_lost(name)

    def _report_lost(self, name: str) -> None:
        if not self._closing:
            self._receiver.lost(name)

    # Counters and shutdown

    def traffic(self) -> Traffic:
        """Return the counters of all connections, open and closed."""
        total = Traffic()
        total.add(self._closed_traffic)
        total.dropped += self._dropped + sum(dialer.dropped for dialer in self._dialers.values())
        for connection in {*self._accepted, *self._dialing}:
            total.add(connection.traffic)
        return total

    def close(self) -> None:
        """Close all connections. The receiver is not called afterwards."""
        self._closing = True
        self.stop_listening()
        for dialer in self._dialers.values():
            dialer.close()
        for connection in [*self._accepted, *self._dialing]:
            connection.close()
