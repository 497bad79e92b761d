"""What stands beside a dispatcher: another process of an upgrade, the other members of a crew, limits, a fleet.

The dispatcher tells its companions what happens to jobs and asks two things of them; it knows nothing else of them.
"""

from __future__ import annotations

from typing import Any, Dict

from badgerroad.issuer.http import Leg
from badgerroad.requests import OpenRequest
from heathcrank import interface as i


class Companion:
    """All of it does nothing here; a companion overrides what it is about. None of it may wait."""

    def holds(self, request_id: bytes) -> bool:
        """Is a request of that id open beyond this process? Then it is not taken here."""
        return False

    def came(self, request: OpenRequest, event: i.Request) -> None:
        """It is taken; the module hears of it next."""

    def may_send(self, request: OpenRequest, leg: Leg) -> bool:
        """May it go out? If not it never does, and the module hears that it was moot. Asked once a leg."""
        return True

    def sent(self, request: OpenRequest, leg: Leg) -> None:
        """A leg is about to go."""

    def started(self, request: int, number: int) -> None:
        """A host has begun with a leg; the module hears of it next."""

    def over(self, request: OpenRequest, leg: Leg, result: str) -> None:
        """A leg has ended; `result` in the module's words."""

    def forgotten(self, request_id: bytes) -> None:
        """It is answered and has no leg out any more."""

    def called_back(self, request_id: bytes, host: str, state: str, item: Dict[str, Any]) -> None:
        """A host speaks of a leg that is not known here."""

    def settings_changed(self, settings: i.Settings) -> None:
        """These hold from now on, also at the start."""
