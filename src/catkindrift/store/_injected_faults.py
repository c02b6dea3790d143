"""Faults that the in-memory object store simulates."""

from typing import final

import attrs


@final
@attrs.define
class InjectedFaults:
    """Faults to simulate.

    Args:
        is_down: Whether every call fails with status 503.
        delay_ms: Delay of every response in milliseconds.
        lost_responses: Number of next writes that take effect but get no
            response.
    """

    is_down: bool = False
    delay_ms: int = 0
    lost_responses: int = 0

    def take_lost_response(self) -> bool:
        """Count down one write; return whether to drop its response."""
        if self.lost_responses < 1:
            return False
        self.lost_responses -= 1
        return True
