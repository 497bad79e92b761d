"""Errors of the emulator that its user can meet."""

from __future__ import annotations

from badgerroad.errors import BadgerroadError


class ScenarioError(BadgerroadError):
    """One line that names file, field and reason."""

    code = "scenario"
    remedy = "mend the file; docs/operate/rehearsal.md lists the fields"
