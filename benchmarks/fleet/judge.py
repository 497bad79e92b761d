"""Evaluates the observations of one run. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from badgerroad.fleet.settings import FleetSettings

from . import children, layout, oracle, traffic
from .installation import Ended
from .results import Cost, Recovery, Result
from .scenarios import COLD, ChangeQuotas, CutRegion, KillOwner, LoseZone, RestartDispatchers, Scenario, StopOwner

MIB = 1 << 20
LARGE_QUOTA = 1.0  # requests per second; teams with a higher quota count as large, the others as small
QUOTA_CHANGE_LIMIT_S = 15.0  # time until a changed quota is in force everywhere
RESERVE_LATE_S = 2.0  # seconds of a zone's share added to the stock of its reserve (docs/fleet.md, Bounds)
LOWERED_USE_LIMIT = 1.05  # multiple of the new quota: a lower quota is in force once usage is at most this


class Outcome(NamedTuple):
    """Observations of one run. `records`: (time, team, dispatcher, over, wait in microseconds), sorted by time."""

    scenario: Scenario
    dispatchers: int
    seed: int
    topology: str
    places: list[layout.Place]
    quotas: list[float]
    changed_quotas: list[float] | None
    epoch: float
    owners: dict[int, str]
    first_owner: str
    controller_marks: list[dict[str, children.Usage]]
    ended: Ended
    records: list[Any]
    memory: int
    notes: list[str]


class Judge:
    """Evaluates one run from its decisions."""

    def __init__(self, outcome: Outcome) -> None:
        self.outcome = outcome
        self.scenario = outcome.scenario
        self.settings = FleetSettings(controllers=())
        self.start = outcome.epoch + outcome.scenario.warm_s
        self.end = self.start + outcome.scenario.seconds
        self.decisions = [
            oracle.Decision(at, team, bool(over)) for at, team, _, over, _ in outcome.records if at >= self.start
        ]
        self.times = oracle.times_within(self.decisions, len(outcome.quotas))

    # The bound on requests within quota.

    @property
    def zones_cut_off(self) -> int:
        fault = self.scenario.fault
        if not isinstance(fault, CutRegion):
            return 0
        return sum(place.region == fault.region for place in self.outcome.places)

    def depth(self, quota: float) -> float:
        """Return how many requests a team may have beyond quota * length in any window."""
        zones = len(self.outcome.places)
        part = self.settings.reserve_share * quota / zones
        reserve = max(1.0, part) + RESERVE_LATE_S * part
        bucket = self.settings.requests_per_zone * zones + self.settings.burst_s * quota
        return bucket + self.zones_cut_off * reserve

    def changes(self, team: int) -> list[oracle.RateChange]:
        """Return the changes of a team's quota: a lower one applies once it must be in force, a higher one at once."""
        quota, fault = self.outcome.quotas[team], self.scenario.fault
        changes = [oracle.RateChange(0.0, quota)]
        if isinstance(fault, ChangeQuotas) and self.outcome.changed_quotas is not None:
            lowered = self.start + fault.at + QUOTA_CHANGE_LIMIT_S
            changes.append(oracle.RateChange(lowered, self.outcome.changed_quotas[team]))
            changes.append(oracle.RateChange(self.start + fault.at + fault.seconds, quota))
        return changes

    def worst(self) -> oracle.Overshoot:
        quotas = self.outcome.quotas
        depths = [self.depth(quota) for quota in quotas]
        return oracle.worst_overshoot(self.times, [self.changes(team) for team in range(len(quotas))], depths)

    # Shares.

    def used_by(self, teams: Iterable[int]) -> list[float]:
        """Return the times of the given teams' requests within quota, ascending, in seconds of the shared clock."""
        return sorted(at for team in teams for at in self.times[team])

    def over_share_of(self, teams: set[int]) -> float:
        selected = [decision for decision in self.decisions if decision.team in teams]
        return oracle.over_share(selected, self.start, self.end)

    def undecided(self) -> int:
        """Return the number of requests without a decision, except those waiting at a killed dispatcher."""
        reports = self.outcome.ended.hollow
        return sum(report.arrivals - report.lost for report in reports) - len(self.outcome.records)

    # Recoveries.

    def recoveries(self) -> list[Recovery]:
        fault = self.scenario.fault
        all_teams = set(range(len(self.outcome.quotas)))
        if isinstance(fault, KillOwner | StopOwner):
            teams = self.teams_of(self.outcome.first_owner)
            found = [self.recovery("teams of that owner", "the fault", teams, fault.at)]
            return found + [self.recovery("all teams", "the fault", all_teams, fault.at)]
        if isinstance(fault, CutRegion):
            end = fault.at + fault.seconds
            return [
                self.recovery("all teams", "the cut", all_teams, fault.at, end),
                self.recovery("all teams", "the end of the cut", all_teams, end),
            ]
        if isinstance(fault, RestartDispatchers | LoseZone):
            return [self.recovery("all teams", "the fault", all_teams, fault.at)]
        if self.scenario.name == COLD:
            return [self.recovery("all teams", "the first owner", all_teams, 0)]
        if isinstance(fault, ChangeQuotas):
            return [self.lowered(fault), self.recovery_of_raised(fault)]
        return []

    def teams_of(self, owner: str) -> set[int]:
        """Return the teams of all shards that the controller owned at the start."""
        names = traffic.team_names(len(self.outcome.quotas))
        return {n for n, name in enumerate(names) if self.outcome.owners[self.settings.shard_of(name)] == owner}

    def recovery(self, of: str, since: str, teams: set[int], at: float, until: float | None = None) -> Recovery:
        """Return the time to full use of the teams' quotas, or of the offered load where that is lower."""
        ordered = self.used_by(teams)
        quota = sum(self.outcome.quotas[team] for team in teams) * min(1.0, self.scenario.load)
        fault = self.start + at
        end = self.end if until is None else self.start + until
        seconds = oracle.time_to_full_use(ordered, fault, end, quota)
        before = oracle.use(ordered, self.start, fault, quota)
        return Recovery(of, since, seconds, before, oracle.least_use(ordered, fault, end, quota))

    def lowered(self, fault: ChangeQuotas) -> Recovery:
        """Return the time until usage was no higher than the lowered quotas."""
        assert self.outcome.changed_quotas is not None
        quota = sum(self.outcome.changed_quotas[: fault.teams])
        ordered = self.used_by(range(fault.teams))
        at, end = self.start + fault.at, self.start + fault.at + fault.seconds
        seconds = oracle.time_to_use_at_most(ordered, at, end, quota * LOWERED_USE_LIMIT)
        before = oracle.use(ordered, self.start, at, quota)
        return Recovery(
            f"{fault.teams} teams", "the lower quota", seconds, before, oracle.least_use(ordered, at, end, quota)
        )

    def recovery_of_raised(self, fault: ChangeQuotas) -> Recovery:
        at = fault.at + fault.seconds
        return self.recovery(f"{fault.teams} teams", "the higher quota", set(range(fault.teams)), at)

    # Costs.

    def dispatcher_cost(self) -> Cost:
        reports, count = self.outcome.ended.hollow, self.outcome.dispatchers
        shares, bytes_s, messages_s, resident = [], 0.0, 0.0, 0
        for number, report in enumerate(reports):
            first, last = report.marks[0], report.marks[-1]
            seconds = last.at - first.at
            members = len(range(number, count, len(reports)))
            shares.append((last.cpu_s - first.cpu_s) / seconds / members)
            bytes_s += traffic_bytes(last.traffic) - traffic_bytes(first.traffic)
            messages_s += traffic_messages(last.traffic) - traffic_messages(first.traffic)
            resident += last.resident - report.resident_before
        seconds = self.scenario.seconds
        mean = sum(shares) / len(shares)
        slope = resident / count / MIB
        return Cost(mean, max(shares), bytes_s / seconds / count, messages_s / seconds / count, slope, slope)

    def controller_cost(self) -> Cost:
        first, last = self.outcome.controller_marks[0], self.outcome.controller_marks[-1]
        seconds = self.scenario.seconds
        lasting = [name for name in last if name in first and last[name].cpu_s >= first[name].cpu_s]
        shares = [(last[name].cpu_s - first[name].cpu_s) / seconds for name in lasting]
        resident = [last[name].resident / MIB for name in last]
        bytes_s, messages_s = self.relayed_traffic()
        return Cost(
            sum(shares) / len(shares),
            max(shares),
            bytes_s / seconds / len(self.outcome.places),
            messages_s / seconds / len(self.outcome.places),
            sum(resident) / len(resident),
            max(resident),
        )

    def relayed_traffic(self) -> tuple[float, float]:
        """Return bytes and messages in and out of all controllers; those between two controllers count twice."""
        total_bytes = total_messages = 0
        for snapshots in self.outcome.ended.relays:
            for before, after in zip(snapshots[0].counts, snapshots[-1].counts, strict=False):
                ends = 2 if after.role == "controller" else 1
                total_bytes += ends * (after.up_bytes + after.down_bytes - before.up_bytes - before.down_bytes)
                total_messages += ends * (after.up_frames + after.down_frames - before.up_frames - before.down_frames)
        return total_bytes, total_messages

    # The result.

    def result(self) -> Result:
        outcome, quotas = self.outcome, self.outcome.quotas
        total = sum(quotas)
        everything = self.used_by(range(len(quotas)))
        lowest, highest = oracle.worst_use(everything, self.start, self.end, total)
        worst = self.worst()
        waits = sorted(wait / 1000 for _, _, _, _, wait in outcome.records) or [0.0]
        large = {team for team, quota in enumerate(quotas) if quota > LARGE_QUOTA}
        counts = [count for snapshots in outcome.ended.relays for count in snapshots[-1].counts]
        requests = sum(self.start <= decision.at < self.end for decision in self.decisions)
        return Result(
            scenario=self.scenario.name,
            what=self.scenario.what,
            dispatchers=outcome.dispatchers,
            seed=outcome.seed,
            warm_s=self.scenario.warm_s,
            seconds=self.scenario.seconds,
            requests=requests,
            undecided=self.undecided(),
            offered=requests / self.scenario.seconds / total,
            over_share=oracle.over_share(self.decisions, self.start, self.end),
            use_share=oracle.use(everything, self.start, self.end, total),
            use_window_least=lowest,
            use_window_most=highest,
            over_share_small=self.over_share_of(set(range(len(quotas))) - large),
            over_share_large=self.over_share_of(large),
            overshoot_team=traffic.team_names(len(quotas))[worst.team],
            overshoot=worst.requests,
            bound=worst.depth,
            bound_broken=worst.beyond > 0,
            wait_ms_median=waits[len(waits) // 2],
            wait_ms_p99=waits[int(len(waits) * 0.99)],
            wait_ms_most=waits[-1],
            recoveries=self.recoveries(),
            dispatcher=self.dispatcher_cost(),
            controller=self.controller_cost(),
            late_arrival_ms=max(report.latest_s for report in outcome.ended.hollow) * 1000,
            frames_doubled=sum(count.doubled for count in counts),
            frames_delayed=sum(count.delayed for count in counts),
            connections_dropped=sum(count.dropped for count in counts),
            memory_mib=outcome.memory >> 20,
            notes=outcome.notes,
            topology=outcome.topology,
        )


def traffic_bytes(counted: Any) -> int:
    return int(counted.bytes_in + counted.bytes_out)


def traffic_messages(counted: Any) -> int:
    return int(counted.messages_in + counted.messages_out)
