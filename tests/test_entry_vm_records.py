"""Records that entry VMs keep in the platform's store."""

import asyncio

from catkindrift.blame import Cleared, Crash
from catkindrift.clock import ManualClock
from catkindrift.platform import StoreObject, decode_entry_vm, encode_entry_vm
from catkindrift.steering import EntryVmRecord, Members
from tests.platform_deployment import deployed, eventually

CRASH = Crash('poison', 'i-1@1', 50)
VMS = 72
# Two regular ones, and news at intervals of 100 ms.
HEARTBEATS_PER_SECOND = 12
RUN_SECONDS = 2


def test_record_survives_the_store():
    """What is written is read, with ages that grow until then."""
    record = EntryVmRecord('10.0.0.1:80', (CRASH,), (Cleared('x', 5),), 1000)
    stored = StoreObject('front-1', 2, encode_entry_vm(record))
    assert decode_entry_vm(stored) == record
    assert record.aged(100).crashes[0].age_ms == 150
    assert record.aged(100).cleared[0].age_ms == 105


def test_record_of_an_earlier_release_names_an_address():
    """An entry VM of an earlier release writes its address only."""
    stored = StoreObject('front-1', 2, {'peers': '10.0.0.1:80'})
    assert decode_entry_vm(stored) == EntryVmRecord('10.0.0.1:80')
    assert decode_entry_vm(StoreObject('x', 2, 'odd')) == EntryVmRecord()


def test_registered_vm_counts_until_its_record_is_old():
    """A VM that is never heard shares the limits while its record is new."""
    clock = ManualClock(1_000_000)
    members = Members(clock, 'one')
    members.record_registration('unheard', 0)
    members.record_registration('long-gone', 900_000)
    assert members.names == ('one', 'unheard')
    assert not members.hears_all
    clock.advance(200_000)
    assert members.names == ('one',)
    assert members.hears_all


def stored_crashes(deployment):
    """Return the crashes in the record of front-1, once it is written."""
    stored = deployment.store._objects.get(('entry-vms', 'front-1'))
    return stored and stored['spec']['crashes']


def test_quarantine_outlives_all_processes(tmp_path):
    """A process reads what an earlier one of its VM has written."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            records = [Crash('poison', name, 0) for name in ('x', 'y')]
            crashes = deployment.gateways[0]._parts.crashes
            crashes.merge_reports(tuple(records))
            deployment.gateways[0]._parts.registration.publish()
            await eventually(lambda: stored_crashes(deployment))
            await deployment.gateways.pop().stop()
            again = await deployment.add_gateway()
            await eventually(
                lambda: again._parts.crashes.is_quarantined('poison')
            )

    asyncio.run(scenario())


def test_records_that_come_together_do_not_flood_the_link(tmp_path):
    """Guard against a heartbeat to many VMs for each record of a page."""

    async def scenario():
        async with deployed(tmp_path) as deployment:
            parts = deployment.gateways[0]._parts
            await eventually(lambda: stored_crashes(deployment) is not None)
            sent_before = parts.heartbeats.own_member.count
            for number in range(VMS):
                crash = Crash(f'request-{number}', f'i-{number}@1', 50)
                record = EntryVmRecord('', (crash,))
                await deployment.store.put(
                    'entry-vms', f'vm-{number}', encode_entry_vm(record)
                )
            await eventually(lambda: parts.crashes.reports.count == VMS)
            await asyncio.sleep(1)
            sent = parts.heartbeats.own_member.count - sent_before
            assert sent <= HEARTBEATS_PER_SECOND * RUN_SECONDS

    asyncio.run(scenario())
