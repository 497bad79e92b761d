"""Keeps a peer that sends without a pause from holding the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable


class Turn:
    """One read from a stream and the handling of its bytes, after which other tasks have their turn.

    A read of bytes that have already arrived is complete when it is started, and awaiting it does not suspend the
    caller. A loop of such reads would stop all other connections and all timers for as long as the peer sends.
    """

    def __init__(self, read: Awaitable[object]) -> None:
        """Begin with a read that has just been started."""
        self._completed_at_once = isinstance(read, asyncio.Future) and read.done()

    async def end(self) -> None:
        """Let the event loop run if the read did not; called once the bytes are handled, so that none are unparsed."""
        if self._completed_at_once:
            await asyncio.sleep(0)
