"""Clocks that return integer milliseconds."""

import time
from typing import Protocol, final

import attrs

__all__ = ['Clock', 'ManualClock', 'SystemClock']

_NANOSECONDS_PER_MILLISECOND = 1_000_000


class Clock(Protocol):
    """Source of the time that decisions are based on."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds from an arbitrary origin."""

    def elapsed_ms(self) -> int:
        """Return monotonic milliseconds, including time suspended."""

    def wall_ms(self) -> int:
        """Return Unix milliseconds, for timestamps in records and logs."""


@final
class SystemClock:
    """Clock of the operating system."""

    def now_ms(self) -> int:
        """Return ``CLOCK_MONOTONIC`` in milliseconds."""
        return time.monotonic_ns() // _NANOSECONDS_PER_MILLISECOND

    def elapsed_ms(self) -> int:
        """Return ``CLOCK_BOOTTIME`` in milliseconds."""
        boot_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return boot_ns // _NANOSECONDS_PER_MILLISECOND

    def wall_ms(self) -> int:
        """Return the wall clock in Unix milliseconds."""
        return time.time_ns() // _NANOSECONDS_PER_MILLISECOND


@final
@attrs.define
class ManualClock:
    """Clock that only `advance` moves, for tests and fuzzing.

    Args:
        current_ms: Start time in milliseconds.
        suspended_ms: Time that the machine was suspended; counts only in
            `elapsed_ms`.
    """

    _current_ms: int = 0
    suspended_ms: int = 0

    def now_ms(self) -> int:
        """Return the current time in milliseconds."""
        return self._current_ms

    def elapsed_ms(self) -> int:
        """Return `now_ms` plus the suspended time."""
        return self._current_ms + self.suspended_ms

    def wall_ms(self) -> int:
        """Return the same value as `now_ms`."""
        return self._current_ms

    def advance(self, by_ms: int) -> None:
        """Move the time forward by `by_ms` milliseconds."""
        self._current_ms += by_ms
