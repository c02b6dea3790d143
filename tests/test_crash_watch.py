"""Blame for crashes, with scripted health checks of upstreams."""

import asyncio
from collections.abc import Callable

import attrs
import pytest

from catkindrift.blame import Crash
from catkindrift.clock import ManualClock
from catkindrift.gateway._crash_watch import CrashWatch
from catkindrift.gateway._incarnation_check import IncarnationCheck
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._upstream_check import Liveness
from catkindrift.steering import (
    UnseenRestarts,
    Upstream,
    UpstreamRegistry,
)
from tests.platform_deployment import eventually


class ReachesOthers:
    """Reachability of an entry VM that reaches other upstreams."""

    def has_reached_since(self, _at_ms):
        return True


@attrs.define(eq=False)
class ScriptedCheck:
    """Stand-in for health checks that returns the liveness that was set."""

    liveness: Liveness = Liveness.ENDED
    by_id: dict = attrs.field(factory=dict)
    probes: int = 0

    async def probe(self, upstream):
        self.probes += 1
        return self.by_id.get(upstream.id, self.liveness)


def upstream(name):
    return Upstream(
        id=name,
        service='tariffs',
        host='127.0.0.1',
        port=1,
        zone='ovd-a',
        region='asturias',
        slots=4,
        is_draining=False,
        cold_remaining_ms=0,
        revision=1,
    )


U1 = upstream('u1')


@attrs.define(eq=False)
class CrashWatchHarness:
    """A crash watch with a manual clock and scripted checks."""

    clock: ManualClock = attrs.field(factory=ManualClock)
    check: ScriptedCheck = attrs.field(factory=ScriptedCheck)
    confirmed_crashes: int = 0
    reported: list = attrs.field(factory=list)
    known: dict = attrs.field(factory=dict)
    neighbours: tuple = ()
    on_confirmed_crash: Callable = attrs.field(default=lambda: None)
    restarts: UnseenRestarts = attrs.field(init=False)
    watch: CrashWatch = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.restarts = UnseenRestarts(
            self.clock, UpstreamRegistry(self.clock), lambda _service: 3000
        )
        self.watch = CrashWatch(
            self.clock,
            IncarnationCheck(
                self.clock,
                self.check,
                self.known.get,
                self.restarts,
                ReachesOthers(),
                lambda _upstream: self.neighbours,
            ),
            GatewayMetrics(),
            self.reported.append,
            self.note_confirmed_crash,
        )

    def note_confirmed_crash(self, _upstream):
        """Count the crashes that are reported to all VMs at once."""
        self.confirmed_crashes += 1
        self.on_confirmed_crash()

    def reported_fingerprints(self):
        """Return the fingerprints that are reported to other entry VMs."""
        return sorted(
            crash.fingerprint for crash in self.watch.reports.next_crashes()
        )

    async def crash(self, at, fingerprint):
        """Report a disconnect during a request, and wait for the check."""
        self.watch.record_disconnect(at, fingerprint)
        await self.wait_for_checks()

    async def wait_for_checks(self):
        await eventually(lambda: not self.watch._checks)


def run(test):
    """Run a test on a loop of its own."""
    return asyncio.run(test)


def test_upstream_out_of_reach_is_no_evidence():
    """Guard against blame for a network partition between zones.

    It breaks connections and makes upstreams unreachable without a crash.
    """

    async def scenario():
        harness = CrashWatchHarness()
        harness.neighbours = (upstream('u2'), upstream('u3'))
        harness.check.liveness = Liveness.UNKNOWN
        await harness.crash(U1, 'plain')
        assert harness.check.probes > 1
        assert not harness.reported_fingerprints()
        assert not harness.watch.is_quarantined('plain')
        harness.watch.retain_upstreams(frozenset(('u1', 'u2', 'u3')))
        assert not harness.reported_fingerprints()

    run(scenario())


@pytest.mark.parametrize('silence', [Liveness.UNKNOWN, Liveness.SILENT])
def test_silent_upstream_beside_live_neighbours_has_ended(silence):
    """Guard against crashes that pass for cuts, since nothing is refused."""

    async def scenario():
        harness = CrashWatchHarness()
        harness.neighbours = (upstream('u2'), upstream('u3'))
        harness.check.by_id = {'u1': silence, 'u2': silence}
        harness.check.liveness = Liveness.ALIVE
        await harness.crash(U1, 'poison')
        assert harness.reported_fingerprints() == ['poison']

    run(scenario())


def test_silent_upstream_that_responds_meanwhile_is_alive():
    """Guard against blame while a busy upstream answers no health checks."""

    async def scenario():
        harness = CrashWatchHarness()
        harness.neighbours = (upstream('u2'),)
        harness.check.by_id = {'u1': Liveness.SILENT}
        harness.check.liveness = Liveness.ALIVE
        harness.watch.record_disconnect(U1, 'plain')
        harness.clock.advance(100)
        harness.watch.record_alive(U1, harness.clock.now_ms(), 0)
        await harness.wait_for_checks()
        assert not harness.reported_fingerprints()

    run(scenario())


def test_unreachable_upstream_whose_entry_lapses_has_ended():
    """Guard against a crash that is lost with the only upstream of a zone.

    A response to the request in the meantime clears it all the same.
    """

    async def scenario():
        harness = CrashWatchHarness()
        harness.check.liveness = Liveness.UNKNOWN
        await harness.crash(U1, 'poison')
        await harness.crash(upstream('u2'), 'plain')
        harness.clock.advance(100)
        harness.watch.clear_suspect('plain')
        harness.clock.advance(4000)
        harness.watch.retain_upstreams(frozenset())
        assert harness.reported_fingerprints() == ['poison']

    run(scenario())


def test_later_break_offs_of_an_ended_upstream_blame_nobody():
    """Guard against blame for requests sent after the crash.

    The requests that ran there are all known at the first disconnect; later
    disconnects of the same upstream add no information.
    """

    async def scenario():
        harness = CrashWatchHarness()
        harness.watch._suspects.record_crash(['poison'], 'u0')
        for token, each in enumerate(('poison', 'beside')):
            harness.watch.running.assign('u1', token, each)
            harness.watch.running.mark_sent(token)
        await harness.crash(U1, 'poison')
        harness.watch.running.remove('u1', 0)
        await harness.crash(U1, 'late')
        assert harness.watch.is_quarantined('poison')
        assert not harness.watch.is_suspect('beside')
        assert 'late' not in harness.reported_fingerprints()

    run(scenario())


def test_caller_who_left_before_the_crash_keeps_its_blame():
    """Guard against a missed crash when the caller has disconnected.

    The upstream may still run the abandoned request, which crashes it.
    """

    async def scenario():
        harness = CrashWatchHarness()
        harness.watch.running.mark_abandoned('u1', 'poison')
        harness.clock.advance(500)
        harness.watch.record_connect_failure(U1)
        await harness.wait_for_checks()
        assert harness.reported_fingerprints() == ['poison']

    run(scenario())


def test_refused_connect_alone_blames_nobody():
    """Guard against blame for requests that were never sent.

    Nor is a request blamed that was abandoned too long ago to still run.
    """

    async def scenario():
        harness = CrashWatchHarness()
        harness.watch.record_connect_failure(U1)
        harness.watch.running.mark_abandoned('u1', 'slow')
        harness.clock.advance(10_000)
        harness.watch.record_connect_failure(U1)
        assert not harness.check.probes

    run(scenario())


def test_quarantine_reaches_a_new_vm_beside_a_mass_of_crashes():
    """Guard against crashes that are never reported to a new VM.

    A heartbeat has room for a few crashes only; the others rotate.
    """

    async def scenario():
        harness = CrashWatchHarness()
        for name in ('u1', 'u2'):
            await harness.crash(upstream(name), 'poison')
        for number in range(60):
            harness.clock.advance(100)
            await harness.crash(upstream(f'v{number}'), f'beside-{number}')
        newcomer = CrashWatchHarness()
        for _ in range(20):
            newcomer.watch.merge_reports(harness.watch.reports.next_crashes())
        assert newcomer.watch.is_quarantined('poison')
        assert len(newcomer.watch._suspects.crashes()) > 20

    run(scenario())


def test_stored_record_does_not_repeat_those_of_other_vms():
    """Guard against lists of records that grow with the VMs squared."""

    async def scenario():
        harness = CrashWatchHarness()
        await harness.crash(U1, 'own')
        harness.watch.merge_reports(
            (
                Crash('other', 'elsewhere@1', 0),
                Crash('poison', 'elsewhere@1', 0),
                Crash('poison', 'elsewhere@2', 0),
            )
        )
        stored = harness.watch.reports.stored_crashes()
        assert sorted({each.fingerprint for each in stored}) == [
            'own',
            'poison',
        ]

    run(scenario())


def test_stored_record_keeps_what_an_earlier_process_has_seen():
    """A VM overwrites its record, so it has to carry the earlier one."""
    earlier = Crash('own', 'u-1@1', 50)
    reports = CrashWatchHarness().watch.reports
    reports._suspects.merge((earlier,))
    assert not reports.stored_crashes()
    reports.record_own([(earlier.fingerprint, earlier.upstream)])
    assert reports.stored_crashes() == (earlier,)


def test_crash_is_told_at_once():
    """A retry may reach any VM before the next regular heartbeat."""

    async def scenario():
        harness = CrashWatchHarness()
        await harness.crash(U1, 'poison')
        assert harness.confirmed_crashes == 1

    run(scenario())


def test_answer_elsewhere_takes_blame_back():
    """Guard against a quarantine after one VM has cleared the request.

    The clearance must reach the VM that recorded the blame, and remove it
    there.
    """

    async def scenario():
        here, elsewhere = CrashWatchHarness(), CrashWatchHarness()
        await here.crash(U1, 'innocent')
        elsewhere.watch.merge_reports(here.watch.reports.next_crashes())
        elsewhere.clock.advance(100)
        elsewhere.watch.clear_suspect('innocent')
        here.clock.advance(100)
        here.watch.merge_reports((), elsewhere.watch.reports.newest_cleared())
        await here.crash(upstream('u2'), 'innocent')
        assert not here.watch.is_quarantined('innocent')

    run(scenario())


def test_new_start_in_the_entry_confirms_the_crash():
    """A health check that a successor may have answered proves nothing."""

    async def scenario():
        harness = CrashWatchHarness()
        harness.check.liveness = Liveness.UNPROVEN
        before = attrs.evolve(U1, born_ms=1)
        harness.known['u1'] = attrs.evolve(U1, born_ms=2, revision=2)
        await harness.crash(before, 'poison')
        harness.check.liveness = Liveness.ALIVE
        await harness.crash(harness.known['u1'], 'poison')
        assert harness.reported_fingerprints() == ['poison']
        assert harness.watch.has_ended(before)

    run(scenario())


def test_answer_proves_life_only_on_an_older_connection():
    """Guard against blame that a successor's answer takes back."""

    async def scenario():
        harness = CrashWatchHarness()
        harness.clock.advance(1000)
        known = attrs.evolve(U1, born_ms=1)
        await harness.crash(known, 'poison')
        harness.clock.advance(1000)
        harness.watch.record_alive(known, 1900, connected_ms=1500)
        assert harness.reported_fingerprints() == ['poison']
        harness.watch.record_alive(known, 1900, connected_ms=500)
        assert not harness.reported_fingerprints()

    run(scenario())
