"""Time of one upstream choice by the gateway's placement."""

import time

from benchmarks.report import show
from catkindrift.clock import SystemClock
from catkindrift.steering import (
    CandidateOrder,
    ColdRateLimiter,
    CostModel,
    Placement,
    PlacementRequest,
    RequestKind,
    UpstreamLimits,
    UpstreamRegistry,
    ZoneDistances,
)
from tests.platform_deployment import ZONES as REGIONS
from tests.steering_samples import BOUNDS, sample_route, sample_upstream

SIZES = (20, 60, 180)
ROUNDS = 20_000
OBJECT_KEY_COUNT = 65
NANOSECONDS_PER_MICROSECOND = 1000


def build_placement(size):
    """Return a placement over a number of upstreams."""
    clock = SystemClock()
    registry = UpstreamRegistry(clock)
    zones = tuple(REGIONS)
    for index in range(size):
        zone = zones[index % len(zones)]
        registry.put(sample_upstream(f'i-{index}', zone), 0)
    distances = ZoneDistances(zones[0], REGIONS)
    return Placement(
        clock,
        CandidateOrder(registry, distances),
        CostModel(distances),
        ColdRateLimiter(clock, BOUNDS, 'one'),
        UpstreamLimits(clock, 'one'),
    )


def build_requests(kind):
    """Return a request for each object key."""
    route = sample_route(kind)
    return [
        PlacementRequest(route, 'tariffs', str(key), 800, is_urgent=True)
        for key in range(OBJECT_KEY_COUNT)
    ]


def measure(size, kind):
    """Return microseconds per choice, with candidate orders cached."""
    placement = build_placement(size)
    requests = build_requests(kind)
    started = time.perf_counter_ns()
    for index in range(ROUNDS):
        placement.choose(requests[index % OBJECT_KEY_COUNT])
    took = time.perf_counter_ns() - started
    return took / ROUNDS / NANOSECONDS_PER_MICROSECOND


def main():
    """Run the placement benchmark and print its table."""
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
