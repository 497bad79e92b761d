"""A dispatcher's leases for tests, whose controllers are played by the test."""

from __future__ import annotations

from random import Random
from typing import Any

from rules_setup import START, messages, one_region

from badgerroad.fleet.messages import LeaseCredit, LeaseGrant, LeaseRequest
from badgerroad.fleet.rules.actions import Peer
from badgerroad.fleet.rules.dispatcher import DispatcherLeases
from badgerroad.fleet.rules.order import controller_order

SETTINGS = one_region()


OWN = Peer("c1", 1)


NEXT = controller_order(SETTINGS, "z1", "d")[1]


def dispatcher() -> DispatcherLeases:
    return DispatcherLeases(SETTINGS, "d", "z1", 1, START, Random(1))


def asked(actions: list[Any]) -> LeaseRequest:
    (request,) = messages(actions, LeaseRequest)
    return request  # type: ignore[no-any-return]


def answer(request: LeaseRequest, granted: int, valid_ms: int = 2000, known: bool = True) -> LeaseGrant:
    return LeaseGrant(
        request.sequence, tuple(LeaseCredit(need.team, granted, valid_ms, known) for need in request.needs)
    )


def holding(count: int, answered: int = START) -> DispatcherLeases:
    """Holds so many requests of "team" besides one that was used, asked for at START: their clients have left."""
    leases = dispatcher()
    request = asked(leases.request(START, 1, "team"))
    for number in range(-count, 0):
        leases.request(START, number, "team")
    actions = leases.receive(START, OWN, answer(request, 1))
    if count:
        for number in range(-count, 0):
            leases.cancel(START, number)
        leases.receive(answered, OWN, answer(asked(actions), count + 1))
    return leases
