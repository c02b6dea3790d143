"""Simulated crashing requests among others, with many seeds."""

import pytest

from catkindrift.gateway import _incarnation_check
from tests.crash_simulation import CrashSimulation

SEEDS = range(12)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('mass_crashes', [False, True], ids=['alone', 'mass'])
def test_nothing_is_sent_once_two_crashes_are_known(seed, mass_crashes):
    """Guard against new attempts after two known crashes.

    Without partitions, restarts and loss, only attempts that were in flight
    at the second crash may still run.
    """
    simulation = CrashSimulation(seed, mass_crashes, has_faults=False).run()
    assert sum(map(len, simulation.crash_times_ms.values())) > 2
    assert not simulation.needless_runs


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('mass_crashes', [False, True], ids=['alone', 'mass'])
def test_vms_in_touch_send_nothing_long_after_the_third(seed, mass_crashes):
    """Guard against attempts long after a third crash.

    The platform's limit must also hold with partitions, restarts and lost
    datagrams, at VMs that are connected.
    """
    simulation = CrashSimulation(seed, mass_crashes).run()
    assert not simulation.late_runs


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('has_faults', [False, True])
def test_starts_under_one_id_are_told_apart(seed, has_faults, monkeypatch):
    """Guard against crashes of one id that count as one, or as none."""
    monkeypatch.setattr(_incarnation_check, '_RESTART_POLL_SECONDS', 0)
    simulation = CrashSimulation(
        seed, has_faults=has_faults, keeps_ids=True, has_store=True
    ).run()
    assert sum(map(len, simulation.crash_times_ms.values())) > 2
    assert not simulation.late_runs


@pytest.mark.parametrize('seed', SEEDS)
def test_store_reaches_vms_that_hear_no_others(seed):
    """VMs that are cut off from others only are still in touch."""
    simulation = CrashSimulation(seed, has_store=True).run()
    assert not simulation.late_runs


@pytest.mark.parametrize('seed', SEEDS)
def test_few_others_are_refused(seed):
    """Guard against quarantine of requests that merely ran beside crashes.

    A few look the same as a crashing request, so a small number is allowed.
    """
    simulation = CrashSimulation(seed, has_faults=False).run()
    assert len(simulation.quarantined_plain) <= 2
    assert simulation.served > 500
