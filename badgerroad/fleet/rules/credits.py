"""Credit accounts by cumulative counters, similar to HTTP/2 flow control.

The grantor sends the total `granted`; the holder sends the totals `used` and `returned`. Totals never decrease and each
side keeps the highest value received, so a lost, repeated or late message changes nothing. Counts are whole requests.
"""

from __future__ import annotations

from typing import NamedTuple

MAX_JUMP = 1 << 40  # requests by which a received total may exceed the known total
LATE_WINDOW = 1 << 20  # a message number more than this below the highest received number is not of a late message


def is_newest(number: int, known: int) -> bool:
    """Whether a message number is at least `known`, the highest so far, or too far below it for a late message.

    In the second case the highest number must have been wrong, so the lower number is accepted.
    """
    return number >= known or known - number > LATE_WINDOW


class Progress(NamedTuple):
    """By how many requests a report raised the known totals of used and returned requests."""

    used: int
    returned: int


class GrantorCredit:
    """The credit account at the granting side.

    Granted credit is outstanding until it is reported as used or returned, or is written off, after which reports on it
    change nothing.
    """

    __slots__ = ("granted", "used", "returned", "written_off")

    def __init__(self) -> None:
        """Start with nothing granted."""
        self.granted = 0
        self.used = 0
        self.returned = 0
        self.written_off = 0  # granted requests that are not outstanding any more, whatever is reported later

    @property
    def outstanding(self) -> int:
        """The number of granted requests that are neither reported as used or returned nor written off."""
        return self.granted - max(self.written_off, self.used + self.returned)

    def grant(self, count: int) -> None:
        """Grant `count` more requests."""
        self.granted += count

    def report(self, used: int, returned: int) -> Progress:
        """Apply the holder's totals; return how many outstanding requests they account for.

        Totals whose sum exceeds the granted total are invalid and ignored.
        """
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

    def adopt_totals(self, used: int, returned: int) -> None:
        """Adopt the holder's totals of an account that this side has dropped.

        Applies only while nothing is outstanding, and only if the totals exceed the granted total by at most MAX_JUMP.
        """
        total = used + returned
        if self.granted < total <= self.granted + MAX_JUMP and not self.outstanding:
            self.granted = total
            self.used, self.returned = used, returned

    def write_off(self) -> int:
        """Write off all granted requests; return how many were outstanding."""
        outstanding = self.outstanding
        self.written_off = self.granted
        return outstanding


class HolderCredit:
    """The credit account at the side that receives and uses the credit."""

    __slots__ = ("granted", "used", "returned")

    def __init__(self) -> None:
        """Start without credit."""
        self.granted = 0
        self.used = 0
        self.returned = 0

    @property
    def unused(self) -> int:
        """The number of granted requests that are neither used nor returned."""
        return self.granted - self.used - self.returned

    def take(self, granted: int) -> int:
        """Apply the grantor's total of granted requests; return by how much it rose.

        A total that is more than MAX_JUMP higher is ignored: once accepted, a wrong value would hide all correct totals
        that follow.
        """
        added = max(0, granted - self.granted)
        if added > MAX_JUMP:
            return 0
        self.granted += added
        return added

    def use(self, count: int) -> None:
        """Record `count` requests as used."""
        self.used += count

    def give_back(self, count: int) -> None:
        """Return `count` unused requests."""
        self.returned += count
