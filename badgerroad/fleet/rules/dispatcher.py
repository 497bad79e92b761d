"""The dispatcher's side of the quota leases. A request waits for a lease for at most settings.ask_timeout_ms.

Times are microseconds of the caller's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from badgerroad.fleet.messages import LeaseCredit, LeaseGrant, Message
from badgerroad.fleet.rules.actions import Action, Peer, QuotaDecision, Randomness, SendMessage
from badgerroad.fleet.rules.controller_choice import ControllerChoice
from badgerroad.fleet.rules.lease_requests import LeaseRequests, OpenLeaseRequest
from badgerroad.fleet.rules.lease_transfer import LeaseExport, export_leases, import_leases
from badgerroad.fleet.rules.team_leases import DispatcherLease, TeamLeases
from badgerroad.fleet.rules.team_table import TeamTable
from badgerroad.fleet.rules.waiting_requests import WaitingRequests
from badgerroad.fleet.settings import US_PER_MS, FleetSettings

REJECTION_TTL_US = 50_000  # how long a team is rejected at once after a controller granted too little or did not reply
REVIEWS_PER_LEASE = 8  # reviews of all leases per duration of a lease
REPORTS_PER_LEASE = 4  # reports of used requests per duration of a lease


class DispatcherFigures(msgspec.Struct, frozen=True, rename={"lease_requests": "asks", "unused": "held"}):
    """Counters for the statistics log line; `rename` keeps the field names of the log.

    All numbers except `unused` and `waiting` are totals since the start. `over_unanswered` counts the requests of
    `over` for which no controller replied in time.
    """

    controller: str = ""
    within: int = 0
    over: int = 0
    over_unanswered: int = 0
    lease_requests: int = 0
    unused: int = 0
    waiting: int = 0


class DispatcherLeases:
    """Decides for each request of a dispatcher whether it is within its team's quota."""

    def __init__(
        self, settings: FleetSettings, name: str, zone: str, incarnation: int, now: int, random: Randomness
    ) -> None:
        """Start without leases. `incarnation` must be higher than at any earlier start under this name."""
        self._settings = settings
        self._random = random
        self._choice = ControllerChoice(settings, zone, name, now)
        self._teams = TeamTable()
        self._waiting = WaitingRequests()
        self._requests = LeaseRequests(self._teams, self._choice)
        self._lease_us = settings.dispatcher_lease_ms * US_PER_MS
        self._next_review = now + self._lease_us // REVIEWS_PER_LEASE
        self._next_report = now + self._lease_us // REPORTS_PER_LEASE
        self._within = 0
        self._over = 0
        self._unanswered = 0

    def request(self, now: int, request: int, team: str) -> list[Action]:
        """Decide a request of `team`, or queue it until a lease arrives.

        `request`: a number that no other waiting request has.
        """
        leases = self._teams.find(now, team)
        if leases is None:
            return [self._decide(request, True)]
        if leases.take(now):
            self._teams.mark_active(team)
            return [self._decide(request, False), *self._requests.prefetch(now, team, leases)]
        if now < leases.rejected_until:
            return [self._decide(request, True)]
        deadline = now + self._settings.ask_timeout_ms * US_PER_MS
        leases.waiting[request] = deadline
        self._waiting.add(request, team, deadline)
        return self._requests.request(now, [team]) if leases.open_request is None else []

    def receive(self, now: int, sender: Peer, message: Message) -> list[Action]:
        """Handle a message of a controller. Messages of an earlier incarnation of that controller are ignored."""
        incarnations = self._requests.incarnations
        if sender.incarnation < incarnations.get(sender.name, 0):
            return []
        incarnations[sender.name] = sender.incarnation
        if not isinstance(message, LeaseGrant):
            return []
        opened = self._requests.take_reply(message.sequence, sender.name)
        if opened is None:
            return []
        return self._apply_grant(now, sender, opened, message)

    def tick(self, now: int) -> list[Action]:
        """Perform the work that is due. Call at least every settings.tick_ms, and at `next_wakeup`."""
        actions = self._time_out(now)
        if self._choice.tick(now):
            actions += self._requests.request(now, self._waiting.teams())
        if self._choice.should_poll_own(now):
            actions.append(self._requests.send(now, self._choice.own, {}))
        if now >= self._next_review:
            self._next_review = now + self._lease_us // REVIEWS_PER_LEASE
            self._requests.drop_sent_before(now - self._lease_us)
            actions += self._review(now)
        if now >= self._next_report:
            self._next_report = now + self._lease_us // REPORTS_PER_LEASE
            actions += self._requests.report()
        return actions

    def next_wakeup(self) -> int | None:
        """Return the time at which the next waiting request must be decided; None if no request waits."""
        return self._waiting.next_deadline()

    def peer_lost(self, now: int, name: str) -> list[Action]:
        """Handle that the connection to the controller `name` closed or could not be made."""
        self._requests.incarnations.pop(name, None)
        if not self._choice.connection_lost(now, name):
            return []
        return self._requests.request(now, self._waiting.teams())

    def cancel(self, now: int, request: int) -> None:
        """Remove a waiting request whose client disconnected or whose deadline passed."""
        team = self._waiting.remove(request)
        if team is not None:
            self._teams.leases[team].waiting.pop(request, None)

    def release(self, now: int) -> list[SendMessage]:
        """Return all unused credit to the controllers, because the process ends or another process replaces it.

        Afterwards credit is requested only for requests that already wait for a lease.
        """
        self._requests.prefetching = False
        for _, leases in self._teams.active_leases():
            for account in leases.accounts.values():
                account.give_back(account.unused)
        return self._requests.report()

    def export(self, now: int) -> LeaseExport:
        """Export the unused credit for the process that replaces this process. This process may no longer use it."""
        return export_leases(now, self._teams)

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
        """Create the leases from the export of another process.

        `now` must be of the same clock as in `export`, which holds because both processes run on one machine.
        """
        leases = cls(settings, name, zone, incarnation, now, random)
        leases.inherit(now, exported)
        return leases

    def inherit(self, now: int, exported: LeaseExport) -> None:
        """Add the credit exported by another process on this machine."""
        import_leases(now, self._teams, exported)

    def figures(self, now: int) -> DispatcherFigures:
        """Return the current counters for a log line."""
        return DispatcherFigures(
            controller=self._choice.current,
            within=self._within,
            over=self._over,
            over_unanswered=self._unanswered,
            lease_requests=self._requests.sequence,
            unused=sum(leases.unused(now) for _, leases in self._teams.active_leases()),
            waiting=len(self._waiting),
        )

    # Decisions

    def _decide(self, request: int, over_quota: bool) -> QuotaDecision:
        if over_quota:
            self._over += 1
        else:
            self._within += 1
        return QuotaDecision(request, over_quota)

    def _decide_waiting(self, leases: TeamLeases, request: int, over_quota: bool) -> QuotaDecision:
        del leases.waiting[request]
        self._waiting.remove(request)
        return self._decide(request, over_quota)

    def _reject_waiting(self, leases: TeamLeases) -> list[Action]:
        return [self._decide_waiting(leases, request, True) for request in list(leases.waiting)]

    def _time_out(self, now: int) -> list[Action]:
        actions: list[Action] = []
        for request, team in self._waiting.due(now):
            leases = self._teams.leases[team]
            within = leases.take(now)
            if not within:
                self._unanswered += 1
                leases.rejected_until = now + REJECTION_TTL_US
                leases.open_request = None
            actions.append(self._decide_waiting(leases, request, not within))
        return actions

    # Grants

    def _apply_grant(self, now: int, sender: Peer, opened: OpenLeaseRequest, grant: LeaseGrant) -> list[Action]:
        actions: list[Action] = []
        switched_to_own = self._choice.reply_received(sender.name)
        unserved: list[str] = []
        for credit in grant.credits:
            if self._apply_credit(now, sender, opened, credit, actions):
                unserved.append(credit.team)
        self._requests.close(opened.wanted, grant.sequence)
        if switched_to_own:
            unserved = self._waiting.teams()
        return actions + self._requests.request(now, unserved)

    def _apply_credit(
        self, now: int, sender: Peer, opened: OpenLeaseRequest, credit: LeaseCredit, actions: list[Action]
    ) -> bool:
        """Apply the credit of one team and append the decisions on its waiting requests to `actions`.

        Returns whether credit for the team must be requested again.
        """
        leases = self._teams.leases.get(credit.team)
        if leases is None or credit.team not in opened.wanted:
            return False
        if not credit.known:
            actions += self._reject_waiting(leases)
            self._teams.mark_without_quota(now, credit.team)
            return False
        self._extend_lease(now, leases.account(sender), opened, credit)
        self._teams.mark_active(credit.team)
        for request in list(leases.waiting):
            if not leases.take(now):
                break
            actions.append(self._decide_waiting(leases, request, False))
        if credit.granted >= opened.wanted[credit.team].total:
            return bool(leases.waiting)
        leases.no_prefetch_until = now + REJECTION_TTL_US
        if leases.waiting:
            leases.rejected_until = now + REJECTION_TTL_US
        actions += self._reject_waiting(leases)
        return False

    def _extend_lease(self, now: int, account: DispatcherLease, opened: OpenLeaseRequest, credit: LeaseCredit) -> None:
        """Apply the granted total. Credit beyond the requested amount came late or by an error, and is returned."""
        account.drop_ended(now)
        account.take(credit.granted)
        account.give_back(max(0, account.unused - opened.wanted[credit.team].requests))
        if credit.valid_ms:
            account.end = max(account.end, opened.sent + min(credit.valid_ms * US_PER_MS, self._lease_us))

    # Reviews

    def _review(self, now: int) -> list[Action]:
        """Renew leases past half their duration while there is demand; otherwise return their unused credit."""
        renewed: list[str] = []
        for team, leases in self._teams.active_leases():
            leases.drop_ended(now)
            unused = [account for account in leases.accounts.values() if account.unused]
            if not unused and not any(
                account.unreported or account.transferred for account in leases.accounts.values()
            ):
                self._teams.active.pop(team, None)
            elif any(account.end - now < self._lease_us // 2 for account in unused):
                wanted = self._requests.prefetch_count(now, leases)
                _return_surplus(unused, leases.unused(now) - wanted)
                if wanted and leases.open_request is None:
                    renewed.append(team)
        return self._requests.request(now, renewed)


def _return_surplus(accounts: Iterable[DispatcherLease], surplus: int) -> None:
    for account in accounts:
        count = min(max(0, surplus), account.unused)
        account.give_back(count)
        surplus -= count
