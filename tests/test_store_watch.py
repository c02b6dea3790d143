"""Following a kind of objects through faults of the store."""

import asyncio
import contextlib

import attrs
import pytest

from catkindrift.clock import ManualClock, SystemClock
from catkindrift.errors import HistoryGoneError, PlatformUnavailableError
from catkindrift.gateway._store_health import StoreHealth
from catkindrift.gateway._store_watch import StoreWatch
from catkindrift.platform import StoreClient, StoreObject, StorePage
from catkindrift.settings import GatewayPlatformSettings
from catkindrift.steering import TimeSpan
from tests.platform_deployment import eventually, free_port
from tests.platform_store import PlatformStore

SETTINGS = GatewayPlatformSettings('127.0.0.1:1')


class ScriptedClient:
    """Answers lists and watches from scripts; an empty script waits."""

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


class Seen:
    """Takes what a watch reports."""

    def __init__(self, client, clock=None, settings=SETTINGS):
        self.clock = clock or ManualClock(100_000)
        self.client = client
        self.lists = []
        self.changes = []
        self.returns = []
        self.on_change = None
        self.health = StoreHealth(self.clock)
        self.watch = StoreWatch(
            self.clock,
            client,
            'servers',
            settings,
            self.health,
            self.lists.append,
            self.note_change,
            self.note_return,
        )

    def note_change(self, change):
        self.changes.append(change)
        if self.on_change:
            self.on_change()

    def note_return(self, outage):
        self.returns.append(outage)


def follow(client, check):
    """Run a watch until `check` has passed."""

    async def scenario():
        seen = Seen(client)
        task = asyncio.create_task(seen.watch.run())
        await check(seen)
        task.cancel()

    asyncio.run(scenario())


def test_pages_are_joined_and_watched_from_the_first():
    """Changes made between two pages are not missed."""
    client = ScriptedClient([page(5, 'a', has_more=True), page(9, 'b')], [])

    async def check(seen):
        await eventually(lambda: client.waits)
        assert [each.name for each in seen.lists[0]] == ['a', 'b']
        assert client.waits[0][0] == 5

    follow(client, check)


def test_gone_history_is_listed_again():
    """After 410 the whole list is read, not guessed."""
    gone = HistoryGoneError('gone')
    client = ScriptedClient([page(5, 'a'), page(20, 'b')], [gone])

    async def check(seen):
        await eventually(lambda: len(seen.lists) == 2)
        await eventually(lambda: client.waits[-1][0] == 20)

    follow(client, check)


def test_failed_watch_goes_on_from_its_revision():
    """A cut or refused watch costs no list."""
    lost = PlatformUnavailableError('lost')
    client = ScriptedClient([page(5, 'a')], [lost, lost, page(7, 'b')])

    async def check(seen):
        await eventually(lambda: seen.changes)
        assert client.listed == 1
        assert [revision for revision, _ in client.waits[:3]] == [5, 5, 5]

    follow(client, check)


def test_peer_that_is_ahead_cuts_a_silent_watch_short():
    """A peer that lags too does not hide one that is ahead."""
    client = ScriptedClient([page(5, 'a')], [])

    async def check(seen):
        await eventually(lambda: len(client.waits) == 1)
        seen.watch.compare_with_peer(9)
        seen.watch.compare_with_peer(4)
        seen.clock.advance(400)
        seen.watch.compare_with_peer(4)
        seen.watch.compare_with_peer(9)
        await eventually(lambda: len(client.waits) == 2)

    follow(client, check)


def test_list_tells_peers_how_far_it_is():
    """What a list shows counts as known, as what a watch shows does."""
    client = ScriptedClient([page(5, 'a')], [])

    async def check(seen):
        await eventually(lambda: client.waits)
        assert seen.watch.newest_revision == 5

    follow(client, check)


def test_becoming_a_sentinel_shortens_the_wait_that_runs():
    """A VM that hears nobody does not sit out a long silent wait."""
    client = ScriptedClient([page(5, 'a')], [])

    async def check(seen):
        await eventually(lambda: len(client.waits) == 1)
        seen.watch.set_sentinel(is_sentinel=True)
        await eventually(lambda: len(client.waits) == 2)
        assert client.waits[1][1] == SETTINGS.sentinel_wait_ms

    follow(client, check)


def test_single_failure_is_no_outage():
    """A reset connection says nothing about the store."""
    lost = PlatformUnavailableError('lost')
    client = ScriptedClient([page(5, 'a')], [lost, page(7, 'b')])

    async def check(seen):
        await eventually(lambda: client.waits)
        seen.clock.advance(11_000)
        await eventually(lambda: seen.changes)
        assert not seen.returns

    follow(client, check)


def test_return_after_an_outage_is_told():
    """Calls that failed for more than a second make an outage."""
    lost = PlatformUnavailableError('lost')
    client = ScriptedClient([page(5, 'a')], [lost, lost, lost, page(7, 'b')])

    async def check(seen):
        while not seen.changes:
            seen.clock.advance(700)
            await asyncio.sleep(0.05)
        assert len(seen.returns) == 1

    follow(client, check)


def test_wait_does_not_outlast_the_history():
    """A revision that is dropped while a watch waits costs a list."""
    client = ScriptedClient([page(5, 'a')], [])

    async def check(seen):
        await eventually(lambda: client.waits)
        assert client.waits[0][1] < SETTINGS.history_s * 1000

    follow(client, check)


def test_changes_in_quick_succession_share_a_call(monkeypatch):
    """After news the next call waits a little for more of it."""
    pauses = []

    def remember(_rng, pause, _spread=0):
        pauses.append(pause)
        return 0

    monkeypatch.setattr(
        'catkindrift.gateway._coalescing_delay.jittered', remember
    )
    client = ScriptedClient([page(5, 'a')], [page(6, 'b')])

    async def check(seen):
        await eventually(lambda: len(client.waits) == 2)
        assert len(pauses) == 1
        assert pauses[0] >= 1

    follow(client, check)


def test_pause_for_more_news_is_no_silence():
    """A peer that is ahead meanwhile costs no call once the pause is over."""
    client = ScriptedClient([page(5, 'a')], [page(6, 'b')])

    async def check(seen):
        def hear_of_more():
            seen.watch.compare_with_peer(9)
            seen.clock.advance(400)
            seen.watch.compare_with_peer(9)

        seen.on_change = hear_of_more
        await eventually(lambda: len(client.waits) == 2)
        seen.clock.advance(400)
        seen.watch.compare_with_peer(9)
        await asyncio.sleep(0.1)
        assert len(client.waits) == 2

    follow(client, check)


def follow_store(store_fields, check, settings=SETTINGS):
    """Run a watch of a real stand-in store until `check` has passed."""

    async def scenario():
        store = PlatformStore(**store_fields)
        port = free_port()
        await store.start(port)
        client = StoreClient('127.0.0.1', port)
        seen = Seen(client, SystemClock(), settings)
        task = asyncio.create_task(seen.watch.run())
        await eventually(lambda: seen.lists)
        with contextlib.ExitStack() as stack:
            stack.callback(store.close)
            stack.callback(task.cancel)
            await check(store, seen)

    asyncio.run(scenario())


def test_answer_that_arrives_slowly_is_not_cut_short():
    """Peers that are ahead do not end the answer that brings their news."""

    async def check(store, seen):
        await store.put('servers', 'b', {'x': 'y' * 1000})
        async with asyncio.timeout(3):
            while not seen.changes:
                seen.watch.compare_with_peer(store.revision)
                await asyncio.sleep(0.02)
        assert [each.name for each in seen.changes] == ['b']
        assert sum('watch' in query for _, _, query in store.calls) == 1

    follow_store({'part_pause_s': 0.06}, check)


def test_long_answer_may_take_longer_than_a_call():
    """Only silence ends a call, not the size of what is on its way."""

    async def check(store, seen):
        await store.put('servers', 'b', {'x': 'y' * 1000})
        await eventually(lambda: seen.changes, seconds=6)
        watches = [call for call in store.calls if 'watch' in call[2]]
        assert len(watches) <= 2

    settings = attrs.evolve(SETTINGS, watch_wait_ms=100, call_timeout_ms=500)
    follow_store({'part_pause_s': 0.1}, check, settings)


def test_slow_answers_shorten_the_pause_for_more(monkeypatch):
    """What an answer takes to arrive is taken off the pause after it."""
    pauses = []

    def remember(_rng, pause, _spread=0):
        pauses.append(pause)
        return 0

    monkeypatch.setattr(
        'catkindrift.gateway._coalescing_delay.jittered', remember
    )

    async def check(store, seen):
        await store.put('servers', 'b', {'x': 'y' * 1000})
        await eventually(lambda: pauses)
        assert 0 <= pauses[0] < 1

    follow_store({'part_pause_s': 0.06}, check)


def pass_time(clock, health, by_ms):
    """Move time forward for a process that runs."""
    until_ms = clock.now_ms() + by_ms
    while clock.now_ms() < until_ms:
        clock.advance(100)
        health.detect_stall()


class TestStoreHealth:
    """One outage for all watches, from first failure to first answer."""

    def test_first_answer_ends_it(self):
        """Calls of other watches that fail late begin no other outage."""
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

    def test_one_failed_call_is_none(self):
        """Nor is a long time without any call."""
        clock = ManualClock(1000)
        health = StoreHealth(clock)
        health.record_failure(PlatformUnavailableError('lost'))
        clock.advance(60_000)
        assert not health.record_response()
        assert health.outage is None

    def test_age_of_the_newest_answer_is_told(self):
        """It counts the time for which the machine was suspended."""
        clock = ManualClock(1000)
        health = StoreHealth(clock)
        assert health.answer_age_ms is None
        health.record_response()
        clock.advance(700)
        clock.suspended_ms += 5000
        assert health.answer_age_ms == 5700

    def test_peers_that_were_answered_all_the_while_rule_it_out(self):
        """Each answer to any of them counts; what they heard does not."""
        clock, health = vm_that_was_answered()
        for _ in range(6):
            pass_time(clock, health, 2000)
            health.record_failure(PlatformUnavailableError('lost'))
            health.record_peer_response(100)
        assert health.record_response()
        assert health.outage == TimeSpan(100_000, 112_000)
        assert health.was_reachable_during(health.outage)

    @pytest.mark.parametrize('outage_ms', [3000, 4500, 6000])
    def test_peers_that_saw_the_outage_do_not_rule_it_out(self, outage_ms):
        """However late their word of answers from before it comes."""
        clock, health = vm_that_was_answered()
        for age_ms in range(0, outage_ms, 500):
            health.record_peer_response(age_ms)
            health.record_failure(PlatformUnavailableError('lost'))
            pass_time(clock, health, 500)
        health.record_peer_response(0)
        assert health.record_response()
        assert not health.was_reachable_during(health.outage)

    def test_vm_that_heard_nobody_does_not_rule_it_out(self):
        """Upstreams may have been cut off with it, and come back."""
        clock, health = vm_that_was_answered()
        for _ in range(4):
            pass_time(clock, health, 3000)
            health.record_failure(PlatformUnavailableError('lost'))
        assert health.record_response()
        health.record_peer_response(100)
        assert not health.was_reachable_during(health.outage)

    def test_word_of_a_peer_is_not_taken_after_a_stall(self):
        """It may have lain unread; how long, nobody knows."""
        clock, health = vm_that_was_answered()
        pass_time(clock, health, 2000)
        health.record_failure(PlatformUnavailableError('lost'))
        clock.suspended_ms += 5000
        health.record_peer_response(0)
        pass_time(clock, health, 2000)
        health.record_failure(PlatformUnavailableError('lost'))
        assert health.record_response()
        health.record_peer_response(0)
        assert not health.was_reachable_during(health.outage)

    def test_outage_ends_when_a_silent_peer_is_heard(self):
        """The cut that hid it has ended then, if answers follow soon."""
        clock, health = vm_that_was_answered()
        told = []
        health.add_recovery_listener(lambda: told.append(clock.now_ms()))
        health.record_peer_recovery()
        assert not told
        for _ in range(4):
            pass_time(clock, health, 3000)
            health.record_failure(PlatformUnavailableError('lost'))
        health.record_peer_recovery()
        assert told == [112_000]
        pass_time(clock, health, 900)
        assert health.record_response()
        assert health.outage == TimeSpan(100_000, 112_000)

    def test_outage_may_last_longer_than_silence_of_peers(self):
        """A peer that came back long before says nothing of the store."""
        clock, health = vm_that_was_answered()
        health.record_failure(PlatformUnavailableError('lost'))
        health.record_peer_recovery()
        pass_time(clock, health, 4000)
        health.record_failure(PlatformUnavailableError('lost'))
        assert health.record_response()
        assert health.outage == TimeSpan(100_000, 104_000)


def vm_that_was_answered():
    clock = ManualClock(100_000)
    health = StoreHealth(clock)
    health.record_response()
    return clock, health


@pytest.fixture
def endless_pauses(monkeypatch):
    """Let pauses after failures end only when they are cut short."""
    pauses = 'catkindrift.gateway._failure_backoff'
    monkeypatch.setattr(f'{pauses}._INITIAL_DELAY_S', 3600)
    monkeypatch.setattr(f'{pauses}._MAX_DELAY_S', 3600)


def test_watch_asks_at_once_when_another_was_answered(endless_pauses):
    """A VM back from a cut does not wait for the pause of each kind."""
    lost = PlatformUnavailableError('lost')
    client = ScriptedClient([page(5, 'a')], [lost])

    async def check(seen):
        seen.health.add_recovery_listener(seen.watch.retry_now)
        await eventually(lambda: seen.watch._backoff.is_failing)
        seen.health.record_response()
        await eventually(lambda: len(client.waits) == 2)

    follow(client, check)


def test_call_from_before_the_return_is_given_up():
    """Its connect may hang on what the cut has swallowed."""
    lost = PlatformUnavailableError('lost')
    client = ScriptedClient([page(5, 'a')], [lost])

    async def check(seen):
        await eventually(lambda: len(client.waits) == 2)
        seen.watch.retry_now()
        await eventually(lambda: len(client.waits) == 3)

    follow(client, check)


def test_list_from_before_the_return_is_given_up():
    """A kind that is listed asks at once, as one that is watched does."""
    lost = PlatformUnavailableError('lost')
    client = ScriptedClient([page(5, 'a'), lost], [HistoryGoneError('gone')])
    client.lists.append(None)

    async def check(seen):
        await eventually(lambda: client.listed == 3)
        client.lists.append(page(9, 'b'))
        seen.watch.retry_now()
        await eventually(lambda: len(seen.lists) == 2)

    follow(client, check)


def test_watch_that_is_answered_is_not_disturbed():
    """Only calls that follow a failure are made anew."""
    client = ScriptedClient([page(5, 'a')], [])

    async def check(seen):
        await eventually(lambda: len(client.waits) == 1)
        seen.watch.retry_now()
        await asyncio.sleep(0.05)
        assert len(client.waits) == 1

    follow(client, check)


def test_dropped_history_shows_that_the_store_is_up():
    """It ends an outage as any other answer does."""
    lost = PlatformUnavailableError('lost')
    gone = HistoryGoneError('gone')
    client = ScriptedClient([page(5, 'a'), lost], [lost, gone])
    answered = []

    async def check(seen):
        seen.health.add_recovery_listener(
            lambda: answered.append(client.listed)
        )
        await eventually(lambda: answered)
        assert answered == [1]

    follow(client, check)


def test_changes_that_are_too_many_are_listed():
    """Large objects that changed often are read once, not once a change."""

    async def check(store, seen):
        for number in range(12):
            await store.put('servers', 'b', {'x': 'y' * 300_000, 'n': number})
        await eventually(lambda: len(seen.lists) == 2, seconds=5)
        assert seen.lists[1][0].spec['n'] == 11

    follow_store({}, check)


def test_kind_of_few_large_objects_is_listed_when_behind():
    """Peers that are ahead save it the changes in between."""
    client = ScriptedClient([page(5, 'a'), page(9, 'a')], [])

    async def check(seen):
        seen.watch._relists_when_behind = True
        await eventually(lambda: len(client.waits) == 1)
        seen.watch.compare_with_peer(9)
        seen.clock.advance(400)
        seen.watch.compare_with_peer(9)
        await eventually(lambda: len(client.waits) == 2)
        assert client.listed == 2
        assert client.waits[1][0] == 9

    follow(client, check)


def test_large_answer_is_read_to_its_end():
    """An object that is larger than a connection's buffer arrives."""

    async def check(store, seen):
        await store.put('servers', 'b', {'x': 'y' * 1_000_000})
        await eventually(lambda: seen.changes, seconds=3)
        assert len(seen.changes[0].spec['x']) == 1_000_000

    follow_store({}, check)


def versions(first, last):
    """Return a page in which one object changed with each revision."""
    found = [
        StoreObject('main', revision, {}) for revision in range(first, last + 1)
    ]
    return StorePage(tuple(found), last)


def test_versions_that_outpace_the_watch_deny_no_new_route(monkeypatch):
    """In a storm a VM lists the newest version instead of reading each."""
    monkeypatch.setattr(
        'catkindrift.gateway._coalescing_delay.jittered', lambda *_: 0
    )
    client = ScriptedClient(
        [page(5, 'main'), page(60, 'main'), page(80, 'main'), page(80, 'main')],
        [versions(6, 30)],
    )

    async def check(seen):
        seen.watch._relists_when_behind = True
        await eventually(lambda: len(client.waits) == 2)
        assert [each.revision for each in seen.changes] == [30]
        assert [found[0].revision for found in seen.lists] == [5, 60, 80, 80]
        assert client.waits == [(5, 18_000), (80, 18_000)]

    follow(client, check)


def test_last_change_of_each_object_counts():
    """What a later change of the same page replaces is not handed on."""
    gone = StoreObject('a', 7, {}, is_deleted=True)
    changes = (
        StoreObject('a', 6, {}),
        StoreObject('b', 6, {}),
        gone,
        StoreObject('c', 8, {}),
    )
    client = ScriptedClient([page(5)], [StorePage(changes, 8)])

    async def check(seen):
        await eventually(lambda: len(seen.changes) == 3)
        assert [each.name for each in seen.changes] == ['b', 'a', 'c']
        assert seen.changes[1] is gone

    follow(client, check)
