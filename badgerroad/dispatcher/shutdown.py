"""The deadline of a graceful shutdown, until which requests that still arrive can be answered."""

from __future__ import annotations

from badgerroad.load_balancing import interface
from badgerroad.net.timer_wheel import Clock

# SIGKILL follows SIGTERM no sooner than the longest request deadline (or 3 s, if that is shorter) plus 0.7 s.
MAX_REQUEST_DRAIN_US = 3_000_000
KILL_DELAY_US = 700_000
CLIENT_DELIVERY_MARGIN_US = 150_000
MIN_TIME_LEFT_US = 50_000  # enough for the policy to reject a request that arrives at the last moment


class ShutdownDeadline:
    """Limits the time of new requests once a graceful shutdown has begun."""

    def __init__(self, clock: Clock) -> None:
        """Start without a deadline."""
        self._clock = clock
        self._deadline_us: int | None = None

    def begin(self, classes: tuple[interface.RequestClass, ...]) -> None:
        """Set the deadline; called when a graceful shutdown begins."""
        longest_us = max(request_class.deadline for request_class in classes)
        drain_us = min(longest_us, MAX_REQUEST_DRAIN_US) + KILL_DELAY_US - CLIENT_DELIVERY_MARGIN_US
        self._deadline_us = self._clock.now() + drain_us

    def limit(self, event: interface.Request, now_us: int) -> interface.Request:
        """Return the request with its time limited to the time left until the deadline of the shutdown. The policy can
        then reject at once requests that cannot be done in time, so that their clients can retry at another
        dispatcher."""
        if self._deadline_us is None:
            return event
        time_left_us = max(self._deadline_us - now_us, MIN_TIME_LEFT_US)
        return event._replace(time_left=min(event.time_left, time_left_us), client_retry=False)
