"""The lease requests that a dispatcher sends to controllers, and its reports of used and returned credit."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from badgerroad.fleet.messages import MAX_LIST, LeaseNeed, LeaseRequest, LeaseReturn, Usage
from badgerroad.fleet.rules.actions import Action, Peer, SendMessage
from badgerroad.fleet.rules.controller_choice import ControllerChoice
from badgerroad.fleet.rules.team_leases import INHERITED, DispatcherLease, TeamLeases
from badgerroad.fleet.rules.team_table import TeamTable

MAX_REQUESTED = 1_000_000  # maximum number of requests that one lease request asks for, per team


class RequestedCredit(NamedTuple):
    """The credit requested for one team: the number of requests, and the granted total that fulfils the request."""

    requests: int
    total: int


class OpenLeaseRequest(NamedTuple):
    """A LeaseRequest that has no reply yet. `sent`: microseconds."""

    sent: int
    controller: str
    wanted: dict[str, RequestedCredit]


class LeaseRequests:
    """Sends lease requests to the chosen controller and tracks those without a reply.

    `incarnations`: the newest known incarnation of each controller. `sequence`: the number of the last request sent.
    `prefetching`: whether credit is requested beyond the requests that wait.
    """

    def __init__(self, teams: TeamTable, choice: ControllerChoice) -> None:
        """Start without open requests."""
        self._teams = teams
        self._choice = choice
        self._open: dict[int, OpenLeaseRequest] = {}
        self.incarnations: dict[str, int] = {}
        self.sequence = 0
        self.prefetching = True

    def request(self, now: int, teams: Iterable[str]) -> list[Action]:
        """Return the messages that request leases for `teams` from the current controller."""
        known = self._teams.leases
        wanted = {team: self._wanted(now, known[team]) for team in teams if team in known}
        if not wanted:
            return []
        return [self.send(now, self._choice.current, wanted)]

    def prefetch(self, now: int, team: str, leases: TeamLeases) -> list[Action]:
        """Request more credit, if there is demand for it, once less than half of the prefetch amount is left."""
        wanted = leases.prefetch(now)
        if not self.prefetching or leases.open_request is not None or now < leases.no_prefetch_until:
            return []
        if leases.unused(now) * 2 >= wanted:
            return []
        return self.request(now, [team])

    def prefetch_count(self, now: int, leases: TeamLeases) -> int:
        """Return how many requests of the team to lease in advance."""
        return leases.prefetch(now) if self.prefetching else 0

    def send(self, now: int, controller: str, wanted: Mapping[str, int]) -> SendMessage:
        """Return the message that requests `wanted` credit by team from `controller`. Without teams it is a poll.

        At most MAX_LIST teams are listed; the team table holds no more.
        """
        self.sequence += 1
        opened = self._open[self.sequence] = OpenLeaseRequest(now, controller, {})
        if controller == self._choice.current:
            self._choice.request_sent(now, self.sequence)
        peer = Peer(controller, self.incarnations.get(controller, 0))
        needs: list[LeaseNeed] = []
        for team, count in wanted.items():
            leases = self._teams.leases[team]
            leases.open_request = self.sequence
            leases.drop_ended(now)
            account = leases.account(peer) if peer.incarnation else DispatcherLease()
            account.reported_total = account.used + account.returned
            outstanding = count + account.transferred
            opened.wanted[team] = RequestedCredit(count, account.reported_total + outstanding)
            needs.append(LeaseNeed(team, account.used, account.returned, outstanding))
        return SendMessage(controller, LeaseRequest(self.sequence, tuple(needs[:MAX_LIST]), peer.incarnation))

    def take_reply(self, sequence: int, controller: str) -> OpenLeaseRequest | None:
        """Remove and return the open request that a reply of `controller` belongs to; None if there is none."""
        opened = self._open.pop(sequence, None)
        if opened is None or opened.controller != controller:
            return None
        return opened

    def close(self, teams: Iterable[str], sequence: int) -> None:
        """Record for these teams that the request `sequence` is no longer open."""
        for team in teams:
            leases = self._teams.leases.get(team)
            if leases is not None and leases.open_request == sequence:
                leases.open_request = None

    def drop_sent_before(self, limit: int) -> None:
        """Drop open requests sent at `limit` or earlier: leases granted by their replies would already have ended."""
        for sequence in [sequence for sequence, opened in self._open.items() if opened.sent <= limit]:
            self.close(self._open.pop(sequence).wanted, sequence)

    def report(self) -> list[SendMessage]:
        """Return a message for each controller that does not know the current totals of used and returned credit."""
        usages: dict[Peer, list[Usage]] = {}
        for team, leases in self._teams.active_leases():
            for peer, account in leases.accounts.items():
                if not account.unreported:
                    continue
                account.reported_total = account.used + account.returned
                if peer != INHERITED and self.incarnations.get(peer.name) == peer.incarnation:
                    usages.setdefault(peer, []).append(Usage(team, account.used, account.returned))
        return [
            SendMessage(peer.name, LeaseReturn(tuple(entries[:MAX_LIST]), peer.incarnation))
            for peer, entries in usages.items()
        ]

    def _wanted(self, now: int, leases: TeamLeases) -> int:
        return min(len(leases.waiting) + self.prefetch_count(now, leases), MAX_REQUESTED)
