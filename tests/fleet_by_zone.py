"""Entry VMs of three regions of two zones each, in virtual time."""

from collections import Counter
from types import SimpleNamespace

import attrs

from catkindrift.gateway._urgent_heartbeats import UrgentHeartbeats
from catkindrift.steering import Members
from tests.test_membership_at_size import (
    REGIONS,
    Fleet,
    address,
)

MILLISECONDS_PER_SECOND = 1000


@attrs.define(eq=False)
class FleetByZone(Fleet):
    """A fleet whose links can be cut, and whose bytes are told by distance.

    News go out with the real urgent heartbeats, on the clock of the fleet.
    """

    zones: int = 6
    bytes_by: Counter = attrs.field(factory=Counter)
    cut_from: set = attrs.field(factory=set)
    started: Counter = attrs.field(factory=Counter)

    def __attrs_post_init__(self):
        super().__attrs_post_init__()
        for number in range(self.size):
            self._connect(number)

    def use(self, monkeypatch):
        """Let urgent heartbeats wait on the clock of this fleet."""
        loop = SimpleNamespace(get_running_loop=lambda: self)
        module = 'catkindrift.gateway._urgent_heartbeats'
        monkeypatch.setattr(f'{module}.asyncio', loop)
        return self

    def call_later(self, delay_s, call):
        """Stand in for the event loop."""
        self._schedule(round(delay_s * MILLISECONDS_PER_SECOND), call)

    def restart(self, number):
        """Start a VM again, which knows the addresses of all others only."""
        self.started[number] += 1
        self.members[number] = Members(self.clock, f'front-{number}')
        heartbeats = self._create(number)
        started_ms = 1_790_000_000_000 + self.started[number]
        heartbeats._own_member = attrs.evolve(
            heartbeats.own_member, started_ms=started_ms
        )
        self.heartbeats[number] = heartbeats
        self._connect(number)
        for other in range(self.size):
            heartbeats.add_seed(address(other))
        heartbeats.send_news()

    def states_known(self, number):
        """Return how many other VMs know the readiness of a VM."""
        own = self.heartbeats[number].own_member
        return sum(
            (own.name, own.can_serve)
            in {(each.name, each.can_serve) for each in members.alive()}
            for other, members in enumerate(self.members)
            if other != number
        )

    def bytes_per_second(self, *distances, over_ms):
        """Return what each VM has sent to some distances."""
        total = sum(self.bytes_by[each] for each in distances)
        return total * MILLISECONDS_PER_SECOND / over_ms / self.size

    def _connect(self, number):
        def send(datagram, receiver):
            _, high, _, low = receiver[0].split('.')
            other = int(high) * 250 + int(low)
            self.bytes_by[self._distance(number, other)] += len(datagram)
            if (number in self.cut_from) == (other in self.cut_from):
                self.send(datagram, receiver)

        heartbeats = self.heartbeats[number]
        transport = SimpleNamespace(sendto=send, is_closing=bool)
        heartbeats.connection_made(transport)
        urgent = UrgentHeartbeats(self.clock, heartbeats)
        heartbeats.on_update = urgent.pass_on

    def _distance(self, number, other):
        if number % self.zones == other % self.zones:
            return 'zone'
        return 'region' if number % REGIONS == other % REGIONS else 'far'
