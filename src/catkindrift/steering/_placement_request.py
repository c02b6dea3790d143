"""What placement has to know about a request."""

from typing import final

import attrs

from catkindrift.steering._route import Route
from catkindrift.steering._upstream_state import UpstreamState


@final
@attrs.frozen
class PlacementRequest:
    """A request that needs an upstream.

    Args:
        route: Route of the request.
        service: Service that the route's rotation gave.
        key: The object that it is about; empty if none is named.
        remaining_ms: Time that is left for the answer.
        is_urgent: Whether no other route to the service is more urgent.
        excluded: Ids of upstreams that were tried already.
    """

    route: Route
    service: str
    key: str
    remaining_ms: float
    is_urgent: bool
    excluded: frozenset[str] = frozenset()

    def admits(self, state: UpstreamState) -> bool:
        """Return whether the request may go to an upstream at all."""
        if state.upstream.id in self.excluded:
            return False
        homes = self.route.home_regions
        return not homes or state.upstream.region in homes
