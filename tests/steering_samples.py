"""Sample upstreams, routes and bounds for steering tests and benchmarks."""

import attrs

from catkindrift.steering import (
    RequestKind,
    Route,
    SteeringBounds,
    Upstream,
    WeightedService,
)
from tests.platform_deployment import ZONES as REGIONS

BOUNDS = SteeringBounds(0.2, 10_000, 64, 1.5, 5)


def sample_upstream(name, zone='ovd-a', **changes):
    """Return an upstream of the sample service."""
    known = Upstream(
        id=name,
        service='tariffs',
        host='10.0.0.1',
        port=80,
        zone=zone,
        region=REGIONS[zone],
        slots=4,
        is_draining=False,
        cold_remaining_ms=0,
        revision=1,
    )
    return attrs.evolve(known, **changes)


def sample_route(kind=RequestKind.SAFE, **changes):
    """Return a route to the sample service."""
    known = Route(
        name='r',
        host='quotes.example',
        path_prefix='/a/',
        kind=kind,
        timeout_ms=800,
        objective_ms=400,
        priority=1,
        max_attempts=2,
        home_regions=frozenset(),
        targets=(WeightedService('tariffs', 1),),
    )
    return attrs.evolve(known, **changes)
