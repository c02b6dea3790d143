"""What an entry VM believes, and when it stops believing it."""

from catkindrift.clock import ManualClock
from catkindrift.gateway._missing_entries import MissingEntries
from catkindrift.gateway._platform_state import PlatformState
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.platform import StoreObject
from catkindrift.steering import TimeSpan, UpstreamRegistry
from tests.platform_deployment import SAFE, ZONES, configuration


def empty_facts(clock):
    missing = MissingEntries(clock, StoreHealth(clock))
    return PlatformState(UpstreamRegistry(clock), ZONES, missing)


def make_facts(count=5):
    clock = ManualClock(100_000)
    facts = empty_facts(clock)
    facts.replace_upstreams(
        tuple(entry(f'i-{index}') for index in range(count))
    )
    return clock, facts


def entry(name, revision=1, **changes):
    spec = {
        'address': '10.0.0.1:80',
        'info': {'service': 'tariffs', 'zone': 'ovd-a', 'slots': 4},
        'status': {'state': 'ready', 'cold_left_s': 0},
        **changes,
    }
    return StoreObject(name, revision, spec)


def gone(name):
    return StoreObject(name, 9, {}, is_deleted=True)


def test_removed_entry_takes_effect_at_once():
    """A single upstream that leaves without notice gets nothing more."""
    _, facts = make_facts()
    facts.apply_upstream(gone('i-0'))
    assert 'i-0' not in facts.registry.ids


def test_removed_entry_counts_long_after_an_outage():
    """A watch that answers late does not make the outage recent."""
    clock, facts = make_facts()
    facts.missing.record_outage(TimeSpan(90_000, clock.now_ms()))
    clock.advance(11_000)
    facts.apply_upstream(gone('i-0'))
    assert 'i-0' not in facts.registry.ids


def test_entries_lost_in_an_outage_have_time_to_come_back():
    """They are kept for about two seconds, and longer if they return."""
    clock, facts = make_facts()
    facts.missing.record_outage(TimeSpan(90_000, clock.now_ms()))
    facts.apply_upstream(gone('i-0'))
    facts.apply_upstream(gone('i-1'))
    clock.advance(1500)
    facts.apply_upstream(entry('i-0', 12))
    facts.remove_expired()
    assert {'i-0', 'i-1'} <= facts.registry.ids
    clock.advance(600)
    facts.remove_expired()
    assert 'i-0' in facts.registry.ids
    assert 'i-1' not in facts.registry.ids


def cut_off_from_the_store_alone():
    """Return facts of a VM that heard all the while of peers' answers."""
    clock, facts = make_facts()
    health = facts.missing._health
    began_ms = clock.now_ms()
    for _ in range(50):
        health.detect_stall()
        health.record_peer_response(100)
        clock.advance(200)
    facts.missing.record_outage(TimeSpan(began_ms, clock.now_ms()))
    return clock, facts


def test_entry_that_left_during_a_cut_of_this_vm_is_gone_at_once():
    """Peers that were answered all the while rule an outage out."""
    _, facts = cut_off_from_the_store_alone()
    facts.apply_upstream(gone('i-0'))
    assert 'i-0' not in facts.registry.ids


def test_most_entries_may_leave_during_a_cut_of_this_vm():
    """However many are missing, peers know that the store was there."""
    _, facts = cut_off_from_the_store_alone()
    facts.replace_upstreams((entry('i-4'),))
    assert facts.registry.ids == {'i-4'}


def test_outage_that_is_told_again_changes_nothing():
    """Entries that vanish later may be lost, whatever the past was."""
    clock, facts = cut_off_from_the_store_alone()
    told = facts.missing._outage
    clock.advance(3000)
    for index in range(3):
        facts.apply_upstream(gone(f'i-{index}'))
    facts.missing.record_outage(
        TimeSpan(told.began_ms + 40, told.ended_ms + 40),
    )
    facts.remove_expired()
    assert 'i-2' in facts.registry.ids


def test_most_entries_gone_at_once_is_an_outage():
    """A store that lost nearly everything is not believed at once."""
    clock, facts = make_facts()
    for index in range(5):
        facts.apply_upstream(gone(f'i-{index}'))
    assert len(facts.registry.ids) >= 3
    clock.advance(2200)
    facts.remove_expired()
    assert not facts.registry.ids


def test_configuration_never_goes_back():
    """An older version that comes later is passed over."""
    _, facts = make_facts()
    newer = StoreObject('main', 5, configuration(7, [SAFE]))
    older = StoreObject('main', 6, configuration(6, []))
    facts.apply_configuration(newer)
    facts.apply_configuration(older)
    facts.apply_configuration(gone('main'))
    assert facts.configuration.version == 7
    assert facts.configuration.routes


def test_malformed_entries_harm_no_other():
    """Each names no upstream; the rest is taken."""
    facts = empty_facts(ManualClock(0))
    facts.replace_upstreams(
        (
            StoreObject('a', 1, None),
            StoreObject('b', 1, {'address': 7}),
            entry('c', address='nowhere'),
            entry(
                'd', info={'service': 'tariffs', 'zone': 'ovd-a', 'slots': 0}
            ),
            entry('e', status={'state': 'unheard-of', 'more': [1]}),
            entry('f', status={'state': 'ready', 'cold_left_s': 'x'}),
        )
    )
    assert facts.registry.ids == {'e'}


def test_evacuation_is_followed_and_taken_back():
    """Both take effect with the news; the zone may be cold afterwards."""
    clock, facts = make_facts(1)
    facts.apply_configuration(StoreObject('main', 5, configuration(7, [SAFE])))
    facts.apply_evacuation(StoreObject('ovd-a', 6, {}))
    state = facts.registry.find('i-0')
    assert not facts.registry.is_eligible(state)
    facts.apply_evacuation(gone('ovd-a'))
    assert facts.registry.is_eligible(state)
    assert state.is_cold(clock.now_ms())
