"""The base of all errors that an operator can meet: a short code that stays, what happened, and what to do about it.

The text of an error says what happened. Log lines and exit messages carry all three; docs/operate/errors.md lists the
codes.
"""

from __future__ import annotations

from typing import ClassVar


class BadgerroadError(Exception):
    """`code` never changes its meaning; `remedy` is what an operator can do, as an imperative."""

    code: ClassVar[str] = "error"
    remedy: ClassVar[str] = "report it with the lines before it"

    @property
    def line(self) -> str:
        """For an exit: one line."""
        return f"{self.code}: {' '.join(str(self).split())}; {self.remedy}"

    @property
    def fields(self) -> dict[str, str]:
        """For a log line."""
        return {"code": self.code, "error": " ".join(str(self).split()), "remedy": self.remedy}


class ArgumentError(BadgerroadError, ValueError):
    """A command's argument is not valid."""

    code = "argument"
    remedy = "see badgerroad --help"


class ListenError(BadgerroadError):
    """A listener's address is taken or is not one of this machine."""

    code = "listen"
    remedy = "see who has the address, or whether this machine has it at all"

    def __init__(self, field: str, address: tuple[str, int], cause: OSError) -> None:
        """`field` names the address in the configuration; `cause` is what the system said."""
        super().__init__(f"{field}: {address[0]}:{address[1]}: {cause.strerror}")
