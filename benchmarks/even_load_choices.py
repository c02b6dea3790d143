"""Kinds of upstream choice that the replay of even load compares."""

import random

from catkindrift.steering import (
    CandidateOrder,
    ColdRateLimiter,
    CostModel,
    LocalChoices,
    Locality,
    Placed,
    Placement,
    PlacementRequest,
    ServiceLatency,
    UpstreamLimits,
    ZoneDistances,
)
from tests.steering_samples import BOUNDS, sample_route

SERVICE = 'tariffs'
REMAINING_MS = 5000


def _placement(name, zone, clock, registry, regions, has_idle, locality):
    distances = ZoneDistances(zone, regions)
    placement = Placement(
        clock,
        CandidateOrder(registry, distances, locality),
        CostModel(distances),
        ColdRateLimiter(clock, BOUNDS, name),
        UpstreamLimits(clock, name),
        LocalChoices(clock, locality, random.Random(name), has_idle)
        if locality
        else None,
    )
    route = sample_route()

    def choose(key):
        choice = placement.choose(
            PlacementRequest(route, SERVICE, key, REMAINING_MS, is_urgent=True)
        )
        return choice.state if isinstance(choice, Placed) else None

    return choose, placement.latency


def today(name, zone, clock, registry, regions, has_idle, _):
    """Return the choice with locality off."""
    return _placement(name, zone, clock, registry, regions, has_idle, None)


def local(name, zone, clock, registry, regions, has_idle, remembered):
    """Return the choice with locality on."""
    locality = Locality(clock, registry, zone, regions, remembered)
    return _placement(name, zone, clock, registry, regions, has_idle, locality)


def two_random(name, _, clock, registry, *__):
    """Return the choice of the less loaded of two random upstreams."""
    rng = random.Random(name)
    states = registry.of_service(SERVICE)

    def choose(_):
        pair = rng.sample(states, 2)
        return min(pair, key=lambda state: state.load(clock.now_ms()))

    latency = ServiceLatency()
    return choose, lambda _: latency


def least_loaded(name, _, clock, registry, *__):
    """Return the choice of the least loaded by the reports known."""
    rng = random.Random(name)
    states = registry.of_service(SERVICE)

    def choose(_):
        return min(
            states,
            key=lambda state: (state.load(clock.now_ms()), rng.random()),
        )

    latency = ServiceLatency()
    return choose, lambda _: latency


CHOICES = {
    'today': today,
    'two random': two_random,
    'least loaded': least_loaded,
    'local': local,
}
