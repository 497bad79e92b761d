"""SIGHUPs that come before the loop is there to hear them: counted, so that none ends the program or is lost."""

from __future__ import annotations

import signal

reload_count = 0


def _count(_number: int, _frame: object) -> None:
    global reload_count
    reload_count += 1


def install() -> None:
    signal.signal(signal.SIGHUP, _count)
