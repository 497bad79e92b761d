"""Human-readable trace of a run, for the replay of a seed."""

from __future__ import annotations

from typing import Any, TextIO

from badgerroad.fleet.rules.lease_transfer import LeaseExport
from tests.fleet.simulation.network import Parcel
from tests.fleet.simulation.nodes import Node
from tests.fleet.simulation.world import World


class Trace:
    """Writes one line, with the true time, for each message sent or received, request, decision and process death."""

    def __init__(self, world: World, output: TextIO) -> None:
        self._world = world
        self._output = output

    def _write(self, node: Node, text: str) -> None:
        print(f"{self._world.now / 1e6:10.6f} {self._world.steps:6} {node.name:14} {text}", file=self._output)

    def requested(self, node: Node, request: int, team: str) -> None:
        self._write(node, f"request {request} of {team}")

    def canceled(self, node: Node, request: int) -> None:
        self._write(node, f"request {request} canceled")

    def decided(self, node: Node, request: int, over_quota: bool) -> None:
        self._write(node, f"request {request} {'over quota' if over_quota else 'let through'}")

    def sent(self, node: Node, to: str, message: Any) -> None:
        self._write(node, f"-> {to}: {message}")

    def delivered(self, node: Node, parcel: Parcel) -> None:
        self._write(node, f"<- {parcel.sender}/{parcel.sender_incarnation}: {parcel.message}")

    def stepped(self, node: Node) -> None:
        """Write nothing, because a line per step would hide the other lines."""

    def died(self, node: Node) -> None:
        self._write(node, "died")

    def handed_over(self, node: Node, successor: Node, exported: LeaseExport) -> None:
        self._write(node, f"handed over to {successor.name}: {exported}")

    def quotas_changed(self, quotas: dict[str, float]) -> None:
        print(f"{self._world.now / 1e6:10.6f} quotas {quotas}", file=self._output)
