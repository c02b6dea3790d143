"""Fairness over workspaces, and over the callers of each."""

from typing import final

import attrs

from catkindrift.overload._decaying_counts import DecayingCounts
from catkindrift.overload._waiting_request import WaitingRequest

# The operators require a quarter of the served share of all; the margin is
# for what other VMs refuse.
_LEAST_SHARE = 0.4
# Below this a share says nothing yet.
_FEW_ARRIVALS = 3


@final
@attrs.define(eq=False, repr=False)
class FairShares:
    """Requests that arrived and that were sent, by workspace and by caller."""

    _arrived: DecayingCounts = attrs.field(init=False, factory=DecayingCounts)
    _sent: DecayingCounts = attrs.field(init=False, factory=DecayingCounts)
    _sent_for_caller: DecayingCounts = attrs.field(
        init=False, factory=DecayingCounts
    )

    def record_arrival(self, request: WaitingRequest, now_ms: int) -> None:
        """Count a request that arrived."""
        self._arrived.add(request.workspace, now_ms)

    def record_sent(self, request: WaitingRequest, now_ms: int) -> None:
        """Count a request that was sent to an upstream."""
        self._sent.add(request.workspace, now_ms)
        self._sent_for_caller.add(_caller_of(request), now_ms)

    def is_starved(self, workspace: str, now_ms: int) -> bool:
        """Return whether far less of a workspace is served than of all."""
        arrived = self._arrived.count(workspace, now_ms)
        all_arrived = self._arrived.total(now_ms)
        if arrived < _FEW_ARRIVALS:
            return False
        share = self._sent.count(workspace, now_ms) / arrived
        of_all = self._sent.total(now_ms) / all_arrived
        return share < _LEAST_SHARE * of_all

    def used(self, request: WaitingRequest, now_ms: int) -> tuple[float, float]:
        """Return how much was sent of late for its workspace and its caller."""
        return (
            self._sent.count(request.workspace, now_ms),
            self._sent_for_caller.count(_caller_of(request), now_ms),
        )


def _caller_of(request: WaitingRequest) -> str:
    return f'{request.workspace} {request.caller}'
