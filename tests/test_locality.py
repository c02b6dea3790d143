"""Locality of placement, in virtual time, no I/O."""

import itertools
import random

import attrs
import pytest

from catkindrift.clock import ManualClock
from catkindrift.rendezvous import weighted_choice
from catkindrift.settings import load_gateway_settings
from catkindrift.steering import (
    CandidateOrder,
    ChoiceReason,
    ColdRateLimiter,
    CostModel,
    LocalChoices,
    Locality,
    Placed,
    Placement,
    PlacementRequest,
    UpstreamLimits,
    UpstreamRegistry,
    ZoneDistances,
)
from tests.steering_samples import BOUNDS, sample_route, sample_upstream
from tests.test_gateway_settings import write as write_settings
from tests.uneven_zones import (
    OBJECTS,
    REGIONS,
    REMEMBERED,
    SLOTS,
    UPSTREAMS,
)


class Fleet:
    """One entry VM per zone, over upstreams that all of them know."""

    def __init__(self, counts=UPSTREAMS, remembered=REMEMBERED):
        self.clock = ManualClock(1_000_000)
        self.registry = UpstreamRegistry(self.clock)
        for zone, count in counts.items():
            for index in range(count):
                upstream = sample_upstream(f'i-{zone}-{index}', 'ovd-a')
                self.registry.put(
                    attrs.evolve(
                        upstream, zone=zone, region=REGIONS[zone], slots=SLOTS
                    ),
                    0,
                )
        self.tokens = itertools.count()
        self.idle = set()
        self.vms = {name: self._vm(name, remembered) for name in REGIONS}

    def choose(self, zone, key, **changes):
        return self.vms[zone].choose(
            PlacementRequest(
                sample_route(**changes), 'tariffs', key, 5000, is_urgent=True
            )
        )

    def upstream(self, zone, key):
        choice = self.choose(zone, key)
        assert isinstance(choice, Placed)
        return choice.state.upstream

    def fill(self, states):
        for state in states:
            for _ in range(3 * SLOTS):
                state.record_request(next(self.tokens), '', self.clock.now_ms())

    def in_zone(self, zone):
        return [
            state
            for state in self.registry.states
            if state.upstream.zone == zone
        ]

    def _vm(self, zone, remembered):
        distances = ZoneDistances(zone, REGIONS)
        locality = Locality(
            self.clock, self.registry, zone, REGIONS, remembered
        )
        return Placement(
            self.clock,
            CandidateOrder(self.registry, distances, locality),
            CostModel(distances),
            ColdRateLimiter(self.clock, BOUNDS, zone),
            UpstreamLimits(self.clock, zone),
            LocalChoices(
                self.clock,
                locality,
                random.Random(zone),
                self.idle.__contains__,
            ),
        )


def settle(fleet):
    """Let all VMs see all objects and reach the shares that follow."""
    for key, zone in itertools.product(OBJECTS, REGIONS):
        fleet.choose(zone, key)
    for _ in range(120):
        fleet.clock.advance(500)
        for vm_zone in REGIONS:
            fleet.choose(vm_zone, OBJECTS[0])


def shares_elsewhere(fleet, zone):
    """Return the shares that run in other zones and in other regions."""
    chosen = [fleet.upstream(zone, key) for key in OBJECTS]
    zones = sum(each.zone != zone for each in chosen)
    regions = sum(each.region != REGIONS[zone] for each in chosen)
    return zones / len(OBJECTS), regions / len(OBJECTS)


def test_zone_with_capacity_keeps_its_requests():
    """A zone that can hold and run everything sends nothing elsewhere."""
    fleet = Fleet()
    for zone in ('b-1', 'b-2', 'c-1', 'c-2'):
        for key in OBJECTS:
            assert fleet.upstream(zone, key).zone == zone


def test_zone_with_few_upstreams_sends_a_stable_part_elsewhere():
    """7 of 144 upstreams run 7/24 of the requests of one sixth of callers."""
    fleet = Fleet()
    away, _ = shares_elsewhere(fleet, 'a-1')
    assert 1 - away == pytest.approx(7 / 24, abs=0.08)
    before = {key: fleet.upstream('a-1', key).zone for key in OBJECTS}
    for _ in range(3):
        for key in OBJECTS:
            assert fleet.upstream('a-1', key).zone == before[key]


def test_slots_of_all_zones_get_the_same_demand():
    """No zone gets 1.3 times the mean number of objects for its upstreams."""
    fleet = Fleet()
    sent = dict.fromkeys(REGIONS, 0)
    for zone in REGIONS:
        for key in OBJECTS:
            sent[fleet.upstream(zone, key).zone] += 1
    mean = sum(sent.values()) / sum(UPSTREAMS.values())
    for zone, count in sent.items():
        assert count / UPSTREAMS[zone] < 1.3 * mean


def test_zone_that_cannot_hold_the_objects_shares_with_its_region():
    """Objects that exceed the caches of a zone are spread over its region."""
    counts = dict.fromkeys(REGIONS, 20)
    fleet = Fleet(counts)
    settle(fleet)
    for zone in REGIONS:
        other_zone, other_region = shares_elsewhere(fleet, zone)
        assert not other_region
        assert other_zone == pytest.approx(1 / 2, abs=0.1)


def test_regions_that_cannot_hold_the_objects_share_all():
    """Without room for the objects in any region, all upstreams are alike."""
    fleet = Fleet(dict.fromkeys(REGIONS, 6))
    settle(fleet)
    for zone in REGIONS:
        _, other_region = shares_elsewhere(fleet, zone)
        assert other_region == pytest.approx(2 / 3, abs=0.1)


def test_vms_of_one_zone_choose_alike():
    """VMs that know the same upstreams use the same few for an object.

    Otherwise each of them would load the objects on other upstreams.
    """
    fleets = [Fleet() for _ in range(3)]
    for number, fleet in enumerate(fleets):
        for key in OBJECTS[: number * 100]:
            fleet.choose('b-1', key)
    for zone, key in itertools.product(REGIONS, OBJECTS):
        used = [each.upstream(zone, key) for each in fleets for _ in '12']
        assert len({each.zone for each in used}) == 1
        assert len({each.id for each in used}) <= 3


def test_copies_follow_the_request_rate():
    """Only an object that is requested often gets many upstreams."""
    fleet = Fleet()
    used = {key: set() for key in OBJECTS}
    for key in OBJECTS * 2:
        used[key].add(fleet.upstream('b-1', key).id)
    hot = {fleet.upstream('b-1', 'hot').id for _ in range(300)}
    assert len(hot) == 3
    assert sum(map(len, used.values())) < 1.5 * len(OBJECTS)


def pick_many(idle=(), loads=(0, 0)):
    """Return how often each of two upstreams of equal cost is picked."""
    fleet = Fleet()
    states = fleet.in_zone('b-1')[:2]
    for state, load in zip(states, loads, strict=True):
        for _ in range(load):
            state.record_request(next(fleet.tokens), '', 0)
    choices = LocalChoices(
        fleet.clock,
        Locality(fleet.clock, fleet.registry, 'b-1', REGIONS, REMEMBERED),
        random.Random(3),
        lambda upstream: upstream.id in idle,
    )
    options = [Placed(each, ChoiceReason.FIRST, 100) for each in states]
    picked = [choices.pick(options, 100) for _ in range(1000)]
    return [sum(each is option for each in picked) for option in options]


def test_choice_between_equals_is_in_proportion_to_free_slots():
    """Otherwise all VMs with the same news would choose the same upstream."""
    first, second = pick_many(loads=(0, 6))
    assert first / second == pytest.approx(9 / 3, rel=0.2)


def test_idle_connection_decides_between_equals():
    """A new connection costs a round trip, so a connected upstream is used."""
    assert pick_many(idle={'i-b-1-1'}) == [0, 1000]
    assert min(pick_many()) > 400


def test_full_upstreams_yield_to_their_zone_then_region():
    """A request leaves full upstreams for the nearest that have room."""
    fleet = Fleet()
    key = OBJECTS[0]
    used = []
    for _ in range(3):
        upstream = fleet.upstream('b-1', key)
        used.append(upstream.zone)
        fleet.fill([fleet.registry.find(upstream.id)])
    assert used == ['b-1', 'b-1', 'b-1']
    fleet.fill(fleet.in_zone('b-1'))
    assert fleet.upstream('b-1', key).zone == 'b-2'


def test_requests_leave_a_full_region_gradually():
    """At most 0.15 more leave the region from one window to the next."""
    fleet = Fleet()
    fleet.upstream('b-1', OBJECTS[0])
    percents = []
    for window in range(8):
        if window == 2:
            fleet.fill([*fleet.in_zone('b-1'), *fleet.in_zone('b-2')])
        left = 0
        for index in range(200):
            choice = fleet.choose('b-1', OBJECTS[index])
            is_placed = isinstance(choice, Placed)
            left += is_placed and choice.state.upstream.region != 'b'
            fleet.clock.advance(10)
        percents.append(left / 2)
    assert percents[:2] == [0, 0]
    assert percents[-1] > 30
    for before, after in itertools.pairwise(percents):
        assert after - before <= 15


def test_plan_moves_requests_between_regions_gradually():
    """Lost upstreams change the regions of at most 0.15 in 2 s."""
    fleet = Fleet()
    before = [fleet.upstream('b-1', key).region for key in OBJECTS]
    for state in [*fleet.in_zone('b-1')[:25], *fleet.in_zone('b-2')[:25]]:
        fleet.registry.remove(state.upstream.id)
    moved = []
    for _ in range(20):
        fleet.clock.advance(2000)
        after = [fleet.upstream('b-1', key).region for key in OBJECTS]
        pairs = zip(before, after, strict=True)
        moved.append(sum(old != new for old, new in pairs))
        before = after
    # 15 and 40 in 100 of the objects.
    assert max(moved) * 100 <= 15 * len(OBJECTS)
    assert sum(moved) * 100 > 40 * len(OBJECTS)


def test_few_objects_move_when_weights_change():
    """A changed weight moves about the share of objects that it changes."""
    rng = random.Random(7)
    keys = [str(rng.random()) for _ in range(4000)]
    before = {key: weighted_choice(key, {'a': 3, 'b': 1}) for key in keys}
    after = {key: weighted_choice(key, {'a': 2, 'b': 2}) for key in keys}
    share = sum(each == 'a' for each in before.values()) / len(keys)
    assert share == pytest.approx(0.75, abs=0.03)
    moved = [key for key in keys if before[key] != after[key]]
    assert len(moved) / len(keys) == pytest.approx(0.25, abs=0.03)
    assert {before[key] for key in moved} == {'a'}


def test_setting_is_off_by_default(tmp_path):
    """Without the setting, placement treats all zones alike."""
    path = write_settings(tmp_path)
    assert not load_gateway_settings(path).placement.locality
    path.write_text(f'{path.read_text()}\n[placement]\nlocality = true\n')
    placement = load_gateway_settings(path).placement
    assert placement.locality
    assert placement.remembered_objects == REMEMBERED
