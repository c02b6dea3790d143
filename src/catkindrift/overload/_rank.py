"""Urgency of requests and of the kinds that were seen of late."""

from typing import final

import attrs

# Priority of the workspace, then of the route; 0 is the highest.
Rank = tuple[int, int]

# Urgent kinds with one request in a few seconds for each VM must still count;
# this is the window over which operators count retries, too.
_SEEN_MS = 10_000


def rank_of(workspace_priority: int | None, route_priority: int) -> Rank:
    """Return the rank of a request; lower ones are more urgent.

    Args:
        workspace_priority: Priority of its workspace; None if it has none, in
            which case the route's stands in its place.
        route_priority: Priority of its route.
    """
    first = route_priority if workspace_priority is None else workspace_priority
    return first, route_priority


@final
@attrs.define(eq=False, repr=False)
class SeenRanks:
    """Ranks of the requests of one service that this VM has seen of late."""

    _seen_ms: dict[Rank, int] = attrs.field(init=False, factory=dict)

    def record(self, rank: Rank, now_ms: int) -> None:
        """Record the arrival of a request.

        Args:
            rank: Rank of the request.
            now_ms: Present time.
        """
        self._seen_ms[rank] = now_ms

    def has_more_urgent(self, rank: Rank, now_ms: int) -> bool:
        """Return whether more urgent requests were seen of late.

        Args:
            rank: Rank to compare with.
            now_ms: Present time.
        """
        return any(
            seen < rank and now_ms - seen_ms < _SEEN_MS
            for seen, seen_ms in self._seen_ms.items()
        )
