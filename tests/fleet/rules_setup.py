"""Small fleets for the unit tests of the rules. Times are microseconds."""

from __future__ import annotations

from random import Random
from typing import Any

from badgerroad.fleet.messages import QuotaNeed, QuotaRequest
from badgerroad.fleet.rules.actions import Peer, QuotaDecision, SendMessage
from badgerroad.fleet.rules.controller import ControllerRules
from badgerroad.fleet.rules.dispatcher import DispatcherLeases
from badgerroad.fleet.settings import Controller, FleetSettings

MILLISECOND = 1000
SECOND = 1_000_000
START = 1000 * SECOND


def fleet(zones: int = 3, **changes: Any) -> FleetSettings:
    """Return settings with one controller per zone, one zone per region and one shard. Every controller is a voter."""
    controllers = tuple(Controller(f"c{n}", f"z{n}", f"r{n}", "127.0.0.1", 7000 + n, True) for n in range(zones))
    changes.setdefault("shards", 1)
    settings = FleetSettings(controllers=controllers, **changes)
    settings.check()
    return settings


def one_region(zones: int = 3, **changes: Any) -> FleetSettings:
    """Return settings with all zones in one region and the first controller as the only voter."""
    controllers = tuple(Controller(f"c{n}", f"z{n}", "r", "127.0.0.1", 7000 + n, n == 0) for n in range(zones))
    changes.setdefault("shards", 1)
    settings = FleetSettings(controllers=controllers, **changes)
    settings.check()
    return settings


def messages(actions: list[Any], kind: type) -> list[Any]:
    return [
        action.message for action in actions if isinstance(action, SendMessage) and isinstance(action.message, kind)
    ]


def decided(actions: list[Any]) -> dict[int, bool]:
    return {action.request: action.over_quota for action in actions if isinstance(action, QuotaDecision)}


def quota_request(term: int, sequence: int, *needs: QuotaNeed, **changes: Any) -> QuotaRequest:
    fields = {"shard": 0, "session": 0, "acknowledged": 0, "stamp": 0, "lending": False} | changes
    return QuotaRequest(term=term, sequence=sequence, needs=needs, **fields)


class Network:
    """Controllers and dispatchers whose messages arrive at once. Time advances in ticks.

    Controllers in `partitioned` cannot exchange messages with the other controllers.
    """

    def __init__(self, settings: FleetSettings, dispatchers: dict[str, str] | None = None) -> None:
        self.settings = settings
        self.now = START
        self.partitioned: set[str] = set()
        self.stopped: set[str] = set()
        self.decided: dict[int, bool] = {}
        self.sent: list[tuple[str, SendMessage]] = []
        self.incarnations = {name: 1 for name in [*settings.names, *(dispatchers or {})]}
        self.zones = dispatchers or {}
        self.controllers = {name: self.new_controller(name) for name in settings.names}
        self.dispatchers = {name: self.new_dispatcher(name) for name in self.zones}
        self.quotas: dict[str, float] = {}

    def new_controller(self, name: str) -> ControllerRules:
        return ControllerRules(
            self.settings, name, self.incarnations[name], self.now, Random(f"{name}/{self.incarnations[name]}")
        )

    def new_dispatcher(self, name: str) -> DispatcherLeases:
        return DispatcherLeases(self.settings, name, self.zones[name], self.incarnations[name], self.now, Random(name))

    def set_quotas(self, quotas: dict[str, float]) -> None:
        self.quotas = quotas
        for controller in self.controllers.values():
            controller.set_quotas(self.now, quotas)

    def restart(self, name: str) -> None:
        self.incarnations[name] += 1
        if name in self.controllers:
            self.controllers[name] = self.new_controller(name)
            self.controllers[name].set_quotas(self.now, self.quotas)
        else:
            self.dispatchers[name] = self.new_dispatcher(name)

    def request(self, dispatcher: str, number: int, team: str) -> None:
        self.deliver(dispatcher, self.dispatchers[dispatcher].request(self.now, number, team))

    def deliver(self, sender: str, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, QuotaDecision):
                assert action.request not in self.decided
                self.decided[action.request] = action.over_quota
                continue
            self.sent.append((sender, action))
            if self.reaches(sender, action.to):
                node = self.controllers.get(action.to) or self.dispatchers[action.to]
                self.deliver(action.to, node.receive(self.now, Peer(sender, self.incarnations[sender]), action.message))

    def reaches(self, sender: str, receiver: str) -> bool:
        separated = (sender in self.partitioned) != (receiver in self.partitioned) and {sender, receiver} <= set(
            self.controllers
        )
        return not separated and not self.stopped & {sender, receiver}

    def run(self, microseconds: int) -> None:
        """Advance the time and tick all nodes except the stopped ones."""
        end = self.now + microseconds
        while self.now < end:
            self.now += self.settings.tick_ms * MILLISECOND
            for name, node in [*self.controllers.items(), *self.dispatchers.items()]:
                if name not in self.stopped:
                    self.deliver(name, node.tick(self.now))

    def owner(self, shard: int = 0) -> str | None:
        owners = [name for name, controller in self.controllers.items() if shard in controller.owned(self.now)]
        assert len(owners) <= 1
        return owners[0] if owners else None
