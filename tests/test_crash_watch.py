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
    looks: int = 0

    async def look(self, _upstream):
        self.looks += 1
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
class Watched:
    """A watch with its clock and checks."""

    clock: ManualClock = attrs.field(factory=ManualClock)
    check: ScriptedCheck = attrs.field(factory=ScriptedCheck)
    told_at_once: int = 0
    on_tell: Callable = attrs.field(default=lambda: None)
    watch: CrashWatch = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.watch = CrashWatch(
            self.clock, self.check, GatewayMetrics(), self.tell
        )

    def tell(self):
        """Count what is told to all at once."""
        self.told_at_once += 1
        self.on_tell()

    def blamed(self):
        """Return which requests other entry VMs hear of."""
        return sorted(crash.fingerprint for crash in self.watch.told())

    async def crash(self, at, fingerprint):
        """Let an upstream end under a request."""
        self.watch.broke_off(at, fingerprint)
        await self.settled()

    async def settled(self):
        await eventually(lambda: not self.watch._checks)


def run(test):
    """Run a test on a loop of its own."""
    return asyncio.run(test)


def test_upstream_out_of_reach_is_no_evidence():
    """A cut between zones breaks connections, and ends no upstream."""

    async def scenario():
        watched = Watched()
        watched.check.liveness = Liveness.UNKNOWN
        await watched.crash(U1, 'plain')
        assert watched.check.looks > 1
        assert not watched.blamed()
        assert not watched.watch.is_quarantined('plain')

    run(scenario())


def test_later_break_offs_of_an_ended_upstream_blame_nobody():
    """All that ran there is known at the first of them."""

    async def scenario():
        watched = Watched()
        watched.watch._suspects.record_crash(['poison'], 'u0')
        for token, each in enumerate(('poison', 'beside')):
            watched.watch.running.assigned('u1', token, each)
            watched.watch.running.sent(token)
        await watched.crash(U1, 'poison')
        watched.watch.running.ended('u1', 0)
        await watched.crash(U1, 'late')
        assert watched.watch.is_quarantined('poison')
        assert not watched.watch.is_suspect('beside')
        assert 'late' not in watched.blamed()

    run(scenario())


def test_caller_who_left_before_the_crash_keeps_its_blame():
    """An upstream may end under a request that nobody waits for."""

    async def scenario():
        watched = Watched()
        watched.watch.running.left('u1', 'poison')
        watched.clock.advance(500)
        watched.watch.not_connected(U1)
        await watched.settled()
        assert watched.blamed() == ['poison']

    run(scenario())


def test_refused_connect_alone_blames_nobody():
    """A request that was not sent ends nothing."""

    async def scenario():
        watched = Watched()
        watched.watch.not_connected(U1)
        watched.watch.running.left('u1', 'slow')
        watched.clock.advance(10_000)
        watched.watch.not_connected(U1)
        assert not watched.check.looks

    run(scenario())


def test_quarantine_reaches_a_new_vm_beside_a_mass_of_crashes():
    """Heartbeats hold few crashes; none of them is left out for ever."""

    async def scenario():
        watched = Watched()
        for name in ('u1', 'u2'):
            await watched.crash(upstream(name), 'poison')
        for number in range(60):
            watched.clock.advance(100)
            await watched.crash(upstream(f'v{number}'), f'beside-{number}')
        newcomer = Watched()
        for _ in range(20):
            newcomer.watch.learn(watched.watch.told())
        assert newcomer.watch.is_quarantined('poison')
        assert len(newcomer.watch._suspects.crashes()) > 20

    run(scenario())


def test_crash_is_told_at_once():
    """The next repeat may come to any VM before the next heartbeat."""

    async def scenario():
        watched = Watched()
        await watched.crash(U1, 'poison')
        assert watched.told_at_once == 1

    run(scenario())


def test_answer_elsewhere_takes_blame_back():
    """A request that was answered by one VM is no suspect at another."""

    async def scenario():
        here, elsewhere = Watched(), Watched()
        await here.crash(U1, 'innocent')
        elsewhere.watch.learn(here.watch.told())
        elsewhere.clock.advance(100)
        elsewhere.watch.answered('innocent')
        here.clock.advance(100)
        here.watch.learn((), elsewhere.watch.news.cleared())
        await here.crash(upstream('u2'), 'innocent')
        assert not here.watch.is_quarantined('innocent')

    run(scenario())
