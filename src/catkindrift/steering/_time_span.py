"""Span of time, as times on one VM's clock or as ages."""

from typing import final

import attrs


@final
@attrs.frozen
class TimeSpan:
    """Span between two times, or between two ages.

    Ages are exchanged between VMs, because each VM's clock has another zero.

    Args:
        began_ms: Time or age of the start.
        ended_ms: Time or age of the end.
    """

    began_ms: int
    ended_ms: int

    def convert_ages(self, now_ms: int) -> 'TimeSpan':
        """Convert times to ages, or ages to times.

        Args:
            now_ms: Present time on this VM's clock.
        """
        return TimeSpan(now_ms - self.began_ms, now_ms - self.ended_ms)
