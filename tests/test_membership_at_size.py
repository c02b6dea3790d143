"""Who counts as alive among hundreds of entry VMs, in virtual time."""

import heapq
import itertools
import random
from collections import deque
from types import SimpleNamespace

import attrs
import pytest

from catkindrift.clock import ManualClock
from catkindrift.gateway._heartbeats import Heartbeats
from catkindrift.steering import MemberFacts, Members

REGIONS = 3
ZONES = 9
INTERVAL_MS = 500
LOSS = 0.02
DELAY_MS = 20
START_MS = 1_000_000
SETTLED_MS = 4000
# The directory may name a VM for this long after it has ended: the platform's
# stable window and three seconds.
NAMED_MS = 7000
# Share of pairs of VMs that may take each other for dead at any moment.
TOLERATED = 0.001
# Two heartbeats a second to 16 VMs, as where each hears all others itself.
MAX_DATAGRAMS_PER_SECOND = 32
# For control, a VM may send 10 KB a second.
MAX_BYTES_PER_SECOND = 10_000


def address(number):
    """Return the address of a VM for other entry VMs."""
    return f'10.{number // 250}.0.{number % 250}:7620'


@attrs.define(eq=False)
class Fleet:
    """Entry VMs that exchange heartbeats over a network that loses some.

    Args:
        size: Number of VMs.
        zones: Number of availability zones.
    """

    size: int
    zones: int = ZONES
    clock: ManualClock = attrs.field(factory=lambda: ManualClock(START_MS))
    rng: random.Random = attrs.field(factory=lambda: random.Random(7))
    members: list = attrs.field(init=False)
    heartbeats: list = attrs.field(init=False)
    dead: set = attrs.field(factory=set)
    handled: deque = attrs.field(factory=lambda: deque(maxlen=1))
    datagrams: int = 0
    size_bytes: int = 0
    _events: list = attrs.field(factory=list)
    _order: itertools.count = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self):
        self.members = [
            Members(self.clock, f'front-{number}')
            for number in range(self.size)
        ]
        self.heartbeats = [self._create(each) for each in range(self.size)]
        for members in self.members:
            members.record_facts(each.own_member for each in self.heartbeats)
        for number in range(self.size):
            phase_ms = self.rng.randrange(INTERVAL_MS)
            self._schedule(phase_ms, self._beat, number, 0)

    def run(self, duration_ms):
        """Let virtual time pass."""
        until_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] <= until_ms:
            at_ms, _, call, arguments = heapq.heappop(self._events)
            self.clock.advance(at_ms - self.clock.now_ms())
            call(*arguments)
        self.clock.advance(until_ms - self.clock.now_ms())

    def mistaken_share(self):
        """Return the share of pairs in which a live VM counts as dead."""
        live = self.size - len(self.dead)
        missing = sum(
            live - 1 - len(members.alive())
            for number, members in enumerate(self.members)
            if number not in self.dead
        )
        return missing / (live * (live - 1))

    def deliver(self, datagram, number):
        """Deliver a heartbeat, unless its receiver has ended."""
        if number not in self.dead:
            self.heartbeats[number].datagram_received(datagram, ('', 0))

    def send(self, datagram, receiver):
        """Take a datagram, and lose some."""
        self.datagrams += 1
        self.size_bytes += len(datagram)
        host, _ = receiver
        _, high, _, low = host.split('.')
        if self.rng.random() >= LOSS:
            number = int(high) * 250 + int(low)
            self._schedule(DELAY_MS, self.deliver, datagram, number)

    def _create(self, number):
        facts = MemberFacts(
            f'front-{number}',
            1_790_000_000_000,
            f'zone-{number % self.zones}',
            f'region-{number % REGIONS}',
            address(number),
            address(number),
            is_ready=True,
            count=0,
        )
        reports = SimpleNamespace(
            next_crashes=tuple, newest_cleared=tuple, count=0
        )
        heartbeats = Heartbeats(
            self.clock,
            self.members[number],
            facts,
            dict,
            SimpleNamespace(reports=reports),
            SimpleNamespace(answer_age_ms=1000),
            SimpleNamespace(notices=tuple),
            SimpleNamespace(reached_age_ms=10),
            self.handled.append,
        )
        heartbeats._rng = random.Random(number)
        heartbeats.connection_made(
            SimpleNamespace(sendto=self.send, is_closing=bool)
        )
        return heartbeats

    def _beat(self, number, count):
        if number in self.dead:
            return
        self.heartbeats[number].send_heartbeat(to_all_regions=count % 2 == 0)
        self._schedule(INTERVAL_MS, self._beat, number, count + 1)

    def _schedule(self, delay_ms, call, *arguments):
        at_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(
            self._events, (at_ms, next(self._order), call, arguments)
        )


@pytest.mark.parametrize('size', [18, 27, 72, 195])
def test_live_vms_do_not_count_as_dead(size):
    """Guard against roles and retries that change with each heartbeat."""
    fleet = Fleet(size)
    fleet.run(SETTLED_MS)
    shares = []
    for _ in range(8):
        fleet.run(500)
        shares.append(fleet.mistaken_share())
    assert max(shares) < TOLERATED


@pytest.fixture(scope='module')
def seeded_fleet():
    """Run VMs that know the addresses of all others from the store.

    The figures are those of one second after the fleet has settled.
    """
    fleet = Fleet(195)
    for heartbeats in fleet.heartbeats:
        for other in range(fleet.size):
            heartbeats.add_seed(address(other))
    fleet.run(SETTLED_MS)
    fleet.datagrams = 0
    fleet.size_bytes = 0
    fleet.run(1000)
    return fleet


def test_heartbeats_go_to_few(seeded_fleet):
    """Guard against datagrams to each address that was ever known."""
    datagrams = seeded_fleet.datagrams / seeded_fleet.size
    assert datagrams <= MAX_DATAGRAMS_PER_SECOND


def test_heartbeats_take_few_bytes(seeded_fleet):
    """Control traffic stays within its share of a VM's link."""
    sent = seeded_fleet.size_bytes / seeded_fleet.size
    assert sent <= MAX_BYTES_PER_SECOND


def test_vm_that_ends_leaves_all_lists_in_time():
    """Guard against a directory that names a VM long after it has ended."""
    fleet = Fleet(195)
    fleet.run(SETTLED_MS)
    fleet.dead.add(0)
    fleet.run(NAMED_MS)
    assert not any(
        each.name == 'front-0'
        for members in fleet.members[1:]
        for each in members.alive()
    )
