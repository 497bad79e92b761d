"""The teams that a dispatcher knows: their leases, which of them are active, and which have no quota."""

from __future__ import annotations

from badgerroad.fleet.messages import MAX_NAME
from badgerroad.fleet.rules.team_leases import TeamLeases

UNKNOWN_TEAM_FOR_US = 1_000_000  # how long it is remembered that a team has no quota
MAX_TEAMS = 4096  # requests of further teams are over quota without asking


class TeamTable:
    """`leases` by team. `active`: in order, the teams that may have unused or unreported credit."""

    def __init__(self) -> None:
        """Start without teams."""
        self.leases: dict[str, TeamLeases] = {}
        self.active: dict[str, None] = {}
        self._unknown_until: dict[str, int] = {}

    def find(self, now: int, team: str) -> TeamLeases | None:
        """The leases of the team, created if there are none; None if it has no quota or cannot have one."""
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
        """The active teams with their leases; the list is a copy."""
        return [(team, self.leases[team]) for team in self.active]

    def mark_active(self, team: str) -> None:
        """The team may have unused or unreported credit from now on."""
        self.active[team] = None

    def mark_without_quota(self, now: int, team: str) -> None:
        """The controller knows no quota of the team: reject its requests for UNKNOWN_TEAM_FOR_US."""
        leases = self.leases[team]
        leases.rejected_until = now + UNKNOWN_TEAM_FOR_US
        if leases.accounts:
            return
        del self.leases[team]
        self.active.pop(team, None)
        if len(self._unknown_until) >= MAX_TEAMS:
            self._unknown_until.clear()
        self._unknown_until[team] = now + UNKNOWN_TEAM_FOR_US
