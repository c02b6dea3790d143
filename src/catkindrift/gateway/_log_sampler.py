"""Sampling of log lines that may come in large numbers."""

from typing import final

import attrs


@final
@attrs.define(eq=False, repr=False)
class LogSampler:
    """Chooses the first of each run of alike lines.

    Args:
        every: Length of a run; one of so many lines is logged.
    """

    _every: int
    _count: int = attrs.field(init=False, default=0)

    def is_due(self) -> bool:
        """Return whether the next line is logged."""
        self._count += 1
        return self._count % self._every == 1
