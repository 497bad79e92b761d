"""Reads the workers' load reports."""

from . import interface

FREE_SLOTS_FIELD = "x0"
"""The name under which a report gives free slots."""


def free_slots(event: interface.AttemptEnded | interface.HealthCheckResult, fields: tuple[str, ...]) -> float | None:
    """The free slots in the event's report, whose values have the names `fields` in order; None: it gives none."""
    if not event.load_report or FREE_SLOTS_FIELD not in fields:
        return None
    return event.load_report[fields.index(FREE_SLOTS_FIELD)]
