"""Preference order of upstreams that keeps requests in their zone."""

from typing import Final

from catkindrift.steering._locality import Locality
from catkindrift.steering._upstream_state import UpstreamState

# Number of upstreams by tier that a request may be placed on. Each further
# one has to load the object, so that a tier is left after a few.
_TIER_CHOICES: Final = (3, 1, 1, 2)


def local_order(
    service: str,
    key: str,
    order: list[UpstreamState],
    locality: Locality,
) -> list[UpstreamState]:
    """Return upstreams of the planned zone first, then of farther ones.

    After the first few of each tier follow the rest, so that a request that
    many upstreams may not run still finds one.

    Args:
        service: Name of the service.
        key: Key of the requested object.
        order: Upstreams in the order that all entry VMs compute.
        locality: Zones in which requests run.
    """
    available = {state.upstream.zone for state in order}
    planned = locality.zone_for(service, key, available)
    tiers: list[list[UpstreamState]] = [[] for _ in _TIER_CHOICES]
    for state in order:
        tiers[locality.tier(state.upstream.zone, planned)].append(state)
    first: list[UpstreamState] = []
    rest: list[UpstreamState] = []
    for count, members in zip(_TIER_CHOICES, tiers, strict=True):
        first.extend(members[:count])
        rest.extend(members[count:])
    return first + rest
