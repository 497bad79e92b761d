"""In which order controllers are preferred: the same everywhere, and spread evenly."""

from __future__ import annotations

from zlib import crc32

from badgerroad.fleet.settings import FleetSettings


def rendezvous(key: str, names: list[str]) -> list[str]:
    """Order `names` by a hash of key and name (highest random weight): removing one moves no other."""
    return sorted(names, key=lambda name: (crc32(f"{key}/{name}".encode()), name))


def shard_order(settings: FleetSettings, shard: int) -> tuple[str, ...]:
    """The controllers in the order in which they should own the shard.

    The first goes by turns, so that each controller is first for as many shards as the others; the rest goes by
    rendezvous hashing, so that the shards of a lost controller spread.
    """
    names = list(settings.names)
    first = names.pop(shard % len(names))
    return (first, *rendezvous(str(shard), names))


def controller_order(settings: FleetSettings, zone: str, dispatcher: str) -> tuple[str, ...]:
    """The controllers that a dispatcher asks, in order.

    Its zone's controller, then the others of the region by rendezvous hashing of the dispatcher's name, so that the
    dispatchers of a zone whose controller is lost spread.
    """
    own = next(controller for controller in settings.controllers if controller.zone == zone)
    others = [
        controller.name
        for controller in settings.controllers
        if controller.region == own.region and controller.name != own.name
    ]
    return (own.name, *rendezvous(dispatcher, others))
