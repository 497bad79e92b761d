"""Checks of the oracle: it detects each deliberately broken rule and reports no violation for intact rules."""

import pytest

from tests.fleet.simulation.broken_rules import BROKEN_RULES, BrokenRule
from tests.fleet.simulation.directed import DIRECTED
from tests.fleet.simulation.run import run_schedule


@pytest.mark.parametrize("rule", BROKEN_RULES, ids=lambda rule: rule.name)
def test_the_oracle_finds_a_broken_rule(rule: BrokenRule) -> None:
    found = rule.find()
    assert found is not None, f"not found: {rule.name}"


@pytest.mark.parametrize("name", sorted(DIRECTED))
def test_intact_rules_pass_the_directed_schedules(name: str) -> None:
    for seed in range(5):
        findings = run_schedule(DIRECTED[name](seed)).findings
        assert not findings, "\n".join(str(violation) for violation in findings.first.values())
