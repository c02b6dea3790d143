"""One VM of a zone watches each kind for the others, whatever fails."""

import asyncio
import contextlib
import itertools
import time

import pytest

from catkindrift.platform import ENTRY_VM_KIND
from tests.platform_deployment import SAFE, deployed, eventually

# Targets after the store's acknowledgement, in seconds.
CONFIGURATION_S = 3
UPSTREAM_S = 3
EVACUATION_S = 5
KINDS = ('config', 'servers', 'evacuations')


def watch_of(gateway, kind):
    return gateway._parts.watches.find_shared_watch(kind)


def follows(gateway, kind):
    return watch_of(gateway, kind)._source.uses_zone_watcher


def skip_startup(gateway):
    """Skip the startup phase, whose coalescing delay is longer."""
    for watch in gateway._parts.watches._watches:
        watch._coalescing._started_ms -= 10_000


def zone_watcher(deployment, kind):
    """Return the VM that polls the store for the zone."""
    first = [
        each
        for each in deployment.gateways
        if watch_of(each, kind)._source._zone_client is None
    ]
    return first[0] if len(first) == 1 else None


@contextlib.asynccontextmanager
async def shared_zone(folder, vms=8, **options):
    """Run a zone in which all kinds are shared."""
    async with deployed(folder, **options) as deployment:
        for number in range(2, vms + 1):
            await deployment.add_gateway(f'front-{number}')
        for gateway in deployment.gateways:
            skip_startup(gateway)
        await eventually(lambda: has_settled(deployment), seconds=30)
        yield deployment


def has_settled(deployment):
    """Return whether each VM polls what its roles say."""
    for gateway in deployment.gateways:
        alive = len(gateway._parts.members.alive())
        if alive != len(deployment.gateways) - 1:
            return False
        for kind in KINDS:
            if zone_watcher(deployment, kind) is None:
                return False
            source = watch_of(gateway, kind)._source
            if source.uses_zone_watcher == (source._preferred() is None):
                return False
    return True


async def measure(deployment, holds, limit_s):
    """Return after how many seconds the last VM has reached a state."""
    began = time.monotonic()
    await eventually(
        lambda: all(holds(each) for each in deployment.gateways), limit_s
    )
    return time.monotonic() - began


def count_watches(deployment, kind):
    return sum(
        path == f'/objects/{kind}' and 'watch' in query
        for _, path, query in deployment.store.calls
    )


def has_version(version):
    return lambda gateway: gateway._parts.state.configuration.version == version


def test_kinds_have_different_zone_watchers(tmp_path):
    """A VM that fails must not take the watches of all kinds with it.

    The records of entry VMs are not served to the zone as changes.
    """

    async def scenario():
        async with shared_zone(tmp_path) as deployment:
            watchers = {kind: zone_watcher(deployment, kind) for kind in KINDS}
            assert len(set(map(id, watchers.values()))) > 1
            assert watch_of(watchers['config'], ENTRY_VM_KIND) is None

    asyncio.run(scenario())


def test_changes_take_one_call_of_a_zone(tmp_path):
    """Calls of the store must not grow with the VMs of the zone.

    One zone watcher and two sentinels read each version; the other five VMs
    get it from the zone watcher.
    """

    async def scenario():
        async with shared_zone(tmp_path) as deployment:
            before = count_watches(deployment, 'config')
            for version in itertools.count(2):
                if version > 4:
                    break
                await deployment.configure(version, [SAFE])
                await measure(deployment, has_version(version), CONFIGURATION_S)
            used = count_watches(deployment, 'config') - before
            assert used <= 3 * 3 + 6

    asyncio.run(scenario())


class Silent:
    """The zone watcher loses power: connections stay open, nothing comes."""

    def __init__(self, deployment, kind):
        self.gateway = zone_watcher(deployment, kind)
        deployment.gateways.remove(self.gateway)
        for task in self.gateway._tasks:
            task.cancel()
        self.gateway._parts.heartbeats._sender.transport.close()

    async def end(self, deployment):
        for server, _ in self.gateway._parts.servers:
            server.close()


class Killed(Silent):
    """The zone watcher is killed: its connections are reset."""

    def __init__(self, deployment, kind):
        super().__init__(deployment, kind)
        for server, _ in self.gateway._parts.servers:
            server.close()


class StoreFault:
    """The store treats the zone watcher alone differently."""

    def __init__(self, deployment, kind):
        self.client = zone_watcher(deployment, kind)._parts.store_client
        self.before = self.client._client
        self.client._client = self
        for watch in zone_watcher(deployment, kind)._parts.watches._watches:
            watch.poll.cancel()

    async def request(self, *_args):
        raise NotImplementedError

    async def end(self, deployment):
        self.client._client = self.before


class Refused(StoreFault):
    """The store resets the calls of the zone watcher."""

    async def request(self, *_args):
        await asyncio.sleep(0.01)
        raise ConnectionResetError('reset')


class Unanswered(StoreFault):
    """The store does not answer the calls of the zone watcher."""

    async def request(self, _method, _path, _body, timeout_s, *_args):
        await asyncio.sleep(timeout_s)
        raise TimeoutError


FAULTS = (Killed, Silent, Refused, Unanswered)


def others(deployment, fault):
    """Return whether a VM other than the faulty one is meant."""
    faulty = getattr(fault, 'client', None)
    return [
        each
        for each in deployment.gateways
        if each._parts.store_client is not faulty
    ]


async def check_change(folder, kind, fault_class, change, holds, limit_s):
    async with (
        shared_zone(folder) as deployment,
        contextlib.AsyncExitStack() as stack,
    ):
        fault = fault_class(deployment, kind)
        stack.push_async_callback(fault.end, deployment)
        await change(deployment)
        await eventually(
            lambda: all(holds(each) for each in others(deployment, fault)),
            limit_s,
        )


@pytest.mark.parametrize('fault', FAULTS)
def test_configuration_is_applied_without_its_zone_watcher(tmp_path, fault):
    """A zone watcher that fails at that moment must not delay a version."""

    async def change(deployment):
        await deployment.configure(2, [SAFE])

    asyncio.run(
        check_change(
            tmp_path, 'config', fault, change, has_version(2), CONFIGURATION_S
        )
    )


@pytest.mark.parametrize('fault', FAULTS)
def test_upstream_leaves_without_its_zone_watcher(tmp_path, fault):
    """A zone watcher that fails must not keep an upstream that has left."""

    async def change(deployment):
        await deployment.store.delete('servers', 'i-1')

    asyncio.run(
        check_change(
            tmp_path,
            'servers',
            fault,
            change,
            lambda gateway: 'i-1' not in gateway._parts.state.registry.ids,
            UPSTREAM_S,
        )
    )


@pytest.mark.parametrize('fault', FAULTS)
def test_zone_is_evacuated_without_its_zone_watcher(tmp_path, fault):
    """A zone watcher that fails must not delay an evacuation."""

    async def change(deployment):
        await deployment.store.put('evacuations', 'gij-b', {})

    asyncio.run(
        check_change(
            tmp_path,
            'evacuations',
            fault,
            change,
            lambda gateway: gateway._parts.state.registry.evacuated_zones,
            EVACUATION_S,
        )
    )
