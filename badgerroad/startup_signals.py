"""Counts SIGHUPs that arrive before the event loop runs; uncounted, they would end the process or be lost."""

from __future__ import annotations

import signal

reload_count = 0


def _count(_number: int, _frame: object) -> None:
    global reload_count
    reload_count += 1


def install() -> None:
    """Install a handler that counts SIGHUPs in `reload_count`, until the event loop installs its own."""
    signal.signal(signal.SIGHUP, _count)
