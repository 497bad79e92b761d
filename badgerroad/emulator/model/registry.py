"""Simulation of discovery: a list of nodes with update delay, limited call capacity, watches and faults."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from badgerroad.emulator.model.kernel import SEC, Draws, Kernel

# Number of list changes kept before the newest one; a call with a version older than these gets the complete list.
MAX_CHANGES_KEPT = 512
WATCH_RENEWAL_US = 200_000  # microseconds after an answer within which a new watch continues the previous one


class Entry(NamedTuple):
    """One entry of the endpoint list; `started_at` is in microseconds of the run's clock, 0 if before the run."""

    node: str
    state: str
    started_at: int
    machine_type: int
    zone: int
    cell: int
    weight: float


class Answer(NamedTuple):
    """Discovery's answer: the complete list, or the entries that have changed."""

    version: int
    complete: bool
    entries: tuple[Entry, ...]


Reply = Callable[[Answer | None], None]  # called with None if the call failed


class Registry:
    """Simulated discovery service.

    Calls are served one at a time, each in `1 / capacity` seconds, and fail after waiting for `timeout` microseconds.

    `dead_calls_cost`: calls that timed out still use capacity. `lines_per_call`: number of entries of a complete list
    that cost as much as one call (0: entries cost nothing). `watches_go_on`: a watch renewed within 200 ms of the
    previous answer uses no capacity.
    """

    def __init__(
        self,
        kernel: Kernel,
        draws: Draws,
        update_delay: tuple[float, float],
        capacity: float,
        timeout: int,
        dead_calls_cost: bool = False,
        lines_per_call: int = 0,
        watches_go_on: bool = False,
    ) -> None:
        """`update_delay`: range of the delay of list updates, in microseconds.

        The docstring of the class describes the other arguments.
        """
        self.dead_calls_cost, self.lines_per_call, self.watches_go_on = dead_calls_cost, lines_per_call, watches_go_on
        self.kernel, self.draws, self.update_delay, self.timeout = kernel, draws, update_delay, timeout
        self.call_duration = int(SEC / capacity) if capacity else 0
        self.entries: dict[str, Entry] = {}
        self.version = 1
        self.changes: list[tuple[int, Entry]] = []
        self.down = self.silent = False
        self.calls = self.failed = 0
        self.not_ready_since: dict[str, int] = {}  # time at which the list first had the node as not ready
        # By dispatcher: (time of the last call or answer, number of open calls, whether the last call failed).
        self.contacts: dict[int, tuple[int, int, bool]] = {}
        self._free_at = 0
        self._watchers: list[tuple[int, int, Reply]] = []  # open watches: (dispatcher, version of its list, reply)

    def update(self, entry: Entry) -> None:
        """Apply a change to the endpoint list now and answer open watches."""
        self.version += 1
        if entry.state == "gone":
            self.entries.pop(entry.node, None)
        else:
            self.entries[entry.node] = entry
        if entry.state == "ready":
            self.not_ready_since.pop(entry.node, None)
        else:
            self.not_ready_since.setdefault(entry.node, self.kernel.now)
        self.changes = [*self.changes[-MAX_CHANGES_KEPT:], (self.version, entry)]
        if self.down or self.silent:
            return
        waiting, self._watchers = self._watchers, []
        for dispatcher, index, reply in waiting:
            self._answer_changes(dispatcher, index, reply, True)

    def update_later(self, entry: Entry) -> None:
        """Apply a change to the endpoint list after a delay drawn from `update_delay`."""
        self.kernel.after(self.draws.uniform(*self.update_delay), self.update, entry)

    def call(self, dispatcher: int, index: int | None, wait: int, reply: Reply) -> None:
        """Call discovery; `reply` is called with the answer.

        `index` None requests the complete list. Otherwise the call returns changes after version `index`, and waits up
        to `wait` microseconds for one.
        """
        self.calls += 1
        last_contact, open_calls, failed = self.contacts.get(dispatcher, (-WATCH_RENEWAL_US - 1, 0, True))
        self.contacts[dispatcher] = self.kernel.now, open_calls + 1, False
        if self.silent:
            return
        if self.down:
            self._answer(dispatcher, reply, None)
            return
        if (
            self.watches_go_on
            and index is not None
            and not failed
            and self.kernel.now - last_contact <= WATCH_RENEWAL_US
        ):
            self._begin(dispatcher, index, wait, reply)
            return
        start_at = max(self.kernel.now, self._free_at)
        entry_count = len(self.entries) if index is None else 0
        duration = self.call_duration + (
            self.call_duration * entry_count // self.lines_per_call if self.lines_per_call else 0
        )
        if start_at - self.kernel.now > self.timeout:
            self._free_at = start_at + duration if self.dead_calls_cost else self._free_at
            self.kernel.after(self.timeout, self._answer, dispatcher, reply, None)
            return
        self._free_at = start_at + duration
        self.kernel.at(self._free_at, self._begin, dispatcher, index, wait, reply)

    def _begin(self, dispatcher: int, index: int | None, wait: int, reply: Reply) -> None:
        if self.silent:
            return
        if self.down:
            self._answer(dispatcher, reply, None)
        elif index is None or index < self.version:
            self._answer_changes(dispatcher, index, reply, False)
        else:
            watch = (dispatcher, index, reply)
            self._watchers.append(watch)
            self.kernel.after(wait, self._watch_expired, watch)

    def _watch_expired(self, watch: tuple[int, int, Reply]) -> None:
        if watch in self._watchers:
            self._watchers.remove(watch)
            if not self.silent:
                self._answer_changes(watch[0], watch[1], watch[2], True)

    def _answer_changes(self, dispatcher: int, index: int | None, reply: Reply, waited: bool) -> None:
        kept = [entry for version, entry in self.changes if index is not None and version > index]
        if index is None or self.version - index > len(kept):
            self._answer(dispatcher, reply, Answer(self.version, True, tuple(self.entries.values())))
        else:
            newest = {entry.node: entry for entry in kept}
            self._answer(dispatcher, reply, Answer(self.version, False, tuple(newest.values())))

    def _answer(self, dispatcher: int, reply: Reply, answer: Answer | None) -> None:
        self.failed += answer is None
        _, open_calls, _ = self.contacts.get(dispatcher, (0, 1, False))
        self.contacts[dispatcher] = self.kernel.now, max(open_calls - 1, 0), answer is None
        reply(answer)

    def dispatcher_ended(self, dispatcher: int) -> None:
        """Drop the watches of a dispatcher that has ended."""
        self._watchers = [watch for watch in self._watchers if watch[0] != dispatcher]
        self.contacts[dispatcher] = self.kernel.now, 0, False

    def set_down(self, enabled: bool) -> None:
        """Make discovery unavailable: open watches and new calls fail at once."""
        self.down = enabled
        if enabled:
            waiting, self._watchers = self._watchers, []
            for dispatcher, _, reply in waiting:
                self._answer(dispatcher, reply, None)

    def set_silent(self, enabled: bool) -> None:
        """Make discovery unresponsive: calls get no answer and connections stay open."""
        self.silent = enabled
        if enabled:
            self._watchers = []

    def presumed_notified_at(self, dispatcher: int, node: str, ask_within: int) -> int | None:
        """Return when a dispatcher without an open call counts as notified that a node is not ready.

        Return None if the dispatcher does not count as notified yet. The platform's third rule requires dispatchers to
        call discovery at least once per `ask_within` microseconds, or four times that after a failed call.
        """
        not_ready_at = self.not_ready_since.get(node)
        last_contact, open_calls, failed = self.contacts.get(dispatcher, (0, 0, False))
        if not_ready_at is None or open_calls:
            return None
        notified_at = max(last_contact, not_ready_at) + ask_within * (4 if failed else 1)
        return notified_at if notified_at <= self.kernel.now else None
