"""Runs background tasks and holds references to them until they end."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from badgerroad.net import logs

log = logs.get("badgerroad")
_tasks: set[asyncio.Task[None]] = set()


def spawn(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run `coroutine` concurrently; an unexpected exception is logged with its traceback."""
    task = asyncio.ensure_future(coroutine)
    _tasks.add(task)  # the event loop holds only weak references to its tasks
    task.add_done_callback(_task_ended)


def _task_ended(task: asyncio.Task[None]) -> None:
    _tasks.discard(task)
    if not task.cancelled() and task.exception():
        log.error("unexpected_exception", exc_info=task.exception())
