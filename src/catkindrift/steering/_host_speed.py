"""Speed of the host that an upstream runs on."""

from typing import Final, final

import attrs

_USUAL_PERCENT: Final = 100
# Hosts change their speed every 0.6 s, at a moment that is not known, so the
# probability that a figure still holds falls linearly to 0 over this time.
_SPEED_TTL_MS = 600


@final
@attrs.define(eq=False, repr=False)
class HostSpeed:
    """Most recently reported speed of a host.

    Args:
        percent: Time that work took at the report, in percent of the usual.
        reported_ms: Time of the report.
    """

    percent: int = _USUAL_PERCENT
    reported_ms: int = -_SPEED_TTL_MS

    def record(self, percent: int | None, now_ms: int) -> None:
        """Record a reported speed; None if the report states none."""
        if percent is not None:
            self.percent = percent
            self.reported_ms = now_ms

    def extra_ms(self, now_ms: int, average_ms: float) -> float:
        """Return how much longer than average a request is expected to take.

        Args:
            now_ms: Present time.
            average_ms: Average latency of the service.
        """
        age_ms = now_ms - self.reported_ms
        if age_ms >= _SPEED_TTL_MS:
            return 0
        slowdown = max(0, self.percent / _USUAL_PERCENT - 1)
        return average_ms * slowdown * (1 - age_ms / _SPEED_TTL_MS)
