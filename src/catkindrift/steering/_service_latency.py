"""How long requests of a service usually take."""

from typing import final

import attrs

# Assumed until the first answers have come.
_INITIAL_AVERAGE_MS = 150.0
_SAMPLE_WEIGHT = 0.05


@final
@attrs.define
class ServiceLatency:
    """Moving average of the time between sending and the whole answer.

    Args:
        average_ms: The average in milliseconds.
    """

    average_ms: float = _INITIAL_AVERAGE_MS

    def add_sample(self, took_ms: float) -> None:
        """Add a sample; outliers count at most three times the average."""
        bounded_ms = min(took_ms, 3 * self.average_ms)
        self.average_ms += _SAMPLE_WEIGHT * (bounded_ms - self.average_ms)
