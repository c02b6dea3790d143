"""Calls and bytes of the store through a start and versions, by zone size."""

import asyncio
from collections import Counter

import attrs
import pytest

from catkindrift.gateway import Gateway
from catkindrift.settings import GatewaySettings
from catkindrift.strict_settings import load_settings
from tests.platform_deployment import (
    SAFE,
    PlatformDeployment,
    deployed,
    eventually,
)
from tests.platform_store import PlatformStore

KINDS = ('config', 'servers', 'evacuations')
_ROUTES = 1400


@attrs.define(eq=False)
class CountingStore(PlatformStore):
    """Counts the bytes of the answers by kind."""

    bytes_by_kind: Counter = attrs.field(factory=Counter)

    async def handle(self, request):
        response = await super().handle(request)
        self.bytes_by_kind[request.path.split('/')[2]] += len(response.body)
        return response


def many_routes():
    return [
        {**SAFE, 'host': f'host-{number}.example'} for number in range(_ROUTES)
    ]


async def start_together(deployment, count):
    """Start entry VMs of one zone at the same time; return the seconds."""
    gateways = [
        Gateway(
            load_settings(
                deployment.settings(f'front-{number}'), GatewaySettings
            )
        )
        for number in range(count)
    ]
    began = asyncio.get_running_loop().time()
    for gateway in gateways:
        await gateway.start()
        deployment.gateways.append(gateway)
    await eventually(lambda: all(each.is_ready for each in gateways))
    return asyncio.get_running_loop().time() - began


def count_calls(store, kinds=KINDS):
    return sum(
        path.split('/')[2] in kinds and method == 'GET'
        for method, path, _ in store.calls
    )


@pytest.mark.parametrize('count', [6, 12, 24])
def test_calls_do_not_grow_with_vms(tmp_path, count):
    """Calls of a zone must not grow with its VMs.

    A zone watcher and two sentinels of each kind poll; ten versions of 1,400
    routes are read by these three.
    """

    async def scenario():
        store = CountingStore()
        deployment = PlatformDeployment(tmp_path, store)
        await deployment.start(routes=many_routes())
        # The processes before this start have left their records.
        await start_together(deployment, count)
        await asyncio.sleep(4)
        figures = {}
        for phase in ('quiet', 'versions'):
            store.calls.clear()
            store.bytes_by_kind.clear()
            for version in range(2, 12):
                if phase == 'versions':
                    await deployment.configure(version, many_routes())
                await asyncio.sleep(1)
            figures[phase] = (count_calls(store), dict(store.bytes_by_kind))
        await eventually(
            lambda: all(
                each._parts.state.configuration.version == 11
                for each in deployment.gateways
            ),
            3,
        )
        await deployment.stop()
        # In 10 s, 6 sentinels poll each 2.6 s, and relist or poll on changes.
        assert figures['quiet'][0] <= 40
        assert figures['versions'][0] <= 90

    asyncio.run(scenario())


def test_start_lists_from_the_zone(tmp_path):
    """A process that starts beside six others takes their lists.

    It writes its record and lists those of others, but no other kind.
    """

    async def scenario():
        async with deployed(tmp_path) as deployment:
            for number in range(2, 8):
                await deployment.add_gateway(f'front-{number}')
            gateways = deployment.gateways
            await eventually(
                lambda: all(
                    len(each._parts.members.alive()) == 6 for each in gateways
                )
            )
            gateway = await deployment.add_gateway('front-9')
            counts = gateway._parts.store_client.request_counts
            assert not {f'list {kind}' for kind in KINDS} & counts.keys()
            await asyncio.sleep(1)
            await deployment.configure(2, [SAFE])
            await deployment.store.delete('servers', 'i-1')
            state = gateway._parts.state
            await eventually(lambda: state.configuration.version == 2, 3)
            await eventually(lambda: 'i-1' not in state.registry.ids, 3)

    asyncio.run(scenario())


def test_processes_that_start_together_share_lists(tmp_path):
    """A start of all VMs must not list each kind once for each VM."""

    async def scenario():
        deployment = PlatformDeployment(tmp_path)
        await deployment.start()
        await start_together(deployment, 8)
        await asyncio.sleep(1)
        await deployment.stop()
        for gateway in deployment.gateways:
            gateway._parts.heartbeats._sender.transport.close()
        again = PlatformDeployment(tmp_path, PlatformStore())
        await again.start()
        for name, spec in deployment.store.specs('entry-vms'):
            await again.store.put('entry-vms', name, spec)
        again.store.calls.clear()
        settings = [
            load_settings(tmp_path / f'front-{number}.toml', GatewaySettings)
            for number in range(8)
        ]
        address = f'127.0.0.1:{again.store_port}'
        gateways = [
            Gateway(
                attrs.evolve(
                    each, platform=attrs.evolve(each.platform, address=address)
                )
            )
            for each in settings
        ]
        for gateway in gateways:
            await gateway.start()
            again.gateways.append(gateway)
        await eventually(lambda: all(each.is_ready for each in gateways), 2)
        lists = sum(
            path == '/objects/config' and 'watch' not in query
            for _, path, query in again.store.calls
        )
        await again.stop()
        assert lists <= 2

    asyncio.run(scenario())
