"""Joins DispatcherLeases to a dispatcher: requests of teams with a quota wait here until they are known to be within it
or over it, for at most the settings' ask_timeout_ms."""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

from badgerroad.extension import DispatcherExtension
from badgerroad.fleet.connections import ROLE_DISPATCHER, Connections, new_incarnation
from badgerroad.fleet.messages import VERSION, Hello, Message
from badgerroad.fleet.rules.actions import Action, Peer, SendMessage
from badgerroad.fleet.rules.dispatcher import DispatcherLeases
from badgerroad.fleet.settings import US_PER_MS, FleetSettings
from badgerroad.fleet.table import fields_of
from badgerroad.load_balancing import interface
from badgerroad.net import logs
from badgerroad.net.timer_wheel import Timer, TimerWheel
from badgerroad.requests import OpenRequest

log = logs.get("badgerroad")

FIGURES_INTERVAL_US = 10_000_000  # microseconds between two lines of figures
DECISION_LIMIT_FACTOR = 2  # times the settings' ask_timeout_ms: then a request goes on whatever the rules do
MAX_NAME_PREFIX_CHARS = 32  # characters of the dispatcher's own name in its name as a peer


class PendingRequest(NamedTuple):
    """A request that waits for its decision. `since`: when it was held, by the dispatcher's clock."""

    request: OpenRequest
    event: interface.Request
    team: str
    since: int
    proceed: Callable[[interface.Request], None]

    def marked(self, now: int, over_quota: bool | None) -> interface.Request:
        """What the module hears of it now."""
        left = max(self.event.time_left - (now - self.since), 1)
        return self.event._replace(time_left=left, over_quota=over_quota)


class QuotaExtension(DispatcherExtension):
    """It owns the leases, the connections to controllers and its timers, from `start` to `close`."""

    def __init__(self, wheel: TimerWheel, settings: FleetSettings, name: str, zone: str) -> None:
        self.settings = settings
        self._wheel, self._clock = wheel, wheel.clock
        random, incarnation = Random(os.urandom(16)), new_incarnation()
        # Two processes of one dispatcher are two peers: neither's leases are the other's.
        peer_name = f"{name[:MAX_NAME_PREFIX_CHARS] or 'dispatcher'}-{os.getpid()}-{incarnation:x}"
        self.leases = DispatcherLeases(settings, peer_name, zone, incarnation, self._clock.now(), random)
        hello = Hello(VERSION, peer_name, zone, ROLE_DISPATCHER, incarnation)
        addresses = {c.name: (c.host, c.port) for c in settings.controllers}
        self.connections = Connections(hello, addresses, self, random)
        self._zone = zone
        self._teams: dict[int, str] = {}  # those with a quota, by their place among the module's tenants
        self._held: dict[int, PendingRequest] = {}
        self._numbers: dict[bytes, int] = {}  # of what is held, by request id
        self._wakeup: Timer | None = None
        self._over = False

    def start(self) -> None:
        """Connect to the zone's controller, and begin with the ticks."""
        for controller in self.settings.controllers:
            if controller.zone == self._zone:
                self.connections.connect(controller.name)
        self._tick()
        self._wheel.after(FIGURES_INTERVAL_US, self._log_figures)

    # What the dispatcher tells.

    def admit(
        self, request: OpenRequest, event: interface.Request, proceed: Callable[[interface.Request], None]
    ) -> None:
        team = self._teams.get(event.tenant)
        if team is None or self._over:
            proceed(event)
            return
        now = self._clock.now()
        self._held[request.number] = PendingRequest(request, event, team, now, proceed)
        self._numbers[request.forwarded.id] = request.number
        self._enter(lambda: self.leases.request(now, request.number, team))
        if request.number in self._held:
            latest = DECISION_LIMIT_FACTOR * self.settings.ask_timeout_ms * US_PER_MS
            self._wheel.after(latest, lambda: self._too_late(request.number))

    def request_forgotten(self, request_id: bytes) -> None:
        """Its client has left, or its time is over."""
        number = self._numbers.pop(request_id, None)
        if number is not None and self._held.pop(number, None) is not None:
            self.leases.cancel(self._clock.now(), number)

    def _too_late(self, number: int) -> None:
        if number in self._held:
            log.error("fleet: a request was not decided in time; it goes on as over its quota", number=number)
            self.leases.cancel(self._clock.now(), number)
            self._decided(number, True)

    def settings_changed(self, settings: interface.Settings) -> None:
        self._teams = {n: t.name for n, t in enumerate(settings.tenants) if t.quota_per_s > 0}
        places = {tenant.name: place for place, tenant in enumerate(settings.tenants)}
        for number, held in self._held.items():
            # A team that is not listed any more has a place beyond the list: the module knows no quota of it.
            event = held.event._replace(tenant=places.get(held.team, len(settings.tenants)))
            self._held[number] = held._replace(event=event)
        if not settings.peers_allowed and not self._over:
            log.error("fleet: the settings do not permit peers any more; quotas are this dispatcher's own from now on")
            self.close()

    def superseded(self) -> None:
        """Another process of this dispatcher takes the new requests: it asks for leases of its own. What is held here
        goes back, so that no request of a quota is held twice."""
        self._enter(lambda: self.leases.release(self._clock.now()))

    # What the connections report.

    def received(self, sender: Peer, message: Message) -> None:
        self._enter(lambda: self.leases.receive(self._clock.now(), sender, message))

    def lost(self, name: str) -> None:
        self._enter(lambda: self.leases.peer_lost(self._clock.now(), name))

    # What the rules want.

    def _enter(self, call: Callable[[], Sequence[Action]]) -> None:
        """Call the rules and do what they want. What breaks there must not end a connection or lose a request."""
        try:
            actions = call()
        except Exception:
            log.exception("fleet: the rules broke")
            return
        for action in actions:
            if isinstance(action, SendMessage):
                self.connections.send(action.to, action.message)
            else:
                self._decided(action.request, action.over_quota)
        self._arm()

    def _decided(self, number: int, over_quota: bool) -> None:
        held = self._held.pop(number, None)
        if held is not None:
            self._numbers.pop(held.request.forwarded.id, None)
            held.proceed(held.marked(self._clock.now(), over_quota))

    def _arm(self) -> None:
        """Be awake when a waiting request must be decided."""
        due = self.leases.next_wakeup()
        if due is None or self._over or self._wakeup is not None and self._wakeup.due_at <= due:
            return
        if self._wakeup is not None:
            self._wakeup.cancel()
        self._wakeup = self._wheel.after(due - self._clock.now(), self._wake)

    def _wake(self) -> None:
        self._wakeup = None
        self._enter(lambda: self.leases.tick(self._clock.now()))

    def _tick(self) -> None:
        if not self._over:
            self._wheel.after(self.settings.tick_ms * US_PER_MS, self._tick)
            self._enter(lambda: self.leases.tick(self._clock.now()))

    # Figures, and the end.

    def _log_figures(self) -> None:
        if not self._over:
            self._wheel.after(FIGURES_INTERVAL_US, self._log_figures)
            figures = self.leases.figures(self._clock.now())
            log.info("fleet figures", **fields_of(figures), **fields_of(self.connections.traffic()))

    def close(self) -> None:
        """What is held goes back. Requests that wait go on unmarked: the module's own reckoning decides."""
        if self._over:
            return
        self.superseded()
        self._over = True
        if self._wakeup is not None:
            self._wakeup.cancel()
        self.connections.close()
        all_held, self._held, self._numbers = self._held, {}, {}
        for held in all_held.values():
            held.proceed(held.marked(self._clock.now(), None))
