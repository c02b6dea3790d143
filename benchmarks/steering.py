"""Time of one choice of an upstream on the users' platform."""

import time

from benchmarks.report import show
from catkindrift.clock import SystemClock
from catkindrift.steering import (
    CandidateOrder,
    ColdPace,
    CostModel,
    Placement,
    PlacementRequest,
    RequestKind,
    Route,
    SteeringBounds,
    Upstream,
    UpstreamRegistry,
    WeightedService,
    ZoneDistances,
)

SIZES = (20, 60, 180)
ROUNDS = 20_000
KEYS = 65
REGIONS = {'a': 'one', 'b': 'two', 'c': 'three'}
NANOSECONDS_PER_MICROSECOND = 1000


def placement_of(size):
    """Return placement over a number of upstreams."""
    clock = SystemClock()
    registry = UpstreamRegistry(clock)
    for index in range(size):
        zone = 'abc'[index % 3]
        registry.put(
            Upstream(
                id=f'i-{index}',
                service='tariffs',
                host='10.0.0.1',
                port=80,
                zone=zone,
                region=REGIONS[zone],
                slots=4,
                is_draining=False,
                cold_left_ms=0,
                revision=1,
            ),
            0,
        )
    distances = ZoneDistances('a', REGIONS)
    return Placement(
        clock,
        CandidateOrder(registry, distances),
        CostModel(distances),
        ColdPace(clock, SteeringBounds(0.2, 10_000, 64, 1.5, 5), 'one'),
    )


def requests(kind):
    """Return requests for each object."""
    route = Route(
        name='r',
        host='h',
        path_prefix='/',
        kind=kind,
        timeout_ms=800,
        objective_ms=400,
        priority=1,
        max_attempts=2,
        home_regions=frozenset(),
        targets=(WeightedService('tariffs', 1),),
    )
    return [
        PlacementRequest(route, 'tariffs', str(key), 800, is_urgent=True)
        for key in range(KEYS)
    ]


def measure(size, kind):
    """Return microseconds a choice, with orders of objects computed once."""
    placement = placement_of(size)
    asked = requests(kind)
    began = time.perf_counter_ns()
    for index in range(ROUNDS):
        placement.choose(asked[index % KEYS])
    took = time.perf_counter_ns() - began
    return took / ROUNDS / NANOSECONDS_PER_MICROSECOND


def main():
    """Print the table."""
    show(
        'steering',
        [
            {
                'upstreams': size,
                'kind': kind.value,
                'us a choice': measure(size, kind),
            }
            for size in SIZES
            for kind in (RequestKind.SAFE, RequestKind.UPLOAD)
        ],
    )


if __name__ == '__main__':
    main()
