"""Oracle for the dispatchers: checks quotas, leases and decision deadlines from outside, in true time."""

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

QUOTA_SETTLING_US = 15 * SECOND
"""Time after a quota change during which a zone may still use its reserve at the former rate."""


@dataclass
class LeaseSeen:
    """Requests that one controller process has granted one dispatcher process for one team. `end`: true end time."""

    granted: int = 0
    end: float = 0.0


@dataclass(slots=True)
class Pending:
    """A request waiting for its decision. `stop_count`: number of the dispatcher's pauses before it arrived."""

    team: str
    since: int
    stop_count: int


@dataclass
class DispatcherSeen:
    """Messages, requests and leases observed at one dispatcher process."""

    request_times: dict[tuple[str, int], int] = field(default_factory=dict)
    leases: dict[str, dict[tuple[str, int], LeaseSeen]] = field(default_factory=dict)
    admitted: dict[str, int] = field(default_factory=dict)
    pending: dict[int, Pending] = field(default_factory=dict)


class RequestsOracle:
    """Checks each team's quota meter, that no expired lease is used, and that requests are decided in time."""

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
        self._decision_limit_us = int((settings.ask_timeout_ms + settings.tick_ms) * MILLISECOND * (1 + 2 * RATE_ERROR))
        self.decisions = 0
        self.over = 0

    def _add(self, kind: Kind, text: str) -> None:
        self._findings.add(Violation(kind, self._world.now, self._world.steps, text))

    def _state(self, node: Node) -> DispatcherSeen:
        return self._seen.setdefault(node.name, DispatcherSeen())

    def reserve_stock(self, team: str) -> float:
        """Return the maximum reserve that the zones which have used theirs so far may still hold, in requests."""
        settings = self._world.setup.settings
        part = self._largest[team] * settings.reserve_share / len(settings.controllers)
        return len(self.reserve_zones) * max(1.0, part)

    def requested(self, node: Node, request: int, team: str) -> None:
        self._state(node).pending[request] = Pending(team, self._world.now, node.stop_count)

    def canceled(self, node: Node, request: int) -> None:
        self._state(node).pending.pop(request, None)

    def decided(self, node: Node, request: int, over_quota: bool) -> None:
        seen = self._state(node)
        pending = seen.pending.pop(request, None)
        if pending is None:
            self._add(Kind.WRONG_DECISION, f"{node.name}: request {request}")
            return
        self._check_deadline(node, request, pending)
        self.decisions += 1
        if over_quota:
            self.over += 1
        else:
            self._admit(node, seen, pending.team)

    def _admit(self, node: Node, seen: DispatcherSeen, team: str) -> None:
        now = self._world.now
        leases = seen.leases.get(team, {})
        end = max((lease.end for lease in leases.values() if lease.granted), default=0.0)
        if end < now:
            self._add(Kind.ENDED_LEASE, f"{node.name}: {team}: {now - end:.0f} us after the end of the last lease")
        seen.admitted[team] = count = seen.admitted.get(team, 0) + 1
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
        if waited > self._decision_limit_us and pending.stop_count == node.stop_count and not node.stopped:
            self._add(Kind.LATE_DECISION, f"{node.name}: request {request} after {waited} us")

    def sent(self, node: Node, to: str, message: Any) -> None:
        if isinstance(message, LeaseRequest):
            self._state(node).request_times.setdefault((to, message.sequence), self._world.now)

    def delivered(self, node: Node, parcel: Parcel) -> None:
        message = parcel.message
        if not isinstance(message, LeaseGrant):
            return
        seen = self._state(node)
        requested_at = seen.request_times.get((parcel.sender, message.sequence))
        if requested_at is None:
            return
        for credit in message.credits:
            leases = seen.leases.setdefault(credit.team, {})
            lease = leases.setdefault((parcel.sender, parcel.sender_incarnation), LeaseSeen())
            lease.granted = max(lease.granted, credit.granted)
            lease.end = max(lease.end, requested_at + credit.valid_ms * MILLISECOND / (1 - RATE_ERROR))

    def stepped(self, node: Node) -> None:
        if node.is_controller or not node.alive:
            return
        for request, pending in self._state(node).pending.items():
            self._check_deadline(node, request, pending)
            return

    def died(self, node: Node) -> None:
        self._seen.pop(node.name, None)

    def handed_over(self, node: Node, successor: Node, exported: LeaseExport) -> None:
        """Move the exported leases to the successor: only it may use them, and not after their former end."""
        seen, later = self._state(node), self._state(successor)
        for number, lease in enumerate(exported.leases):
            seen.admitted[lease.team] = passed = seen.admitted.get(lease.team, 0) + lease.count
            leases = seen.leases.get(lease.team, {})
            granted = sum(known.granted for known in leases.values())
            if passed > granted:
                self._add(Kind.MORE_THAN_GRANTED, f"{node.name} hands over {passed} of {granted} granted: {lease}")
            end = min(node.clock.when(lease.end), max((known.end for known in leases.values()), default=0.0))
            later.leases.setdefault(lease.team, {})[node.name, -number] = LeaseSeen(lease.count, end)

    def quotas_changed(self, quotas: dict[str, float]) -> None:
        setup = self._world.setup
        settled = self._world.now + QUOTA_SETTLING_US
        for team, quota in quotas.items():
            self.meters[team].change(self._world.now, quota, setup.depth(quota), settled)
            self._largest[team] = max(self._largest[team], quota)
        self.quotas = dict(quotas)

    def finish(self) -> None:
        """Check that no request is left undecided past its deadline."""
        for name, seen in self._seen.items():
            for request, pending in seen.pending.items():
                self._check_deadline(self._world.nodes[name], request, pending)
