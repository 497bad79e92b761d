"""Oracle for the controllers: checks ownership, buckets and reserves in true time after every step."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from badgerroad.fleet.messages import LeaseGrant, LeaseRequest, QuotaGrant, QuotaRequest
from badgerroad.fleet.rules.lease_transfer import LeaseExport
from tests.fleet.simulation import inspect
from tests.fleet.simulation.clock import MILLISECOND
from tests.fleet.simulation.meter import SLACK
from tests.fleet.simulation.network import Parcel
from tests.fleet.simulation.nodes import Node
from tests.fleet.simulation.violations import Findings, Kind, Violation
from tests.fleet.simulation.world import World


@dataclass(frozen=True)
class Ownership:
    """A process's ownership of a shard. `end`: the true time at which it ends by the process's own clock."""

    name: str
    incarnation: int
    term: int
    end: float


class OwnersOracle:
    """Checks the state of the controllers.

    At most one owner per shard and per term; no bucket above its depth; no reserve both used by its zone and minted by
    the owner; no grant without ownership; no lease that outlives the lease it depends on.
    """

    def __init__(self, world: World, findings: Findings, reserve_seen: Callable[[str], None]) -> None:
        self._world = world
        self._findings = findings
        self._reserve_seen = reserve_seen
        self._owners: dict[int, dict[str, Ownership]] = {}
        self._terms: dict[tuple[int, int], tuple[str, int]] = {}
        self._highest: dict[int, tuple[int, tuple[int, ...]]] = {}
        """Shard -> the highest term won, and the voters' incarnations at that time."""
        self._request_times: dict[tuple[str, int, str, int | None, int], int] = {}
        """(sender, its incarnation, receiver, shard of a QuotaRequest or None, sequence) -> true time of sending."""
        self._lent: dict[str, dict[tuple[int, str], float]] = {}
        """Owner's name -> (shard, zone) -> true time until which it mints the zone's reserve."""
        self._reserves: dict[tuple[int, str], float] = {}
        """(shard, zone) -> true time from which the zone uses its reserve."""

    def _add(self, kind: Kind, text: str) -> None:
        self._findings.add(Violation(kind, self._world.now, self._world.steps, text))

    @property
    def terms_won(self) -> int:
        """Number of terms won so far, over all shards."""
        return len(self._terms)

    def owner_of(self, shard: int) -> Ownership | None:
        """Return the owner whose ownership has not ended by the owner's clock; None if there is no owner."""
        for ownership in self._owners.get(shard, {}).values():
            if ownership.end > self._world.now:
                return ownership
        return None

    def stepped(self, node: Node) -> None:
        if not node.is_controller or not node.alive:
            return
        owned = inspect.owned(node.controller, node.clock.read(self._world.now))
        self._check_ownership(node, owned)
        if owned:
            self._check_buckets(node, owned)
        self._check_reserves(node, {shard: end for shard, (_, end) in owned.items()})

    def _check_ownership(self, node: Node, owned: dict[int, tuple[int, int]]) -> None:
        for shard in [shard for shard, owners in self._owners.items() if node.name in owners and shard not in owned]:
            del self._owners[shard][node.name]
        for shard, (term, end) in owned.items():
            ownership = Ownership(node.name, node.incarnation, term, node.clock.when(end))
            owners = self._owners.setdefault(shard, {})
            owners[node.name] = ownership
            if ownership.end > self._world.now:
                self._check_single_owner(shard, ownership, owners)
                self._check_term(shard, term, node)

    def _check_single_owner(self, shard: int, ownership: Ownership, owners: dict[str, Ownership]) -> None:
        for other in owners.values():
            if other.name != ownership.name and other.end > self._world.now:
                self._add(Kind.TWO_OWNERS, f"shard {shard}: {ownership} and {other}")

    def _check_term(self, shard: int, term: int, node: Node) -> None:
        process = (node.name, node.incarnation)
        first = self._terms.setdefault((shard, term), process)
        if first != process:
            self._add(Kind.TERM_SHARED, f"shard {shard}, term {term}: {first} and {process}")
        self._check_term_grows(shard, term)

    def _check_term_grows(self, shard: int, term: int) -> None:
        """Check that terms grow, as long as no voter has restarted since the highest term was won."""
        voters = tuple(self._world.nodes[name].incarnation for name in self._world.setup.settings.voters)
        highest, remembered_by = self._highest.get(shard, (0, voters))
        if term > highest:
            self._highest[shard] = (term, voters)
        elif term < highest and remembered_by == voters:
            owner = self._terms[shard, highest]
            if self._owners[shard].get(owner[0]) is None or self._owners[shard][owner[0]].term != highest:
                self._add(Kind.TERM_BACK, f"shard {shard}: term {term} after {highest}")
        elif remembered_by != voters:
            self._highest[shard] = (term, voters)

    def _check_buckets(self, node: Node, owned: dict[int, tuple[int, int]]) -> None:
        for bucket in inspect.buckets(node.controller, owned):
            if bucket.total > max(bucket.depth, bucket.out) + SLACK:
                self._add(Kind.BUCKET, f"{node.name}: {bucket}")

    def _check_reserves(self, node: Node, owned_until: dict[int, int]) -> None:
        now = self._world.now
        for shard, start in inspect.reserve_starts(node.controller):
            true_start = self._reserves[shard, node.zone] = node.clock.when(start)
            if true_start <= now:
                for owner, lent in self._lent.items():
                    self._check_reserve(owner, shard, node.zone, lent.get((shard, node.zone), 0.0))
        lent = self._lent[node.name] = {}
        for shard, zone_controller, end in inspect.lending(node.controller, owned_until):
            zone = self._world.nodes[zone_controller].zone
            lent[shard, zone] = node.clock.when(end)
            self._check_reserve(node.name, shard, zone, lent[shard, zone])
        if inspect.used_reserve(node.controller):
            self._reserve_seen(node.zone)

    def _check_reserve(self, owner: str, shard: int, zone: str, lent_until: float) -> None:
        now = self._world.now
        start = self._reserves.get((shard, zone))
        if start is not None and start <= now < lent_until:
            text = f"shard {shard}: {zone} uses what {owner} mints for {lent_until - now:.0f} us"
            self._add(Kind.RESERVE_TWICE, text)

    def sent(self, node: Node, to: str, message: Any) -> None:
        if isinstance(message, QuotaRequest | LeaseRequest):
            shard = message.shard if isinstance(message, QuotaRequest) else None
            self._request_times.setdefault((node.name, node.incarnation, to, shard, message.sequence), self._world.now)
        elif isinstance(message, QuotaGrant) and not node.sending_held_output:
            self._check_quota_grant(node, to, message)
        elif isinstance(message, LeaseGrant) and not node.sending_held_output:
            self._check_lease_grant(node, to, message)

    def _check_quota_grant(self, node: Node, to: str, grant: QuotaGrant) -> None:
        process = (node.name, node.incarnation)
        first = self._terms.setdefault((grant.shard, grant.term), process)
        if first != process:
            self._add(Kind.TERM_SHARED, f"shard {grant.shard}, term {grant.term}: {first} and {process}")
        term, end = inspect.owned(node.controller, node.clock.read(self._world.now)).get(grant.shard, (0, 0))
        if term != grant.term or node.clock.when(end) < self._world.now:
            self._add(Kind.GRANT_WITHOUT_OWNERSHIP, f"{node.name}: shard {grant.shard}, term {grant.term}")
        elif grant.valid_ms:
            self._check_lease_end(self._world.nodes[to], node, grant.shard, grant.sequence, grant.valid_ms, end)

    def _check_lease_grant(self, node: Node, to: str, grant: LeaseGrant) -> None:
        for credit in grant.credits:
            shard = self._world.setup.settings.shard_of(credit.team)
            end = inspect.session_end(node.controller, shard)
            if end is not None and credit.valid_ms:
                self._check_lease_end(self._world.nodes[to], node, None, grant.sequence, credit.valid_ms, end)

    def _check_lease_end(
        self, holder: Node, granter: Node, shard: int | None, sequence: int, valid_ms: int, end: int
    ) -> None:
        """Check that a granted lease ends by `end`, the end of the granter's own lease on the granter's clock."""
        requested_at = self._request_times.get((holder.name, holder.incarnation, granter.name, shard, sequence))
        if requested_at is None:
            return
        excess = requested_at + valid_ms * MILLISECOND / holder.clock.rate - granter.clock.when(end)
        if excess > 1:
            self._add(Kind.LEASE_OUTLIVES, f"{granter.name} to {holder.name}, shard {shard}: by {excess:.0f} us")

    def died(self, node: Node) -> None:
        for owners in self._owners.values():
            owners.pop(node.name, None)
        self._lent.pop(node.name, None)
        for key in [key for key in self._reserves if key[1] == node.zone and node.is_controller]:
            del self._reserves[key]

    def delivered(self, node: Node, parcel: Parcel) -> None:
        """Do nothing, because `RequestsOracle` checks requests."""

    def requested(self, node: Node, request: int, team: str) -> None:
        """Do nothing, because `RequestsOracle` checks requests."""

    def canceled(self, node: Node, request: int) -> None:
        """Do nothing, because `RequestsOracle` checks requests."""

    def decided(self, node: Node, request: int, over_quota: bool) -> None:
        """Do nothing, because `RequestsOracle` checks requests."""

    def handed_over(self, node: Node, successor: Node, exported: LeaseExport) -> None:
        """Do nothing, because `RequestsOracle` checks requests."""

    def quotas_changed(self, quotas: dict[str, float]) -> None:
        """Do nothing, because `RequestsOracle` checks requests."""
