"""One dispatcher in two processes: what `handover.rules` says, performed on this dispatcher and the link to the other.

A process may know an older one, whose jobs run out, and a newer one, to which it has given way. It owns both links, the
name in `$TMPDIR` under which a newer one finds it, and the tallies of the attempts that each of them has out.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from badgerroad.backend.attempts import Attempt
from badgerroad.discovery.reader import EndpointListError
from badgerroad.dispatcher import Dispatcher
from badgerroad.extension import DispatcherExtension
from badgerroad.frontend.client import Exchange
from badgerroad.hot_restart import messages, rules, snapshot, transfer
from badgerroad.hot_restart.attempts import AttemptMessages
from badgerroad.hot_restart.peer import Peer
from badgerroad.hot_restart.strays import StrayCalls
from badgerroad.load_balancing import state
from badgerroad.net import framing, logs
from badgerroad.net.connection import Address
from badgerroad.net.timer_wheel import TimerWheel
from badgerroad.net.unix_channel import Link, Place
from badgerroad.requests import OpenRequest

log = logs.get("badgerroad")

LOOK = 20_000  # how often it is looked whether discovery has answered
TELL = 200_000  # how often the other side hears how many descriptors are held here, and that this one lives
# Descriptors that a process holds besides connections, as counted on one: standard streams, the loop's own three, the
# listener, the second address with its callers, the Unix socket and the link, discovery's connection.
BASE = 24
SPARE = 4  # what the older process may still open, for repeats and cancels


class Handover(DispatcherExtension):
    def __init__(self, dispatcher: Dispatcher, wheel: TimerWheel, folder: str) -> None:
        self.dispatcher, self.wheel = dispatcher, wheel
        host, port = dispatcher.config.listen
        self.place = Place(folder, f"badgerroad-{host}-{port}.sock")
        self.successor, self.predecessor = rules.Successor(), rules.Predecessor()
        self.older: Peer | None = None
        self.newer: Peer | None = None
        self.begun: asyncio.Future[Address] = asyncio.get_running_loop().create_future()
        self._offer: dict[str, Any] = {}
        self._listener: socket.socket | None = None
        self._attempts = AttemptMessages(dispatcher)
        self.heir: Peer | None = None  # that takes the new jobs
        self._strays = StrayCalls()
        self.ending = self.closed = False
        self.elsewhere: set[bytes] = set()  # the ids of requests that are open in another process
        dispatcher.set_extension("handover", self)

    # The younger side.

    async def begin(self) -> Address:
        """Find out whether there is another process; returns where this one listens. Raises OSError."""
        sock = self.place.find()
        if sock is not None:
            self.older = Peer(
                Link(sock, self._told_by_older, lambda: self._as_successor(rules.LOST)),
                state.Others(self.dispatcher.decisions),
            )
        self._as_successor(rules.NOT_FOUND if sock is None else rules.FOUND)
        return await self.begun

    def _as_successor(self, event: str) -> None:
        if self.older is not None and event == rules.LOST:
            self.older.link.close()
        other = self.older
        for action in self.successor.on(event):
            self._perform(action, other, self._as_successor)

    def _as_predecessor(self, event: str) -> None:
        other = self.newer
        for action in self.predecessor.on(event):
            self._perform(action, other, self._as_predecessor)

    def _perform(self, action: str, other: Peer | None, back: Callable[[str], None]) -> None:
        d = self.dispatcher
        if self.closed:
            return
        if other is not None and action != rules.FINISH:  # that waits for nothing; the other may still fall silent
            other.waits_no_longer()
        log.info("handover", do=action)
        if action == rules.LISTEN:
            try:
                address = d.frontend.listen(d.config.listen, shared=True)
            except OSError as e:
                self.begun.set_exception(e)
                return
            self.begun.set_result(address)
            d.start_discovery(d.config.cached_endpoints)
            self._be_found()
        elif action == rules.ADOPT:
            assert self._listener is not None
            self.begun.set_result(d.frontend.adopt_listener(self._listener, accept=False))
            try:
                d.descriptors.set_used_elsewhere(int(self._offer["held"]) + BASE)
                d.adopt_name_indices(self._offer["zones"], self._offer["kinds"])
                d.start_discovery(self._offer["known"])
            except (KeyError, TypeError, ValueError, EndpointListError) as e:
                log.warning("handover: the offer cannot be read", why=f"{type(e).__name__}: {e}")
                d.start_discovery(d.config.cached_endpoints)
            self._look()
        elif action == rules.ACCEPT:
            d.frontend.start_accepting()
            self._be_found()
            self._tell_held()
        elif action == rules.STOP:
            for extension in d.extensions:
                extension.superseded()
            d.frontend.yield_to(self._give_client)
            if self.older is not None and other is self.newer:
                self.older.link.send(messages.PASSED_ON, {"on": True})
        elif action == rules.RESUME:
            self._keep_all()
            d.frontend.resume_accepting()
            self._be_found()  # the name is the other one's, or a dead one's
            if self.older is not None:
                self.older.link.send(messages.PASSED_ON, {"on": False})
        elif action == rules.FORGET:
            if other is not None:
                other.attempts.clear()
                self.elsewhere -= other.open
            if back == self._as_successor:
                self.older = None
            else:
                self.newer = None
            d.descriptors.set_used_elsewhere(0)
        elif action == rules.CLOSE:
            if other is not None:
                other.link.close()
                if self.predecessor.state == "over" and other is self.newer:
                    d.descriptors.set_used_elsewhere(0)
                    self.newer = None
        elif action == rules.DRAIN:
            self._keep_all()
            if d.frontend.successor is not None:
                d.frontend.resume_accepting()
            d.drain()
        elif action == rules.RETIRE:
            self._keep_all()
            d.frontend.retire()
        elif action == rules.FINISH:
            self.ending = True
            d.frontend.mark_draining()
        elif other is not None:
            self._say(action, other, back)

    def _say(self, action: str, other: Peer, back: Callable[[str], None]) -> None:
        d, link = self.dispatcher, other.link
        if action == rules.SAY_HELLO:
            link.send(messages.HELLO, snapshot.hello(d))
        elif action == rules.SAY_OFFER:
            listener = d.frontend.listener
            assert listener is not None
            d.descriptors.set_used_elsewhere(BASE)
            if d.descriptors.scarce:
                d.frontend.shed_idle_connections()
                d.backend.shed_idle_connections()
            link.send(messages.OFFER, snapshot.offer(d), descriptor=listener.fileno())
        elif action == rules.SAY_TAKE:
            link.send(messages.TAKE, {})
        elif action == rules.SAY_RETURN:
            link.send(messages.RETURN, {})
        elif action == rules.SAY_YOURS:
            self._say_yours(other)
            if other is self.newer:
                other.wait(self.wheel, rules.SILENCE, back)
        if action in rules.WAIT:
            other.wait(self.wheel, rules.WAIT[action], back)

    def _look(self) -> None:
        """Until discovery has answered or failed."""
        if self.successor.state != "preparing":
            return
        if self.dispatcher.ready:
            self._as_successor(rules.PREPARED)
        else:
            self.wheel.after(LOOK, self._look)

    def _be_found(self) -> None:
        try:
            self.place.bind(self._arrived)
        except OSError as e:
            log.warning("handover: a newer process will not find this one", why=str(e))

    # The older side.

    def _arrived(self, sock: socket.socket) -> None:
        if self.newer is not None:
            sock.close()  # one at a time; the third one listens by itself
            return
        self.predecessor = rules.Predecessor(self.dispatcher.frontend.draining)
        self.newer = Peer(
            Link(sock, self._told_by_newer, lambda: self._as_predecessor(rules.LOST)),
            state.Others(self.dispatcher.decisions),
        )
        self.newer.wait(self.wheel, rules.ASK_TIME, self._as_predecessor)

    def _say_yours(self, other: Peer) -> None:
        d = self.dispatcher
        attempts = state.attempts_out(d.decisions, self._attempts.key)
        if self.older is not None and other is not self.older:
            attempts += self.older.attempts.listed()
        self.heir = other
        # An older process that takes over again keeps what it knows: of this one's sends it was told.
        other.link.send(messages.YOURS, snapshot.yours(d, attempts, self.elsewhere, learned=other is self.newer))
        d.descriptors.set_used_elsewhere(d.descriptors.total - d.descriptors.used - SPARE)
        d.backend.successor = self._give_host
        d.backend.pass_connections_on()
        self._pass_on()
        self._tell_held()

    def _pass_on(self) -> None:
        """What could not be passed on at once: the link was busy, or the connection had just been read from."""
        if self.dispatcher.frontend.successor is not None:
            self.dispatcher.frontend.pass_connections_on()
            self.wheel.after(LOOK, self._pass_on)

    def _give_client(self, descriptor: int, about: dict[str, Any], data: bytes, exchange: Exchange | None) -> bool:
        d = self.dispatcher
        request = d.open_requests.get(exchange.number) if exchange is not None else None
        if self.heir is None or self.heir.link.busy:
            return False
        if exchange is not None and (request is None or not transfer.movable(request)):
            return False
        job, body = transfer.copied(d, request) if request is not None else (None, b"")
        if not self.heir.link.give(messages.CLIENT, {**about, "job": job, "body": len(body)}, body + data, descriptor):
            return False
        if request is not None:
            for attempt in request.attempts:
                if not attempt.ended:
                    self._attempts.over(self._others(), attempt)
            transfer.gone(d, request)
        return True

    def _give_host(self, descriptor: int, name: str, address: Address, idle: int) -> bool:
        return self.heir is not None and self.heir.link.give(
            messages.HOST, {"host": name, "address": list(address), "idle": idle}, b"", descriptor
        )

    @property
    def between(self) -> bool:
        """Do an older process's call-backs reach it through this one, which has given way itself?"""
        return self.older is not None and self.newer is not None and self.heir is self.newer

    def _keep_all(self) -> None:
        self.dispatcher.backend.successor = self.heir = None
        self.dispatcher.descriptors.set_used_elsewhere(0)

    def _tell_held(self) -> None:
        """How many descriptors are held here, as both processes together have one limit; and a sign of life."""
        used = self.dispatcher.descriptors.used
        for other in self._others():
            other.link.send(messages.HELD, {"held": used + (SPARE if other is self.heir else 0)})
        if self._others():
            self.wheel.after(TELL, self._tell_held)

    # What both sides tell each other.

    def _others(self) -> list[Peer]:
        """Those with which this process is one dispatcher now."""
        older = self.older if self.successor.state in ("serving", "returning", "given back") else None
        newer = self.newer if self.predecessor.state in ("yielded", "passed", "resuming", "resumed") else None
        return [o for o in (older, newer) if o is not None]

    def _told_by_older(self, kind: str, head: dict[str, Any], payload: bytes, descriptor: int | None) -> None:
        sock = None if descriptor is None else socket.socket(fileno=descriptor)
        if kind == messages.OFFER and sock is not None and head["version"] == rules.VERSION:
            self._offer, self._listener = head, sock
            self._as_successor(rules.OFFER)
        elif self.older is not None:
            beyond = self.newer if self.predecessor.state == "yielded" else None
            self._told(kind, head, payload, sock, self.older, beyond, self._as_successor)

    def _take_client(self, sock: socket.socket, head: dict[str, Any], payload: bytes) -> None:
        d, job, body = self.dispatcher, head["job"], payload[: head["body"]]
        d.descriptors.set_used_elsewhere(max(d.descriptors.total - d.descriptors.limit - 1, 0))
        if job is not None:
            self.elsewhere.discard(job["id"].encode("latin-1"))
        d.frontend.adopt_connection(
            sock, head, payload[head["body"] :], None if job is None else lambda c: transfer.taken_in(d, job, body, c)
        )
        if job is not None:
            for call in self._strays.of(job["id"].encode("latin-1")):
                d.backend.handle_job_event(*call)

    def _told_by_newer(self, kind: str, head: dict[str, Any], payload: bytes, descriptor: int | None) -> None:
        sock = None if descriptor is None else socket.socket(fileno=descriptor)
        if self.newer is not None and self.predecessor.state in ("yielded", "passed"):
            self.newer.wait(self.wheel, rules.SILENCE, self._as_predecessor)
        if kind == messages.HELLO:
            config = self.dispatcher.config
            if (head["version"], head["name"], head["listen"]) != (rules.VERSION, config.name, list(config.listen)):
                raise framing.BadPacket("another dispatcher, or another version")
            self._as_predecessor(rules.HELLO)
        elif kind == messages.RETURN:
            self._as_predecessor(rules.RETURN)
        elif kind == messages.PASSED_ON:
            self._as_predecessor(rules.PASSED if head["on"] else rules.KEPT)
        elif self.newer is not None:
            self._told(kind, head, payload, sock, self.newer, self.older, self._as_predecessor)

    def _told(
        self,
        kind: str,
        head: dict[str, Any],
        payload: bytes,
        sock: socket.socket | None,
        by: Peer,
        beyond: Peer | None,
        back: Callable[[str], None],
    ) -> None:
        """What means the same from either side; some goes on to the third process of a chain, if there is one."""
        d = self.dispatcher
        if kind == messages.TAKE:
            back(rules.TAKE)
        elif kind == messages.YOURS:
            snapshot.take_over(d, head, by)
            self.elsewhere |= by.open
            back(rules.YOURS)
        elif kind == messages.CLIENT and sock is not None:
            self._take_client(sock, head, payload)
        elif kind == messages.HOST and sock is not None:
            d.backend.adopt_connection(
                sock, str(head["host"]), (str(head["address"][0]), int(head["address"][1])), int(head["idle"])
            )
        elif kind == messages.HELD:
            if self.heir is None:
                d.descriptors.set_used_elsewhere(int(head["held"]) + BASE)
        elif kind == messages.ENDED:
            self.elsewhere.discard(head["id"].encode("latin-1"))
            if self.heir is not None and self.heir is not by:
                self.heir.link.send(messages.ENDED, {"id": head["id"]})
        elif sock is not None:
            raise framing.BadPacket("a descriptor that nobody asked for")
        else:
            self._told_of_attempts(kind, head, by, beyond)

    def _told_of_attempts(self, kind: str, head: dict[str, Any], by: Peer, beyond: Peer | None) -> None:
        d = self.dispatcher
        if kind == messages.CALL_BACK:
            call = head["id"].encode("latin-1"), head["host"], head["state"], head["item"]
            if d.backend.handle_job_event(*call):
                return
            self._strays.keep(call, d.clock.now())
        elif not self._attempts.told(kind, head, by, d.clock.now()):
            raise framing.BadPacket(f"a word not known here: {kind}")
        if beyond is not None:
            beyond.link.send(kind, {k: v for k, v in head.items() if k != "kind"})

    # The dispatcher tells what the others must know.

    def has_open_request(self, request_id: bytes) -> bool:
        return request_id in self.elsewhere

    def attempt_sent(self, request: OpenRequest, attempt: Attempt) -> None:
        self._attempts.sent(self._others(), attempt)

    def attempt_started(self, request: int, number: int) -> None:
        self._attempts.started(self._others(), request, number)

    def attempt_ended(self, request: OpenRequest, attempt: Attempt, result: str) -> None:
        self._attempts.over(self._others(), attempt)

    def request_forgotten(self, request_id: bytes) -> None:
        if self.heir is not None:
            self.heir.link.send(messages.ENDED, {"id": request_id.decode("latin-1")})

    def unknown_job_event(self, request_id: bytes, host: str, state: str, item: dict[str, Any]) -> None:
        """A call-back for an attempt that is not known here: another process has it, or it is on its way here."""
        others = self._others()
        if others:
            self._strays.keep((request_id, host, state, item), self.dispatcher.clock.now())
        for other in others:
            other.link.send(
                messages.CALL_BACK, {"id": request_id.decode("latin-1"), "host": host, "state": state, "item": item}
            )

    # The end.

    def term(self) -> None:
        """SIGTERM."""
        if self.newer is not None or self.older is None:
            self._as_predecessor(rules.TERM)
        else:
            for action in self.successor.term():
                self._perform(action, self.older, self._as_successor)

    def close(self) -> None:
        self.closed = True
        self.place.close()
        for other in (self.older, self.newer):
            if other is not None:
                other.link.close()
