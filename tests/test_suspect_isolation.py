"""Where requests under suspicion run."""

import attrs

from catkindrift.gateway._suspect_isolation import SuspectIsolation
from catkindrift.steering import (
    MemberFacts,
    Members,
    NotPlaced,
    NotPlacedReason,
    PlacementRequest,
)
from tests.steering_samples import sample_route
from tests.test_crash_watch import CrashWatchHarness
from tests.test_steering import Bench, sample_upstreams

VMS = ('front-1', 'front-2', 'front-3')


def member(name):
    """Return facts about an entry VM that is alive."""
    return MemberFacts(name, 1, 'ovd-a', 'asturias', '', '', True, 1)


@attrs.define(eq=False)
class IsolatedVm:
    """One entry VM with suspects, over the upstreams of a bench."""

    name: str
    bench: Bench
    harness: CrashWatchHarness = attrs.field(factory=CrashWatchHarness)
    tokens: int = 0
    isolation: SuspectIsolation = attrs.field(init=False)

    def __attrs_post_init__(self):
        members = Members(self.bench.clock, self.name)
        members.record_facts(map(member, VMS))
        self.isolation = SuspectIsolation(
            self.bench.placement,
            self.harness.watch,
            self.bench.registry,
            members,
            self.name,
        )

    def suspect(self, fingerprint, *upstreams):
        for each in upstreams or ('gone',):
            self.harness.watch._suspects.record_crash([fingerprint], each)

    def choose(self, fingerprint, key='17'):
        request = PlacementRequest(
            sample_route(), 'tariffs', key, 800, is_urgent=True
        )
        return self.isolation.choose(request, fingerprint)

    def start(self, fingerprint):
        """Assign a request to an upstream and return which."""
        chosen = self.choose(fingerprint).state.upstream.id
        self.tokens += 1
        self.harness.watch.running.assign(chosen, self.tokens, fingerprint)
        return chosen


def test_suspects_of_one_vm_share_no_upstream():
    """Each gets one of its own while there are any."""
    vm = IsolatedVm('front-1', Bench(*sample_upstreams(9)))
    suspects = [f'suspect-{number}' for number in range(9)]
    for each in suspects:
        vm.suspect(each)
    assert len(set(map(vm.start, suspects))) == len(suspects)
    vm.suspect('another')
    assert isinstance(vm.choose('another'), NotPlaced)


def test_suspects_of_two_vms_share_no_upstream():
    """Each VM has a part of the upstreams for its suspects."""
    bench = Bench(*sample_upstreams(30))
    places = []
    for name in VMS:
        vm = IsolatedVm(name, bench)
        for number in range(4):
            vm.suspect(f'{name}-{number}')
            places.append(vm.start(f'{name}-{number}'))
    assert len(set(places)) == len(places)


def test_others_are_placed_by_their_object():
    """Without suspicion the key decides, whoever asks."""
    bench = Bench(*sample_upstreams(9))
    places = {
        IsolatedVm(name, bench).choose('plain').state.upstream.id
        for name in VMS
    }
    assert places == {bench.chosen('17')}


def test_quarantined_and_running_suspects_are_not_placed():
    """A suspect waits for its own end, a quarantined request for longer."""
    vm = IsolatedVm('front-1', Bench(*sample_upstreams(9)))
    vm.suspect('suspect')
    vm.start('suspect')
    assert vm.choose('suspect').reason is NotPlacedReason.SUSPECT_RUNS
    vm.suspect('poison', 'one', 'other')
    assert vm.choose('poison').reason is NotPlacedReason.QUARANTINED
