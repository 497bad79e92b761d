"""The rules of one controller process: voter (if configured), candidate, shard owner and zone controller."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

import msgspec

from badgerroad.fleet import messages
from badgerroad.fleet.messages import Message
from badgerroad.fleet.rules.actions import Peer, Randomness, SendMessage
from badgerroad.fleet.rules.owner import ShardOwner
from badgerroad.fleet.rules.ownership import Candidate, Ownership
from badgerroad.fleet.rules.view import Owner, View
from badgerroad.fleet.rules.voter import Voter
from badgerroad.fleet.rules.zone import ZoneController
from badgerroad.fleet.settings import FleetSettings

DISTRIBUTE_BEFORE_END_US = 400_000  # time before a planned end of ownership when the zones get the remaining credit
SESSION_BITS = 48  # bits of the random number from which the session numbers of a term count up


class ControllerFigures(msgspec.Struct, frozen=True, rename={"requests_rejected": "requests_refused"}):
    """Counters for the statistics log line.

    `requests_*`, `reserve_used`, `elections_*` and `ownerships_lost` are totals since the process started; the others
    are current values.
    """

    owned_shards: int = 0
    zone_sessions: int = 0
    quota_sessions: int = 0
    dispatchers: int = 0
    teams: int = 0
    requests_granted: int = 0
    requests_rejected: int = 0
    reserve_used: int = 0
    elections_won: int = 0
    elections_lost: int = 0
    ownerships_lost: int = 0


class ControllerRules:
    """Combines all rules of one controller.

    `voter` (None if this controller does not vote), `candidate`, `owners` (by shard) and `zone` are public for tests.
    """

    def __init__(self, settings: FleetSettings, name: str, incarnation: int, now: int, random: Randomness) -> None:
        """Start at `now` (microseconds).

        `incarnation` must be higher than at any earlier start under this name.
        """
        self._settings = settings
        self._random = random
        self._self_peer = Peer(name, incarnation)
        self._quotas: list[dict[str, float]] = [{} for _ in range(settings.shards)]
        self._view = View(settings)
        self.voter = Voter(settings, now) if name in settings.voters else None
        self.candidate = Candidate(settings, self._self_peer, self._view, now, random)
        self.owners: dict[int, ShardOwner] = {}
        self.zone = ZoneController(settings, incarnation, self._view, now)

    def receive(self, now: int, sender: Peer, message: Message) -> list[SendMessage]:
        """Handle a message from `sender`. Returns the messages to send."""
        self._expire(now)
        return self._deliver(now, self._handle(now, sender, message))

    def tick(self, now: int) -> list[SendMessage]:
        """Perform the periodic work that is due; call every settings.tick_ms. Returns the messages to send."""
        self._expire(now)
        actions = self.candidate.tick(now)
        self._follow_ownership(now)
        for shard, owner in self.owners.items():
            actions += owner.tick(now)
            closing = self.candidate.owned(now)[shard].closing
            if closing is not None and closing - now <= DISTRIBUTE_BEFORE_END_US:
                actions += owner.distribute_remaining(now, self._self_peer if self.candidate.leaving else None)
        actions += self.zone.tick(now)
        if self._may_end():
            actions += self.zone.end(now)
        return self._deliver(now, actions)

    def set_quotas(self, now: int, quotas: Mapping[str, float]) -> None:
        """Replace all quotas (requests per second). Teams that are not listed have no quota."""
        self._expire(now)
        self._quotas = [{} for _ in range(self._settings.shards)]
        for name, quota in quotas.items():
            self._quotas[self._settings.shard_of(name)][name] = quota
        for shard, owner in self.owners.items():
            owner.set_quotas(now, self._quotas[shard])
        self.zone.set_quotas(now, quotas)

    def peer_lost(self, now: int, name: str) -> None:
        """Handle the loss of a connection to a peer.

        Only expired leases and ownerships are dropped, because they end by time and not with a connection.
        """
        self._expire(now)

    def drain(self, now: int) -> list[SendMessage]:
        """Start a graceful shutdown and return the messages to send. Call `tick` until `drained` is true."""
        self._expire(now)
        self.candidate.leave(now)
        return self._deliver(now, self.zone.end(now) if self._may_end() else [])

    def drained(self, now: int) -> bool:
        """Whether the process may exit: it owns no shard and its zone's credit has been returned."""
        return self.zone.ended and self._may_end()

    def figures(self, now: int) -> ControllerFigures:
        """Return the current counters for a log line."""
        return ControllerFigures(
            owned_shards=len(self.candidate.owned(now)),
            zone_sessions=sum(owner.session_count for owner in self.owners.values()),
            quota_sessions=sum(shard.open for shard in self.zone.shards),
            dispatchers=self.zone.dispatcher_count,
            teams=sum(len(part) for part in self._quotas),
            requests_granted=self.zone.granted,
            requests_rejected=self.zone.rejected,
            reserve_used=self.zone.from_reserve,
            elections_won=self.candidate.won,
            elections_lost=self.candidate.lost,
            ownerships_lost=self.candidate.dropped,
        )

    def owned(self, now: int) -> dict[int, Ownership]:
        """Return the ownership of each shard that this controller owns."""
        return self.candidate.owned(now)

    def _may_end(self) -> bool:
        return self.candidate.leaving and not self.candidate.owns_any

    def _expire(self, now: int) -> None:
        """Drop leases and ownerships that have expired.

        Every call does this first, so that expired state is not used after the process was suspended.
        """
        self.candidate.expire(now)
        self._follow_ownership(now)
        self.zone.expire(now)

    def _follow_ownership(self, now: int) -> None:
        owned = self.candidate.owned(now)
        for shard in [shard for shard in self.owners if shard not in owned]:
            del self.owners[shard]
        for shard, ownership in owned.items():
            owner = self.owners.get(shard)
            if owner is None or owner.term != ownership.term:
                first_session = self._random.getrandbits(SESSION_BITS) + 1
                quotas = self._quotas[shard]
                self.owners[shard] = ShardOwner(self._settings, shard, ownership.term, quotas, now, first_session)

    def _deliver(self, now: int, actions: list[SendMessage]) -> list[SendMessage]:
        """Handle the messages addressed to this controller itself and return the others."""
        outgoing: list[SendMessage] = []
        queue = deque(actions)
        while queue:
            action = queue.popleft()
            if action.to == self._self_peer.name:
                queue.extend(self._handle(now, self._self_peer, action.message))
            else:
                outgoing.append(action)
        return outgoing

    def _handle(self, now: int, sender: Peer, message: Message) -> list[SendMessage]:
        if isinstance(message, messages.LeaseRequest):
            return self.zone.lease(now, sender, message)
        if isinstance(message, messages.LeaseReturn):
            self.zone.receive_return(now, sender, message)
            return []
        if sender.name not in self._settings.by_name:
            return []
        return self._handle_controller(now, sender, message)

    def _handle_controller(self, now: int, sender: Peer, message: Message) -> list[SendMessage]:
        match message:
            case messages.VoteRequest():
                return self._vote(now, sender, message)
            case messages.VoteReply():
                return self._receive_vote_reply(now, sender, message)
            case messages.QuotaRequest():
                return self._answer_quota_request(now, sender, message)
            case messages.OwnerAnnouncement():
                self._view.receive_announcement(now, sender, message)
            case messages.NotOwner():
                self._view.forget(Owner(sender, message.term), message.shard)
            case messages.VoteRelease():
                self._release_votes(sender, message)
            case messages.QuotaGrant():
                self.zone.receive_grant(now, sender, message)
            case messages.QuotaReturn():
                self._receive_quota_return(now, sender, message)
        return []

    def _receive_vote_reply(self, now: int, sender: Peer, reply: messages.VoteReply) -> list[SendMessage]:
        actions = self.candidate.receive_reply(now, sender, reply)
        self._follow_ownership(now)
        return actions

    def _release_votes(self, sender: Peer, release: messages.VoteRelease) -> None:
        if self.voter is not None:
            self.voter.release(sender, release)

    def _receive_quota_return(self, now: int, sender: Peer, message: messages.QuotaReturn) -> None:
        owner = self.owners.get(message.shard)
        if owner is not None:
            owner.receive_return(now, sender, message)

    def _vote(self, now: int, sender: Peer, request: messages.VoteRequest) -> list[SendMessage]:
        if self.voter is None:
            return []
        return [SendMessage(sender.name, self.voter.vote(now, sender, request))]

    def _answer_quota_request(self, now: int, sender: Peer, request: messages.QuotaRequest) -> list[SendMessage]:
        ownership = self.candidate.ownership(now, request.shard)
        owner = self.owners.get(request.shard)
        if ownership is None or owner is None:
            return [SendMessage(sender.name, messages.NotOwner(request.shard, request.term))]
        return [owner.request(now, sender, request, ownership.valid_until - now)]
