"""A request that waits for room at an upstream."""

from typing import final

import attrs

from catkindrift.overload._rank import Rank


@final
@attrs.frozen(eq=False)
class WaitingRequest:
    """Facts about a request by which its place in the queue is decided.

    Args:
        rank: Urgency; lower ones are more urgent.
        workspace: Name of its workspace; empty if it has none.
        caller: Address of its caller.
        arrived_ms: When its head arrived.
        objective_ms: When its response has to arrive to be in time.
        deadline_ms: When its caller gives up.
        is_retry: Whether it was sent to an upstream before.
    """

    rank: Rank
    workspace: str
    caller: str
    arrived_ms: int
    objective_ms: int
    deadline_ms: int
    is_retry: bool = False

    def meets_objective(self, response_ms: float) -> bool:
        """Return whether a response at `response_ms` is in time."""
        return response_ms <= self.objective_ms

    def meets_deadline(self, response_ms: float) -> bool:
        """Return whether the caller still waits at `response_ms`."""
        return response_ms <= self.deadline_ms
