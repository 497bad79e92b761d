"""A zone controller for tests. The test takes the role of its owner."""

from __future__ import annotations

from rules_setup import SECOND, START, fleet, messages

from badgerroad.fleet.messages import (
    Claim,
    LeaseCredit,
    LeaseGrant,
    LeaseNeed,
    LeaseRequest,
    OwnerAnnouncement,
    QuotaCredit,
    QuotaGrant,
    QuotaRequest,
)
from badgerroad.fleet.rules.actions import Peer, SendMessage
from badgerroad.fleet.rules.view import View
from badgerroad.fleet.rules.zone import ZoneController
from badgerroad.fleet.settings import FleetSettings

OWNER, NEXT_OWNER = Peer("c1", 1), Peer("c2", 1)


D0, D1 = Peer("d0", 1), Peer("d1", 1)


INCARNATION = 9  # the zone controller's incarnation


SETTINGS = fleet()


LENDING_US = int(5 * SECOND * (1 + 2 * SETTINGS.clock_margin)) + 1


class Zone:
    """A zone controller whose owner is simulated by the test."""

    def __init__(self, quota: float = 30.0, settings: FleetSettings = SETTINGS) -> None:
        self.view = View(settings)
        self.rules = ZoneController(settings, INCARNATION, self.view, START)
        self.rules.set_quotas(START, {"team": quota})
        self.sequence = 0

    def announce(self, now: int, owner: Peer, term: int) -> None:
        self.view.receive_announcement(now, owner, OwnerAnnouncement((Claim(0, term),)))

    def tick(self, now: int) -> list[SendMessage]:
        self.rules.expire(now)
        return self.rules.tick(now)

    def request_quota(self, now: int) -> QuotaRequest:
        """Announce the owner and return the quota request that is sent to it."""
        self.announce(now, OWNER, 5)
        (action,) = self.tick(now)
        assert action.to == OWNER.name
        assert isinstance(action.message, QuotaRequest)
        return action.message

    def grant(self, now: int, request: QuotaRequest, granted: int, owner: Peer = OWNER, **changes: int) -> None:
        fields = {"session": 100, "number": 1, "valid_ms": 3000, "stamp": 77, "rate": 30.0, "known": True} | changes
        credit = QuotaCredit("team", granted, float(fields["rate"]), bool(fields["known"]))
        self.rules.expire(now)
        self.rules.receive_grant(
            now,
            owner,
            QuotaGrant(
                0,
                request.term,
                int(fields["session"]),
                request.sequence,
                int(fields["number"]),
                int(fields["stamp"]),
                int(fields["valid_ms"]),
                (credit,),
            ),
        )

    def open(self, now: int = START, granted: int = 8) -> QuotaRequest:
        request = self.request_quota(now)
        self.grant(now, request, granted)
        return request

    def lease(self, now: int, peer: Peer, wanted: int, used: int = 0, returned: int = 0, **changes: int) -> LeaseCredit:
        self.sequence += 1
        self.rules.expire(now)
        need = LeaseNeed("team", used, returned, wanted)
        request = LeaseRequest(changes.get("sequence", self.sequence), (need,), changes.get("controller", INCARNATION))
        (grant,) = messages(self.rules.lease(now, peer, request), LeaseGrant)
        assert grant.sequence == request.sequence
        return grant.credits[0]

    @property
    def stock(self):  # type: ignore[no-untyped-def]
        return self.rules.shards[0].stocks["team"]
