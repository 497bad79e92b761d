"""Credit by cumulative counters, like the flow control of HTTP/2: `granted` one way, `used` and `returned` the other.

All three are totals and never fall, and each side takes the highest that it has heard; so a message that is lost,
repeated or late changes nothing. Counts are whole requests.
"""

from __future__ import annotations

from typing import NamedTuple

MAXIMAL_JUMP = 1 << 40  # by which totals may exceed what is known
WINDOW = 1 << 20  # numbers of messages further back than that are no late ones


def is_newest(number: int, known: int) -> bool:
    """Is a message's number at least the highest known? One that is far back shows that the highest was wrong."""
    return number >= known or known - number > WINDOW


class Progress(NamedTuple):
    """What a report added to what was known."""

    used: int
    returned: int


class GrantorCredit:
    """The granting end. What is granted is outstanding until it is reported used or returned, or written off."""

    __slots__ = ("granted", "used", "returned", "written_off")

    def __init__(self) -> None:
        self.granted = self.used = self.returned = 0
        self.written_off = 0  # the first so many of `granted` are accounted for, whatever is reported of them

    @property
    def outstanding(self) -> int:
        return self.granted - max(self.written_off, self.used + self.returned)

    def grant(self, count: int) -> None:
        self.granted += count

    def report(self, used: int, returned: int) -> Progress:
        """The other end's totals. Totals beyond what was granted can't be and are ignored."""
        if max(self.used, used) + max(self.returned, returned) > self.granted:
            return Progress(0, 0)
        counted = max(self.written_off, self.used + self.returned)
        newly_used = max(0, used - self.used)
        self.used = max(self.used, used)
        self.returned = max(self.returned, returned)
        total = self.used + self.returned
        beyond = max(0, total - counted)
        of_use = min(newly_used, beyond)
        return Progress(of_use, beyond - of_use)

    def begin_anew(self, used: int, returned: int) -> None:
        """Totals beyond what was granted, from an account that this end has forgotten, are its new beginning: only
        while nothing is outstanding, and unless they are out of all proportion."""
        total = used + returned
        if self.granted < total <= self.granted + MAXIMAL_JUMP and not self.outstanding:
            self.granted = total
            self.used, self.returned = used, returned

    def write_off(self) -> int:
        """Nothing is outstanding any more; returns how much was."""
        outstanding = self.outstanding
        self.written_off = self.granted
        return outstanding


class HolderCredit:
    """The holding end."""

    __slots__ = ("granted", "used", "returned")

    def __init__(self) -> None:
        self.granted = self.used = self.returned = 0

    @property
    def unused(self) -> int:
        return self.granted - self.used - self.returned

    def take(self, granted: int) -> int:
        """The other end's total; returns how much it adds. A total out of all proportion is ignored: believed once, it
        would hide all true ones that follow."""
        added = max(0, granted - self.granted)
        if added > MAXIMAL_JUMP:
            return 0
        self.granted += added
        return added

    def use(self, count: int) -> None:
        self.used += count

    def give_back(self, count: int) -> None:
        self.returned += count
