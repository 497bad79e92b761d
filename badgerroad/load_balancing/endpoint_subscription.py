"""When discovery is asked for changes of the endpoint list, and asked again after a failure."""

from . import interface
from .decision_context import DecisionContext

FIRST_RETRY_US = 500_000
"""Delay before the first new request after a failure; doubled with each failure up to the poll interval."""


class EndpointSubscription:
    """Whether changes of the list are arriving, and when to subscribe next (microseconds)."""

    def __init__(self, context: DecisionContext) -> None:
        """`context` gives settings, clock, random numbers and timers."""
        self._context = context
        self.confirmed = False
        self.poll_at = 0
        self.backoff = FIRST_RETRY_US

    def subscribe_if_due(self) -> None:
        """Subscribe where the settings ask for it, unless changes are arriving or the next request is not due."""
        context = self._context
        if context.settings.must_subscribe and not self.confirmed and context.now >= self.poll_at:
            context.actions.append(interface.Subscribe())
            self._subscribe_after(context.settings.poll_interval)  # in case neither a list nor a failure arrives

    def list_received(self, scope: str) -> None:
        """Note what an endpoint list says of the subscription; after a failure it is renewed with backoff."""
        if scope == interface.ListScope.FAILED:
            self._subscribe_after(self._next_backoff())
        elif scope != interface.ListScope.CACHED:
            self.confirmed = True
            self.backoff = FIRST_RETRY_US

    def _next_backoff(self) -> int:
        """The delay after one more failure; a random part spreads the dispatchers over up to twice the backoff."""
        self.confirmed = False
        delay = int(self.backoff * (1 + self._context.random.random()))
        self.backoff = min(self.backoff * 2, self._context.settings.poll_interval)
        return delay

    def _subscribe_after(self, delay: int) -> None:
        self.poll_at = self._context.now + delay
        self._context.schedule(self.poll_at, self.subscribe_if_due)
