"""Checks the health of workers by `GET /-/load`, whose response also contains a load report."""

from __future__ import annotations

from collections.abc import Callable

from badgerroad.backend.reports import LoadReport, LoadReportParser
from badgerroad.backend.worker_connections import ConnectionPools, WorkerConnections
from badgerroad.load_balancing import interface
from badgerroad.net.background_tasks import spawn
from badgerroad.net.call_connection import ConnectionBrokenError

HEALTH_CHECK_TIMEOUT_US = 1_000_000


class HealthChecks:
    """Performs health checks and raises a `HealthCheckResult` event for each."""

    def __init__(
        self, pools: ConnectionPools, reports: LoadReportParser, raise_event: Callable[[interface.Event], None]
    ) -> None:
        """Parse load reports with `reports`, which is replaced when the settings change."""
        self.reports = reports
        self._pools = pools
        self.raise_event = raise_event

    def start(self, name: str) -> None:
        """Start a check of worker `name`; does nothing if there is no such worker."""
        worker = self._pools.workers.get(name)
        if worker is not None:
            spawn(self._check(worker))

    async def _check(self, worker: WorkerConnections) -> None:
        clock = self._pools.timers.clock
        started_at = clock.now()
        result = interface.AttemptResult.CONNECT_FAILED
        load: LoadReport = None
        try:
            response = await self._pools.call(worker, b"GET", b"/-/load", HEALTH_CHECK_TIMEOUT_US)
            result = interface.AttemptResult.OK if response.status == 200 else interface.AttemptResult.ERROR
            load = self.reports.from_text(response.body.decode("latin-1"))
        except ConnectionBrokenError as error:
            result = interface.AttemptResult.RESET if error.sent else interface.AttemptResult.CONNECT_FAILED
        finally:
            self.raise_event(interface.HealthCheckResult(worker.name, result, clock.now() - started_at, load))
