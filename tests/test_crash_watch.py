"""Blame for crashes, with scripted checks of upstreams."""

import asyncio
from collections.abc import Callable

import attrs

from catkindrift.clock import ManualClock
from catkindrift.gateway._crash_watch import CrashWatch
from catkindrift.gateway._metrics import GatewayMetrics
from catkindrift.gateway._upstream_check import Liveness
from catkindrift.steering import Upstream
from tests.platform_deployment import eventually


@attrs.define(eq=False)
class ScriptedCheck:
    """Answers with the liveness that was set."""

    liveness: Liveness = Liveness.ENDED
    probes: int = 0

    async def probe(self, _upstream):
        self.probes += 1
        return self.liveness


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
    """A watch with its clock and checks."""

    clock: ManualClock = attrs.field(factory=ManualClock)
    check: ScriptedCheck = attrs.field(factory=ScriptedCheck)
    confirmed_crashes: int = 0
    on_confirmed_crash: Callable = attrs.field(default=lambda: None)
    watch: CrashWatch = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.watch = CrashWatch(
            self.clock, self.check, GatewayMetrics(), self.note_confirmed_crash
        )

    def note_confirmed_crash(self):
        """Count what is told to all at once."""
        self.confirmed_crashes += 1
        self.on_confirmed_crash()

    def reported_fingerprints(self):
        """Return which requests other entry VMs hear of."""
        return sorted(crash.fingerprint for crash in self.watch.next_crashes())

    async def crash(self, at, fingerprint):
        """Let an upstream end under a request."""
        self.watch.record_disconnect(at, fingerprint)
        await self.wait_for_checks()

    async def wait_for_checks(self):
        await eventually(lambda: not self.watch._checks)


def run(test):
    """Run a test on a loop of its own."""
    return asyncio.run(test)


def test_upstream_out_of_reach_is_no_evidence():
    """A cut between zones breaks connections, and ends no upstream."""

    async def scenario():
        harness = CrashWatchHarness()
        harness.check.liveness = Liveness.UNKNOWN
        await harness.crash(U1, 'plain')
        assert harness.check.probes > 1
        assert not harness.reported_fingerprints()
        assert not harness.watch.is_quarantined('plain')

    run(scenario())


def test_later_break_offs_of_an_ended_upstream_blame_nobody():
    """All that ran there is known at the first of them."""

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
    """An upstream may end under a request that nobody waits for."""

    async def scenario():
        harness = CrashWatchHarness()
        harness.watch.running.mark_abandoned('u1', 'poison')
        harness.clock.advance(500)
        harness.watch.record_connect_failure(U1)
        await harness.wait_for_checks()
        assert harness.reported_fingerprints() == ['poison']

    run(scenario())


def test_refused_connect_alone_blames_nobody():
    """A request that was not sent ends nothing."""

    async def scenario():
        harness = CrashWatchHarness()
        harness.watch.record_connect_failure(U1)
        harness.watch.running.mark_abandoned('u1', 'slow')
        harness.clock.advance(10_000)
        harness.watch.record_connect_failure(U1)
        assert not harness.check.probes

    run(scenario())


def test_quarantine_reaches_a_new_vm_beside_a_mass_of_crashes():
    """Heartbeats hold few crashes; none of them is left out for ever."""

    async def scenario():
        harness = CrashWatchHarness()
        for name in ('u1', 'u2'):
            await harness.crash(upstream(name), 'poison')
        for number in range(60):
            harness.clock.advance(100)
            await harness.crash(upstream(f'v{number}'), f'beside-{number}')
        newcomer = CrashWatchHarness()
        for _ in range(20):
            newcomer.watch.merge_reports(harness.watch.next_crashes())
        assert newcomer.watch.is_quarantined('poison')
        assert len(newcomer.watch._suspects.crashes()) > 20

    run(scenario())


def test_crash_is_told_at_once():
    """The next repeat may come to any VM before the next heartbeat."""

    async def scenario():
        harness = CrashWatchHarness()
        await harness.crash(U1, 'poison')
        assert harness.confirmed_crashes == 1

    run(scenario())


def test_answer_elsewhere_takes_blame_back():
    """A request that was answered by one VM is no suspect at another."""

    async def scenario():
        here, elsewhere = CrashWatchHarness(), CrashWatchHarness()
        await here.crash(U1, 'innocent')
        elsewhere.watch.merge_reports(here.watch.next_crashes())
        elsewhere.clock.advance(100)
        elsewhere.watch.clear_suspect('innocent')
        here.clock.advance(100)
        here.watch.merge_reports((), elsewhere.watch.reports.newest_cleared())
        await here.crash(upstream('u2'), 'innocent')
        assert not here.watch.is_quarantined('innocent')

    run(scenario())
