"""What extends a dispatcher: another process of an upgrade, the other server processes, limits, a fleet.

The dispatcher tells its extensions what happens to jobs and asks three things of them; it knows nothing else of them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from badgerroad.backend.attempts import Attempt
from badgerroad.load_balancing import interface
from badgerroad.requests import OpenRequest


class DispatcherExtension:
    """All of it does nothing here; an extension overrides what it is about. None of it may wait."""

    def has_open_request(self, request_id: bytes) -> bool:
        """Is a request of that id open beyond this process? Then it is not taken here."""
        return False

    def request_received(self, request: OpenRequest, event: interface.Request) -> None:
        """It is taken; the module hears of it next."""

    def admit(
        self, request: OpenRequest, event: interface.Request, proceed: Callable[[interface.Request], None]
    ) -> None:
        """The module hears of it once `proceed` has been called, with the event as it is then: at once, or after a wait
        that the extension bounds. A request that is answered or whose client has left meanwhile is `forgotten`; a
        `proceed` after that does nothing."""
        proceed(event)

    def may_send(self, request: OpenRequest, attempt: Attempt) -> bool:
        """May it go out? If not it never does, and the module hears that it was moot. Asked once an attempt."""
        return True

    def attempt_sent(self, request: OpenRequest, attempt: Attempt) -> None:
        """An attempt is about to go."""

    def attempt_started(self, request: int, number: int) -> None:
        """A host has begun with an attempt; the module hears of it next."""

    def attempt_ended(self, request: OpenRequest, attempt: Attempt, result: str) -> None:
        """An attempt has ended; `result` in the module's words."""

    def request_forgotten(self, request_id: bytes) -> None:
        """It is answered and has no attempt out any more."""

    def unknown_job_event(self, request_id: bytes, host: str, state: str, item: dict[str, Any]) -> None:
        """A host speaks of an attempt that is not known here."""

    def superseded(self) -> None:
        """Another process of this dispatcher takes the new requests from now on, unless it fails."""

    def settings_changed(self, settings: interface.Settings) -> None:
        """These hold from now on, also at the start."""


def admit_request(
    request: OpenRequest,
    event: interface.Request,
    extensions: tuple[DispatcherExtension, ...],
    hear: Callable[[interface.Request], None],
) -> None:
    """Each extension in turn lets the request go on, at once or later; then the module hears of it, by `hear`."""
    if extensions:
        extensions[0].admit(request, event, lambda changed: admit_request(request, changed, extensions[1:], hear))
    elif not request.exchange.answered and not request.admitted:
        request.admitted = True
        hear(event)
