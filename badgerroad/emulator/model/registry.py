"""Discovery: one list of nodes, learned late, served in turn, watched; with outages and silence."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from badgerroad.emulator.model.kernel import SEC, Draws, Kernel

KEPT = 512  # changes kept; a watch from further back gets the whole list
GOES_ON = 200_000  # microseconds after an answer within which the next watch is the same one


class Entry(NamedTuple):
    """One line of the list. `since`: its last start in microseconds of the run's clock, 0 for long ago."""

    node: str
    state: str
    since: int
    kind: int
    zone: int
    rack: int
    weight: float


class Answer(NamedTuple):
    """Discovery's answer: a complete list, or the entries that have changed."""

    version: int
    whole: bool
    entries: tuple[Entry, ...]


Reply = Callable[[Answer | None], None]  # None: the call failed


class Registry:
    """Calls wait in turn; each takes `1 / capacity` s and fails once it has waited longer than `patience`.

    `dead_calls_cost`: one that has failed so still takes its turn. `lines_per_call`: so many lines of a whole list take
    as long as a call (0: none). `watches_go_on`: a watch asked for anew within 200 ms takes no turn.
    """

    def __init__(
        self,
        kernel: Kernel,
        draws: Draws,
        notice: tuple[float, float],
        capacity: float,
        patience: int,
        dead_calls_cost: bool = False,
        lines_per_call: int = 0,
        watches_go_on: bool = False,
    ) -> None:
        """See the class; `notice`: microseconds until the list has a change, a range."""
        self.dead_calls_cost, self.lines_per_call, self.watches_go_on = dead_calls_cost, lines_per_call, watches_go_on
        self.kernel, self.draws, self.notice, self.patience = kernel, draws, notice, patience
        self.cost = int(SEC / capacity) if capacity else 0
        self.entries: dict[str, Entry] = {}
        self.version = 1
        self.changes: list[tuple[int, Entry]] = []
        self.down = self.silent = False
        self.calls = self.failed = 0
        self.listed_at: dict[str, int] = {}  # when a node was first listed as not ready
        self.contact: dict[int, tuple[int, int, bool]] = {}  # by dispatcher: last contact, watches out, last failed
        self._free = 0
        self._watchers: list[tuple[int, int, Reply]] = []  # (dispatcher, version, reply)

    def put(self, entry: Entry) -> None:
        """The list changes now."""
        self.version += 1
        if entry.state == "gone":
            self.entries.pop(entry.node, None)
        else:
            self.entries[entry.node] = entry
        if entry.state == "ready":
            self.listed_at.pop(entry.node, None)
        else:
            self.listed_at.setdefault(entry.node, self.kernel.now)
        self.changes = [*self.changes[-KEPT:], (self.version, entry)]
        if self.down or self.silent:
            return
        waiting, self._watchers = self._watchers, []
        for dispatcher, index, reply in waiting:
            self._served(dispatcher, index, reply, True)

    def noticed(self, entry: Entry) -> None:
        """Something has happened to a node: the list has it some time later."""
        self.kernel.after(self.draws.uniform(*self.notice), self.put, entry)

    def call(self, dispatcher: int, index: int | None, wait: int, reply: Reply) -> None:
        """`index` None: the whole list. Otherwise what is newer, waiting up to `wait` microseconds for it."""
        self.calls += 1
        last, out, failed = self.contact.get(dispatcher, (-GOES_ON - 1, 0, True))
        self.contact[dispatcher] = self.kernel.now, out + 1, False
        if self.silent:
            return
        if self.down:
            self._answer(dispatcher, reply, None)
            return
        if self.watches_go_on and index is not None and not failed and self.kernel.now - last <= GOES_ON:
            self._begin(dispatcher, index, wait, reply)
            return
        begin = max(self.kernel.now, self._free)
        lines = len(self.entries) if index is None else 0
        cost = self.cost + (self.cost * lines // self.lines_per_call if self.lines_per_call else 0)
        if begin - self.kernel.now > self.patience:
            self._free = begin + cost if self.dead_calls_cost else self._free
            self.kernel.after(self.patience, self._answer, dispatcher, reply, None)
            return
        self._free = begin + cost
        self.kernel.at(self._free, self._begin, dispatcher, index, wait, reply)

    def _begin(self, dispatcher: int, index: int | None, wait: int, reply: Reply) -> None:
        if self.silent:
            return
        if self.down:
            self._answer(dispatcher, reply, None)
        elif index is None or index < self.version:
            self._served(dispatcher, index, reply, False)
        else:
            watch = (dispatcher, index, reply)
            self._watchers.append(watch)
            self.kernel.after(wait, self._waited, watch)

    def _waited(self, watch: tuple[int, int, Reply]) -> None:
        if watch in self._watchers:
            self._watchers.remove(watch)
            if not self.silent:
                self._served(watch[0], watch[1], watch[2], True)

    def _served(self, dispatcher: int, index: int | None, reply: Reply, late: bool) -> None:
        kept = [e for v, e in self.changes if index is not None and v > index]
        if index is None or self.version - index > len(kept):
            self._answer(dispatcher, reply, Answer(self.version, True, tuple(self.entries.values())))
        else:
            newest = {e.node: e for e in kept}
            self._answer(dispatcher, reply, Answer(self.version, False, tuple(newest.values())))

    def _answer(self, dispatcher: int, reply: Reply, answer: Answer | None) -> None:
        self.failed += answer is None
        _, out, _ = self.contact.get(dispatcher, (0, 1, False))
        self.contact[dispatcher] = self.kernel.now, max(out - 1, 0), answer is None
        reply(answer)

    def forget(self, dispatcher: int) -> None:
        """A dispatcher has died: its watches are void."""
        self._watchers = [w for w in self._watchers if w[0] != dispatcher]
        self.contact[dispatcher] = self.kernel.now, 0, False

    def outage(self, on: bool) -> None:
        """Down: watches end in failure, and calls fail at once."""
        self.down = on
        if on:
            waiting, self._watchers = self._watchers, []
            for dispatcher, _, reply in waiting:
                self._answer(dispatcher, reply, None)

    def mute(self, on: bool) -> None:
        """Silent death: nothing is answered any more, and nothing ends."""
        self.silent = on
        if on:
            self._watchers = []

    def counts_as_told(self, dispatcher: int, node: str, ask_within: int) -> int | None:
        """Since when a dispatcher that neither watches nor asks counts as told that a node is not ready; None: it
        does not (the platform's third rule)."""
        listed = self.listed_at.get(node)
        last, out, failed = self.contact.get(dispatcher, (0, 0, False))
        if listed is None or out:
            return None
        told = max(last, listed) + ask_within * (4 if failed else 1)
        return told if told <= self.kernel.now else None
