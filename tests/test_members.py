"""How long entry VMs hold one another for alive."""

from catkindrift.clock import ManualClock
from catkindrift.steering import MemberFacts, Members

# The directory may name a VM for this long after it has ended: the platform's
# stable window and three seconds.
NAMED_MS = 7000


def facts(count):
    """Return what a heartbeat says about the VM that ends."""
    return MemberFacts('ended', 1, 'ovd-a', 'asturias', 'a', 'b', True, count)


def test_gossip_does_not_prolong_the_life_of_a_vm():
    """Guard against a directory that names a VM long after it has ended.

    VMs that have missed some of its last heartbeats hear of them from others
    again and again.
    """
    clock = ManualClock(1_000_000)
    listeners = [Members(clock, f'front-{number}') for number in range(6)]
    for missed, listener in enumerate(listeners):
        listener.record_facts([facts(100 - missed)])
    for hearing, telling in zip(listeners[1:], listeners, strict=False):
        clock.advance(2400)
        hearing.record_facts(telling.alive())
    assert clock.now_ms() - 1_000_000 > NAMED_MS
    assert not listeners[-1].alive()
