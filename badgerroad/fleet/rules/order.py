"""The preference orders of controllers. All processes compute the same orders, which spread the load evenly."""

from __future__ import annotations

from zlib import crc32

from badgerroad.fleet.settings import FleetSettings


def rendezvous(key: str, names: list[str]) -> list[str]:
    """Order `names` by rendezvous hashing with `key` (highest random weight): removing a name moves no other name."""
    return sorted(names, key=lambda name: (crc32(f"{key}/{name}".encode()), name))


def shard_order(settings: FleetSettings, shard: int) -> tuple[str, ...]:
    """Return the controllers in the order of preference as owner of the shard.

    The first is assigned round-robin, so that all controllers are first for equally many shards. The others follow by
    rendezvous hashing, so that the shards of a failed controller are spread over the remaining ones.
    """
    names = list(settings.names)
    first = names.pop(shard % len(names))
    return (first, *rendezvous(str(shard), names))


def controller_order(settings: FleetSettings, zone: str, dispatcher: str) -> tuple[str, ...]:
    """Return the controllers that a dispatcher sends lease requests to, in order of preference.

    The zone's own controller comes first. The others of the region follow by rendezvous hashing of the dispatcher's
    name, so that the dispatchers of a zone whose controller failed are spread over the remaining ones.
    """
    own = next(controller for controller in settings.controllers if controller.zone == zone)
    others = [
        controller.name
        for controller in settings.controllers
        if controller.region == own.region and controller.name != own.name
    ]
    return (own.name, *rendezvous(dispatcher, others))
