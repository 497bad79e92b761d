"""The settings on which all controllers and dispatchers of a fleet must agree. Durations end in `_ms` or `_s`."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from functools import cached_property
from typing import Annotated
from zlib import crc32

import msgspec

from badgerroad.errors import BadgerroadError
from badgerroad.fleet.messages import MAX_LIST, MAX_NAME

US_PER_MS = 1000
MAX_CONTROLLERS = 256
# Shares of the ownership lease. Their sum must stay well below 1, so that credit carried over reaches only the next
# owner and never a later one.
CARRY_SHARE = 0.85  # time after the end of a zone's session for which the zone may carry credit to the next owner
CLAIM_SHARE = 0.1  # time for which a candidate waits for votes, as a share of the ownership lease

Duration = Annotated[int, msgspec.Meta(ge=1, le=600_000)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class FleetSettingsError(BadgerroadError, ValueError):
    """A value of the fleet's settings is invalid. `field` names the setting."""

    code = "fleet-settings"
    remedy = "correct the named field of the [fleet] table; it must be the same on all controllers and dispatchers"

    def __init__(self, field: str, reason: str) -> None:
        """`field`: the name of the setting in the `[fleet]` table. `reason`: why its value is invalid."""
        super().__init__(f"fleet.{field}: {reason}")
        self.field = field


class Controller(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of one controller.

    `voter`: whether it votes on the ownership of shards; exactly one controller per region does.
    """

    name: str
    zone: str
    region: str
    host: str
    port: Port
    voter: bool = False


class FleetSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, dict=True):
    """All settings of the rules.

    `clock_margin`: the share by which the granting side counts leases longer. A machine's clock rate may be wrong by r
    as long as (1 + r) / (1 - r) - 1 is within the margin; the minimum of 0.0203 allows 1% in either direction.
    """

    controllers: tuple[Controller, ...]
    shards: Annotated[int, msgspec.Meta(ge=1, lt=MAX_LIST)] = 19
    ownership_lease_ms: Duration = 5000
    renew_ms: Duration = 1000
    quota_lease_ms: Duration = 3000
    dispatcher_lease_ms: Duration = 2000
    ask_timeout_ms: Duration = 20
    lending_ms: Duration = 5000
    reserve_share: Annotated[float, msgspec.Meta(ge=0, le=0.9)] = 0.2
    burst_s: Annotated[float, msgspec.Meta(ge=0, le=60)] = 2.0
    requests_per_zone: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 2
    clock_margin: Annotated[float, msgspec.Meta(ge=0.0203, le=0.1)] = 0.025
    tick_ms: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 50

    def check(self) -> None:
        """Check the settings. Raises FleetSettingsError, which names the setting."""
        self._check_controllers()
        self._check_voters()
        self._check_durations()

    @cached_property
    def zones(self) -> tuple[str, ...]:
        """The zone of each controller."""
        return tuple(controller.zone for controller in self.controllers)

    @cached_property
    def voters(self) -> tuple[str, ...]:
        """The names of the controllers that vote."""
        return tuple(controller.name for controller in self.controllers if controller.voter)

    @cached_property
    def names(self) -> tuple[str, ...]:
        """The names of all controllers."""
        return tuple(controller.name for controller in self.controllers)

    @cached_property
    def by_name(self) -> dict[str, Controller]:
        """The controllers by name."""
        return {controller.name: controller for controller in self.controllers}

    @property
    def majority(self) -> int:
        """The number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def carry_ms(self) -> int:
        """How long after the end of its session (by its own clock) a zone may carry unused credit to the next owner.

        The time is shorter than any term, so that the credit reaches the next owner or none at all.
        """
        return int(self.ownership_lease_ms * CARRY_SHARE)

    @property
    def claim_ms(self) -> int:
        """How long a candidate waits for votes."""
        return max(1, int(self.ownership_lease_ms * CLAIM_SHARE))

    def shard_of(self, team: str) -> int:
        """Return the shard of a team."""
        return crc32(team.encode()) % self.shards

    def depth(self, quota: float) -> float:
        """Return how many requests beyond quota * time the fleet may let through in any window."""
        if quota <= 0:
            return 0.0
        return self.requests_per_zone * len(self.controllers) + self.burst_s * quota

    def longer(self, duration: int) -> int:
        """Return `duration` (in any unit) lengthened by the clock margin, as the granting side counts it."""
        return int(duration * (1 + self.clock_margin)) + 1

    def shorter(self, duration: int) -> int:
        """Return the longest duration that a process may grant whose own lease has `duration` left (in any unit)."""
        return max(0, int(duration / (1 + self.clock_margin)) - 1)

    def _check_controllers(self) -> None:
        if not 1 <= len(self.controllers) <= MAX_CONTROLLERS:
            raise FleetSettingsError("controllers", f"must be 1 to {MAX_CONTROLLERS}, got {len(self.controllers)}")
        for field in ("name", "zone", "region"):
            values = [getattr(controller, field) for controller in self.controllers]
            for value in values:
                if not 1 <= len(value.encode()) <= MAX_NAME:
                    raise FleetSettingsError(f"controllers.{field}", f"must be 1 to {MAX_NAME} bytes, got {value!r}")
            if field != "region":
                _check_unique(f"controllers.{field}", values)

    def _check_voters(self) -> None:
        voters = Counter(controller.region for controller in self.controllers if controller.voter)
        for region in {controller.region for controller in self.controllers}:
            if voters[region] != 1:
                raise FleetSettingsError(
                    "controllers.voter", f"one per region is required, but region {region!r} has {voters[region]}"
                )

    def _check_durations(self) -> None:
        self._check_longer("ownership_lease_ms", "quota_lease_ms")
        self._check_longer("quota_lease_ms", "renew_ms")
        self._check_longer("quota_lease_ms", "dispatcher_lease_ms")
        self._check_longer("dispatcher_lease_ms", "ask_timeout_ms")
        self._check_longer("renew_ms", "tick_ms")
        if self.lending_ms < 2 * self.renew_ms:
            raise FleetSettingsError(
                "lending_ms", f"must be at least twice renew_ms ({self.renew_ms}), got {self.lending_ms}"
            )

    def _check_longer(self, field: str, other: str) -> None:
        if getattr(self, field) <= getattr(self, other):
            raise FleetSettingsError(
                field, f"must be longer than {other} ({getattr(self, other)}), got {getattr(self, field)}"
            )


def _check_unique(field: str, values: Iterable[str]) -> None:
    for value, count in Counter(values).items():
        if count > 1:
            raise FleetSettingsError(field, f"must be unique, but {value!r} occurs {count} times")
