"""Estimates the sizes of controllers and voters; benchmarks/fleet measures their cost (docs/results/fleet.md)."""

from __future__ import annotations

from typing import NamedTuple

from benchmarks.capacity.reckon import Reckoning

CONTROLLERS = 19  # one per zone
VOTERS = 7  # one per region
LEASE_TERM_S = 3.0  # assumed; a controller renews its ownership lease with the voters three times per term
RENEWALS_PER_TERM = 3
LEASE_RECORD_BYTES = 200.0  # assumed size of the record of owner, end and term of a shard's lease
STATUS = "reckoned, not yet measured"


class Role(NamedTuple):
    """The estimate for one member of a role at the target, computed from sizes alone."""

    name: str
    members: int
    state: str
    state_bytes: float
    messages_per_s: float  # messages received; the same number is sent
    bytes_per_s: float  # bytes received; the same number is sent
    descriptors: float
    mechanism: str


def controller(reckoning: Reckoning) -> Role:
    """Estimate one of CONTROLLERS, which grants quota leases to the dispatchers of its zone."""
    assumed, teams = reckoning.assumed, reckoning.target.teams
    dispatchers = reckoning.dispatchers / CONTROLLERS
    messages = dispatchers * 1000 / assumed.lease_ms
    size = assumed.lease_message_bytes + assumed.lease_entry_bytes * teams
    return Role(
        "controller",
        CONTROLLERS,
        f"{teams} teams x {dispatchers:.0f} dispatchers x {assumed.lease_entry_bytes:.0f} B",
        teams * dispatchers * assumed.lease_entry_bytes,
        messages,
        messages * size,
        dispatchers + VOTERS,
        "leases of quota, `badgerroad control` (docs/fleet.md); measured in docs/results/fleet.md",
    )


def teams_that_fit(reckoning: Reckoning) -> float:
    """Return how many tenants' entries fit into a message, sent or received, within the byte rate allowed for control."""
    assumed = reckoning.assumed
    bytes_left_per_s = reckoning.target.control_bytes_per_s - reckoning.control_bytes_per_s
    message_bytes = bytes_left_per_s / 2 * assumed.lease_ms / 1000
    return max(message_bytes - assumed.lease_message_bytes, 0.0) / assumed.lease_entry_bytes


def bytes_per_dispatcher(reckoning: Reckoning) -> float:
    """Return bytes per second, sent and received, if each message contains every tenant."""
    assumed = reckoning.assumed
    size = assumed.lease_message_bytes + assumed.lease_entry_bytes * reckoning.target.teams
    return 2 * size * 1000 / assumed.lease_ms


def voter(reckoning: Reckoning) -> Role:
    """Estimate one of VOTERS, which record the owner of each shard of the quotas."""
    renewals = CONTROLLERS * RENEWALS_PER_TERM / LEASE_TERM_S
    return Role(
        "voter",
        VOTERS,
        f"{CONTROLLERS} leases x {LEASE_RECORD_BYTES:.0f} B",
        CONTROLLERS * LEASE_RECORD_BYTES,
        renewals,
        renewals * LEASE_RECORD_BYTES,
        CONTROLLERS + VOTERS - 1,
        "votes on ownership, `badgerroad control` (docs/fleet.md); measured in docs/results/fleet.md",
    )
