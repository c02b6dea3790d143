"""Crashing requests among others, over many seeds in virtual time."""

import pytest

from tests.crash_simulation import CrashSimulation

SEEDS = range(12)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('mass_crashes', [False, True], ids=['alone', 'mass'])
def test_nothing_is_sent_once_two_crashes_are_known(seed, mass_crashes):
    """While VMs reach each other, only what was under way comes after."""
    played = CrashSimulation(seed, mass_crashes, is_disturbed=False).run()
    assert sum(map(len, played.ended_by.values())) > 2
    assert not played.needless_runs


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('mass_crashes', [False, True], ids=['alone', 'mass'])
def test_vms_in_touch_send_nothing_long_after_the_third(seed, mass_crashes):
    """The platform's bound holds also beside cuts, restarts and losses."""
    played = CrashSimulation(seed, mass_crashes).run()
    assert not played.late_runs


@pytest.mark.parametrize('seed', SEEDS)
def test_few_others_are_refused(seed):
    """What nobody can tell from a crashing request is rare."""
    played = CrashSimulation(seed, is_disturbed=False).run()
    assert len(played.refused_innocents) <= 2
    assert played.served > 500
