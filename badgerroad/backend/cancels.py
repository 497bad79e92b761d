"""Cancels jobs by `DELETE /jobs/<request id>` to a worker that has accepted an attempt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from badgerroad.backend.worker_connections import ConnectionPools, WorkerConnections
from badgerroad.net import logs
from badgerroad.net.background_tasks import spawn
from badgerroad.net.call_connection import ConnectionBrokenError

log = logs.get("badgerroad")

CANCEL_TIMEOUT_US = 1_000_000


class Cancels:
    """Cancels jobs at workers. While a cancel is open, no attempt of the same request is sent to that worker."""

    def __init__(self, pools: ConnectionPools) -> None:
        """Send cancels on connections from `pools`."""
        self._pools = pools

    def start(self, worker: WorkerConnections, request_id: bytes, on_confirmed: Callable[[], None] | None) -> None:
        """Cancel a request at a worker; `on_confirmed` is called when the worker responds, not if the cancel fails."""
        worker.cancelling[request_id] = asyncio.get_event_loop().create_future()
        spawn(self._cancel(worker, request_id, on_confirmed))

    async def _cancel(
        self, worker: WorkerConnections, request_id: bytes, on_confirmed: Callable[[], None] | None
    ) -> None:
        try:
            await self._pools.call(worker, b"DELETE", b"/jobs/" + request_id, CANCEL_TIMEOUT_US)
            if on_confirmed is not None:
                on_confirmed()
        except ConnectionBrokenError as error:
            log.info(
                "cancel_failed",
                request_id=request_id.decode("latin-1"),
                worker=worker.name,
                code=error.code,
                error=str(error),
            )
        finally:
            worker.cancelling.pop(request_id).set_result(None)
