"""One VM of a zone asks the store for news of upstreams, the others ask it."""

import asyncio
import contextlib

import attrs
import pytest

from catkindrift.clock import ManualClock, SystemClock
from catkindrift.errors import ZoneWatchError
from catkindrift.gateway._change_log import ChangeLog
from catkindrift.gateway._stalled_watch_detector import StalledWatchDetector
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._store_watch import StoreWatch
from catkindrift.gateway._zone_changes_page import ZoneChangesPage
from catkindrift.gateway._zone_client import ZoneClient
from catkindrift.http1 import Answer, CallerRequest, HttpServer
from catkindrift.platform import StoreClient, StoreObject, StorePage
from catkindrift.settings import GatewayPlatformSettings
from catkindrift.steering import TimeSpan
from tests.platform_deployment import deployed, eventually, free_port
from tests.platform_store import PlatformStore

SETTINGS = GatewayPlatformSettings('127.0.0.1:1')


def page(revision, *names, is_deleted=False):
    found = [StoreObject(name, revision, {}, is_deleted) for name in names]
    return StorePage(tuple(found), revision)


def names_after(log, revision):
    return [each.name for each in log.changes_after(revision).objects]


class TestChangeLog:
    """What the store told is told on, all or not at all."""

    def test_tells_what_came_after(self):
        """A page is told whole to whoever does not know all of it."""
        log = ChangeLog()
        log.reset(10)
        log.add(page(12, 'a', 'b'))
        log.add(page(15, 'c'))
        assert names_after(log, 10) == ['a', 'b', 'c']
        assert names_after(log, 11) == ['a', 'b', 'c']
        assert names_after(log, 12) == ['c']
        assert log.changes_after(12).revision == 15
        assert log.changes_after(20) == StorePage((), 20)

    def test_says_when_it_does_not_reach_back(self):
        """What came before its start is not known to it."""
        log = ChangeLog()
        log.reset(10)
        assert log.changes_after(9) is None

    def test_forgets_the_oldest(self):
        """The log is bounded; who asks for more is told so."""
        log = ChangeLog()
        for revision in range(1, 4):
            names = [f'{revision}-{index}' for index in range(900)]
            log.add(page(revision, *names))
        assert log.changes_after(0) is None
        assert len(log.changes_after(1).objects) == 1800

    def test_waits_for_more(self):
        """A wait ends with the next change, or with its time."""

        async def scenario():
            log = ChangeLog()
            log.reset(10)
            await log.wait_for_changes(10, 0.01)
            waiting = asyncio.create_task(log.wait_for_changes(10, 30))
            await asyncio.sleep(0)
            log.add(page(11, 'a'))
            async with asyncio.timeout(1):
                await waiting

        asyncio.run(scenario())


class Followers:
    """Watches of a stand-in store in one process, one asking the other."""

    def __init__(self, port):
        self.seen = ([], [])
        self.returns = []
        clock = SystemClock()
        self.health = StoreHealth(clock)
        self.watches = [
            StoreWatch(
                clock,
                StoreClient('127.0.0.1', port),
                'servers',
                SETTINGS,
                self.health,
                lambda _found: None,
                seen.append,
                self.returns.append,
            )
            for seen in self.seen
        ]
        self.tasks = []
        self.page = HttpServer(clock, ZoneChangesPage(clock, self.find_watch))
        self.address = f'127.0.0.1:{free_port()}'

    def find_watch(self, kind):
        return self.watches[0] if kind == 'servers' else None

    async def start(self):
        host, _, port = self.address.partition(':')
        await self.page.start(host, int(port))
        for watch in self.watches:
            self.tasks.append(asyncio.create_task(watch.run()))
        await eventually(
            lambda: all(each.change_log.revision for each in self.watches)
        )
        # As if long started: the first pause is longer.
        for watch in self.watches:
            watch._coalescing._started_ms -= 10_000
        self.watches[1].set_zone_watcher(self.address, is_shared=True)
        self.watches[1]._poll_task.cancel()
        await eventually(lambda: self.watches[1]._source.uses_zone_watcher)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.page.close()


def follow(check):
    """Run two followers of a store until `check` has passed."""

    async def scenario():
        store = PlatformStore()
        port = free_port()
        await store.start(port)
        followers = Followers(port)
        with contextlib.ExitStack() as stack:
            stack.callback(store.close)
            stack.callback(followers.stop)
            await followers.start()
            await check(store, followers)

    asyncio.run(scenario())


def watches_made(store):
    return sum('watch' in query for _, _, query in store.calls)


def test_follower_learns_without_a_call():
    """News reach it through the other VM; the store is asked by one only."""

    async def check(store, followers):
        before = watches_made(store)
        await store.put('servers', 'a', {})
        await eventually(lambda: followers.seen[1])
        assert [each.name for each in followers.seen[1]] == ['a']
        assert (
            followers.watches[1].newest_revision
            == followers.watches[0].newest_revision
        )
        await store.delete('servers', 'a')
        await eventually(lambda: len(followers.seen[1]) == 2)
        assert followers.seen[1][1].is_deleted
        assert watches_made(store) - before <= 2

    follow(check)


def test_follower_asks_the_store_when_the_other_ends():
    """The loss of the VM that watches for the zone loses no news."""

    async def check(store, followers):
        followers.page.close()
        await eventually(
            lambda: not followers.watches[1]._source.uses_zone_watcher
        )
        await store.put('servers', 'a', {})
        await eventually(lambda: followers.seen[1])

    follow(check)


def test_follower_asks_the_store_when_peers_are_ahead():
    """A VM that tells nothing while others know more is passed over."""

    async def check(store, followers):
        followers.tasks[0].cancel()
        await store.put('servers', 'a', {})
        async with asyncio.timeout(5):
            while not followers.seen[1]:
                followers.watches[1].compare_with_peer(store.revision)
                await asyncio.sleep(0.02)
        assert not followers.watches[1]._source.uses_zone_watcher

    follow(check)


def test_follower_hears_of_an_outage():
    """What the other saw of an outage protects entries here too."""

    async def check(store, followers):
        followers.health.outage = TimeSpan(1000, 5000)
        await store.put('servers', 'a', {})
        await eventually(lambda: followers.returns)
        outage = followers.returns[0]
        assert outage.ended_ms - outage.began_ms == 4000
        assert 5000 <= outage.ended_ms <= 6000

    follow(check)


def test_change_of_duty_ends_the_wait():
    """A follower turns to the VM that is chosen anew, or to the store."""

    async def check(store, followers):
        followers.watches[1].set_zone_watcher('', is_shared=False)
        await eventually(
            lambda: not followers.watches[1]._source.uses_zone_watcher
        )
        await store.put('servers', 'a', {})
        await eventually(lambda: followers.seen[1])

    follow(check)


@pytest.mark.parametrize(
    'answer',
    [Answer(503), Answer(410), Answer(200, [], b'{}'), Answer(200, [], b'x')],
)
def test_other_answers_are_no_news(answer):
    """Whatever is not a whole message sends the follower to the store."""

    async def scenario():
        async def tell(_request):
            return answer

        server = HttpServer(SystemClock(), tell)
        port = free_port()
        await server.start('127.0.0.1', port)
        client = ZoneClient(f'127.0.0.1:{port}')
        with contextlib.ExitStack() as stack:
            stack.callback(server.close)
            with pytest.raises(ZoneWatchError, match='ask the store'):
                await client.watch('servers', 1, 100, 1, lambda: None)

    asyncio.run(scenario())


@attrs.define
class StandInWatch:
    """A watch as the page for the zone sees it."""

    is_direct: bool
    health: StoreHealth = attrs.field(
        factory=lambda: StoreHealth(ManualClock(0)),
    )
    change_log: ChangeLog = attrs.field(factory=ChangeLog)


@pytest.mark.parametrize(
    ('is_direct', 'path', 'status'),
    [
        (True, '/changes/servers/10/1', 200),
        (True, '/changes/servers/9/1', 410),
        (False, '/changes/servers/10/1', 503),
        (True, '/changes/other/10/1', 404),
        (True, '/changes/servers/-1/1', 404),
        (True, '/changes/servers/10', 404),
    ],
)
def test_only_what_is_known_at_first_hand_is_told(is_direct, path, status):
    """Who does not ask the store itself, or came late, says so at once."""

    async def scenario():
        told = StandInWatch(is_direct)
        told.change_log.reset(10)
        page = ZoneChangesPage(ManualClock(0), {'servers': told}.get)
        request = CallerRequest(b'GET', b'', path, b'', [], None, 0, '')
        return await page(request)

    assert asyncio.run(scenario()).status == status


def test_zone_may_be_behind_for_its_pause():
    """Peers of other zones that know more first are no reason to ask."""
    clock = ManualClock(10_000)
    silence = StalledWatchDetector(clock)
    silence.record_chunk()
    assert not silence.is_stalled(9, 5, uses_zone_watcher=True)
    clock.advance(850)
    assert not silence.is_stalled(9, 5, uses_zone_watcher=True)
    clock.advance(300)
    assert silence.is_stalled(9, 5, uses_zone_watcher=True)


def test_zone_that_told_nothing_lately_has_no_excuse():
    """A VM that is cut off does not hold its followers up for its pause."""
    clock = ManualClock(10_000)
    silence = StalledWatchDetector(clock)
    silence.record_chunk()
    clock.advance(3000)
    assert not silence.is_stalled(5, 5, uses_zone_watcher=True)
    assert not silence.is_stalled(9, 5, uses_zone_watcher=True)
    clock.advance(300)
    assert silence.is_stalled(9, 5, uses_zone_watcher=True)


def test_silence_is_longer_each_time():
    """A dead connection is asked anew at once, a busy link gets more time."""
    clock = ManualClock(1000)
    silence = StalledWatchDetector(clock)
    silence.is_stalled(9, 5, uses_zone_watcher=False)
    waited = []
    for _ in range(5):
        began_ms = clock.now_ms()
        while not silence.is_stalled(9, 5, uses_zone_watcher=False):
            clock.advance(50)
        waited.append(clock.now_ms() - began_ms)
    assert waited == [300, 550, 1050, 2050, 2050]


def test_one_vm_of_a_zone_asks_for_all(tmp_path):
    """Gateways agree who asks, and all learn of a new upstream."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            for number in range(2, 7):
                await deployment.add_gateway(f'front-{number}')
            sources = [
                gateway._parts.watches.find_shared_watch('servers')._source
                for gateway in deployment.gateways
            ]
            await eventually(
                lambda: (
                    sum(each._zone_client is not None for each in sources) == 5
                )
            )
            await deployment.add_upstream('i-9')
            await eventually(
                lambda: all(
                    'i-9' in gateway._parts.state.registry.ids
                    for gateway in deployment.gateways
                )
            )

    asyncio.run(scenario())


def test_few_vms_of_a_zone_ask_for_themselves(tmp_path):
    """Where little is saved, news take no detour."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            for number in range(2, 6):
                await deployment.add_gateway(f'front-{number}')
            members = [each._parts.members for each in deployment.gateways]
            await eventually(
                lambda: all(len(each.alive()) == 4 for each in members)
            )
            for gateway in deployment.gateways:
                watches = gateway._parts.watches
                watches.assign_roles()
                watch = watches.find_shared_watch('servers')
                assert watch._source._zone_client is None
                assert not watch._coalescing.is_shared

    asyncio.run(scenario())
