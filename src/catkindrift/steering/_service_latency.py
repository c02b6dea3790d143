"""How long requests of a service usually take."""

from typing import final

import attrs

# Assumed until the first answers have come.
_FIRST_GUESS_MS = 150.0
_NEWEST = 0.05


@final
@attrs.define
class ServiceSpeed:
    """Moving average of the time between sending and the whole answer.

    Args:
        usual_ms: The average in milliseconds.
    """

    usual_ms: float = _FIRST_GUESS_MS

    def learn(self, took_ms: float) -> None:
        """Add a sample; outliers count at most three times the average."""
        bounded_ms = min(took_ms, 3 * self.usual_ms)
        self.usual_ms += _NEWEST * (bounded_ms - self.usual_ms)
