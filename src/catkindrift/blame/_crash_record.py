"""Crash of an upstream while it ran requests of one fingerprint."""

from typing import final

import attrs

# Reports about one upstream that lie closer together describe the same crash.
_SAME_CRASH_MS = 5000


@final
@attrs.define
class CrashRecord:
    """Crashes of one upstream while it ran requests of one fingerprint.

    Args:
        first_ms: Time of the earliest report.
        last_ms: Time of the latest report.
        is_confirmed: Whether the upstream process is known to have ended.
        can_crash_again: Whether reports that lie far apart mean two crashes.
    """

    first_ms: int
    last_ms: int
    is_confirmed: bool
    can_crash_again: bool

    @property
    def crash_times_ms(self) -> tuple[int, ...]:
        """Times of the crashes; two if the upstream crashed again."""
        span_ms = self.last_ms - self.first_ms
        if self.can_crash_again and span_ms > _SAME_CRASH_MS:
            return (self.first_ms, self.last_ms)
        return (self.first_ms,)

    @property
    def confirmed_times_ms(self) -> tuple[int, ...]:
        """Times of the crashes if they are confirmed."""
        return self.crash_times_ms if self.is_confirmed else ()
