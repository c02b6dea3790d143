"""How silent connections to the store are found and told."""

import asyncio
import socket
import threading
import time

import pytest

from catkindrift.clock import ManualClock
from catkindrift.errors import PlatformSilentError
from catkindrift.gateway._store_poller import StorePoller
from catkindrift.gateway._store_silence import StoreSilence
from catkindrift.gateway._watch_timing import sentinel_wait_ms
from catkindrift.http1 import HttpClient
from catkindrift.platform import StorePage
from catkindrift.settings import GatewayBoundSettings, GatewayPlatformSettings

SETTINGS = GatewayPlatformSettings('127.0.0.1:1', sentinel_wait_ms=1300)


class SlowStore:
    """Responds to each watch so much later than the end of its wait."""

    def __init__(self, clock, *delays_ms):
        self.clock = clock
        self.delays_ms = list(delays_ms)
        self.waits_ms = []
        self.found = ()

    def close_idle(self):
        """Do nothing: there are no connections."""

    async def watch(self, kind, revision, wait_ms, timeout_s, on_chunk):
        self.waits_ms.append(wait_ms)
        timeout_ms = round(timeout_s * 1000)
        took_ms = min(wait_ms + self.delays_ms.pop(0), timeout_ms)
        self.clock.advance(took_ms)
        if took_ms == timeout_ms:
            raise PlatformSilentError('no response')
        return StorePage(self.found, revision)


def poll(poller, times):
    async def scenario():
        for _ in range(times):
            await poller.poll(7, lambda: None)

    asyncio.run(scenario())


def sentinel(clock, store):
    silence = StoreSilence(clock)
    poller = StorePoller(clock, store, 'config', SETTINGS, silence)
    poller.is_sentinel = True
    return poller, silence


def test_response_on_a_new_connection_shows_a_silence():
    """A sentinel asks again at once, not after the timeout of a call."""
    clock = ManualClock(50_000)
    store = SlowStore(clock, 99_000, 5)
    poller, silence = sentinel(clock, store)
    poll(poller, 1)
    assert store.waits_ms == [1300, 1]
    assert silence.found_count == 1
    assert clock.now_ms() - 50_000 < 1300 + 400


def test_slow_store_is_not_taken_for_a_silence():
    """Late responses on new connections too must not restart all watches."""
    clock = ManualClock(50_000)
    store = SlowStore(clock, 400, 400, 400, 400)
    poller, silence = sentinel(clock, store)
    poll(poller, 3)
    assert silence.found_count == 0
    assert len(store.waits_ms) == 4


@pytest.mark.parametrize(
    ('kind', 'bounds', 'expected_ms'),
    [
        ('config', {}, 1300),
        ('servers', {}, 1300),
        ('evacuations', {}, 2600),
        ('config', {'stable_window_s': 4, 'config_apply_s': 3}, 2300),
        ('servers', {'stable_window_s': 1, 'drain_s': 2.5}, 800),
        ('servers', {'stable_window_s': 0, 'drain_s': 0}, 300),
        ('entry-vms', {}, 2600),
    ],
)
def test_wait_of_a_sentinel_follows_from_the_bounds(kind, bounds, expected_ms):
    """All VMs need time to learn of a change after the wait."""
    settings = GatewayBoundSettings(**bounds)
    assert sentinel_wait_ms(kind, settings, 2600) == expected_ms


def test_silence_is_acted_on_once():
    """Notices that are late or told by several VMs must not circulate."""
    clock = ManualClock(50_000)
    heard = []
    silence = StoreSilence(clock, on_heard=lambda: heard.append('told'))
    silence.learn(11, 100)
    clock.advance(400)
    silence.learn(12, 100)
    clock.advance(2000)
    silence.learn(11, 0)
    silence.learn(12, 0)
    assert heard == ['told']
    clock.advance(5000)
    assert silence.age_ms is None
    silence.learn(13, 50)
    assert heard == ['told', 'told']
    assert (silence.notice_id, silence.age_ms) == (13, 50)


def test_suspension_counts_in_the_age_of_a_notice():
    """A VM that was suspended must not tell an old notice as a new one."""
    clock = ManualClock(50_000)
    silence = StoreSilence(clock)
    silence.learn(11, 100)
    clock.suspended_ms = 8000
    assert silence.age_ms is None


def respond_late(listener):
    """Respond to one request after 0.2 s, whatever the event loop does."""
    connection, _ = listener.accept()
    connection.recv(65_536)
    time.sleep(0.2)
    connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')


def test_response_that_arrives_during_a_stall_is_no_silence():
    """A stalled process took its timeout first, and told of a silence."""

    async def scenario():
        listener = socket.create_server(('127.0.0.1', 0))
        server = threading.Thread(target=respond_late, args=(listener,))
        server.start()
        client = HttpClient(*listener.getsockname())
        asked = asyncio.create_task(client.request('GET', '/', b'', 0.25))
        await asyncio.sleep(0.1)
        time.sleep(0.4)
        head, _ = await asked
        assert head.status == 200
        server.join()

    asyncio.run(scenario())
