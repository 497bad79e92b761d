"""Connects DispatcherLeases to a dispatcher.

Requests of teams with a quota wait here for their quota decision, for at most the settings' ask_timeout_ms.
"""

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

STATISTICS_INTERVAL_US = 10_000_000  # time between two log lines of statistics
DECISION_LIMIT_FACTOR = 2  # multiple of ask_timeout_ms after which a request proceeds even without a decision
MAX_NAME_PREFIX_CHARS = 32  # characters of the dispatcher's name with which its name as a peer begins


class PendingRequest(NamedTuple):
    """A request that waits for its quota decision. `queued_at`: microseconds of the dispatcher's clock."""

    request: OpenRequest
    event: interface.Request
    team: str
    queued_at: int
    proceed: Callable[[interface.Request], None]

    def with_decision(self, now: int, over_quota: bool | None) -> interface.Request:
        """Return the event for the decision module, with the remaining time and the quota decision."""
        time_left = max(self.event.time_left - (now - self.queued_at), 1)
        return self.event._replace(time_left=time_left, over_quota=over_quota)


class QuotaExtension(DispatcherExtension):
    """Owns the leases, the connections to controllers and their timers, from `start` to `close`."""

    def __init__(self, wheel: TimerWheel, settings: FleetSettings, name: str, zone: str) -> None:
        """`name`: the dispatcher's name. `zone`: the zone whose controller is preferred."""
        self.settings = settings
        self._wheel, self._clock = wheel, wheel.clock
        random = Random(os.urandom(16))
        incarnation = new_incarnation()
        # Two processes of one dispatcher need different peer names, because each process has separate leases.
        peer_name = f"{name[:MAX_NAME_PREFIX_CHARS] or 'dispatcher'}-{os.getpid()}-{incarnation:x}"
        self.leases = DispatcherLeases(settings, peer_name, zone, incarnation, self._clock.now(), random)
        hello = Hello(VERSION, peer_name, zone, ROLE_DISPATCHER, incarnation)
        addresses = {controller.name: (controller.host, controller.port) for controller in settings.controllers}
        self.connections = Connections(hello, addresses, self, random)
        self._zone = zone
        self._teams: dict[int, str] = {}  # teams with a quota, by their position in the decision module's tenants
        self._pending: dict[int, PendingRequest] = {}
        self._numbers: dict[bytes, int] = {}  # numbers of pending requests by request id
        self._wakeup: Timer | None = None
        self._is_closed = False

    def start(self) -> None:
        """Connect to the zone's controller and start the timers."""
        for controller in self.settings.controllers:
            if controller.zone == self._zone:
                self.connections.connect(controller.name)
        self._tick()
        self._wheel.after(STATISTICS_INTERVAL_US, self._log_statistics)

    # Events of the dispatcher

    def admit(
        self, request: OpenRequest, event: interface.Request, proceed: Callable[[interface.Request], None]
    ) -> None:
        """Call `proceed` with the event once its quota decision is known; at once for teams without a quota."""
        team = self._teams.get(event.tenant)
        if team is None or self._is_closed:
            proceed(event)
            return
        now = self._clock.now()
        self._pending[request.number] = PendingRequest(request, event, team, now, proceed)
        self._numbers[request.forwarded.id] = request.number
        self._perform(lambda: self.leases.request(now, request.number, team))
        if request.number in self._pending:
            limit = DECISION_LIMIT_FACTOR * self.settings.ask_timeout_ms * US_PER_MS
            self._wheel.after(limit, lambda: self._decision_timed_out(request.number))

    def request_forgotten(self, request_id: bytes) -> None:
        """Cancel the wait of a request whose client disconnected or whose deadline passed."""
        number = self._numbers.pop(request_id, None)
        if number is not None and self._pending.pop(number, None) is not None:
            self.leases.cancel(self._clock.now(), number)

    def _decision_timed_out(self, number: int) -> None:
        if number in self._pending:
            log.error("quota_decision_timed_out", number=number)
            self.leases.cancel(self._clock.now(), number)
            self._decided(number, True)

    def settings_changed(self, settings: interface.Settings) -> None:
        """Apply new settings: the teams with a quota, and whether peers are permitted."""
        self._teams = {
            position: tenant.name for position, tenant in enumerate(settings.tenants) if tenant.quota_per_s > 0
        }
        positions = {tenant.name: position for position, tenant in enumerate(settings.tenants)}
        for number, pending in self._pending.items():
            # A team that is no longer listed gets a position past the end, for which the decision module has no quota.
            event = pending.event._replace(tenant=positions.get(pending.team, len(settings.tenants)))
            self._pending[number] = pending._replace(event=event)
        if not settings.peers_allowed and not self._is_closed:
            log.error("fleet_no_longer_permitted")
            self.close()

    def superseded(self) -> None:
        """Return the credit, because another process of this dispatcher now takes new requests with its own leases.

        Returning it prevents requests of a quota from being leased twice.
        """
        self._perform(lambda: self.leases.release(self._clock.now()))

    # Events of connections

    def received(self, sender: Peer, message: Message) -> None:
        """Pass a message of a controller to the rules."""
        self._perform(lambda: self.leases.receive(self._clock.now(), sender, message))

    def lost(self, name: str) -> None:
        """Report the loss of a controller to the rules."""
        self._perform(lambda: self.leases.peer_lost(self._clock.now(), name))

    # Actions of the rules

    def _perform(self, call: Callable[[], Sequence[Action]]) -> None:
        """Call the rules and perform the actions that they return.

        Exceptions of the rules are logged, so that they do not end a connection or lose a request.
        """
        try:
            actions = call()
        except Exception:
            log.exception("fleet_rules_exception")
            return
        for action in actions:
            if isinstance(action, SendMessage):
                self.connections.send(action.to, action.message)
            else:
                self._decided(action.request, action.over_quota)
        self._schedule_wakeup()

    def _decided(self, number: int, over_quota: bool) -> None:
        pending = self._pending.pop(number, None)
        if pending is not None:
            self._numbers.pop(pending.request.forwarded.id, None)
            pending.proceed(pending.with_decision(self._clock.now(), over_quota))

    def _schedule_wakeup(self) -> None:
        """Set the timer for the next waiting request that must be decided."""
        deadline = self.leases.next_wakeup()
        if deadline is None or self._is_closed or self._wakeup is not None and self._wakeup.due_at <= deadline:
            return
        if self._wakeup is not None:
            self._wakeup.cancel()
        self._wakeup = self._wheel.after(deadline - self._clock.now(), self._wake)

    def _wake(self) -> None:
        self._wakeup = None
        self._perform(lambda: self.leases.tick(self._clock.now()))

    def _tick(self) -> None:
        if not self._is_closed:
            self._wheel.after(self.settings.tick_ms * US_PER_MS, self._tick)
            self._perform(lambda: self.leases.tick(self._clock.now()))

    # Statistics and shutdown

    def _log_statistics(self) -> None:
        if not self._is_closed:
            self._wheel.after(STATISTICS_INTERVAL_US, self._log_statistics)
            figures = self.leases.figures(self._clock.now())
            log.info("fleet_statistics", **fields_of(figures), **fields_of(self.connections.traffic()))

    def close(self) -> None:
        """Return the credit and close the connections.

        Pending requests proceed without a quota decision; the decision module's own quota applies to them.
        """
        if self._is_closed:
            return
        self.superseded()
        self._is_closed = True
        if self._wakeup is not None:
            self._wakeup.cancel()
        self.connections.close()
        undecided = list(self._pending.values())
        self._pending = {}
        self._numbers = {}
        for pending in undecided:
            pending.proceed(pending.with_decision(self._clock.now(), None))
