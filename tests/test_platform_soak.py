"""Short seeded soak of entry VMs of the platform."""

import pytest

from tests.platform_soak import soak

SECONDS = 25


@pytest.mark.parametrize('seed', [1, 2])
def test_promises_hold_under_overlapping_faults(seed):
    """Guard LIMIT, BUDGET and whole answers against faults that overlap."""
    run = soak(seed, SECONDS)
    assert run.faults
    assert run.served
    assert not run.breaches
