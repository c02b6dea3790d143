"""The rate of cold upstreams over many entry VMs, in virtual time."""

import pytest

from catkindrift.clock import ManualClock
from catkindrift.steering import Members
from tests.cold_simulation import ALLOWED, ColdSimulation

SEEDS = range(3)


@pytest.mark.parametrize('vm_count', [11, 84])
@pytest.mark.parametrize('hears_others', [True, False])
@pytest.mark.parametrize('reads_records', [True, False])
def test_sum_over_all_vms_stays_within_the_cold_rate(
    vm_count, hears_others, reads_records
):
    """Guard against VMs that divide the rate among too few.

    They start together, restart, are cut off, and see the entry vanish and
    return.
    """
    for seed in SEEDS:
        simulation = ColdSimulation(
            seed, vm_count, hears_others, reads_records
        ).run()
        assert simulation.most_in_a_second() <= ALLOWED


@pytest.mark.parametrize('vm_count', [11, 84])
@pytest.mark.parametrize('has_late_news', [True, False])
def test_restarted_upstream_gets_the_cold_rate_before_its_entry_arrives(
    vm_count, has_late_news
):
    """Guard against a start that is taken for the one before it."""
    for seed in SEEDS:
        simulation = ColdSimulation(
            seed,
            vm_count,
            has_late_news=has_late_news,
            restarts_upstream=True,
        ).run()
        assert simulation.most_in_a_second() <= ALLOWED


@pytest.mark.parametrize('vm_count', [11, 84])
def test_most_of_the_cold_rate_is_used(vm_count):
    """Guard against shares that nobody may use."""
    simulation = ColdSimulation(1, vm_count).run()
    assert len(simulation.arrivals) > ALLOWED * simulation.seconds / 3


def known_members(clock, *others):
    """Return the members of a VM that knows others from the store."""
    members = Members(clock, 'one')
    members.record_list(dict.fromkeys(others, 0))
    members.record_own_registration()
    return members


def test_vm_has_no_share_before_it_knows_the_others():
    """VMs that start together appear shortly after the list was read."""
    clock = ManualClock(100_000)
    members = Members(clock, 'one')
    clock.advance(10_000)
    assert members.sharers == ()
    members.record_list({'two': 600_000})
    members.record_own_registration()
    assert members.sharers == ()
    clock.advance(3000)
    assert members.sharers == ('one', 'two')


def test_vm_without_contact_gives_up_its_share_before_it_is_forgotten():
    """The others forget a VM after two minutes of silence."""
    clock = ManualClock(100_000)
    members = known_members(clock, 'two')
    clock.advance(100_000)
    assert members.sharers == ('one', 'two')
    clock.advance(19_000)
    assert members.sharers == ()
    members.record_own_registration()
    assert members.sharers == ('one', 'two')


def test_names_known_from_the_store_are_passed_on():
    """Only two VMs watch the records; a VM that is cut off appears there."""
    clock = ManualClock(100_000)
    watcher = known_members(clock, 'unheard')
    clock.advance(5000)
    assert watcher.unheard_records == (('unheard', 5000),)
