"""The transfer of unused credit from one process of a dispatcher to the process that replaces it."""

from __future__ import annotations

import msgspec

from badgerroad.fleet.rules.team_leases import INHERITED, TeamLeases
from badgerroad.fleet.rules.team_table import TeamTable


class ExportedLease(msgspec.Struct, frozen=True):
    """Unused credit of one team: `count` requests, valid until `end` (microseconds of the monotonic clock)."""

    team: str
    count: int
    end: int


class LeaseExport(msgspec.Struct, frozen=True):
    """All unused credit of a process."""

    leases: tuple[ExportedLease, ...] = ()


def export_leases(now: int, teams: TeamTable) -> LeaseExport:
    """Export all unused credit. This process may no longer use it."""
    exported: list[ExportedLease] = []
    for team, leases in teams.active_leases():
        for account in leases.accounts.values():
            account.drop_ended(now)
            if account.unused:
                exported.append(ExportedLease(team, account.transfer(), account.end))
    return LeaseExport(tuple(exported))


def import_leases(now: int, teams: TeamTable, exported: LeaseExport) -> None:
    """Add the credit exported by another process on this machine."""
    for lease in exported.leases:
        account = teams.leases.setdefault(lease.team, TeamLeases(now)).account(INHERITED)
        account.drop_ended(now)
        account.take(account.granted + lease.count)
        account.end = min(account.end, lease.end) if account.unused > lease.count else lease.end
        teams.mark_active(lease.team)
