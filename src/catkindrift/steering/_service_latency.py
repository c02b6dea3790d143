"""Average latency of a service."""

from typing import final

import attrs

# Assumed until the first responses have been measured.
_INITIAL_AVERAGE_MS = 150.0
# Weight of the newest sample in the moving average.
_SAMPLE_WEIGHT = 0.05


@final
@attrs.define
class ServiceLatency:
    """Moving average of the time from a request to its complete response.

    Args:
        average_ms: The average in milliseconds.
    """

    average_ms: float = _INITIAL_AVERAGE_MS

    def add_sample(self, took_ms: float) -> None:
        """Add a sample; it counts as at most three times the average."""
        bounded_ms = min(took_ms, 3 * self.average_ms)
        self.average_ms += _SAMPLE_WEIGHT * (bounded_ms - self.average_ms)
