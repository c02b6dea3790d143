"""Load that an upstream reports about itself."""

from typing import final

import attrs


@final
@attrs.frozen
class LoadReport:
    """Load of one upstream at the time of a response.

    Args:
        running: Number of requests in its slots.
        waiting: Number of requests in its queue.
        slots: Number of requests that it can run concurrently.
    """

    running: int
    waiting: int
    slots: int

    @property
    def total(self) -> int:
        """Number of running and waiting requests."""
        return self.running + self.waiting
