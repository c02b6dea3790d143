"""Time in whole milliseconds."""

import time
from typing import Protocol, final

import attrs

__all__ = ['Clock', 'ManualClock', 'SystemClock']

_NANOSECONDS_PER_MILLISECOND = 1_000_000


class Clock(Protocol):
    """Gives the time that all decisions use."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds; only differences have a meaning."""

    def elapsed_ms(self) -> int:
        """Return milliseconds that pass while the machine is suspended too."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch, for records people read."""


@final
class SystemClock:
    """Reads the clocks of the operating system."""

    def now_ms(self) -> int:
        """Return the monotonic clock in milliseconds."""
        return time.monotonic_ns() // _NANOSECONDS_PER_MILLISECOND

    def elapsed_ms(self) -> int:
        """Return the time since boot in milliseconds."""
        boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return boot_ns // _NANOSECONDS_PER_MILLISECOND

    def wall_ms(self) -> int:
        """Return the wall clock in milliseconds since the Unix epoch."""
        return time.time_ns() // _NANOSECONDS_PER_MILLISECOND


@final
@attrs.define
class ManualClock:
    """Moves only when told to, for tests and fuzzing."""

    _current_ms: int = 0
    suspended_ms: int = 0

    def now_ms(self) -> int:
        """Return the time set so far in milliseconds."""
        return self._current_ms

    def elapsed_ms(self) -> int:
        """Return the same value as `now_ms`, and the time suspended."""
        return self._current_ms + self.suspended_ms

    def wall_ms(self) -> int:
        """Return the same value as `now_ms`."""
        return self._current_ms

    def advance(self, by_ms: int) -> None:
        """Move the time forward by `by_ms` milliseconds."""
        self._current_ms += by_ms
