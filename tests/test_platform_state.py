"""The state of the platform as an entry VM reads it from the store."""

from types import MappingProxyType

import pytest

from catkindrift.clock import ManualClock
from catkindrift.gateway._missing_entries import MissingEntries
from catkindrift.gateway._platform_state import PlatformState
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.platform import StoreObject
from catkindrift.steering import TimeSpan, UpstreamRegistry
from tests.platform_deployment import SAFE, ZONES, configuration


def without(document, key):
    return {name: each for name, each in document.items() if name != key}


def info(**changes):
    return {
        'service': 'tariffs',
        'zone': 'ovd-a',
        'version': 'v1',
        'slots': 4,
        **changes,
    }


def status(state='ready', **changes):
    return {'state': state, 'cold_left_s': 0, 'seq_no': 1, **changes}


# What changes in an entry of another writer that names no upstream.
SPOILED = MappingProxyType(
    {
        'unknown state': {'status': status('maintenance')},
        'state of another type': {'status': status(1)},
        'no status': {'status': None},
        'status of another type': {'status': []},
        'no info': {'info': None},
        'no address': {'address': None},
        'no IP address': {'address': 'ready:80'},
        'port of another alphabet': {'address': '10.0.0.1:\u0668\u0660'},
        'port out of range': {'address': '10.0.0.1:65536'},
        'endless cold start': {'status': status(cold_left_s=1e308)},
        'no slots at all': {'info': info(slots=0)},
        'slots beyond all numbers': {'info': info(slots=10**400)},
        'start beyond all numbers': {'born': 10**400},
        'start of another type': {'born': 'soon'},
        'start is null': {'born': None},
        'fraction of a start': {'born': 1.5},
        'start is true': {'born': True},
        **{f'no {key}': {'info': without(info(), key)} for key in info()},
        **{f'no {key}': {'status': without(status(), key)} for key in status()},
        **{
            f'{key} of another type': {'info': info(**{key: [1]})}
            for key in info()
        },
        'cold_left_s of another type': {'status': status(cold_left_s='0')},
        'seq_no of another type': {'status': status(seq_no='x')},
    }
)


def empty_state(clock):
    missing = MissingEntries(clock, StoreHealth(clock))
    return PlatformState(UpstreamRegistry(clock), ZONES, missing)


def make_state(count=5):
    clock = ManualClock(100_000)
    state = empty_state(clock)
    state.replace_upstreams(
        tuple(entry(f'i-{index}') for index in range(count))
    )
    return clock, state


def entry(name, revision=1, **changes):
    spec = {
        'address': '10.0.0.1:80',
        'info': info(),
        'status': status(),
        **changes,
    }
    return StoreObject(name, revision, spec)


def is_used(state, name):
    known = state.registry.find(name)
    return known is not None and state.registry.is_eligible(known)


def deleted(name):
    return StoreObject(name, 9, {}, is_deleted=True)


def test_removed_entry_takes_effect_at_once():
    """A single deleted entry removes its upstream without a grace period."""
    _, state = make_state()
    state.apply_upstream(deleted('i-0'))
    assert 'i-0' not in state.registry.ids


def test_removal_long_after_outage_takes_effect_at_once():
    """The grace period counts from the outage, not from a late deletion."""
    clock, state = make_state()
    state.missing.record_outage(TimeSpan(90_000, clock.now_ms()))
    clock.advance(11_000)
    state.apply_upstream(deleted('i-0'))
    assert 'i-0' not in state.registry.ids


def test_entries_lost_in_an_outage_have_time_to_come_back():
    """Missing entries are removed after two seconds unless they reappear."""
    clock, state = make_state()
    state.missing.record_outage(TimeSpan(90_000, clock.now_ms()))
    state.apply_upstream(deleted('i-0'))
    state.apply_upstream(deleted('i-1'))
    clock.advance(1500)
    state.apply_upstream(entry('i-0', 12))
    state.remove_expired()
    assert {'i-0', 'i-1'} <= state.registry.ids
    clock.advance(600)
    state.remove_expired()
    assert 'i-0' in state.registry.ids
    assert 'i-1' not in state.registry.ids


def partitioned_from_store():
    """Return the state of a VM partitioned from the store but not its peers.

    Heartbeats showed throughout that peers got responses from the store.
    """
    clock, state = make_state()
    health = state.missing._health
    began_ms = clock.now_ms()
    for _ in range(50):
        health.detect_stall()
        health.record_peer_response(100)
        clock.advance(200)
    state.missing.record_outage(TimeSpan(began_ms, clock.now_ms()))
    return clock, state


def test_entry_deleted_during_partition_is_removed_at_once():
    """No grace period applies if peers reached the store throughout."""
    _, state = partitioned_from_store()
    state.apply_upstream(deleted('i-0'))
    assert 'i-0' not in state.registry.ids


def test_most_entries_may_be_deleted_during_partition():
    """A mass removal is accepted if peers reached the store throughout."""
    _, state = partitioned_from_store()
    state.replace_upstreams((entry('i-4'),))
    assert state.registry.ids == {'i-4'}


def test_repeated_report_of_outage_is_ignored():
    """A repeated report of an old outage doesn't cancel a new grace period.

    The mass removal after the outage starts one, because the store may have
    lost the entries.
    """
    clock, state = partitioned_from_store()
    reported = state.missing._outage
    clock.advance(3000)
    for index in range(3):
        state.apply_upstream(deleted(f'i-{index}'))
    state.missing.record_outage(
        TimeSpan(reported.began_ms + 40, reported.ended_ms + 40),
    )
    state.remove_expired()
    assert 'i-2' in state.registry.ids


def test_most_entries_gone_at_once_is_an_outage():
    """If most entries are deleted at once, the rest gets a grace period."""
    clock, state = make_state()
    for index in range(5):
        state.apply_upstream(deleted(f'i-{index}'))
    assert len(state.registry.ids) >= 3
    clock.advance(2200)
    state.remove_expired()
    assert not state.registry.ids


def test_configuration_never_goes_back():
    """A lower version at a higher revision, or a deletion, is ignored."""
    _, state = make_state()
    newer = StoreObject('main', 5, configuration(7, [SAFE]))
    older = StoreObject('main', 6, configuration(6, []))
    state.apply_configuration(newer)
    state.apply_configuration(older)
    state.apply_configuration(deleted('main'))
    assert state.configuration.version == 7
    assert state.configuration.routes


def test_malformed_entries_harm_no_other():
    """Malformed entries are skipped and valid ones in the list are kept."""
    state = empty_state(ManualClock(0))
    state.replace_upstreams(
        (
            StoreObject('a', 1, None),
            StoreObject('b', 1, {'address': 7}),
            entry('c', address='nowhere'),
            entry(
                'd', info={'service': 'tariffs', 'zone': 'ovd-a', 'slots': 0}
            ),
            entry('e', status=status('unheard-of')),
            entry('f', status=status(cold_left_s='x')),
            entry('g', more=[1], status=status(more=[1])),
        )
    )
    assert state.registry.ids == {'g'}


def test_evacuation_is_followed_and_taken_back():
    """Upstreams close on evacuation, reopen after it and count as cold."""
    clock, state = make_state(1)
    state.apply_configuration(StoreObject('main', 5, configuration(7, [SAFE])))
    state.apply_evacuation(StoreObject('ovd-a', 6, {}))
    upstream_state = state.registry.find('i-0')
    assert not state.registry.is_eligible(upstream_state)
    state.apply_evacuation(deleted('ovd-a'))
    assert state.registry.is_eligible(upstream_state)
    assert upstream_state.is_cold(clock.now_ms())


def test_nothing_is_kept_of_a_start_that_another_one_replaced():
    """Load, failures, ejection and warm objects belong to one start."""
    _, state = make_state(0)
    state.apply_upstream(entry('i-0', born=1_000))
    before = state.registry.find('i-0')
    before.eject(100_000)
    state.apply_upstream(entry('i-0', revision=2, born=2_000))
    after = state.registry.find('i-0')
    assert after.upstream.incarnation == 'i-0@2000'
    assert after is not before
    assert not after.ejected_until_ms
    state.apply_upstream(entry('i-0', revision=3, born=2_000))
    assert state.registry.find('i-0') is after


def test_start_before_1970_counts_as_not_stated():
    """An entry whose start is a negative number still names an upstream."""
    _, state = make_state(0)
    state.apply_upstream(entry('a', born=-5))
    assert state.registry.find('a').upstream.incarnation == 'a'


@pytest.mark.parametrize('changes', SPOILED.values(), ids=SPOILED)
@pytest.mark.parametrize('state_before', [status(), status('draining')])
@pytest.mark.parametrize('is_listed', [False, True])
def test_entry_of_another_writer_names_no_upstream(
    changes, state_before, is_listed
):
    """Requests stop at an entry that names none; the others hold.

    An upstream that drains came back to use by an entry without a state.
    """
    _, state = make_state()
    state.apply_upstream(entry('i-0', 2, status=state_before))
    spoiled = entry('i-0', 3, **changes)
    if is_listed:
        others = tuple(entry(f'i-{index}') for index in range(1, 5))
        state.replace_upstreams((spoiled, *others))
    else:
        state.apply_upstream(spoiled)
    assert not is_used(state, 'i-0')
    assert all(is_used(state, f'i-{index}') for index in range(1, 5))
    state.apply_upstream(entry('i-9', 4, **changes))
    assert not is_used(state, 'i-9')


def test_two_writers_by_turns_never_bring_a_leaving_upstream_back():
    """Only an entry that is ready brings an upstream back, nothing older."""
    _, state = make_state()
    unknown = status('maintenance')
    for revision in range(2, 10, 2):
        state.apply_upstream(entry('i-0', revision, status=status('draining')))
        assert not is_used(state, 'i-0')
        state.apply_upstream(entry('i-0', revision + 1, status=unknown))
        assert not is_used(state, 'i-0')
    state.apply_upstream(entry('i-0', 5))
    assert not is_used(state, 'i-0')
    known = state.registry.find('i-0')
    state.apply_upstream(entry('i-0', 10))
    assert is_used(state, 'i-0')
    assert state.registry.find('i-0') is known


def test_start_beside_another_writer():
    """A first list leaves such an upstream out until a good entry names it."""
    state = empty_state(ManualClock(0))
    unknown = status('maintenance')
    state.replace_upstreams((entry('a', 3, status=unknown), entry('b')))
    assert not is_used(state, 'a')
    assert is_used(state, 'b')
    state.apply_upstream(entry('a', 4))
    assert is_used(state, 'a')


def test_suspended_upstream_is_removed_with_its_entry():
    """An entry that names none counts as present until it is deleted."""
    _, state = make_state()
    state.apply_upstream(entry('i-0', 2, status=None))
    assert 'i-0' in state.registry.ids
    state.apply_upstream(deleted('i-0'))
    assert 'i-0' not in state.registry.ids


def test_service_without_configuration_gets_no_requests():
    """An entry that names another service takes the upstream from its own."""
    _, state = make_state(1)
    state.apply_configuration(StoreObject('main', 5, configuration(7, [SAFE])))
    state.apply_upstream(entry('i-0', 6, info=info(service='unknown')))
    assert not state.registry.of_service('tariffs')
    assert 'unknown' not in state.rules
    state.apply_upstream(entry('i-0', 7))
    assert state.registry.of_service('tariffs')
