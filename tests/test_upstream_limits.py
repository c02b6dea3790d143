"""Limits of upstreams over many entry VMs, in virtual time."""

import pytest

from catkindrift.clock import ManualClock
from catkindrift.errors import MalformedLimitError
from catkindrift.http1 import ResponseHead
from catkindrift.platform import request_limit
from catkindrift.steering import (
    LimitChange,
    LimitNotice,
    Members,
    NotPlacedReason,
    UpstreamLimits,
)
from tests.limit_simulation import UPSTREAM, LimitSimulation
from tests.test_steering import Bench, sample_upstreams

LIMITS = (9, 4.2, 1.6, 0.5, 0)


def vm_limits(clock, own='one', members=('one',)):
    """Return the limits of an entry VM that has run for a while."""
    limits = UpstreamLimits(clock, own)
    limits.update_members(members)
    clock.advance(60_000)
    return limits


@pytest.mark.parametrize('vm_count', [11, 84])
@pytest.mark.parametrize('hears_others', [True, False])
@pytest.mark.parametrize('per_second', LIMITS)
def test_sum_over_all_vms_stays_within_the_limit(
    vm_count, hears_others, per_second
):
    """Guard against shares that add up to more than the limit.

    Holds with restarts, freezes and cuts, also for the VMs that these excuse.
    """
    for seed in range(3):
        simulation = LimitSimulation(
            seed, per_second, vm_count, hears_others
        ).run()
        assert simulation.excess(with_excused=True) <= 0


@pytest.mark.parametrize('vm_count', [11, 84])
@pytest.mark.parametrize('per_second', LIMITS[:-1])
def test_most_of_a_limit_is_used(vm_count, per_second):
    """Guard against shares that are too small to be used."""
    simulation = LimitSimulation(
        1, per_second, vm_count, has_faults=False, seconds=60
    ).run()
    assert len(simulation.arrivals) > per_second * 60 / 2


def test_end_of_a_limit_is_heard_by_vms_without_a_share():
    """Guard against VMs that avoid an upstream long after its limit."""
    simulation = LimitSimulation(
        1, 0.5, 84, has_faults=False, seconds=40, ends_ms=20_000
    ).run()
    assert all(vm.limits.per_second(UPSTREAM) is None for vm in simulation.vms)


def test_vm_that_hears_nobody_learns_of_the_end():
    """A VM without a share sends rare probes."""
    clock = ManualClock()
    members = tuple(map(str, range(84)))
    limits = [vm_limits(clock, name, members) for name in members]
    for each in limits:
        each.record(UPSTREAM, 0.5, clock.now_ms())
    assert sum(each.wait_ms(UPSTREAM) > 0 for each in limits) >= 82
    clock.advance(84 * 8000)
    assert not any(each.wait_ms(UPSTREAM) for each in limits)


def test_new_process_waits_before_its_first_request():
    """An earlier process of the VM may have used the window."""
    limits = UpstreamLimits(ManualClock(), 'one')
    limits.merge([LimitNotice(UPSTREAM, 9, 0)])
    assert limits.wait_ms(UPSTREAM) >= 4000


def test_retry_after_covers_the_time_without_a_share():
    """Guard against callers that come back before the VM may send."""
    clock = ManualClock()
    clock.advance(60_000)
    members = Members(clock, 'one')
    members.record_list({})
    limits = UpstreamLimits(clock, 'one')
    limits.update_members(members.sharers, members.sharing_from_ms)
    limits.count_request(UPSTREAM)
    limits.record(UPSTREAM, 8, clock.now_ms())
    clock.advance(int(limits.retry_after_ms(UPSTREAM)))
    # Entry VMs update the members once a second.
    clock.advance(-1000)
    limits.update_members(members.sharers, members.sharing_from_ms)
    clock.advance(1000)
    assert not limits.wait_ms(UPSTREAM)


def test_newest_statement_counts():
    """Answers that were under way can't undo what is newer."""
    clock = ManualClock()
    limits = vm_limits(clock)
    now_ms = clock.now_ms()
    assert limits.record(UPSTREAM, 2, now_ms) is LimitChange.NAMED
    assert limits.record(UPSTREAM, None, now_ms - 1) is LimitChange.NONE
    assert limits.record(UPSTREAM, 3, now_ms) is LimitChange.CHANGED
    clock.advance(100)
    limits.merge([LimitNotice(UPSTREAM, None, 200)])
    assert limits.per_second(UPSTREAM) == 3
    limits.merge([LimitNotice(UPSTREAM, None, 50)])
    assert limits.per_second(UPSTREAM) is None
    assert limits.record(UPSTREAM, 3, now_ms) is LimitChange.NONE
    assert not limits.notices()


def test_new_start_of_an_upstream_has_no_limit():
    """A limit belongs to the incarnation that named it."""
    limits = vm_limits(ManualClock())
    limits.record(UPSTREAM, 0, 60_000)
    limits.count_request(UPSTREAM)
    assert limits.wait_ms(UPSTREAM)
    assert not limits.wait_ms('i-1@2')
    limits.keep_only(frozenset(('i-1@2',)))
    assert not limits.limited_count


def test_others_take_what_a_limited_upstream_does_not():
    """A request is refused only if no upstream takes it."""
    bench = Bench(*sample_upstreams(3))
    first = bench.chosen()
    others = {each for each in bench.registry.ids if each != first}
    bench.limits.record(first, 1, bench.clock.now_ms())
    bench.limits.count_request(first)
    assert bench.chosen() in others
    for each in others:
        bench.limits.record(each, 1, bench.clock.now_ms())
        bench.limits.count_request(each)
    refused = bench.choose()
    assert refused.reason is NotPlacedReason.LIMITED
    bench.clock.advance(int(refused.retry_after_ms) + 1)
    assert bench.chosen()


@pytest.mark.parametrize(
    'stated',
    [b'-1', b'soon', b'nan', b'inf', b'1e3', b'1_0', b'9' * 400, b'1,2', b'.'],
)
def test_malformed_limit_is_named(stated):
    """A limit that is negative, no number or endless is an error."""
    head = ResponseHead(200, [(b'Server-Limit', stated)])
    with pytest.raises(MalformedLimitError, match='decimal number'):
        request_limit(head)


@pytest.mark.parametrize(
    ('stated', 'expected'),
    [(b'4.2', 4.2), (b'0', 0), (b'.5', 0.5), (b' 7 ', 7), (b'', None)],
)
def test_limit_is_a_decimal_number(stated, expected):
    """An empty limit counts as none."""
    head = ResponseHead(200, [(b'Server-Limit', stated)])
    assert request_limit(head) == expected
