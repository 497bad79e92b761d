"""The rule checker reports each kind of violation, and nothing else."""

import pytest

from badgerroad.emulator.model.kernel import SEC, Kernel
from badgerroad.emulator.model.rule_checker import ClassRule, RuleChecker

MS = 1000
CLASSES = [
    ClassRule("preview", "retryable", "all", 0),
    ClassRule("issue", "dedup", "all", 25 * SEC),
    ClassRule("bundle", "dedup", "cell", 40 * SEC),
    ClassRule("amend", "dedup", "zone", 40 * SEC),
    ClassRule("pay", "fragile", "all", 0),
]


class Case:
    def __init__(self, cls=0):
        self.kernel = Kernel()
        self.rule_checker = RuleChecker(self.kernel, CLASSES, 500 * MS, 8 * MS, 10 * SEC, 4, True)
        self.rule_checker.request_received("r", "k", cls, 0, 5 * SEC)
        self.cls = cls

    def attempt(self, node="a", zone=0, cell=0, at=None):
        self.kernel.run(at or self.kernel.now)
        return self.rule_checker.attempt_arrived("r", 0, node, zone, cell, self.kernel.now, 0)

    @property
    def broken_rules(self):
        return [violation.rule for violation in self.rule_checker.violations]


def test_missing_duplicate_forged_and_unrequested_answers_violate_rule_1():
    for act, rules in (
        (lambda case: case.kernel.run(6 * SEC), [1]),
        (lambda case: [case.rule_checker.answer_received("r", "failed") for _ in "12"], [1]),
        (lambda case: case.rule_checker.answer_received("r", "served", "forged"), [1]),
        (lambda case: case.rule_checker.answer_received("x", "failed"), [1]),
        (lambda case: case.rule_checker.connection_broken("r"), [1]),
        (
            lambda case: (
                case.rule_checker.result_produced("r", "m"),
                case.rule_checker.answer_received("r", "served", "m"),
            ),
            [],
        ),
    ):
        case = Case()
        act(case)
        assert case.broken_rules == rules


@pytest.mark.parametrize(
    ("cls", "second_attempt", "permitted"),
    [
        (0, dict(node="b", zone=1, cell=9), True),
        (1, dict(node="b", zone=1, cell=9), True),
        (1, dict(node="b", at=26 * SEC), False),
        (2, dict(node="b", cell=0), True),
        (2, dict(node="b", cell=9), False),
        (3, dict(node="b", cell=9), True),
        (3, dict(node="b", zone=1), False),
        (4, dict(node="b"), False),
    ],
)
@pytest.mark.parametrize("never_ran", [False, True])
def test_retry_of_an_attempt_that_may_have_run_is_checked_against_its_class(cls, second_attempt, permitted, never_ran):
    case = Case(cls)
    case.rule_checker.attempt_ended(case.attempt(), never_ran)
    case.rule_checker.open["r"].due = 10**12
    case.rule_checker._check_deadline = None
    case.kernel._queue.clear()
    case.attempt(**second_attempt)
    assert (2 in case.broken_rules) == (not permitted and not never_ran)


@pytest.mark.parametrize(("cls", "permitted"), [(0, True), (1, True), (2, False), (3, False), (4, False)])
def test_rejection_of_a_request_that_may_have_run_is_checked_against_its_class(cls, permitted):
    case = Case(cls)
    case.attempt()
    case.rule_checker.answer_received("r", "refused")
    assert (case.broken_rules == []) == permitted


def test_second_effect_of_a_key_is_a_violation_unless_it_was_deduplicated():
    for cls, nodes, rules in (
        (1, [(0, 0), (1, 9)], []),
        (3, [(0, 0), (0, 9)], []),
        (3, [(0, 0), (1, 0)], [2]),
        (2, [(0, 0), (0, 1)], [2]),
        (4, [(0, 0), (0, 0)], [2]),
        (0, [(0, 0), (1, 1)], []),
    ):
        case = Case(cls)
        for zone, cell in nodes:
            case.rule_checker.job_completed(cls, "k", zone, cell)
        assert case.broken_rules == rules


def test_attempt_sent_after_the_drain_grace_violates_rule_3():
    for delay, rules in ((400 * MS, []), (600 * MS, [3])):
        case = Case()
        case.rule_checker.list_sent(0, False, [("a", "draining", 0)])
        case.attempt(at=delay)
        assert case.broken_rules == rules
    case = Case()
    case.rule_checker.list_sent(0, True, [("a", "ready", 0)])
    case.rule_checker.list_sent(0, True, [])  # a complete list without the node: it is gone
    case.attempt(at=SEC)
    assert case.broken_rules == [3]


def test_overload_during_warm_up_is_a_violation_only_of_dispatchers_notified_of_the_start():
    for notified_start, rules in ((5, [4]), (4, [])):
        case = Case()
        case.rule_checker.list_sent(0, False, [("a", "ready", notified_start)])
        case.rule_checker.node_collapsed("a", 5, [(0, 1.0), (1, 0.4)])
        assert case.broken_rules == rules
        assert case.rule_checker.collapses == 1
