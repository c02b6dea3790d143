"""Objects that callers have requested lately."""

from typing import Final, final

import attrs

# Length of one of the two counting periods. At 10 requests a second a VM sees
# most of some hundred objects in this time.
_PERIOD_MS: Final = 60_000
# Bounds the memory; no service of the deployments has more objects.
_MAX_OBJECTS: Final = 4096


@final
@attrs.define(eq=False, repr=False)
class RecentObjects:
    """Counts the distinct objects of each service that this VM has seen.

    The count is what was seen in the present and the previous period; nothing
    is extrapolated from it.
    """

    _present: dict[str, set[str]] = attrs.field(init=False, factory=dict)
    _previous: dict[str, set[str]] = attrs.field(init=False, factory=dict)
    _period: int = attrs.field(init=False, default=0)

    def record(self, service: str, key: str, now_ms: int) -> None:
        """Record a request for an object."""
        period = now_ms // _PERIOD_MS
        if period != self._period:
            is_next = period == self._period + 1
            self._previous = self._present if is_next else {}
            self._present = {}
            self._period = period
        seen = self._present.setdefault(service, set())
        if len(seen) < _MAX_OBJECTS:
            seen.add(key)

    def count(self, service: str) -> int:
        """Return the number of distinct objects of a service."""
        empty: set[str] = set()
        present = self._present.get(service, empty)
        return len(present | self._previous.get(service, empty))
