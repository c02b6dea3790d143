"""Exponential backoff between failed calls to the store."""

import asyncio
import contextlib
import random
from typing import final

import attrs

from catkindrift.jitter import jittered

# Doubled after each consecutive failure. Three watches, one per kind, back off
# independently, so together they detect the store's recovery within a second.
_INITIAL_DELAY_S = 0.15
_MAX_DELAY_S = 0.8
_MAX_DOUBLINGS = 5


@final
@attrs.define(eq=False, repr=False)
class FailureBackoff:
    """Backs off exponentially, with jitter, after failures of one watch."""

    _failures: int = attrs.field(init=False, default=0)
    _ended_early: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    @property
    def is_failing(self) -> bool:
        """Return whether the last call failed."""
        return self._failures > 0

    async def record_failure_and_wait(self) -> None:
        """Record a failed call and wait until the next attempt is due."""
        self._ended_early.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.record_failure()):
                await self._ended_early.wait()

    def end_early(self) -> None:
        """End the current wait and restart the backoff near its beginning."""
        self._failures = min(self._failures, 1)
        self._ended_early.set()

    def record_failure(self) -> float:
        """Record a failed call and return the delay in seconds."""
        doublings = min(self._failures, _MAX_DOUBLINGS)
        self._failures += 1
        delay = min(_INITIAL_DELAY_S * 2**doublings, _MAX_DELAY_S)
        return jittered(self._rng, delay)

    def reset(self) -> None:
        """Clear the failure count after a successful call."""
        self._failures = 0
