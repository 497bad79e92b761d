"""The interface of dispatcher extensions: hot restart, several server processes, retry budget, the fleet's quotas.

The dispatcher notifies its extensions of what happens to requests and attempts, and asks them three questions: whether
a request id is in use elsewhere, when a request may proceed, and whether an attempt may be sent.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from badgerroad.backend.attempts import Attempt
from badgerroad.load_balancing import interface
from badgerroad.requests import OpenRequest


class DispatcherExtension:
    """The base class of extensions. Its methods change nothing; an extension overrides those that it needs. They run in
    the event loop and must not block."""

    def has_open_request(self, request_id: bytes) -> bool:
        """Return whether a request of that id is open outside this process. If so, it is not accepted here."""
        return False

    def request_received(self, request: OpenRequest, event: interface.Request) -> None:
        """Handle the registration of a request, before it is admitted and passed to the dispatch policy."""

    def admit(
        self, request: OpenRequest, event: interface.Request, proceed: Callable[[interface.Request], None]
    ) -> None:
        """Call `proceed`, at once or after a limited time, to pass the request on to the dispatch policy. The event
        passed to `proceed` may differ from `event`. If the request is answered or its client disconnects before
        `proceed` is called, `request_forgotten` is called, and a later `proceed` has no effect."""
        proceed(event)

    def may_send(self, request: OpenRequest, attempt: Attempt) -> bool:
        """Return whether the attempt may be sent. Asked once for each attempt. An attempt that may not be sent is never
        sent, and is reported to the dispatch policy as not needed."""
        return True

    def attempt_sent(self, request: OpenRequest, attempt: Attempt) -> None:
        """Handle an attempt that is about to be sent."""

    def attempt_started(self, request: int, number: int) -> None:
        """Handle the start of an attempt at its worker, before the dispatch policy does."""

    def attempt_ended(self, request: OpenRequest, attempt: Attempt, result: str) -> None:
        """Handle the end of an attempt; `result` is an `interface.AttemptResult`."""

    def request_forgotten(self, request_id: bytes) -> None:
        """Handle the removal of a request that has been answered and has no attempt in flight."""

    def unknown_job_event(self, request_id: bytes, host: str, state: str, item: dict[str, Any]) -> None:
        """Handle a worker's event about an attempt that is unknown in this process."""

    def endpoints_changed(self) -> None:
        """Handle a change of the endpoint list, after it is in force."""

    def superseded(self) -> None:
        """Handle the takeover by another process of this dispatcher, which accepts all new requests unless it fails."""

    def settings_changed(self, settings: interface.Settings) -> None:
        """Apply the settings now in force; also called when the extension is set."""


def admit_request(
    request: OpenRequest,
    event: interface.Request,
    extensions: tuple[DispatcherExtension, ...],
    handle_event: Callable[[interface.Request], None],
) -> None:
    """Let each extension in turn admit the request, at once or later; then pass its event to `handle_event`."""
    if extensions:
        extensions[0].admit(
            request, event, lambda changed: admit_request(request, changed, extensions[1:], handle_event)
        )
    elif not request.exchange.answered and not request.admitted:
        request.admitted = True
        handle_event(event)
