"""The teams known to a dispatcher: their leases, which teams are active, and which have no quota."""

from __future__ import annotations

from badgerroad.fleet.messages import MAX_NAME
from badgerroad.fleet.rules.team_leases import TeamLeases

UNKNOWN_TEAM_TTL_US = 1_000_000  # time for which a team is remembered as having no quota
MAX_TEAMS = 4096  # requests of further teams count as over quota without asking a controller


class TeamTable:
    """The leases by team.

    `active`: the teams that may have unused or unreported credit, in order.
    """

    def __init__(self) -> None:
        """Start without teams."""
        self.leases: dict[str, TeamLeases] = {}
        self.active: dict[str, None] = {}
        self._unknown_until: dict[str, int] = {}

    def find(self, now: int, team: str) -> TeamLeases | None:
        """Return the leases of the team, created if there are none; None if it has no quota or is not accepted."""
        leases = self.leases.get(team)
        if leases is not None:
            return leases
        unknown_until = self._unknown_until.get(team)
        if unknown_until is not None and now < unknown_until:
            return None
        if len(self.leases) >= MAX_TEAMS or not 1 <= len(team.encode(errors="replace")) <= MAX_NAME:
            return None
        leases = self.leases[team] = TeamLeases(now)
        return leases

    def active_leases(self) -> list[tuple[str, TeamLeases]]:
        """Return a copy of the list of active teams with their leases."""
        return [(team, self.leases[team]) for team in self.active]

    def mark_active(self, team: str) -> None:
        """Record that the team may have unused or unreported credit."""
        self.active[team] = None

    def mark_without_quota(self, now: int, team: str) -> None:
        """Record that the controller has no quota for the team; its requests are rejected for UNKNOWN_TEAM_TTL_US."""
        leases = self.leases[team]
        leases.rejected_until = now + UNKNOWN_TEAM_TTL_US
        if leases.accounts:
            return
        del self.leases[team]
        self.active.pop(team, None)
        if len(self._unknown_until) >= MAX_TEAMS:
            self._unknown_until.clear()
        self._unknown_until[team] = now + UNKNOWN_TEAM_TTL_US
