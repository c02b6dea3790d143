"""When an entry VM tries the store again, in virtual time."""

import pytest

from catkindrift.clock import ManualClock
from catkindrift.errors import PlatformUnavailableError
from catkindrift.gateway._store_health import StoreHealth

REFUSED = PlatformUnavailableError('the store responded 503')
# Retries for recovered peers that a failing VM may add, in a second.
MAX_EARLY_RETRIES = 2


@pytest.mark.parametrize('recoveries', [1, 30])
def test_recovered_peers_cause_no_storm_of_calls(recoveries):
    """Guard against a call to the store for each peer that is heard again.

    In a partition that ends, or among many VMs, peers recover all the time.
    """
    clock = ManualClock(100_000)
    health = StoreHealth(clock)
    retries = []
    health.add_recovery_listener(lambda: retries.append(clock.now_ms()))
    health.record_failure(REFUSED)
    for _ in range(recoveries):
        health.record_peer_recovery()
        clock.advance(1000 // recoveries)
    assert 1 <= len(retries) <= MAX_EARLY_RETRIES
