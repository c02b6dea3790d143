"""How long entry VMs hold one another for alive."""

import attrs

from catkindrift.clock import ManualClock
from catkindrift.steering import Heartbeat, MemberFacts, Members

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
        heard = telling.alive()
        ages_ms = tuple(telling.age_ms(each.name) for each in heard)
        teller = attrs.evolve(facts(1), name='teller')
        hearing.record_heartbeat(
            Heartbeat(teller, heard, {}, heard_ages_ms=ages_ms)
        )
    assert clock.now_ms() - 1_000_000 > NAMED_MS
    assert [each.name for each in listeners[-1].alive()] == ['teller']


def test_gossip_tells_of_a_vm_that_is_alive():
    """A VM out of hearing counts as alive while others hear it."""
    clock = ManualClock(1_000_000)
    members = Members(clock, 'front-1')
    for count in range(1, 6):
        clock.advance(1000)
        teller = attrs.evolve(facts(count), name='teller')
        members.record_heartbeat(
            Heartbeat(teller, (facts(count),), {}, heard_ages_ms=(800,))
        )
    names = {each.name for each in members.alive()}
    assert names == {'teller', 'ended'}
