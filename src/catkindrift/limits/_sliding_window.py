"""An exact limit over every window of one second."""

from collections import deque
from typing import final

import attrs

from catkindrift.clock import Clock

WINDOW_MS = 1000


@final
@attrs.define
class SlidingWindow:
    """Admits at most a number of events in any window of one second.

    The limiter starts closed for one window: an earlier process with the same
    share may have used all of it just before this one started.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _admitted_ms: deque[int] = attrs.field(init=False, factory=deque)
    _closed_until_ms: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Stay closed for one window."""
        self._closed_until_ms = self._clock.now_ms() + WINDOW_MS

    @property
    def admitted(self) -> int:
        """Return the events of the last window."""
        now_ms = self._clock.now_ms()
        while self._admitted_ms and self._admitted_ms[0] <= now_ms - WINDOW_MS:
            self._admitted_ms.popleft()
        return len(self._admitted_ms)

    def try_admit(self, limit: int) -> bool:
        """Count one event if fewer than `limit` fall into the last window."""
        now_ms = self._clock.now_ms()
        if now_ms < self._closed_until_ms:
            return False
        if self.admitted >= limit:
            return False
        self._admitted_ms.append(now_ms)
        return True
