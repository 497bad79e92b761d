"""What can be seen at the dispatchers from outside: quotas, leases and deadlines, by true time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from badgerroad.fleet.messages import LeaseGrant, LeaseRequest
from badgerroad.fleet.rules.lease_transfer import LeaseExport
from tests.fleet.simulation.clock import MILLISECOND, RATE_ERROR, SECOND
from tests.fleet.simulation.meter import SLACK, QuotaMeter
from tests.fleet.simulation.network import Parcel
from tests.fleet.simulation.nodes import Node
from tests.fleet.simulation.violations import Findings, Kind, Violation
from tests.fleet.simulation.world import World

IN_FORCE_WITHIN = 15 * SECOND
"""After a controller has learned a quota: how long a zone may still use its reserve at the former rate."""


@dataclass
class LeaseSeen:
    """What one controller process has granted one dispatcher process of one team. `end`: true time."""

    granted: int = 0
    end: float = 0.0


@dataclass(slots=True)
class Pending:
    """A request that waits for its decision."""

    team: str
    since: int
    stop_count: int


@dataclass
class DispatcherSeen:
    """One dispatcher process as seen from outside."""

    asked: dict[tuple[str, int], int] = field(default_factory=dict)
    leases: dict[str, dict[tuple[str, int], LeaseSeen]] = field(default_factory=dict)
    let_through: dict[str, int] = field(default_factory=dict)
    pending: dict[int, Pending] = field(default_factory=dict)


class RequestsOracle:
    """Checks (b), (d) and (e): the quota's meter, no use of ended leases, decisions in time."""

    def __init__(self, world: World, findings: Findings) -> None:
        self._world = world
        self._findings = findings
        setup = world.setup
        self._seen: dict[str, DispatcherSeen] = {}
        self.meters = {team: QuotaMeter(quota, setup.depth(quota)) for team, quota in setup.quotas.items()}
        self.quotas = dict(setup.quotas)
        self._largest = dict(setup.quotas)
        self.reserve_zones: set[str] = set()
        settings = setup.settings
        self._limit = int((settings.ask_timeout_ms + settings.tick_ms) * MILLISECOND * (1 + 2 * RATE_ERROR))
        self.decisions = 0
        self.over = 0

    def _add(self, kind: Kind, text: str) -> None:
        self._findings.add(Violation(kind, self._world.now, self._world.steps, text))

    def _of(self, node: Node) -> DispatcherSeen:
        return self._seen.setdefault(node.name, DispatcherSeen())

    def reserve_stock(self, team: str) -> float:
        """The most that the zones which have used their reserve so far may have kept of it, in requests."""
        settings = self._world.setup.settings
        part = self._largest[team] * settings.reserve_share / len(settings.controllers)
        return len(self.reserve_zones) * max(1.0, part)

    def requested(self, node: Node, request: int, team: str) -> None:
        self._of(node).pending[request] = Pending(team, self._world.now, node.stop_count)

    def forgotten(self, node: Node, request: int) -> None:
        self._of(node).pending.pop(request, None)

    def decided(self, node: Node, request: int, over_quota: bool) -> None:
        seen = self._of(node)
        pending = seen.pending.pop(request, None)
        if pending is None:
            self._add(Kind.WRONG_DECISION, f"{node.name}: request {request}")
            return
        self._check_deadline(node, request, pending)
        self.decisions += 1
        if over_quota:
            self.over += 1
        else:
            self._let_through(node, seen, pending.team)

    def _let_through(self, node: Node, seen: DispatcherSeen, team: str) -> None:
        now = self._world.now
        leases = seen.leases.get(team, {})
        end = max((lease.end for lease in leases.values() if lease.granted), default=0.0)
        if end < now:
            self._add(Kind.ENDED_LEASE, f"{node.name}: {team}: {now - end:.0f} us after the end of the last lease")
        seen.let_through[team] = count = seen.let_through.get(team, 0) + 1
        granted = sum(lease.granted for lease in leases.values())
        if count > granted:
            self._add(Kind.MORE_THAN_GRANTED, f"{node.name}: {team}: {count} let through, {granted} granted")
        meter = self.meters.get(team)
        if meter is None:
            self._add(Kind.OVER_QUOTA, f"{team} has no quota")
            return
        bound = meter.depth + self.reserve_stock(team)
        if meter.add(now) > bound + SLACK:
            self._add(Kind.OVER_QUOTA, f"{team}: meter at {meter.level:.3f}, bound {bound:.3f}")

    def _check_deadline(self, node: Node, request: int, pending: Pending) -> None:
        waited = self._world.now - pending.since
        if waited > self._limit and pending.stop_count == node.stop_count and not node.stopped:
            self._add(Kind.LATE_DECISION, f"{node.name}: request {request} after {waited} us")

    def sent(self, node: Node, to: str, message: Any) -> None:
        if isinstance(message, LeaseRequest):
            self._of(node).asked.setdefault((to, message.sequence), self._world.now)

    def delivered(self, node: Node, parcel: Parcel) -> None:
        message = parcel.message
        if not isinstance(message, LeaseGrant):
            return
        seen = self._of(node)
        asked = seen.asked.get((parcel.sender, message.sequence))
        if asked is None:
            return
        for credit in message.credits:
            leases = seen.leases.setdefault(credit.team, {})
            lease = leases.setdefault((parcel.sender, parcel.sender_incarnation), LeaseSeen())
            lease.granted = max(lease.granted, credit.granted)
            lease.end = max(lease.end, asked + credit.valid_ms * MILLISECOND / (1 - RATE_ERROR))

    def stepped(self, node: Node) -> None:
        if node.is_controller or not node.alive:
            return
        for request, pending in self._of(node).pending.items():
            self._check_deadline(node, request, pending)
            return

    def died(self, node: Node) -> None:
        self._seen.pop(node.name, None)

    def handed_over(self, node: Node, successor: Node, exported: LeaseExport) -> None:
        """What is passed on may be used by the successor only, and no longer than it could have been before."""
        seen, later = self._of(node), self._of(successor)
        for number, lease in enumerate(exported.leases):
            seen.let_through[lease.team] = passed = seen.let_through.get(lease.team, 0) + lease.count
            leases = seen.leases.get(lease.team, {})
            granted = sum(known.granted for known in leases.values())
            if passed > granted:
                self._add(Kind.MORE_THAN_GRANTED, f"{node.name} hands over {passed} of {granted} granted: {lease}")
            end = min(node.clock.when(lease.end), max((known.end for known in leases.values()), default=0.0))
            later.leases.setdefault(lease.team, {})[node.name, -number] = LeaseSeen(lease.count, end)

    def quotas_changed(self, quotas: dict[str, float]) -> None:
        setup = self._world.setup
        settled = self._world.now + IN_FORCE_WITHIN
        for team, quota in quotas.items():
            self.meters[team].change(self._world.now, quota, setup.depth(quota), settled)
            self._largest[team] = max(self._largest[team], quota)
        self.quotas = dict(quotas)

    def finish(self) -> None:
        """No request may be left undecided past its deadline."""
        for name, seen in self._seen.items():
            for request, pending in seen.pending.items():
                self._check_deadline(self._world.nodes[name], request, pending)
