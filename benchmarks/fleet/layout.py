"""Layout of the measured installation: 7 regions, 19 zones with one controller each, one voter per region.

It also gives the network delays. No I/O.
"""

from __future__ import annotations

from typing import NamedTuple

ZONES_OF_REGIONS = (3, 3, 3, 3, 3, 2, 2)
SAME_ZONE_MS = 0.2
SAME_REGION_MS = 1.0
ACROSS_MS = 15.0


class Place(NamedTuple):
    """Location of a controller, which is named after its zone."""

    zone: str
    region: str
    voter: bool

    @property
    def controller(self) -> str:
        return f"control-{self.zone}"


def places(zones_of_regions: tuple[int, ...] = ZONES_OF_REGIONS) -> list[Place]:
    """Return all zones, ordered by region; the first zone of each region has the voter."""
    return [
        Place(zone=f"r{region + 1}{chr(ord('a') + zone)}", region=f"r{region + 1}", voter=zone == 0)
        for region, zones in enumerate(zones_of_regions)
        for zone in range(zones)
    ]


def delay_ms(one: Place, other: Place) -> float:
    """Return the one-way delay of a message between two places, in milliseconds."""
    if one.zone == other.zone:
        return SAME_ZONE_MS
    return SAME_REGION_MS if one.region == other.region else ACROSS_MS


def dispatcher_name(index: int) -> str:
    return f"dispatcher-{index:03}"


def place_of_dispatcher(index: int, all_places: list[Place]) -> Place:
    """Return the place of a dispatcher; dispatchers are assigned to the zones round-robin."""
    return all_places[index % len(all_places)]
