"""Lists of workers as discovery writes them, read into the module's form."""

from __future__ import annotations

import asyncio
import math
from typing import Any

from badgerroad.errors import BadgerroadError
from badgerroad.load_balancing import interface
from badgerroad.net.connection import Address

SLICE = 250  # hosts read in one go: 10,000 take 60 ms, in which nobody else would be served
STATES = {
    "ready": interface.WorkerState.READY,
    "draining": interface.WorkerState.DRAINING,
    "gone": interface.WorkerState.GONE,
}


class EndpointListError(BadgerroadError):
    """What came is not a list of hosts."""

    code = "list"
    remedy = "ask discovery for /api/targets by hand and look at the entry named"


def address_of(text: Any) -> Address:
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


class EndpointListReader:
    """Discovery's form to the module's: names become places in the lists of the settings."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.zones, self.machine_types = list(zones), list(kinds)

    @staticmethod
    def _index_of(names: list[str], name: Any) -> int:
        text = str(name)
        if text not in names:
            names.append(text)  # one the settings do not know: a place of its own behind theirs
        return names.index(text)

    def renumbered(self, settings: interface.Settings, zones: list[str], kinds: list[str]) -> interface.Settings:
        """Settings whose own lists are these, in the numbers that hosts have here, which stay while it runs."""

        def kind(n: int) -> int:
            return self._index_of(self.machine_types, kinds[n]) if 0 <= n < len(kinds) else n

        zone = self._index_of(self.zones, zones[settings.zone]) if settings.zone < len(zones) else settings.zone
        return settings._replace(
            zone=zone, classes=tuple(c._replace(machine_type=kind(c.machine_type)) for c in settings.classes)
        )

    def read(self, data: Any, cached: bool = False) -> tuple[interface.EndpointList, dict[str, Address]]:
        """A whole list at once. Raises EndpointListError."""
        entries: list[interface.Endpoint] = []
        places: dict[str, Address] = {}
        for hosts in self._slices(data):
            self._take(hosts, entries, places)
        return self._list(data, cached, entries), places

    async def read_in_slices(self, data: Any) -> tuple[interface.EndpointList, dict[str, Address]]:
        """The same, but others run between the slices of a long list. Raises EndpointListError."""
        entries: list[interface.Endpoint] = []
        places: dict[str, Address] = {}
        for n, hosts in enumerate(self._slices(data)):
            if n:
                await asyncio.sleep(0)
            self._take(hosts, entries, places)
        return self._list(data, False, entries), places

    @staticmethod
    def _slices(data: Any) -> list[Any]:
        try:
            hosts = data["hosts"]
            return [hosts[at : at + SLICE] for at in range(0, len(hosts), SLICE)]
        except (KeyError, TypeError) as e:
            raise EndpointListError(f"{type(e).__name__}: {e}") from e

    @staticmethod
    def _list(data: Any, cached: bool, entries: list[interface.Endpoint]) -> interface.EndpointList:
        try:
            scope = (
                interface.ListScope.CACHED
                if cached
                else interface.ListScope.COMPLETE
                if data["whole"]
                else interface.ListScope.INCREMENTAL
            )
            return interface.EndpointList(scope, int(data["seq"]), tuple(entries))
        except (KeyError, TypeError, ValueError) as e:
            raise EndpointListError(f"{type(e).__name__}: {e}") from e

    def _take(self, hosts: Any, entries: list[interface.Endpoint], places: dict[str, Address]) -> None:
        try:
            for h in hosts:
                name, state = h["host"], STATES[h["health"]]
                if not isinstance(name, str) or not name:
                    raise ValueError("a host without a name")
                weight = float(h.get("share", 1.0))
                if not math.isfinite(weight):
                    raise ValueError(f"share of {name}")
                if state != interface.WorkerState.GONE or "dial" in h:
                    places[name] = address_of(h["dial"])
                entries.append(
                    interface.Endpoint(
                        name,
                        state,
                        int(h.get("born_ms") or 0) * 1000,
                        self._index_of(self.machine_types, h.get("class", "")),
                        self._index_of(self.zones, h.get("site", "")),
                        int(h.get("block") or 0),
                        weight,
                    )
                )
        except (KeyError, TypeError, ValueError, AttributeError) as e:
            raise EndpointListError(f"{type(e).__name__}: {e}") from e
