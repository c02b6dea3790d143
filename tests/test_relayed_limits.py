"""Limits of upstreams that entry VMs pass on to others."""

from catkindrift.clock import ManualClock
from catkindrift.steering import UpstreamLimits


def test_limit_that_is_passed_on_is_known_elsewhere():
    """Guard against VMs of other zones that never learn of a limit."""
    clock = ManualClock(1_000_000)
    seen, between, far = (UpstreamLimits(clock, each) for each in 'abc')
    seen.record('up-1', 5, clock.now_ms())
    between.merge(seen.notices())
    far.merge(between.notices(are_own=False), are_relayed=True)
    assert far.per_second('up-1') == 5


def test_limit_that_comes_back_is_not_newer():
    """Guard against an old limit that VMs keep alive among themselves."""
    clock = ManualClock(1_000_000)
    one, two = UpstreamLimits(clock, 'a'), UpstreamLimits(clock, 'b')
    one.record('up-1', 5, clock.now_ms())
    notices = one.notices()
    for _ in range(200):
        clock.advance(20)
        two.merge(notices, are_relayed=True)
        clock.advance(20)
        one.merge(two.notices(are_own=False), are_relayed=True)
        notices = one.notices() + one.notices(are_own=False)
    assert [each.age_ms for each in one.notices()] == [8000]
    assert all(each.age_ms >= 7500 for each in two.notices(are_own=False))
