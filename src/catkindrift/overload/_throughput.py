"""Throughput of a service, measured by this VM."""

from collections import deque
from typing import final

import attrs

_MILLISECONDS_PER_SECOND = 1000
# As long as reports of load count; a VM has a few responses a second.
_WINDOW_MS = 2000


@final
@attrs.define(eq=False, repr=False)
class Throughput:
    """Responses of one service within the last seconds."""

    _ended_ms: deque[int] = attrs.field(init=False, factory=deque)

    def record_response(self, now_ms: int) -> None:
        """Add a response."""
        self._ended_ms.append(now_ms)
        self._forget(now_ms)

    def per_second(self, now_ms: int) -> float:
        """Return the responses a second that this VM gets."""
        self._forget(now_ms)
        return len(self._ended_ms) * _MILLISECONDS_PER_SECOND / _WINDOW_MS

    def _forget(self, now_ms: int) -> None:
        ended_ms = self._ended_ms
        while ended_ms and ended_ms[0] <= now_ms - _WINDOW_MS:
            ended_ms.popleft()
