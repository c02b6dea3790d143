"""The zone watcher polls the store for upstreams and serves its zone."""

import asyncio
import contextlib

import attrs
import pytest

from catkindrift.clock import ManualClock, SystemClock
from catkindrift.errors import ZoneWatchError
from catkindrift.gateway._change_log import ChangeLog
from catkindrift.gateway._object_list import ObjectList
from catkindrift.gateway._stalled_watch_detector import StalledWatchDetector
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._store_watch import StoreWatch
from catkindrift.gateway._watch_role import WatchRole
from catkindrift.gateway._zone_changes_page import ZoneChangesPage
from catkindrift.gateway._zone_client import ZoneClient
from catkindrift.http1 import CallerRequest, HttpServer, Response
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
    """The bounded log of changes that the zone watcher serves."""

    def test_returns_later_changes(self):
        """A revision within a page gets the whole page again."""
        log = ChangeLog()
        log.reset(10)
        log.add(page(12, 'a', 'b'))
        log.add(page(15, 'c'))
        assert names_after(log, 10) == ['a', 'b', 'c']
        assert names_after(log, 11) == ['a', 'b', 'c']
        assert names_after(log, 12) == ['c']
        assert log.changes_after(12).revision == 15
        assert log.changes_after(20) == StorePage((), 20)

    def test_reports_missing_history(self):
        """A revision before the start of the log returns None."""
        log = ChangeLog()
        log.reset(10)
        assert log.changes_after(9) is None

    def test_drops_oldest_page(self):
        """Above 2000 changes, the oldest page is dropped."""
        log = ChangeLog()
        for revision in range(1, 4):
            names = [f'{revision}-{index}' for index in range(900)]
            log.add(page(revision, *names))
        assert log.changes_after(0) is None
        assert len(log.changes_after(1).objects) == 1800

    def test_waits_for_changes(self):
        """A wait ends with the next change or at its timeout."""

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
    """Two watches in one process: a zone watcher and one that polls it."""

    def __init__(self, port):
        self.seen = ([], [])
        self.ended_outages = []
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
                self.ended_outages.append,
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
        # Skip the startup phase, whose coalescing delay is longer.
        for watch in self.watches:
            watch._coalescing._started_ms -= 10_000
        self.watches[1].poll.assign(
            WatchRole(is_shared=True, zone_watcher=self.address)
        )
        self.watches[1].poll.cancel()
        await eventually(lambda: self.watches[1]._source.uses_zone_watcher)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        self.page.close()


def follow(check):
    """Run two watches of a stand-in store until `check` has passed."""

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


def count_watch_calls(store):
    return sum('watch' in query for _, _, query in store.calls)


def test_follower_gets_changes_without_store_call():
    """Changes reach it through the zone watcher, which alone polls the store.

    The follower learns of the creation and the deletion of an object.
    """

    async def check(store, followers):
        before = count_watch_calls(store)
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
        assert count_watch_calls(store) - before <= 2

    follow(check)


def test_follower_polls_store_when_zone_watcher_stops():
    """If the zone watcher stops, the follower polls the store directly."""

    async def check(store, followers):
        followers.page.close()
        await eventually(
            lambda: not followers.watches[1]._source.uses_zone_watcher
        )
        await store.put('servers', 'a', {})
        await eventually(lambda: followers.seen[1])

    follow(check)


def test_follower_polls_store_when_peers_are_ahead():
    """The follower bypasses a zone watcher that lags behind other peers."""

    async def check(store, followers):
        followers.tasks[0].cancel()
        await store.put('servers', 'a', {})
        async with asyncio.timeout(5):
            while not followers.seen[1]:
                followers.watches[1].compare_with_peer(store.revision)
                await asyncio.sleep(0.02)
        assert not followers.watches[1]._source.uses_zone_watcher

    follow(check)


def test_follower_is_informed_of_outage():
    """An outage seen by the zone watcher is reported to the follower.

    The times are converted to the follower's clock.
    """

    async def check(store, followers):
        followers.health.outage = TimeSpan(1000, 5000)
        await store.put('servers', 'a', {})
        await eventually(lambda: followers.ended_outages)
        outage = followers.ended_outages[0]
        assert outage.ended_ms - outage.began_ms == 4000
        assert 5000 <= outage.ended_ms <= 6000

    follow(check)


def test_follower_without_zone_watcher_polls_store():
    """A follower without a zone watcher goes on with the store."""

    async def check(store, followers):
        followers.watches[1].poll.assign(WatchRole())
        await eventually(
            lambda: not followers.watches[1]._source.uses_zone_watcher
        )
        await store.put('servers', 'a', {})
        await eventually(lambda: followers.seen[1])

    follow(check)


@pytest.mark.parametrize(
    'answer',
    [
        Response(503),
        Response(410),
        Response(200, [], b'{}'),
        Response(200, [], b'x'),
    ],
)
def test_unusable_responses_raise(answer):
    """Error statuses and malformed messages raise `ZoneWatchError`."""

    async def scenario():
        async def respond(_request):
            return answer

        server = HttpServer(SystemClock(), respond)
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
    """The attributes of a store watch that `ZoneChangesPage` uses."""

    is_direct: bool
    health: StoreHealth = attrs.field(
        factory=lambda: StoreHealth(ManualClock(0)),
    )
    change_log: ChangeLog = attrs.field(factory=ChangeLog)
    listed: ObjectList = attrs.field(factory=lambda: ObjectList(ManualClock(0)))


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
def test_serves_only_known_changes_from_store(is_direct, path, status):
    """A VM serves only its own reads of the store, and only known history."""

    async def scenario():
        watch = StandInWatch(is_direct)
        watch.change_log.reset(10)
        page = ZoneChangesPage(ManualClock(0), {'servers': watch}.get)
        request = CallerRequest(b'GET', b'', path, b'', [], None, 0, '')
        return await page(request)

    assert asyncio.run(scenario()).status == status


def test_zone_watcher_may_lag_for_its_delay():
    """Lag behind peers is tolerated for the zone watcher's coalescing delay."""
    clock = ManualClock(10_000)
    detector = StalledWatchDetector(clock)
    detector.record_chunk()
    assert not detector.is_stalled(9, 5, uses_zone_watcher=True)
    clock.advance(850)
    assert not detector.is_stalled(9, 5, uses_zone_watcher=True)
    clock.advance(300)
    assert detector.is_stalled(9, 5, uses_zone_watcher=True)


def test_quiet_zone_watcher_gets_short_limit():
    """Without a recent response of the zone watcher, the short limit applies.

    A partitioned zone watcher must not delay its followers.
    """
    clock = ManualClock(10_000)
    detector = StalledWatchDetector(clock)
    detector.record_chunk()
    clock.advance(3000)
    assert not detector.is_stalled(5, 5, uses_zone_watcher=True)
    assert not detector.is_stalled(9, 5, uses_zone_watcher=True)
    clock.advance(300)
    assert detector.is_stalled(9, 5, uses_zone_watcher=True)


def test_lag_limit_doubles_with_each_stall():
    """The limit doubles with each stall up to a maximum.

    A dead connection is replaced soon, while a busy link gets more time.
    """
    clock = ManualClock(1000)
    detector = StalledWatchDetector(clock)
    detector.is_stalled(9, 5, uses_zone_watcher=False)
    limits_ms = []
    for _ in range(5):
        began_ms = clock.now_ms()
        while not detector.is_stalled(9, 5, uses_zone_watcher=False):
            clock.advance(50)
        limits_ms.append(clock.now_ms() - began_ms)
    assert limits_ms == [300, 550, 1050, 2050, 2050]


def test_large_zone_has_zone_watcher(tmp_path):
    """Six gateways agree on a zone watcher, and all get a new upstream."""

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


def test_small_zone_has_no_zone_watcher(tmp_path):
    """With five ready VMs in the zone, each polls the store itself."""

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
