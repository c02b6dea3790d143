"""Record of what becomes of requests during a shutdown."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import final

import attrs

from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._pending_request import PendingRequest
from catkindrift.gateway._request_log import RequestLog
from catkindrift.http1 import CLOSED_BY_SERVER
from catkindrift.shutdown import Shutdown


@final
@attrs.define(eq=False, repr=False)
class ShutdownLog:
    """Counts and logs requests while this process is stopping.

    Args:
        shutdown: The shutdown.
        metrics: Counts requests by what became of them.
        log: Log of requests.
    """

    _shutdown: Shutdown
    _metrics: GatewayMetrics
    _log: RequestLog

    def record_phase(self, phase: str, in_progress: int) -> None:
        """Log that a phase of the shutdown begins.

        Args:
            phase: Name of the phase.
            in_progress: Number of requests without a complete response.
        """
        self._log.log_shutdown(phase, self._shutdown, in_progress)

    def record_request(self, pending: PendingRequest, outcome: str) -> None:
        """Count and log what becomes of a request, if a shutdown has begun.

        Args:
            pending: The request.
            outcome: `taken`, `refused`, `cut`, or `caller_left`.
        """
        if not self._shutdown.has_begun:
            return
        self._metrics.shutdown_requests.labels(outcome).inc()
        self._log.log_during_shutdown(pending, outcome, self._shutdown)

    @contextlib.contextmanager
    def watch(self, pending: PendingRequest) -> Iterator[None]:
        """Record a request whose connection ends before its response."""
        try:
            yield
        except asyncio.CancelledError as cancelled:
            is_cut = (
                self._shutdown.is_finished or CLOSED_BY_SERVER in cancelled.args
            )
            self.record_request(pending, 'cut' if is_cut else 'caller_left')
            raise
