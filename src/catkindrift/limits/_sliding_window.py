"""A sliding-window rate limiter."""

from collections import deque
from typing import final

import attrs

from catkindrift.clock import Clock

WINDOW_MS = 1000


@final
@attrs.define
class SlidingWindow:
    """Limits the number of events in every window of one second.

    The limiter rejects everything for the first window: an earlier process
    with the same share may have used all of it just before this one started.

    Args:
        clock: Source of monotonic time.
    """

    _clock: Clock
    _admitted_ms: deque[int] = attrs.field(init=False, factory=deque)
    _closed_until_ms: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Reject events until one window has passed."""
        self._closed_until_ms = self._clock.now_ms() + WINDOW_MS

    @property
    def admitted(self) -> int:
        """Return the number of events admitted in the last window."""
        now_ms = self._clock.now_ms()
        while self._admitted_ms and self._admitted_ms[0] <= now_ms - WINDOW_MS:
            self._admitted_ms.popleft()
        return len(self._admitted_ms)

    def try_admit(self, limit: int) -> bool:
        """Admit one event if the last window has fewer than `limit`.

        Args:
            limit: Maximum number of events per window.

        Returns:
            Whether the event was admitted and counted.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._closed_until_ms:
            return False
        if self.admitted >= limit:
            return False
        self._admitted_ms.append(now_ms)
        return True
