"""Restarts background jobs that end with an unexpected error."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import final

import attrs

from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.jitter import jittered

# Starts a background job, which runs until cancelled.
Job = Callable[[], Awaitable[None]]

_LOG = logging.getLogger(__name__)
# Short enough for a job that fails once: configurations have to be in force
# within 3 s.
_FIRST_DELAY_S = 0.1
# A job that fails each time may take no noticeable part of a small VM.
_LONGEST_DELAY_S = 5.0
# A job that has run for this long starts again with the first delay.
_STABLE_S = 30.0


@final
@attrs.define(eq=False, repr=False)
class Supervisor:
    """Keeps the background jobs of an entry VM running.

    A job keeps its state in the components that it works on, so that it goes
    on where it was when it is started again.

    Args:
        metrics: Counts restarts by job.
    """

    _metrics: GatewayMetrics
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    async def keep_running(self, name: str, job: Job) -> None:
        """Run a job until cancelled; start it again whenever it ends.

        Args:
            name: Name of the job in logs and metrics.
            job: Starts the job.
        """
        loop = asyncio.get_running_loop()
        delay_s = _FIRST_DELAY_S
        while True:
            began_s = loop.time()
            await self._run_once(name, job)
            if loop.time() - began_s >= _STABLE_S:
                delay_s = _FIRST_DELAY_S
            self._metrics.job_restarts.labels(name).inc()
            await asyncio.sleep(jittered(self._rng, delay_s))
            delay_s = min(delay_s * 2, _LONGEST_DELAY_S)

    async def _run_once(self, name: str, job: Job) -> None:
        try:
            await job()
        except Exception:
            _LOG.exception('background job %s failed; starting it again', name)
        else:
            _LOG.error('background job %s ended; starting it again', name)
