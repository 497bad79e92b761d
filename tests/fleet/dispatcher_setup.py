"""A dispatcher's leases for tests. The test takes the role of the controllers."""

from __future__ import annotations

from random import Random
from typing import Any

from rules_setup import START, messages, one_region

from badgerroad.fleet.messages import LeaseCredit, LeaseGrant, LeaseRequest
from badgerroad.fleet.rules.actions import Peer
from badgerroad.fleet.rules.dispatcher import DispatcherLeases
from badgerroad.fleet.rules.order import controller_order

SETTINGS = one_region()


OWN_CONTROLLER = Peer("c1", 1)


NEXT_CONTROLLER = controller_order(SETTINGS, "z1", "d")[1]


def dispatcher() -> DispatcherLeases:
    return DispatcherLeases(SETTINGS, "d", "z1", 1, START, Random(1))


def lease_request(actions: list[Any]) -> LeaseRequest:
    (request,) = messages(actions, LeaseRequest)
    return request  # type: ignore[no-any-return]


def grant_for(request: LeaseRequest, granted: int, valid_ms: int = 2000, known: bool = True) -> LeaseGrant:
    return LeaseGrant(
        request.sequence, tuple(LeaseCredit(need.team, granted, valid_ms, known) for need in request.needs)
    )


def dispatcher_with_credit(count: int, granted_at: int = START) -> DispatcherLeases:
    """Return leases with `count` unused requests of "team", besides one that was used.

    The credit was requested at START for requests that were then cancelled.
    """
    leases = dispatcher()
    request = lease_request(leases.request(START, 1, "team"))
    for number in range(-count, 0):
        leases.request(START, number, "team")
    actions = leases.receive(START, OWN_CONTROLLER, grant_for(request, 1))
    if count:
        for number in range(-count, 0):
            leases.cancel(START, number)
        leases.receive(granted_at, OWN_CONTROLLER, grant_for(lease_request(actions), count + 1))
    return leases
