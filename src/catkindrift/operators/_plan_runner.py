"""Periodic execution of plan steps."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.core import ConfigurationReceived, Event
from catkindrift.jitter import jittered
from catkindrift.operators._deployment_reader import DeploymentReader
from catkindrift.plans import ConfigurationStore, PlanExecutor
from catkindrift.watching import PLATFORM_ERRORS

_STEP_INTERVAL_SECONDS = 0.3


@final
@attrs.define(eq=False, repr=False)
class PlanRunner:
    """Executes plan steps as they become due.

    Args:
        executor: Computes the configuration after the next step.
        store: Configuration in the platform's object store.
        reader: Reads the state of the deployment.
        rng: Source of randomness for jitter.
        post: Passes an event to the core, on the event loop.
    """

    _executor: PlanExecutor
    _store: ConfigurationStore
    _reader: DeploymentReader
    _rng: random.Random
    _post: Callable[[Event], None]

    async def run(self) -> None:
        """Execute steps until cancelled; platform failures are retried."""
        while True:
            await asyncio.sleep(jittered(self._rng, _STEP_INTERVAL_SECONDS))
            with contextlib.suppress(*PLATFORM_ERRORS):
                await self.step()

    async def step(self) -> None:
        """Execute at most one step.

        The local configuration shows without a platform call whether a step
        may be due. The step itself is applied to the newest stored version.
        """
        fleet = self._reader.fleet_view()
        if self._executor.advance(self._reader.configuration(), fleet) is None:
            return
        stored = await self._store.load()
        advanced = self._executor.advance(
            stored.configuration, self._reader.fleet_view()
        )
        if advanced is not None:
            written = await self._store.replace(stored, advanced)
            self._post(
                ConfigurationReceived(
                    written.configuration, written.confirmed_ms
                ),
            )
