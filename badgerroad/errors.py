"""The base of all errors that an operator may see. Each has a stable code, a text and a remedy.

The text of an error states what happened. Log lines and exit messages contain all three; docs/operate/errors.md lists
the codes.
"""

from __future__ import annotations

from typing import ClassVar


class BadgerroadError(Exception):
    """The base of all errors. The meaning of a `code` never changes; `remedy` tells the operator what to do, as an
    imperative."""

    code: ClassVar[str] = "error"
    remedy: ClassVar[str] = "report it with the log lines before it"

    @property
    def line(self) -> str:
        """The error as one line of text, for an exit message."""
        return f"{self.code}: {' '.join(str(self).split())}; {self.remedy}"

    @property
    def fields(self) -> dict[str, str]:
        """The error as fields of a log line."""
        return {"code": self.code, "error": " ".join(str(self).split()), "remedy": self.remedy}


class ArgumentError(BadgerroadError, ValueError):
    """A command's argument is not valid."""

    code = "argument"
    remedy = "see badgerroad --help"


class ListenError(BadgerroadError):
    """A listener's address is in use or does not belong to this machine."""

    code = "listen"
    remedy = "find the process that uses the address, or check that the address belongs to this machine"

    def __init__(self, field: str, address: tuple[str, int], cause: OSError) -> None:
        """`field` is the configuration field that gives the address; `cause` is the error of the operating system."""
        super().__init__(f"{field}: {address[0]}:{address[1]}: {cause.strerror}")
