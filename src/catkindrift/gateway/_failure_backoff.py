"""Pauses between calls of the store that fail."""

import asyncio
import contextlib
import random
from typing import final

import attrs

from catkindrift.limits import jittered

# Doubled with each failure in a row. With three kinds to ask for, the store is
# found to be back within a second.
_INITIAL_DELAY_S = 0.15
_MAX_DELAY_S = 0.8
_MAX_DOUBLINGS = 5


@final
@attrs.define(eq=False)
class FailureBackoff:
    """Counts the failures in a row of one watch."""

    _failures: int = attrs.field(init=False, default=0)
    _ended_early: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)
    _rng: random.Random = attrs.field(init=False, factory=random.Random)

    @property
    def is_failing(self) -> bool:
        """Return whether the last call failed."""
        return self._failures > 0

    async def record_failure_and_wait(self) -> None:
        """Note a failure and wait before the next call."""
        self._ended_early.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.record_failure()):
                await self._ended_early.wait()

    def end_early(self) -> None:
        """End the pause; the next ones are short again."""
        self._failures = min(self._failures, 1)
        self._ended_early.set()

    def record_failure(self) -> float:
        """Note a failure and return the pause in seconds before the next."""
        doublings = min(self._failures, _MAX_DOUBLINGS)
        self._failures += 1
        delay = min(_INITIAL_DELAY_S * 2**doublings, _MAX_DELAY_S)
        return jittered(self._rng, delay)

    def reset(self) -> None:
        """Note an answer."""
        self._failures = 0
