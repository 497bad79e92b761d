"""Small fleets for the unit tests of the rules. Times are microseconds."""

from __future__ import annotations

from random import Random
from typing import Any

from badgerroad.fleet.messages import QuotaNeed, QuotaRequest
from badgerroad.fleet.rules.actions import Peer, QuotaDecision, SendMessage
from badgerroad.fleet.rules.controller import ControllerRules
from badgerroad.fleet.rules.dispatcher import DispatcherLeases
from badgerroad.fleet.settings import Controller, FleetSettings

MS = 1000
S = 1_000_000
START = 1000 * S


def fleet(zones: int = 3, **changes: Any) -> FleetSettings:
    """One controller a zone, one zone a region, one shard; all of them voters."""
    controllers = tuple(Controller(f"c{n}", f"z{n}", f"r{n}", "127.0.0.1", 7000 + n, True) for n in range(zones))
    changes.setdefault("shards", 1)
    settings = FleetSettings(controllers=controllers, **changes)
    settings.check()
    return settings


def one_region(zones: int = 3, **changes: Any) -> FleetSettings:
    """All zones in one region, the first controller the only voter."""
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
    """Controllers and dispatchers that hear each other at once, but those in `cut`. Time moves in ticks."""

    def __init__(self, settings: FleetSettings, dispatchers: dict[str, str] | None = None) -> None:
        self.settings = settings
        self.now = START
        self.cut: set[str] = set()
        self.stopped: set[str] = set()
        self.decided: dict[int, bool] = {}
        self.sent: list[tuple[str, SendMessage]] = []
        self.lives = {name: 1 for name in [*settings.names, *(dispatchers or {})]}
        self.zones = dispatchers or {}
        self.controllers = {name: self.new_controller(name) for name in settings.names}
        self.dispatchers = {name: self.new_dispatcher(name) for name in self.zones}
        self.quotas: dict[str, float] = {}

    def new_controller(self, name: str) -> ControllerRules:
        return ControllerRules(self.settings, name, self.lives[name], self.now, Random(f"{name}/{self.lives[name]}"))

    def new_dispatcher(self, name: str) -> DispatcherLeases:
        return DispatcherLeases(self.settings, name, self.zones[name], self.lives[name], self.now, Random(name))

    def set_quotas(self, quotas: dict[str, float]) -> None:
        self.quotas = quotas
        for controller in self.controllers.values():
            controller.set_quotas(self.now, quotas)

    def restart(self, name: str) -> None:
        self.lives[name] += 1
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
                self.deliver(action.to, node.receive(self.now, Peer(sender, self.lives[sender]), action.message))

    def reaches(self, sender: str, receiver: str) -> bool:
        apart = (sender in self.cut) != (receiver in self.cut) and {sender, receiver} <= set(self.controllers)
        return not apart and not self.stopped & {sender, receiver}

    def run(self, microseconds: int) -> None:
        """Stopped ones are not ticked."""
        end = self.now + microseconds
        while self.now < end:
            self.now += self.settings.tick_ms * MS
            for name, node in [*self.controllers.items(), *self.dispatchers.items()]:
                if name not in self.stopped:
                    self.deliver(name, node.tick(self.now))

    def owner(self, shard: int = 0) -> str | None:
        owners = [name for name, controller in self.controllers.items() if shard in controller.owned(self.now)]
        assert len(owners) <= 1
        return owners[0] if owners else None
