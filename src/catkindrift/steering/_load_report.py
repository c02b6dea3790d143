"""What an upstream says of its own load."""

from typing import final

import attrs


@final
@attrs.frozen
class LoadReport:
    """Load of one upstream when it answered.

    Args:
        running: Requests in its slots.
        waiting: Requests in its queue.
        slots: Requests that it runs at the same time.
    """

    running: int
    waiting: int
    slots: int

    @property
    def total(self) -> int:
        """Return running and waiting requests together."""
        return self.running + self.waiting
