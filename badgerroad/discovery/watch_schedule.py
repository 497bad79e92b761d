"""Decides when discovery is called, how long an answer is awaited, and when discovery counts as unavailable.

The module holds rules only, without I/O or a clock; all times are in microseconds. A call is either a watch, which
discovery answers when the endpoint list changes or the requested wait ends, or a poll, which it answers at once.

A call that is not answered within its timeout counts as failed, and another call begins beside it. It stays open, as
its answer may be on its way (`discovery_calls`): the answers of a discovery that always needs longer count too.

Each change of the endpoint list must be known here within NOTIFICATION_DEADLINE_US of the moment when discovery had it
and could be reached, even if calls fail in that time. docs/silence.md gives the longest delays for each sequence of
events and answer time.

Where an agent on the same machine holds the list, a change counts as known as soon as the agent has it, and sends must
stop within the time that the settings give. The agent is therefore called at intervals that are fractions of that time;
these calls put no load on discovery.

Discovery serves the dispatchers' calls one after another, and calls that a dispatcher has given up still cost
discovery time. With 200 dispatchers a poll took discovery 17 to 27 ms, and continuing a watch took 0 ms. Watches can
therefore be short. Their waits are random, so that the watches of all dispatchers do not end together, and polls are
staggered.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

NOTIFICATION_DEADLINE_US = 6_000_000
MIN_WATCH_WAIT_US, MAX_WATCH_WAIT_US = 300_000, 2_300_000
# How long after the end of a watch's wait its answer is still awaited. A watch without changes is answered when its
# wait ends, but up to 1 s later when discovery is overloaded.
WATCH_ANSWER_GRACE_US = 700_000
POLL_TIMEOUT_US = 1_500_000  # covers the time for which discovery queues a poll behind polls of other dispatchers
FAILED_POLLS_BEFORE_UNAVAILABLE = 2
POLL_RETRY_INTERVAL_US = 350_000  # time from the start of a poll that failed at once to the start of the next poll
MAX_UNSTAGGERED_DISPATCHERS = 4  # up to this number, all dispatchers may call discovery at the same moment
# Polls that would start at the same moment in all dispatchers (after their watches broke, or when discovery becomes
# unavailable) are spread over a period: this time for each dispatcher, up to the maximum.
STAGGER_PER_DISPATCHER_US, MAX_STAGGER_US = 40_000, 1_700_000
# The first calls of processes are spread in the same way, as many dispatchers may start together.
FIRST_CALL_STAGGER_PER_DISPATCHER_US, MAX_FIRST_CALL_STAGGER_US = 100_000, 4_000_000
GOLDEN_RATIO_CONJUGATE = 0.618034
# Time from the start of one poll to the start of the next while discovery is unavailable: a base and a time for each
# dispatcher, up to the maximum. More frequent polls, refused or not, would keep discovery's queue full: with 214
# dispatchers it served only some 60 to 90 polls a second, with 6 some 5.
UNAVAILABLE_POLL_PERIOD_BASE_US, UNAVAILABLE_POLL_PERIOD_PER_DISPATCHER_US = 1_200_000, 8_000
UNAVAILABLE_POLL_PERIOD_US = 2_800_000
# A small fleet reaches that period in steps, each twice as long as the one before, and with jitter.
MAX_SMALL_FLEET = 30
JITTER = 0.2
MAX_DOUBLINGS = 8
# Fractions of the time within which sends must stop: the wait of a watch at the agent, how long after that wait an
# answer is awaited, and the delay after a failed call.
AGENT_WAIT_FRACTION, AGENT_ANSWER_GRACE_FRACTION, AGENT_RETRY_DELAY_FRACTION = 0.4, 0.2, 0.1
MIN_STOP_SENDING_TIME_US = 100_000  # used where the settings give the agent no time


class RandomSource(Protocol):
    """A random number generator that the caller owns."""

    def randint(self, a: int, b: int) -> int:
        """Return a number from `a` to `b`, both included."""


class Call(NamedTuple):
    """One call to discovery: a watch, which waits for changes, or a poll."""

    wait_us: int  # how long discovery may wait for a change before it answers; 0 for a poll
    timeout_us: int  # how long the answer is awaited before another call begins

    @property
    def is_watch(self) -> bool:
        """Whether this call is a watch."""
        return self.wait_us > 0


class WatchSchedule:
    """Schedules the calls of one dispatcher to discovery, or to the agent that holds the endpoint list."""

    def __init__(self, dispatchers: int, number: int, random_source: RandomSource) -> None:
        """Schedule for dispatcher `number` of `dispatchers`; both determine how its calls are staggered."""
        self._random_source = random_source
        self._dispatchers = dispatchers
        self._staggered_dispatchers = dispatchers if dispatchers > MAX_UNSTAGGERED_DISPATCHERS else 0
        # Part of the stagger time that this dispatcher waits, from 0 to 1. Multiples of the golden ratio, modulo 1,
        # spread any run of dispatcher numbers evenly.
        self._stagger_position = number * GOLDEN_RATIO_CONJUGATE % 1
        self.stop_sending_within_us = 0  # 0 while discovery itself is called rather than an agent
        self._next_is_poll, self._failed_polls = True, 0
        self._answer_was_lost = False  # the last call failed after discovery had begun to answer it
        self._started = False

    def use_agent(self, stop_sending_within_us: int) -> None:
        """Schedule calls to an agent on this machine, which holds the endpoint list."""
        self.stop_sending_within_us = max(stop_sending_within_us, MIN_STOP_SENDING_TIME_US)

    def use_discovery(self) -> None:
        """Schedule calls to discovery itself."""
        self.stop_sending_within_us = 0

    def first_call_delay(self, has_list: bool) -> int:
        """Return the delay before the first call: 0 without a list, as no request can be served without one."""
        if self._started or self.stop_sending_within_us or not has_list:
            return 0
        return int(
            self._stagger_position
            * min(FIRST_CALL_STAGGER_PER_DISPATCHER_US * self._staggered_dispatchers, MAX_FIRST_CALL_STAGGER_US)
        )

    def next_call(self) -> Call:
        """Return the next call to make."""
        self._started = True
        if self._next_is_poll:
            return Call(0, self._poll_timeout_us)
        if self.stop_sending_within_us:
            wait_us = int(self.stop_sending_within_us * AGENT_WAIT_FRACTION)
            return Call(wait_us, wait_us + int(self.stop_sending_within_us * AGENT_ANSWER_GRACE_FRACTION))
        wait_us = self._random_source.randint(MIN_WATCH_WAIT_US, MAX_WATCH_WAIT_US)
        return Call(wait_us, wait_us + WATCH_ANSWER_GRACE_US)

    @property
    def discovery_unavailable(self) -> bool:
        """Whether discovery counts as unavailable."""
        return self._failed_polls >= FAILED_POLLS_BEFORE_UNAVAILABLE

    def call_answered(self) -> None:
        """Record that a call was answered, be it late. The next call is a watch."""
        self._next_is_poll, self._failed_polls = False, 0
        self._answer_was_lost = False

    def poll_next(self) -> None:
        """Make the next call a poll, because the endpoint list may have been replaced."""
        self._next_is_poll, self._failed_polls = True, 0

    def call_failed(self, call: Call, elapsed_us: int, answer_lost: bool = False) -> int:
        """Record that a call failed, or was not answered in time, `elapsed_us` after its start.

        `answer_lost`: discovery had begun to answer. What it has written counts as known, so discovery is called again
        at once, unless that has just failed in the same way. Returns the delay before the next call, a poll.
        """
        self._next_is_poll = True
        if call.is_watch and elapsed_us >= call.timeout_us:
            return 0  # needs no staggering: watches that time out do so at random moments
        if answer_lost and not self._answer_was_lost:
            self._answer_was_lost = True
            return 0
        self._failed_polls += not call.is_watch
        if self.stop_sending_within_us:
            return int(self.stop_sending_within_us * AGENT_RETRY_DELAY_FRACTION)
        stagger_us = self._stagger_us if call.is_watch else 0
        if self._failed_polls == FAILED_POLLS_BEFORE_UNAVAILABLE and self._staggered_dispatchers:
            stagger_us = self._stagger_us
            if not self._is_small_fleet:
                elapsed_us = UNAVAILABLE_POLL_PERIOD_US
        return max(self._poll_period_us - elapsed_us, int(self._stagger_position * stagger_us))

    @property
    def _is_small_fleet(self) -> bool:
        return self._dispatchers <= MAX_SMALL_FLEET

    @property
    def _poll_period_us(self) -> int:
        """The time from the start of a failed poll to the start of the next one."""
        if not self._is_small_fleet:
            return self._unavailable_poll_period_us if self.discovery_unavailable else POLL_RETRY_INTERVAL_US
        doublings = min(max(self._failed_polls - 1, 0), MAX_DOUBLINGS)
        period_us = min(POLL_RETRY_INTERVAL_US << doublings, self._unavailable_poll_period_us)
        return self._random_source.randint(int(period_us * (1 - JITTER)), int(period_us * (1 + JITTER)))

    @property
    def _poll_timeout_us(self) -> int:
        if self.stop_sending_within_us:
            return int(self.stop_sending_within_us * AGENT_ANSWER_GRACE_FRACTION)
        if self.discovery_unavailable:
            return max(POLL_TIMEOUT_US, self._unavailable_poll_period_us)
        return POLL_TIMEOUT_US

    @property
    def _stagger_us(self) -> int:
        return min(STAGGER_PER_DISPATCHER_US * self._staggered_dispatchers, MAX_STAGGER_US)

    @property
    def _unavailable_poll_period_us(self) -> int:
        period_us = UNAVAILABLE_POLL_PERIOD_BASE_US + UNAVAILABLE_POLL_PERIOD_PER_DISPATCHER_US * self._dispatchers
        return min(period_us, UNAVAILABLE_POLL_PERIOD_US)
