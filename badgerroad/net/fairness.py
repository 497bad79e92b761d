"""Keeps a peer that sends without a pause from holding the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

T = TypeVar("T")


async def completed_read(read: Awaitable[T]) -> T:
    """Return the result of a read from a stream, after the event loop has run at least once.

    A read of bytes that have already arrived is complete when it is started, and awaiting it does not suspend the
    caller. A loop of such reads would stop all other connections and all timers for as long as the peer sends.
    """
    future = asyncio.ensure_future(read)
    if future.done():
        await asyncio.sleep(0)
    return await future
