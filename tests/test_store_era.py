"""A store that comes back from a copy of itself that is seconds old."""

import asyncio

import pytest

from catkindrift.errors import HistoryGoneError, PlatformUnavailableError
from catkindrift.http1 import ResponseHead
from catkindrift.platform._store_era import StoreEra
from tests.platform_deployment import SAFE, ask, deployed, eventually, head


def run(test):
    """Run a test on a loop of its own."""
    return asyncio.run(test)


def states(era):
    """Return a response head that states an era."""
    return ResponseHead(200, [(b'Store-Era', b'%d' % era)])


def test_any_revision_of_a_newer_era_is_greater():
    """Guard against news that count as old since their numbers went back."""
    era = StoreEra()
    era.record(states(3))
    before = era.qualify(900)
    era.record(states(4))
    assert era.qualify(2) > before
    with pytest.raises(HistoryGoneError):
        era.plain(before)
    assert era.plain(era.qualify(2)) == 2
    with pytest.raises(PlatformUnavailableError):
        era.record(states(3))


def test_changes_of_a_new_era_are_applied(tmp_path):
    """Guard against an upstream that is taken for what it was before.

    Its entry has a lower revision than before the store went back.
    """

    async def scenario():
        async with deployed(tmp_path, upstreams=2) as deployment:
            store = deployment.store
            copied = store.copy()
            for _ in range(30):
                await store.put('servers', 'i-0', deployment.upstreams[0].spec)
            registry = deployment.gateways[0]._parts.registry
            await eventually(
                lambda: registry.find('i-0').upstream.revision % 1000 > 30
            )
            await store.restore(copied)
            deployment.upstreams[0].state = 'draining'
            await store.put('servers', 'i-0', deployment.upstreams[0].spec)
            await eventually(
                lambda: registry.find('i-0').upstream.is_draining, seconds=6
            )

    run(scenario())


def test_entry_that_the_copy_lacks_is_kept_until_it_is_written_again(tmp_path):
    """Guard against upstreams that are dropped since the store lost them."""

    async def scenario():
        async with deployed(tmp_path, upstreams=1) as deployment:
            store = deployment.store
            copied = store.copy()
            added = await deployment.add_upstream('i-late')
            registry = deployment.gateways[0]._parts.registry
            await eventually(lambda: registry.find('i-late'))
            await store.restore(copied)
            client = deployment.gateways[0]._parts.store_client
            await eventually(lambda: client.era.number)
            await asyncio.sleep(0.5)
            assert registry.find('i-late')
            await store.put('servers', 'i-late', added.spec)
            await asyncio.sleep(2.5)
            assert registry.find('i-late')

    run(scenario())


def test_records_of_entry_vms_are_written_again(tmp_path):
    """Guard against VMs that others no longer find in the store."""

    async def scenario():
        async with deployed(tmp_path, routes=(SAFE,)) as deployment:
            store = deployment.store
            copied = store.copy()
            await eventually(lambda: store.names('entry-vms'))
            copied[0].pop(('entry-vms', 'front-1'), None)
            await store.restore(copied)
            await store.compact()
            await eventually(lambda: store.names('entry-vms') == ['front-1'])
            status, _, _ = await ask(deployment.address(), head('/safe/x'))
            assert status == 200

    run(scenario())
