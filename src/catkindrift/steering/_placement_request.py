"""Input of the placement of a request."""

from typing import final

import attrs

from catkindrift.steering._route import Route
from catkindrift.steering._upstream_state import UpstreamState


def _homes_of_route(request: 'PlacementRequest') -> frozenset[str] | None:
    return request.route.home_regions or None


@final
@attrs.frozen
class PlacementRequest:
    """A request that needs an upstream.

    Args:
        route: Route of the request.
        service: Service that the weighted rotation of the route selected.
        key: Key of the requested object; empty if the request has none.
        remaining_ms: Time until the deadline of the request.
        is_urgent: Whether no route to the service has a higher priority.
        excluded: Ids of upstreams that have been tried already.
        home_regions: Regions that may serve the request, None for all; by
            default those of the route.
        max_fill: Load relative to the slots at which an upstream counts as
            full; None for the usual one.
    """

    route: Route
    service: str
    key: str
    remaining_ms: float
    is_urgent: bool
    excluded: frozenset[str] = frozenset()
    home_regions: frozenset[str] | None = attrs.field(
        default=attrs.Factory(_homes_of_route, takes_self=True)
    )
    max_fill: float | None = None

    def admits(self, state: UpstreamState) -> bool:
        """Return whether the request may be sent to an upstream.

        It may not go to an excluded or leaving upstream, or outside its home
        regions.
        """
        if state.is_leaving or state.upstream.id in self.excluded:
            return False
        homes = self.home_regions
        return homes is None or state.upstream.region in homes
