"""Time limits of the requests in progress."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import final

import attrs

from catkindrift.clock import Clock

_MILLISECONDS_PER_SECOND = 1000


@final
@attrs.define(eq=False, repr=False)
class TimeLimits:
    """Limits the time of waiting, of all that waits at once if necessary.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _latest_ms: int | None = attrs.field(init=False, default=None)
    _open: dict[asyncio.Timeout, int] = attrs.field(init=False, factory=dict)

    @property
    def have_ended(self) -> bool:
        """Return whether the time of all requests has passed."""
        latest_ms = self._latest_ms
        return latest_ms is not None and self._clock.now_ms() >= latest_ms

    @property
    def now_ms(self) -> int:
        """Return the time on the clock of the limits."""
        return self._clock.now_ms()

    @contextlib.asynccontextmanager
    async def enforce(self, due_ms: int) -> AsyncIterator[None]:
        """Limit the time in the context.

        Args:
            due_ms: When it must end, in the milliseconds of the clock.

        Raises:
            TimeoutError: The time has passed.
        """
        if self._latest_ms is not None:
            due_ms = min(due_ms, self._latest_ms)
        async with asyncio.timeout(self._left_s(due_ms)) as timeout:
            self._open[timeout] = due_ms
            try:
                yield
            finally:
                self._open.pop(timeout)

    def bring_forward(self, latest_ms: int) -> None:
        """Make all present and later limits end by a time at the latest."""
        self._latest_ms = latest_ms
        loop = asyncio.get_running_loop()
        for timeout, due_ms in self._open.items():
            if due_ms > latest_ms:
                timeout.reschedule(loop.time() + self._left_s(latest_ms))

    def _left_s(self, due_ms: int) -> float:
        return (due_ms - self._clock.now_ms()) / _MILLISECONDS_PER_SECOND
