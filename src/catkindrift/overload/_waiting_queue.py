"""A bounded queue of requests that wait for room at an upstream."""

from typing import final

import attrs

from catkindrift.overload._fair_shares import FairShares
from catkindrift.overload._rank import Rank
from catkindrift.overload._waiting_request import WaitingRequest

# Sorts before all ranks, for workspaces of which hardly anything is served.
_FIRST = (-1, -1)

# Kind of the request, fairness, deadline.
_Kind = tuple[bool, Rank, bool]
_Place = tuple[_Kind, tuple[float, float], int]


@final
@attrs.define(eq=False, repr=False)
class WaitingQueue:
    """Requests of one service in the order in which they may leave.

    First attempts go before retries; more urgent requests before others;
    those that can meet their objective before those that can't; workspaces
    that were sent little of late before others, and so their callers; early
    deadlines before late ones.

    Args:
        limit: Most requests that wait at a time.
        shares: What was sent of late by workspace and caller.
    """

    _limit: int
    _shares: FairShares
    _waiting: list[WaitingRequest] = attrs.field(init=False, factory=list)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def add(
        self, request: WaitingRequest, now_ms: int, average_ms: float
    ) -> WaitingRequest | None:
        """Add a request; return the last one in order if there are too many.

        Args:
            request: The request.
            now_ms: Present time.
            average_ms: Average latency of the service.
        """
        self._waiting.append(request)
        if len(self._waiting) <= self._limit:
            return None
        last = self.in_order(now_ms, average_ms)[-1]
        self._waiting.remove(last)
        return last

    def discard(self, request: WaitingRequest) -> None:
        """Remove a request, if it is there."""
        if request in self._waiting:
            self._waiting.remove(request)

    def in_order(self, now_ms: int, average_ms: float) -> list[WaitingRequest]:
        """Return all requests, the one that may leave first at the front.

        Args:
            now_ms: Present time.
            average_ms: Average latency of the service.
        """
        places = {
            id(request): self._place(request, now_ms, average_ms)
            for request in self._waiting
        }
        return sorted(self._waiting, key=lambda request: places[id(request)])

    def _place(
        self, request: WaitingRequest, now_ms: int, average_ms: float
    ) -> _Place:
        is_starved = self._shares.is_starved(request.workspace, now_ms)
        rank = _FIRST if is_starved else request.rank
        is_late = not request.meets_objective(now_ms + average_ms)
        return (
            (request.is_retry, rank, is_late),
            self._shares.used(request, now_ms),
            request.deadline_ms,
        )
