"""Placement and the limits that entry VMs share, in virtual time, no I/O."""

import attrs
import pytest

from catkindrift.clock import ManualClock
from catkindrift.steering import (
    CandidateOrder,
    ColdRateLimiter,
    CostModel,
    Heartbeat,
    LoadReport,
    MemberFacts,
    Members,
    NotPlaced,
    NotPlacedReason,
    Placed,
    Placement,
    PlacementRequest,
    RequestKind,
    RoutingConfiguration,
    ServiceRules,
    SharedRetryBudget,
    UpstreamLimits,
    UpstreamRegistry,
    WeightedRotation,
    WeightedService,
    ZoneDistances,
    addresses_for,
)
from catkindrift.steering._caller_limits import CallerLimits
from tests.platform_deployment import ZONES as REGIONS
from tests.steering_samples import BOUNDS, sample_route, sample_upstream

RULES = ServiceRules('tariffs', '/health', 390, 3000, 7.7)


class Bench:
    """Placement with a registry of sample upstreams."""

    def __init__(self, *upstreams, zone='ovd-a', members=('one',)):
        self.clock = ManualClock(100_000)
        self.registry = UpstreamRegistry(self.clock)
        for each in upstreams:
            self.registry.put(each, 0)
        self.registry.mark_loaded()
        self.cold_limiter = ColdRateLimiter(self.clock, BOUNDS, 'one')
        self.cold_limiter.update_members(members)
        self.limits = UpstreamLimits(self.clock, 'one')
        self.limits.update_members(members)
        distances = ZoneDistances(zone, REGIONS)
        self.placement = Placement(
            self.clock,
            CandidateOrder(self.registry, distances),
            CostModel(distances),
            self.cold_limiter,
            self.limits,
        )
        self.placement.rules = {'tariffs': RULES}

    def choose(self, key='17', excluded=(), remaining_ms=800, **changes):
        return self.placement.choose(
            PlacementRequest(
                sample_route(**changes),
                'tariffs',
                key,
                remaining_ms,
                is_urgent=True,
                excluded=frozenset(excluded),
            ),
        )

    def chosen(self, *args, **kwargs):
        choice = self.choose(*args, **kwargs)
        return choice.state.upstream.id if isinstance(choice, Placed) else None


def sample_upstreams(count, zone='ovd-a'):
    return [
        sample_upstream(f'i-{zone}-{index}', zone) for index in range(count)
    ]


def test_same_object_has_the_same_place_from_all_regions():
    """Entry VMs of all regions send an object to the same upstreams.

    Otherwise each region would load the object on other upstreams.
    """
    upstreams = [*sample_upstreams(6), *sample_upstreams(6, 'snt-a')]
    near = Bench(*upstreams)
    far = Bench(*upstreams, zone='snt-a')
    for key in map(str, range(50)):
        assert near.chosen(key) == far.chosen(key)


def test_objects_stay_when_an_upstream_leaves():
    """Only the objects of the removed upstream move to others."""
    upstreams = sample_upstreams(8)
    bench = Bench(*upstreams)
    before = {key: bench.chosen(key) for key in map(str, range(60))}
    bench.registry.remove(upstreams[0].id)
    for key, place in before.items():
        if place != upstreams[0].id:
            assert bench.chosen(key) == place


def test_waiting_for_a_warm_upstream_beats_a_third_choice():
    """Under load an object stays on two upstreams until both are full."""
    bench = Bench(*sample_upstreams(8))
    used = set()
    for token in range(40):
        choice = bench.choose()
        if isinstance(choice, NotPlaced):
            break
        choice.state.record_request(token, '17', bench.clock.now_ms())
        used.add(choice.state.upstream.id)
    assert len(used) == 2
    assert choice.reason is NotPlacedReason.ALL_FULL
    assert choice.retry_after_ms > 0


def test_what_cannot_be_in_time_is_refused_at_once():
    """A request whose deadline is before the expected wait is refused."""
    bench = Bench(*sample_upstreams(2))
    for token in range(12):
        choice = bench.choose()
        choice.state.record_request(token, '17', bench.clock.now_ms())
    refused = bench.choose(remaining_ms=60)
    assert refused.reason is NotPlacedReason.TOO_LATE


def test_uploads_stay_in_the_region():
    """Uploads between regions cost limited and billed traffic."""
    bench = Bench(*sample_upstreams(3), *sample_upstreams(3, 'snt-a'))
    for key in map(str, range(30)):
        chosen = bench.chosen(key, kind=RequestKind.UPLOAD)
        assert chosen.startswith('i-ovd-a')


def test_homes_bind():
    """A route with home regions is refused elsewhere, even if they are down."""
    bench = Bench(*sample_upstreams(3), *sample_upstreams(1, 'snt-a'))
    homes = frozenset(('cantabria',))
    assert bench.chosen(home_regions=homes) == 'i-snt-a-0'
    refused = bench.choose(home_regions=homes, excluded=('i-snt-a-0',))
    assert refused.reason is NotPlacedReason.NO_UPSTREAM


def test_draining_and_evacuated_upstreams_get_nothing():
    """A drain or an evacuation takes effect with the registry's update."""
    bench = Bench(*sample_upstreams(1), *sample_upstreams(1, 'snt-a'))
    leaving = sample_upstream('i-ovd-a-0', is_draining=True, revision=2)
    bench.registry.put(leaving, 0)
    assert bench.chosen() == 'i-snt-a-0'
    bench.registry.update_evacuated_zones(['snt-a'], 3000)
    assert bench.chosen() is None
    bench.registry.update_evacuated_zones([], 3000)
    assert bench.chosen() == 'i-snt-a-0'


def test_older_facts_about_an_upstream_are_passed_over():
    """A stale list doesn't make a draining upstream eligible again."""
    bench = Bench(sample_upstream('i-1', is_draining=True, revision=9))
    bench.registry.put(sample_upstream('i-1', revision=8), 0)
    assert bench.chosen() is None


def test_slow_upstream_is_avoided_while_its_request_is_overdue():
    """A single overdue response makes another upstream preferable."""
    bench = Bench(*sample_upstreams(2))
    first = bench.choose().state
    first.record_request(1, '17', bench.clock.now_ms())
    bench.clock.advance(1500)
    assert bench.chosen() != first.upstream.id


def test_failures_eject_for_a_time():
    """Two consecutive failures eject an upstream for a limited time."""
    bench = Bench(*sample_upstreams(2))
    first = bench.choose().state
    first.record_failure(bench.clock.now_ms())
    first.record_failure(bench.clock.now_ms())
    assert bench.chosen() != first.upstream.id
    bench.clock.advance(60_000)
    assert first.ejected_until_ms < bench.clock.now_ms()


def test_last_upstream_is_tried_although_ejected():
    """The only upstream gets one request at a time while it is ejected."""
    bench = Bench(*sample_upstreams(1))
    only = bench.choose().state
    only.eject(bench.clock.now_ms())
    assert bench.chosen() == only.upstream.id
    only.record_request(1, '17', bench.clock.now_ms())
    assert bench.chosen() is None


def test_reported_load_of_others_counts_and_fades():
    """An upstream that reports to be full is skipped until the report ages."""
    bench = Bench(*sample_upstreams(2))
    first = bench.choose().state
    for _ in range(4):
        first.record_load(LoadReport(4, 12, 4), bench.clock.now_ms())
    assert bench.chosen() != first.upstream.id
    bench.clock.advance(3000)
    assert bench.chosen() == first.upstream.id


@pytest.mark.parametrize('vms', [1, 3, 11, 12, 16, 40])
def test_cold_pace_holds_over_all_entry_vms(vms):
    """All entry VMs together stay within the limit in every second."""
    names = tuple(f'vm-{index}' for index in range(vms))
    clock = ManualClock(50_000)
    registry = UpstreamRegistry(clock)
    registry.put(sample_upstream('i-1'), 0)
    state = registry.find('i-1')
    limiters = [ColdRateLimiter(clock, BOUNDS, name) for name in names]
    sent = []
    for limiter in limiters:
        limiter.update_members(names)
    for _ in range(300):
        clock.advance(10)
        for limiter in limiters:
            while limiter.allows(state, RULES):
                limiter.count_request('i-1')
                sent.append(clock.now_ms())
    most = max(
        sum(1 for each in sent if start <= each < start + 1000)
        for start in sent
    )
    assert 0 < most <= 7.7 * 1.5 + 5


def test_requests_of_the_last_second_count_after_an_upstream_became_cold():
    """A warm upstream may become cold, and its entry may vanish and return."""
    bench = Bench(*sample_upstreams(1))
    state = bench.registry.find('i-ovd-a-0')
    for _ in range(20):
        bench.cold_limiter.count_request('i-ovd-a-0')
    bench.cold_limiter.keep_only(frozenset())
    assert not bench.cold_limiter.allows(state, RULES)
    bench.clock.advance(1400)
    assert bench.cold_limiter.allows(state, RULES)


def test_directory_leaves_out_vms_that_reach_no_upstream():
    """They are named only if no other VM is ready."""
    near = attrs.evolve(facts('one'), reaches_upstreams=False)
    far = facts('two', 'snt-a')
    named = addresses_for([near, far], 'ovd-a', 'asturias')
    assert named == [far.callers]
    assert addresses_for([near], 'ovd-a', 'asturias') == [near.callers]


def test_new_upstreams_count_as_cold():
    """An upstream that appears after the first list has just started.

    It is cold even if its entry says that it is not.
    """
    bench = Bench(*sample_upstreams(1))
    bench.registry.put(sample_upstream('i-new'), 3000)
    assert bench.registry.find('i-new').is_cold(bench.clock.now_ms())
    assert not bench.registry.find('i-ovd-a-0').is_cold(bench.clock.now_ms())


def test_vm_that_does_not_know_the_others_has_no_part_of_common_limits():
    """Guard against VMs that each take the whole of what all share.

    One extra attempt of each is within the budget.
    """
    clock = ManualClock(100_000)
    budget = SharedRetryBudget(clock, BOUNDS)
    assert budget.try_spend('tariffs')
    assert not budget.try_spend('tariffs')
    limits = UpstreamLimits(clock, 'one')
    limits.record('i-1', 9, clock.now_ms())
    clock.advance(60_000)
    assert limits.wait_ms('i-1')
    limits.update_members(('one', 'two'))
    assert not limits.wait_ms('i-1')


@pytest.mark.parametrize('vms', [1, 5, 12])
def test_retry_budget_holds_over_all_entry_vms(vms):
    """All entry VMs together stay within the ratio and the slack."""
    clock = ManualClock(0)
    budgets = [SharedRetryBudget(clock, BOUNDS) for _ in range(vms)]
    extras = 0
    for budget in budgets:
        budget.update_member_count(vms)
        for _ in range(100):
            budget.count_request('tariffs')
            extras += budget.try_spend('tariffs')
    assert 0 < extras <= 0.2 * 100 * vms + 64


def test_rotation_keeps_weights():
    """Each hundred requests are split exactly by weight."""
    rotation = WeightedRotation(
        (WeightedService('a', 90), WeightedService('b', 10)),
    )
    picks = [rotation.next_service() for _ in range(100)]
    assert picks.count('a') == 90


def test_longest_prefix_wins():
    """Of two matching routes the one with the longer prefix is used."""
    wide = sample_route(name='wide')
    narrow = sample_route(name='narrow', path_prefix='/a/b/')
    known = RoutingConfiguration(1, (wide, narrow), {}, CallerLimits())
    assert known.find_route('Quotes.example:80', '/a/b/c').name == 'narrow'
    assert known.find_route('quotes.example', '/a/c').name == 'wide'
    assert known.find_route('quotes.example', '/c') is None
    assert known.find_route('other.example', '/a/c') is None


def test_long_path_costs_no_more_than_the_longest_prefix():
    """Guard against a caller who sends thousands of slashes."""
    known = RoutingConfiguration(1, (sample_route(),), {}, CallerLimits())
    assert known.find_route('quotes.example', f'/a/{"/" * 9000}').name == 'r'
    assert known.find_route('quotes.example', '/' * 9000) is None


def test_first_of_two_equal_routes_is_used():
    """Guard against a later route that hides an earlier, equal one."""
    routes = (sample_route(name='first'), sample_route(name='second'))
    known = RoutingConfiguration(1, routes, {}, CallerLimits())
    assert known.find_route('quotes.example', '/a/b').name == 'first'


def facts(name, zone='ovd-a', count=1, started_ms=1, is_ready=True):
    return MemberFacts(
        name,
        started_ms,
        zone,
        REGIONS[zone],
        f'{name}:1',
        f'{name}:2',
        is_ready,
        count,
    )


def test_silent_members_are_not_alive_but_keep_their_shares():
    """A silent VM still counts for shared limits: it may be partitioned."""
    clock = ManualClock(10_000)
    members = Members(clock, 'one')
    members.record_heartbeat(Heartbeat(facts('two'), (facts('three'),), {}))
    assert {each.name for each in members.alive()} == {'two', 'three'}
    clock.advance(2000)
    members.record_heartbeat(
        Heartbeat(facts('two', count=2), (facts('three'),), {})
    )
    clock.advance(1000)
    assert {each.name for each in members.alive()} == {'two'}
    assert members.names == ('one', 'three', 'two')


def test_member_that_is_heard_after_silence_is_noticed():
    """A heartbeat after a silence marks the end of a partition.

    A single lost heartbeat isn't a silence.
    """
    clock = ManualClock(10_000)
    members = Members(clock, 'one')
    steps = ((1, 2000, 0), (2, 3000, 0), (3, 0, 15_000))
    for count, pause_ms, recovery_ms in steps:
        members.record_heartbeat(Heartbeat(facts('two', count=count), (), {}))
        assert members.last_recovery_ms == recovery_ms
        clock.advance(pause_ms)


def test_restarted_member_is_heard_at_once():
    """Facts of a restarted process replace those with a higher count."""
    clock = ManualClock(10_000)
    members = Members(clock, 'one')
    members.record_facts([facts('two', count=500)])
    members.record_facts([facts('two', count=1, started_ms=2, is_ready=False)])
    assert not members.alive()[0].is_ready


def test_directory_names_the_nearest_ready_vms():
    """The zone's VMs are listed if it has two, else the region's, else all."""
    vms = [
        facts('a1'),
        facts('a2'),
        facts('b1', 'gij-b'),
        facts('c1', 'snt-a', is_ready=False),
        facts('c2', 'snt-a'),
    ]
    assert addresses_for(vms, 'ovd-a', 'asturias') == ['a1:1', 'a2:1']
    near = addresses_for(vms, 'gij-b', 'asturias')
    assert near == ['a1:1', 'a2:1', 'b1:1']
    assert addresses_for(vms, 'snt-a', 'cantabria') == ['c2:1']
    assert len(addresses_for(vms, 'x', 'nowhere')) == 4
