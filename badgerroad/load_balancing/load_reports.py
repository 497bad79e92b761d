"""Reads load reports of workers."""

from . import interface

FREE_SLOTS_FIELD = "x0"
"""Name of the load report field with the number of free slots."""


def free_slots(event: interface.AttemptEnded | interface.HealthCheckResult, fields: tuple[str, ...]) -> float | None:
    """Return the free slots in the event's load report, or None.

    `fields`: names of the values of a load report, in the order in which the report holds them.
    """
    if not event.load_report or FREE_SLOTS_FIELD not in fields:
        return None
    return event.load_report[fields.index(FREE_SLOTS_FIELD)]
