"""A dispatcher's requests that wait for a lease, with the deadlines of their decisions."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple


class Deadline(NamedTuple):
    """The time in microseconds at which a waiting request must be decided."""

    time: int
    request: int


class WaitingRequests:
    """The waiting requests by number, each with its team.

    All requests wait equally long, so deadlines are in order of arrival.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self._teams: dict[int, str] = {}
        self._deadlines: deque[Deadline] = deque()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._teams)

    def add(self, request: int, team: str, deadline: int) -> None:
        """Add a request of `team` that must be decided by `deadline`."""
        self._teams[request] = team
        self._deadlines.append(Deadline(deadline, request))

    def remove(self, request: int) -> str | None:
        """Remove a request; return its team, or None if it is not waiting."""
        return self._teams.pop(request, None)

    def teams(self) -> list[str]:
        """Return the teams that have waiting requests, in order of arrival."""
        return list(dict.fromkeys(self._teams.values()))

    def next_deadline(self) -> int | None:
        """Return the earliest deadline of a waiting request; None if no request waits."""
        while self._deadlines and self._deadlines[0].request not in self._teams:
            self._deadlines.popleft()
        return self._deadlines[0].time if self._deadlines else None

    def due(self, now: int) -> Iterator[tuple[int, str]]:
        """Yield each request whose deadline has passed, with its team. The caller removes it."""
        while self._deadlines and self._deadlines[0].time <= now:
            request = self._deadlines.popleft().request
            team = self._teams.get(request)
            if team is not None:
                yield request, team
