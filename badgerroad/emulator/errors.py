"""Errors that the emulator reports to its user."""

from __future__ import annotations

from badgerroad.errors import BadgerroadError


class ScenarioError(BadgerroadError):
    """The scenario is invalid; the message names file, field and reason in one line."""

    code = "scenario"
    remedy = "correct the file; docs/operate/rehearsal.md lists the fields"
