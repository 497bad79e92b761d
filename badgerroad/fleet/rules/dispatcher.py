"""A dispatcher's side of the leases: requests wait for a lease for at most settings.ask_timeout_ms."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from badgerroad.fleet.messages import (
    MAX_LIST,
    MAX_NAME,
    LeaseCredit,
    LeaseGrant,
    LeaseNeed,
    LeaseRequest,
    LeaseReturn,
    Message,
    Usage,
)
from badgerroad.fleet.rules.actions import Action, Peer, QuotaDecision, Randomness, SendMessage
from badgerroad.fleet.rules.controller_choice import ControllerChoice
from badgerroad.fleet.rules.team_leases import INHERITED, DispatcherLease, TeamLeases
from badgerroad.fleet.settings import US_PER_MS, FleetSettings

REJECTED_FOR_US = 50_000  # microseconds for which a refusal is remembered
UNKNOWN_TEAM_FOR_US = 1_000_000  # microseconds for which it is remembered that a team has no quota
REVIEWS_PER_LEASE = 8  # in a lease's time: looks at leases that end
REPORTS_PER_LEASE = 4  # in a lease's time: reports of what was used
MAX_REQUESTED = 1_000_000  # requests in one ask
MAX_TEAMS = 4096  # further ones are over quota without asking


class DispatcherFigures(msgspec.Struct, frozen=True, rename={"lease_requests": "asks", "unused": "held"}):
    """For log lines. Counts are totals since the start, but `held` and `waiting`. `over_unanswered`: those of `over`
    that nobody answered in time."""

    controller: str = ""
    within: int = 0
    over: int = 0
    over_unanswered: int = 0
    lease_requests: int = 0
    unused: int = 0
    waiting: int = 0


class ExportedLease(msgspec.Struct, frozen=True):
    """`end`: microseconds of the machine's monotonic clock."""

    team: str
    count: int
    end: int


class LeaseExport(msgspec.Struct, frozen=True):
    """What passes to the process that takes over."""

    leases: tuple[ExportedLease, ...] = ()


class RequestedCredit(NamedTuple):
    """How many requests were asked for, and the total that would have to be granted for that."""

    requests: int
    total: int


class OpenLeaseRequest(NamedTuple):
    """A LeaseRequest that is open."""

    sent: int
    controller: str
    wanted: dict[str, RequestedCredit]


class DispatcherLeases:
    def __init__(
        self, settings: FleetSettings, name: str, zone: str, incarnation: int, now: int, random: Randomness
    ) -> None:
        """Times are microseconds. `incarnation` must be higher than at any earlier start under this name."""
        self._settings = settings
        self._random = random
        self._choice = ControllerChoice(settings, zone, name, now)
        self._incarnations: dict[str, int] = {}
        self._teams: dict[str, TeamLeases] = {}
        self._unknown: dict[str, int] = {}
        self._active: dict[str, None] = {}  # in order: teams that may hold something, or have something to report
        self._waiting: dict[int, str] = {}
        self._deadlines: deque[tuple[int, int]] = deque()
        self._asks: dict[int, OpenLeaseRequest] = {}
        self._sequence = 0
        self._lease = settings.dispatcher_lease_ms * US_PER_MS
        self._next_review = now + self._lease // REVIEWS_PER_LEASE
        self._next_report = now + self._lease // REPORTS_PER_LEASE
        self._released = False
        self._within = self._over = self._unanswered = 0

    def request(self, now: int, request: int, team: str) -> list[Action]:
        """`request`: a number unique among those that wait."""
        leases = self._known_team(now, team)
        if leases is None:
            return [self._decide(request, True)]
        if leases.take(now):
            self._active[team] = None
            return [self._decide(request, False), *self._prefetch(now, team, leases)]
        if now < leases.rejected_until:
            return [self._decide(request, True)]
        deadline = now + self._settings.ask_timeout_ms * US_PER_MS
        leases.waiting[request] = deadline
        self._waiting[request] = team
        self._deadlines.append((deadline, request))
        return self._ask(now, [team]) if leases.open_request is None else []

    def receive(self, now: int, sender: Peer, message: Message) -> list[Action]:
        known = self._incarnations.get(sender.name, 0)
        if sender.incarnation < known:
            return []
        self._incarnations[sender.name] = sender.incarnation
        if not isinstance(message, LeaseGrant):
            return []
        ask = self._asks.pop(message.sequence, None)
        if ask is None or ask.controller != sender.name:
            return []
        actions: list[Action] = []
        returned = self._choice.reply_received(sender.name)
        again = [team for credit in message.credits for team in self._take(now, sender, ask, credit, actions)]
        for team in ask.wanted:
            self._close_ask(team, message.sequence)
        if returned:
            again = self._waiting_teams()
        return actions + self._ask(now, again)

    def tick(self, now: int) -> list[Action]:
        """To be called at least every settings.tick_ms, and at `next_wakeup`."""
        actions = self._time_out(now)
        if self._choice.tick(now):
            actions += self._ask(now, self._waiting_teams())
        if self._choice.should_poll_own(now):
            actions.append(self._send_ask(now, self._choice.own, {}))
        if now >= self._next_review:
            self._next_review = now + self._lease // REVIEWS_PER_LEASE
            self._forget_asks(now)
            actions += self._review(now)
        if now >= self._next_report:
            self._next_report = now + self._lease // REPORTS_PER_LEASE
            actions += self._report()
        return actions

    def next_wakeup(self) -> int | None:
        """When a waiting request must be decided."""
        while self._deadlines and self._deadlines[0][1] not in self._waiting:
            self._deadlines.popleft()
        return self._deadlines[0][0] if self._deadlines else None

    def peer_lost(self, now: int, name: str) -> list[Action]:
        self._incarnations.pop(name, None)
        if not self._choice.connection_lost(now, name):
            return []
        return self._ask(now, self._waiting_teams())

    def cancel(self, now: int, request: int) -> None:
        """The client of a waiting request left."""
        team = self._waiting.pop(request, None)
        if team is not None:
            self._teams[team].waiting.pop(request, None)

    def release(self, now: int) -> list[SendMessage]:
        """What is held goes back: the process ends, or another takes over. Later requests are asked for one by one."""
        self._released = True
        for team in self._active:
            for account in self._teams[team].accounts.values():
                account.give_back(account.unused)
        return self._report()

    def export(self, now: int) -> LeaseExport:
        """What the process that takes over goes on with; nothing of it is held here any more."""
        exported: list[ExportedLease] = []
        for team in self._active:
            for account in self._teams[team].accounts.values():
                account.drop_ended(now)
                if account.unused:
                    exported.append(ExportedLease(team, account.transfer(), account.end))
        return LeaseExport(tuple(exported))

    @classmethod
    def restore(
        cls,
        settings: FleetSettings,
        name: str,
        zone: str,
        incarnation: int,
        now: int,
        random: Randomness,
        exported: LeaseExport,
    ) -> DispatcherLeases:
        """The other end of `export`. `now`: of the same clock (both processes run on one machine)."""
        leases = cls(settings, name, zone, incarnation, now, random)
        leases.inherit(now, exported)
        return leases

    def inherit(self, now: int, exported: LeaseExport) -> None:
        """Takes over what another process on this machine held."""
        for lease in exported.leases:
            account = self._teams.setdefault(lease.team, TeamLeases(now)).account(INHERITED)
            account.drop_ended(now)
            account.take(account.granted + lease.count)
            account.end = min(account.end, lease.end) if account.unused > lease.count else lease.end
            self._active[lease.team] = None

    def figures(self, now: int) -> DispatcherFigures:
        return DispatcherFigures(
            controller=self._choice.current,
            within=self._within,
            over=self._over,
            over_unanswered=self._unanswered,
            lease_requests=self._sequence,
            unused=sum(self._teams[team].unused(now) for team in self._active),
            waiting=len(self._waiting),
        )

    # Requests

    def _known_team(self, now: int, team: str) -> TeamLeases | None:
        """None if the team is known to have no quota, or can't have one."""
        leases = self._teams.get(team)
        if leases is not None:
            return leases
        until = self._unknown.get(team)
        if until is not None and now < until:
            return None
        if len(self._teams) >= MAX_TEAMS or not 1 <= len(team.encode(errors="replace")) <= MAX_NAME:
            return None
        leases = self._teams[team] = TeamLeases(now)
        return leases

    def _decide(self, request: int, over_quota: bool) -> QuotaDecision:
        if over_quota:
            self._over += 1
        else:
            self._within += 1
        return QuotaDecision(request, over_quota)

    def _decide_waiting(self, leases: TeamLeases, request: int, over_quota: bool) -> QuotaDecision:
        del leases.waiting[request]
        del self._waiting[request]
        return self._decide(request, over_quota)

    def _waiting_teams(self) -> list[str]:
        return list(dict.fromkeys(self._waiting.values()))

    def _time_out(self, now: int) -> list[Action]:
        actions: list[Action] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request = self._deadlines.popleft()
            team = self._waiting.get(request)
            if team is None:
                continue
            leases = self._teams[team]
            within = leases.take(now)
            if not within:
                self._unanswered += 1
                leases.rejected_until = now + REJECTED_FOR_US
                leases.open_request = None
            actions.append(self._decide_waiting(leases, request, not within))
        return actions

    # Asks

    def _prefetch(self, now: int, team: str, leases: TeamLeases) -> list[Action]:
        """Asks before the last is used, if there is demand."""
        wanted = leases.prefetch(now)
        if self._released or leases.open_request is not None or now < leases.no_prefetch_until:
            return []
        if leases.unused(now) * 2 >= wanted:
            return []
        return self._ask(now, [team])

    def _ask(self, now: int, teams: Iterable[str]) -> list[Action]:
        wanted = {team: self._wanted(now, self._teams[team]) for team in teams if team in self._teams}
        if not wanted:
            return []
        return [self._send_ask(now, self._choice.current, wanted)]

    def _wanted(self, now: int, leases: TeamLeases) -> int:
        prefetch = 0 if self._released else leases.prefetch(now)
        return min(len(leases.waiting) + prefetch, MAX_REQUESTED)

    def _send_ask(self, now: int, controller: str, wanted: dict[str, int]) -> SendMessage:
        """At most MAX_LIST teams; there are no more."""
        self._sequence += 1
        ask = self._asks[self._sequence] = OpenLeaseRequest(now, controller, {})
        if controller == self._choice.current:
            self._choice.request_sent(now, self._sequence)
        peer = Peer(controller, self._incarnations.get(controller, 0))
        needs: list[LeaseNeed] = []
        for team, count in wanted.items():
            leases = self._teams[team]
            leases.open_request = self._sequence
            leases.drop_ended(now)
            account = leases.account(peer) if peer.incarnation else DispatcherLease()
            account.reported_total = account.used + account.returned
            outstanding = count + account.transferred
            ask.wanted[team] = RequestedCredit(count, account.reported_total + outstanding)
            needs.append(LeaseNeed(team, account.used, account.returned, outstanding))
        return SendMessage(controller, LeaseRequest(self._sequence, tuple(needs[:MAX_LIST]), peer.incarnation))

    def _take(
        self, now: int, sender: Peer, ask: OpenLeaseRequest, credit: LeaseCredit, actions: list[Action]
    ) -> list[str]:
        """Serves what waits. Returns the team if it has to be asked for again."""
        leases = self._teams.get(credit.team)
        if leases is None or credit.team not in ask.wanted:
            return []
        if not credit.known:
            actions += self._forget_team(now, credit.team, leases)
            return []
        account = leases.account(sender)
        wanted = ask.wanted[credit.team]
        account.drop_ended(now)
        account.take(credit.granted)
        account.give_back(max(0, account.unused - wanted.requests))  # more than was asked for is an error or came late
        if credit.valid_ms:
            account.end = max(account.end, ask.sent + min(credit.valid_ms * US_PER_MS, self._lease))
        self._active[credit.team] = None
        fulfilled = credit.granted >= wanted.total
        for request in list(leases.waiting):
            if not leases.take(now):
                break
            actions.append(self._decide_waiting(leases, request, False))
        if fulfilled:
            return [credit.team] if leases.waiting else []
        leases.no_prefetch_until = now + REJECTED_FOR_US
        if leases.waiting:
            leases.rejected_until = now + REJECTED_FOR_US
        actions += [self._decide_waiting(leases, request, True) for request in list(leases.waiting)]
        return []

    def _forget_team(self, now: int, team: str, leases: TeamLeases) -> list[Action]:
        """The team has no quota."""
        actions: list[Action] = [self._decide_waiting(leases, request, True) for request in list(leases.waiting)]
        leases.rejected_until = now + UNKNOWN_TEAM_FOR_US
        if not leases.accounts:
            del self._teams[team]
            self._active.pop(team, None)
            if len(self._unknown) >= MAX_TEAMS:
                self._unknown.clear()
            self._unknown[team] = now + UNKNOWN_TEAM_FOR_US
        return actions

    def _close_ask(self, team: str, sequence: int) -> None:
        leases = self._teams.get(team)
        if leases is not None and leases.open_request == sequence:
            leases.open_request = None

    def _forget_asks(self, now: int) -> None:
        """Answers to asks older than any lease are worth nothing."""
        for sequence in [sequence for sequence, ask in self._asks.items() if now - ask.sent >= self._lease]:
            for team in self._asks.pop(sequence).wanted:
                self._close_ask(team, sequence)

    # Leases held

    def _review(self, now: int) -> list[Action]:
        """Leases past half their time are renewed if there is demand, or else what is left of them goes back."""
        renewed: list[str] = []
        for team in list(self._active):
            leases = self._teams[team]
            leases.drop_ended(now)
            held = [account for account in leases.accounts.values() if account.unused]
            if not held and not any(account.unreported or account.transferred for account in leases.accounts.values()):
                self._active.pop(team, None)
            elif any(account.end - now < self._lease // 2 for account in held):
                wanted = 0 if self._released else leases.prefetch(now)
                self._give_back(held, leases.unused(now) - wanted)
                if wanted:
                    renewed.append(team)
        return self._ask(now, [team for team in renewed if self._teams[team].open_request is None])

    def _give_back(self, accounts: Iterable[DispatcherLease], surplus: int) -> None:
        for account in accounts:
            count = min(max(0, surplus), account.unused)
            account.give_back(count)
            surplus -= count

    def _report(self) -> list[SendMessage]:
        """Totals that controllers don't know yet, one message to each."""
        usages: dict[Peer, list[Usage]] = {}
        for team in self._active:
            for peer, account in self._teams[team].accounts.items():
                if not account.unreported:
                    continue
                account.reported_total = account.used + account.returned
                if peer != INHERITED and self._incarnations.get(peer.name) == peer.incarnation:
                    usages.setdefault(peer, []).append(Usage(team, account.used, account.returned))
        return [
            SendMessage(peer.name, LeaseReturn(tuple(entries[:MAX_LIST]), peer.incarnation))
            for peer, entries in usages.items()
        ]
