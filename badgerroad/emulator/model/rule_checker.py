"""The referee: what crosses the wire, held against the platform's four rules. It never asks a dispatcher.

1. Every request that a dispatcher took ends once, in time, and what is served was made by a node for it.
2. What may have run is sent again, or refused, only where its class permits; a key has one effect at most.
3. Nothing new to a node later than the grace after a dispatcher was told that it drains or is gone.
4. A cold node is not pushed over: when one falls, two thirds of the window's work must not have come from those told.
"""

from __future__ import annotations

from typing import NamedTuple

from badgerroad.emulator.model.kernel import Kernel

SERVED, REFUSED, FAILED, LEFT, DIED = "served", "refused", "failed", "left", "died"


class ClassRule(NamedTuple):
    """What the rules depend on in one class; times in microseconds."""

    name: str
    semantics: str  # retryable, dedup or fragile
    group: str  # all, zone or cell
    window: int


class Breach(NamedTuple):
    """One broken rule. `at` in microseconds of the run."""

    at: int
    rule: int
    what: str


class Attempt:
    """One attempt as it arrived at a node. `ran`: None while it may, or may yet, have run."""

    __slots__ = ("node", "zone", "rack", "at", "over", "never")

    def __init__(self, node: str, zone: int, rack: int, at: int) -> None:
        """`at`: when it arrived, in microseconds of the run."""
        self.node, self.zone, self.rack, self.at, self.over, self.never = node, zone, rack, at, False, False


class Taken:
    """One try of a client, from the moment its dispatcher has it whole."""

    __slots__ = ("id", "key", "cls", "dispatcher", "due", "attempts", "end", "results")

    def __init__(self, request_id: str, key: str, cls: ClassRule, dispatcher: int, due: int) -> None:
        """`due`: until when its answer may come, in microseconds of the run."""
        self.id, self.key, self.cls, self.dispatcher, self.due = request_id, key, cls, dispatcher, due
        self.attempts: list[Attempt] = []
        self.end = ""
        self.results: list[str] = []


class Referee:
    """Checks the platform's four rules on what crosses the wire."""

    def __init__(
        self,
        kernel: Kernel,
        classes: list[ClassRule],
        grace: int,
        slack: int,
        ask_within: int,
        max_attempts: int,
        second_copies: bool,
        extra: int = 0,
    ) -> None:
        """`extra`: what every time limit is longer by on real sockets."""
        self.kernel, self.classes = kernel, classes
        self.grace, self.slack, self.ask_within, self.extra = grace + extra, slack + extra, ask_within, extra
        self.max_attempts, self.second_copies = max_attempts, second_copies
        self.breaches: list[Breach] = []
        self.open: dict[str, Taken] = {}
        self.taken = self.attempts = self.crossings = self.handshakes = self.probes = 0
        self.ended: dict[str, int] = {}
        self.told: dict[tuple[int, str], int] = {}  # (dispatcher, node): since when not ready, by its own list
        self.known: dict[tuple[int, str], int] = {}  # (dispatcher, node): the start it was told of
        self.effects: dict[tuple[str, str], int] = {}  # (class, key): effects
        self._dropped: dict[tuple[str, str, object], int] = {}  # seen by a group of nodes: until when
        self.falls = 0

    def _break(self, rule: int, what: str) -> None:
        self.breaches.append(Breach(self.kernel.now, rule, what))

    # Rule 1.

    def took(self, request_id: str, key: str, class_index: int, dispatcher: int, due: int) -> None:
        """The last byte of a request is with a dispatcher; it owes an answer until `due` plus the slack."""
        self.taken += 1
        self.open[request_id] = Taken(request_id, key, self.classes[class_index], dispatcher, due)
        self.kernel.at(due + self.slack + 1, self._overdue, request_id)

    def _overdue(self, request_id: str) -> None:
        taken = self.open.get(request_id)
        if taken is not None and not taken.end:
            self._break(1, f"{taken.cls.name} {request_id} of dispatcher {taken.dispatcher} has no answer in time")
            self._end(taken, FAILED)
        self.kernel.after(
            self.slack + 60_000_000, self.open.pop, request_id, None
        )  # second answers and attempts still count

    def answered(self, request_id: str, kind: str, result: str = "") -> None:
        """A final answer has reached the client whole."""
        taken = self.open.get(request_id)
        if taken is None:
            self._break(1, f"an answer to {request_id}, which nobody asked")
            return
        if taken.end in (LEFT, DIED):
            return  # on its way to nobody
        if taken.end:
            self._break(1, f"{taken.cls.name} {request_id} is answered twice: {taken.end}, then {kind}")
            return
        if kind == SERVED and result not in taken.results:
            self._break(1, f"{taken.cls.name} {request_id} is served with what no node made for it")
        if kind == REFUSED:
            self._refusal(taken)
        self._end(taken, kind)

    def _end(self, taken: Taken, kind: str) -> None:
        taken.end = kind
        self.ended[kind] = self.ended.get(kind, 0) + 1

    def left(self, request_id: str) -> None:
        """The client has gone: nothing is owed any more."""
        taken = self.open.get(request_id)
        if taken is not None and not taken.end:
            self._end(taken, LEFT)

    def broken_off(self, request_id: str) -> None:
        """A dispatcher that runs has ended the connection without a whole answer."""
        taken = self.open.get(request_id)
        if taken is not None and not taken.end:
            self._break(
                1, f"{taken.cls.name} {request_id}: dispatcher {taken.dispatcher} ended the connection unanswered"
            )
            self._end(taken, FAILED)

    def died(self, dispatcher: int, planned: bool) -> None:
        """Killed: what it held is the clients' to repeat. After a planned stop it must have held nothing that came in
        time, which `planned` asks to be checked."""
        for taken in self.open.values():
            if taken.dispatcher == dispatcher and not taken.end:
                if planned:
                    self._break(1, f"{taken.cls.name} {taken.id} is lost in the planned stop of {dispatcher}")
                self._end(taken, DIED)
        for at in [k for k in self.told if k[0] == dispatcher]:
            del self.told[at]

    def crashed(self, dispatcher: int, why: str) -> None:
        """A dispatcher has ended by itself."""
        self._break(1, f"dispatcher {dispatcher} crashed: {why}")
        self.died(dispatcher, False)

    # Rules 2 and 3.

    def attempt(
        self,
        request_id: str,
        dispatcher: int,
        node: str,
        zone: int,
        rack: int,
        begun: int,
        home: int,
        counts_as_told: int | None = None,
    ) -> Attempt | None:
        """An attempt has arrived whole at a node; its first byte was sent at `begun`."""
        now, taken = self.kernel.now, self.open.get(request_id)
        self.attempts += 1
        self.crossings += zone != home
        told = self.told.get((dispatcher, node), counts_as_told)
        if told is not None and begun > told + self.grace:
            self._break(
                3, f"{request_id} sent to {node} {(begun - told) // 1000} ms after dispatcher {dispatcher} was told"
            )
        if taken is None:
            self._break(2, f"{node} was sent {request_id}, which no client sent in this form")
            return None
        before = [attempt for attempt in taken.attempts if not attempt.never]
        name = f"{taken.cls.name} {request_id}"
        if taken.end in (SERVED, REFUSED, FAILED) and begun > now - 1000:
            self._break(1, f"{name} sent to {node} after its end")
        if len(taken.attempts) >= self.max_attempts:
            self._break(2, f"{name} has more than {self.max_attempts} attempts")
        if not self.second_copies and any(not attempt.over for attempt in before):
            self._break(2, f"{name}: a second copy to {node}")
        if before and taken.cls.semantics == "fragile":
            self._break(2, f"{name} may have run at {before[0].node} and is sent to {node}")
        elif before and taken.cls.semantics == "dedup":
            first = before[0]
            if taken.cls.group == "zone" and first.zone != zone or taken.cls.group == "cell" and first.rack != rack:
                self._break(2, f"{name} may have run at {first.node} and left its {taken.cls.group} for {node}")
            if now > first.at + taken.cls.window + self.extra:
                self._break(2, f"{name} is repeated after its window")
        attempt = Attempt(node, zone, rack, begun)
        taken.attempts.append(attempt)
        return attempt

    def _refusal(self, taken: Taken) -> None:
        ran = [attempt for attempt in taken.attempts if not attempt.never]
        cls = taken.cls
        if ran and (cls.semantics == "fragile" or cls.semantics == "dedup" and cls.group != "all"):
            self._break(2, f"{cls.name} {taken.id} may have run at {ran[0].node} and is refused")

    def attempt_over(self, attempt: Attempt | None, never: bool) -> None:
        """A node has ended an attempt, or it was given up. `never`: proved never to have run."""
        if attempt is not None:
            attempt.over, attempt.never = True, attempt.never or never

    def result(self, request_id: str, result: str) -> None:
        """A node has made this result for a request."""
        taken = self.open.get(request_id)
        if taken is not None:
            taken.results.append(result)

    def effect(self, class_index: int, key: str, zone: int, rack: int) -> None:
        """A job has run to its end at a node, whose group may have had its key before."""
        cls = self.classes[class_index]
        if cls.semantics == "retryable":
            return
        group: object = 0 if cls.group == "all" else zone if cls.group == "zone" else rack
        if cls.semantics == "dedup":
            until = self._dropped.get((cls.name, key, group), -1)
            if self.kernel.now <= until:
                return
            self._dropped[cls.name, key, group] = self.kernel.now + cls.window
        count = self.effects[cls.name, key] = self.effects.get((cls.name, key), 0) + 1
        if count > 1:
            self._break(2, f"{cls.name}: key {key} has {count} effects")

    # What dispatchers are told.

    def tell(self, dispatcher: int, whole: bool, entries: list[tuple[str, str, int]]) -> None:
        """Discovery has written (node, state, start) lines to a dispatcher."""
        now = self.kernel.now
        named = {node for node, _, _ in entries}
        for node, state, since in entries:
            if state == "ready":
                self.told.pop((dispatcher, node), None)
                self.known[dispatcher, node] = since
            else:
                self.told.setdefault((dispatcher, node), now)
        if whole:
            for d, node in [k for k in self.known if k[0] == dispatcher and k[1] not in named]:
                self.told.setdefault((d, node), now)

    # Rule 4.

    def fell(self, node: str, since: int, sent: list[tuple[int, float]]) -> None:
        """A node that warmed up has fallen over from what it was sent."""
        self.falls += 1
        informed = sum(w for d, w in sent if self.known.get((d, node), -1) == since)
        share = informed / max(sum(w for _, w in sent), 1e-9)
        if share >= 2 / 3:
            self._break(4, f"cold {node} was pushed over, {share:.0%} of it by dispatchers told of its start")
