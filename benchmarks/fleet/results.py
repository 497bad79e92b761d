"""Results of a run as typed records that are stored as JSON."""

from __future__ import annotations

import msgspec


class Cost(msgspec.Struct):
    """Cost of one kind of process over the measured time.

    CPU shares are of one core; bytes and messages are per second, in and out.
    """

    cpu_share: float
    cpu_share_most: float
    bytes_s: float
    messages_s: float
    resident_mib: float
    resident_mib_most: float


class Recovery(msgspec.Struct):
    """Recovery of some teams' use of their quotas after a fault, a change of the quotas, or the start of the fleet.

    `of`: the teams. `since`: the event from which the time counts. `seconds`: time from `since` until the teams use
    at least `oracle.FULL_USE` of their quotas, or of the offered load if that is lower. After a reduction of quotas, it
    is the time until they use at most 1.05 times the new quotas. None if this did not occur in the measured time.
    `use_before`: use before the event. `use_least`: lowest use in any window of 2 s after it. Both are fractions of the
    quotas or of the offered load, as above.
    """

    of: str
    since: str
    seconds: float | None
    use_before: float
    use_least: float


class Result(msgspec.Struct):
    """Result of one run of one scenario. Shares are fractions of 1; times are in seconds unless named otherwise."""

    scenario: str
    what: str
    dispatchers: int
    seed: int
    warm_s: float
    seconds: float
    requests: int
    undecided: int
    offered: float
    over_share: float
    use_share: float
    use_window_least: float
    use_window_most: float
    over_share_small: float
    over_share_large: float
    overshoot_team: str
    overshoot: float
    bound: float
    bound_broken: bool
    wait_ms_median: float
    wait_ms_p99: float
    wait_ms_most: float
    recoveries: list[Recovery]
    dispatcher: Cost
    controller: Cost
    late_arrival_ms: float
    frames_doubled: int
    frames_delayed: int
    connections_dropped: int
    memory_mib: int
    notes: list[str] = []
    topology: str = "zone"
    commit: str = ""


class Aim(msgspec.Struct):
    """A target and the measured figure. `reached`: None if it was not measured."""

    name: str
    aim: str
    figure: str
    reached: bool | None


class Document(msgspec.Struct):
    """Content of docs/results/fleet.json: the last result per scenario, number of dispatchers and topology."""

    results: list[Result]
