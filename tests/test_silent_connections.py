"""Entry VMs whose open connections fall silent; new ones work."""

import asyncio
import contextlib

import attrs
import pytest

from catkindrift.clock import SystemClock
from catkindrift.gateway import Gateway
from catkindrift.http1 import HttpServer
from catkindrift.settings import GatewaySettings
from catkindrift.strict_settings import load_settings
from tests.platform_deployment import (
    SAFE,
    PlatformDeployment,
    ask,
    eventually,
    free_port,
    head,
)
from tests.platform_store import PlatformStore
from tests.silent_connections import OpenConnections

# Bounds of the users' pages, in seconds.
STABLE_WINDOW_S = 3
APPLY_S = 2.5
# Sentinels wait no longer than this; all other watches wait longer.
SHORT_WATCH_MS = 2600
ZONES = ('ovd-a', 'ovd-a', 'ovd-a', 'snt-a')
CHANGE_S = 0.2
# Ages of the short watches at the moment of a silence.
YOUNGEST_S = 0.05
OLDEST_S = 1.2


@attrs.define(eq=False)
class WatchedStore(PlatformStore):
    """Knows which watches are pending, and since when."""

    pending: dict = attrs.field(factory=dict)

    async def _watch(self, kind, query):
        key = object()
        now = asyncio.get_running_loop().time()
        self.pending[key] = (kind, int(query['wait_ms']), now)
        with contextlib.ExitStack() as stack:
            stack.callback(self.pending.pop, key)
            return await super()._watch(kind, query)

    def short_watch_ages(self, kind):
        """Return for how long the short watches of a kind have waited."""
        now = asyncio.get_running_loop().time()
        return [
            now - began
            for each, wait_ms, began in self.pending.values()
            if each == kind and wait_ms <= SHORT_WATCH_MS
        ]


@attrs.define(eq=False)
class Fleet:
    """Entry VMs that reach the store at an address of their own each.

    Args:
        platform: Store, upstreams and entry VMs.
        store_ports: Port of the store that each entry VM uses, by its name.
        unanswered: Names of entry VMs whose calls get no response.
    """

    platform: PlatformDeployment
    store_ports: dict = attrs.field(factory=dict)
    unanswered: set = attrs.field(factory=set)
    _servers: list = attrs.field(factory=list)

    async def start(self, count):
        """Start entry VMs together."""
        await self.platform.start()
        await self.platform.add_upstream('i-far', zone='snt-a')
        for number in range(count):
            await self._create(f'front-{number}', ZONES[number % len(ZONES)])
        for gateway in self.platform.gateways:
            await gateway.start()
        await eventually(
            lambda: all(each.is_ready for each in self.platform.gateways)
        )

    async def stop(self):
        gateways = self.platform.gateways
        await asyncio.gather(*(each.stop() for each in gateways))
        gateways.clear()
        await self.platform.stop()
        for server in self._servers:
            server.close()

    async def change(self, version):
        """Change the configuration, and let an upstream drain."""
        leaving = self.platform.upstreams[0]
        leaving.state = 'draining'
        await self.platform.store.put('servers', leaving.id, leaving.spec)
        await self.platform.configure(version, [SAFE])

    def stale_vms(self, version):
        """Return the names of entry VMs that don't know of a change."""
        leaving = self.platform.upstreams[0].id
        stale = []
        for gateway in self.platform.gateways:
            state = gateway._parts.state
            known = state.registry.find(leaving)
            is_current = (
                state.configuration.version >= version
                and known.upstream.is_draining
            )
            if not is_current:
                stale.append(gateway._settings.vm.name)
        return stale

    def caller_addresses(self):
        """Return the addresses for callers, split at the colon."""
        return [
            gateway._settings.listen.callers.partition(':')
            for gateway in self.platform.gateways
        ]

    async def _create(self, name, zone):
        port = free_port()

        async def handle(request):
            if name in self.unanswered:
                await asyncio.Event().wait()
            return await self.platform.store.handle(request)

        server = HttpServer(SystemClock(), handle)
        await server.start('127.0.0.1', port)
        self._servers.append(server)
        self.store_ports[name] = port
        self.platform.store_port = port
        path = self.platform.settings(name, zone)
        settings = load_settings(path, GatewaySettings)
        self.platform.gateways.append(Gateway(settings))


@contextlib.asynccontextmanager
async def running_fleet(folder, count):
    """Run entry VMs of two zones, the larger of which shares watches."""
    fleet = Fleet(PlatformDeployment(folder, WatchedStore()))
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(fleet.stop)
        await fleet.start(count)
        # Long enough for roles to be assigned and for watches to be regular.
        await asyncio.sleep(6)
        yield fleet


async def young_watches(store, kind):
    """Wait until all short watches of a kind have begun lately.

    Whoever relies on their next responses waits longest from then on.
    """

    def have_begun_lately():
        ages = store.short_watch_ages(kind)
        return ages and min(ages) < YOUNGEST_S and max(ages) < OLDEST_S

    await eventually(have_begun_lately, 60)


def vms_of(fleet, share):
    """Return every so many of the entry VMs."""
    return list(fleet.store_ports)[:: round(1 / share)]


@pytest.mark.parametrize('share', [1, 0.5, 0.1])
def test_silent_store_connections_leave_no_vm_stale(
    tmp_path, monkeypatch, share
):
    """Each VM has a change in time though its watches hang.

    Without a reset, VMs went on with the old configuration and upstreams
    that drain.
    """
    connections = OpenConnections(monkeypatch)

    async def scenario():
        async with running_fleet(tmp_path, 12) as fleet:
            await young_watches(fleet.platform.store, 'config')
            silent = vms_of(fleet, share)
            ports = {fleet.store_ports[name] for name in silent}
            assert connections.silence(ports) >= len(silent)
            await asyncio.sleep(CHANGE_S)
            await fleet.change(2)
            await asyncio.sleep(max(STABLE_WINDOW_S - CHANGE_S, APPLY_S))
            assert not fleet.stale_vms(2)

    asyncio.run(scenario())


def test_homes_that_change_bind_though_connections_are_silent(
    tmp_path, monkeypatch
):
    """A VM with an old configuration sent requests out of their new home."""
    connections = OpenConnections(monkeypatch)

    async def scenario():
        async with running_fleet(tmp_path, 12) as fleet:
            platform = fleet.platform
            await young_watches(platform.store, 'config')
            connections.silence(set(fleet.store_ports.values()))
            await asyncio.sleep(CHANGE_S)
            await platform.configure(
                2, [{**SAFE, 'home_regions': ['cantabria']}]
            )
            await asyncio.sleep(max(STABLE_WINDOW_S - CHANGE_S, APPLY_S))
            await asyncio.gather(
                *(
                    ask((host, int(port)), head('/safe/1', attempt=host))
                    for host, _, port in fleet.caller_addresses()
                )
            )
            away = [
                each.id
                for each in platform.upstreams
                if each.zone == 'ovd-a' and each.began_ids
            ]
            assert not away

    asyncio.run(scenario())


def sentinels(fleet, kind):
    """Return the names of the entry VMs that are sentinels of a kind."""
    return {
        gateway._settings.vm.name
        for gateway in fleet.platform.gateways
        if gateway._parts.watches.find_shared_watch(kind)._source.is_sentinel
    }


def test_silence_is_found_without_the_sentinel(tmp_path, monkeypatch):
    """Other VMs have a change in time while the sentinel gets no response.

    All relied on what a few VMs notice on behalf of the fleet.
    """
    connections = OpenConnections(monkeypatch)

    async def scenario():
        async with running_fleet(tmp_path, 12) as fleet:
            fleet.unanswered = sentinels(fleet, 'config') | sentinels(
                fleet, 'servers'
            )
            assert fleet.unanswered
            await young_watches(fleet.platform.store, 'config')
            connections.silence(set(fleet.store_ports.values()))
            await asyncio.sleep(CHANGE_S)
            await fleet.change(2)
            await asyncio.sleep(max(STABLE_WINDOW_S - CHANGE_S, APPLY_S))
            assert set(fleet.stale_vms(2)) <= fleet.unanswered

    asyncio.run(scenario())


def test_calls_do_not_grow_by_looking_for_silence(tmp_path):
    """Sentinels of all kinds make as few calls as when there were two each.

    In 10 s, six made 23 calls at intervals of 2.6 s; the four VMs of the small
    zone, the zone watchers of the large one and two VMs that watch records
    make a call in 18 s each.
    """

    async def scenario():
        async with running_fleet(tmp_path, 12) as fleet:
            store = fleet.platform.store
            await asyncio.sleep(2)
            store.calls.clear()
            await asyncio.sleep(10)
            reads = [each for each in store.calls if each[0] == 'GET']
            assert len(reads) <= 23 + 17

    asyncio.run(scenario())
