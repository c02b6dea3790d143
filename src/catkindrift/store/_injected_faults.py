"""Faults that the stand-in platform shows on request."""

from typing import final

import attrs


@final
@attrs.define
class InjectedFaults:
    """Faults in force.

    Args:
        is_down: Every call is refused.
        slow_ms: Delay of every answer.
        lost_answers: Writes to come whose answer is lost after they took
            effect.
    """

    is_down: bool = False
    delay_ms: int = 0
    lost_responses: int = 0

    def take_lost_response(self) -> bool:
        """Return whether the answer of the write just made is lost."""
        if self.lost_responses < 1:
            return False
        self.lost_responses -= 1
        return True
