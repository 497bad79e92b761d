"""Counts SIGHUPs that arrive before the event loop runs, so that none ends the program or is lost."""

from __future__ import annotations

import signal

reload_count = 0


def _count(_number: int, _frame: object) -> None:
    global reload_count
    reload_count += 1


def install() -> None:
    """Count SIGHUPs from now on in `reload_count`; the event loop's handler replaces this one."""
    signal.signal(signal.SIGHUP, _count)
