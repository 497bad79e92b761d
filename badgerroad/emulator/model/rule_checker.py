"""Checks the traffic between clients, dispatchers and nodes against the platform's four rules.

The rule checker sees only what is sent over the network; it uses no internal state of a dispatcher.

1. Each request that a dispatcher received ends exactly once and in time; a served result was made by a node for it.
2. A job that may have run is retried or rejected only if its class permits this; a key takes effect at most once.
3. A dispatcher sends no new job to a node once the drain grace has passed since it was notified that the node is
   draining or gone.
4. Dispatchers do not overload a node that is warming up: if one collapses, less than two thirds of the work in the
   overload window came from dispatchers that had been notified of its start.
"""

from __future__ import annotations

from typing import NamedTuple

from badgerroad.emulator.model.kernel import Kernel

SERVED, REFUSED, FAILED, CLIENT_LEFT, DISPATCHER_ENDED = "served", "refused", "failed", "left", "died"


class ClassRule(NamedTuple):
    """Properties of a request class that the rules depend on; times in microseconds."""

    name: str
    semantics: str  # retry semantics: retryable, dedup or fragile
    group: str  # the nodes that deduplicate a key together: all, or those of a zone or cell
    dedup_window: int


class Violation(NamedTuple):
    """One violation of a rule; `at` is in microseconds of the run."""

    at: int
    rule: int
    message: str


class Attempt:
    """One attempt that arrived at a node; `never_ran` is set once the attempt is known not to have run."""

    __slots__ = ("node", "zone", "cell", "at", "ended", "never_ran")

    def __init__(self, node: str, zone: int, cell: int, at: int) -> None:
        """`at`: time at which the first byte of the attempt was sent, in microseconds of the run."""
        self.node, self.zone, self.cell, self.at, self.ended, self.never_ran = node, zone, cell, at, False, False


class ReceivedRequest:
    """One request that a dispatcher has received completely."""

    __slots__ = ("id", "key", "cls", "dispatcher", "due", "attempts", "outcome", "results")

    def __init__(self, request_id: str, key: str, cls: ClassRule, dispatcher: int, due: int) -> None:
        """`due`: deadline of the answer, in microseconds of the run."""
        self.id, self.key, self.cls, self.dispatcher, self.due = request_id, key, cls, dispatcher, due
        self.attempts: list[Attempt] = []
        self.outcome = ""
        self.results: list[str] = []


class RuleChecker:
    """Checks the platform's four rules and records violations."""

    def __init__(
        self,
        kernel: Kernel,
        classes: list[ClassRule],
        grace: int,
        slack: int,
        ask_within: int,
        max_attempts: int,
        hedging_permitted: bool,
        extra_time: int = 0,
    ) -> None:
        """Time limits are in microseconds. `extra_time` allows for the delays of real sockets in live runs.

        It is added to `grace`, `slack` and the deduplication windows.
        """
        self.kernel, self.classes = kernel, classes
        self.grace, self.slack, self.ask_within, self.extra_time = (
            grace + extra_time,
            slack + extra_time,
            ask_within,
            extra_time,
        )
        self.max_attempts, self.hedging_permitted = max_attempts, hedging_permitted
        self.violations: list[Violation] = []
        self.open: dict[str, ReceivedRequest] = {}
        self.received_count = self.attempts = self.cross_zone_attempts = self.handshakes = self.probes = 0
        self.outcome_counts: dict[str, int] = {}
        # By (dispatcher, node): time at which the dispatcher was first sent a list in which the node is not ready.
        self.notified_not_ready: dict[tuple[int, str], int] = {}
        # By (dispatcher, node): start time of the node in the last list sent to the dispatcher in which it was ready.
        self.notified_starts: dict[tuple[int, str], int] = {}
        self.effect_counts: dict[tuple[str, str], int] = {}  # by (class, key): number of effects
        # By (class, key, group): end of the deduplication window.
        self._dedup_until: dict[tuple[str, str, object], int] = {}
        self.collapses = 0

    def report_violation(self, rule: int, message: str) -> None:
        """Record a violation of a rule at the current time.

        The texts of all violations are stored in reports and compared by `lab replay`, so they must not change.
        """
        self.violations.append(Violation(self.kernel.now, rule, message))

    # Rule 1: one answer for each request, in time.

    def request_received(self, request_id: str, key: str, class_index: int, dispatcher: int, due: int) -> None:
        """A dispatcher has received a complete request; its answer is due at `due` plus the slack."""
        self.received_count += 1
        self.open[request_id] = ReceivedRequest(request_id, key, self.classes[class_index], dispatcher, due)
        self.kernel.at(due + self.slack + 1, self._check_deadline, request_id)

    def _check_deadline(self, request_id: str) -> None:
        request = self.open.get(request_id)
        if request is not None and not request.outcome:
            self.report_violation(
                1, f"{request.cls.name} {request_id} of dispatcher {request.dispatcher} has no answer in time"
            )
            self._finish(request, FAILED)
        self.kernel.after(
            self.slack + 60_000_000, self.open.pop, request_id, None
        )  # the request is kept for 60 s plus the slack, to detect second answers and late attempts

    def answer_received(self, request_id: str, outcome: str, result: str = "") -> None:
        """A client has received a complete final answer."""
        request = self.open.get(request_id)
        if request is None:
            self.report_violation(1, f"an answer to {request_id}, which nobody asked")
            return
        if request.outcome in (CLIENT_LEFT, DISPATCHER_ENDED):
            return  # the answer was in transit when the client left or the dispatcher ended
        if request.outcome:
            self.report_violation(
                1, f"{request.cls.name} {request_id} is answered twice: {request.outcome}, then {outcome}"
            )
            return
        if outcome == SERVED and result not in request.results:
            self.report_violation(1, f"{request.cls.name} {request_id} is served with what no node made for it")
        if outcome == REFUSED:
            self._check_rejection(request)
        self._finish(request, outcome)

    def _finish(self, request: ReceivedRequest, outcome: str) -> None:
        request.outcome = outcome
        self.outcome_counts[outcome] = self.outcome_counts.get(outcome, 0) + 1

    def client_disconnected(self, request_id: str) -> None:
        """The client has disconnected; the request needs no answer any more."""
        request = self.open.get(request_id)
        if request is not None and not request.outcome:
            self._finish(request, CLIENT_LEFT)

    def connection_broken(self, request_id: str) -> None:
        """A running dispatcher has closed the connection before a complete answer."""
        request = self.open.get(request_id)
        if request is not None and not request.outcome:
            self.report_violation(
                1,
                f"{request.cls.name} {request_id}: dispatcher {request.dispatcher} ended the connection unanswered",
            )
            self._finish(request, FAILED)

    def dispatcher_ended(self, dispatcher: int, planned: bool) -> None:
        """A dispatcher process has ended; it answers its open requests no more, and their clients may retry them.

        With `planned`, each open request is a violation: a planned stop must answer all of them first.
        """
        for request in self.open.values():
            if request.dispatcher == dispatcher and not request.outcome:
                if planned:
                    self.report_violation(
                        1, f"{request.cls.name} {request.id} is lost in the planned stop of {dispatcher}"
                    )
                self._finish(request, DISPATCHER_ENDED)
        for notified in [key for key in self.notified_not_ready if key[0] == dispatcher]:
            del self.notified_not_ready[notified]

    def dispatcher_crashed(self, dispatcher: int, reason: str) -> None:
        """A dispatcher process has ended unexpectedly."""
        self.report_violation(1, f"dispatcher {dispatcher} crashed: {reason}")
        self.dispatcher_ended(dispatcher, False)

    # Rule 2, on retries and rejections, and rule 3, on nodes that are draining or gone.

    def attempt_arrived(
        self,
        request_id: str,
        dispatcher: int,
        node: str,
        zone: int,
        cell: int,
        sent_at: int,
        dispatcher_zone: int,
        presumed_notified_at: int | None = None,
    ) -> Attempt | None:
        """A complete attempt has arrived at a node; its first byte was sent at `sent_at`.

        `dispatcher_zone` is the zone of the dispatcher. `presumed_notified_at` is the time from which the dispatcher
        counts as notified that the node is not ready, if no list sent to it has said so.
        """
        now, request = self.kernel.now, self.open.get(request_id)
        self.attempts += 1
        self.cross_zone_attempts += zone != dispatcher_zone
        notified_at = self.notified_not_ready.get((dispatcher, node), presumed_notified_at)
        if notified_at is not None and sent_at > notified_at + self.grace:
            self.report_violation(
                3,
                f"{request_id} sent to {node} {(sent_at - notified_at) // 1000} ms "
                f"after dispatcher {dispatcher} was told",
            )
        if request is None:
            self.report_violation(2, f"{node} was sent {request_id}, which no client sent in this form")
            return None
        possible_runs = [attempt for attempt in request.attempts if not attempt.never_ran]
        name = f"{request.cls.name} {request_id}"
        if request.outcome in (SERVED, REFUSED, FAILED) and sent_at > now - 1000:
            self.report_violation(1, f"{name} sent to {node} after its end")
        if len(request.attempts) >= self.max_attempts:
            self.report_violation(2, f"{name} has more than {self.max_attempts} attempts")
        if not self.hedging_permitted and any(not attempt.ended for attempt in possible_runs):
            self.report_violation(2, f"{name}: a second copy to {node}")
        if possible_runs and request.cls.semantics == "fragile":
            self.report_violation(2, f"{name} may have run at {possible_runs[0].node} and is sent to {node}")
        elif possible_runs and request.cls.semantics == "dedup":
            first = possible_runs[0]
            if request.cls.group == "zone" and first.zone != zone or request.cls.group == "cell" and first.cell != cell:
                self.report_violation(
                    2, f"{name} may have run at {first.node} and left its {request.cls.group} for {node}"
                )
            if now > first.at + request.cls.dedup_window + self.extra_time:
                self.report_violation(2, f"{name} is repeated after its window")
        attempt = Attempt(node, zone, cell, sent_at)
        request.attempts.append(attempt)
        return attempt

    def _check_rejection(self, request: ReceivedRequest) -> None:
        possible_runs = [attempt for attempt in request.attempts if not attempt.never_ran]
        cls = request.cls
        if possible_runs and (cls.semantics == "fragile" or cls.semantics == "dedup" and cls.group != "all"):
            self.report_violation(2, f"{cls.name} {request.id} may have run at {possible_runs[0].node} and is refused")

    def attempt_ended(self, attempt: Attempt | None, never_ran: bool) -> None:
        """A node or a dispatcher has ended an attempt; `never_ran`: the attempt is known not to have run."""
        if attempt is not None:
            attempt.ended, attempt.never_ran = True, attempt.never_ran or never_ran

    def result_produced(self, request_id: str, result: str) -> None:
        """A node has produced this result for a request."""
        request = self.open.get(request_id)
        if request is not None:
            request.results.append(result)

    def job_completed(self, class_index: int, key: str, zone: int, cell: int) -> None:
        """A node has completed a job.

        A `dedup` job takes no effect if the group of the node has completed the same key within the window.
        """
        cls = self.classes[class_index]
        if cls.semantics == "retryable":
            return
        group: object = 0 if cls.group == "all" else zone if cls.group == "zone" else cell
        if cls.semantics == "dedup":
            until = self._dedup_until.get((cls.name, key, group), -1)
            if self.kernel.now <= until:
                return
            self._dedup_until[cls.name, key, group] = self.kernel.now + cls.dedup_window
        count = self.effect_counts[cls.name, key] = self.effect_counts.get((cls.name, key), 0) + 1
        if count > 1:
            self.report_violation(2, f"{cls.name}: key {key} has {count} effects")

    # Lists sent to dispatchers.

    def list_sent(self, dispatcher: int, complete: bool, entries: list[tuple[str, str, int]]) -> None:
        """Discovery has sent list entries (node, state, start time) to a dispatcher."""
        now = self.kernel.now
        named = {node for node, _, _ in entries}
        for node, state, started_at in entries:
            if state == "ready":
                self.notified_not_ready.pop((dispatcher, node), None)
                self.notified_starts[dispatcher, node] = started_at
            else:
                self.notified_not_ready.setdefault((dispatcher, node), now)
        if complete:
            for recipient, node in [
                key for key in self.notified_starts if key[0] == dispatcher and key[1] not in named
            ]:
                self.notified_not_ready.setdefault((recipient, node), now)

    # Rule 4: overload of nodes that are warming up.

    def node_collapsed(self, node: str, started_at: int, sent: list[tuple[int, float]]) -> None:
        """A node has collapsed during warm-up; `sent` lists (dispatcher, work) of the overload window."""
        self.collapses += 1
        notified_work = sum(
            work for dispatcher, work in sent if self.notified_starts.get((dispatcher, node), -1) == started_at
        )
        share = notified_work / max(sum(work for _, work in sent), 1e-9)
        if share >= 2 / 3:
            self.report_violation(4, f"cold {node} was pushed over, {share:.0%} of it by dispatchers told of its start")
