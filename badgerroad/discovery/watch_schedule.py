"""When discovery is asked, how long an answer is waited for, and when it counts as out: rules without I/O or a clock.

What discovery has to tell counts as told TOLD after it had it and could be reached, whatever calls failed meanwhile. So
much later at most it is known here, if one of the two looks that fall into that time is answered (docs/silence.md):

    a watch that falls silent         WAIT + SILENCE + LOOKS x CALL_TIME       6.0 s
    a watch that breaks               MOST_TURN + LOOKS x CALL_TIME            4.7 s
    discovery is back after an outage 2 x PERIOD                               5.6 s
    a new process                     MOST_FIRST + CALL_TIME                   5.5 s

Where an agent on the same machine holds the list, what it has counts as told at once, and sends have to stop `within`
so long: it is asked anew in parts of that, which burdens nobody else.

Discovery serves all dispatchers in turn, and calls that nobody waits for any more cost it time too. A watch that goes
on costs it next to nothing (0 ms each where a look took 17 to 27, with 200 dispatchers), so waits are short, and drawn
anew for each: those of all dispatchers must not end together. Looks take turns.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

TOLD = 6_000_000
LEAST_WAIT, WAIT = 300_000, 2_300_000
# Beyond its wait, how long a watch is waited for. Answers without news come with it, but up to 1 s late where too many
# call.
SILENCE = 700_000
CALL_TIME = 1_500_000  # how long a look is waited for: it waits in turn with those of all dispatchers
LOOKS = 2  # that fail before discovery counts as out
AGAIN = 350_000  # from the begin of a look that failed at once to the next
FEW = 4  # dispatchers that may ask at one moment
# For each dispatcher there is, what looks are spread over that all would begin at one moment: after their watches
# broke, when discovery counts as out, and at the start.
TURN, MOST_TURN = 40_000, 1_700_000
FIRST, MOST_FIRST = 100_000, 4_000_000
GOLDEN = 0.618034
# From the begin of one look to that of the next while discovery is out: of few, and of many, who take turns.
# 214 dispatchers met a discovery that served some 60 to 90 looks a second.
FEWS_PERIOD, PERIOD = 1_600_000, 2_800_000
# Of the time within which sends must stop: the agent's wait, how long it may be silent, and the pause after a failure.
AGENT_WAIT, AGENT_SILENCE, AGENT_PAUSE = 0.4, 0.2, 0.1
LEAST_AGENT = 100_000  # where the settings leave it no time at all


class Draws(Protocol):
    """A source of random numbers of the caller's own."""

    def randint(self, a: int, b: int) -> int:
        """A number from `a` to `b`, both included."""


class Call(NamedTuple):
    """One call to discovery: a watch, which waits for changes, or a poll."""

    wait: int  # microseconds that discovery may wait for news; 0: it answers at once
    patience: int  # how long the answer is waited for

    @property
    def watches(self) -> bool:
        """Whether it is a watch."""
        return self.wait > 0


class WatchSchedule:
    """The calls of one dispatcher, one after another. All times are in microseconds."""

    def __init__(self, dispatchers: int, number: int, draws: Draws) -> None:
        """This is dispatcher `number` of `dispatchers`, which spread their calls by that."""
        self._draws, self._many = draws, dispatchers if dispatchers > FEW else 0
        self._turn = number * GOLDEN % 1  # from 0 to 1; evenly spread over any of the dispatchers
        self.within = 0  # an agent's list: the time within which sends must stop; 0: discovery is asked
        self._looking, self._failures = True, 0
        self._begun = False

    def agent(self, within: int) -> None:
        """From now on an agent holds the list."""
        self.within = max(within, LEAST_AGENT)

    def asked(self) -> None:
        """From now on discovery is asked."""
        self.within = 0

    def before(self, holds_list: bool) -> int:
        """The pause before the first call. Without a list nothing could be served meanwhile."""
        if self._begun or self.within or not holds_list:
            return 0
        return int(self._turn * min(FIRST * self._many, MOST_FIRST))

    def call(self) -> Call:
        """The next call."""
        self._begun = True
        if self._looking:
            patience = int(self.within * AGENT_SILENCE) if self.within else CALL_TIME
            return Call(0, self._period if self.out and not self.within else patience)
        if self.within:
            wait = int(self.within * AGENT_WAIT)
            return Call(wait, wait + int(self.within * AGENT_SILENCE))
        wait = self._draws.randint(LEAST_WAIT, WAIT)
        return Call(wait, wait + SILENCE)

    @property
    def out(self) -> bool:
        """Whether discovery counts as unavailable."""
        return self._failures >= LOOKS

    def answered(self) -> None:
        """The call was answered: the next one is a watch."""
        self._looking, self._failures = False, 0

    def look(self) -> None:
        """The next call does not wait: the list may be another one."""
        self._looking, self._failures = True, 0

    def failed(self, call: Call, took: int) -> int:
        """The pause before the next call, which is a look. `took`: since this one began."""
        self._looking = True
        if call.watches and took >= call.patience:
            return 0  # silent: the ends of all such watches are spread
        self._failures += not call.watches
        if self.within:
            return int(self.within * AGENT_PAUSE)
        turn = min(TURN * self._many, MOST_TURN) if call.watches else 0
        if self._failures == LOOKS and self._many:
            turn, took = MOST_TURN, PERIOD
        return max((self._period if self.out else AGAIN) - took, int(self._turn * turn))

    @property
    def _period(self) -> int:
        return PERIOD if self._many else FEWS_PERIOD
