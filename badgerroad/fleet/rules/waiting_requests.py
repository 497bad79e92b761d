"""The requests of a dispatcher that wait for a lease, with the deadlines at which they must be decided."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple


class Deadline(NamedTuple):
    """When a waiting request must be decided: `time` in microseconds."""

    time: int
    request: int


class WaitingRequests:
    """Requests by number, each with its team. All wait equally long, so deadlines are in the order of arrival."""

    def __init__(self) -> None:
        """Start without requests."""
        self._teams: dict[int, str] = {}
        self._deadlines: deque[Deadline] = deque()

    def __len__(self) -> int:
        """The number of requests that wait."""
        return len(self._teams)

    def add(self, request: int, team: str, deadline: int) -> None:
        """Let a request of `team` wait until `deadline`."""
        self._teams[request] = team
        self._deadlines.append(Deadline(deadline, request))

    def remove(self, request: int) -> str | None:
        """Remove a request; return its team, or None if it does not wait."""
        return self._teams.pop(request, None)

    def teams(self) -> list[str]:
        """The teams that have waiting requests, in order of arrival."""
        return list(dict.fromkeys(self._teams.values()))

    def next_deadline(self) -> int | None:
        """The earliest deadline of a request that still waits."""
        while self._deadlines and self._deadlines[0].request not in self._teams:
            self._deadlines.popleft()
        return self._deadlines[0].time if self._deadlines else None

    def due(self, now: int) -> Iterator[tuple[int, str]]:
        """Each request whose deadline has come, with its team. The caller removes it."""
        while self._deadlines and self._deadlines[0].time <= now:
            request = self._deadlines.popleft().request
            team = self._teams.get(request)
            if team is not None:
                yield request, team
