"""Heartbeats by availability zone: their bytes, news, cuts and restarts."""

import msgspec
import pytest

from catkindrift.gateway._zone_receivers import ZoneReceivers
from catkindrift.steering import Heartbeat, MemberFacts
from tests.fleet_by_zone import FleetByZone
from tests.old_heartbeat import OldHeartbeat, OldMemberFacts
from tests.test_membership_at_size import (
    MAX_BYTES_PER_SECOND,
    NAMED_MS,
    SETTLED_MS,
    TOLERATED,
)

MEASURED_MS = 4000
# News reach every VM within this time.
RECENT_MS = 1500
# A VM that is alive and in hearing counts as dead for no longer.
REJOIN_MS = 4000
# Bytes between zones and regions fall to this part of what they were.
TARGET_PART = 0.2


def measured(size, monkeypatch):
    """Return a fleet after some seconds in which its bytes were counted."""
    fleet = FleetByZone(size).use(monkeypatch)
    fleet.run(SETTLED_MS)
    fleet.bytes_by.clear()
    fleet.run(MEASURED_MS)
    return fleet


def test_few_bytes_leave_the_zone(monkeypatch):
    """Guard against heartbeats to random VMs of other zones and regions."""
    by_zone = measured(129, monkeypatch).bytes_per_second(
        'region', 'far', over_ms=MEASURED_MS
    )
    monkeypatch.setattr(ZoneReceivers, 'is_active', False)
    before = measured(129, monkeypatch).bytes_per_second(
        'region', 'far', over_ms=MEASURED_MS
    )
    assert by_zone <= TARGET_PART * before


@pytest.mark.parametrize('size', [30, 100, 195, 300])
def test_live_vms_do_not_count_as_dead(size, monkeypatch):
    """Guard against digests that reach a part of a zone only."""
    fleet = measured(size, monkeypatch)
    assert fleet.mistaken_share() < TOLERATED
    sent = fleet.bytes_per_second('zone', 'region', 'far', over_ms=MEASURED_MS)
    assert sent <= MAX_BYTES_PER_SECOND


def test_news_reach_all_vms_in_time(monkeypatch):
    """Guard against VMs that go on sending callers to a VM that stops."""
    fleet = FleetByZone(300).use(monkeypatch)
    fleet.run(SETTLED_MS)
    for number in (0, 7, 299):
        fleet.heartbeats[number].set_ready(is_ready=False)
    fleet.run(RECENT_MS)
    known = [fleet.states_known(each) for each in (0, 7, 299)]
    assert known == [299, 299, 299]


def test_restart_of_all_vms_converges(monkeypatch):
    """Guard against VMs that stay unknown after a loss of power."""
    fleet = FleetByZone(129).use(monkeypatch)
    fleet.run(SETTLED_MS)
    for number in range(fleet.size):
        fleet.restart(number)
    fleet.run(REJOIN_MS)
    assert fleet.mistaken_share() < TOLERATED


def test_vms_that_were_cut_off_come_back(monkeypatch):
    """Guard against halves that count each other as dead for ever."""
    fleet = FleetByZone(129).use(monkeypatch)
    fleet.run(SETTLED_MS)
    fleet.cut_from.update(range(0, 129, 2))
    fleet.run(NAMED_MS)
    assert len(fleet.members[0].alive()) == 64
    fleet.cut_from.clear()
    fleet.run(REJOIN_MS)
    assert fleet.mistaken_share() < TOLERATED


def test_vm_that_starts_is_known_before_it_shares_limits(monkeypatch):
    """Guard against shares that add up to more than a common limit.

    A VM takes its share 2.5 s after it has read the list of all VMs.
    """
    fleet = FleetByZone(129).use(monkeypatch)
    fleet.run(SETTLED_MS)
    fleet.dead.add(5)
    for members in fleet.members:
        if 'front-5' in members.table.by_name:
            members.table.remove('front-5')
    fleet.run(SETTLED_MS)
    fleet.dead.clear()
    fleet.restart(5)
    fleet._beat(5, 0)
    fleet.run(2500)
    assert all('front-5' in members.names for members in fleet.members)
    assert len(fleet.members[5].names) == fleet.size


def test_dead_delegates_do_not_cut_zones_apart(monkeypatch):
    """Guard against a zone that is told by VMs that have ended."""
    fleet = FleetByZone(129).use(monkeypatch)
    fleet.run(SETTLED_MS)
    zone_vms = range(0, 129, 6)
    for number in zone_vms:
        receivers = fleet.heartbeats[number]._receivers
        if receivers.digest_receivers():
            fleet.dead.add(number)
        if len(fleet.dead) == 4:
            break
    shares = []
    for _ in range(8):
        fleet.run(500)
        shares.append(
            sum(
                f'front-{zone_vm}' not in {each.name for each in known.alive()}
                for zone_vm in zone_vms
                if zone_vm not in fleet.dead
                for known in fleet.members[1::6]
            )
        )
    assert max(shares) <= 1


def test_old_builds_are_sent_what_they_read():
    """Guard against VMs that are cut off while a fleet is upgraded."""
    fleet = FleetByZone(30)
    old = MemberFacts('old', 1, 'zone-1', 'region-1', 'a', 'b:1', True, 1)
    encoder = msgspec.msgpack.Encoder()
    for members in fleet.members:
        members.record_facts((old,))
    heartbeats = fleet.heartbeats[0]
    assert not heartbeats._receivers.is_active
    sent = encoder.encode(heartbeats._builder.direct(heartbeats.own_member))
    read = msgspec.msgpack.decode(sent, type=OldHeartbeat)
    assert read.sender.name == 'front-0'
    assert len(read.sightings) == 30


def test_heartbeats_of_old_builds_are_read():
    """Guard against fields that old builds do not send."""
    facts = OldMemberFacts('old', 1, 'z', 'r', 'a', 'b:1', True, 1)
    sent = msgspec.msgpack.encode(OldHeartbeat(facts, (facts,), {'servers': 3}))
    read = msgspec.msgpack.decode(sent, type=Heartbeat)
    assert not read.sender.by_zone
    assert read.revisions == {'servers': 3}


def test_facts_passed_on_by_old_builds_keep_what_a_vm_can():
    """Guard against VMs that count as old because an old one named them."""
    fleet = FleetByZone(30)
    facts = fleet.heartbeats[1].own_member
    passed_on = passed_on_by_old(facts)
    fleet.members[0].record_facts((passed_on,))
    assert fleet.heartbeats[0]._receivers.is_active


def passed_on_by_old(facts):
    """Return newer facts as a VM of an old build passes them on."""
    return MemberFacts(
        facts.name,
        facts.started_ms,
        facts.zone,
        facts.region,
        facts.callers,
        facts.peers,
        facts.is_ready,
        facts.count + 5,
    )
