"""Credit by cumulative counters, as in the flow control of HTTP/2: `granted` one way, `used` and `returned` the other.

All three are totals that never fall, and each side uses the highest received, so a lost, repeated or late message
changes nothing. Counts are whole requests.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_JUMP = 1 << 40  # requests by which totals may exceed what is known
LATE_WINDOW = 1 << 20  # a number further back than this is not that of a late message


def is_newest(number: int, known: int) -> bool:
    """Whether a message's number is the highest so far, or so far back that the highest must have been wrong."""
    return number >= known or known - number > LATE_WINDOW


class Progress(NamedTuple):
    """How much a report added to the known totals."""

    used: int
    returned: int


class GrantorCredit:
    """The granting end. Granted credit is outstanding until it is reported used or returned, or written off."""

    __slots__ = ("granted", "used", "returned", "written_off")

    def __init__(self) -> None:
        """Start with nothing granted."""
        self.granted = 0
        self.used = 0
        self.returned = 0
        self.written_off = 0  # this many of `granted` are accounted for, whatever is reported later

    @property
    def outstanding(self) -> int:
        """Granted requests that are not accounted for."""
        return self.granted - max(self.written_off, self.used + self.returned)

    def grant(self, count: int) -> None:
        """Grant `count` more requests."""
        self.granted += count

    def report(self, used: int, returned: int) -> Progress:
        """Apply the holder's totals. Totals beyond what was granted are impossible and ignored."""
        if max(self.used, used) + max(self.returned, returned) > self.granted:
            return Progress(0, 0)
        counted = max(self.written_off, self.used + self.returned)
        newly_used = max(0, used - self.used)
        self.used = max(self.used, used)
        self.returned = max(self.returned, returned)
        total = self.used + self.returned
        newly_accounted = max(0, total - counted)
        used_part = min(newly_used, newly_accounted)
        return Progress(used_part, newly_accounted - used_part)

    def begin_anew(self, used: int, returned: int) -> None:
        """Adopt the totals of an account that this end has forgotten.

        Only while nothing is outstanding, and unless the totals exceed what is known by more than MAX_JUMP.
        """
        total = used + returned
        if self.granted < total <= self.granted + MAX_JUMP and not self.outstanding:
            self.granted = total
            self.used, self.returned = used, returned

    def write_off(self) -> int:
        """Account for everything granted; return how much was outstanding."""
        outstanding = self.outstanding
        self.written_off = self.granted
        return outstanding


class HolderCredit:
    """The end that receives credit and uses it."""

    __slots__ = ("granted", "used", "returned")

    def __init__(self) -> None:
        """Start without credit."""
        self.granted = 0
        self.used = 0
        self.returned = 0

    @property
    def unused(self) -> int:
        """Requests granted and neither used nor returned."""
        return self.granted - self.used - self.returned

    def take(self, granted: int) -> int:
        """Apply the granting end's total; return how much it adds.

        A total beyond MAX_JUMP is ignored: once believed, it would hide all true totals that follow.
        """
        added = max(0, granted - self.granted)
        if added > MAX_JUMP:
            return 0
        self.granted += added
        return added

    def use(self, count: int) -> None:
        """Use `count` requests."""
        self.used += count

    def give_back(self, count: int) -> None:
        """Return `count` requests unused."""
        self.returned += count
