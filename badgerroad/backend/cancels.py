"""Cancels jobs by `DELETE /jobs/<request id>` to a worker that runs, or may run, an attempt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from badgerroad.backend.attempts import ForwardedRequest
from badgerroad.backend.worker_connections import CancelOutcome, ConnectionPools, WorkerConnections
from badgerroad.net import logs
from badgerroad.net.background_tasks import spawn
from badgerroad.net.call_connection import ConnectionBrokenError, LocalNetworkError, NoDescriptorError

log = logs.get("badgerroad")

CANCEL_TIMEOUT_US = 1_000_000
NO_CANCEL = CancelOutcome()

CancelEndedCallback = Callable[[CancelOutcome], None]


def ignore_outcome(outcome: CancelOutcome) -> None:
    """Do nothing at the end of a cancel whose outcome is awaited, or matters only to a further attempt."""


class Cancels:
    """Cancels jobs at workers.

    From the start of a cancel until the worker answers one, the worker is in the request's `unconfirmed_workers`.
    """

    def __init__(self, pools: ConnectionPools) -> None:
        """Send cancels on connections from `pools`."""
        self._pools = pools

    def start(self, worker: WorkerConnections, request: ForwardedRequest, on_ended: CancelEndedCallback) -> None:
        """Cancel a request at a worker; `on_ended` is called when the worker has responded or the cancel has failed."""
        request.unconfirmed_workers.add(worker.name)
        worker.cancelling[request.id] = asyncio.get_event_loop().create_future()
        spawn(self._cancel(worker, request, on_ended))

    async def confirm_stopped(self, worker: WorkerConnections, request: ForwardedRequest) -> None:
        """Return once the worker has confirmed that it runs no earlier attempt of the request.

        Waits for the open cancel, if there is one, and cancels again if that one fails. Raises ConnectionBrokenError,
        with `sent` false, if the worker does not confirm, and NoDescriptorError or LocalNetworkError if this machine
        cannot ask it.
        """
        await self._open_cancel_ended(worker, request)
        if worker.name not in request.unconfirmed_workers:
            return
        if request.id not in worker.cancelling:
            self.start(worker, request, ignore_outcome)
        outcome = await self._open_cancel_ended(worker, request)
        if isinstance(outcome.error, NoDescriptorError | LocalNetworkError):
            raise outcome.error
        if worker.name in request.unconfirmed_workers:
            reason = f"the worker may still run an earlier attempt: {outcome.error}"
            raise ConnectionBrokenError(False, reason) from outcome.error
        log.info(
            "earlier_attempt_cancelled",
            request_id=request.id.decode("latin-1"),
            worker=worker.name,
            status=outcome.status,
        )

    @staticmethod
    async def _open_cancel_ended(worker: WorkerConnections, request: ForwardedRequest) -> CancelOutcome:
        """Wait for the end of the open cancel, if there is one, and return its outcome."""
        future = worker.cancelling.get(request.id)
        if future is None:
            return NO_CANCEL
        await asyncio.wait([future])
        return future.result()

    async def _cancel(
        self, worker: WorkerConnections, request: ForwardedRequest, on_ended: CancelEndedCallback
    ) -> None:
        outcome = await self._call_worker(worker, request.id)
        if outcome.error is not None and outcome.error.sent and not outcome.timed_out:
            # The worker may have ended an idle connection just then. A repeated cancel has no other effect.
            outcome = await self._call_worker(worker, request.id)
        if outcome.error is None:
            request.unconfirmed_workers.discard(worker.name)
        worker.cancelling.pop(request.id).set_result(outcome)
        on_ended(outcome)

    async def _call_worker(self, worker: WorkerConnections, request_id: bytes) -> CancelOutcome:
        clock = self._pools.timers.clock
        started_at = clock.now()
        try:
            response = await self._pools.call(worker, b"DELETE", b"/jobs/" + request_id, CANCEL_TIMEOUT_US)
        except ConnectionBrokenError as error:
            log.info(
                "cancel_failed",
                request_id=request_id.decode("latin-1"),
                worker=worker.name,
                code=error.code,
                error=str(error),
            )
            return CancelOutcome(error=error, timed_out=clock.now() - started_at >= CANCEL_TIMEOUT_US)
        return CancelOutcome(response.status)
