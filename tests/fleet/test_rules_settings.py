"""The validation of a fleet's settings."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rules_setup import fleet, one_region

from badgerroad.fleet.settings import Controller, FleetSettings, FleetSettingsError


def controllers(*rows: tuple[str, str, str, bool]) -> tuple[Controller, ...]:
    return tuple(Controller(name, zone, region, "h", 1, voter) for name, zone, region, voter in rows)


@pytest.mark.parametrize(
    ("field", "members"),
    [
        ("controllers", ()),
        ("controllers.name", controllers(("a", "z1", "r1", True), ("a", "z2", "r2", True))),
        ("controllers.zone", controllers(("a", "z", "r1", True), ("b", "z", "r2", True))),
        ("controllers.voter", controllers(("a", "z1", "r", True), ("b", "z2", "r", True))),
        ("controllers.voter", controllers(("a", "z1", "r", False))),
        ("controllers.name", controllers(("ä" * 33, "z", "r", True))),
        ("controllers.region", controllers(("a", "z", "", True))),
    ],
)
def test_invalid_members_are_rejected_by_field(field: str, members: tuple[Controller, ...]) -> None:
    with pytest.raises(FleetSettingsError) as raised:
        FleetSettings(controllers=members).check()
    assert raised.value.field == field
    assert raised.value.code == "fleet-settings"


@pytest.mark.parametrize(
    ("field", "changes"),
    [
        ("ownership_lease_ms", {"ownership_lease_ms": 3000}),
        ("quota_lease_ms", {"quota_lease_ms": 1000, "dispatcher_lease_ms": 500}),
        ("quota_lease_ms", {"dispatcher_lease_ms": 3000}),
        ("dispatcher_lease_ms", {"ask_timeout_ms": 2000}),
        ("renew_ms", {"renew_ms": 50}),
        ("lending_ms", {"lending_ms": 1500}),
    ],
)
def test_contradictory_durations_are_rejected_by_field(field: str, changes: dict[str, Any]) -> None:
    with pytest.raises(FleetSettingsError) as raised:
        fleet(**changes)
    assert raised.value.field == field


def test_majority_is_counted_over_one_voter_per_region() -> None:
    assert fleet(7).majority == 4
    assert one_region(3).majority == 1


@given(st.integers(1, 600_000_000))
def test_shortened_duration_does_not_outlast_the_grantors_own_lease(left: int) -> None:
    settings = fleet()
    assert settings.longer(settings.shorter(left)) <= left + 1


@given(st.integers(1, 600_000_000), st.floats(0.99, 1.01), st.floats(0.99, 1.01))
def test_grantor_waits_longer_than_the_holder_with_clocks_one_percent_off(
    duration: int, one: float, other: float
) -> None:
    assert fleet().longer(duration) / one >= duration / other


def test_carried_over_credit_never_reaches_the_owner_after_the_next() -> None:
    """The carry time (by a clock one percent slow) plus the time for votes is shorter than the shortest term."""
    settings = fleet()
    assert settings.longer(settings.carry_ms) + settings.claim_ms < settings.ownership_lease_ms
