"""Longest durations of recent requests."""

from typing import final

import attrs

from catkindrift.clock import Clock

# Long enough to contain slow requests of a route with little traffic, and
# short enough that an upstream that has recovered counts as fast again.
_WINDOW_MS = 30_000


@final
@attrs.define(eq=False, repr=False)
class RecentDurations:
    """Remembers the longest duration by key, for one to two windows.

    Args:
        clock: Source of time.
    """

    _clock: Clock
    _window_start_ms: int = attrs.field(init=False)
    _current: dict[str, int] = attrs.field(init=False, factory=dict)
    _previous: dict[str, int] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start the first window."""
        self._window_start_ms = self._clock.now_ms()

    def record(self, key: str, duration_ms: int) -> None:
        """Record the duration of a request in milliseconds."""
        self._rotate()
        self._current[key] = max(duration_ms, self._current.get(key, 0))

    def longest_ms(self, key: str) -> int | None:
        """Return the longest recent duration, or None if there was none."""
        self._rotate()
        found = (self._current.get(key), self._previous.get(key))
        known = [each for each in found if each is not None]
        return max(known, default=None)

    def _rotate(self) -> None:
        now_ms = self._clock.now_ms()
        age_ms = now_ms - self._window_start_ms
        if age_ms < _WINDOW_MS:
            return
        self._previous = self._current if age_ms < 2 * _WINDOW_MS else {}
        self._current = {}
        self._window_start_ms = now_ms
