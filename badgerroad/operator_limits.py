"""Applies the limits of the operator's file to a dispatcher. Imports the code of a limit only if the limit is set."""

from __future__ import annotations

from typing import TYPE_CHECKING

from badgerroad.dispatcher import Dispatcher

if TYPE_CHECKING:
    from badgerroad.operator.schema import Operator

RETRY_BUDGET = "retry budget"


def apply_limits(dispatcher: Dispatcher, operator: Operator | None) -> None:
    """Put the limits of the operator's file in force; `operator` is None without such a file. A limit that has not
    changed keeps its counts."""
    limits = operator.limits if operator is not None else None
    if limits is None or limits.retries != "budget":
        if dispatcher.extension(RETRY_BUDGET) is not None:
            dispatcher.set_extension(RETRY_BUDGET, None)
        return
    from badgerroad.retry_budget.extension import RetryBudgetExtension

    present = dispatcher.extension(RETRY_BUDGET)
    if not isinstance(present, RetryBudgetExtension) or present.limits != limits:
        dispatcher.set_extension(RETRY_BUDGET, RetryBudgetExtension(dispatcher.clock, limits))
