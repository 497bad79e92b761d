"""What the operator's file limits, applied to a dispatcher. Nothing of it is imported where nothing is limited."""

from __future__ import annotations

from typing import TYPE_CHECKING

from badgerroad.dispatcher import Dispatcher

if TYPE_CHECKING:
    from badgerroad.operator.schema import Operator

RETRIES = "retry budget"


def limit(dispatcher: Dispatcher, operator: Operator | None) -> None:
    """The limits of the operator's file hold from now on; None: there is no such file. What is unchanged keeps what it
    has counted."""
    limits = operator.limits if operator is not None else None
    if limits is None or limits.retries != "budget":
        if dispatcher.extension(RETRIES) is not None:
            dispatcher.set_extension(RETRIES, None)
        return
    from badgerroad.retry_budget.extension import RetryBudgetExtension

    held = dispatcher.extension(RETRIES)
    if not isinstance(held, RetryBudgetExtension) or held.limits != limits:
        dispatcher.set_extension(RETRIES, RetryBudgetExtension(dispatcher.clock, limits))
