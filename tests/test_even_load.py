"""Evenness of load, replayed in virtual time with a fixed seed.

The bounds are the targets of docs/design/hard-load.md, part 3, at the number
of entry VMs of furrow.
"""

import pytest

from benchmarks.even_load import Replay
from catkindrift.steering import _local_choices as local_choices

VM_COUNT = 129
SEED = 1
# Requests at the busiest upstream over the mean.
TARGET = 1.3


@pytest.fixture(scope='module')
def rows():
    """Return the result of the replay by kind of choice."""
    return {
        name: Replay(name, VM_COUNT, SEED).run() for name in ('today', 'local')
    }


def test_busiest_upstream_is_under_the_target(rows):
    """Without evening out, the objects of some upstreams are asked more."""
    assert rows['local']['largest / mean'] < TARGET


def test_traffic_between_regions_falls_by_a_third(rows):
    """Placement regardless of zones sends most requests far."""
    for place in ('left zone', 'left region'):
        assert rows['local'][place] < rows['today'][place] * 2 / 3


def test_new_connections_are_under_half_of_the_requests(rows):
    """Requests spread over all upstreams find no idle connection."""
    assert rows['local']['connections'] < 1 / 2


def test_target_is_missed_without_evening_out(monkeypatch):
    """The replay shows the imbalance that the mechanism removes."""
    monkeypatch.setattr(local_choices, '_GAIN', 0)
    row = Replay('local', VM_COUNT, SEED).run()
    assert row['largest / mean'] > TARGET
