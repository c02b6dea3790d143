"""Runs the plan executor against the platform."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import final

import attrs

from catkindrift.core import ConfigurationReceived, Event
from catkindrift.limits import jittered
from catkindrift.operators._observer import Observer
from catkindrift.plans import ConfigurationStore, PlanExecutor
from catkindrift.watching import PLATFORM_ERRORS

_PAUSE_SECONDS = 0.3


@final
@attrs.define(eq=False)
class PlanRunner:
    """Takes the next step of a plan whenever there is one to take.

    Args:
        executor: Decides on steps.
        store: The configuration in the platform.
        observer: Views of the deployment.
        rng: Source of jitter.
        post: Handles an event on the loop.
    """

    _executor: PlanExecutor
    _store: ConfigurationStore
    _observer: Observer
    _rng: random.Random
    _post: Callable[[Event], None]

    async def run(self) -> None:
        """Take steps until cancelled."""
        while True:
            await asyncio.sleep(jittered(self._rng, _PAUSE_SECONDS))
            with contextlib.suppress(*PLATFORM_ERRORS):
                await self.step()

    async def step(self) -> None:
        """Take at most one step.

        The configuration in force tells, without a call, whether there may
        be one; the step itself starts from the platform's newest version.
        """
        view = self._observer.view()
        if self._executor.advance(self._observer.configuration(), view) is None:
            return
        seen = await self._store.load()
        new = self._executor.advance(seen.configuration, self._observer.view())
        if new is not None:
            written = await self._store.replace(seen, new)
            self._post(
                ConfigurationReceived(
                    written.configuration, written.confirmed_ms
                ),
            )
