"""When refused callers are told to return."""

import heapq
import random
from typing import final

import attrs

_MILLISECONDS_PER_SECOND = 1000
# Callers honour a time up to this share of the time that they have left.
_HONOURED_SHARE = 1 / 3
# One service time; less would make the return part of the same burst.
_MIN_MS = 100.0
# Assumed if this VM has had no response of late, so that a restarted VM
# doesn't spread returns over minutes.
_MIN_PER_SECOND = 2.0


@final
@attrs.define(eq=False, repr=False)
class ReturnTimes:
    """Spreads returns over the time in which there will be room.

    Args:
        rng: Source of randomness.
    """

    _rng: random.Random
    _told_ms: list[float] = attrs.field(init=False, factory=list)

    def next_wait_ms(
        self, now_ms: int, room_ms: float, per_second: float, left_ms: float
    ) -> float:
        """Return when a caller should return, and remember it.

        Args:
            now_ms: Present time.
            room_ms: Time until there will be room.
            per_second: Requests a second that this VM gets served.
            left_ms: Time until the caller gives up.
        """
        while self._told_ms and self._told_ms[0] <= now_ms:
            heapq.heappop(self._told_ms)
        ahead = len(self._told_ms) + 1
        rate = max(per_second, _MIN_PER_SECOND)
        span_ms = ahead * _MILLISECONDS_PER_SECOND / rate
        wait_ms = max(room_ms, _MIN_MS) + self._rng.uniform(0, span_ms)
        wait_ms = min(wait_ms, max(left_ms * _HONOURED_SHARE, _MIN_MS))
        heapq.heappush(self._told_ms, now_ms + wait_ms)
        return wait_ms
