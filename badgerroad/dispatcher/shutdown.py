"""The deadline of a graceful shutdown: until when requests that still arrive can be answered."""

from __future__ import annotations

from badgerroad.load_balancing import interface
from badgerroad.net.timer_wheel import Clock

# SIGKILL follows SIGTERM no sooner than the longest request deadline, counted as 3 s where it is longer, plus 0.7 s.
LONGEST_DRAIN_US = 3_000_000
KILL_DELAY_US = 700_000
CLIENT_DELIVERY_MARGIN_US = 150_000
LEAST_TIME_LEFT_US = 50_000  # lets the decisions reject a request that arrives in the last moment


class ShutdownDeadline:
    """Not set until a graceful shutdown begins; from then on it limits the time of new requests."""

    def __init__(self, clock: Clock) -> None:
        """Start without a deadline."""
        self._clock = clock
        self._deadline_us: int | None = None

    def begin(self, classes: tuple[interface.RequestClass, ...]) -> None:
        """A graceful shutdown begins now."""
        longest_us = max(request_class.deadline for request_class in classes)
        drain_us = min(longest_us, LONGEST_DRAIN_US) + KILL_DELAY_US - CLIENT_DELIVERY_MARGIN_US
        self._deadline_us = self._clock.now() + drain_us

    def limit(self, event: interface.Request, now_us: int) -> interface.Request:
        """The request with no more time than is left. During a shutdown the decisions see which requests cannot be done
        in time and reject them at once, so that their clients can retry elsewhere."""
        if self._deadline_us is None:
            return event
        time_left_us = max(self._deadline_us - now_us, LEAST_TIME_LEFT_US)
        return event._replace(time_left=min(event.time_left, time_left_us), client_retry=False)
