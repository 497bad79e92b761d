"""Size of the installation in two years, and assumptions where no figure is given."""

from __future__ import annotations

import math

import msgspec

DAY_S = 86_400


class Target(msgspec.Struct, frozen=True):
    """The given figures."""

    workers: int = 6_600
    accelerators: int = 16_000
    regions: int = 7
    zones: int = 19
    jobs_a_day: int = 110_000
    starts_per_s: float = 450.0
    running_tasks: int = 200_000
    largest_gang: int = 64
    teams: int = 510
    urgent_start_s: float = 6.1
    configurations_a_day: int = 2_600
    configuration_within_s: float = 15.0
    control_core_share: float = 0.015
    control_mb: float = 128.0
    control_bytes_per_s: float = 4_000.0
    control_machines: int = 19
    failures_a_day: int = 53
    restarts_a_day: int = 1_100
    descriptors: int = 1_024
    most_mb: float = 192.0


class Assumptions(msgspec.Struct, frozen=True):
    """Assumed figures; the page shows the effect of halving and doubling each figure."""

    client_share: float = 1 / 3  # share of the descriptors for client connections
    connections_a_task: float = 1.0  # client connections per task, open while the task runs
    requests_a_start: float = 1.0  # requests received per task started
    refusals_a_start: float = 1.0  # rejected requests with a Retry-After value per task started, at the peak
    list_changes_a_restart: float = 3.0  # per restart of a worker: to draining, to gone and to ready
    progress_every_s: float = 10.0  # interval of the progress reports of a running task
    watch_s: float = 1.3  # mean duration of a watch (0.3 to 2.3 s)
    dispatcher_starts_a_day: float = 1_100.0
    rack_workers: int = 40
    lease_ms: float = 500.0  # interval of the messages between a dispatcher and the controller of its zone
    lease_message_bytes: float = 400.0  # size of such a message in each direction, without its entries
    lease_entry_bytes: float = 24.0  # size of the entry of one tenant in a message


TARGET = Target()
ASSUMED = Assumptions()


def dispatchers_needed(target: Target, assumed: Assumptions) -> int:
    """Return the number of dispatchers at which client connections fit into their share of the descriptors."""
    connections = target.running_tasks * assumed.connections_a_task
    return math.ceil(connections / math.floor(target.descriptors * assumed.client_share))
