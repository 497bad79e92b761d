"""Builds parts of the model from a scenario."""

from __future__ import annotations

from badgerroad.emulator.model.clients import RequestClass
from badgerroad.emulator.model.kernel import SEC, Draws, Kernel
from badgerroad.emulator.model.registry import Registry
from badgerroad.emulator.scenario import Scenario
from badgerroad.retry_budget.rules import RetryBudget

MS = 1000  # microseconds


def create_registry(scenario: Scenario, kernel: Kernel, draws: Draws) -> Registry:
    """Create the discovery service with the scenario's delays and capacity."""
    return Registry(
        kernel,
        draws,
        (scenario.discovery.notice_s[0] * SEC, scenario.discovery.notice_s[1] * SEC),
        scenario.discovery.capacity,
        int(scenario.discovery.timeout_ms * MS),
        scenario.discovery.dead_calls_cost,
        scenario.discovery.lines_per_call,
        scenario.discovery.watches_go_on,
    )


def create_classes(scenario: Scenario, draws: Draws) -> list[RequestClass]:
    """Create the request classes; the mean work of each is drawn from its range."""
    return [
        RequestClass(
            cls.name,
            cls.share,
            draws.uniform(*cls.work_ms) * MS,
            cls.cv,
            tuple(cls.slots),
            cls.memory,
            int(cls.aim_ms * MS),
            cls.stretch,
            int(cls.deadline_ms * MS),
            cls.worth,
            cls.semantics,
            cls.group,
            int(cls.window_ms * MS),
        )
        for cls in scenario.cls
    ]


def retry_budget(scenario: Scenario) -> RetryBudget | None:
    """Create the retry budget of one dispatcher; None if the scenario does not limit retries."""
    limits = scenario.retries
    if limits.retries == "free":
        return None
    return RetryBudget(limits.retry_share, limits.retry_least, int(limits.retry_window_s * SEC))
