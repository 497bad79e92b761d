"""Subscribes to changes of the endpoint list in discovery, and renews the subscription after a failure."""

from . import interface
from .decision_context import DecisionContext

INITIAL_BACKOFF_US = 500_000
"""Delay before the next subscription after the first failure; doubled with each failure up to the poll interval."""


class EndpointSubscription:
    """State of the subscription, and the time at which to subscribe next (microseconds)."""

    def __init__(self, context: DecisionContext) -> None:
        """`context` provides settings, clock, random numbers and timers."""
        self._context = context
        self.confirmed = False
        self.poll_at = 0
        self.backoff = INITIAL_BACKOFF_US

    def subscribe_if_due(self) -> None:
        """Subscribe if the settings require it, the subscription is not confirmed and the next try is due."""
        context = self._context
        if context.settings.must_subscribe and not self.confirmed and context.now >= self.poll_at:
            context.actions.append(interface.Subscribe())
            # Subscribe again if neither a list nor a failure is received.
            self._subscribe_after(context.settings.poll_interval)

    def list_received(self, scope: str) -> None:
        """Update the subscription with the scope of an endpoint list; after a failure it is renewed with backoff."""
        if scope == interface.ListScope.FAILED:
            self._subscribe_after(self._next_backoff())
        elif scope != interface.ListScope.CACHED:
            self.confirmed = True
            self.backoff = INITIAL_BACKOFF_US

    def _next_backoff(self) -> int:
        """Return the delay after a failure: the backoff, up to doubled at random to spread the dispatchers' retries."""
        self.confirmed = False
        delay = int(self.backoff * (1 + self._context.random.random()))
        self.backoff = min(self.backoff * 2, self._context.settings.poll_interval)
        return delay

    def _subscribe_after(self, delay: int) -> None:
        self.poll_at = self._context.now + delay
        self._context.schedule(self.poll_at, self.subscribe_if_due)
