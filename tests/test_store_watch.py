"""Watches of the store under faults: lists, long polls and recovery."""

import asyncio
import contextlib

import attrs
import pytest

from catkindrift.clock import ManualClock, SystemClock
from catkindrift.errors import HistoryGoneError, PlatformUnavailableError
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._store_watch import StoreWatch
from catkindrift.gateway._watch_role import WatchRole
from catkindrift.platform import StoreClient, StoreObject, StorePage
from catkindrift.settings import GatewayPlatformSettings
from catkindrift.steering import TimeSpan
from tests.platform_deployment import eventually, free_port
from tests.platform_store import PlatformStore

SETTINGS = GatewayPlatformSettings('127.0.0.1:1')


class ScriptedClient:
    """Returns scripted results; waits when no watch result is left."""

    def __init__(self, lists, watches):
        self.lists = list(lists)
        self.watches = list(watches)
        self.waits = []
        self.listed = 0

    async def list_page(self, kind, after, timeout_s):
        self.listed += 1
        step = self.lists.pop(0)
        if step is None:
            await asyncio.sleep(3600)
        return _play(step)

    def close_idle(self):
        """Do nothing: there are no connections."""

    async def watch(self, kind, revision, wait_ms, timeout_s, on_part):
        self.waits.append((revision, wait_ms))
        self.on_part = on_part
        if not self.watches:
            await asyncio.sleep(3600)
        return _play(self.watches.pop(0))


def _play(step):
    if isinstance(step, Exception):
        raise step
    return step


def page(revision, *names, is_deleted=False, has_more=False):
    found = tuple(StoreObject(name, revision, {}, is_deleted) for name in names)
    return StorePage(found, revision, has_more)


class RecordingWatch:
    """Records the callbacks of a watch."""

    def __init__(self, client, clock=None, settings=SETTINGS):
        self.clock = clock or ManualClock(100_000)
        self.client = client
        self.lists = []
        self.changes = []
        self.ended_outages = []
        self.on_change = None
        self.health = StoreHealth(self.clock)
        self.watch = StoreWatch(
            self.clock,
            client,
            'servers',
            settings,
            self.health,
            self.lists.append,
            self.record_change,
            self.record_outage_end,
        )

    def record_change(self, change):
        self.changes.append(change)
        if self.on_change:
            self.on_change()

    def record_outage_end(self, outage):
        self.ended_outages.append(outage)


def follow(client, check):
    """Run a watch until `check` has passed."""

    async def scenario():
        recorder = RecordingWatch(client)
        task = asyncio.create_task(recorder.watch.run())
        await check(recorder)
        task.cancel()

    asyncio.run(scenario())


def test_pages_are_joined_and_watched_from_the_first():
    """The watch starts at the first page's revision.

    From a later one, it would miss changes made between two pages.
    """
    client = ScriptedClient([page(5, 'a', has_more=True), page(9, 'b')], [])

    async def check(recorder):
        await eventually(lambda: client.waits)
        assert [each.name for each in recorder.lists[0]] == ['a', 'b']
        assert client.waits[0][0] == 5

    follow(client, check)


def test_gone_history_is_listed_again():
    """If the store has dropped the history, the watch relists."""
    gone = HistoryGoneError('gone')
    client = ScriptedClient([page(5, 'a'), page(20, 'b')], [gone])

    async def check(recorder):
        await eventually(lambda: len(recorder.lists) == 2)
        await eventually(lambda: client.waits[-1][0] == 20)

    follow(client, check)


def test_failed_watch_goes_on_from_its_revision():
    """After failed calls, the watch resumes without a relist."""
    lost = PlatformUnavailableError('lost')
    client = ScriptedClient([page(5, 'a')], [lost, lost, page(7, 'b')])

    async def check(recorder):
        await eventually(lambda: recorder.changes)
        assert client.listed == 1
        assert [revision for revision, _ in client.waits[:3]] == [5, 5, 5]

    follow(client, check)


def test_lag_behind_peer_restarts_stalled_watch():
    """Lag behind any peer restarts a stalled poll, even if another lags."""
    client = ScriptedClient([page(5, 'a')], [])

    async def check(recorder):
        await eventually(lambda: len(client.waits) == 1)
        recorder.watch.compare_with_peer(9)
        recorder.watch.compare_with_peer(4)
        recorder.clock.advance(400)
        recorder.watch.compare_with_peer(4)
        recorder.watch.compare_with_peer(9)
        await eventually(lambda: len(client.waits) == 2)

    follow(client, check)


def test_list_updates_newest_revision():
    """A list updates the revision that heartbeats carry."""
    client = ScriptedClient([page(5, 'a')], [])

    async def check(recorder):
        await eventually(lambda: client.waits)
        assert recorder.watch.newest_revision == 5

    follow(client, check)


def test_becoming_a_sentinel_shortens_the_wait_that_runs():
    """A new sentinel restarts its long poll with the shorter wait.

    Without peers, it would not notice that the long poll has stalled.
    """
    client = ScriptedClient([page(5, 'a')], [])

    async def check(recorder):
        await eventually(lambda: len(client.waits) == 1)
        recorder.watch.poll.assign(WatchRole(is_sentinel=True))
        await eventually(lambda: len(client.waits) == 2)
        assert client.waits[1][1] == SETTINGS.sentinel_wait_ms

    follow(client, check)


def test_single_failure_is_no_outage():
    """A single failed call, such as a reset connection, is no outage."""
    lost = PlatformUnavailableError('lost')
    client = ScriptedClient([page(5, 'a')], [lost, page(7, 'b')])

    async def check(recorder):
        await eventually(lambda: client.waits)
        recorder.clock.advance(11_000)
        await eventually(lambda: recorder.changes)
        assert not recorder.ended_outages

    follow(client, check)


def test_end_of_outage_is_reported():
    """The end of an outage longer than the threshold is reported once."""
    lost = PlatformUnavailableError('lost')
    client = ScriptedClient([page(5, 'a')], [lost, lost, lost, page(7, 'b')])

    async def check(recorder):
        while not recorder.changes:
            recorder.clock.advance(700)
            await asyncio.sleep(0.05)
        assert len(recorder.ended_outages) == 1

    follow(client, check)


def test_wait_does_not_outlast_the_history():
    """The long poll is shorter than the history that the store keeps.

    Otherwise the revision is dropped during the poll, which costs a relist.
    """
    client = ScriptedClient([page(5, 'a')], [])

    async def check(recorder):
        await eventually(lambda: client.waits)
        assert client.waits[0][1] < SETTINGS.history_s * 1000

    follow(client, check)


def test_changes_in_quick_succession_share_a_call(monkeypatch):
    """A coalescing delay follows a response with changes."""
    delays = []

    def record_delay(_rng, delay, _spread=0):
        delays.append(delay)
        return 0

    monkeypatch.setattr(
        'catkindrift.gateway._coalescing_delay.jittered', record_delay
    )
    client = ScriptedClient([page(5, 'a')], [page(6, 'b')])

    async def check(recorder):
        await eventually(lambda: len(client.waits) == 2)
        assert len(delays) == 1
        assert delays[0] >= 1

    follow(client, check)


def test_coalescing_delay_is_no_stall():
    """Lag during the coalescing delay doesn't count as a stall later."""
    client = ScriptedClient([page(5, 'a')], [page(6, 'b')])

    async def check(recorder):
        def lag_behind_peer():
            recorder.watch.compare_with_peer(9)
            recorder.clock.advance(400)
            recorder.watch.compare_with_peer(9)

        recorder.on_change = lag_behind_peer
        await eventually(lambda: len(client.waits) == 2)
        recorder.clock.advance(400)
        recorder.watch.compare_with_peer(9)
        await asyncio.sleep(0.1)
        assert len(client.waits) == 2

    follow(client, check)


def follow_store(store_fields, check, settings=SETTINGS):
    """Run a watch of a stand-in store over HTTP until `check` has passed."""

    async def scenario():
        store = PlatformStore(**store_fields)
        port = free_port()
        await store.start(port)
        client = StoreClient('127.0.0.1', port)
        recorder = RecordingWatch(client, SystemClock(), settings)
        task = asyncio.create_task(recorder.watch.run())
        await eventually(lambda: recorder.lists)
        with contextlib.ExitStack() as stack:
            stack.callback(store.close)
            stack.callback(task.cancel)
            await check(store, recorder)

    asyncio.run(scenario())


def test_answer_that_arrives_slowly_is_not_cut_short():
    """A response in transfer isn't cancelled when peers are ahead."""

    async def check(store, recorder):
        await store.put('servers', 'b', {'x': 'y' * 1000})
        async with asyncio.timeout(3):
            while not recorder.changes:
                recorder.watch.compare_with_peer(store.revision)
                await asyncio.sleep(0.02)
        assert [each.name for each in recorder.changes] == ['b']
        assert sum('watch' in query for _, _, query in store.calls) == 1

    follow_store({'part_pause_s': 0.06}, check)


def test_long_answer_may_take_longer_than_a_call():
    """The timeout applies between chunks, not to the whole response."""

    async def check(store, recorder):
        await store.put('servers', 'b', {'x': 'y' * 1000})
        await eventually(lambda: recorder.changes, seconds=6)
        watches = [call for call in store.calls if 'watch' in call[2]]
        assert len(watches) <= 2

    settings = attrs.evolve(SETTINGS, watch_wait_ms=100, call_timeout_ms=500)
    follow_store({'part_pause_s': 0.1}, check, settings)


def test_transfer_time_shortens_coalescing_delay(monkeypatch):
    """The transfer time shortens the coalescing delay that follows."""
    delays = []

    def record_delay(_rng, delay, _spread=0):
        delays.append(delay)
        return 0

    monkeypatch.setattr(
        'catkindrift.gateway._coalescing_delay.jittered', record_delay
    )

    async def check(store, recorder):
        await store.put('servers', 'b', {'x': 'y' * 1000})
        await eventually(lambda: delays)
        assert 0 <= delays[0] < 1

    follow_store({'part_pause_s': 0.06}, check)


def advance_without_stall(clock, health, by_ms):
    """Advance the clock in small steps, as for a process without stalls."""
    until_ms = clock.now_ms() + by_ms
    while clock.now_ms() < until_ms:
        clock.advance(100)
        health.detect_stall()


class TestStoreHealth:
    """Detection of store outages across all watches."""

    def test_first_response_ends_outage(self):
        """Late failures of other watches start no second outage."""
        clock = ManualClock(1000)
        health = StoreHealth(clock)
        lost = PlatformUnavailableError('lost')
        for _ in range(5):
            health.record_failure(lost)
            clock.advance(500)
        assert health.record_response()
        assert health.outage == TimeSpan(1000, clock.now_ms())
        health.record_failure(lost)
        clock.advance(1000)
        health.record_failure(lost)
        assert not health.record_response()

    def test_one_failed_call_is_no_outage(self):
        """A single failure is no outage, however long no call follows."""
        clock = ManualClock(1000)
        health = StoreHealth(clock)
        health.record_failure(PlatformUnavailableError('lost'))
        clock.advance(60_000)
        assert not health.record_response()
        assert health.outage is None

    def test_age_of_newest_response(self):
        """The age includes time for which the machine was suspended."""
        clock = ManualClock(1000)
        health = StoreHealth(clock)
        assert health.answer_age_ms is None
        health.record_response()
        clock.advance(700)
        clock.suspended_ms += 5000
        assert health.answer_age_ms == 5700

    def test_responses_to_peers_rule_outage_out(self):
        """Responses to peers throughout the outage rule it out."""
        clock, health = health_after_response()
        for _ in range(6):
            advance_without_stall(clock, health, 2000)
            health.record_failure(PlatformUnavailableError('lost'))
            health.record_peer_response(100)
        assert health.record_response()
        assert health.outage == TimeSpan(100_000, 112_000)
        assert health.was_reachable_during(health.outage)

    @pytest.mark.parametrize('outage_ms', [3000, 4500, 6000])
    def test_peers_that_saw_outage_do_not_rule_it_out(self, outage_ms):
        """Peers' reports of responses from before the outage don't count."""
        clock, health = health_after_response()
        for age_ms in range(0, outage_ms, 500):
            health.record_peer_response(age_ms)
            health.record_failure(PlatformUnavailableError('lost'))
            advance_without_stall(clock, health, 500)
        health.record_peer_response(0)
        assert health.record_response()
        assert not health.was_reachable_during(health.outage)

    def test_vm_without_heartbeats_does_not_rule_outage_out(self):
        """Without heartbeats, an outage isn't ruled out afterwards.

        Upstreams may have been partitioned together with this VM.
        """
        clock, health = health_after_response()
        for _ in range(4):
            advance_without_stall(clock, health, 3000)
            health.record_failure(PlatformUnavailableError('lost'))
        assert health.record_response()
        health.record_peer_response(100)
        assert not health.was_reachable_during(health.outage)

    def test_peer_reports_are_ignored_after_stall(self):
        """Reports read after a stall may be old, so they are ignored."""
        clock, health = health_after_response()
        advance_without_stall(clock, health, 2000)
        health.record_failure(PlatformUnavailableError('lost'))
        clock.suspended_ms += 5000
        health.record_peer_response(0)
        advance_without_stall(clock, health, 2000)
        health.record_failure(PlatformUnavailableError('lost'))
        assert health.record_response()
        health.record_peer_response(0)
        assert not health.was_reachable_during(health.outage)

    def test_outage_ends_with_recovery_of_peer(self):
        """An outage ends when a failed peer recovers shortly before a response.

        The partition that hid the peer ended then.
        """
        clock, health = health_after_response()
        recoveries = []
        health.add_recovery_listener(lambda: recoveries.append(clock.now_ms()))
        health.record_peer_recovery()
        assert not recoveries
        for _ in range(4):
            advance_without_stall(clock, health, 3000)
            health.record_failure(PlatformUnavailableError('lost'))
        health.record_peer_recovery()
        assert recoveries == [112_000]
        advance_without_stall(clock, health, 900)
        assert health.record_response()
        assert health.outage == TimeSpan(100_000, 112_000)

    def test_early_recovery_of_peer_does_not_end_outage(self):
        """A peer that recovered long before the response doesn't count."""
        clock, health = health_after_response()
        health.record_failure(PlatformUnavailableError('lost'))
        health.record_peer_recovery()
        advance_without_stall(clock, health, 4000)
        health.record_failure(PlatformUnavailableError('lost'))
        assert health.record_response()
        assert health.outage == TimeSpan(100_000, 104_000)


def health_after_response():
    clock = ManualClock(100_000)
    health = StoreHealth(clock)
    health.record_response()
    return clock, health


@pytest.fixture
def endless_backoff(monkeypatch):
    """Make backoff delays so long that only `end_early` ends them."""
    module = 'catkindrift.gateway._failure_backoff'
    monkeypatch.setattr(f'{module}._INITIAL_DELAY_S', 3600)
    monkeypatch.setattr(f'{module}._MAX_DELAY_S', 3600)


def test_watch_retries_when_another_gets_response(endless_backoff):
    """A response to any watch ends the backoff of the others."""
    lost = PlatformUnavailableError('lost')
    client = ScriptedClient([page(5, 'a')], [lost])

    async def check(recorder):
        recorder.health.add_recovery_listener(recorder.watch.retry_now)
        await eventually(lambda: recorder.watch._backoff.is_failing)
        recorder.health.record_response()
        await eventually(lambda: len(client.waits) == 2)

    follow(client, check)


def test_long_poll_is_restarted_on_recovery():
    """A call started in the outage is restarted on recovery.

    Its connection attempt may hang because of lost packets.
    """
    lost = PlatformUnavailableError('lost')
    client = ScriptedClient([page(5, 'a')], [lost])

    async def check(recorder):
        await eventually(lambda: len(client.waits) == 2)
        recorder.watch.retry_now()
        await eventually(lambda: len(client.waits) == 3)

    follow(client, check)


def test_list_is_restarted_on_recovery():
    """A list started in the outage is restarted on recovery too."""
    lost = PlatformUnavailableError('lost')
    client = ScriptedClient([page(5, 'a'), lost], [HistoryGoneError('gone')])
    client.lists.append(None)

    async def check(recorder):
        await eventually(lambda: client.listed == 3)
        client.lists.append(page(9, 'b'))
        recorder.watch.retry_now()
        await eventually(lambda: len(recorder.lists) == 2)

    follow(client, check)


def test_healthy_watch_is_not_restarted():
    """Recovery restarts no call of a watch that hasn't failed."""
    client = ScriptedClient([page(5, 'a')], [])

    async def check(recorder):
        await eventually(lambda: len(client.waits) == 1)
        recorder.watch.retry_now()
        await asyncio.sleep(0.05)
        assert len(client.waits) == 1

    follow(client, check)


def test_dropped_history_shows_that_the_store_is_up():
    """A 410 response counts as a response and ends an outage."""
    lost = PlatformUnavailableError('lost')
    gone = HistoryGoneError('gone')
    client = ScriptedClient([page(5, 'a'), lost], [lost, gone])
    answered = []

    async def check(recorder):
        recorder.health.add_recovery_listener(
            lambda: answered.append(client.listed)
        )
        await eventually(lambda: answered)
        assert answered == [1]

    follow(client, check)


def test_changes_that_are_too_many_are_listed():
    """If the changes exceed the response limit, the watch relists.

    Large objects that changed often are then read once each.
    """

    async def check(store, recorder):
        for number in range(12):
            await store.put('servers', 'b', {'x': 'y' * 300_000, 'n': number})
        await eventually(lambda: len(recorder.lists) == 2, seconds=5)
        assert recorder.lists[1][0].spec['n'] == 11

    follow_store({}, check)


def test_kind_of_few_large_objects_is_listed_when_behind():
    """A lagging watch of such a kind relists instead of reading changes."""
    client = ScriptedClient([page(5, 'a'), page(9, 'a')], [])

    async def check(recorder):
        recorder.watch._relists_when_behind = True
        await eventually(lambda: len(client.waits) == 1)
        recorder.watch.compare_with_peer(9)
        recorder.clock.advance(400)
        recorder.watch.compare_with_peer(9)
        await eventually(lambda: len(client.waits) == 2)
        assert client.listed == 2
        assert client.waits[1][0] == 9

    follow(client, check)


def test_large_answer_is_read_to_its_end():
    """An object larger than a connection's buffer is read completely."""

    async def check(store, recorder):
        await store.put('servers', 'b', {'x': 'y' * 1_000_000})
        await eventually(lambda: recorder.changes, seconds=3)
        assert len(recorder.changes[0].spec['x']) == 1_000_000

    follow_store({}, check)


def versions(first, last):
    """Return a page in which one object changed with each revision."""
    found = [
        StoreObject('main', revision, {}) for revision in range(first, last + 1)
    ]
    return StorePage(tuple(found), last)


def test_versions_that_outpace_watch_are_listed(monkeypatch):
    """Relists follow while versions change faster than they are polled.

    Reading every version would delay the newest one, and with it new routes.
    """
    monkeypatch.setattr(
        'catkindrift.gateway._coalescing_delay.jittered', lambda *_: 0
    )
    client = ScriptedClient(
        [page(5, 'main'), page(60, 'main'), page(80, 'main'), page(80, 'main')],
        [versions(6, 30)],
    )

    async def check(recorder):
        recorder.watch._relists_when_behind = True
        await eventually(lambda: len(client.waits) == 2)
        assert [each.revision for each in recorder.changes] == [30]
        assert [found[0].revision for found in recorder.lists] == [
            5,
            60,
            80,
            80,
        ]
        assert client.waits == [(5, 18_000), (80, 18_000)]

    follow(client, check)


def test_last_change_of_each_object_counts():
    """Only the last change of each object in a page is reported."""
    gone = StoreObject('a', 7, {}, is_deleted=True)
    changes = (
        StoreObject('a', 6, {}),
        StoreObject('b', 6, {}),
        gone,
        StoreObject('c', 8, {}),
    )
    client = ScriptedClient([page(5)], [StorePage(changes, 8)])

    async def check(recorder):
        await eventually(lambda: len(recorder.changes) == 3)
        assert [each.name for each in recorder.changes] == ['b', 'a', 'c']
        assert recorder.changes[1] is gone

    follow(client, check)
