"""Counts of recent events by name."""

import math
from typing import final

import attrs

# Short enough that a caller pays for a burst soon, long enough to hold several
# requests of a caller that sends one a second.
_HALF_LIFE_MS = 5000.0
# Counts stay within the range of floating point numbers.
_MAX_AGE_MS = 300_000.0
# Names beyond this, the least counted ones, are forgotten.
_MAX_NAMES = 1024


@final
@attrs.define(eq=False, repr=False)
class DecayingCounts:
    """Counts that halve every few seconds.

    New events count more instead of old ones less, so that only a new event
    changes a count.
    """

    _counts: dict[str, float] = attrs.field(init=False, factory=dict)
    _origin_ms: int = attrs.field(init=False, default=0)

    @property
    def names(self) -> tuple[str, ...]:
        """All names that are counted."""
        return tuple(self._counts)

    def add(self, name: str, now_ms: int) -> None:
        """Count one event.

        Args:
            name: What the event belongs to.
            now_ms: Present time.
        """
        if now_ms - self._origin_ms > _MAX_AGE_MS:
            self._rebase(now_ms)
        weight = 1 / self._decay(now_ms)
        self._counts[name] = self._counts.get(name, 0) + weight
        if len(self._counts) > _MAX_NAMES:
            self._counts.pop(min(self._counts, key=self._weighted))

    def count(self, name: str, now_ms: int) -> float:
        """Return the count of a name."""
        return self._weighted(name) * self._decay(now_ms)

    def total(self, now_ms: int) -> float:
        """Return the sum of all counts."""
        return math.fsum(self._counts.values()) * self._decay(now_ms)

    def _weighted(self, name: str) -> float:
        return self._counts.get(name, 0)

    def _decay(self, now_ms: int) -> float:
        return math.exp2((self._origin_ms - now_ms) / _HALF_LIFE_MS)

    def _rebase(self, now_ms: int) -> None:
        decay = self._decay(now_ms)
        self._origin_ms = now_ms
        self._counts = {
            name: count * decay
            for name, count in self._counts.items()
            if count * decay > 1 / _MAX_NAMES
        }
