"""Reads and writes endpoint lists in discovery's wire form. No other module knows the field names of that form.

| wire form | program |
| --- | --- |
| `hosts`, `seq`, `whole` | the entries, the version, whether the list is complete or incremental |
| `host`, `dial`, `health` | worker, address, state |
| `site`, `class`, `block` | zone, machine type, cell; zone and machine type are names on the wire and indices here |
| `share`, `born_ms` | weight, `started_at` (microseconds) |
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Iterable
from typing import Any, NamedTuple

from badgerroad.errors import BadgerroadError
from badgerroad.load_balancing import interface
from badgerroad.net.socket_stream import Address

SLICE_LENGTH = 250  # entries read without yielding to the event loop; reading 10,000 at once would block it for 60 ms
MICROSECONDS_PER_MILLISECOND = 1000
STATE_BY_WIRE_NAME = {
    "ready": interface.WorkerState.READY,
    "draining": interface.WorkerState.DRAINING,
    "gone": interface.WorkerState.GONE,
}
_GONE = interface.WorkerState.GONE


class EndpointListError(BadgerroadError):
    """The data received from discovery is not a valid endpoint list."""

    code = "list"
    remedy = "request /api/targets from discovery by hand and check the entry named"


class ParsedList(NamedTuple):
    """An endpoint list in the form that the dispatch policy reads, and the addresses of its workers."""

    update: interface.EndpointList
    addresses: dict[str, Address]


def address_of(text: object) -> Address:
    """Return the host and port of a text `host:port`. Raises ValueError."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address of the form host:port: {text!r}")
    return host, int(port)


def empty_wire_list() -> dict[str, Any]:
    """Return a complete list without workers, in wire form."""
    return {"seq": 0, "whole": True, "hosts": []}


class EndpointListReader:
    """Reads and writes endpoint lists. Zones and machine types are names on the wire and indices in the program; names
    that are missing from the settings get the indices after those of the settings."""

    def __init__(self, zones: list[str], machine_types: list[str]) -> None:
        """Start with the names of the settings; their positions become the indices."""
        self.zones = list(zones)
        self.machine_types = list(machine_types)

    def renumbered(
        self, settings: interface.Settings, zones: list[str], machine_types: list[str]
    ) -> interface.Settings:
        """Return the settings with their zone and machine type indices, which refer to the given lists, replaced by
        the indices of this reader. Reading lists or settings never changes the index of a name."""
        zone = settings.zone
        if zone < len(zones):
            zone = self._index_of(self.zones, zones[zone])
        classes = []
        for request_class in settings.classes:
            machine_type = request_class.machine_type
            if 0 <= machine_type < len(machine_types):
                machine_type = self._index_of(self.machine_types, machine_types[machine_type])
            classes.append(request_class._replace(machine_type=machine_type))
        return settings._replace(zone=zone, classes=tuple(classes))

    def read(self, data: Any, cached: bool = False) -> ParsedList:
        """Read a list without yielding to the event loop. `cached` marks a list that may be out of date. Raises
        EndpointListError."""
        entries: list[interface.Endpoint] = []
        addresses: dict[str, Address] = {}
        for hosts in self._slices(data):
            self._read_hosts(hosts, entries, addresses)
        return ParsedList(self._update(data, cached, entries), addresses)

    async def read_in_slices(self, data: Any) -> ParsedList:
        """Read a list, yielding to the event loop between slices. Raises EndpointListError."""
        entries: list[interface.Endpoint] = []
        addresses: dict[str, Address] = {}
        for number, hosts in enumerate(self._slices(data)):
            if number:
                await asyncio.sleep(0)
            self._read_hosts(hosts, entries, addresses)
        return ParsedList(self._update(data, False, entries), addresses)

    def write(
        self, endpoints: Iterable[interface.Endpoint], addresses: dict[str, Address], version: int
    ) -> dict[str, Any]:
        """Return a complete list in wire form, for another process. Omits workers without an address."""
        hosts = [
            self._wire_host(endpoint, addresses[str(endpoint.worker)])
            for endpoint in endpoints
            if str(endpoint.worker) in addresses
        ]
        return {"seq": version, "whole": True, "hosts": hosts}

    def _wire_host(self, endpoint: interface.Endpoint, address: Address) -> dict[str, Any]:
        host, port = address
        return {
            "host": endpoint.worker,
            "dial": f"{host}:{port}",
            "health": endpoint.state,
            "site": self.zones[endpoint.zone],
            "class": self.machine_types[endpoint.machine_type],
            "block": endpoint.cell,
            "share": endpoint.weight,
            "born_ms": endpoint.started_at // MICROSECONDS_PER_MILLISECOND,
        }

    @staticmethod
    def _index_of(names: list[str], name: object) -> int:
        text = str(name)
        if text not in names:
            names.append(text)
        return names.index(text)

    @staticmethod
    def _slices(data: Any) -> list[Any]:
        try:
            hosts = data["hosts"]
            return [hosts[start : start + SLICE_LENGTH] for start in range(0, len(hosts), SLICE_LENGTH)]
        except (KeyError, TypeError) as error:
            raise EndpointListError(f"{type(error).__name__}: {error}") from error

    @staticmethod
    def _update(data: Any, cached: bool, entries: list[interface.Endpoint]) -> interface.EndpointList:
        try:
            if cached:
                scope = interface.ListScope.CACHED
            elif data["whole"]:
                scope = interface.ListScope.COMPLETE
            else:
                scope = interface.ListScope.INCREMENTAL
            return interface.EndpointList(scope, int(data["seq"]), tuple(entries))
        except (KeyError, TypeError, ValueError) as error:
            raise EndpointListError(f"{type(error).__name__}: {error}") from error

    def _read_hosts(self, hosts: Any, entries: list[interface.Endpoint], addresses: dict[str, Address]) -> None:
        try:
            for host in hosts:
                entries.append(self._endpoint(host, addresses))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise EndpointListError(f"{type(error).__name__}: {error}") from error

    def _endpoint(self, host: Any, addresses: dict[str, Address]) -> interface.Endpoint:
        name = host["host"]
        state = STATE_BY_WIRE_NAME[host["health"]]
        if not isinstance(name, str) or not name:
            raise ValueError("a host entry has no name")
        weight = float(host.get("share", 1.0))
        if not math.isfinite(weight):
            raise ValueError(f"share of {name} is not a finite number")
        if state != _GONE or "dial" in host:
            addresses[name] = address_of(host["dial"])
        return interface.Endpoint(
            name,
            state,
            int(host.get("born_ms") or 0) * MICROSECONDS_PER_MILLISECOND,
            self._index_of(self.machine_types, host.get("class", "")),
            self._index_of(self.zones, host.get("site", "")),
            int(host.get("block") or 0),
            weight,
        )
