"""A span of time, by the clock of one VM or as ages that others can read."""

from typing import final

import attrs


@final
@attrs.frozen
class TimeSpan:
    """From one time to a later one.

    Args:
        began_ms: Its start.
        ended_ms: Its end.
    """

    began_ms: int
    ended_ms: int

    def convert_ages(self, now_ms: int) -> 'TimeSpan':
        """Return ages in place of times, or times in place of ages."""
        return TimeSpan(now_ms - self.began_ms, now_ms - self.ended_ms)
